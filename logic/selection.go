// Backend selection: zone groups, weighted rotation in a group, and each balancer's subset of the
// backends.

package logic

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Balancers that have a backend in their subsets: even load against calling each often enough.
	balancersPerBackend = 5.0
	minSubsetBackends   = 3.0  // backends in each subset at least
	subsetGrowFactor    = 1.25 // growth of own traffic from which the subset grows
	subsetShrinkFactor  = 2.0  // factor by which own traffic must fall before the subset shrinks

	// Multiple of the group's mean load above which a backend loses its turn: even load against even turns.
	maxLoadFactor      = 1.25
	slowBackendWeight  = 2.0 // how much more calls count on slow backends: spares overloaded ones
	minRelativeLatency = 0.3 // of the class's mean: faster backends get no more turns for it

	// Calls leave the own zone when its load exceeds another zone's by this factor, plus zoneSpillMargin
	// calls for each unit of capacity: use of idle zones against cross-zone calls.
	zoneSpillFactor = 1.5
	zoneSpillMargin = 1.0
)

// pickBackend returns a backend whose probe is due, or else picks from the own zone's group unless that
// is failing or much busier than the least busy one.
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
		// After a failed connection in a zone, the whole zone may be unreachable.
		connectFailedHere := func(a attempt) bool { return a.connectFailed && a.backend.zoneGroup == g }
		return unavailableShare(g) <= 0.5 && !slices.ContainsFunc(q.attempts, connectFailedHere)
	})
	switch {
	case len(candidates) == 0: // no backend is in use
		permitted := filter(b.listed, func(m *backend) bool {
			return now >= m.pausedUntil && b.allowed(now, q, m)
		})
		if len(permitted) == 0 {
			return nil
		}
		return slices.MinFunc(permitted, func(x, y *backend) int {
			return cmp.Compare(x.failureShare, y.failureShare)
		})
	case len(healthy) == 0: // spread over the group: a single backend would be overloaded
		compare := func(x, y *zoneGroup) int { return cmp.Compare(unavailableShare(x), unavailableShare(y)) }
		return b.pickFromGroup(now, q, slices.MinFunc(candidates, compare))
	}
	// The least loaded group is taken instead of the next one, so that no zone stays idle and the
	// balancers of a lost zone do not all move to the same one.
	choice := slices.MinFunc(healthy, func(x, y *zoneGroup) int { return cmp.Compare(load(x), load(y)) })
	if g := healthy[0]; g.members[0].Zone == b.settings.Zone &&
		load(g) <= zoneSpillFactor*load(choice)+zoneSpillMargin {
		choice = g
	}
	return b.pickFromGroup(now, q, choice)
}

// refusalCause is why no backend could be picked for q: the cause of the backend that passed the most
// checks.
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

// usable reports whether the rules and the backend's state let q go to m now.
func (b *Balancer) usable(now Time, q *request, m *backend) bool {
	return m.ejections == 0 && now >= m.pausedUntil && b.allowed(now, q, m)
}

// allowed applies the rules only: drains, slow start, retries.
func (b *Balancer) allowed(now Time, q *request, m *backend) bool {
	return b.confirmedInService(now, m) && !b.slowStartTooSoon(now, m) && b.mayRetryOn(now, q, m)
}

// pickFromGroup picks the member whose turn is next; members well above the mean load lose their turns.
// Backends outside the subset are considered only if none inside is usable.
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

// earliestDeadline is the usable member with the earliest virtual deadline among those closest to the
// subset, and its distance.
func (b *Balancer) earliestDeadline(
	now Time, q *request, g *zoneGroup, members []*backend) (next *backend, minDistance float64) {
	t, minDistance := b.totals(now, &g.peerSummary), 2.0
	for _, m := range members {
		usable, distance := b.usable(now, q, m), max(m.subsetDistance, oneIf(b.aboveMeanLoad(now, m, t)))
		if distance > 0 || !usable {
			g.skipMissedTurns(m)
		}
		if usable && (distance < minDistance ||
			distance == minDistance && m.virtualDeadline < next.virtualDeadline) {
			next, minDistance = m, distance
		}
	}
	return next, minDistance
}

// skipMissedTurns advances a member's virtual deadline past the turns it missed while out of the
// rotation. Its phase is kept: otherwise hundreds of balancers would all resume with the backends of the
// lowest IDs.
func (g *zoneGroup) skipMissedTurns(m *backend) {
	if m.virtualDeadline <= g.virtualTime {
		m.virtualDeadline = g.virtualTime + m.stride() - math.Mod(g.virtualTime-m.virtualDeadline, m.stride())
	}
}

// skipTurnsOutsideSubset does so for all members outside the subset, before it may be reassigned.
func (g *zoneGroup) skipTurnsOutsideSubset() {
	for _, m := range g.members {
		if m.subsetDistance > 0 {
			g.skipMissedTurns(m)
		}
	}
}

// aboveMeanLoad reports whether m, with one more call, is well above the mean load. Calls on slow
// backends count for more.
func (b *Balancer) aboveMeanLoad(now Time, m *backend, t totals) bool {
	capacity := m.Capacity
	// A balancer with few calls would otherwise never call backends of small capacity.
	if m.inFlight == 0 {
		capacity = max(capacity, t.capacity/t.backendCount)
	}
	// Decays, so that m is tried again.
	excessLatency := max(0, m.relativeLatency-1) *
		math.Exp(-float64(now-m.lastLatencySample)/float64(b.baseEjectionTime))
	return float64(m.inFlight+1)*(1+slowBackendWeight*excessLatency)/capacity > maxLoadFactor*t.load(1)
}

// stride is the virtual time between turns of m: the higher its latency, the longer.
func (m *backend) stride() float64 {
	return max(minRelativeLatency, m.relativeLatency) / cmp.Or(m.subsetCapacity, m.Capacity)
}

// rebuildGroups drops removed backends (outstanding attempts hold their own pointers) and orders the rest
// by group: own zone first, then around the ring of zones, so that each zone spills over into a different
// one.
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
		if m.virtualDeadline == 0 { // random start
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

// assignSubsets places each group's capacities end to end on a ring and gives each balancer a segment of
// it. Where balancers far outnumber backends, a balancer that rotated over all would call each too rarely
// to detect a slow one. Segments have equal length and start at positions given by the balancer's index,
// so that together they cover the ring evenly.
func (b *Balancer) assignSubsets() {
	const goldenRatio = 0.6180339887 // spreads consecutive integers most evenly over a ring
	share := balancersPerBackend * float64(len(b.settings.Zones)) / float64(max(1, b.settings.BalancerCount))
	for _, g := range b.zoneGroups {
		subset := max(b.minSubsetCapacity, g.capacity*max(share, minSubsetBackends/float64(len(g.members))))
		start := -g.capacity * math.Mod(goldenRatio*float64(b.settings.BalancerIndex), 1)
		g.skipTurnsOutsideSubset()
		g.peerSummary.members, g.subset = g.peerSummary.members[:0], g.subset[:0]
		for _, m := range g.members {
			overlap := func(start float64) float64 {
				return max(0, min(subset, start+m.Capacity)-max(0, start))
			}
			m.subsetCapacity = min(m.Capacity, overlap(start)+overlap(start+g.capacity))
			m.subsetDistance = oneIf(m.subsetCapacity == 0) *
				max(1e-9, (start+g.capacity*oneIf(start < 0)-subset)/g.capacity)
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
