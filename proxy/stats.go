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

// stats counts what a proxy does, for its log and metrics.
type stats struct {
	clientsGone, badRequests, writeFailures, truncated atomic.Int64
	recoveredPanics                                    atomic.Int64 // panics recovered while a request was handled

	outcomes [][outcomeCount]atomic.Int64 // by class

	badRequestLog logging.RateLimiter

	mu              sync.Mutex
	responseLatency *hdrhistogram.Histogram // in microseconds
	timerDelay      *hdrhistogram.Histogram // how late timers fired, in microseconds
	attemptResults  [logic.ConnectPending + 1]int64
}

// Outcomes of a request, as its client sees them.
const (
	fulfilled = iota // a backend's 200 was written
	throttled        // refused
	faulted          // any other response
	outcomeCount
)

func newStats(classes int) *stats {
	const maxMicroseconds = int64(time.Minute / time.Microsecond)
	return &stats{
		outcomes:        make([][outcomeCount]atomic.Int64, classes),
		badRequestLog:   logging.RateLimiter{Interval: badRequestLogInterval},
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

// badRequestLogInterval is the minimum time between log lines about bad requests, so that
// a flood of them does not flood the log.
const badRequestLogInterval = 100 * time.Millisecond

// recordBadRequest counts a request answered with a 4xx status, and logs some of them.
func (s *stats) recordBadRequest(code int, from net.Addr, err error) {
	n := s.badRequests.Add(1)
	if _, ok := s.badRequestLog.Allow(); ok { // count shows how many lines were omitted
		log.Printf("event=bad_request status=%d client=%s count=%d err=%q", code, from, n, err)
	}
}

func (s *stats) recordAttempt(r logic.Result) {
	s.mu.Lock()
	s.attemptResults[r]++
	s.mu.Unlock()
}

// requestsEnded returns the number of requests of all classes that ended with one
// outcome.
func (s *stats) requestsEnded(outcome int) (n int64) {
	for i := range s.outcomes {
		n += s.outcomes[i][outcome].Load()
	}
	return n
}

// log writes the counts so far.
func (s *stats) log(p *Proxy) {
	descriptorsUsed, descriptorsPeak := p.descriptors.inUse()
	memoryUsed, memoryPeak := p.memory.InUse()
	listAge, _ := p.list.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	results := s.attemptResults
	log.Printf("event=stats served=%d refused=%d failed=%d gone=%d bad=%d unwritten=%d cut_short=%d recovered=%d p50_us=%d p99_us=%d "+
		"error=%d cancelled=%d full=%d timed_out=%d no_connect=%d broken=%d never_sent=%d late=%d opened=%d unrequested=%d sockets=%d sockets_most=%d memory_kb=%d memory_most_kb=%d "+
		"timer_p99_us=%d timer_max_us=%d list_age=%.1f",
		results[logic.OK], s.requestsEnded(throttled), s.requestsEnded(faulted),
		s.clientsGone.Load(), s.badRequests.Load(), s.writeFailures.Load(), s.truncated.Load(),
		s.recoveredPanics.Load(),
		s.responseLatency.ValueAtQuantile(50), s.responseLatency.ValueAtQuantile(99),
		results[logic.Error], results[logic.Cancelled], results[logic.Rejected], results[logic.TimedOut],
		results[logic.ConnectFailed], results[logic.ConnectionLost], results[logic.NotSent], results[logic.ConnectPending],
		p.driver.upstreamOptions.ConnsOpened.Load(), p.driver.upstreamOptions.UnrequestedData.Load(), descriptorsUsed, descriptorsPeak, memoryUsed>>10, memoryPeak>>10,
		s.timerDelay.ValueAtQuantile(99), s.timerDelay.Max(), listAge.Seconds())
}
