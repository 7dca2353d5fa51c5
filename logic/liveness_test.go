package logic

import (
	"fmt"
	"testing"
)

// livenessRun is a balancer with one backend, and the actions it asked for.
type livenessRun struct {
	t        *testing.T
	balancer *Balancer
	actions  *listRequestCounter
	serial   int
}

// listRequestCounter implements Actions and counts the lists requested.
type listRequestCounter struct {
	*recorder
	requests int
}

func (counter *listRequestCounter) RequestList() { counter.requests++ }

func newLivenessRun(t *testing.T) (*livenessRun, *listRequestCounter) {
	counter := &listRequestCounter{recorder: newRecorder()}
	b := New(0, testSettings(), counter)
	b.UpdateList(0, true, []Backend{entry("b", 0)})
	b.setLimit(10)
	return &livenessRun{t: t, balancer: b, actions: counter}, counter
}

// call makes a call at the given time that, if sent, ends with result a moment later.
func (r *livenessRun) call(at Time, result Result) (sent bool) {
	return r.longCall(at, 10*ms, result)
}

// longCall is call with the given latency.
func (r *livenessRun) longCall(at, latency Time, result Result) (sent bool) {
	id, sent := r.begin(at)
	if sent {
		r.end(id, at+latency, latency, result)
	}
	return sent
}

// begin starts a request at the given time and reports whether it was sent.
func (r *livenessRun) begin(at Time) (id string, sent bool) {
	r.serial++
	id, sends := fmt.Sprint(r.serial), len(r.actions.sends)
	r.balancer.StartRequest(at, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
	return id, len(r.actions.sends) > sends
}

// end ends a call that was sent.
func (r *livenessRun) end(id string, at, latency Time, result Result) {
	r.balancer.AttemptDone(at, Outcome{Request: id, Result: result, Latency: latency, Final: true})
}

// calls makes a call every half second from one time until before another.
func (r *livenessRun) calls(from, to Time, result Result) (sent int) {
	for at := from; at < to; at += 500 * ms {
		if r.call(at, result) {
			sent++
		}
	}
	return sent
}

func freshness(receivedAt, confirmedAt, freshUntil, staleUntil Time) ListFreshness {
	return ListFreshness{FreshUntil: freshUntil, StaleUntil: staleUntil, EvidenceWindow: 6000 * ms,
		ConfirmedAt: confirmedAt, ReceivedAt: receivedAt,
		ChangesMayLag: true, MaxUnobserved: 2000 * ms}
}

// With a stale list only a backend is used that was in service without interruption since the list was
// confirmed complete. One that was unobserved for a while may have been removed meanwhile, though it
// serves calls again.
func TestLivenessWithStaleList(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *livenessRun)
		used bool // at 17 s; the list was confirmed complete at 10 s
	}{
		{"observed all the time", func(r *livenessRun) { r.calls(9000*ms, 17000*ms, OK) }, true},
		{"observed with short gaps", func(r *livenessRun) {
			r.calls(9000*ms, 12000*ms, OK)
			r.calls(12500*ms, 13500*ms, ConnectionLost)
			r.calls(13400*ms, 17000*ms, OK)
		}, true},
		{"unobserved for a while, found unreachable", func(r *livenessRun) {
			r.calls(9000*ms, 10600*ms, OK)
			r.calls(10700*ms, 13500*ms, ConnectFailed)
			r.calls(13500*ms, 17000*ms, OK)
		}, false},
		{"found unreachable for a moment", func(r *livenessRun) {
			r.calls(9000*ms, 11000*ms, OK)
			r.call(11000*ms, ConnectFailed)
			r.calls(11100*ms, 17000*ms, OK)
		}, false},
		{"rejected the newest call", func(r *livenessRun) {
			r.calls(9000*ms, 15000*ms, OK)
			r.call(15000*ms, Rejected)
		}, false},
		{"rejected a call after the list became stale", func(r *livenessRun) {
			r.calls(9000*ms, 16500*ms, OK)
			r.call(16500*ms, Rejected)
		}, false},
		{"rejected a call, then served again", func(r *livenessRun) {
			r.calls(9000*ms, 14000*ms, OK)
			r.call(14000*ms, Rejected)
			r.calls(14500*ms, 17000*ms, OK)
		}, true},
		{"rejected a call, then served an earlier one", func(r *livenessRun) {
			r.calls(9000*ms, 15000*ms, OK)
			id, _ := r.begin(15000 * ms)
			r.call(15200*ms, Rejected)
			r.end(id, 16000*ms, 1000*ms, OK)
		}, false},
		{"the connection of the newest call was lost", func(r *livenessRun) {
			r.calls(9000*ms, 16500*ms, OK)
			r.call(16500*ms, ConnectionLost)
		}, true},
		{"unobserved for a while, nothing sent", func(r *livenessRun) {
			r.calls(9000*ms, 10600*ms, OK)
			r.calls(13500*ms, 17000*ms, OK)
		}, false},
		{"unobserved for a while except by an answer to an earlier call", func(r *livenessRun) {
			r.calls(9000*ms, 10500*ms, OK)
			r.longCall(10500*ms, 1500*ms, OK)
			r.calls(13000*ms, 17000*ms, OK)
		}, false},
		{"unobserved for a while up to now", func(r *livenessRun) { r.calls(9000*ms, 15000*ms, OK) }, false},
		{"first observed long after the list", func(r *livenessRun) { r.calls(13500*ms, 17000*ms, OK) },
			false},
		{"unobserved since the list", func(r *livenessRun) { r.calls(9000*ms, 9600*ms, OK) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newLivenessRun(t)
			r.balancer.SetListFreshness(freshness(10000*ms, 10000*ms, 16000*ms, 30000*ms))
			c.do(r)
			if used := r.call(17000*ms, OK); used != c.used {
				t.Errorf("used %t, want %t", used, c.used)
			}
		})
	}
}

