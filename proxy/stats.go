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
	gone, bad, unwritten, cutShort atomic.Int64
	recovered                      atomic.Int64 // panics on the way of a request

	open atomic.Int64            // requests taken and not ended
	ends [][endings]atomic.Int64 // of requests, by class

	badLog logging.RateLimiter // of bad requests

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // of answers, in microseconds
	lateness *hdrhistogram.Histogram // of timers, in microseconds
	results  [logic.ConnectPending + 1]int64
}

// How a request can end for its client.
const (
	fulfilled = iota // a backend's 200 was written
	throttled        // refused
	faulted          // any other answer
	endings
)

func newStats(classes int) *stats {
	const longest = int64(time.Minute / time.Microsecond)
	return &stats{
		ends:     make([][endings]atomic.Int64, classes),
		badLog:   logging.RateLimiter{Interval: badEvery},
		latency:  hdrhistogram.New(1, longest, 2),
		lateness: hdrhistogram.New(1, longest, 2),
	}
}

func (s *stats) served(d time.Duration) {
	s.mu.Lock()
	s.latency.RecordValue(d.Microseconds())
	s.mu.Unlock()
}

func (s *stats) late(d time.Duration) {
	s.mu.Lock()
	s.lateness.RecordValue(max(0, d.Microseconds()))
	s.mu.Unlock()
}

// badEvery is the time between bad requests that are logged: a flood of them must
// not cost a line each.
const badEvery = 100 * time.Millisecond

// turnedAway counts a request that is answered with a 4xx, and logs it now and then.
func (s *stats) turnedAway(code int, from net.Addr, err error) {
	n := s.bad.Add(1)
	if _, ok := s.badLog.Allow(); ok { // count says how many were left out
		log.Printf("event=bad_request status=%d client=%s count=%d err=%q", code, from, n, err)
	}
}

func (s *stats) attempt(r logic.Result) {
	s.mu.Lock()
	s.results[r]++
	s.mu.Unlock()
}

// ended is how many requests of all classes ended in one way.
func (s *stats) ended(how int) (n int64) {
	for i := range s.ends {
		n += s.ends[i][how].Load()
	}
	return n
}

// log writes the counts so far.
func (s *stats) log(p *Proxy) {
	used, most := p.sockets.inUse()
	age, _ := p.list.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results
	log.Printf("event=stats served=%d refused=%d failed=%d gone=%d bad=%d unwritten=%d cut_short=%d recovered=%d p50_us=%d p99_us=%d "+
		"error=%d cancelled=%d full=%d timed_out=%d no_connect=%d broken=%d never_sent=%d late=%d opened=%d sockets=%d sockets_most=%d "+
		"timer_p99_us=%d timer_max_us=%d list_age=%.1f",
		r[logic.OK], s.ended(throttled), s.ended(faulted), s.gone.Load(), s.bad.Load(), s.unwritten.Load(), s.cutShort.Load(), s.recovered.Load(),
		s.latency.ValueAtQuantile(50), s.latency.ValueAtQuantile(99),
		r[logic.Error], r[logic.Cancelled], r[logic.Rejected], r[logic.TimedOut], r[logic.ConnectFailed], r[logic.ConnectionLost], r[logic.NotSent], r[logic.ConnectPending],
		p.driver.opt.ConnsOpened.Load(), used, most, s.lateness.ValueAtQuantile(99), s.lateness.Max(), age.Seconds())
}
