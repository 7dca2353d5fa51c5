// Which backend gets a call.

package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestOwnZoneFirstThenSpill(t *testing.T) {
	b, f := startBalancer(testSettings(), append(zoneEntries("b", 2), zoneEntries("c", 2)...)...)
	b.settings.Tier = 1
	zones := map[byte]int{}
	for i := range 12 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		zone := f.last(t).backend[0]
		if i < 2 && zone != 'b' {
			t.Errorf("call %d left the own zone while it was idle", i)
		}
		zones[zone]++
	}
	if zones['c'] == 0 || zones['c'] >= zones['b'] {
		t.Errorf("calls by zone %v, want most at home and some next door", zones)
	}
}

func TestRotationSkipsBusyBackends(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	seen := map[string]int{}
	for i := range 8 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		seen[f.last(t).backend]++
	}
	for id, n := range seen {
		if n != 2 {
			t.Errorf("%s got %d of 8 calls, want 2: %v", id, n, seen)
		}
	}
	b.addInFlight(b.backends["b2"], 20)
	for i := range 6 {
		b.StartRequest(0, Request{ID: fmt.Sprint("s", i), Class: idempotent, Budget: 2000 * ms})
		if f.last(t).backend == "b2" {
			t.Error("sent to the backend well above the mean")
		}
	}
}

// Guards against slow and choked backends: an equal part of the calls in flight
// keeps them choked and makes most of those calls late. They are tried again.
func TestSlowBackendGetsFewerCalls(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	type call struct {
		id string
		to string
		at Time
	}
	counts := map[string]int{}
	var out []call
	for i := range 2000 {
		now := Time(i) * 5 * ms
		for len(out) > 0 && out[0].at <= now {
			c := out[0]
			latency := 40 * ms
			if c.to == "b1" {
				latency = 160 * ms
			}
			b.AttemptDone(now, Outcome{Request: c.id, Result: OK, Latency: latency, Final: true})
			out = out[1:]
		}
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		counts[f.last(t).backend]++
		out = append(out, call{id, f.last(t).backend, now + 40*ms})
	}
	if counts["b1"] == 0 || 3*counts["b1"] > counts["b0"] {
		t.Errorf("calls %v, want few but some at b1, four times slower", counts)
	}
}

// Guards against small backends that no call reaches while few are in flight:
// one call there always looked well above the mean.
func TestTurnsAreWeightedByCapacity(t *testing.T) {
	lines := zoneEntries("b", 4)
	lines[0].Capacity, lines[1].Capacity = 0.5, 2.5
	b, f := startBalancer(testSettings(), lines...)
	b.settings.Tier = 1
	got := map[string]int{}
	for i := range 650 {
		id := fmt.Sprint("r", i)
		now := Time(i) * 100 * ms
		b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		got[f.last(t).backend]++
		b.AttemptDone(now+10*ms, Outcome{Request: id, Result: OK, Latency: 10 * ms, Final: true})
	}
	for i, want := range []int{65, 325, 130, 130} {
		if id := lines[i].ID; got[id] < want*9/10 || got[id] > want*11/10 {
			t.Errorf("%s of size %v got %d of 650 calls, want about %d", id, lines[i].Capacity, got[id], want)
		}
	}
}

// Guards against balancers that meet each backend too seldom to tell that it is
// slow: many balancers each go round a part of the group, few round all of it,
// and in sum all backends are reached by their size.
func TestSubsetsCoverBackendsEvenly(t *testing.T) {
	for _, balancers := range []int{1, 4, 60, 300} {
		reached := map[string]float64{}
		for n := range balancers {
			set := testSettings()
			set.BalancerIndex, set.BalancerCount = n, balancers
			lines := zoneEntries("b", 30)
			for i := range lines {
				lines[i].Capacity = float64(1 + i%3)
			}
			b, _ := startBalancer(set, lines...)
			for _, m := range b.listed {
				if balancers <= 4 && m.subsetCapacity < 0.999*m.Capacity {
					t.Errorf("one of %d balancers reaches %v of %v", balancers, m.subsetCapacity, m.Capacity)
				}
				reached[m.ID] += m.subsetCapacity / m.Capacity
			}
		}
		least, most := math.Inf(1), 0.0
		for _, r := range reached {
			least, most = min(least, r), max(most, r)
		}
		if most > 1.3*least || balancers == 300 && most > 40 {
			t.Errorf("%d balancers: backends are reached by %.1f to %.1f of them", balancers, least, most)
		}
	}
}

