// Sums over backends, maintained incrementally so that a call need not visit all known backends.

package logic

// totals sums up the backends in use: the concurrency limit shrinks with them. Ejected backends still
// count in subsetCapacity and effectiveSubsetCapacity, which set the call rate of those in slow start.
type totals struct {
	backendCount, inFlight, capacity, effectiveCapacity,
	subsetCapacity, effectiveSubsetCapacity float64
}

// load is the mean of own calls in flight for each unit of capacity, with extraCalls added to each
// backend.
func (t totals) load(extraCalls float64) float64 {
	return (t.inFlight + extraCalls*t.backendCount) / max(t.capacity, 1e-9)
}

// summary holds the totals of a set of members. It is rebuilt when the balancer's summaryVersion has
// changed. Calls in flight are updated with every call; what depends on the time (backends in slow start)
// is added at each use.
type summary struct {
	members                 []*backend
	ejected                 []*backend // in the order of members
	version                 int        // summaryVersion that the rest is valid for; 0: none yet
	fixed                   totals     // without the backends in slow start
	slowStarting            []*backend
	updatedAt               Time // when the backends in slow start were last summed up
	slowStartCapacity       float64
	slowStartSubsetCapacity float64
}

// totals returns the totals of a summary's members.
func (b *Balancer) totals(now Time, s *summary) totals {
	if s.version != b.summaryVersion {
		b.rebuildSummary(now, s)
	}
	if s.updatedAt != now {
		b.updateSlowStart(now, s)
	}
	t := s.fixed
	t.effectiveCapacity += s.slowStartCapacity
	t.effectiveSubsetCapacity += s.slowStartSubsetCapacity
	return t
}

// rebuildSummary computes a summary anew.
func (b *Balancer) rebuildSummary(now Time, s *summary) {
	s.version, s.updatedAt = b.summaryVersion, now-1
	s.fixed, s.slowStarting, s.ejected = totals{}, s.slowStarting[:0], s.ejected[:0]
	t := &s.fixed
	for _, m := range s.members {
		slowStarting := m.warmUpFraction(now, &b.settings) < 1
		if slowStarting {
			s.slowStarting = append(s.slowStarting, m)
		}
		if m.ejections > 0 {
			s.ejected = append(s.ejected, m)
		}
		subsetCapacity := m.subsetCapacity * oneIf(m.State == Up)
		t.subsetCapacity += subsetCapacity
		t.effectiveSubsetCapacity += subsetCapacity * oneIf(!slowStarting)
		if b.inUse(m) {
			t.backendCount++
			t.inFlight += float64(m.inFlight)
			t.capacity += m.Capacity
			t.effectiveCapacity += m.Capacity * oneIf(!slowStarting)
		}
	}
}

// updateSlowStart sums up the present capacity of members in slow start. If one has finished, the summary
// is marked for rebuilding.
func (b *Balancer) updateSlowStart(now Time, s *summary) {
	s.updatedAt, s.slowStartCapacity, s.slowStartSubsetCapacity = now, 0, 0
	finished := false
	for _, m := range s.slowStarting {
		fraction := m.warmUpFraction(now, &b.settings)
		finished = finished || fraction == 1
		s.slowStartSubsetCapacity += m.subsetCapacity * oneIf(m.State == Up) * fraction
		if b.inUse(m) {
			s.slowStartCapacity += m.Capacity * fraction
		}
	}
	if finished {
		s.version = 0
	}
}

// inUse reports whether a member is in service and not ejected.
func (b *Balancer) inUse(m *backend) bool { return m.ejections == 0 && b.inService(m) }

// addInFlight changes the number of calls a backend has in flight.
func (b *Balancer) addInFlight(m *backend, calls int) {
	m.inFlight += calls
	if m.removed || !b.inUse(m) {
		return
	}
	b.listedSummary.fixed.inFlight += float64(calls)
	m.zoneGroup.memberSummary.fixed.inFlight += float64(calls)
	if m.isLoadPeer {
		m.zoneGroup.peerSummary.fixed.inFlight += float64(calls)
	}
}
