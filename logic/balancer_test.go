// The life of a request, and its end.

package logic

import (
	"fmt"
	"strings"
	"testing"
)

func TestNoActionAfterRequestEnds(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 1))
	b.setAttemptTimeout(idempotent, 100*ms)
	b.retryTokens = 5
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	b.AttemptDone(10*ms, Outcome{Request: "r", Result: Error})
	token, _ := f.takeTimer(t)
	b.ClientGone(15*ms, "r")
	b.TimerFired(20*ms, token)
	b.AttemptDone(30*ms, Outcome{Request: "r", Result: OK})
	b.ClientGone(35*ms, "r")
	b.ClientGone(35*ms, "never heard of")
	if len(f.sends) != 1 || len(f.answers) != 0 {
		t.Errorf("after the client left: %d sends, answers %v", len(f.sends), f.answers)
	}
	if len(b.requests)+len(b.backoffTimers) != 0 {
		t.Error("an ended request is still held")
	}
}

// A balancer that ends gives each request its answer, once: guards against requests that
// are lost with it.
func TestAbandonAnswersOpenRequests(t *testing.T) {
	for _, c := range []struct {
		class   int
		refused bool
	}{{idempotent, true}, {deduplicated, true}, {dedupInZone, false}, {nonIdempotent, false}} {
		b, f := startBalancer(testSettings(), entry("b", 1))
		b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 2000 * ms})
		b.AbandonRequest("r")
		b.AbandonRequest("r")
		b.AbandonRequest("never heard of")
		if got := f.answers["r"]; len(got) != 1 || got[0].refused != c.refused {
			t.Errorf("class %d: answers %v", c.class, got)
		}
		b.AttemptDone(10*ms, Outcome{Request: "r", Result: Cancelled})
		if len(b.requests) != 0 || len(f.answers) != 1 || len(f.sends) != 1 {
			t.Errorf("class %d: held %d, answers %v, sends %v", c.class, len(b.requests), f.answers, f.sends)
		}
	}
}

func TestLateOutcomeOfEndedRequest(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 1))
	b.StartRequest(0, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
	b.ClientGone(10*ms, "r")
	if m := b.backends["b1"]; m.inFlight != 1 {
		t.Errorf("%d in flight, want 1: the attempt is still out", m.inFlight)
	}
	b.AttemptDone(20*ms, Outcome{Request: "r", Result: Cancelled})
	b.AttemptDone(20*ms, Outcome{Request: "r", Result: Cancelled}) // repeated: ignored
	if n := b.backends["b1"].inFlight; n != 0 || len(b.requests) != 0 || len(f.answers) != 0 {
		t.Errorf("in flight %d, held %d, answers %v", n, len(b.requests), f.answers)
	}
}