// Guards against a slow backend that keeps an equal part of the calls of many
// balancers, each of which meets it so seldom that it has forgotten.
func TestManyBalancersAvoidSlowBackend(t *testing.T) {
	got := map[string]int{}
	const balancers, perSecond = 100, 5
	for n := range balancers {
		set := oneOfMany(n, balancers)
		b, f := startBalancer(set, zoneEntries("b", 20)...)
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		for now := Time(0); now < 20*1000*ms; {
			now += time.Duration(rng.ExpFloat64() / perSecond * float64(1000*ms))
			id := fmt.Sprint("r", int64(now))
			b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
			to, latency := f.last(t).backend, 50*ms
			if to == "b3" {
				latency = 200 * ms
			}
			if now > 5*1000*ms {
				got[to]++
			}
			b.AttemptDone(now+latency, Outcome{Request: id, Result: OK, Latency: latency, Final: true})
		}
	}
	if got["b3"] == 0 || got["b3"] > got["b10"]/2 {
		t.Errorf("the backend four times slower got %d calls, another %d", got["b3"], got["b10"])
	}
}

// Where all of their arcs is busy, many balancers spread over the rest of the group.
// Guards against turns lost together, which are next in the order of the ids: a few calls
// of each balancer go past its arc, and in sum they would choke the first backends.
func TestManyBalancersSpreadBeyondSubsets(t *testing.T) {
	const balancers, backends, each, open = 200, 40, 50, 8
	got := map[string]int{}
	for n := range balancers {
		b, f := startBalancer(oneOfMany(n, balancers), zoneEntries("b", backends)...)
		for _, to := range b.runWithInFlight(t, f, each, open) { // more in flight than its arc has backends
			got[to]++
		}
	}
	const mean = balancers * each / backends
	for _, l := range zoneEntries("b", backends) {
		if n := got[l.ID]; n < mean/2 || n > 3*mean/2 {
			t.Errorf("%s got %d calls, %d on the mean", l.ID, n, mean)
		}
	}
}

// What goes past its arc goes to the few next on the ring. Guards against a slow spell in
// which each of hundreds of balancers calls each of the choked backends, and has to learn of
// it by a time-out of its own: in sum these keep it choked.
func TestFewBackendsUsedBeyondSubset(t *testing.T) {
	const balancers, backends, each, open = 50, 40, 200, 8
	for n := range balancers {
		b, f := startBalancer(oneOfMany(n, 200), zoneEntries("b", backends)...)
		met := map[string]bool{}
		for _, to := range b.runWithInFlight(t, f, each, open) {
			met[to] = true
		}
		if len(met) > 2*open {
			t.Fatalf("balancer %d, of %d calls in flight, met %d of %d", n, open, len(met), backends)
		}
	}
}

// Balancers that see a call a second or two keep off backends that answer nothing. Guards
// against a time-out that counts a fifth, where the next call there is as far away as the
// time for which anything is remembered.
func TestLowTrafficAvoidsOverloadedBackends(t *testing.T) {
	const balancers, backends, choked, perSecond = 60, 12, 4, 2
	calls, lost := 0, 0
	silent := map[string]bool{}
	for _, l := range zoneEntries("b", choked) {
		silent[l.ID] = true
	}
	for n := range balancers {
		set := oneOfMany(n, balancers)
		b, f := startBalancer(set, zoneEntries("b", backends)...)
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		for now, i := Time(0), 0; now < 30*1000*ms; i++ {
			now += time.Duration(rng.ExpFloat64() / perSecond * float64(1000*ms))
			id := fmt.Sprint("r", i)
			b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
			calls++
			if silent[f.last(t).backend] {
				lost++
				now += f.last(t).timeout
				b.AttemptDone(now, Outcome{Request: id, Result: TimedOut, Latency: f.last(t).timeout,
					Final: true})
			} else {
				now += 50 * ms
				b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: 50 * ms, Final: true})
			}
		}
	}
	share := float64(lost) / float64(calls)
	t.Logf("%.3f of the calls went to choked backends", share)
	if share > 0.1 {
		t.Errorf("%.2f of the calls went to backends that answer nothing, a third of all", share)
	}
}

