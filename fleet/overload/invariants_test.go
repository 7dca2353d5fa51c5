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

// This file runs random schedules of load, partitions, message loss, restarts and a faulty member over a few
// members and checks invariants of the results. A second test shows that each invariant catches a member that
// violates it.

// node is what the simulation calls of a member. A violating member overrides some of the methods.
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
	Load         float64 // of the capacity of all members
	Partition    uint    // bit set of the members on the other side of a partition
	ReceivesNone uint    // bit set of the members that receive no digests
	Loss         float64
	Restart      int // member to restart first; negative: none
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
		Faulty:  rapid.Bool().Draw(t, "faulty"),
	}
	plan.Fanout = rapid.SampledFrom([]int{3, plan.Members}).Draw(t, "fanout")
	for range plan.Members {
		plan.Capacities = append(plan.Capacities, rapid.Float64Range(1, 30).Draw(t, "capacity"))
	}
	for range rapid.IntRange(1, 4).Draw(t, "phases") {
		plan.Phases = append(plan.Phases, phase{
			Seconds:      rapid.IntRange(4, 14).Draw(t, "seconds"),
			Load:         rapid.SampledFrom([]float64{0.5, 0.7, 1.5, 4}).Draw(t, "load"),
			Partition:    uint(rapid.SampledFrom([]int{0, 0, 1, 3, 7, 21}).Draw(t, "partition")),
			ReceivesNone: uint(rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "receives none")),
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
	disturbedAt   Time // last time when some members could not hear all others
	controls      []Controls
	firstAttempts []float64 // of all members, one entry for each half second
	retries       []float64 // of all members, one entry for each half second, not aligned to members' seconds
	noOverload    bool
	violations    map[string]string
}

func (w *simulation) fail(invariant, format string, args ...any) {
	if w.violations[invariant] == "" {
		w.violations[invariant] = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// run simulates the schedule and returns the violations by invariant.
func run(plan schedule, wrap func(*Fleet) node) map[string]string {
	sim := &simulation{schedule: plan, rng: rand.New(rand.NewPCG(plan.Seed, 1)), wrap: wrap,
		noOverload: true, violations: map[string]string{}}
	if wrap == nil {
		sim.wrap = func(f *Fleet) node { return f }
	}
	sim.now = time.Hour
	for i := range plan.Members {
		sim.view = append(sim.view,
			Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%2), Incarnation: 1})
		sim.members, sim.controls, sim.startedAt =
			append(sim.members, nil), append(sim.controls, Standalone()), append(sim.startedAt, 0)
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
	// In the end no digest is delivered any more.
	last := plan.Phases[len(plan.Phases)-1]
	last.Loss = 1
	for range 2 * 20 {
		sim.step(last)
	}
	for i, n := range sim.controls {
		n.Episode = 0
		if n != Standalone() {
			sim.fail("standalone", "member %d hears no peers and has controls %+v", i, n)
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

// setReachability makes membership report members on the other side of a partition as unreachable.
func (w *simulation) setReachability(partition uint) {
	for i, n := range w.members {
		view := slices.Clone(w.view)
		for j := range view {
			if partition>>i&1 != partition>>j&1 {
				view[j].State = Unreachable
			}
		}
		n.SetMembers(w.now, w.Members, view)
	}
}

func (w *simulation) delivers(p phase, from, to int) bool {
	side := func(i int) uint { return p.Partition >> i & 1 }
	return from != to && side(from) == side(to) && p.ReceivesNone>>to&1 == 0 && w.rng.Float64() >= p.Loss
}

// step simulates half a second of traffic, counters and digests, and checks the invariants.
func (w *simulation) step(p phase) {
	w.noOverload = w.noOverload && p.Load < 0.9
	capacity, admitted := 0.0, make([]float64, w.Members)
	for i := range w.members {
		capacity += w.Capacities[i]
		for _, shed := range w.controls[i].ShedFraction[:3] {
			admitted[i] += w.Capacities[i] * p.Load / 3 * (1 - shed)
		}
	}
	totalAdmitted := 0.0
	for _, a := range admitted {
		totalAdmitted += a
	}
	servedFraction, latencyRatio := min(1, capacity/totalAdmitted),
		0.3+0.7*min(1, totalAdmitted/capacity)*min(1, totalAdmitted/capacity)
	firstAttempts, retries := 0.0, 0.0
	for i, n := range w.members {
		c := Counters{LatencySamples: admitted[i] * servedFraction / 2}
		c.LatencyRatioSum = c.LatencySamples * latencyRatio
		for k := range 3 {
			offered := w.Capacities[i] * p.Load / 3 / 2
			admittedNow := offered * (1 - w.controls[i].ShedFraction[k])
			c.FirstAttempts, c.Served =
				append(c.FirstAttempts, offered), append(c.Served, admittedNow*servedFraction)
			c.Refused = append(c.Refused, admittedNow*(1-servedFraction))
			firstAttempts += offered
		}
		for tries := range 20 { // all members retry as much as they may
			if n.AllowRetry(w.now + Time(tries)*time.Millisecond) {
				c.Retries++
				retries++
			}
		}
		n.AddCounters(w.now, c)
	}
	w.firstAttempts, w.retries = append(w.firstAttempts, firstAttempts), append(w.retries, retries)
	for i, n := range w.members {
		if w.now/halfSecond%2 == Time(i%2) {
			w.sendDigest(p, i, n.NextDigest(w.now))
		}
	}
	w.now += halfSecond
	w.checkInvariants(p)
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
					w.fail("duplicates", "a duplicate digest was accepted")
				}
			}
		}
	}
}

// faultyDigest changes a digest to what a faulty member may send: a multiple of its traffic, all of it
// refused, nothing served.
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

func (w *simulation) checkInvariants(p phase) {
	shares, readmitted := 0.0, [3]float64{}
	probers := map[string]int{}
	totalCapacity := 0.0
	for i, n := range w.members {
		before, after := w.controls[i], n.Controls(w.now)
		w.controls[i] = after
		shares += after.LimitShare
		totalCapacity += w.Capacities[i]
		if w.now-w.startedAt[i] <= time.Second && after.LimitShare > 1 {
			w.fail("restart", "member %d starts with a limit share of %.2f N-ths", i, after.LimitShare)
		}
		for k := range readmitted {
			readmitted[k] += w.Capacities[i] * max(0, before.ShedFraction[k]-after.ShedFraction[k])
		}
		if after.RetryFraction > 1 || after.SlowStartFraction > 1 || after.RetryFraction < 0 ||
			math.IsNaN(after.LimitShare) ||
			slices.ContainsFunc(after.ShedFraction[:], func(c float64) bool { return !(c >= 0 && c <= 1) }) {
			w.fail("bounds", "member %d has controls %+v", i, after)
		}
		if w.Faulty && w.noOverload && i < w.Members-1 &&
			(after.ShedFraction[2] > 0 || after.RetryFraction < minRetryFraction || after.LimitShare < 0.05) {
			w.fail("faulty member", "member %d follows a faulty member: %+v", i, after)
		}
		// The faulty member's digests are dropped, so another member makes its probes, too.
		if after.Confidence == 1 && !(w.Faulty && i == w.Members-1) &&
			n.MayProbe(w.now, "b", w.view[i].Zone) {
			probers[w.view[i].Zone]++
		}
	}
	if maxSum := float64(w.Members) * (1 + maxFreedFraction + limitShareSlack); shares > maxSum {
		w.fail("limit sum", "limit shares sum to %.2f N-ths of %d", shares, w.Members)
	}
	for k := range readmitted {
		if readmitted[k] > totalCapacity*(shedFall*halfSecond.Seconds()*1.2+0.01) && p.Loss < 1 {
			w.fail("shed fall", "class %d: %.2f of all traffic is readmitted in half a second",
				k, readmitted[k]/totalCapacity)
		}
	}
	// In a partition or with lost digests members may see different probers; otherwise there is one per zone.
	if p.Partition != 0 || p.ReceivesNone != 0 || p.Loss != 0 || w.Fanout != w.Members {
		w.disturbedAt = w.now
	}
	if w.now-w.disturbedAt > 6*time.Second {
		for zone, n := range probers {
			if n > 1 {
				w.fail("probes", "%d members of zone %s probe one backend", n, zone)
			}
		}
	}
	if n := len(w.firstAttempts); n >= 4 {
		first, retries := max(w.firstAttempts[n-2]+w.firstAttempts[n-1],
			w.firstAttempts[n-4]+w.firstAttempts[n-3]),
			w.retries[n-2]+w.retries[n-1]
		budget := 0.1 * first
		if retries > budget+3*math.Sqrt(budget)+1 {
			w.fail("retries", "%.0f retries in a second with %.0f first attempts", retries, first)
		}
	}
}

// limitShareSlack is how far the sum of the limit shares may exceed the whole, besides what unreachable
// members free, while the sides of a partition learn of it at different times.
const limitShareSlack = 0.2

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for invariant, violation := range run(drawSchedule(t), nil) {
			t.Errorf("%s: %s", invariant, violation)
		}
	})
}

