// Selection: groups by zone, the rotation in a group, and each balancer's part of the backends.

package logic

import (
	"cmp"
	"math"
	"slices"
)

const (
	reachBalancers = 5.0  // that reach each backend: even in sum against meeting it often
	reachLeast     = 3.0  // backends that each balancer reaches
	reachMore      = 1.25 // by how much own traffic must have grown for a longer arc
	reachLess      = 2.0  // or fallen for a shorter one

	busyFactor = 1.25 // "well above the mean" in a group: even load against even turns
	slowWeight = 2.0  // how much more calls count on slow backends: spares choked ones
	paceLeast  = 0.3  // of the mean latency: faster ones get no more turns for it

	spillFactor = 1.5 // "well over another group's": idle zones used against crossings
	spillMargin = 1.0
)

// pick chooses a due trial, or the next of the first group neither failing nor well busier than others.
func (b *Balancer) pick(now Time, q *request) *backend {
	if t := b.dueTrial(now, q); t != nil {
		return t
	}
	failing := func(g *group) float64 { return 1 - b.tally(now, &g.all).count/float64(len(g.members)) }
	load := func(g *group) float64 { return b.tally(now, &g.all).load(0) }
	open := filter(b.groups, func(g *group) bool {
		return slices.ContainsFunc(g.members, func(m *backend) bool { return b.usable(now, q, m) })
	})
	healthy := filter(open, func(g *group) bool {
		lost := func(a attempt) bool { return a.lost && a.to.group == g } // all of it may be
		return failing(g) <= 0.5 && !slices.ContainsFunc(q.attempts, lost)
	})
	switch {
	case len(open) == 0: // no backend is in use
		may := filter(b.listed, func(m *backend) bool { return now >= m.paused && b.allowed(now, q, m) })
		if len(may) == 0 {
			return nil
		}
		return slices.MinFunc(may, func(x, y *backend) int { return cmp.Compare(x.failures, y.failures) })
	case len(healthy) == 0: // spread over the group: one backend alone would tip
		least := func(x, y *group) int { return cmp.Compare(failing(x), failing(y)) }
		return b.rotate(now, q, slices.MinFunc(open, least))
	}
	// Guards against a last group left idle, and against all of a lost zone's balancers meeting in the next.
	least := slices.MinFunc(healthy, func(x, y *group) int { return cmp.Compare(load(x), load(y)) })
	if g := healthy[0]; g.members[0].Zone == b.set.Zone && load(g) <= spillFactor*load(least)+spillMargin {
		least = g
	}
	return b.rotate(now, q, least)
}

// obstacle is why no backend could be picked for q: of the one that passed most of the checks.
func (b *Balancer) obstacle(now Time, q *request) Cause {
	why := NoBackend
	for _, m := range b.listed {
		switch {
		case !b.serving(m):
			why = max(why, Drained)
		case !b.sure(now, m):
			why = max(why, ListStale)
		case !b.mayRepeat(now, q, m):
			return MayHaveRun
		case m.warmth(now, &b.set) < 1:
			why = max(why, SlowStart)
		default:
			why = Avoided
		}
	}
	return why
}

// usable tells whether the rules and the backend's state let q go to m now.
func (b *Balancer) usable(now Time, q *request, m *backend) bool {
	return m.ejected == 0 && now >= m.paused && b.allowed(now, q, m)
}

// allowed holds the rules alone: drains, cold backends, repeats.
func (b *Balancer) allowed(now Time, q *request, m *backend) bool {
	return b.sure(now, m) && !b.tooSoon(now, m) && b.mayRepeat(now, q, m)
}

// rotate gives the call to the member whose turn is next; turns of those well above mean are lost. Those
// past the reach are looked at only where none within it will do.
func (b *Balancer) rotate(now Time, q *request, g *group) *backend {
	next, past := b.nextOf(now, q, g, g.reached)
	if next == nil || past > 0 {
		next, _ = b.nextOf(now, q, g, g.members)
	}
	if next != nil {
		g.turn = max(g.turn, next.turn)
		next.turn = g.turn + next.pace()
	}
	return next
}

// nextOf is the member of some whose turn is next among those least past the reach, and how far that is.
func (b *Balancer) nextOf(now Time, q *request, g *group, members []*backend) (next *backend, least float64) {
	t, least := b.tally(now, &g.near), 2.0
	for _, m := range members {
		usable, past := b.usable(now, q, m), max(m.past, one(b.busy(now, m, t)))
		if past > 0 || !usable {
			g.pass(m)
		}
		if usable && (past < least || past == least && m.turn < next.turn) {
			next, least = m, past
		}
	}
	return next, least
}

