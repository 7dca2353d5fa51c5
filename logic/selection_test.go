// Tests of backend selection.

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
	b, rec := startBalancer(testSettings(), append(zoneEntries("b", 2), zoneEntries("c", 2)...)...)
	b.settings.Tier = 1
	zones := map[byte]int{}
	for i := range 12 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		zone := rec.last(t).backend[0]
		if i < 2 && zone != 'b' {
			t.Errorf("call %d left the own zone while it was idle", i)
		}
		zones[zone]++
	}
	if zones['c'] == 0 || zones['c'] >= zones['b'] {
		t.Errorf("calls by zone %v, want most in the own zone and some in the next", zones)
	}
}

func TestRotationSkipsBusyBackends(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	seen := map[string]int{}
	for i := range 8 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		seen[rec.last(t).backend]++
	}
	for id, n := range seen {
		if n != 2 {
			t.Errorf("%s got %d of 8 calls, want 2: %v", id, n, seen)
		}
	}
	b.addInFlight(b.backends["b2"], 20)
	for i := range 6 {
		b.StartRequest(0, Request{ID: fmt.Sprint("s", i), Class: idempotent, Budget: 2000 * ms})
		if rec.last(t).backend == "b2" {
			t.Error("sent to the backend well above the mean load")
		}
	}
}

// Prevents slow and overloaded backends from staying overloaded: with an equal share of the calls in
// flight they would, and most of those calls would be late. They are still tried.
func TestSlowBackendGetsFewerCalls(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	type call struct {
		id string
		to string
		at Time
	}
	counts := map[string]int{}
	var pending []call
	for i := range 2000 {
		now := Time(i) * 5 * ms
		for len(pending) > 0 && pending[0].at <= now {
			c := pending[0]
			latency := 40 * ms
			if c.to == "b1" {
				latency = 160 * ms
			}
			b.AttemptDone(now, Outcome{Request: c.id, Result: OK, Latency: latency, Final: true})
			pending = pending[1:]
		}
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		counts[rec.last(t).backend]++
		pending = append(pending, call{id, rec.last(t).backend, now + 40*ms})
	}
	if counts["b1"] == 0 || 3*counts["b1"] > counts["b0"] {
		t.Errorf("calls %v, want few but some at b1, which is four times slower", counts)
	}
}

// Prevents small backends from getting no calls while few calls are in flight: with one call they always
// seemed well above the mean load.
func TestTurnsAreWeightedByCapacity(t *testing.T) {
	entries := zoneEntries("b", 4)
	entries[0].Capacity, entries[1].Capacity = 0.5, 2.5
	b, rec := startBalancer(testSettings(), entries...)
	b.settings.Tier = 1
	got := map[string]int{}
	for i := range 650 {
		id := fmt.Sprint("r", i)
		now := Time(i) * 100 * ms
		b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		got[rec.last(t).backend]++
		b.AttemptDone(now+10*ms, Outcome{Request: id, Result: OK, Latency: 10 * ms, Final: true})
	}
	for i, want := range []int{65, 325, 130, 130} {
		if id := entries[i].ID; got[id] < want*9/10 || got[id] > want*11/10 {
			t.Errorf("%s of capacity %v got %d of 650 calls, want about %d", id, entries[i].Capacity, got[id],
				want)
		}
	}
}

// Prevents balancers from calling each backend too rarely to detect a slow one: with many balancers each
// uses a subset of the group, with few all of it, and in sum all backends are covered according to their
// capacity.
func TestSubsetsCoverBackendsEvenly(t *testing.T) {
	for _, balancers := range []int{1, 4, 60, 300} {
		coverage := map[string]float64{}
		for n := range balancers {
			set := testSettings()
			set.BalancerIndex, set.BalancerCount = n, balancers
			entries := zoneEntries("b", 30)
			for i := range entries {
				entries[i].Capacity = float64(1 + i%3)
			}
			b, _ := startBalancer(set, entries...)
			for _, m := range b.listed {
				if balancers <= 4 && m.subsetCapacity < 0.999*m.Capacity {
					t.Errorf("one of %d balancers has %v of a capacity of %v in its subset", balancers,
						m.subsetCapacity, m.Capacity)
				}
				coverage[m.ID] += m.subsetCapacity / m.Capacity
			}
		}
		least, most := math.Inf(1), 0.0
		for _, r := range coverage {
			least, most = min(least, r), max(most, r)
		}
		if most > 1.3*least || balancers == 300 && most > 40 {
			t.Errorf("%d balancers: backends are in the subsets of %.1f to %.1f of them", balancers, least,
				most)
		}
	}
}

