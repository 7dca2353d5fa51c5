// Sums over backends, kept up to date so that a call need not walk all that are known.

package logic

// A tally sums up backends in use: the limit shrinks with them. Ejected ones keep their parts from the cold.
type totals struct{ backendCount, inFlight, capacity, effectiveCapacity, subsetCapacity, effectiveSubsetCapacity float64 }

// load is the mean of own calls in flight for each unit of size, with more added to each backend.
func (t totals) load(extraCalls float64) float64 {
	return (t.inFlight + extraCalls*t.backendCount) / max(t.capacity, 1e-9)
}

// A summary is the tally of a set of members. It is made anew where the balancer's version has changed. What
// changes with every call (calls in flight) is kept, and what changes with time (cold ones) is added at each
// use.
type summary struct {
	members                 []*backend
	ejected                 []*backend // in their order
	version                 int        // of the balancer, that the rest holds for; 0: none yet
	fixed                   totals     // but for the warmth of cold ones
	slowStarting            []*backend
	updatedAt               Time // when the warmth of the cold ones was summed up last
	slowStartCapacity       float64
	slowStartSubsetCapacity float64
}

// tally is the tally of a summary's members.
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

// sumUp makes a summary anew.
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

// sumUpCold adds up what the cold members can do now. Those that are warm by now need no more looking at.
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

// inUse tells whether a member counts as in use.
func (b *Balancer) inUse(m *backend) bool { return m.ejections == 0 && b.inService(m) }

// addInFlight changes how many calls a backend has in flight.
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
