package logic

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// lastSendRecorder implements Actions and records the last send.
type lastSendRecorder struct {
	request, backend string
	sent             bool
}

func (a *lastSendRecorder) Send(request, backend string, _ time.Duration) {
	a.request, a.backend, a.sent = request, backend, true
}
func (a *lastSendRecorder) Refuse(string, time.Duration, Cause) {}
func (a *lastSendRecorder) Fail(string, Cause)                  {}
func (a *lastSendRecorder) StartTimer(uint64, time.Duration)    {}
func (a *lastSendRecorder) CloseIdle(string)                    {}
func (a *lastSendRecorder) Cancel(string, int)                  {}

// newCallBalancer returns a balancer with the given number of backends, one in a hundred of them in slow
// start, that is one of the given number of balancers.
func newCallBalancer(backends, balancers int) (*Balancer, *lastSendRecorder) {
	recorder := &lastSendRecorder{}
	settings := Settings{Zone: "a", Zones: []string{"a", "b", "c"}, BalancerCount: balancers,
		BalancerIndex: 3, MaxAttempts: 4, DrainGrace: 300 * ms,
		InitialWarmUpFraction: 0.2, WarmUpTime: time.Hour, MaxRetryAfter: time.Second,
		Classes: []Class{{Name: "read", TargetLatency: 200 * ms, Deadline: time.Second, Value: 1}}}
	balancer := New(0, settings, recorder)
	entries := make([]Backend, backends)
	for i := range entries {
		entries[i] = Backend{ID: "s-" + strconv.Itoa(i), Zone: settings.Zones[i%3], Capacity: 1}
		if i%100 == 99 {
			entries[i].StartedAt = 1
		}
	}
	balancer.UpdateList(0, true, entries)
	return balancer, recorder
}

// runCall makes the i-th call, 10 ms after the previous one; it is served in 5 ms.
func runCall(balancer *Balancer, recorder *lastSendRecorder, i int) {
	now, id := Time(i)*10*ms, strconv.Itoa(i)
	recorder.sent = false
	balancer.StartRequest(now, Request{ID: id, Budget: time.Second})
	if recorder.sent {
		balancer.AttemptDone(now+5*ms, Outcome{Request: id, Result: OK, Latency: 5 * ms, Final: true})
	}
}

// BenchmarkCall measures a call that is served at once, for the numbers of backends and balancers that
// the operators' documentation gives.
func BenchmarkCall(b *testing.B) {
	for _, c := range []struct{ backends, balancers int }{
		{6, 6}, {64, 100}, {200, 300}, {800, 900}, {3200, 900},
	} {
		b.Run(fmt.Sprintf("backends=%d", c.backends), func(b *testing.B) {
			balancer, recorder := newCallBalancer(c.backends, c.balancers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				runCall(balancer, recorder, i)
			}
		})
	}
}

// The cost of a call does not grow with the number of known backends: with a hundred times as many it may
// be a few times as high because of cache misses, and no more. Prevents loops over all backends for each
// call.
func TestCallCost(t *testing.T) {
	const maxRatio = 8
	minTime := func(backends int) time.Duration {
		best := time.Hour
		for range 5 {
			balancer, recorder := newCallBalancer(backends, 900)
			began := time.Now()
			for i := range 2000 {
				runCall(balancer, recorder, i)
			}
			best = min(best, time.Since(began))
		}
		return best
	}
	few, many := minTime(32), minTime(3200)
	if many > maxRatio*few {
		t.Errorf("2,000 calls take %v with 32 backends, %v with 3,200: over %d times as long", few, many,
			maxRatio)
	}
}
