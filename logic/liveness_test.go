package logic

import (
	"fmt"
	"testing"
)

// presenceRun is one backend, and what was asked of it.
type livenessRun struct {
	t      *testing.T
	b      *Balancer
	f      *listRequestCounter
	serial int
}

// asker is Actions that counts lists that were asked for.
type listRequestCounter struct {
	*recorder
	requests int
}

func (a *listRequestCounter) RequestList() { a.requests++ }

func newLivenessRun(t *testing.T) (*livenessRun, *listRequestCounter) {
	a := &listRequestCounter{recorder: newRecorder()}
	b := New(0, testSettings(), a)
	b.UpdateList(0, true, []Backend{entry("b", 0)})
	b.setLimit(10)
	return &livenessRun{t: t, b: b, f: a}, a
}

// call sends a call at a time, if it is let out, which ends so a moment later.
func (r *livenessRun) call(at Time, result Result) (sent bool) {
	return r.longCall(at, 10*ms, result)
}

// longCall is call with an end that comes later.
func (r *livenessRun) longCall(at, latency Time, result Result) (sent bool) {
	id, sent := r.begin(at)
	if sent {
		r.end(id, at+latency, latency, result)
	}
	return sent
}

// begin lets a call arrive at a time, and tells whether it was let out.
func (r *livenessRun) begin(at Time) (id string, sent bool) {
	r.serial++
	id, sends := fmt.Sprint(r.serial), len(r.f.sends)
	r.b.StartRequest(at, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
	return id, len(r.f.sends) > sends
}

// end ends a call that was let out.
func (r *livenessRun) end(id string, at, latency Time, result Result) {
	r.b.AttemptDone(at, Outcome{Request: id, Result: result, Latency: latency, Final: true})
}

// calls makes a call each half second from one time on and before another.
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

// Past the time until which the list holds all that counts, a backend is used that has been
// there ever since the list was known to be whole, and no other: one that was not seen for a
// while may have been listed as gone in between, though it serves again.
func TestLivenessWithStaleList(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *livenessRun)
		used bool // at 17 s; the list was known to be whole at 10 s
	}{
		{"seen all the time", func(r *livenessRun) { r.calls(9000*ms, 17000*ms, OK) }, true},
		{"seen with short breaks", func(r *livenessRun) {
			r.calls(9000*ms, 12000*ms, OK)
			r.calls(12500*ms, 13500*ms, ConnectionLost)
			r.calls(13400*ms, 17000*ms, OK)
		}, true},
		{"not seen for a while, found away", func(r *livenessRun) {
			r.calls(9000*ms, 10600*ms, OK)
			r.calls(10700*ms, 13500*ms, ConnectFailed)
			r.calls(13500*ms, 17000*ms, OK)
		}, false},
		{"found away for a moment", func(r *livenessRun) {
			r.calls(9000*ms, 11000*ms, OK)
			r.call(11000*ms, ConnectFailed)
			r.calls(11100*ms, 17000*ms, OK)
		}, false},
		{"turned away by the newest call", func(r *livenessRun) {
			r.calls(9000*ms, 15000*ms, OK)
			r.call(15000*ms, Rejected)
		}, false},
		{"turned away past the list's time", func(r *livenessRun) {
			r.calls(9000*ms, 16500*ms, OK)
			r.call(16500*ms, Rejected)
		}, false},
		{"turned away, and served again", func(r *livenessRun) {
			r.calls(9000*ms, 14000*ms, OK)
			r.call(14000*ms, Rejected)
			r.calls(14500*ms, 17000*ms, OK)
		}, true},
		{"turned away, and a call from before served", func(r *livenessRun) {
			r.calls(9000*ms, 15000*ms, OK)
			id, _ := r.begin(15000 * ms)
			r.call(15200*ms, Rejected)
			r.end(id, 16000*ms, 1000*ms, OK)
		}, false},
		{"a connection broke with the newest call", func(r *livenessRun) {
			r.calls(9000*ms, 16500*ms, OK)
			r.call(16500*ms, ConnectionLost)
		}, true},
		{"not seen for a while, nothing sent", func(r *livenessRun) {
			r.calls(9000*ms, 10600*ms, OK)
			r.calls(13500*ms, 17000*ms, OK)
		}, false},
		{"not seen for a while but by the end of a call from before", func(r *livenessRun) {
			r.calls(9000*ms, 10500*ms, OK)
			r.longCall(10500*ms, 1500*ms, OK)
			r.calls(13000*ms, 17000*ms, OK)
		}, false},
		{"not seen for a while up to now", func(r *livenessRun) { r.calls(9000*ms, 15000*ms, OK) }, false},
		{"first seen long after the list", func(r *livenessRun) { r.calls(13500*ms, 17000*ms, OK) }, false},
		{"not seen since the list", func(r *livenessRun) { r.calls(9000*ms, 9600*ms, OK) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newLivenessRun(t)
			r.b.SetListFreshness(freshness(10000*ms, 10000*ms, 16000*ms, 30000*ms))
			c.do(r)
			if used := r.call(17000*ms, OK); used != c.used {
				t.Errorf("used %t, want %t", used, c.used)
			}
		})
	}
}

