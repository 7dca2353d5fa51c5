// Tests of the list of backends and its freshness.

package logic

import (
	"fmt"
	"testing"
)

func TestDrain(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 1), entry("b", 2))
	b.setAttemptTimeout(idempotent, 100*ms)
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	b.AttemptDone(10*ms, Outcome{Request: "r", Result: Rejected})
	token, wait := rec.takeTimer(t)
	for _, id := range []string{"b1", "b2"} { // during the retry's backoff
		l := entry("b", int(id[1]-'0'))
		l.State = Draining
		if id == "b2" {
			l.State = Removed
		}
		b.UpdateList(15*ms, false, []Backend{l})
	}
	b.TimerFired(10*ms+wait, token)
	b.StartRequest(200*ms, Request{ID: "s", Class: idempotent, Budget: 2000 * ms})
	if len(rec.sends) != 1 {
		t.Errorf("sent to %s, which is draining or removed", rec.last(t).backend)
	}
	rec.onlyAnswer(t, "r")
	rec.onlyAnswer(t, "s")
	b.UpdateList(300*ms, true, []Backend{entry("b", 3)}) // a full list without b1 and b2
	b.StartRequest(300*ms, Request{ID: "u", Class: idempotent, Budget: 2000 * ms})
	if rec.last(t).backend != "b3" {
		t.Errorf("sent to %s, want b3", rec.last(t).backend)
	}
	if len(b.backends) != 1 {
		t.Errorf("%d backends kept, want 1", len(b.backends))
	}
}

func TestEmptyList(t *testing.T) {
	b, rec := startBalancer(testSettings())
	b.StartRequest(0, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
	if !rec.onlyAnswer(t, "r").refused {
		t.Error("nothing was sent, yet the answer is not a refusal")
	}
}

// From the moment at which the list may lack changes that count as announced, any backend may be
// draining. If discovery is unreachable, one that has just served a call is used for somewhat longer; all
// other requests are refused at once until the list is fresh. Receiving a list, from whatever source,
// does not move that moment. Incident: docs/incidents/silentwatch.md.
func TestStaleListIsNotUsed(t *testing.T) {
	set := testSettings()
	set.DrainGrace = 500 * ms
	b, rec := startBalancer(set, entry("b", 0), entry("b", 1))
	b.setLimit(10)
	serial := 0
	send := func(at Time) string { // returns the backend that got the call, or ""
		serial++
		id, sends := fmt.Sprint(serial), len(rec.sends)
		b.StartRequest(at, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		if len(rec.sends) == sends {
			if a := rec.onlyAnswer(t, id); !a.refused || a.retryAfter == 0 {
				t.Errorf("at %v: %+v, want a refusal with a retry-after time", at, a)
			}
			return ""
		}
		return rec.last(t).backend
	}
	answer := func(at Time) {
		b.AttemptDone(at, Outcome{Request: fmt.Sprint(serial), Result: OK, Latency: 100 * ms, Final: true})
	}
	expectRefusals := func(reason string, times ...Time) {
		t.Helper()
		for _, at := range times {
			if to := send(at); to != "" {
				t.Errorf("at %v to %q: %s", at, to, reason)
			}
		}
	}
	b.SetListFreshness(ListFreshness{FreshUntil: 16000 * ms, StaleUntil: 16000 * ms,
		EvidenceWindow: 6000 * ms})
	if send(15900*ms) == "" {
		t.Fatal("refused while the list is fresh")
	}
	answer(15990 * ms)
	expectRefusals("it may be draining, whatever it has answered", 16000*ms, 16100*ms, 16390*ms, 30000*ms)
	b.UpdateList(30100*ms, true, []Backend{entry("b", 0), entry("b", 1)})
	expectRefusals("the list received does not make it fresh", 30150*ms)
	b.SetListFreshness(ListFreshness{FreshUntil: 36100 * ms, StaleUntil: 36100 * ms,
		EvidenceWindow: 6000 * ms})
	if send(30200*ms) == "" {
		t.Error("refused though the list is fresh")
	}
	answer(30300 * ms)
	took, first := send(36000*ms), fmt.Sprint(serial)
	if took == "" {
		t.Fatal("refused though the list is fresh")
	}
	// Discovery is unreachable: a backend that has served a call is used while it goes on serving, and no
	// longer than StaleUntil.
	b.SetListFreshness(ListFreshness{FreshUntil: 36100 * ms, StaleUntil: 44000 * ms,
		EvidenceWindow: 1000 * ms, ConfirmedAt: 36000 * ms, MaxUnobserved: 2000 * ms})
	expectRefusals("it has served nothing yet", 36150*ms)
	b.AttemptDone(36200*ms, Outcome{Request: first, Result: OK, Latency: 100 * ms, Final: true})
	for _, at := range []Time{36300 * ms, 36990 * ms} {
		if to := send(at); to != took {
			t.Errorf("at %v to %q, want %q, which served a call sent at 36 s", at, to, took)
		}
	}
	answer(37100 * ms) // sent at 36.99 s
	if to := send(37980 * ms); to != took {
		t.Errorf("to %q, want %q, which served a call sent at 36.99 s", to, took)
	}
	b.AttemptDone(37990*ms, Outcome{Request: fmt.Sprint(serial), Result: Rejected, Latency: 10 * ms,
		Final: true})
	expectRefusals("it rejected the last call", 38000*ms)
	b.SetListFreshness(ListFreshness{FreshUntil: 50000 * ms, StaleUntil: 50000 * ms,
		EvidenceWindow: 6000 * ms})
	if send(49900*ms) == "" {
		t.Fatal("refused though the list is fresh")
	}
	answer(49950 * ms)
	b.SetListFreshness(ListFreshness{FreshUntil: 49000 * ms, StaleUntil: 49500 * ms,
		EvidenceWindow: 6000 * ms})
	expectRefusals("StaleUntil has passed, whatever was served since", 49960*ms)
	b.SetListFreshness(ListFreshness{}) // no freshness is tracked, as in the simulator
	if send(60000*ms) == "" {
		t.Error("refused though no freshness is tracked")
	}
}
