package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// This file plays random schedules of loads, partitions, losses, restarts and liars over a few members, and
// checks the rules over what comes out. Each rule is seen to catch a member that breaks it.

// node is what the world asks of a member; a planted one overrides a part.
type node interface {
	SetMembers(Time, int, []Member)
	ReceiveDigest(Time, []byte) error
	AddCounters(Time, Counters)
	NextDigest(Time) []byte
	Controls(Time) Controls
	AllowRetry(Time) bool
	MayProbe(Time, string, string) bool
}

type phase struct {
	Seconds      int
	Load         float64 // of the capacity
	Partition    uint    // members of the other side, by bit
	Unresponsive uint    // members that hear nobody
	Loss         float64
	Restart      int // member, or -1
}

type schedule struct {
	Seed       uint64
	Members    int
	Fanout     int
	Faulty     bool
	Capacities []float64
	Phases     []phase
}

func drawSchedule(t *rapid.T) schedule {
	plan := schedule{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Members: rapid.IntRange(4, 12).Draw(t, "members"),
		Faulty:  rapid.Bool().Draw(t, "liar"),
	}
	plan.Fanout = rapid.SampledFrom([]int{3, plan.Members}).Draw(t, "fanout")
	for range plan.Members {
		plan.Capacities = append(plan.Capacities, rapid.Float64Range(1, 30).Draw(t, "rate"))
	}
	for range rapid.IntRange(1, 4).Draw(t, "phases") {
		plan.Phases = append(plan.Phases, phase{
			Seconds:      rapid.IntRange(4, 14).Draw(t, "seconds"),
			Load:         rapid.SampledFrom([]float64{0.5, 0.7, 1.5, 4}).Draw(t, "load"),
			Partition:    uint(rapid.SampledFrom([]int{0, 0, 1, 3, 7, 21}).Draw(t, "apart")),
			Unresponsive: uint(rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "deaf")),
			Loss:         rapid.SampledFrom([]float64{0, 0, 0.3, 0.6}).Draw(t, "loss"),
			Restart:      rapid.IntRange(-3, plan.Members-1).Draw(t, "restart"),
		})
	}
	return plan
}

var testClasses = []Class{{Value: 5, Cost: 1}, {Value: 1, Cost: 1}, {Value: 0.2, Cost: 1}}

const halfSecond = time.Second / 2

type simulation struct {
	schedule
	rng           *rand.Rand
	wrap          func(*Fleet) node
	now           Time
	members       []node
	view          []Member
	startedAt     []Time
	disturbedAt   Time // when not all heard all, last
	controls      []Controls
	firstAttempts []float64 // first tries in the last halves, all members
	retries       []float64 // in halves, and in windows staggered against the members' own seconds
	noOverload    bool      // no overload so far
	violations    map[string]string
}

func (w *simulation) fail(rule, format string, args ...any) {
	if w.violations[rule] == "" {
		w.violations[rule] = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// run plays the schedule and returns what was broken, by rule.
func run(plan schedule, plant func(*Fleet) node) map[string]string {
	sim := &simulation{schedule: plan, rng: rand.New(rand.NewPCG(plan.Seed, 1)), wrap: plant, noOverload: true, violations: map[string]string{}}
	if plant == nil {
		sim.wrap = func(f *Fleet) node { return f }
	}
	sim.now = time.Hour
	for i := range plan.Members {
		sim.view = append(sim.view, Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%2), Incarnation: 1})
		sim.members, sim.controls, sim.startedAt = append(sim.members, nil), append(sim.controls, Standalone()), append(sim.startedAt, 0)
	}
	for i := range plan.Members {
		sim.startMember(i)
	}
	for _, p := range plan.Phases {
		if p.Restart >= 0 {
			sim.view[p.Restart].Incarnation++
			sim.startMember(p.Restart)
		}
		for n := range 2 * p.Seconds {
			if n == 8 {
				sim.setReachability(p.Partition)
			}
			sim.step(p)
		}
		sim.setReachability(0)
	}
	// Then nothing is heard any more.
	last := plan.Phases[len(plan.Phases)-1]
	last.Loss = 1
	for range 2 * 20 {
		sim.step(last)
	}
	for i, n := range sim.controls {
		n.Episode = 0
		if n != Standalone() {
			sim.fail("alone", "%d hears nobody and has %+v", i, n)
		}
	}
	return sim.violations
}