// Members that each violate one invariant.

type overallocator struct{ *Fleet } // claims the whole limit for the members that it hears

func (n overallocator) Controls(now Time) Controls {
	controls := n.Fleet.Controls(now)
	controls.LimitShare *= float64(n.rosterSize) / float64(1+len(n.heardPeers))
	return controls
}

type retryHoarder struct { // saves unused retries and spends them later
	*Fleet
	savedRetries *float64
}

func (n retryHoarder) AddCounters(now Time, counters Counters) {
	n.Fleet.AddCounters(now, counters)
	*n.savedRetries = min(10, *n.savedRetries+
		0.1*(counters.FirstAttempts[0]+counters.FirstAttempts[1]+counters.FirstAttempts[2]))
}

func (n retryHoarder) AllowRetry(now Time) bool {
	if now < 2*time.Second+n.started || int(now/time.Second)%7 != 0 || *n.savedRetries < 1 {
		return false
	}
	*n.savedRetries--
	return true
}

type alwaysProber struct{ *Fleet } // probes every backend

func (n alwaysProber) MayProbe(Time, string, string) bool { return true }

type instantReopener struct{ *Fleet } // stops shedding at once

func (n instantReopener) Controls(now Time) Controls {
	controls := n.Fleet.Controls(now)
	if n.latencyRatio < 0.6 {
		controls.ShedFraction, n.Fleet.shedFraction = [MaxClasses]float64{}, [MaxClasses]float64{}
	}
	return controls
}