// pass lets a member's turns pass that came while it was out of the rotation. Its phase stays: guards
// against hundreds at the first ids.
func (g *group) pass(m *backend) {
	if m.turn <= g.turn {
		m.turn = g.turn + m.pace() - math.Mod(g.turn-m.turn, m.pace())
	}
}

// passAll does so for all that are past the reach, which may be laid anew next.
func (g *group) passAll() {
	for _, m := range g.members {
		if m.past > 0 {
			g.pass(m)
		}
	}
}

// busy tells whether m, with one more call, is well above the mean. A slow one's count for more, a departure.
func (b *Balancer) busy(now Time, m *backend, t tally) bool {
	size := m.Capacity
	if m.inFlight == 0 { // guards against small ones that a few calls never reach
		size = max(size, t.size/t.count)
	}
	slow := max(0, m.slowness-1) * math.Exp(-float64(now-m.heard)/float64(b.patience)) // fades: tried again
	return float64(m.inFlight+1)*(1+slowWeight*slow)/size > busyFactor*t.load(1)
}

// pace is what a turn costs m: the slower it was, the later the next one.
func (m *backend) pace() float64 {
	return max(paceLeast, m.slowness) / cmp.Or(m.part, m.Capacity)
}

// regroup forgets the backends that are gone (attempts still out hold their own pointers) and orders the
// rest by group: own zone first, then around the ring of zones, so that zones spill into different ones.
func (b *Balancer) regroup() {
	b.listed = slices.DeleteFunc(b.listed, func(m *backend) bool {
		if m.gone {
			delete(b.backends, m.ID)
		}
		return m.gone
	})
	zones, own := len(b.set.Zones), slices.Index(b.set.Zones, b.set.Zone)
	rank := func(m *backend) int {
		if i := slices.Index(b.set.Zones, m.Zone); i >= 0 {
			return (i - own + zones) % zones
		}
		return zones
	}
	slices.SortFunc(b.listed, func(x, y *backend) int {
		return cmp.Or(rank(x)-rank(y), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.ID, y.ID))
	})
	for _, g := range b.groups {
		g.passAll()
	}
	b.groups, b.size = nil, 0
	for i, m := range b.listed {
		b.size += m.Capacity
		if i == 0 || m.Zone != b.listed[i-1].Zone {
			b.groups = append(b.groups, &group{})
		}
		g := b.groups[len(b.groups)-1]
		if m.turn == 0 { // from a random start
			m.turn = g.turn + b.rng.Float64()/m.Capacity
		}
		g.turn = max(g.turn, m.turn-1/m.Capacity)
		g.members, m.group = append(g.members, m), g
		g.size += m.Capacity
	}
	b.all.members = b.listed
	for _, g := range b.groups {
		g.all.members = g.members
	}
	b.reach()
}

// reach lays each group's sizes end to end on a ring and gives each balancer an arc, a departure where they
// far outnumber backends: going round all, each would meet one too seldom to tell that it is slow. Arcs are
// of one length and start apart by number, so that together they cover all evenly.
func (b *Balancer) reach() {
	const golden = 0.6180339887 // spreads whole numbers most evenly over a ring
	share := reachBalancers * float64(len(b.set.Zones)) / float64(max(1, b.set.BalancerCount))
	for _, g := range b.groups {
		arc := max(b.arc, g.size*max(share, reachLeast/float64(len(g.members))))
		at := -g.size * math.Mod(golden*float64(b.set.BalancerIndex), 1)
		g.passAll()
		g.near.members, g.reached = g.near.members[:0], g.reached[:0]
		for _, m := range g.members {
			lap := func(at float64) float64 { return max(0, min(arc, at+m.Capacity)-max(0, at)) }
			m.part = min(m.Capacity, lap(at)+lap(at+g.size))
			m.past = one(m.part == 0) * max(1e-9, (at+g.size*one(at < 0)-arc)/g.size)
			at += m.Capacity
			if m.near = m.part > 0 || !b.set.UnevenTraffic; m.near {
				g.near.members = append(g.near.members, m)
			}
			if m.part > 0 {
				g.reached = append(g.reached, m)
			}
		}
	}
	b.version++
}