// While a watch stands a sign of life is no proof that nothing waits to be told. A backend
// that was found away for a while is used until a change from then counts, and not after it,
// though it serves again, until there is a list; one that turns all calls away likewise. A
// list is asked for then.
func TestLivenessWithLaggingWatch(t *testing.T) {
	const late = 17500 * ms // over 6 s after the backend was seen for the last time before its absence
	for _, c := range []struct {
		name   string
		do     func(r *livenessRun)
		pushed bool // nothing waits to be told
		used   bool
	}{
		{"seen all the time", func(r *livenessRun) { r.calls(10000*ms, late, OK) }, false, true},
		{"nothing sent", func(r *livenessRun) {}, false, true},
		{"nothing sent for a while", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(14000*ms, late, OK)
		}, false, true},
		{"a short break", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.call(11000*ms, ConnectionLost)
			r.calls(12000*ms, late, OK)
		}, false, true},
		{"away for a moment", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.call(11000*ms, ConnectFailed)
			r.calls(11100*ms, late, OK)
		}, false, false},
		{"away for a while", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, ConnectFailed)
			if r.calls(14000*ms, 16000*ms, OK) == 0 {
				r.t.Error("not used though no change of it can count yet")
			}
			if r.f.requests == 0 {
				r.t.Error("no list asked for with its return")
			}
		}, false, false},
		{"away for a while, lists pushed", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, ConnectFailed)
			r.calls(14000*ms, 16000*ms, OK)
		}, true, true},
		{"turned away for a while", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, Rejected)
		}, false, false},
		{"turned away, and served again", func(r *livenessRun) {
			r.calls(10000*ms, 11000*ms, OK)
			r.calls(11000*ms, 14000*ms, Rejected)
			r.calls(14500*ms, late, OK)
		}, false, true},
		{"turned away since a call that ended late", func(r *livenessRun) {
			r.calls(10000*ms, 10500*ms, OK)
			r.longCall(10500*ms, 1500*ms, OK)
			r.calls(12000*ms, 14000*ms, Rejected)
		}, false, false},
		{"away since a call that ended late", func(r *livenessRun) {
			r.calls(10000*ms, 10500*ms, OK)
			r.longCall(10500*ms, 1500*ms, OK)
			r.call(12500*ms, ConnectFailed)
			r.calls(12600*ms, late, OK)
		}, false, false},
		{"broken, with no call served for a while but one from before", func(r *livenessRun) {
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
			r.b.SetListFreshness(fresh)
			c.do(r)
			counter.requests = 0
			if used := r.call(late, OK); used != c.used {
				t.Errorf("used %t, want %t", used, c.used)
			}
			if (counter.requests > 0) == c.used {
				t.Errorf("a list asked for %d times", counter.requests)
			}
			// A list tells that it is in service.
			fresh.ReceivedAt = late + 100*ms
			r.b.UpdateList(late+100*ms, false, nil)
			r.b.SetListFreshness(fresh)
			if !r.call(late+1000*ms, OK) {
				t.Error("not used though a list says that it is in service")
			}
		})
	}
}
