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
	Seconds int
	Load    float64 // of the capacity
	Apart   uint    // members of the other side, by bit
	Deaf    uint    // members that hear nobody
	Loss    float64
	Restart int // member, or -1
}

type schedule struct {
	Seed    uint64
	Members int
	Fanout  int
	Liar    bool
	Rates   []float64
	Phases  []phase
}

func draw(t *rapid.T) schedule {
	s := schedule{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Members: rapid.IntRange(4, 12).Draw(t, "members"),
		Liar:    rapid.Bool().Draw(t, "liar"),
	}
	s.Fanout = rapid.SampledFrom([]int{3, s.Members}).Draw(t, "fanout")
	for range s.Members {
		s.Rates = append(s.Rates, rapid.Float64Range(1, 30).Draw(t, "rate"))
	}
	for range rapid.IntRange(1, 4).Draw(t, "phases") {
		s.Phases = append(s.Phases, phase{
			Seconds: rapid.IntRange(4, 14).Draw(t, "seconds"),
			Load:    rapid.SampledFrom([]float64{0.5, 0.7, 1.5, 4}).Draw(t, "load"),
			Apart:   uint(rapid.SampledFrom([]int{0, 0, 1, 3, 7, 21}).Draw(t, "apart")),
			Deaf:    uint(rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "deaf")),
			Loss:    rapid.SampledFrom([]float64{0, 0, 0.3, 0.6}).Draw(t, "loss"),
			Restart: rapid.IntRange(-3, s.Members-1).Draw(t, "restart"),
		})
	}
	return s
}

var testClasses = []Class{{Value: 5, Cost: 1}, {Value: 1, Cost: 1}, {Value: 0.2, Cost: 1}}

const half = time.Second / 2

type world struct {
	schedule
	rng     *rand.Rand
	plant   func(*Fleet) node
	now     Time
	nodes   []node
	view    []Member
	born    []Time
	upset   Time // when not all heard all, last
	numbers []Controls
	first   []float64 // first tries in the last halves, all members
	repeats []float64 // in halves, and in windows staggered against the members' own seconds
	mild    bool      // no overload so far
	faults  map[string]string
}

func (w *world) fail(rule, format string, args ...any) {
	if w.faults[rule] == "" {
		w.faults[rule] = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// run plays the schedule and returns what was broken, by rule.
func run(s schedule, plant func(*Fleet) node) map[string]string {
	w := &world{schedule: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), plant: plant, mild: true, faults: map[string]string{}}
	if plant == nil {
		w.plant = func(f *Fleet) node { return f }
	}
	w.now = time.Hour
	for i := range s.Members {
		w.view = append(w.view, Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%2), Incarnation: 1})
		w.nodes, w.numbers, w.born = append(w.nodes, nil), append(w.numbers, Standalone()), append(w.born, 0)
	}
	for i := range s.Members {
		w.start(i)
	}
	for _, p := range s.Phases {
		if p.Restart >= 0 {
			w.view[p.Restart].Incarnation++
			w.start(p.Restart)
		}
		for n := range 2 * p.Seconds {
			if n == 8 {
				w.see(p.Apart)
			}
			w.step(p)
		}
		w.see(0)
	}
	// Then nothing is heard any more.
	last := s.Phases[len(s.Phases)-1]
	last.Loss = 1
	for range 2 * 20 {
		w.step(last)
	}
	for i, n := range w.numbers {
		n.Episode = 0
		if n != Standalone() {
			w.fail("alone", "%d hears nobody and has %+v", i, n)
		}
	}
	return w.faults
}

func (w *world) start(i int) {
	f, err := New(w.now, Settings{Classes: testClasses}, w.view[i])
	if err != nil {
		panic(err)
	}
	w.nodes[i], w.born[i], w.numbers[i], w.upset = w.plant(f), w.now, Standalone(), w.now
	for j := range w.nodes {
		if w.nodes[j] != nil {
			w.nodes[j].SetMembers(w.now, w.Members, w.view)
		}
	}
}

// see lets membership tell each that the other side is gone.
func (w *world) see(apart uint) {
	for i, n := range w.nodes {
		view := slices.Clone(w.view)
		for j := range view {
			if apart>>i&1 != apart>>j&1 {
				view[j].State = Unreachable
			}
		}
		n.SetMembers(w.now, w.Members, view)
	}
}

func (w *world) hears(p phase, from, to int) bool {
	side := func(i int) uint { return p.Apart >> i & 1 }
	return from != to && side(from) == side(to) && p.Deaf>>to&1 == 0 && w.rng.Float64() >= p.Loss
}

