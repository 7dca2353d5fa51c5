package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// This file simulates fleets of rosters with a model of the failure detector and the network:
// unreachable members are declared dead, and records are lost, duplicated and delayed.

// move is one step of a simulation: an event in the fleet, or a round of gossip.
type move struct {
	Kind   int
	A, B   int
	Groups uint32
	Lost   uint32 // bit pattern that decides which records of this step are lost
}

const (
	moveGossip = iota
	moveKill
	moveStart
	movePartition
	moveCutOneWay
	moveHeal
	movePause // for longer than the others wait before they declare a member dead
	moves
)

const fleetSize = 5

var genMoves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	kind := rapid.IntRange(0, 2*moves).Draw(t, "kind")
	return move{
		Kind:   kind % moves * (kind / moves & 1), // half of the moves are gossip
		A:      rapid.IntRange(0, fleetSize-1).Draw(t, "a"),
		B:      rapid.IntRange(0, fleetSize-1).Draw(t, "b"),
		Groups: rapid.Uint32().Draw(t, "groups"),
		Lost:   rapid.Uint32().Draw(t, "lost"),
	}
}), 1, 40)

// fleet is the state of the simulation.
type fleet struct {
	make    rosterFactory
	now     clockTime
	runs    uint64
	procs   [fleetSize]*proc
	cut     [fleetSize][fleetSize]bool // indexed by sender and receiver
	lost    uint32
	delayed []func() // records in flight
}

type proc struct {
	fleet    *fleet
	i        int
	r        rosterUnderTest
	up       bool
	paused   bool
	observed [fleetSize]Member // members that the failure detector considers alive
}

func (p *proc) EmitEvent(Event) {}
func (p *proc) Announce(Member) {}
func (p *proc) Withdraw(Member) {}
func (p *proc) SendRecord(to Member, about memberRecord) {
	f, from, since := p.fleet, p.r.Self().Name, p.fleet.now
	age := since - about.Since
	for j, q := range f.procs {
		if q == nil || q.r.Self().Name != to.Name || f.cut[p.i][j] || f.drop() {
			continue
		}
		deliver := func() {
			if q.up && !q.paused {
				about.Since = f.now - age
				q.r.SelfReported(f.now, from, about)
			}
		}
		f.delayed = append(f.delayed, deliver)
		if f.lost&2 != 0 {
			f.delayed = append(f.delayed, deliver) // duplicate
		}
	}
}

// drop decides whether the next record is lost.
func (f *fleet) drop() bool {
	f.lost = f.lost>>1 | f.lost<<31
	return f.lost&1 != 0
}

func name(i int) string { return string(rune('a' + i)) }

func (f *fleet) start(i int) {
	f.runs++
	p := &proc{fleet: f, i: i, up: true}
	self := Member{Name: name(i), RunID: f.runs * 2654435761 % 97, Addr: name(i)}
	p.r = f.make(f.now, rosterLimits{PauseThreshold: 4 * sec, DepartedRetention: time.Hour, MaxDeparted: 64}, self, p)
	f.procs[i] = p
	for j, q := range f.procs {
		if f.linked(i, j) {
			p.r.MergeRemote(f.now, name(j), q.r.Departed())
			for _, m := range q.r.Members() {
				if m.Name == name(i) {
					p.r.NameClaimed(f.now, m)
				}
			}
		}
	}
	p.r.JoinFinished(f.now)
}

// linked reports whether i and j can make a full exchange.
func (f *fleet) linked(i, j int) bool {
	ok := func(p *proc) bool { return p != nil && p.up && !p.paused }
	return i != j && ok(f.procs[i]) && ok(f.procs[j]) && !f.cut[i][j] && !f.cut[j][i]
}

// gossip advances the clock and reports to each running process what its failure detector finds about
// each other process. Unless lossless, some of these reports are lost.
func (f *fleet) gossip(lossless bool) {
	f.now += sec
	deliveries := f.delayed
	f.delayed = nil
	for _, w := range deliveries {
		w()
	}
	for i, p := range f.procs {
		if p == nil || !p.up || p.paused {
			continue
		}
		p.r.Tick(f.now)
		for j, q := range f.procs {
			if i == j || q == nil || !lossless && f.drop() {
				continue
			}
			if q.up && !q.paused && !f.cut[j][i] {
				p.observed[j] = q.r.Self()
				p.r.Alive(f.now, p.observed[j])
			} else if p.observed[j].Name != "" {
				p.r.Died(f.now, p.observed[j])
				p.observed[j] = Member{}
			}
			if f.linked(i, j) {
				p.r.MergeRemote(f.now, name(j), q.r.Departed())
			}
		}
	}
}

