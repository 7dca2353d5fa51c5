// Tests of the life of a request and its end.

package logic

import (
	"fmt"
	"strings"
	"testing"
)

func TestNoActionAfterRequestEnds(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 1))
	b.setAttemptTimeout(idempotent, 100*ms)
	b.retryTokens = 5
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	b.AttemptDone(10*ms, Outcome{Request: "r", Result: Error})
	token, _ := rec.takeTimer(t)
	b.ClientGone(15*ms, "r")
	b.TimerFired(20*ms, token)
	b.AttemptDone(30*ms, Outcome{Request: "r", Result: OK})
	b.ClientGone(35*ms, "r")
	b.ClientGone(35*ms, "unknown")
	if len(rec.sends) != 1 || len(rec.answers) != 0 {
		t.Errorf("after the client disconnected: %d sends, answers %v", len(rec.sends), rec.answers)
	}
	if len(b.requests)+len(b.backoffTimers) != 0 {
		t.Error("an ended request is still kept")
	}
}

// A balancer that shuts down answers each request once. Prevents requests from being lost with it.
func TestAbandonAnswersOpenRequests(t *testing.T) {
	for _, c := range []struct {
		class   int
		refused bool
	}{{idempotent, true}, {deduplicated, true}, {dedupInZone, false}, {nonIdempotent, false}} {
		b, rec := startBalancer(testSettings(), entry("b", 1))
		b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 2000 * ms})
		b.AbandonRequest("r")
		b.AbandonRequest("r")
		b.AbandonRequest("unknown")
		if got := rec.answers["r"]; len(got) != 1 || got[0].refused != c.refused {
			t.Errorf("class %d: answers %v", c.class, got)
		}
		b.AttemptDone(10*ms, Outcome{Request: "r", Result: Cancelled})
		if len(b.requests) != 0 || len(rec.answers) != 1 || len(rec.sends) != 1 {
			t.Errorf("class %d: kept %d, answers %v, sends %v", c.class, len(b.requests), rec.answers,
				rec.sends)
		}
	}
}

func TestLateOutcomeOfEndedRequest(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 1))
	b.StartRequest(0, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
	b.ClientGone(10*ms, "r")
	if m := b.backends["b1"]; m.inFlight != 1 {
		t.Errorf("%d in flight, want 1: the attempt is still outstanding", m.inFlight)
	}
	b.AttemptDone(20*ms, Outcome{Request: "r", Result: Cancelled})
	b.AttemptDone(20*ms, Outcome{Request: "r", Result: Cancelled}) // duplicate: ignored
	if n := b.backends["b1"].inFlight; n != 0 || len(b.requests) != 0 || len(rec.answers) != 0 {
		t.Errorf("in flight %d, kept %d, answers %v", n, len(b.requests), rec.answers)
	}
}

