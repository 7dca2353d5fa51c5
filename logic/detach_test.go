package logic

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// serveCalls makes n calls of a class from the given time on, one at a time, 100 ms apart and each
// answered in 50 ms. It returns when each backend got its first call, and the time after the last call.
func serveCalls(
	t *testing.T, b *Balancer, rec *recorder, at Time, class, n int) (first map[string]Time, end Time) {
	t.Helper()
	first = map[string]Time{}
	for i := range n {
		id := fmt.Sprint(at, " ", i)
		from := len(rec.sends)
		b.StartRequest(at, Request{ID: id, Class: class, Budget: 2000 * ms})
		if len(rec.sends) == from {
			if len(rec.answers[id]) != 1 {
				t.Fatalf("%s has neither a send nor one answer", id)
			}
			at += 100 * ms
			continue
		}
		to := rec.last(t).backend
		if _, ok := first[to]; !ok {
			first[to] = at
		}
		b.AttemptDone(at+50*ms, Outcome{Request: id, Result: OK, Latency: 50 * ms, Final: true})
		at += 100 * ms
	}
	return first, at
}

// Prevents sends to a detached backend, whichever way backends are chosen and whatever the list says
// meanwhile.
func TestDetached(t *testing.T) {
	entries := append(zoneEntries("b", 2), entry("a", 0))
	listAll := func(b *Balancer, now Time) { b.UpdateList(now, true, entries) }
	for _, c := range []struct {
		name string
		then func(b *Balancer, now Time)
	}{
		{"nothing", func(*Balancer, Time) {}},
		{"full list", listAll},
		{"removed and listed again", func(b *Balancer, now Time) {
			b.UpdateList(now, false, []Backend{{ID: "b0", State: Removed}})
			if !b.IsKnown("b0") {
				t.Error("a detached backend is no longer known")
			}
			listAll(b, now+ms)
		}},
		{"restarted", func(b *Balancer, now Time) {
			l := entry("b", 0)
			l.StartedAt = now
			b.UpdateList(now, false, []Backend{l})
		}},
		{"a list without the backend, then one with it", func(b *Balancer, now Time) {
			b.UpdateList(now, true, entries[1:])
			listAll(b, now+ms)
		}},
		{"ejected, its probe due", func(b *Balancer, now Time) { b.eject(now-time.Hour, b.backends["b0"]) }},
		{"all others ejected", func(b *Balancer, now Time) {
			b.eject(now, b.backends["b1"])
			b.eject(now, b.backends["a0"])
		}},
		{"all others reject calls", func(b *Balancer, now Time) {
			b.backends["b1"].pausedUntil, b.backends["a0"].pausedUntil = now+time.Hour, now+time.Hour
		}},
		{"detached twice", func(b *Balancer, now Time) { b.Detach("b0") }},
	} {
		for class := range testSettings().Classes {
			b, rec := startBalancer(testSettings(), entries...)
			_, at := serveCalls(t, b, rec, 0, class, 20)
			b.Detach("b0")
			c.then(b, at)
			if got, _ := serveCalls(t, b, rec, at+10*ms, class, 60); got["b0"] != 0 {
				t.Errorf("%s, class %d: a send at %v", c.name, class, got["b0"])
			}
			if n := b.OutOfRotation(at + 20*time.Second); n < 1 || n > len(entries) {
				t.Errorf("%s: %d out of rotation", c.name, n)
			}
		}
	}
}

// A request whose first attempt failed waits for its backoff; a backend detached meanwhile gets no second
// attempt.
func TestDetachedInBackoff(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 0))
	b.setAttemptTimeout(idempotent, 100*ms)
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	b.AttemptDone(10*ms, Outcome{Request: "r", Result: ConnectFailed, Latency: 10 * ms})
	token, wait := rec.takeTimer(t)
	b.Detach("b0")
	b.TimerFired(10*ms+wait, token)
	if len(rec.sends) != 1 || len(rec.answers["r"]) != 1 || !rec.answers["r"][0].refused {
		t.Errorf("%d sends, answers %v", len(rec.sends), rec.answers["r"])
	}
}

// With the last usable backend detached, requests are refused at once.
func TestLastDetached(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 0))
	b.Detach("b0")
	b.StartRequest(0, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
	if len(rec.sends) != 0 || len(rec.answers["r"]) != 1 || !rec.answers["r"][0].refused {
		t.Errorf("%d sends, answers %v", len(rec.sends), rec.answers["r"])
	}
}

