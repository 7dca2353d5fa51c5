package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// This file plays whole fleets of rosters against a model of the failure detector and the
// network: who can't be reached is found dead, words are lost, come twice and late.

// move is one step of a play: something happens to the fleet, or news pass.
type move struct {
	Kind   int
	A, B   int
	Groups uint32
	Lost   uint32 // which of the words of this step are lost
}

const (
	moveNews = iota
	moveKill
	moveStart
	movePartition
	moveCutOneWay
	moveHeal
	moveStop // for longer than others wait
	moves
)

const fleetSize = 5

var aPlay = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	kind := rapid.IntRange(0, 2*moves).Draw(t, "kind")
	return move{
		Kind:   kind % moves * (kind / moves & 1), // half are news
		A:      rapid.IntRange(0, fleetSize-1).Draw(t, "a"),
		B:      rapid.IntRange(0, fleetSize-1).Draw(t, "b"),
		Groups: rapid.Uint32().Draw(t, "groups"),
		Lost:   rapid.Uint32().Draw(t, "lost"),
	}
}), 1, 40)

// fleet is the model's world.
type fleet struct {
	make  maker
	now   clockTime
	lives uint64
	procs [fleetSize]*proc
	cut   [fleetSize][fleetSize]bool // from, to
	lost  uint32
	late  []func() // words under way
}

type proc struct {
	fleet   *fleet
	i       int
	r       subject
	up      bool
	stopped bool
	sees    [fleetSize]Member // whom the failure detector has among the living
}

func (p *proc) Happened(Event)   {}
func (p *proc) Announce(Member)  {}
func (p *proc) StepAside(Member) {}
func (p *proc) Tell(to Member, about lifeRecord) {
	f, from, since := p.fleet, p.r.Self().Name, p.fleet.now
	age := since - about.Since
	for j, q := range f.procs {
		if q == nil || q.r.Self().Name != to.Name || f.cut[p.i][j] || f.drop() {
			continue
		}
		deliver := func() {
			if q.up && !q.stopped {
				about.Since = f.now - age
				q.r.Told(f.now, from, about)
			}
		}
		f.late = append(f.late, deliver)
		if f.lost&2 != 0 {
			f.late = append(f.late, deliver) // twice
		}
	}
}

// drop draws whether a word is lost.
func (f *fleet) drop() bool {
	f.lost = f.lost>>1 | f.lost<<31
	return f.lost&1 != 0
}

func name(i int) string { return string(rune('a' + i)) }

func (f *fleet) start(i int) {
	f.lives++
	p := &proc{fleet: f, i: i, up: true}
	self := Member{Name: name(i), RunID: f.lives * 2654435761 % 97, Addr: name(i)}
	p.r = f.make(f.now, rosterLimits{StopAfter: 4 * sec, DepartedFor: time.Hour, MaxDeparted: 64}, self, p)
	f.procs[i] = p
	for j, q := range f.procs {
		if f.linked(i, j) {
			p.r.Hearsay(f.now, name(j), q.r.Departed())
			for _, m := range q.r.Members() {
				if m.Name == name(i) {
					p.r.Claim(f.now, m)
				}
			}
		}
	}
	p.r.Settled(f.now)
}

// linked tells whether i and j can make a full exchange.
func (f *fleet) linked(i, j int) bool {
	ok := func(p *proc) bool { return p != nil && p.up && !p.stopped }
	return i != j && ok(f.procs[i]) && ok(f.procs[j]) && !f.cut[i][j] && !f.cut[j][i]
}

// news lets each running process hear, of each other, what its failure detector finds now.
func (f *fleet) news(whole bool) {
	f.now += sec
	words := f.late
	f.late = nil
	for _, w := range words {
		w()
	}
	for i, p := range f.procs {
		if p == nil || !p.up || p.stopped {
			continue
		}
		p.r.Tick(f.now)
		for j, q := range f.procs {
			if i == j || q == nil || !whole && f.drop() {
				continue
			}
			if q.up && !q.stopped && !f.cut[j][i] {
				p.sees[j] = q.r.Self()
				p.r.Alive(f.now, p.sees[j])
			} else if p.sees[j].Name != "" {
				p.r.Died(f.now, p.sees[j])
				p.sees[j] = Member{}
			}
			if f.linked(i, j) {
				p.r.Hearsay(f.now, name(j), q.r.Departed())
			}
		}
	}
}

