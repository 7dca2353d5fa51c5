package logic

import (
	"fmt"
	"testing"
	"time"
)

// served runs n requests of a class, one at a time and each answered in 50 ms, from
// time at on and 100 ms apart. It returns when each backend got its first, and the time
// after the last.
func serveCalls(
	t *testing.T, b *Balancer, f *recorder, at Time, class, n int) (first map[string]Time, end Time) {
	t.Helper()
	first = map[string]Time{}
	for i := range n {
		id := fmt.Sprint(at, " ", i)
		from := len(f.sends)
		b.StartRequest(at, Request{ID: id, Class: class, Budget: 2000 * ms})
		if len(f.sends) == from {
			if len(f.answers[id]) != 1 {
				t.Fatalf("%s has neither a send nor one answer", id)
			}
			at += 100 * ms
			continue
		}
		to := f.last(t).backend
		if _, ok := first[to]; !ok {
			first[to] = at
		}
		b.AttemptDone(at+50*ms, Outcome{Request: id, Result: OK, Latency: 50 * ms, Final: true})
		at += 100 * ms
	}
	return first, at
}

// Guards against sends to a backend that is out by hand, by any way to choose one and
// whatever the list says meanwhile.
func TestDetached(t *testing.T) {
	entries := append(zoneEntries("b", 2), entry("a", 0))
	listAll := func(b *Balancer, now Time) { b.UpdateList(now, true, entries) }
	for _, c := range []struct {
		name string
		then func(b *Balancer, now Time)
	}{
		{"nothing", func(*Balancer, Time) {}},
		{"whole list", listAll},
		{"removed and listed again", func(b *Balancer, now Time) {
			b.UpdateList(now, false, []Backend{{ID: "b0", State: Removed}})
			if !b.IsKnown("b0") {
				t.Error("a backend that is out by hand is forgotten")
			}
			listAll(b, now+ms)
		}},
		{"restarted", func(b *Balancer, now Time) {
			l := entry("b", 0)
			l.StartedAt = now
			b.UpdateList(now, false, []Backend{l})
		}},
		{"a list without it, then with it", func(b *Balancer, now Time) {
			b.UpdateList(now, true, entries[1:])
			listAll(b, now+ms)
		}},
		{"ejected, its trial due", func(b *Balancer, now Time) { b.eject(now-time.Hour, b.backends["b0"]) }},
		{"all others ejected", func(b *Balancer, now Time) {
			b.eject(now, b.backends["b1"])
			b.eject(now, b.backends["a0"])
		}},
		{"all others turn calls away", func(b *Balancer, now Time) {
			b.backends["b1"].pausedUntil, b.backends["a0"].pausedUntil = now+time.Hour, now+time.Hour
		}},
		{"taken out twice", func(b *Balancer, now Time) { b.Detach("b0") }},
	} {
		for class := range testSettings().Classes {
			b, f := startBalancer(testSettings(), entries...)
			_, at := serveCalls(t, b, f, 0, class, 20)
			b.Detach("b0")
			c.then(b, at)
			if got, _ := serveCalls(t, b, f, at+10*ms, class, 60); got["b0"] != 0 {
				t.Errorf("%s, class %d: a send at %v", c.name, class, got["b0"])
			}
			if n := b.OutOfRotation(at + 20*time.Second); n < 1 || n > len(entries) {
				t.Errorf("%s: %d avoided", c.name, n)
			}
		}
	}
}

// A request whose first attempt failed waits for its backoff; what is detached in the
// meantime gets no second one.
func TestDetachedInBackoff(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 0))
	b.setAttemptTimeout(idempotent, 100*ms)
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	b.AttemptDone(10*ms, Outcome{Request: "r", Result: ConnectFailed, Latency: 10 * ms})
	token, wait := f.takeTimer(t)
	b.Detach("b0")
	b.TimerFired(10*ms+wait, token)
	if len(f.sends) != 1 || len(f.answers["r"]) != 1 || !f.answers["r"][0].refused {
		t.Errorf("%d sends, answers %v", len(f.sends), f.answers["r"])
	}
}

// With the last usable backend out, requests are refused at once.
func TestLastDetached(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 0))
	b.Detach("b0")
	b.StartRequest(0, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
	if len(f.sends) != 0 || len(f.answers["r"]) != 1 || !f.answers["r"][0].refused {
		t.Errorf("%d sends, answers %v", len(f.sends), f.answers["r"])
	}
}

// Guards against a backend that is left unused after its return: by the random first
// wait of cold backends, an ejection from before, or a pace from before. Its second
// call is spaced as a cold one's, whatever the list knows of its start.
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
			b, f := startBalancer(set, entries...)
			_, at := serveCalls(t, b, f, 0, idempotent, 50)
			before(b, at)
			b.Detach("b0")
			_, at = serveCalls(t, b, f, at, idempotent, 50)
			b.Attach(at, "b0")
			if w := b.backends["b0"].warmUpFraction(at, &set); w > 2*set.InitialWarmUpFraction {
				t.Fatalf("back with a warmth of %.2f", w)
			}
			from := len(f.sends)
			first, end := serveCalls(t, b, f, at, idempotent, 40)
			if got, ok := first["b0"]; !ok || got-at > 2*b.baseEjectionTime+200*ms {
				t.Errorf("seed %d: first call after %v", seed, got-at)
			}
			calls := 0
			for _, s := range f.sends[from:] {
				if s.backend == "b0" {
					calls++
				}
			}
			if calls > 2 {
				t.Errorf("seed %d: %d calls to a cold backend in %v", seed, calls, end-at)
			}
		}
	}
}