// step is half a second: traffic, counters, digests, and the checks.
func (w *world) step(p phase) {
	w.mild = w.mild && p.Load < 0.9
	capacity, admitted := 0.0, make([]float64, w.Members)
	for i := range w.nodes {
		capacity += w.Rates[i]
		for _, cut := range w.numbers[i].ShedFraction[:3] {
			admitted[i] += w.Rates[i] * p.Load / 3 * (1 - cut)
		}
	}
	all := 0.0
	for _, a := range admitted {
		all += a
	}
	share, strain := min(1, capacity/all), 0.3+0.7*min(1, all/capacity)*min(1, all/capacity)
	sum, repeats := 0.0, 0.0
	for i, n := range w.nodes {
		c := Counters{LatencySamples: admitted[i] * share / 2}
		c.LatencyRatioSum = c.LatencySamples * strain
		for k := range 3 {
			first := w.Rates[i] * p.Load / 3 / 2
			in := first * (1 - w.numbers[i].ShedFraction[k])
			c.FirstAttempts, c.Served = append(c.FirstAttempts, first), append(c.Served, in*share)
			c.Refused = append(c.Refused, in*(1-share))
			sum += first
		}
		for tries := range 20 { // all want to repeat whatever they may
			if n.AllowRetry(w.now + Time(tries)*time.Millisecond) {
				c.Retries++
				repeats++
			}
		}
		n.AddCounters(w.now, c)
	}
	w.first, w.repeats = append(w.first, sum), append(w.repeats, repeats)
	for i, n := range w.nodes {
		if w.now/half%2 == Time(i%2) {
			w.send(p, i, n.NextDigest(w.now))
		}
	}
	w.now += half
	w.check(p)
}

func (w *world) send(p phase, from int, b []byte) {
	if w.Liar && from == w.Members-1 {
		b = lie(b)
	}
	for i := range w.Fanout {
		to := (from + 1 + i) % w.Members
		if w.Fanout < w.Members {
			to = w.rng.IntN(w.Members)
		}
		if w.hears(p, from, to) {
			w.nodes[to].ReceiveDigest(w.now, b)
			if w.rng.IntN(4) == 0 {
				if w.nodes[to].ReceiveDigest(w.now+time.Millisecond, b) == nil {
					w.fail("once", "a doubled digest was taken")
				}
			}
		}
	}
}

// lie says what a broken member may: a multiple of its traffic, all of it turned away, nothing served.
func lie(b []byte) []byte {
	d, _ := ParseDigest(b)
	for i := range d.Classes {
		d.Own.FirstAttempts[i], d.PeerMean.FirstAttempts[i] = 20*d.Own.FirstAttempts[i], 1e7
	}
	d.Own.ServedCost, d.Own.WeightedLatency, d.Own.RefusedCost, d.Own.Retries = 0, 1e7, 1e7, 1e7
	d.Own.LimitShare, d.Own.AdmittedFraction, d.Episode = 1e7, 1e-3, d.Episode+100
	d.PeerMean = d.Own
	return d.Append(nil)
}

func (w *world) check(p phase) {
	parts, rise := 0.0, [3]float64{}
	owners := map[string]int{}
	weigh := 0.0
	for i, n := range w.nodes {
		was, is := w.numbers[i], n.Controls(w.now)
		w.numbers[i] = is
		parts += is.LimitShare
		weigh += w.Rates[i]
		if w.now-w.born[i] <= time.Second && is.LimitShare > 1 {
			w.fail("restart", "%d starts with %.2f N-ths", i, is.LimitShare)
		}
		for k := range rise {
			rise[k] += w.Rates[i] * max(0, was.ShedFraction[k]-is.ShedFraction[k])
		}
		if is.RetryFraction > 1 || is.SlowStartFraction > 1 || is.RetryFraction < 0 || math.IsNaN(is.LimitShare) ||
			slices.ContainsFunc(is.ShedFraction[:], func(c float64) bool { return !(c >= 0 && c <= 1) }) {
			w.fail("bounds", "%d has %+v", i, is)
		}
		if w.Liar && w.mild && i < w.Members-1 && (is.ShedFraction[2] > 0 || is.RetryFraction < repeatsLeast || is.LimitShare < 0.05) {
			w.fail("liar", "%d believes a broken member: %+v", i, is)
		}
		// A broken member is not heard, and another makes its trials beside it.
		if is.Confidence == 1 && !(w.Liar && i == w.Members-1) && n.MayProbe(w.now, "b", w.view[i].Zone) {
			owners[w.view[i].Zone]++
		}
	}
	if most := float64(w.Members) * (1 + freedMost + partSlack); parts > most {
		w.fail("whole", "%.2f N-ths of %d are held", parts, w.Members)
	}
	for k := range rise {
		if rise[k] > weigh*(cutFall*half.Seconds()*1.2+0.01) && p.Loss < 1 {
			w.fail("opens", "class %d: %.2f of all open in half a second", k, rise[k]/weigh)
		}
	}
	// Who is apart, or heard badly, may see another owner; where all hear all there is one a zone.
	if p.Apart != 0 || p.Deaf != 0 || p.Loss != 0 || w.Fanout != w.Members {
		w.upset = w.now
	}
	if w.now-w.upset > 6*time.Second {
		for zone, n := range owners {
			if n > 1 {
				w.fail("trials", "%d members of %s try one backend", n, zone)
			}
		}
	}
	if n := len(w.first); n >= 4 {
		first, repeats := max(w.first[n-2]+w.first[n-1], w.first[n-4]+w.first[n-3]), w.repeats[n-2]+w.repeats[n-1]
		budget := 0.1 * first
		if repeats > budget+3*math.Sqrt(budget)+1 {
			w.fail("repeats", "%.0f repeats in a second of %.0f first tries", repeats, first)
		}
	}
}

