package track

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// choose picks a number from lo to hi for a schedule.
type choose func(lo, hi int, what string) int

// plan is a fleet with a planted error, or none.
type plan struct {
	small  bool        // tables are full soon
	broken func(*node) // breaks a new table
	meddle func(*node) // breaks a table now and then
	hook   func(from, to *node, msg []byte) []byte
	faults []int // only these
}

// schedule plays one random schedule of faults.
func schedule(pick choose, p plan) *fleet {
	n, zones := pick(1, 6, "members"), pick(1, 3, "zones")
	small := pick(0, 4, "small") == 0 || p.small
	tune := func(s *Settings) {
		if small {
			s.MaxEntries = 6
		}
	}
	f := newFleet(uint64(pick(0, 1<<40, "seed")), n, zones, tune, p.broken)
	f.meddle, f.hook = p.meddle, p.hook
	f.loss = []float64{0, 0.05, 0.3}[pick(0, 2, "loss")]
	f.dup = []float64{0, 0.1}[pick(0, 1, "double")]
	f.late = []float64{0, 0.05}[pick(0, 1, "late")]
	steps := pick(1, 4, "steps")
	f.traffic(200*ms, pick(1, 30, "keys"), time.Duration(steps)*10*time.Second)
	f.run(3 * time.Second)
	for range steps {
		fault(pick, f, tune, p.faults)
		f.run(time.Duration(pick(1, 15, "seconds")) * time.Second)
	}
	f.heal()
	f.quiet = f.now + 20*time.Second
	f.agree(agreeWithin)
	f.run(30 * time.Second)
	f.traffic(60*ms, 20, f.now+3*time.Second)
	f.run(3 * time.Second)
	f.agree(agreeWithin)
	return f
}

// The faults.
const (
	restart = iota
	stop
	freeze
	cutOne
	alone
	halves
	joinRoster
	leaveRoster
)

func fault(pick choose, f *fleet, tune func(*Settings), only []int) {
	x := f.nodes[pick(0, len(f.nodes)-1, "at")]
	d := time.Duration(pick(1, 40, "for")) * time.Second
	kind := pick(0, 8, "fault")
	if len(only) > 0 {
		kind = only[kind%len(only)]
	}
	switch kind {
	case restart:
		f.restart(x)
	case stop:
		f.stop(x, d, false)
	case freeze:
		f.stop(x, d, true)
	case cutOne:
		f.cutLink(x, f.nodes[f.rng.IntN(len(f.nodes))], d)
	case alone:
		f.partition(func(y *node) bool { return y == x }, d)
	case halves:
		half := f.rng.Uint64()
		f.partition(func(y *node) bool { return half>>(nameID(y.name)%64)&1 == 0 }, d)
	case joinRoster:
		if len(f.nodes) < 8 {
			y := f.join(fmt.Sprintf("j%d", len(f.nodes)), x.zone, tune)
			f.view(y)
			f.loop(y)
		}
	case leaveRoster:
		f.leave(x)
	}
}

func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if os.Getenv("TRACE") != "" {
			trace = func(s string) { t.Log(s) }
		}
		f := schedule(func(lo, hi int, what string) int { return rapid.IntRange(lo, hi).Draw(t, what) }, plan{})
		if f.fault != nil {
			t.Fatal(f.fault)
		}
	})
}

// TestRulesCatch plants an error for each rule; some schedule must break just that rule.
func TestRulesCatch(t *testing.T) {
	for _, c := range []struct {
		name string
		rule int
		plan plan
	}{
		{"ends without agreement", 1, plan{faults: []int{cutOne}, meddle: func(x *node) {
			for i := range x.tab.size {
				if e := x.tab.slot(uint32(i)); x.tab.props[uint32(i)] != nil {
					for _, s := range e.reps[:e.n()] {
						x.tab.endAgreed(x.tab.now, x.tab.peers[s], e.key, e.id)
					}
				}
			}
		}}},
		{"takes late messages and keeps no tombstones", 2, plan{broken: func(x *node) {
			x.tab.tombKeep, x.tab.maxAge = 1, time.Hour
		}}},
		{"does not compare", 3, plan{faults: []int{alone, halves}, hook: func(_, _ *node, msg []byte) []byte {
			if len(msg) >= headerSize+8*ranges {
				return nil
			}
			return msg
		}}},
		{"forgets when cut off", 4, plan{faults: []int{alone}, broken: func(x *node) { x.tab.set.Bound = 1 }}},
		{"gives up keyed calls when full", 5, plan{small: true, broken: func(x *node) {
			x.tab.mayEvict = func(*entry) bool { return true }
		}}},
		{"ends the new generation for the old", 6, plan{meddle: func(x *node) {
			x.tab.Each(func(i Info) {
				if i.Generation > 20 && i.Class == flow && i.State == Open {
					x.tab.join(x.tab.now, &record{key: i.Key, id: ident{i.Generation, i.owner, i.inc},
						class: flow, state: Closed, where: i.Target})
				}
			})
		}}},
		{"lets go on one note", 7, plan{broken: func(x *node) {
			x.tab.quorum = func(int) int { return 1 }
		}}},
		{"answers without having learned", 7, plan{meddle: func(x *node) { x.tab.learn.on = false }}},
	} {
		t.Run(c.name, func(t *testing.T) {
			other := 0
			for seed := range uint64(200) {
				rng := rand.New(rand.NewPCG(seed, 2))
				f := schedule(func(lo, hi int, _ string) int { return lo + rng.IntN(hi-lo+1) }, c.plan)
				if f.faulty[c.rule] {
					t.Logf("schedule %d: %v (%d broke other rules)", seed, f.fault, other)
					return
				}
				if f.fault != nil {
					other++
					t.Logf("schedule %d: %v", seed, f.fault)
				}
			}
			t.Errorf("not caught; %d schedules broke other rules", other)
		})
	}
}
