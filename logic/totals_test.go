package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// recomputeTotals adds up the totals of the members.
func recomputeTotals(b *Balancer, now Time, members []*backend) (t totals) {
	for _, m := range members {
		subsetCapacity, fraction := m.subsetCapacity*oneIf(m.State == Up), m.warmUpFraction(now, &b.settings)
		t.subsetCapacity += subsetCapacity
		t.effectiveSubsetCapacity += subsetCapacity * fraction
		if m.ejections == 0 && b.inService(m) {
			t.backendCount++
			t.inFlight += float64(m.inFlight)
			t.capacity += m.Capacity
			t.effectiveCapacity += m.Capacity * fraction
		}
	}
	return t
}

func (t totals) approxEqual(other totals) bool {
	closeTo := func(x, y float64) bool { return math.Abs(x-y) <= 1e-9*max(1, math.Abs(x)) }
	return closeTo(t.backendCount, other.backendCount) && closeTo(t.inFlight, other.inFlight) &&
		closeTo(t.capacity, other.capacity) && closeTo(t.effectiveCapacity, other.effectiveCapacity) &&
		closeTo(t.subsetCapacity, other.subsetCapacity) &&
		closeTo(t.effectiveSubsetCapacity, other.effectiveSubsetCapacity)
}

// The incrementally maintained totals equal those recomputed over all members, whatever has happened:
// lists, detachments, ejections, calls with every outcome, and the passage of time.
func TestTotalsStayCurrent(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := testSettings()
		set.BalancerCount, set.UnevenTraffic = 1+rng.IntN(60), seed%2 == 1
		set.WarmUpTime, set.InitialWarmUpFraction = 2*time.Second, 0.2
		rec := newRecorder()
		b := New(0, set, rec)
		randomEntry := func(now Time) Backend {
			l := Backend{ID: fmt.Sprint("s", rng.IntN(30)), Capacity: 0.5 + rng.Float64()}
			l.Zone, l.State = set.Zones[rng.IntN(3)], State(rng.IntN(3)*rng.IntN(2))
			if rng.IntN(3) == 0 {
				l.StartedAt = max(1, now)
			}
			return l
		}
		now, answered := Time(0), 0
		for step := range 1500 {
			now += Time(rng.Int64N(int64(30 * ms)))
			switch rng.IntN(12) {
			case 0:
				entries := make([]Backend, 1+rng.IntN(8))
				for i := range entries {
					entries[i] = randomEntry(now)
				}
				b.UpdateList(now, rng.IntN(5) == 0, entries)
			case 1:
				b.Detach(fmt.Sprint("s", rng.IntN(30)))
			case 2:
				b.Attach(now, fmt.Sprint("s", rng.IntN(30)), now)
			case 3, 4, 5, 6:
				b.StartRequest(now, Request{ID: fmt.Sprint("r", step), Class: idempotent, Budget: 2000 * ms})
			default:
				if answered < len(rec.sends) {
					s := rec.sends[answered]
					answered++
					if q := b.requests[s.request]; q != nil {
						result := Result(rng.IntN(int(ConnectPending) + 1))
						b.AttemptDone(now, Outcome{Request: s.request, Attempt: len(q.attempts) - 1,
							Result: result, Latency: 20 * ms, Final: result == OK})
					}
				}
			}
			if got, want := b.totals(now, &b.listedSummary),
				recomputeTotals(b, now, b.listed); !got.approxEqual(want) {
				t.Fatalf("seed %d, step %d: all: kept %+v, recomputed %+v", seed, step, got, want)
			}
			for _, g := range b.zoneGroups {
				if got, want := b.totals(now, &g.memberSummary),
					recomputeTotals(b, now, g.members); !got.approxEqual(want) {
					t.Fatalf("seed %d, step %d: group: kept %+v, recomputed %+v", seed, step, got, want)
				}
				if got, want := b.totals(now, &g.peerSummary),
					recomputeTotals(b, now, g.peerSummary.members); !got.approxEqual(want) {
					t.Fatalf("seed %d, step %d: peers: kept %+v, recomputed %+v", seed, step, got, want)
				}
			}
		}
	}
}