func (w *simulation) startMember(i int) {
	f, err := New(w.now, Settings{Classes: testClasses}, w.view[i])
	if err != nil {
		panic(err)
	}
	w.members[i], w.startedAt[i], w.controls[i], w.disturbedAt = w.wrap(f), w.now, Standalone(), w.now
	for j := range w.members {
		if w.members[j] != nil {
			w.members[j].SetMembers(w.now, w.Members, w.view)
		}
	}
}

// see lets membership tell each that the other side is gone.
func (w *simulation) setReachability(apart uint) {
	for i, n := range w.members {
		view := slices.Clone(w.view)
		for j := range view {
			if apart>>i&1 != apart>>j&1 {
				view[j].State = Unreachable
			}
		}
		n.SetMembers(w.now, w.Members, view)
	}
}

func (w *simulation) delivers(p phase, from, to int) bool {
	side := func(i int) uint { return p.Partition >> i & 1 }
	return from != to && side(from) == side(to) && p.Unresponsive>>to&1 == 0 && w.rng.Float64() >= p.Loss
}

// step is half a second: traffic, counters, digests, and the checks.
func (w *simulation) step(p phase) {
	w.noOverload = w.noOverload && p.Load < 0.9
	capacity, admitted := 0.0, make([]float64, w.Members)
	for i := range w.members {
		capacity += w.Capacities[i]
		for _, cut := range w.controls[i].ShedFraction[:3] {
			admitted[i] += w.Capacities[i] * p.Load / 3 * (1 - cut)
		}
	}
	totalAdmitted := 0.0
	for _, a := range admitted {
		totalAdmitted += a
	}
	share, latencyRatio := min(1, capacity/totalAdmitted), 0.3+0.7*min(1, totalAdmitted/capacity)*min(1, totalAdmitted/capacity)
	sum, repeats := 0.0, 0.0
	for i, n := range w.members {
		c := Counters{LatencySamples: admitted[i] * share / 2}
		c.LatencyRatioSum = c.LatencySamples * latencyRatio
		for k := range 3 {
			offered := w.Capacities[i] * p.Load / 3 / 2
			admittedNow := offered * (1 - w.controls[i].ShedFraction[k])
			c.FirstAttempts, c.Served = append(c.FirstAttempts, offered), append(c.Served, admittedNow*share)
			c.Refused = append(c.Refused, admittedNow*(1-share))
			sum += offered
		}
		for tries := range 20 { // all want to repeat whatever they may
			if n.AllowRetry(w.now + Time(tries)*time.Millisecond) {
				c.Retries++
				repeats++
			}
		}
		n.AddCounters(w.now, c)
	}
	w.firstAttempts, w.retries = append(w.firstAttempts, sum), append(w.retries, repeats)
	for i, n := range w.members {
		if w.now/halfSecond%2 == Time(i%2) {
			w.sendDigest(p, i, n.NextDigest(w.now))
		}
	}
	w.now += halfSecond
	w.check(p)
}

func (w *simulation) sendDigest(p phase, from int, b []byte) {
	if w.Faulty && from == w.Members-1 {
		b = faultyDigest(b)
	}
	for i := range w.Fanout {
		to := (from + 1 + i) % w.Members
		if w.Fanout < w.Members {
			to = w.rng.IntN(w.Members)
		}
		if w.delivers(p, from, to) {
			w.members[to].ReceiveDigest(w.now, b)
			if w.rng.IntN(4) == 0 {
				if w.members[to].ReceiveDigest(w.now+time.Millisecond, b) == nil {
					w.fail("once", "a doubled digest was taken")
				}
			}
		}
	}
}