// Prevents a backend from staying unused after it is attached: because of the random first delay of slow
// start, or an ejection or latency from before. Its second call is spaced as in slow start, whatever
// start time the list has.
func TestAttached(t *testing.T) {
	entries := append(zoneEntries("b", 8), zoneEntries("a", 8)...)
	for seed := range uint64(20) {
		for _, before := range []func(b *Balancer, at Time){
			func(*Balancer, Time) {},
			func(b *Balancer, at Time) { b.eject(at, b.backends["b0"]); b.backends["b0"].ejections = 4 },
			func(b *Balancer, at Time) { b.backends["b0"].relativeLatency = 50 },
		} {
			set := testSettings()
			set.Seed = seed
			b, rec := startBalancer(set, entries...)
			_, at := serveCalls(t, b, rec, 0, idempotent, 50)
			before(b, at)
			b.Detach("b0")
			_, at = serveCalls(t, b, rec, at, idempotent, 50)
			b.Attach(at, "b0", at)
			if w := b.backends["b0"].warmUpFraction(at, &set); w > 2*set.InitialWarmUpFraction {
				t.Fatalf("attached with a warm-up fraction of %.2f", w)
			}
			from := len(rec.sends)
			first, end := serveCalls(t, b, rec, at, idempotent, 40)
			if got, ok := first["b0"]; !ok || got-at > 2*b.baseEjectionTime+200*ms {
				t.Errorf("seed %d: first call after %v", seed, got-at)
			}
			calls := 0
			for _, s := range rec.sends[from:] {
				if s.backend == "b0" {
					calls++
				}
			}
			if calls > 2 {
				t.Errorf("seed %d: %d calls to a backend in slow start in %v", seed, calls, end-at)
			}
		}
	}
}

// Repeated calls, and calls for unknown IDs or backends that are not detached, change nothing. A
// detachment persists when the backend leaves the list.
func TestRepeatedDetachAndAttach(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 2)...)
	if b.IsKnown("unknown") || !b.IsKnown("b0") {
		t.Error("an unknown backend is known, or b0 is not")
	}
	b.Attach(0, "b0", 0)
	if m := b.backends["b0"]; m.ejections != 0 || m.attachedAt != 0 {
		t.Error("a backend that was not detached begins a slow start")
	}
	b.Attach(0, "unknown", 0)
	b.Detach("b0")
	b.Detach("b0")
	b.UpdateList(ms, false, []Backend{{ID: "b0", State: Removed}})
	b.Attach(2*ms, "b0", 2*ms)
	b.UpdateList(3*ms, false, []Backend{entry("b", 0)})
	if first, _ := serveCalls(t, b, rec, 10*ms, idempotent, 10); first["b0"] == 0 {
		t.Error("still detached after Attach")
	}
	if n := b.OutOfRotation(time.Second); n != 0 {
		t.Errorf("%d out of rotation", n)
	}
}

// Guards against a backend that was attached a moment ago and is listed only now being taken for warm,
// and against a slow start that begins anew where another balancer ended the detachment earlier.
func TestAttachedBeforeListedOrElsewhere(t *testing.T) {
	set := testSettings()
	for _, age := range []time.Duration{0, set.WarmUpTime / 2, set.WarmUpTime} {
		now := 1000*ms + 2*set.WarmUpTime
		warm := float64(age) / float64(set.WarmUpTime)
		want := min(1, set.InitialWarmUpFraction+(1-set.InitialWarmUpFraction)*warm)
		for _, listed := range []bool{true, false} {
			b, _ := startBalancer(set, zoneEntries("b", 2)...)
			if !listed {
				b.UpdateList(now, false, []Backend{{ID: "b0", State: Removed}})
			}
			b.Detach("b0")
			b.Attach(now, "b0", now-age)
			b.UpdateList(now, false, []Backend{entry("b", 0)})
			if got := b.backends["b0"].warmUpFraction(now, &set); math.Abs(got-want) > 0.001 {
				t.Errorf("attached %v ago, listed then %t: fraction %.3f, want %.3f", age, listed, got, want)
			}
		}
	}
}

// Guards against a balancer that refuses everything after a start in which all that is listed was
// detached: once a backend is attached, it is used, without another list.
func TestAttachedAfterAStartWithAllDetached(t *testing.T) {
	set := testSettings()
	b, rec := startBalancer(set)
	b.Detach("b0")
	b.Detach("b1")
	b.UpdateList(0, true, zoneEntries("b", 2))
	if first, _ := serveCalls(t, b, rec, 10*ms, idempotent, 5); len(first) > 0 {
		t.Errorf("calls to detached backends: %v", first)
	}
	b.Attach(1000*ms, "b0", 1000*ms)
	if first, _ := serveCalls(t, b, rec, 1000*ms, idempotent, 40); first["b0"] == 0 || first["b1"] != 0 {
		t.Errorf("first calls after the attachment: %v, want one to b0 alone", first)
	}
	from := len(rec.sends)
	serveCalls(t, b, rec, set.WarmUpTime+2000*ms, idempotent, 20)
	if sent := len(rec.sends) - from; sent != 20 {
		t.Errorf("%d of 20 calls were sent once the backend was warm, with a limit of %v", sent, b.limit())
	}
}

