// Selection: groups by zone, the rotation in a group, and each balancer's part of the backends.

package logic

import (
	"cmp"
	"math"
	"slices"
)

const (
	balancersPerBackend = 5.0  // that reach each backend: even in sum against meeting it often
	minSubsetBackends   = 3.0  // backends that each balancer reaches
	subsetGrowFactor    = 1.25 // by how much own traffic must have grown for a longer arc
	subsetShrinkFactor  = 2.0  // or fallen for a shorter one

	maxLoadFactor      = 1.25 // "well above the mean" in a group: even load against even turns
	slowBackendWeight  = 2.0  // how much more calls count on slow backends: spares choked ones
	minRelativeLatency = 0.3  // of the mean latency: faster ones get no more turns for it

	zoneSpillFactor = 1.5 // "well over another group's": idle zones used against crossings
	zoneSpillMargin = 1.0
)

// pick chooses a due trial, or the next of the first group neither failing nor well busier than others.
func (b *Balancer) pickBackend(now Time, q *request) *backend {
	if probe := b.dueProbe(now, q); probe != nil {
		return probe
	}
	unavailableShare := func(g *zoneGroup) float64 {
		return 1 - b.totals(now, &g.memberSummary).backendCount/float64(len(g.members))
	}
	load := func(g *zoneGroup) float64 { return b.totals(now, &g.memberSummary).load(0) }
	candidates := filter(b.zoneGroups, func(g *zoneGroup) bool {
		return slices.ContainsFunc(g.members, func(m *backend) bool { return b.usable(now, q, m) })
	})
	healthy := filter(candidates, func(g *zoneGroup) bool {
		connectFailedHere := func(a attempt) bool { return a.connectFailed && a.backend.zoneGroup == g } // all of it may be
		return unavailableShare(g) <= 0.5 && !slices.ContainsFunc(q.attempts, connectFailedHere)
	})
	switch {
	case len(candidates) == 0: // no backend is in use
		permitted := filter(b.listed, func(m *backend) bool { return now >= m.pausedUntil && b.allowed(now, q, m) })
		if len(permitted) == 0 {
			return nil
		}
		return slices.MinFunc(permitted, func(x, y *backend) int { return cmp.Compare(x.failureShare, y.failureShare) })
	case len(healthy) == 0: // spread over the group: one backend alone would tip
		choice := func(x, y *zoneGroup) int { return cmp.Compare(unavailableShare(x), unavailableShare(y)) }
		return b.pickFromGroup(now, q, slices.MinFunc(candidates, choice))
	}
	// Guards against a last group left idle, and against all of a lost zone's balancers meeting in the next.
	choice := slices.MinFunc(healthy, func(x, y *zoneGroup) int { return cmp.Compare(load(x), load(y)) })
	if g := healthy[0]; g.members[0].Zone == b.settings.Zone && load(g) <= zoneSpillFactor*load(choice)+zoneSpillMargin {
		choice = g
	}
	return b.pickFromGroup(now, q, choice)
}

// obstacle is why no backend could be picked for q: of the one that passed most of the checks.
func (b *Balancer) refusalCause(now Time, q *request) Cause {
	cause := NoBackend
	for _, m := range b.listed {
		switch {
		case !b.inService(m):
			cause = max(cause, Drained)
		case !b.confirmedInService(now, m):
			cause = max(cause, ListStale)
		case !b.mayRetryOn(now, q, m):
			return MayHaveRun
		case m.warmUpFraction(now, &b.settings) < 1:
			cause = max(cause, SlowStart)
		default:
			cause = Avoided
		}
	}
	return cause
}

// usable tells whether the rules and the backend's state let q go to m now.
func (b *Balancer) usable(now Time, q *request, m *backend) bool {
	return m.ejections == 0 && now >= m.pausedUntil && b.allowed(now, q, m)
}

// allowed holds the rules alone: drains, cold backends, repeats.
func (b *Balancer) allowed(now Time, q *request, m *backend) bool {
	return b.confirmedInService(now, m) && !b.slowStartTooSoon(now, m) && b.mayRetryOn(now, q, m)
}

// rotate gives the call to the member whose turn is next; turns of those well above mean are lost. Those
// past the reach are looked at only where none within it will do.
func (b *Balancer) pickFromGroup(now Time, q *request, g *zoneGroup) *backend {
	next, distance := b.earliestDeadline(now, q, g, g.subset)
	if next == nil || distance > 0 {
		next, _ = b.earliestDeadline(now, q, g, g.members)
	}
	if next != nil {
		g.virtualTime = max(g.virtualTime, next.virtualDeadline)
		next.virtualDeadline = g.virtualTime + next.stride()
	}
	return next
}

// nextOf is the member of some whose turn is next among those least past the reach, and how far that is.
func (b *Balancer) earliestDeadline(now Time, q *request, g *zoneGroup, members []*backend) (next *backend, minDistance float64) {
	t, minDistance := b.totals(now, &g.peerSummary), 2.0
	for _, m := range members {
		usable, distance := b.usable(now, q, m), max(m.subsetDistance, oneIf(b.aboveMeanLoad(now, m, t)))
		if distance > 0 || !usable {
			g.skipMissedTurns(m)
		}
		if usable && (distance < minDistance || distance == minDistance && m.virtualDeadline < next.virtualDeadline) {
			next, minDistance = m, distance
		}
	}
	return next, minDistance
}

