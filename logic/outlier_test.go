// Outlier ejection, and the trial calls that end it.

package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against a backend that fails fast: it looks idle and draws the calls.
func TestEjectionAndProbe(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	n := 0
	call := func(now Time, bad bool) string {
		id := fmt.Sprint("r", n)
		n++
		b.retryTokens = 0
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		to := f.last(t).backend
		if bad && to == "b2" {
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
		t.Fatal("no trial call when it is due")
	}
	if call(later+2*ms, true) == "b2" {
		t.Fatal("in use again after a failed trial")
	}
	if next := b.backends["b2"].probeAt; next-later <= b.baseEjectionTime {
		t.Errorf("second ejection lasts %v, want longer than the first", next-later)
	}
	later = b.backends["b2"].probeAt
	if call(later, false) != "b2" || b.backends["b2"].ejections != 0 {
		t.Error("a good trial did not bring the backend back")
	}
}

// Failures that all backends share are no reason to eject any of them.
func TestSharedFailureEjectsNobody(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
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
	if len(f.sends) != 100 {
		t.Errorf("%d sends, want 100: with all failing traffic stays", len(f.sends))
	}
}

// Guards against backends that are full or drain unheard: turning calls away at
// once, they look the idlest of all.
func TestRejectingBackendIsPaused(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 3)...)
	b.settings.Tier = 1
	rejected := 0
	for i := range 300 {
		id := fmt.Sprint("r", i)
		now := Time(i) * ms
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		if f.last(t).backend == "b1" {
			rejected++
			b.AttemptDone(now, Outcome{Request: id, Result: Rejected})
			continue
		}
		b.AttemptDone(now+40*ms, Outcome{Request: id, Result: OK, Latency: 40 * ms, Final: true})
	}
	if rejected == 0 || rejected > 15 { // a pause is about half the mean latency, 20 ms
		t.Errorf("%d calls to the full backend, want a few of 300", rejected)
	}
}

// Guards against all traffic on one backend when every group fails, and against
// calls at backends that are full where no other is left.
func TestAllFailing(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 8)...)
	b.settings.Tier = 1
	for _, m := range b.listed[:5] {
		b.summaryVersion++
		m.ejections, m.probeAt = 1, 1000*ms
	}
	got := map[string]int{}
	for i := range 9 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		got[f.last(t).backend]++
	}
	if len(got) != 3 {
		t.Errorf("calls %v, want them spread over the three in use", got)
	}
	for _, m := range b.listed {
		m.pausedUntil = 50 * ms
	}
	b.StartRequest(ms, Request{ID: "full", Class: nonIdempotent, Budget: 2000 * ms})
	if !f.onlyAnswer(t, "full").refused {
		t.Error("not refused, though every backend was full just now")
	}
}

// Guards against healthy backends left out where a few in a hundred answers are spoilt,
// on any backend alike: two such in a row are chance.
func TestOccasionalFailuresEjectNobody(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	rng := rand.New(rand.NewPCG(3, 0))
	out, calls := 0, 4000
	for i := range calls {
		id, now := fmt.Sprint("r", i), Time(i)*10*ms
		b.retryTokens = 0
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		f.last(t)
		if rng.Float64() < 0.08 {
			b.AttemptDone(now+5*ms, Outcome{Request: id, Result: Error, Latency: 5 * ms})
		} else {
			b.AttemptDone(now+5*ms, Outcome{Request: id, Result: OK, Latency: 5 * ms, Final: true})
		}
		for _, m := range b.listed {
			if m.ejections > 0 {
				out++
			}
		}
	}
	if share := float64(out) / float64(calls*len(b.listed)); share > 0.03 {
		t.Errorf("%.2f of the healthy fleet is left out", share)
	}
}

// Guards against a backend that is left out for good where allowances are long: no
// request could then be tried again after a trial, so none was made.
func TestOverdueProbe(t *testing.T) {
	for _, class := range []int{idempotent, nonIdempotent} {
		b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
		b.settings.Tier = 1
		for i := range b.classes {
			b.setAttemptTimeout(i, 1300*ms) // twice that fits no budget
		}
		b.eject(0, b.backends["b2"])
		due := b.backends["b2"].probeAt
		tried := func(now Time) bool {
			id := fmt.Sprint("r", now)
			b.StartRequest(now, Request{ID: id, Class: class, Budget: 2000 * ms})
			to := f.last(t).backend
			b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: 100 * ms, Final: true})
			return to == "b2"
		}
		if tried(due) || tried(due+b.baseEjectionTime-1) {
			t.Error("a trial with a request that can't be tried again, before it is overdue")
		}
		if !tried(due+b.baseEjectionTime) || b.backends["b2"].ejections != 0 {
			t.Error("no trial when overdue")
		}
	}
}

// observed is Actions that observes.
type statusRecorder struct {
	*recorder
	changes []string
}

func (o *statusRecorder) BackendStatusChanged(backend string, s BackendStatus, _ float64) {
	o.changes = append(o.changes, backend+" "+s.String())
}

// Each change of a backend's standing is told once: not again while it stays ejected.
func TestStatusChangesAreReported(t *testing.T) {
	o := &statusRecorder{recorder: newRecorder()}
	b := New(0, testSettings(), o)
	b.UpdateList(0, true, zoneEntries("b", 4))
	m := b.backends["b0"]
	b.eject(0, m)
	b.eject(0, m) // a trial has failed
	b.updateEjection(0, &attempt{backend: m, probe: true}, &b.classes[idempotent], OK)
	if want := []string{"b0 ejected", "b0 in_use"}; !slices.Equal(o.changes, want) {
		t.Errorf("told %v, want %v", o.changes, want)
	}
}