// lie says what a broken member may: a multiple of its traffic, all of it turned away, nothing served.
func faultyDigest(b []byte) []byte {
	d, _ := ParseDigest(b)
	for i := range d.Classes {
		d.Own.FirstAttempts[i], d.PeerMean.FirstAttempts[i] = 20*d.Own.FirstAttempts[i], 1e7
	}
	d.Own.ServedCost, d.Own.WeightedLatency, d.Own.RefusedCost, d.Own.Retries = 0, 1e7, 1e7, 1e7
	d.Own.LimitShare, d.Own.AdmittedFraction, d.Episode = 1e7, 1e-3, d.Episode+100
	d.PeerMean = d.Own
	return d.Append(nil)
}

func (w *simulation) check(p phase) {
	shares, rise := 0.0, [3]float64{}
	probers := map[string]int{}
	totalCapacity := 0.0
	for i, n := range w.members {
		before, after := w.controls[i], n.Controls(w.now)
		w.controls[i] = after
		shares += after.LimitShare
		totalCapacity += w.Capacities[i]
		if w.now-w.startedAt[i] <= time.Second && after.LimitShare > 1 {
			w.fail("restart", "%d starts with %.2f N-ths", i, after.LimitShare)
		}
		for k := range rise {
			rise[k] += w.Capacities[i] * max(0, before.ShedFraction[k]-after.ShedFraction[k])
		}
		if after.RetryFraction > 1 || after.SlowStartFraction > 1 || after.RetryFraction < 0 || math.IsNaN(after.LimitShare) ||
			slices.ContainsFunc(after.ShedFraction[:], func(c float64) bool { return !(c >= 0 && c <= 1) }) {
			w.fail("bounds", "%d has %+v", i, after)
		}
		if w.Faulty && w.noOverload && i < w.Members-1 && (after.ShedFraction[2] > 0 || after.RetryFraction < minRetryFraction || after.LimitShare < 0.05) {
			w.fail("liar", "%d believes a broken member: %+v", i, after)
		}
		// A broken member is not heard, and another makes its trials beside it.
		if after.Confidence == 1 && !(w.Faulty && i == w.Members-1) && n.MayProbe(w.now, "b", w.view[i].Zone) {
			probers[w.view[i].Zone]++
		}
	}
	if most := float64(w.Members) * (1 + maxFreedFraction + limitShareSlack); shares > most {
		w.fail("whole", "%.2f N-ths of %d are held", shares, w.Members)
	}
	for k := range rise {
		if rise[k] > totalCapacity*(shedFall*halfSecond.Seconds()*1.2+0.01) && p.Loss < 1 {
			w.fail("opens", "class %d: %.2f of all open in half a second", k, rise[k]/totalCapacity)
		}
	}
	// Who is apart, or heard badly, may see another owner; where all hear all there is one a zone.
	if p.Partition != 0 || p.Unresponsive != 0 || p.Loss != 0 || w.Fanout != w.Members {
		w.disturbedAt = w.now
	}
	if w.now-w.disturbedAt > 6*time.Second {
		for zone, n := range probers {
			if n > 1 {
				w.fail("trials", "%d members of %s try one backend", n, zone)
			}
		}
	}
	if n := len(w.firstAttempts); n >= 4 {
		first, repeats := max(w.firstAttempts[n-2]+w.firstAttempts[n-1], w.firstAttempts[n-4]+w.firstAttempts[n-3]), w.retries[n-2]+w.retries[n-1]
		budget := 0.1 * first
		if repeats > budget+3*math.Sqrt(budget)+1 {
			w.fail("repeats", "%.0f repeats in a second of %.0f first tries", repeats, first)
		}
	}
}

// partSlack is what the parts may sum to over the whole besides what the dead left, while the sides of a
// partition come to know of it at different moments.
const limitShareSlack = 0.2

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for rule, fault := range run(drawSchedule(t), nil) {
			t.Errorf("%s: %s", rule, fault)
		}
	})
}

// The planted members, each of which breaks one rule.

type overallocator struct{ *Fleet } // takes all of the limit for those that it hears

func (n overallocator) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	is.LimitShare *= float64(n.rosterSize) / float64(1+len(n.heardPeers))
	return is
}

type retryHoarder struct { // repeats what it has saved up
	*Fleet
	savedRetries *float64
}