type shareInheritor struct{ *Fleet } // starts with the limit share of its previous incarnation

func (n shareInheritor) Controls(now Time) Controls {
	controls := n.Fleet.Controls(now)
	if n.self.Incarnation > 1 && now-n.started < 2*time.Second {
		controls.LimitShare = 3
	}
	return controls
}

type staleControlsKeeper struct { // keeps its controls without hearing peers
	*Fleet
	lastControls *Controls
}

func (n staleControlsKeeper) Controls(now Time) Controls {
	if controls := n.Fleet.Controls(now); len(n.heardPeers) > 0 {
		*n.lastControls = controls
	}
	return *n.lastControls
}

type peerFollower struct { // sheds by the worst report of a single peer
	*Fleet
	shedFraction *float64
}

func (n peerFollower) ReceiveDigest(now Time, b []byte) error {
	err := n.Fleet.ReceiveDigest(now, b)
	if d, _ := ParseDigest(b); err == nil && d.Own.RefusedCost > d.Own.ServedCost {
		*n.shedFraction = 0.5
	}
	return err
}

func (n peerFollower) Controls(now Time) Controls {
	controls := n.Fleet.Controls(now)
	controls.ShedFraction[2] = max(controls.ShedFraction[2], *n.shedFraction*controls.Confidence)
	return controls
}

type duplicateAccepter struct{ *Fleet } // accepts duplicate and older digests

func (n duplicateAccepter) ReceiveDigest(now Time, b []byte) error {
	if err := n.Fleet.ReceiveDigest(now, b); err != nil &&
		!strings.Contains(err.Error(), ErrStaleDigest.Error()) {
		return err
	}
	return nil
}

type overAllowingMember struct{ *Fleet } // allows more than a standalone member may

func (n overAllowingMember) Controls(now Time) Controls {
	controls := n.Fleet.Controls(now)
	controls.RetryFraction = 1 + controls.Confidence
	return controls
}

func TestInvariantsCatchViolations(t *testing.T) {
	plan := schedule{Seed: 1, Members: 12, Fanout: 12, Faulty: true,
		Capacities: []float64{10, 3, 9, 12, 20, 10, 10, 6, 11, 8, 14, 5}}
	normal := phase{Seconds: 10, Load: 0.7, Restart: -1}
	overload, split, restart := normal, normal, normal
	overload.Load, split.Partition, restart.Restart = 4, 21, 2
	plan.Phases = []phase{normal, overload, normal, split, restart, normal}
	if violations := run(plan, nil); len(violations) > 0 {
		t.Fatalf("unmodified members violate invariants: %v", violations)
	}
	tests := []struct {
		invariant string
		wrap      func(*Fleet) node
	}{
		{"limit sum", func(f *Fleet) node { return overallocator{f} }},
		{"retries", func(f *Fleet) node { return retryHoarder{f, new(float64)} }},
		{"probes", func(f *Fleet) node { return alwaysProber{f} }},
		{"shed fall", func(f *Fleet) node { return instantReopener{f} }},
		{"restart", func(f *Fleet) node { return shareInheritor{f} }},
		{"standalone", func(f *Fleet) node { return staleControlsKeeper{f, &Controls{}} }},
		{"faulty member", func(f *Fleet) node { return peerFollower{f, new(float64)} }},
		{"duplicates", func(f *Fleet) node { return duplicateAccepter{f} }},
		{"bounds", func(f *Fleet) node { return overAllowingMember{f} }},
	}
	for _, tt := range tests {
		if violations := run(plan, tt.wrap); violations[tt.invariant] == "" {
			t.Errorf("%s: the violation was not caught; caught: %v", tt.invariant, violations)
		}
	}
}