// A zone whose backends are all gone is left after some calls, long before the list knows.
// Guards against calls that no backend can take being seen as what all backends share: the
// balancers of that zone, which call no other, would turn nothing away from it.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	const each, perSecond = 10, 20
	set := testSettings()
	b, f := startBalancer(set, slices.Concat(
		zoneEntries("a", each), zoneEntries("b", each), zoneEntries("c", each))...)
	away, now := 0, Time(0)
	for i := range 200 {
		now += 1000 * ms / perSecond
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		r := OK
		if f.last(t).backend[:1] == "b" {
			r = ConnectFailed
		} else if i >= 50 {
			away++
		}
		b.AttemptDone(now+ms, Outcome{Request: id, Result: r, Latency: ms, Final: true})
	}
	if away < 130 { // the rest are trials
		t.Errorf("%d of the last 150 calls left the zone", away)
	}
}

// Guards against requests that use up their attempts in a zone that is lost: a repeat of a
// call that no backend took goes to another zone, where there is one.
func TestRetryLeavesUnreachableZone(t *testing.T) {
	for _, zones := range []string{"b", "bc"} {
		var lines []Backend
		for _, z := range zones {
			lines = append(lines, zoneEntries(string(z), 6)...)
		}
		b, f := startBalancer(testSettings(), lines...)
		b.StartRequest(0, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
		if to := f.last(t).backend; to[:1] != "b" {
			t.Fatalf("sent to %s first", to)
		}
		b.AttemptDone(ms, Outcome{Request: "r", Result: ConnectFailed, Latency: ms})
		token, after := f.takeTimer(t)
		b.TimerFired(ms+after, token)
		if len(f.sends) != 2 {
			t.Fatalf("zones %s: %d attempts", zones, len(f.sends))
		}
		if to := f.last(t).backend; to[:1] != zones[len(zones)-1:] {
			t.Errorf("zones %s: repeated at %s", zones, to)
		}
	}
}

// Where a zone is lost, its balancers spread over all that are left. Guards against all of
// them meeting in the next zone, which chokes under twice its traffic while others idle: a
// balancer's own calls alone never make that zone look busy.
func TestTrafficOfUnreachableZoneSpreads(t *testing.T) {
	const balancers, each, open = 20, 10, 6
	got := map[string]int{}
	for n := range balancers {
		set := testSettings()
		set.BalancerIndex, set.Seed, set.BalancerCount = n, uint64(n), 3*balancers
		set.Zones = []string{"a", "b", "c", "d", "e"}
		var left []Backend
		for _, zone := range []string{"a", "c", "d", "e"} {
			left = append(left, zoneEntries(zone, each)...)
		}
		b, f := startBalancer(set, left...)
		for _, to := range b.runWithInFlight(t, f, 60, open) {
			got[to[:1]]++
		}
	}
	for _, zone := range []string{"a", "c", "d", "e"} {
		if mean := balancers * 60 / 4; got[zone] < mean/2 || got[zone] > 3*mean/2 {
			t.Errorf("zone %s got %d calls, %d on the mean: %v", zone, got[zone], mean, got)
		}
	}
}

// Guards against zones of a few backends each, loaded in steps from one to the next,
// with the last one idle while the own one queues.
func TestLastZoneIsUsed(t *testing.T) {
	set := testSettings()
	set.Zones = []string{"a", "b", "c", "d"}
	b, f := startBalancer(set, entry("a", 0), entry("b", 0), entry("c", 0), entry("d", 0))
	b.settings.Tier = 1
	zones := map[byte]int{}
	for i := range 14 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		zones[f.last(t).backend[0]]++
	}
	for _, z := range set.Zones {
		if n := zones[z[0]]; n < 2 || n > 5 {
			t.Errorf("calls by zone %v, want all used and most at home", zones)
		}
	}
}