// pass lets a member's turns pass that came while it was out of the rotation. Its phase stays: guards
// against hundreds at the first ids.
func (g *zoneGroup) skipMissedTurns(m *backend) {
	if m.virtualDeadline <= g.virtualTime {
		m.virtualDeadline = g.virtualTime + m.stride() - math.Mod(g.virtualTime-m.virtualDeadline, m.stride())
	}
}

// passAll does so for all that are past the reach, which may be laid anew next.
func (g *zoneGroup) skipTurnsOutsideSubset() {
	for _, m := range g.members {
		if m.subsetDistance > 0 {
			g.skipMissedTurns(m)
		}
	}
}

// busy tells whether m, with one more call, is well above the mean. A slow one's count for more, a departure.
func (b *Balancer) aboveMeanLoad(now Time, m *backend, t totals) bool {
	capacity := m.Capacity
	if m.inFlight == 0 { // guards against small ones that a few calls never reach
		capacity = max(capacity, t.capacity/t.backendCount)
	}
	excessLatency := max(0, m.relativeLatency-1) * math.Exp(-float64(now-m.lastLatencySample)/float64(b.baseEjectionTime)) // fades: tried again
	return float64(m.inFlight+1)*(1+slowBackendWeight*excessLatency)/capacity > maxLoadFactor*t.load(1)
}

// pace is what a turn costs m: the slower it was, the later the next one.
func (m *backend) stride() float64 {
	return max(minRelativeLatency, m.relativeLatency) / cmp.Or(m.subsetCapacity, m.Capacity)
}

// regroup forgets the backends that are gone (attempts still out hold their own pointers) and orders the
// rest by group: own zone first, then around the ring of zones, so that zones spill into different ones.
func (b *Balancer) rebuildGroups() {
	b.listed = slices.DeleteFunc(b.listed, func(m *backend) bool {
		if m.removed {
			delete(b.backends, m.ID)
		}
		return m.removed
	})
	zones, ownZone := len(b.settings.Zones), slices.Index(b.settings.Zones, b.settings.Zone)
	rank := func(m *backend) int {
		if i := slices.Index(b.settings.Zones, m.Zone); i >= 0 {
			return (i - ownZone + zones) % zones
		}
		return zones
	}
	slices.SortFunc(b.listed, func(x, y *backend) int {
		return cmp.Or(rank(x)-rank(y), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.ID, y.ID))
	})
	for _, g := range b.zoneGroups {
		g.skipTurnsOutsideSubset()
	}
	b.zoneGroups, b.capacity = nil, 0
	for i, m := range b.listed {
		b.capacity += m.Capacity
		if i == 0 || m.Zone != b.listed[i-1].Zone {
			b.zoneGroups = append(b.zoneGroups, &zoneGroup{})
		}
		g := b.zoneGroups[len(b.zoneGroups)-1]
		if m.virtualDeadline == 0 { // from a random start
			m.virtualDeadline = g.virtualTime + b.rng.Float64()/m.Capacity
		}
		g.virtualTime = max(g.virtualTime, m.virtualDeadline-1/m.Capacity)
		g.members, m.zoneGroup = append(g.members, m), g
		g.capacity += m.Capacity
	}
	b.listedSummary.members = b.listed
	for _, g := range b.zoneGroups {
		g.memberSummary.members = g.members
	}
	b.assignSubsets()
}

// reach lays each group's sizes end to end on a ring and gives each balancer an arc, a departure where they
// far outnumber backends: going round all, each would meet one too seldom to tell that it is slow. Arcs are
// of one length and start apart by number, so that together they cover all evenly.
func (b *Balancer) assignSubsets() {
	const goldenRatio = 0.6180339887 // spreads whole numbers most evenly over a ring
	share := balancersPerBackend * float64(len(b.settings.Zones)) / float64(max(1, b.settings.BalancerCount))
	for _, g := range b.zoneGroups {
		subset := max(b.minSubsetCapacity, g.capacity*max(share, minSubsetBackends/float64(len(g.members))))
		start := -g.capacity * math.Mod(goldenRatio*float64(b.settings.BalancerIndex), 1)
		g.skipTurnsOutsideSubset()
		g.peerSummary.members, g.subset = g.peerSummary.members[:0], g.subset[:0]
		for _, m := range g.members {
			overlap := func(start float64) float64 { return max(0, min(subset, start+m.Capacity)-max(0, start)) }
			m.subsetCapacity = min(m.Capacity, overlap(start)+overlap(start+g.capacity))
			m.subsetDistance = oneIf(m.subsetCapacity == 0) * max(1e-9, (start+g.capacity*oneIf(start < 0)-subset)/g.capacity)
			start += m.Capacity
			if m.isLoadPeer = m.subsetCapacity > 0 || !b.settings.UnevenTraffic; m.isLoadPeer {
				g.peerSummary.members = append(g.peerSummary.members, m)
			}
			if m.subsetCapacity > 0 {
				g.subset = append(g.subset, m)
			}
		}
	}
	b.summaryVersion++
}
