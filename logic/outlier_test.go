// Tests of outlier ejection and the probes that end it.

package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Prevents a backend that fails fast from attracting calls because it looks idle.
func TestEjectionAndProbe(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	n := 0
	call := func(now Time, fail bool) string {
		id := fmt.Sprint("r", n)
		n++
		b.retryTokens = 0
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		to := rec.last(t).backend
		if fail && to == "b2" {
			b.AttemptDone(now+ms, Outcome{Request: id, Result: Error, Latency: ms})
		} else {
			b.AttemptDone(now+ms, Outcome{Request: id, Result: OK, Latency: ms, Final: true})
		}
		return to
	}
	for i := range 40 {
		call(Time(i)*ms, true)
	}
	for i := range 20 {
		if call(100*ms+Time(i), true) == "b2" {
			t.Fatal("the failing backend still gets calls")
		}
	}
	later := b.backends["b2"].probeAt
	if call(later, true) != "b2" {
		t.Fatal("no probe when it is due")
	}
	if call(later+2*ms, true) == "b2" {
		t.Fatal("in use again after a failed probe")
	}
	if next := b.backends["b2"].probeAt; next-later <= b.baseEjectionTime {
		t.Errorf("second ejection lasts %v, want longer than the first", next-later)
	}
	later = b.backends["b2"].probeAt
	if call(later, false) != "b2" || b.backends["b2"].ejections != 0 {
		t.Error("a successful probe did not bring the backend back")
	}
}

// Failures common to all backends are no reason to eject any of them.
func TestSharedFailureEjectsNobody(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	for i := range 100 {
		id := fmt.Sprint("r", i)
		b.StartRequest(Time(i)*ms, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		b.AttemptDone(Time(i)*ms, Outcome{Request: id, Result: Error})
	}
	for id, m := range b.backends {
		if m.ejections > 0 {
			t.Errorf("%s was ejected", id)
		}
	}
	if len(rec.sends) != 100 {
		t.Errorf("%d sends, want 100: with all failing, none is avoided", len(rec.sends))
	}
}

// Prevents calls from going to backends that are full, or draining before the list says so: since they
// reject calls at once, they look the idlest of all.
func TestRejectingBackendIsPaused(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 3)...)
	b.settings.Tier = 1
	rejected := 0
	for i := range 300 {
		id := fmt.Sprint("r", i)
		now := Time(i) * ms
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		if rec.last(t).backend == "b1" {
			rejected++
			b.AttemptDone(now, Outcome{Request: id, Result: Rejected})
			continue
		}
		b.AttemptDone(now+40*ms, Outcome{Request: id, Result: OK, Latency: 40 * ms, Final: true})
	}
	if rejected == 0 || rejected > 15 { // a pause is about half the mean latency, 20 ms
		t.Errorf("%d calls to the rejecting backend, want a few of 300", rejected)
	}
}

// Prevents all traffic from going to one backend when every group fails, and calls to backends that just
// rejected calls when no other is left.
func TestAllFailing(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 8)...)
	b.settings.Tier = 1
	for _, m := range b.listed[:5] {
		b.summaryVersion++
		m.ejections, m.probeAt = 1, 1000*ms
	}
	got := map[string]int{}
	for i := range 9 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		got[rec.last(t).backend]++
	}
	if len(got) != 3 {
		t.Errorf("calls %v, want them spread over the three in use", got)
	}
	for _, m := range b.listed {
		m.pausedUntil = 50 * ms
	}
	b.StartRequest(ms, Request{ID: "full", Class: nonIdempotent, Budget: 2000 * ms})
	if !rec.onlyAnswer(t, "full").refused {
		t.Error("not refused, though every backend has just rejected a call")
	}
}

// Prevents the ejection of healthy backends where a few in a hundred answers are malformed on any
// backend: two such answers in a row are chance.
func TestOccasionalFailuresEjectNobody(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	rng := rand.New(rand.NewPCG(3, 0))
	ejected, calls := 0, 4000
	for i := range calls {
		id, now := fmt.Sprint("r", i), Time(i)*10*ms
		b.retryTokens = 0
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		rec.last(t)
		if rng.Float64() < 0.08 {
			b.AttemptDone(now+5*ms, Outcome{Request: id, Result: Error, Latency: 5 * ms})
		} else {
			b.AttemptDone(now+5*ms, Outcome{Request: id, Result: OK, Latency: 5 * ms, Final: true})
		}
		for _, m := range b.listed {
			if m.ejections > 0 {
				ejected++
			}
		}
	}
	if share := float64(ejected) / float64(calls*len(b.listed)); share > 0.03 {
		t.Errorf("%.2f of the healthy fleet is ejected", share)
	}
}

// Prevents a backend from staying ejected forever where attempt timeouts are long: no request could be
// retried after a probe, so no probe was sent.
func TestOverdueProbe(t *testing.T) {
	for _, class := range []int{idempotent, nonIdempotent} {
		b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
		b.settings.Tier = 1
		for i := range b.classes {
			b.setAttemptTimeout(i, 1300*ms) // twice that exceeds every time budget
		}
		b.eject(0, b.backends["b2"])
		due := b.backends["b2"].probeAt
		probed := func(now Time) bool {
			id := fmt.Sprint("r", now)
			b.StartRequest(now, Request{ID: id, Class: class, Budget: 2000 * ms})
			to := rec.last(t).backend
			b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: 100 * ms, Final: true})
			return to == "b2"
		}
		if probed(due) || probed(due+b.baseEjectionTime-1) {
			t.Error("a probe with a request that can't be retried, before it is overdue")
		}
		if !probed(due+b.baseEjectionTime) || b.backends["b2"].ejections != 0 {
			t.Error("no probe when overdue")
		}
	}
}

// statusRecorder implements Actions and Observer.
type statusRecorder struct {
	*recorder
	changes []string
}

func (rec *statusRecorder) BackendStatusChanged(backend string, s BackendStatus, _ float64) {
	rec.changes = append(rec.changes, backend+" "+s.String())
}

// Each change of a backend's status is reported once, and not again while it stays ejected.
func TestStatusChangesAreReported(t *testing.T) {
	rec := &statusRecorder{recorder: newRecorder()}
	b := New(0, testSettings(), rec)
	b.UpdateList(0, true, zoneEntries("b", 4))
	m := b.backends["b0"]
	b.eject(0, m)
	b.eject(0, m) // a failed probe
	b.updateEjection(0, &attempt{backend: m, probe: true}, &b.classes[idempotent], OK)
	if want := []string{"b0 ejected", "b0 in_use"}; !slices.Equal(rec.changes, want) {
		t.Errorf("reported %v, want %v", rec.changes, want)
	}
}