// Prevents a slow backend from keeping an equal share of the calls of many balancers, each of which calls
// it so rarely that its latency has been forgotten.
func TestManyBalancersAvoidSlowBackend(t *testing.T) {
	got := map[string]int{}
	const balancers, perSecond = 100, 5
	for n := range balancers {
		set := oneOfMany(n, balancers)
		b, rec := startBalancer(set, zoneEntries("b", 20)...)
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		for now := Time(0); now < 20*1000*ms; {
			now += time.Duration(rng.ExpFloat64() / perSecond * float64(1000*ms))
			id := fmt.Sprint("r", int64(now))
			b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
			to, latency := rec.last(t).backend, 50*ms
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

// When their whole subset is busy, many balancers spread over the rest of the group. Prevents them from
// resuming in the order of the IDs: a few calls of each balancer leave its subset, and in sum they would
// overload the first backends.
func TestManyBalancersSpreadBeyondSubsets(t *testing.T) {
	const balancers, backends, each, inFlight = 200, 40, 50, 8
	got := map[string]int{}
	for n := range balancers {
		b, rec := startBalancer(oneOfMany(n, balancers), zoneEntries("b", backends)...)
		// More in flight than the subset has backends.
		for _, to := range b.runWithInFlight(t, rec, each, inFlight) {
			got[to]++
		}
	}
	const mean = balancers * each / backends
	for _, l := range zoneEntries("b", backends) {
		if n := got[l.ID]; n < mean/2 || n > 3*mean/2 {
			t.Errorf("%s got %d calls, the mean is %d", l.ID, n, mean)
		}
	}
}

// Calls beyond the subset go to the few next backends on the ring. Prevents a slow period in which each
// of hundreds of balancers calls each overloaded backend and has to see a timeout of its own: in sum
// these calls keep the backends overloaded.
func TestFewBackendsUsedBeyondSubset(t *testing.T) {
	const balancers, backends, each, inFlight = 50, 40, 200, 8
	for n := range balancers {
		b, rec := startBalancer(oneOfMany(n, 200), zoneEntries("b", backends)...)
		used := map[string]bool{}
		for _, to := range b.runWithInFlight(t, rec, each, inFlight) {
			used[to] = true
		}
		if len(used) > 2*inFlight {
			t.Fatalf("balancer %d, with %d calls in flight, used %d of %d backends", n, inFlight, len(used),
				backends)
		}
	}
}

// Balancers with a call every second or two avoid backends that never answer. Prevents a timeout from
// counting only a fifth where the next call to the backend is as far away as the time for which outcomes
// are remembered.
func TestLowTrafficAvoidsOverloadedBackends(t *testing.T) {
	const balancers, backends, overloaded, perSecond = 60, 12, 4, 2
	calls, timedOut := 0, 0
	silent := map[string]bool{}
	for _, l := range zoneEntries("b", overloaded) {
		silent[l.ID] = true
	}
	for n := range balancers {
		set := oneOfMany(n, balancers)
		b, rec := startBalancer(set, zoneEntries("b", backends)...)
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		for now, i := Time(0), 0; now < 30*1000*ms; i++ {
			now += time.Duration(rng.ExpFloat64() / perSecond * float64(1000*ms))
			id := fmt.Sprint("r", i)
			b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
			calls++
			if silent[rec.last(t).backend] {
				timedOut++
				now += rec.last(t).timeout
				b.AttemptDone(now, Outcome{Request: id, Result: TimedOut, Latency: rec.last(t).timeout,
					Final: true})
			} else {
				now += 50 * ms
				b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: 50 * ms, Final: true})
			}
		}
	}
	share := float64(timedOut) / float64(calls)
	t.Logf("%.3f of the calls went to overloaded backends", share)
	if share > 0.1 {
		t.Errorf("%.2f of the calls went to backends that never answer, a third of all", share)
	}
}

// A zone whose backends are all unreachable is avoided after a few calls, long before the list is
// updated. Prevents failed connections from counting as failures common to all backends: the balancers of
// that zone, which call no other, would then never leave it.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	const each, perSecond = 10, 20
	set := testSettings()
	b, rec := startBalancer(set, slices.Concat(
		zoneEntries("a", each), zoneEntries("b", each), zoneEntries("c", each))...)
	elsewhere, now := 0, Time(0)
	for i := range 200 {
		now += 1000 * ms / perSecond
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		r := OK
		if rec.last(t).backend[:1] == "b" {
			r = ConnectFailed
		} else if i >= 50 {
			elsewhere++
		}
		b.AttemptDone(now+ms, Outcome{Request: id, Result: r, Latency: ms, Final: true})
	}
	if elsewhere < 130 { // the rest are probes
		t.Errorf("%d of the last 150 calls left the zone", elsewhere)
	}
}

