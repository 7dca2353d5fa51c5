// What cold backends get.

package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against pushing a cold backend over: whatever its warm peers are doing,
// it gets no more than its part, and that spread out.
func TestSlowStartShare(t *testing.T) {
	cold := entry("b", 9)
	cold.StartedAt = 1
	b, f := startBalancer(testSettings(), append(zoneEntries("b", 4), cold)...)
	b.settings.Tier = 1
	counts := map[string]int{}
	run := Time(0)
	for i := range 400 {
		run = Time(i) * 5 * ms
		id := fmt.Sprint("r", i)
		b.StartRequest(run, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		counts[f.last(t).backend]++
		b.AttemptDone(run+2*ms, Outcome{Request: id, Result: OK, Latency: 2 * ms, Final: true})
	}
	warm := float64(counts["b0"]+counts["b1"]+counts["b2"]+counts["b3"]) / 4
	if share := float64(counts["b9"]) / warm; share == 0 || share > 0.3 {
		t.Errorf("the cold backend got %.2f of a warm one's calls, want its small part", share)
	}
}

func TestAllBackendsInSlowStart(t *testing.T) {
	cold := entry("b", 1)
	cold.StartedAt = 1
	b, f := startBalancer(testSettings(), cold)
	b.settings.Tier = 1
	for i := range 10 {
		b.StartRequest(Time(i+1)*ms, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
	}
	if len(f.sends) > 1 {
		t.Errorf("a burst of %d calls at a cold backend, want 1 at most", len(f.sends))
	}
	for i := range 200 {
		id := fmt.Sprint("s", i)
		now := Time(i) * 20 * ms
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(now+5*ms, Outcome{Request: id, Result: OK, Latency: 5 * ms, Final: true})
	}
	if len(f.sends) < 10 {
		t.Errorf("%d calls in 4 s at the only backend, a cold one", len(f.sends))
	}
}

// Guards against hundreds of balancers that learn of a cold backend, in one tick
// or apart, and each send it a call at once: together they would push it over.
func TestManyBalancersSlowStart(t *testing.T) {
	const balancers, perSecond, window = 400, 20, 1500 * ms
	for _, apart := range []time.Duration{0, 2000 * ms} {
		var got []Time
		for n := range balancers {
			set := testSettings()
			set.Seed, set.Tier, set.BalancerCount, set.BalancerIndex = uint64(n), 1, balancers, n
			b, f := startBalancer(set, zoneEntries("b", 15)...)
			rng := rand.New(rand.NewPCG(uint64(n), 2))
			cold := entry("b", 99)
			heard := 10*1000*ms + time.Duration(rng.Float64()*float64(apart))
			for now, i := Time(0), 0; now < 20*1000*ms; i++ {
				now += time.Duration(rng.ExpFloat64() / perSecond * float64(1000*ms))
				if cold.StartedAt == 0 && now > heard {
					cold.StartedAt = 10 * 1000 * ms
					b.UpdateList(heard, false, []Backend{cold})
				}
				id := fmt.Sprint("r", i)
				b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
				if f.last(t).backend == cold.ID {
					got = append(got, now)
				}
				b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: ms, Final: true})
			}
		}
		slices.Sort(got)
		warm := float64(balancers*perSecond) / 15 * window.Seconds() // a warm one's calls in a window
		first := 0
		for i, at := range got {
			for got[first] <= at-window {
				first++
			}
			age := float64(at-10*1000*ms) / float64(10*1000*ms)
			if most := 1.5 * (0.1 + 0.9*age) * warm; float64(i-first+1) > most {
				t.Fatalf("apart %v: %d calls by %v, over %.0f", apart, i-first+1, at, most)
			}
		}
		if len(got) < 200 {
			t.Errorf("apart %v: the newcomer got %d calls in its first 10 s", apart, len(got))
		}
	}
}