func (n retryHoarder) AddCounters(now Time, c Counters) {
	n.Fleet.AddCounters(now, c)
	*n.savedRetries = min(10, *n.savedRetries+0.1*(c.FirstAttempts[0]+c.FirstAttempts[1]+c.FirstAttempts[2]))
}

func (n retryHoarder) AllowRetry(now Time) bool {
	if now < 2*time.Second+n.started || int(now/time.Second)%7 != 0 || *n.savedRetries < 1 {
		return false
	}
	*n.savedRetries--
	return true
}

type alwaysProber struct{ *Fleet } // tries every backend by itself

func (n alwaysProber) MayProbe(Time, string, string) bool { return true }

type instantReopener struct{ *Fleet } // opens up at once

func (n instantReopener) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	if n.latencyRatio < 0.6 {
		is.ShedFraction, n.Fleet.shedFraction = [MaxClasses]float64{}, [MaxClasses]float64{}
	}
	return is
}

type inheritor struct{ *Fleet } // starts with the part of the life before

func (n inheritor) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	if n.self.Incarnation > 1 && now-n.started < 2*time.Second {
		is.LimitShare = 3
	}
	return is
}

type staleHolder struct { // keeps its numbers though it hears nobody
	*Fleet
	lastControls *Controls
}

func (n staleHolder) Controls(now Time) Controls {
	if is := n.Fleet.Controls(now); len(n.heardPeers) > 0 {
		*n.lastControls = is
	}
	return *n.lastControls
}

type gullible struct { // sheds what the worst tells
	*Fleet
	shedFraction *float64
}

func (n gullible) ReceiveDigest(now Time, b []byte) error {
	err := n.Fleet.ReceiveDigest(now, b)
	if d, _ := ParseDigest(b); err == nil && d.Own.RefusedCost > d.Own.ServedCost {
		*n.shedFraction = 0.5
	}
	return err
}

func (n gullible) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	is.ShedFraction[2] = max(is.ShedFraction[2], *n.shedFraction*is.Confidence)
	return is
}

type duplicateAccepter struct{ *Fleet } // takes what it has taken before

func (n duplicateAccepter) ReceiveDigest(now Time, b []byte) error {
	if err := n.Fleet.ReceiveDigest(now, b); err != nil && !strings.Contains(err.Error(), ErrStaleDigest.Error()) {
		return err
	}
	return nil
}

type overGranter struct{ *Fleet } // gives itself more than a member alone may

func (n overGranter) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	is.RetryFraction = 1 + is.Confidence
	return is
}

func TestInvariantsCatchViolations(t *testing.T) {
	plan := schedule{Seed: 1, Members: 12, Fanout: 12, Faulty: true,
		Capacities: []float64{10, 3, 9, 12, 20, 10, 10, 6, 11, 8, 14, 5}}
	normal := phase{Seconds: 10, Load: 0.7, Restart: -1}
	overload, split, restart := normal, normal, normal
	overload.Load, split.Partition, restart.Restart = 4, 21, 2
	plan.Phases = []phase{normal, overload, normal, split, restart, normal}
	if faults := run(plan, nil); len(faults) > 0 {
		t.Fatalf("without a plant: %v", faults)
	}
	tests := []struct {
		rule  string
		plant func(*Fleet) node
	}{
		{"whole", func(f *Fleet) node { return overallocator{f} }},
		{"repeats", func(f *Fleet) node { return retryHoarder{f, new(float64)} }},
		{"trials", func(f *Fleet) node { return alwaysProber{f} }},
		{"opens", func(f *Fleet) node { return instantReopener{f} }},
		{"restart", func(f *Fleet) node { return inheritor{f} }},
		{"alone", func(f *Fleet) node { return staleHolder{f, &Controls{}} }},
		{"liar", func(f *Fleet) node { return gullible{f, new(float64)} }},
		{"once", func(f *Fleet) node { return duplicateAccepter{f} }},
		{"bounds", func(f *Fleet) node { return overGranter{f} }},
	}
	for _, tt := range tests {
		if faults := run(plan, tt.plant); faults[tt.rule] == "" {
			t.Errorf("%s: a planted violation was not caught; caught: %v", tt.rule, faults)
		}
	}
}