// What was decided is looked at again when the connection stands: guards against requests
// that a slow dial takes to a backend after it was drained, and the like. An attempt that is
// not written has not run, and says nothing against its backend.
func TestMaySendOnConnect(t *testing.T) {
	drained, removed := entry("b", 1), entry("b", 1)
	drained.State, removed.State = Draining, Removed
	for _, c := range []struct {
		name  string
		class int
		ran   bool // a first attempt may have run, at b1, just before
		do    func(b *Balancer)
		want  bool
	}{
		{"nothing happened", nonIdempotent, false, func(*Balancer) {}, true},
		{"drained", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, false, []Backend{drained})
		}, false},
		{"gone", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, false, []Backend{removed})
		}, false},
		{"not in a whole list", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, true, nil)
		}, false},
		{"drained and back", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, false, []Backend{drained})
			b.UpdateList(110*ms, false, []Backend{entry("b", 1)})
		}, true},
		{"detached", idempotent, false, func(b *Balancer) { b.Detach("b1") }, false},
		{"detached and attached, cold", idempotent, false, func(b *Balancer) {
			b.Detach("b1")
			b.Attach(110*ms, "b1")
		}, false},
		{"the list is stale", idempotent, false, func(b *Balancer) {
			b.SetListFreshness(ListFreshness{FreshUntil: 150 * ms})
		}, false},
		{"the client left", idempotent, false, func(b *Balancer) { b.ClientGone(100*ms, "r") }, false},
		{"this balancer ends", idempotent, false, func(b *Balancer) { b.AbandonRequest("r") }, false},
		{"a repeat in time", deduplicated, true, func(*Balancer) {}, true},
		{"a repeat after the memory for it", deduplicated, true,
			func(b *Balancer) { b.classes[deduplicated].DedupWindow = 200 * ms }, false},
		{"a safe repeat has no such end", idempotent, true,
			func(b *Balancer) { b.classes[idempotent].DedupWindow = 200 * ms }, true},
	} {
		b, f := startBalancer(testSettings(), entry("b", 1))
		b.setAttemptTimeout(c.class, 100*ms)
		b.retryTokens = 5
		b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 2000 * ms})
		attempt := 0
		if c.ran {
			b.AttemptDone(10*ms, Outcome{Request: "r", Result: ConnectionLost, Latency: 10 * ms})
			token, wait := f.takeTimer(t)
			b.TimerFired(10*ms+wait, token)
			attempt = 1
		}
		failures := b.backends["b1"].failureShare
		c.do(b)
		if got := b.MaySendOnConnect(200*ms, "r"); got != c.want {
			t.Errorf("%s: still to be sent %t, want %t", c.name, got, c.want)
		}
		if c.want || len(f.answers["r"]) > 0 {
			continue
		}
		b.AttemptDone(200*ms, Outcome{Request: "r", Attempt: attempt, Result: NotSent, Latency: 200 * ms})
		if m := b.backends["b1"]; m != nil && m.failureShare > failures {
			t.Errorf("%s: it counts against the backend", c.name)
		}
		if c.name == "the client left" {
			if len(b.requests) > 0 {
				t.Errorf("%s: the request is kept", c.name)
			}
			continue
		}
		if len(f.answers["r"]) == 0 { // it waits for another choice
			token, wait := f.takeTimer(t)
			b.TimerFired(200*ms+wait, token)
		}
		if strings.HasSuffix(c.name, "cold") { // the one that is back may be the choice
			if n := len(f.sends); n != 2 || f.sends[1].backend != "b1" {
				t.Errorf("%s: %d sends", c.name, n)
			}
			continue
		}
		if a := f.onlyAnswer(t, "r"); !a.refused {
			t.Errorf("%s: failed, though nothing of it has run or it may run again", c.name)
		}
	}
	if b, _ := startBalancer(testSettings(), entry("b", 1)); b.MaySendOnConnect(0, "none") {
		t.Error("an unknown request is to be sent")
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() string {
		b, f := startBalancer(testSettings(), append(zoneEntries("a", 3), zoneEntries("b", 3)...)...)
		for i := range 200 {
			id := fmt.Sprint("r", i)
			b.StartRequest(Time(i)*ms, Request{ID: id, Class: i % 5, Budget: 2000 * ms})
			b.AttemptDone(Time(i)*ms, Outcome{Request: id, Result: Result(i % 4), Latency: ms,
				Final: i%4 == 0})
		}
		return fmt.Sprint(f.sends, f.answers, f.timers)
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs of the same events differ")
	}
}

// Guards against work that nobody waits for: where cancelled work stops, what is out is given up when
// its client leaves, once; elsewhere it runs to its end.
func TestCancelWhenClientDisconnects(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		set := unevenSettings()
		set.CancelAbandoned = cancel
		b, f := startBalancer(set, zoneEntries("b", 3)...)
		b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
		b.ClientGone(ms, "r")
		b.ClientGone(2*ms, "r")
		if want := map[bool]string{true: "[r 0]", false: "[]"}[cancel]; fmt.Sprint(f.cancels) != want {
			t.Errorf("cancel %t: cancelled %v, want %v", cancel, f.cancels, want)
		}
		m := b.backends[f.sends[0].backend]
		b.AttemptDone(3*ms, Outcome{Request: "r", Result: Cancelled, Latency: 3 * ms, Final: true})
		if m.inFlight != 0 || m.failureShare != 0 || len(b.requests) != 0 || len(f.answers) != 0 {
			t.Errorf("cancel %t: %d in flight, failures %v, %d requests, answers %v",
				cancel, m.inFlight, m.failureShare, len(b.requests), f.answers)
		}
		b.StartRequest(4*ms, Request{ID: "served", Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(5*ms, Outcome{Request: "served", Result: OK, Latency: ms, Final: true})
		b.ClientGone(6*ms, "served")
		if len(f.cancels) > 1 {
			t.Errorf("cancelled %v", f.cancels)
		}
	}
}

// Guards against a limit of nothing for good where requests come before any backend is known.
func TestRequestsBeforeFirstList(t *testing.T) {
	f := newRecorder()
	b := New(0, unevenSettings(), f)
	for i := range 50 {
		b.StartRequest(Time(i)*10*ms, Request{ID: fmt.Sprint(i), Class: idempotent, Budget: 2000 * ms})
	}
	if len(f.answers) != 50 {
		t.Errorf("%d of 50 answered while nobody was known", len(f.answers))
	}
	b.UpdateList(500*ms, true, zoneEntries("b", 10))
	if b.limitMultiplier < minLimitMultiplier || b.baseLimit <= 0 {
		t.Errorf("limit at %v of a base of %v after the first list", b.limitMultiplier, b.baseLimit)
	}
	if refused, _ := feedRequests(b, f, 500*ms, 400, 10*ms, 100*ms, false); refused > 20 {
		t.Errorf("%d of 200 refused", refused)
	}
}
