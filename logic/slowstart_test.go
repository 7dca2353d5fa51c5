// Tests of slow start.

package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Prevents the overload of a backend in slow start: whatever the other backends' load, it gets no more
// than its share, spread over time.
func TestSlowStartShare(t *testing.T) {
	starting := entry("b", 9)
	starting.StartedAt = 1
	b, rec := startBalancer(testSettings(), append(zoneEntries("b", 4), starting)...)
	b.settings.Tier = 1
	counts := map[string]int{}
	now := Time(0)
	for i := range 400 {
		now = Time(i) * 5 * ms
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		counts[rec.last(t).backend]++
		b.AttemptDone(now+2*ms, Outcome{Request: id, Result: OK, Latency: 2 * ms, Final: true})
	}
	warmedUp := float64(counts["b0"]+counts["b1"]+counts["b2"]+counts["b3"]) / 4
	if share := float64(counts["b9"]) / warmedUp; share == 0 || share > 0.3 {
		t.Errorf("the backend in slow start got %.2f of another one's calls, want its small share", share)
	}
}

func TestAllBackendsInSlowStart(t *testing.T) {
	starting := entry("b", 1)
	starting.StartedAt = 1
	b, rec := startBalancer(testSettings(), starting)
	b.settings.Tier = 1
	for i := range 10 {
		b.StartRequest(Time(i+1)*ms, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
	}
	if len(rec.sends) > 1 {
		t.Errorf("a burst of %d calls to a backend in slow start, want 1 at most", len(rec.sends))
	}
	for i := range 200 {
		id := fmt.Sprint("s", i)
		now := Time(i) * 20 * ms
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(now+5*ms, Outcome{Request: id, Result: OK, Latency: 5 * ms, Final: true})
	}
	if len(rec.sends) < 10 {
		t.Errorf("%d calls in 4 s to the only backend, in slow start", len(rec.sends))
	}
}

// Prevents hundreds of balancers that learn of a new backend, together or one after the other, from each
// sending it a call at once: in sum they would overload it.
func TestManyBalancersSlowStart(t *testing.T) {
	const balancers, perSecond, window = 400, 20, 1500 * ms
	for _, spread := range []time.Duration{0, 2000 * ms} {
		var got []Time
		for n := range balancers {
			set := testSettings()
			set.Seed, set.Tier, set.BalancerCount, set.BalancerIndex = uint64(n), 1, balancers, n
			b, rec := startBalancer(set, zoneEntries("b", 15)...)
			rng := rand.New(rand.NewPCG(uint64(n), 2))
			starting := entry("b", 99)
			announcedAt := 10*1000*ms + time.Duration(rng.Float64()*float64(spread))
			for now, i := Time(0), 0; now < 20*1000*ms; i++ {
				now += time.Duration(rng.ExpFloat64() / perSecond * float64(1000*ms))
				if starting.StartedAt == 0 && now > announcedAt {
					starting.StartedAt = 10 * 1000 * ms
					b.UpdateList(announcedAt, false, []Backend{starting})
				}
				id := fmt.Sprint("r", i)
				b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
				if rec.last(t).backend == starting.ID {
					got = append(got, now)
				}
				b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: ms, Final: true})
			}
		}
		slices.Sort(got)
		// Calls to a warmed-up backend in a window.
		warmedUp := float64(balancers*perSecond) / 15 * window.Seconds()
		first := 0
		for i, at := range got {
			for got[first] <= at-window {
				first++
			}
			age := float64(at-10*1000*ms) / float64(10*1000*ms)
			if most := 1.5 * (0.1 + 0.9*age) * warmedUp; float64(i-first+1) > most {
				t.Fatalf("apart %v: %d calls by %v, over %.0f", spread, i-first+1, at, most)
			}
		}
		if len(got) < 200 {
			t.Errorf("apart %v: the new backend got %d calls in its first 10 s", spread, len(got))
		}
	}
}