func (f *fleet) run(m move) {
	f.lost = m.Lost
	p := f.procs[m.A]
	switch m.Kind {
	case moveGossip:
		f.gossip(false)
	case moveKill:
		p.up = false
	case moveStart:
		if !p.up {
			f.start(m.A)
		}
	case movePartition:
		for i := range f.cut {
			for j := range f.cut {
				f.cut[i][j] = m.Groups>>i&1 != m.Groups>>j&1
			}
		}
	case moveCutOneWay:
		f.cut[m.A][m.B] = true
	case moveHeal:
		f.cut = [fleetSize][fleetSize]bool{}
	case movePause:
		p.paused = true
		for range 6 {
			f.gossip(false)
		}
		p.paused = false
	}
}

// simulate runs the moves, heals all links, and checks that every view converges to the set of running
// processes.
func simulate(make rosterFactory, moves []move) error {
	f := &fleet{make: make}
	for i := range f.procs {
		f.start(i)
	}
	f.gossip(true)
	for _, m := range moves {
		f.run(m)
	}
	f.cut = [fleetSize][fleetSize]bool{}
	f.lost = 0
	for range 8 {
		f.gossip(true)
	}
	var want []Member
	for _, p := range f.procs {
		if p.up {
			want = append(want, p.r.Self())
		}
	}
	for _, p := range f.procs {
		if p.up && !slices.Equal(p.r.Members(), want) {
			return fmt.Errorf("%s has view %v, running processes are %v", p.r.Self().Name, p.r.Members(), want)
		}
	}
	return nil
}

func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(correctRoster, genMoves.Draw(t, "play")); err != nil {
			t.Fatal(err)
		}
	})
}

// healIsolatedMember partitions one member from all others, so that it declares them dead, and heals
// the partition. That member must discard its state, since the others continued without it, and none
// of the others may discard theirs.
func healIsolatedMember(make rosterFactory) error {
	f := &fleet{}
	resumed := map[string]int{}
	f.make = func(now clockTime, l rosterLimits, self Member, actions rosterActions) rosterUnderTest {
		return make(now, l, self, eventWatcher{actions, func(e Event) {
			if e.Kind == Resumed {
				resumed[self.Name]++
			}
		}})
	}
	for i := range f.procs {
		f.start(i)
	}
	f.gossip(true)
	f.run(move{Kind: movePartition, Groups: 1})
	f.gossip(true)
	f.run(move{Kind: moveHeal})
	for range 8 {
		f.gossip(true)
	}
	if len(resumed) != 1 || resumed["a"] != 1 {
		return fmt.Errorf("resumed: %v", resumed)
	}
	return nil
}

func TestIsolatedMemberReturns(t *testing.T) {
	if err := healIsolatedMember(correctRoster); err != nil {
		t.Error(err)
	}
}

type eventWatcher struct {
	rosterActions
	onEvent func(Event)
}

func (w eventWatcher) EmitEvent(e Event) { w.onEvent(e) }

// claimSchedule is a set of processes that claim one name, and the order in which they learn of one
// another.
type claimSchedule struct {
	Incarnations []uint64
	Order        []int
}

var genClaims = rapid.Custom(func(t *rapid.T) claimSchedule {
	return claimSchedule{
		Incarnations: rapid.SliceOfN(rapid.Uint64Range(0, 2), 2, 4).Draw(t, "incarnations"),
		Order:        rapid.SliceOfN(rapid.IntRange(0, 15), 0, 20).Draw(t, "order"),
	}
})

// resolveClaims delivers the claims in a random order and then once more between all pairs, and checks
// that exactly one process keeps the name: the highest of those that ever served.
func resolveClaims(make rosterFactory, v claimSchedule) error {
	var all []rosterUnderTest
	for i, inc := range v.Incarnations {
		self := Member{Name: "me", RunID: uint64(i*7%5 + 1), Addr: fmt.Sprint(i)}
		r := make(0, testLimits, self, &actionRecorder{})
		r.SelfReported(0, "", rec(withAddr("before", newMember("me", inc, 99)), stateLeft))
		r.JoinFinished(0)
		all = append(all, r)
	}
	var best Member
	for _, r := range all {
		if compareRuns(r.Self(), best) > 0 {
			best = r.Self()
		}
	}
	deliverClaim := func(i, j int) {
		// A withdrawn process sends nothing more, but its earlier claims may arrive late.
		all[i].NameClaimed(0, all[j].Self())
	}
	for _, o := range v.Order {
		if i, j := o%len(all), o/4%len(all); i != j {
			deliverClaim(i, j)
		}
	}
	for i := range all {
		for j := range all {
			if i != j {
				deliverClaim(i, j)
			}
		}
	}
	for _, r := range all {
		if (r.Phase() == Serving) != (r.Self() == best) {
			return fmt.Errorf("%s is in phase %d, the highest is %s", id(r.Self()), r.Phase(), id(best))
		}
	}
	return nil
}

func TestHighestClaimKeepsName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := resolveClaims(correctRoster, genClaims.Draw(t, "claims")); err != nil {
			t.Fatal(err)
		}
	})
}