// partSlack is what the parts may sum to over the whole besides what the dead left, while the sides of a
// partition come to know of it at different moments.
const partSlack = 0.2

func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for rule, fault := range run(draw(t), nil) {
			t.Errorf("%s: %s", rule, fault)
		}
	})
}

// The planted members, each of which breaks one rule.

type whole struct{ *Fleet } // takes all of the limit for those that it hears

func (n whole) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	is.LimitShare *= float64(n.roster) / float64(1+len(n.heard))
	return is
}

type saver struct { // repeats what it has saved up
	*Fleet
	saved *float64
}

func (n saver) AddCounters(now Time, c Counters) {
	n.Fleet.AddCounters(now, c)
	*n.saved = min(10, *n.saved+0.1*(c.FirstAttempts[0]+c.FirstAttempts[1]+c.FirstAttempts[2]))
}

func (n saver) AllowRetry(now Time) bool {
	if now < 2*time.Second+n.started || int(now/time.Second)%7 != 0 || *n.saved < 1 {
		return false
	}
	*n.saved--
	return true
}

type trier struct{ *Fleet } // tries every backend by itself

func (n trier) MayProbe(Time, string, string) bool { return true }

type opener struct{ *Fleet } // opens up at once

func (n opener) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	if n.strain < 0.6 {
		is.ShedFraction, n.Fleet.cut = [MaxClasses]float64{}, [MaxClasses]float64{}
	}
	return is
}

type heir struct{ *Fleet } // starts with the part of the life before

func (n heir) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	if n.me.Incarnation > 1 && now-n.started < 2*time.Second {
		is.LimitShare = 3
	}
	return is
}

type keeper struct { // keeps its numbers though it hears nobody
	*Fleet
	last *Controls
}

func (n keeper) Controls(now Time) Controls {
	if is := n.Fleet.Controls(now); len(n.heard) > 0 {
		*n.last = is
	}
	return *n.last
}

type believer struct { // sheds what the worst tells
	*Fleet
	worst *float64
}

func (n believer) ReceiveDigest(now Time, b []byte) error {
	err := n.Fleet.ReceiveDigest(now, b)
	if d, _ := ParseDigest(b); err == nil && d.Own.RefusedCost > d.Own.ServedCost {
		*n.worst = 0.5
	}
	return err
}

func (n believer) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	is.ShedFraction[2] = max(is.ShedFraction[2], *n.worst*is.Confidence)
	return is
}

type doubler struct{ *Fleet } // takes what it has taken before

func (n doubler) ReceiveDigest(now Time, b []byte) error {
	if err := n.Fleet.ReceiveDigest(now, b); err != nil && !strings.Contains(err.Error(), ErrStaleDigest.Error()) {
		return err
	}
	return nil
}

type giver struct{ *Fleet } // gives itself more than a member alone may

func (n giver) Controls(now Time) Controls {
	is := n.Fleet.Controls(now)
	is.RetryFraction = 1 + is.Confidence
	return is
}

func TestPlanted(t *testing.T) {
	s := schedule{Seed: 1, Members: 12, Fanout: 12, Liar: true,
		Rates: []float64{10, 3, 9, 12, 20, 10, 10, 6, 11, 8, 14, 5}}
	mild := phase{Seconds: 10, Load: 0.7, Restart: -1}
	over, split, restart := mild, mild, mild
	over.Load, split.Apart, restart.Restart = 4, 21, 2
	s.Phases = []phase{mild, over, mild, split, restart, mild}
	if faults := run(s, nil); len(faults) > 0 {
		t.Fatalf("without a plant: %v", faults)
	}
	tests := []struct {
		rule  string
		plant func(*Fleet) node
	}{
		{"whole", func(f *Fleet) node { return whole{f} }},
		{"repeats", func(f *Fleet) node { return saver{f, new(float64)} }},
		{"trials", func(f *Fleet) node { return trier{f} }},
		{"opens", func(f *Fleet) node { return opener{f} }},
		{"restart", func(f *Fleet) node { return heir{f} }},
		{"alone", func(f *Fleet) node { return keeper{f, &Controls{}} }},
		{"liar", func(f *Fleet) node { return believer{f, new(float64)} }},
		{"once", func(f *Fleet) node { return doubler{f} }},
		{"bounds", func(f *Fleet) node { return giver{f} }},
	}
	for _, tt := range tests {
		if faults := run(s, tt.plant); faults[tt.rule] == "" {
			t.Errorf("%s: a planted violation was not caught; caught: %v", tt.rule, faults)
		}
	}
}