// A restart reported late, from before the attachment, is no news. Prevents it from delaying the first
// call.
func TestRestartBeforeAttachIsIgnored(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 2)...)
	b.Detach("b0")
	b.Attach(1000*ms, "b0", 1000*ms)
	due := b.backends["b0"].probeAt
	l := entry("b", 0)
	l.StartedAt = 900 * ms
	b.UpdateList(1100*ms, false, []Backend{l})
	if m := b.backends["b0"]; m.ejections != 1 || m.probeAt != due || m.spacingFactor != 0 {
		t.Errorf("the probe was dropped: %+v", m)
	}
}

// A streamed request can't be sent again, even if it was never executed. Prevents a second attempt with
// half of the body.
func TestNotReplayable(t *testing.T) {
	for _, c := range []struct {
		notReplayable bool
		sends         int
	}{{true, 1}, {false, 2}} {
		b, rec := startBalancer(testSettings(), zoneEntries("b", 2)...)
		b.setAttemptTimeout(idempotent, 100*ms)
		b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(10*ms, Outcome{Request: "r", Result: ConnectFailed, Latency: 10 * ms,
			NotReplayable: c.notReplayable})
		if !c.notReplayable {
			token, wait := rec.takeTimer(t)
			b.TimerFired(10*ms+wait, token)
		}
		if len(rec.sends) != c.sends ||
			c.notReplayable && (len(rec.answers["r"]) != 1 || !rec.answers["r"][0].refused) {
			t.Errorf("not replayable %t: %d sends, answers %v", c.notReplayable, len(rec.sends),
				rec.answers["r"])
		}
	}
}

// A streamed request counts as a call in flight only once it is written in full: prevents slow uploads
// from using up the limit. It counts once, and not after its end.
func TestStreamedRequestInFlight(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 2)...)
	inFlight := func() (n int) {
		for _, m := range b.listed {
			n += m.inFlight
		}
		return n
	}
	for i := range 200 {
		b.StartRequest(0, Request{ID: fmt.Sprint("streamed ", i), Class: nonIdempotent, Budget: 2000 * ms,
			Streamed: true})
	}
	if n := inFlight(); n != 0 {
		t.Errorf("%d in flight", n)
	}
	b.StartRequest(ms, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
	if n := inFlight(); n != 1 {
		t.Errorf("with a request that is not streamed: %d in flight", n)
	}
	b.RequestWritten(time.Second, "streamed 0")
	b.RequestWritten(time.Second, "streamed 0")
	b.RequestWritten(time.Second, "unknown")
	if n := inFlight(); n != 2 {
		t.Errorf("with one written in full: %d in flight", n)
	}
	for i := range 200 {
		id := fmt.Sprint("streamed ", i)
		b.AttemptDone(2*time.Second, Outcome{Request: id, Result: OK, Latency: 50 * ms, Final: true,
			NotReplayable: true})
	}
	b.AttemptDone(2*time.Second, Outcome{Request: "r", Result: OK, Latency: 50 * ms, Final: true})
	if n := inFlight(); n != 0 || len(b.requests) != 0 {
		t.Errorf("after all ended: %d in flight, %d requests", n, len(b.requests))
	}
}

// Prevents the limit from still counting detached backends: their share of the calls would overload the
// others.
func TestDetachedShrinksLimit(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
	before := b.totals(0, &b.listedSummary)
	b.Detach("b0")
	b.Detach("b1")
	if got := b.totals(0, &b.listedSummary); got.backendCount != before.backendCount-2 ||
		got.effectiveCapacity != before.effectiveCapacity-2 {
		t.Errorf("%+v with all, %+v with two detached", before, got)
	}
}

// Prevents the first call after an attachment from waiting for a retryable request where there is none:
// the probe uses any request within twice the base ejection time, well before the 5 s that operators
// allow.
func TestAttachedWithNonIdempotentCallsOnly(t *testing.T) {
	for seed := range uint64(20) {
		set := testSettings()
		set.Seed = seed
		b, rec := startBalancer(set, append(zoneEntries("b", 4), zoneEntries("a", 4)...)...)
		_, at := serveCalls(t, b, rec, 0, nonIdempotent, 50)
		b.Detach("b0")
		_, at = serveCalls(t, b, rec, at, nonIdempotent, 20)
		b.Attach(at, "b0", at)
		first, _ := serveCalls(t, b, rec, at, nonIdempotent, 50)
		if got, ok := first["b0"]; !ok || got-at > 2*b.baseEjectionTime+200*ms {
			t.Errorf("seed %d: first call after %v", seed, got-at)
		}
	}
}