// Prevents requests from using up their attempts in an unreachable zone: the retry of a call without a
// connection goes to another zone if there is one.
func TestRetryLeavesUnreachableZone(t *testing.T) {
	for _, zones := range []string{"b", "bc"} {
		var entries []Backend
		for _, z := range zones {
			entries = append(entries, zoneEntries(string(z), 6)...)
		}
		b, rec := startBalancer(testSettings(), entries...)
		b.StartRequest(0, Request{ID: "r", Class: nonIdempotent, Budget: 2000 * ms})
		if to := rec.last(t).backend; to[:1] != "b" {
			t.Fatalf("sent to %s first", to)
		}
		b.AttemptDone(ms, Outcome{Request: "r", Result: ConnectFailed, Latency: ms})
		token, after := rec.takeTimer(t)
		b.TimerFired(ms+after, token)
		if len(rec.sends) != 2 {
			t.Fatalf("zones %s: %d attempts", zones, len(rec.sends))
		}
		if to := rec.last(t).backend; to[:1] != zones[len(zones)-1:] {
			t.Errorf("zones %s: retried at %s", zones, to)
		}
	}
}

// When a zone is unreachable, its balancers spread over all the others. Prevents all of them from moving
// to the next zone, which would be overloaded with twice its traffic while others are idle: a balancer's
// own calls alone never make that zone look busy.
func TestTrafficOfUnreachableZoneSpreads(t *testing.T) {
	const balancers, each, inFlight = 20, 10, 6
	got := map[string]int{}
	for n := range balancers {
		set := testSettings()
		set.BalancerIndex, set.Seed, set.BalancerCount = n, uint64(n), 3*balancers
		set.Zones = []string{"a", "b", "c", "d", "e"}
		var remaining []Backend
		for _, zone := range []string{"a", "c", "d", "e"} {
			remaining = append(remaining, zoneEntries(zone, each)...)
		}
		b, rec := startBalancer(set, remaining...)
		for _, to := range b.runWithInFlight(t, rec, 60, inFlight) {
			got[to[:1]]++
		}
	}
	for _, zone := range []string{"a", "c", "d", "e"} {
		if mean := balancers * 60 / 4; got[zone] < mean/2 || got[zone] > 3*mean/2 {
			t.Errorf("zone %s got %d calls, the mean is %d: %v", zone, got[zone], mean, got)
		}
	}
}

// Prevents zones of a few backends each from filling one after the other, with the last one idle while
// the own zone queues.
func TestLastZoneIsUsed(t *testing.T) {
	set := testSettings()
	set.Zones = []string{"a", "b", "c", "d"}
	b, rec := startBalancer(set, entry("a", 0), entry("b", 0), entry("c", 0), entry("d", 0))
	b.settings.Tier = 1
	zones := map[byte]int{}
	for i := range 14 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		zones[rec.last(t).backend[0]]++
	}
	for _, z := range set.Zones {
		if n := zones[z[0]]; n < 2 || n > 5 {
			t.Errorf("calls by zone %v, want all used and most in the own zone", zones)
		}
	}
}