// A heartbeat on the watch does not prove that no change waits to be delivered. A backend that was
// unreachable for a while is used until a change made then would count as announced, and after that not
// without a new list, though it serves calls again; likewise a backend that rejects all calls. The
// balancer then requests a list.
func TestLivenessWithLaggingWatch(t *testing.T) {
	const late = 17500 * ms // over 6 s after the last observation of the backend before it became unreachable
	for _, c := range []struct {
		name   string
		do     func(r *livenessRun)
		pushed bool // changes are delivered without delay
		used   bool
	}{
		{"observed all the time", func(r *livenessRun) { r.calls(10000*ms, late, OK) }, false, true},
		{"nothing sent", func(r *livenessRun) {}, false, true},
		{"nothing sent for a while", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(14000*ms, late, OK)
		}, false, true},
		{"a short gap", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.call(11000*ms, ConnectionLost)
			r.calls(12000*ms, late, OK)
		}, false, true},
		{"unreachable for a moment", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.call(11000*ms, ConnectFailed)
			r.calls(11100*ms, late, OK)
		}, false, false},
		{"unreachable for a while", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, ConnectFailed)
			if r.calls(14000*ms, 16000*ms, OK) == 0 {
				r.t.Error("not used though no change can count as announced yet")
			}
			if r.actions.requests == 0 {
				r.t.Error("no list requested when it was reachable again")
			}
		}, false, false},
		{"unreachable for a while, changes pushed", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, ConnectFailed)
			r.calls(14000*ms, 16000*ms, OK)
		}, true, true},
		{"rejected calls for a while", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, Rejected)
		}, false, false},
		{"rejected a call, then served again", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, Rejected)
			r.calls(14500*ms, late, OK)
		}, false, true},
		{"rejected calls since the start of a call that ended late", func(r *livenessRun) {
			r.calls(10000*ms, 10500*ms, OK)
			r.longCall(10500*ms, 1500*ms, OK)
			r.calls(12000*ms, 14000*ms, Rejected)
		}, false, false},
		{"unreachable since the start of a call that ended late", func(r *livenessRun) {
			r.calls(10000*ms, 10500*ms, OK)
			r.longCall(10500*ms, 1500*ms, OK)
			r.call(12500*ms, ConnectFailed)
			r.calls(12600*ms, late, OK)
		}, false, false},
		{"connection lost, for a while only an earlier call served", func(r *livenessRun) {
			r.calls(10000*ms, 10500*ms, OK)
			r.longCall(10500*ms, 1500*ms, OK)
			r.call(12500*ms, ConnectionLost)
			r.calls(13000*ms, late, OK)
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, counter := newLivenessRun(t)
			fresh := freshness(1000*ms, 17000*ms, 23000*ms, 23000*ms)
			fresh.ChangesMayLag = !c.pushed
			r.balancer.SetListFreshness(fresh)
			c.do(r)
			counter.requests = 0
			if used := r.call(late, OK); used != c.used {
				t.Errorf("used %t, want %t", used, c.used)
			}
			if (counter.requests > 0) == c.used {
				t.Errorf("a list requested %d times", counter.requests)
			}
			// A list confirms that the backend is in service.
			fresh.ReceivedAt = late + 100*ms
			r.balancer.UpdateList(late+100*ms, false, nil)
			r.balancer.SetListFreshness(fresh)
			if !r.call(late+1000*ms, OK) {
				t.Error("not used though a list confirms it in service")
			}
		})
	}
}
