package track

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chooser returns a number from lo to hi for a schedule.
type chooser func(lo, hi int, what string) int

// faultPlan describes the fault injected into a fleet, if any.
type faultPlan struct {
	smallTables bool        // tables fill up soon
	breakTable  func(*node) // injects a fault into a new table
	interfere   func(*node) // injects a fault into a running table, before each tick
	intercept   func(from, to *node, msg []byte) []byte
	faults      []int // kinds of faults to use; all if empty
}

// runSchedule runs one random schedule of faults.
func runSchedule(pick chooser, p faultPlan) *fleet {
	n, zones := pick(1, 6, "members"), pick(1, 3, "zones")
	smallTables := pick(0, 4, "small") == 0 || p.smallTables
	tune := func(s *Settings) {
		if smallTables {
			s.MaxEntries = 6
		}
	}
	f := newFleet(uint64(pick(0, 1<<40, "seed")), n, zones, tune, p.breakTable)
	f.interfere, f.intercept = p.interfere, p.intercept
	f.loss = []float64{0, 0.05, 0.3}[pick(0, 2, "loss")]
	f.duplicate = []float64{0, 0.1}[pick(0, 1, "duplicate")]
	f.delayed = []float64{0, 0.05}[pick(0, 1, "delayed")]
	steps := pick(1, 4, "steps")
	f.traffic(200*ms, pick(1, 30, "keys"), time.Duration(steps)*10*time.Second)
	f.run(3 * time.Second)
	for range steps {
		injectFault(pick, f, tune, p.faults)
		f.run(time.Duration(pick(1, 15, "seconds")) * time.Second)
	}
	f.heal()
	f.quietUntil = f.now + 20*time.Second
	f.waitForConvergence(convergenceLimit)
	f.run(30 * time.Second)
	f.traffic(60*ms, 20, f.now+3*time.Second)
	f.run(3 * time.Second)
	f.waitForConvergence(convergenceLimit)
	return f
}

// Kinds of faults.
const (
	restart = iota
	stop
	freeze
	cutOne
	isolate
	split
	joinRoster
	leaveRoster
)

func injectFault(pick chooser, f *fleet, tune func(*Settings), only []int) {
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
	case isolate:
		f.partition(func(y *node) bool { return y == x }, d)
	case split:
		half := f.rng.Uint64()
		f.partition(func(y *node) bool { return half>>(hashName(y.name)%64)&1 == 0 }, d)
	case joinRoster:
		if len(f.nodes) < 8 {
			y := f.join(fmt.Sprintf("j%d", len(f.nodes)), x.zone, tune)
			f.updateRoster(y)
			f.scheduleTicks(y)
		}
	case leaveRoster:
		f.leave(x)
	}
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if os.Getenv("TRACE") != "" {
			trace = func(s string) { t.Log(s) }
		}
		f := runSchedule(func(lo, hi int, what string) int {
			return rapid.IntRange(lo, hi).Draw(t, what)
		}, faultPlan{})
		if f.violation != nil {
			t.Fatal(f.violation)
		}
	})
}

// TestInvariantChecksDetectFaults injects a fault for each invariant and requires that some
// schedule violates that invariant.
func TestInvariantChecksDetectFaults(t *testing.T) {
	for _, c := range []struct {
		name      string
		invariant int
		plan      faultPlan
	}{
		{"ends without agreement", 1, faultPlan{faults: []int{cutOne}, interfere: func(x *node) {
			for i := range x.table.slotCount {
				if e := x.table.entryAt(uint32(i)); x.table.proposals[uint32(i)] != nil {
					for _, s := range e.replicas[:e.replicaCount()] {
						x.table.handleEndAgreement(x.table.now, x.table.peers[s], e.key, e.generation)
					}
				}
			}
		}}},
		{"accepts late messages and keeps no tombstones", 2, faultPlan{breakTable: func(x *node) {
			x.table.tombstoneTTL, x.table.maxMessageAge = 1, time.Hour
		}}},
		{"does not compare ranges", 3, faultPlan{faults: []int{isolate, split},
			intercept: func(_, _ *node, msg []byte) []byte {
				if len(msg) >= headerSize+8*rangeCount {
					return nil
				}
				return msg
			}}},
		{"drops entries when cut off", 4, faultPlan{faults: []int{isolate},
			breakTable: func(x *node) { x.table.settings.Bound = 1 }}},
		{"evicts keyed calls when full", 5, faultPlan{smallTables: true, breakTable: func(x *node) {
			x.table.mayEvict = func(*entry) bool { return true }
		}}},
		{"closes the new generation instead of the old", 6, faultPlan{interfere: func(x *node) {
			x.table.Each(func(i Info) {
				if i.Generation > 20 && i.Class == flow && i.State == Open {
					x.table.merge(x.table.now, &entryRecord{key: i.Key,
						generation: generationID{i.Generation, i.ownerID, i.incarnation},
						class:      flow, state: Closed, target: i.Target})
				}
			})
		}}},
		{"admits a call prepared by one replica", 7, faultPlan{breakTable: func(x *node) {
			x.table.quorumSize = func(int) int { return 1 }
		}}},
		{"votes without having recovered", 7, faultPlan{interfere: func(x *node) { x.table.recovery.active = false }}},
	} {
		t.Run(c.name, func(t *testing.T) {
			otherViolations := 0
			for seed := range uint64(200) {
				rng := rand.New(rand.NewPCG(seed, 2))
				f := runSchedule(func(lo, hi int, _ string) int { return lo + rng.IntN(hi-lo+1) }, c.plan)
				if f.violated[c.invariant] {
					t.Logf("schedule %d: %v (%d schedules violated other invariants)", seed,
						f.violation, otherViolations)
					return
				}
				if f.violation != nil {
					otherViolations++
					t.Logf("schedule %d: %v", seed, f.violation)
				}
			}
			t.Errorf("not detected; %d schedules violated other invariants", otherViolations)
		})
	}
}