// The decision is checked again when the connection is established. Prevents requests from reaching a
// backend after a drain because connecting took long. An attempt that was not written has not been
// executed and does not count against its backend.
func TestMaySendOnConnect(t *testing.T) {
	drained, removed := entry("b", 1), entry("b", 1)
	drained.State, removed.State = Draining, Removed
	for _, c := range []struct {
		name       string
		class      int
		mayHaveRun bool // a first attempt at b1 may just have been executed
		do         func(b *Balancer)
		want       bool
	}{
		{"nothing happened", nonIdempotent, false, func(*Balancer) {}, true},
		{"drained", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, false, []Backend{drained})
		}, false},
		{"removed", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, false, []Backend{removed})
		}, false},
		{"not in a full list", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, true, nil)
		}, false},
		{"drained and up again", idempotent, false, func(b *Balancer) {
			b.UpdateList(100*ms, false, []Backend{drained})
			b.UpdateList(110*ms, false, []Backend{entry("b", 1)})
		}, true},
		{"detached", idempotent, false, func(b *Balancer) { b.Detach("b1") }, false},
		{"detached and attached, in slow start", idempotent, false, func(b *Balancer) {
			b.Detach("b1")
			b.Attach(110*ms, "b1", 110*ms)
		}, false},
		{"the list is stale", idempotent, false, func(b *Balancer) {
			b.SetListFreshness(ListFreshness{FreshUntil: 150 * ms})
		}, false},
		{"the client disconnected", idempotent, false, func(b *Balancer) { b.ClientGone(100*ms, "r") },
			false},
		{"this balancer shuts down", idempotent, false, func(b *Balancer) { b.AbandonRequest("r") }, false},
		{"a retry within the deduplication window", deduplicated, true, func(*Balancer) {}, true},
		{"a retry after the deduplication window", deduplicated, true,
			func(b *Balancer) { b.classes[deduplicated].DedupWindow = 200 * ms }, false},
		{"an idempotent retry has no such window", idempotent, true,
			func(b *Balancer) { b.classes[idempotent].DedupWindow = 200 * ms }, true},
	} {
		b, rec := startBalancer(testSettings(), entry("b", 1))
		b.setAttemptTimeout(c.class, 100*ms)
		b.retryTokens = 5
		b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 2000 * ms})
		attempt := 0
		if c.mayHaveRun {
			b.AttemptDone(10*ms, Outcome{Request: "r", Result: ConnectionLost, Latency: 10 * ms})
			token, wait := rec.takeTimer(t)
			b.TimerFired(10*ms+wait, token)
			attempt = 1
		}
		failures := b.backends["b1"].failureShare
		c.do(b)
		if got := b.MaySendOnConnect(200*ms, "r"); got != c.want {
			t.Errorf("%s: may be sent: %t, want %t", c.name, got, c.want)
		}
		if c.want || len(rec.answers["r"]) > 0 {
			continue
		}
		b.AttemptDone(200*ms, Outcome{Request: "r", Attempt: attempt, Result: NotSent, Latency: 200 * ms})
		if m := b.backends["b1"]; m != nil && m.failureShare > failures {
			t.Errorf("%s: it counts against the backend", c.name)
		}
		if c.name == "the client disconnected" {
			if len(b.requests) > 0 {
				t.Errorf("%s: the request is kept", c.name)
			}
			continue
		}
		if len(rec.answers["r"]) == 0 { // waiting for the backoff to choose again
			token, wait := rec.takeTimer(t)
			b.TimerFired(200*ms+wait, token)
		}
		if strings.HasSuffix(c.name, "slow start") { // the reattached backend may be chosen
			if n := len(rec.sends); n != 2 || rec.sends[1].backend != "b1" {
				t.Errorf("%s: %d sends", c.name, n)
			}
			continue
		}
		if a := rec.onlyAnswer(t, "r"); !a.refused {
			t.Errorf("%s: failed, though it was not executed or may be executed again", c.name)
		}
	}
	if b, _ := startBalancer(testSettings(), entry("b", 1)); b.MaySendOnConnect(0, "none") {
		t.Error("an unknown request may be sent")
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() string {
		b, rec := startBalancer(testSettings(), append(zoneEntries("a", 3), zoneEntries("b", 3)...)...)
		for i := range 200 {
			id := fmt.Sprint("r", i)
			b.StartRequest(Time(i)*ms, Request{ID: id, Class: i % 5, Budget: 2000 * ms})
			b.AttemptDone(Time(i)*ms, Outcome{Request: id, Result: Result(i % 4), Latency: ms,
				Final: i%4 == 0})
		}
		return fmt.Sprint(rec.sends, rec.answers, rec.timers)
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs of the same events differ")
	}
}

// Prevents work that nobody waits for: where backends stop cancelled work, the outstanding attempt is
// cancelled once when its client disconnects; elsewhere it runs to its end.
func TestCancelWhenClientDisconnects(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		set := unevenSettings()
		set.CancelAbandoned = cancel
		b, rec := startBalancer(set, zoneEntries("b", 3)...)
		b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
		b.ClientGone(ms, "r")
		b.ClientGone(2*ms, "r")
		if want := map[bool]string{true: "[r 0]", false: "[]"}[cancel]; fmt.Sprint(rec.cancels) != want {
			t.Errorf("cancel %t: cancelled %v, want %v", cancel, rec.cancels, want)
		}
		m := b.backends[rec.sends[0].backend]
		b.AttemptDone(3*ms, Outcome{Request: "r", Result: Cancelled, Latency: 3 * ms, Final: true})
		if m.inFlight != 0 || m.failureShare != 0 || len(b.requests) != 0 || len(rec.answers) != 0 {
			t.Errorf("cancel %t: %d in flight, failures %v, %d requests, answers %v",
				cancel, m.inFlight, m.failureShare, len(b.requests), rec.answers)
		}
		b.StartRequest(4*ms, Request{ID: "served", Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(5*ms, Outcome{Request: "served", Result: OK, Latency: ms, Final: true})
		b.ClientGone(6*ms, "served")
		if len(rec.cancels) > 1 {
			t.Errorf("cancelled %v", rec.cancels)
		}
	}
}

// Prevents a limit that stays at zero when requests arrive before any backend is known.
func TestRequestsBeforeFirstList(t *testing.T) {
	rec := newRecorder()
	b := New(0, unevenSettings(), rec)
	for i := range 50 {
		b.StartRequest(Time(i)*10*ms, Request{ID: fmt.Sprint(i), Class: idempotent, Budget: 2000 * ms})
	}
	if len(rec.answers) != 50 {
		t.Errorf("%d of 50 answered before any backend was known", len(rec.answers))
	}
	b.UpdateList(500*ms, true, zoneEntries("b", 10))
	if b.limitMultiplier < minLimitMultiplier || b.baseLimit <= 0 {
		t.Errorf("limit multiplier %v of a base limit of %v after the first list", b.limitMultiplier,
			b.baseLimit)
	}
	if refused, _ := feedRequests(b, rec, 500*ms, 400, 10*ms, 100*ms, false); refused > 20 {
		t.Errorf("%d of 200 refused", refused)
	}
}