func (f *fleet) play(m move) {
	f.lost = m.Lost
	p := f.procs[m.A]
	switch m.Kind {
	case moveNews:
		f.news(false)
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
	case moveStop:
		p.stopped = true
		for range 6 {
			f.news(false)
		}
		p.stopped = false
	}
}

// simulate plays the moves, heals all, and checks that all views become the same: just those
// that run.
func simulate(make maker, moves []move) error {
	f := &fleet{make: make}
	for i := range f.procs {
		f.start(i)
	}
	f.news(true)
	for _, m := range moves {
		f.play(m)
	}
	f.cut = [fleetSize][fleetSize]bool{}
	f.lost = 0
	for range 8 {
		f.news(true)
	}
	var want []Member
	for _, p := range f.procs {
		if p.up {
			want = append(want, p.r.Self())
		}
	}
	for _, p := range f.procs {
		if p.up && !slices.Equal(p.r.Members(), want) {
			return fmt.Errorf("%s has %v, running are %v", p.r.Self().Name, p.r.Members(), want)
		}
	}
	return nil
}

func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(sound, aPlay.Draw(t, "play")); err != nil {
			t.Fatal(err)
		}
	})
}

// returnOfOne cuts one member off from all others, and heals: it took them for dead. It must
// drop what it holds, since all the others went on without it, and none of them may.
func returnOfOne(make maker) error {
	f := &fleet{}
	resumed := map[string]int{}
	f.make = func(now clockTime, l rosterLimits, self Member, act rosterActions) subject {
		return make(now, l, self, watch{act, func(e Event) {
			if e.Kind == Resumed {
				resumed[self.Name]++
			}
		}})
	}
	for i := range f.procs {
		f.start(i)
	}
	f.news(true)
	f.play(move{Kind: movePartition, Groups: 1})
	f.news(true)
	f.play(move{Kind: moveHeal})
	for range 8 {
		f.news(true)
	}
	if len(resumed) != 1 || resumed["a"] != 1 {
		return fmt.Errorf("resumed: %v", resumed)
	}
	return nil
}

func TestReturnOfOne(t *testing.T) {
	if err := returnOfOne(sound); err != nil {
		t.Error(err)
	}
}

type watch struct {
	rosterActions
	see func(Event)
}

func (w watch) Happened(e Event) { w.see(e) }

// rivalry is some processes that claim one name, and the order in which they hear of
// one another.
type rivalry struct {
	Incs  []uint64
	Order []int
}

var aRivalry = rapid.Custom(func(t *rapid.T) rivalry {
	return rivalry{
		Incs:  rapid.SliceOfN(rapid.Uint64Range(0, 2), 2, 4).Draw(t, "incarnations"),
		Order: rapid.SliceOfN(rapid.IntRange(0, 15), 0, 20).Draw(t, "order"),
	}
})

// rivals lets them hear of one another in a random order, then once all of all: one keeps
// the name, and it is the highest of those that ever served.
func rivals(make maker, v rivalry) error {
	var all []subject
	for i, inc := range v.Incs {
		self := Member{Name: "me", RunID: uint64(i*7%5 + 1), Addr: fmt.Sprint(i)}
		r := make(0, testLimits, self, &book{})
		r.Told(0, "", rec(at("before", mem("me", inc, 99)), stateGone))
		r.Settled(0)
		all = append(all, r)
	}
	var best Member
	for _, r := range all {
		if compareLives(r.Self(), best) > 0 {
			best = r.Self()
		}
	}
	hear := func(i, j int) {
		// One that has stepped aside says nothing more; what it said before comes late.
		all[i].Claim(0, all[j].Self())
	}
	for _, o := range v.Order {
		if i, j := o%len(all), o/4%len(all); i != j {
			hear(i, j)
		}
	}
	for i := range all {
		for j := range all {
			if i != j {
				hear(i, j)
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

func TestOneKeepsTheName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := rivals(sound, aRivalry.Draw(t, "rivals")); err != nil {
			t.Fatal(err)
		}
	})
}