// A whole zone that returns in slow start, with balancers of all zones and uneven traffic, gets no more
// than its backends can execute: the warm-up fraction of what each carries normally, counted over the
// whole fleet. Prevents shares computed among backends in slow start only, which sum up to the whole
// traffic of a zone, and spill-over from other zones in addition.
func TestZoneReturnsInSlowStart(t *testing.T) {
	const each, perSecond, window, serviceTime = 10, 20, 1500 * ms, 60 * ms
	// Share of the capacity of all warmed-up backends.
	const returnsAt, end, utilization = 4000 * ms, 9000 * ms, 0.9
	for _, c := range []struct {
		name      string
		returning string // zones that return in slow start
	}{{"own zone", "b"}, {"two of three zones", "bc"}} {
		sends := map[string][]Time{}
		total := 0.0
		for n := range 60 {
			set := testSettings()
			set.Seed, set.Tier, set.BalancerCount, set.BalancerIndex = uint64(n), 1, 60, n
			set.Zone = set.Zones[n%3]
			entries := slices.Concat(zoneEntries("a", each), zoneEntries("b", each), zoneEntries("c", each))
			b, rec := startBalancer(set, entries...)
			rate := float64(perSecond)
			if n%10 == 0 {
				rate *= 7
			}
			total += rate
			for i := range entries { // it was removed and has returned
				if !strings.Contains(c.returning, entries[i].Zone) {
					entries[i].State = Removed
				} else {
					entries[i].StartedAt = returnsAt
				}
			}
			entries = slices.DeleteFunc(entries, func(l Backend) bool { return l.State == Removed })
			type pendingCall struct {
				at Time
				id string
			}
			var pending []pendingCall
			rng := rand.New(rand.NewPCG(uint64(n), 3))
			announced := false
			for now, i := Time(0), 0; now < end; i++ {
				now += time.Duration(rng.ExpFloat64() / rate * float64(1000*ms))
				for len(pending) > 0 && pending[0].at <= now {
					b.AttemptDone(pending[0].at, Outcome{Request: pending[0].id, Result: OK,
						Latency: serviceTime,
						Final:   true})
					pending = pending[1:]
				}
				if !announced && now >= returnsAt {
					b.UpdateList(now, false, entries)
					announced = true
				}
				id := fmt.Sprint("r", i)
				before := len(rec.sends)
				b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
				if len(rec.sends) > before {
					pending = append(pending, pendingCall{now + serviceTime, id})
					if to := rec.last(t).backend; announced && strings.Contains(c.returning, to[:1]) {
						sends[to] = append(sends[to], now)
					}
				}
			}
		}
		// What a warmed-up backend can execute in a window.
		warmedUp := total / (3 * each) / utilization * window.Seconds()
		worst, got := 0.0, 0
		for _, at := range sends {
			slices.Sort(at)
			got += len(at)
			first := 0
			for i := range at {
				for at[first] <= at[i]-window {
					first++
				}
				// Capacity at the window's end; a window that is not complete counts by its length.
				age := float64(at[i]-returnsAt) / float64(10000*ms)
				worst = max(worst, float64(i-first+1)/((0.1+0.9*age)*warmedUp))
			}
		}
		t.Logf("%s: worst %.2f, got %d", c.name, worst, got)
		if worst > 1.6 {
			t.Errorf("%s: a backend in slow start got %.2f times its capacity", c.name, worst)
		}
		if got < 500 {
			t.Errorf("%s: backends in slow start got %d calls", c.name, got)
		}
	}
}

// Prevents many new backends from being idle while the few others are overloaded: their share follows the
// load of a warmed-up backend, not the mean of all.
func TestManyBackendsInSlowStart(t *testing.T) {
	entries := zoneEntries("b", 12)
	for i := range entries[:10] {
		entries[i].StartedAt = 1
	}
	b, rec := startBalancer(testSettings(), entries...)
	b.settings.Tier = 1
	toStarting := 0
	at := 5000 * ms // half of the warm-up time
	for i := range 2000 {
		now := at + Time(i)*ms
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		if to := rec.last(t).backend; to != "b10" && to != "b11" {
			toStarting++
		}
		b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: ms, Final: true})
	}
	if share := float64(toStarting) / 2000; share < 0.35 || share > 0.8 {
		t.Errorf("the ten backends in slow start got %.2f of the calls, want about half", share)
	}
}
