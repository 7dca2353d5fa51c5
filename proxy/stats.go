package proxy

import (
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowloft/internal/logging"
	"oxbowloft/logic"
)

// stats count what a proxy does, for its log.
type stats struct {
	clientsGone, badRequests, writeFailures, truncated atomic.Int64
	recoveredPanics                                    atomic.Int64 // panics on the way of a request

	openRequests atomic.Int64                 // requests taken and not ended
	outcomes     [][outcomeCount]atomic.Int64 // of requests, by class

	badRequestLog logging.Limit // of bad requests

	mu              sync.Mutex
	responseLatency *hdrhistogram.Histogram // of answers, in microseconds
	timerDelay      *hdrhistogram.Histogram // of timers, in microseconds
	attemptResults  [logic.Late + 1]int64
}

// How a request can end for its client.
const (
	fulfilled = iota // a backend's 200 was written
	throttled        // refused
	faulted          // any other answer
	outcomeCount
)

func newStats(classes int) *stats {
	const maxMicroseconds = int64(time.Minute / time.Microsecond)
	return &stats{
		outcomes:        make([][outcomeCount]atomic.Int64, classes),
		badRequestLog:   logging.Limit{Every: badRequestLogInterval},
		responseLatency: hdrhistogram.New(1, maxMicroseconds, 2),
		timerDelay:      hdrhistogram.New(1, maxMicroseconds, 2),
	}
}

func (s *stats) recordLatency(d time.Duration) {
	s.mu.Lock()
	s.responseLatency.RecordValue(d.Microseconds())
	s.mu.Unlock()
}

func (s *stats) recordTimerDelay(d time.Duration) {
	s.mu.Lock()
	s.timerDelay.RecordValue(max(0, d.Microseconds()))
	s.mu.Unlock()
}

// badEvery is the time between bad requests that are logged: a flood of them must
// not cost a line each.
const badRequestLogInterval = 100 * time.Millisecond

// turnedAway counts a request that is answered with a 4xx, and logs it now and then.
func (s *stats) recordBadRequest(code int, from net.Addr, err error) {
	n := s.badRequests.Add(1)
	if _, ok := s.badRequestLog.Allow(); ok { // count says how many were left out
		log.Printf("event=bad_request status=%d client=%s count=%d err=%q", code, from, n, err)
	}
}

func (s *stats) recordAttempt(r logic.Result) {
	s.mu.Lock()
	s.attemptResults[r]++
	s.mu.Unlock()
}

// ended is how many requests of all classes ended in one way.
func (s *stats) requestsEnded(outcome int) (n int64) {
	for i := range s.outcomes {
		n += s.outcomes[i][outcome].Load()
	}
	return n
}

// log writes the counts so far.
func (s *stats) log(p *Proxy) {
	descriptorsUsed, descriptorsPeak := p.descriptors.inUse()
	listAge, _ := p.list.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	results := s.attemptResults
	log.Printf("event=stats served=%d refused=%d failed=%d gone=%d bad=%d unwritten=%d cut_short=%d recovered=%d p50_us=%d p99_us=%d "+
		"error=%d cancelled=%d full=%d timed_out=%d no_connect=%d broken=%d never_sent=%d late=%d opened=%d sockets=%d sockets_most=%d "+
		"timer_p99_us=%d timer_max_us=%d list_age=%.1f",
		results[logic.OK], s.requestsEnded(throttled), s.requestsEnded(faulted), s.clientsGone.Load(), s.badRequests.Load(), s.writeFailures.Load(), s.truncated.Load(), s.recoveredPanics.Load(),
		s.responseLatency.ValueAtQuantile(50), s.responseLatency.ValueAtQuantile(99),
		results[logic.Error], results[logic.Cancelled], results[logic.Full], results[logic.TimedOut], results[logic.NoConnect], results[logic.Broken], results[logic.NeverSent], results[logic.Late],
		p.driver.opt.Opened.Load(), descriptorsUsed, descriptorsPeak, s.timerDelay.ValueAtQuantile(99), s.timerDelay.Max(), listAge.Seconds())
}