// A zone that returns cold all at once, before balancers of all zones with unlike
// traffic, gets no more of it than its backends can do: the cold part of what each
// carries when warm, whole fleet counted. Guards against parts that are reckoned among
// cold ones alone and sum to all of a zone's traffic, and against spill from the others
// on top of it.
func TestZoneReturnsInSlowStart(t *testing.T) {
	const each, perSecond, window, serve = 10, 20, 1500 * ms, 60 * ms
	const back, end, busy = 4000 * ms, 9000 * ms, 0.9 // of what warm backends can do
	for _, c := range []struct {
		name string
		lost string // zones that return cold
	}{{"own zone", "b"}, {"two of three zones", "bc"}} {
		sends := map[string][]Time{}
		total := 0.0
		for n := range 60 {
			set := testSettings()
			set.Seed, set.Tier, set.BalancerCount, set.BalancerIndex = uint64(n), 1, 60, n
			set.Zone = set.Zones[n%3]
			lines := slices.Concat(zoneEntries("a", each), zoneEntries("b", each), zoneEntries("c", each))
			b, f := startBalancer(set, lines...)
			rate := float64(perSecond)
			if n%10 == 0 {
				rate *= 7
			}
			total += rate
			for i := range lines { // it was gone, and is back
				if !strings.Contains(c.lost, lines[i].Zone) {
					lines[i].State = Removed
				} else {
					lines[i].StartedAt = back
				}
			}
			lines = slices.DeleteFunc(lines, func(l Backend) bool { return l.State == Removed })
			type done struct {
				at Time
				id string
			}
			var out []done
			rng := rand.New(rand.NewPCG(uint64(n), 3))
			told := false
			for now, i := Time(0), 0; now < end; i++ {
				now += time.Duration(rng.ExpFloat64() / rate * float64(1000*ms))
				for len(out) > 0 && out[0].at <= now {
					b.AttemptDone(out[0].at, Outcome{Request: out[0].id, Result: OK, Latency: serve,
						Final: true})
					out = out[1:]
				}
				if !told && now >= back {
					b.UpdateList(now, false, lines)
					told = true
				}
				id := fmt.Sprint("r", i)
				before := len(f.sends)
				b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
				if len(f.sends) > before {
					out = append(out, done{now + serve, id})
					if to := f.last(t).backend; told && strings.Contains(c.lost, to[:1]) {
						sends[to] = append(sends[to], now)
					}
				}
			}
		}
		warm := total / (3 * each) / busy * window.Seconds() // what a warm one can do in a window
		worst, got := 0.0, 0
		for _, at := range sends {
			slices.Sort(at)
			got += len(at)
			first := 0
			for i := range at {
				for at[first] <= at[i]-window {
					first++
				}
				// Capacity at the window's end; a window that is not full yet counts by its length.
				age := float64(at[i]-back) / float64(10000*ms)
				worst = max(worst, float64(i-first+1)/((0.1+0.9*age)*warm))
			}
		}
		t.Logf("%s: worst %.2f, got %d", c.name, worst, got)
		if worst > 1.6 {
			t.Errorf("%s: a cold backend got %.2f times what it could do", c.name, worst)
		}
		if got < 500 {
			t.Errorf("%s: cold backends got %d calls", c.name, got)
		}
	}
}

// Guards against many cold newcomers that stand idle while few warm ones tip:
// their part goes by what a warm one gets, not by the mean of all.
func TestManyBackendsInSlowStart(t *testing.T) {
	lines := zoneEntries("b", 12)
	for i := range lines[:10] {
		lines[i].StartedAt = 1
	}
	b, f := startBalancer(testSettings(), lines...)
	b.settings.Tier = 1
	cold := 0
	at := 5000 * ms // halfway to warm
	for i := range 2000 {
		now := at + Time(i)*ms
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		if to := f.last(t).backend; to != "b10" && to != "b11" {
			cold++
		}
		b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: ms, Final: true})
	}
	if share := float64(cold) / 2000; share < 0.35 || share > 0.8 {
		t.Errorf("the ten cold backends got %.2f of the calls, want about half", share)
	}
}