// Calls that repeat, come for ids that nobody has, or for a backend that is not out,
// change nothing; a ban outlives the backend's place in the list.
func TestRepeatedDetachAndAttach(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 2)...)
	if b.IsKnown("nobody") || !b.IsKnown("b0") {
		t.Error("knows nobody, or not b0")
	}
	b.Attach(0, "b0")
	if m := b.backends["b0"]; m.ejections != 0 || m.attachedAt != 0 {
		t.Error("a backend that was not out starts cold")
	}
	b.Attach(0, "nobody")
	b.Detach("b0")
	b.Detach("b0")
	b.UpdateList(ms, false, []Backend{{ID: "b0", State: Removed}})
	b.Attach(2*ms, "b0")
	b.UpdateList(3*ms, false, []Backend{entry("b", 0)})
	if first, _ := serveCalls(t, b, f, 10*ms, idempotent, 10); first["b0"] == 0 {
		t.Error("out after the call back")
	}
	if n := b.OutOfRotation(time.Second); n != 0 {
		t.Errorf("%d avoided", n)
	}
}

// News of a restart from before the return says nothing new: guards against a first
// call that is put off by it.
func TestRestartBeforeAttachIsIgnored(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 2)...)
	b.Detach("b0")
	b.Attach(1000*ms, "b0")
	due := b.backends["b0"].probeAt
	l := entry("b", 0)
	l.StartedAt = 900 * ms
	b.UpdateList(1100*ms, false, []Backend{l})
	if m := b.backends["b0"]; m.ejections != 1 || m.probeAt != due || m.spacingFactor != 0 {
		t.Errorf("the trial is gone: %+v", m)
	}
}

// What has passed through can't be sent again, even where it never ran; what has not
// can. Guards against a second attempt with half a body.
func TestNotReplayable(t *testing.T) {
	for _, c := range []struct {
		notReplayable bool
		sends         int
	}{{true, 1}, {false, 2}} {
		b, f := startBalancer(testSettings(), zoneEntries("b", 2)...)
		b.setAttemptTimeout(idempotent, 100*ms)
		b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(10*ms, Outcome{Request: "r", Result: ConnectFailed, Latency: 10 * ms,
			NotReplayable: c.notReplayable})
		if !c.notReplayable {
			token, wait := f.takeTimer(t)
			b.TimerFired(10*ms+wait, token)
		}
		if len(f.sends) != c.sends ||
			c.notReplayable && (len(f.answers["r"]) != 1 || !f.answers["r"][0].refused) {
			t.Errorf("spent %t: %d sends, answers %v", c.notReplayable, len(f.sends), f.answers["r"])
		}
	}
}

// A long request counts as a call in flight only once it is wholly at its backend:
// guards against slow uploads that fill the limit. It counts once, and for nothing after.
func TestStreamedRequestInFlight(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 2)...)
	inFlight := func() (n int) {
		for _, m := range b.listed {
			n += m.inFlight
		}
		return n
	}
	for i := range 200 {
		b.StartRequest(0, Request{ID: fmt.Sprint("long ", i), Class: nonIdempotent, Budget: 2000 * ms,
			Streamed: true})
	}
	if n := inFlight(); n != 0 {
		t.Errorf("%d in flight", n)
	}
	b.StartRequest(ms, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
	if n := inFlight(); n != 1 {
		t.Errorf("an ordinary one beside them: %d in flight", n)
	}
	b.RequestWritten(time.Second, "long 0")
	b.RequestWritten(time.Second, "long 0")
	b.RequestWritten(time.Second, "nobody")
	if n := inFlight(); n != 2 {
		t.Errorf("one written whole: %d in flight", n)
	}
	for i := range 200 {
		id := fmt.Sprint("long ", i)
		b.AttemptDone(2*time.Second, Outcome{Request: id, Result: OK, Latency: 50 * ms, Final: true,
			NotReplayable: true})
	}
	b.AttemptDone(2*time.Second, Outcome{Request: "r", Result: OK, Latency: 50 * ms, Final: true})
	if n := inFlight(); n != 0 || len(b.requests) != 0 {
		t.Errorf("after all: %d in flight, %d requests", n, len(b.requests))
	}
}

// Guards against a limit that goes on counting backends that are out by hand: their part
// of the calls would crowd the rest.
func TestDetachedShrinksLimit(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
	before := b.totals(0, &b.listedSummary)
	b.Detach("b0")
	b.Detach("b1")
	if got := b.totals(0, &b.listedSummary); got.backendCount != before.backendCount-2 ||
		got.effectiveCapacity != before.effectiveCapacity-2 {
		t.Errorf("%+v with all, %+v with two out", before, got)
	}
}

// Guards against a return that waits for a request that can be tried again, where none
// comes: the trial takes any other within two of the first ejection's times, well before
// the 5 s that the operators allow.
func TestAttachedWithNonIdempotentCallsOnly(t *testing.T) {
	for seed := range uint64(20) {
		set := testSettings()
		set.Seed = seed
		b, f := startBalancer(set, append(zoneEntries("b", 4), zoneEntries("a", 4)...)...)
		_, at := serveCalls(t, b, f, 0, nonIdempotent, 50)
		b.Detach("b0")
		_, at = serveCalls(t, b, f, at, nonIdempotent, 20)
		b.Attach(at, "b0")
		first, _ := serveCalls(t, b, f, at, nonIdempotent, 50)
		if got, ok := first["b0"]; !ok || got-at > 2*b.baseEjectionTime+200*ms {
			t.Errorf("seed %d: first call after %v", seed, got-at)
		}
	}
}
