// Sums over backends, kept up to date so that a call need not walk all that are known.

package logic

// A tally sums up backends in use: the limit shrinks with them. Ejected ones keep their parts from the cold.
type tally struct{ count, calls, size, warm, parts, reach float64 }

// load is the mean of own calls in flight for each unit of size, with more added to each backend.
func (t tally) load(more float64) float64 { return (t.calls + more*t.count) / max(t.size, 1e-9) }

// A summary is the tally of a set of members. It is made anew where the balancer's version has changed. What
// changes with every call (calls in flight) is kept, and what changes with time (cold ones) is added at each
// use.
type summary struct {
	members []*backend
	ejected []*backend // in their order
	version int        // of the balancer, that the rest holds for; 0: none yet
	base    tally      // but for the warmth of cold ones
	cold    []*backend
	at      Time // when the warmth of the cold ones was summed up last
	warm    float64
	reach   float64
}

// tally is the tally of a summary's members.
func (b *Balancer) tally(now Time, s *summary) tally {
	if s.version != b.version {
		b.sumUp(now, s)
	}
	if s.at != now {
		b.sumUpCold(now, s)
	}
	t := s.base
	t.warm += s.warm
	t.reach += s.reach
	return t
}

// sumUp makes a summary anew.
func (b *Balancer) sumUp(now Time, s *summary) {
	s.version, s.at = b.version, now-1
	s.base, s.cold, s.ejected = tally{}, s.cold[:0], s.ejected[:0]
	t := &s.base
	for _, m := range s.members {
		cold := m.warmth(now, &b.set) < 1
		if cold {
			s.cold = append(s.cold, m)
		}
		if m.ejected > 0 {
			s.ejected = append(s.ejected, m)
		}
		part := m.part * one(m.State == Up)
		t.parts += part
		t.reach += part * one(!cold)
		if b.inUse(m) {
			t.count++
			t.calls += float64(m.inFlight)
			t.size += m.Capacity
			t.warm += m.Capacity * one(!cold)
		}
	}
}

// sumUpCold adds up what the cold members can do now. Those that are warm by now need no more looking at.
func (b *Balancer) sumUpCold(now Time, s *summary) {
	s.at, s.warm, s.reach = now, 0, 0
	warm := false
	for _, m := range s.cold {
		warmth := m.warmth(now, &b.set)
		warm = warm || warmth == 1
		s.reach += m.part * one(m.State == Up) * warmth
		if b.inUse(m) {
			s.warm += m.Capacity * warmth
		}
	}
	if warm {
		s.version = 0
	}
}

// inUse tells whether a member counts as in use.
func (b *Balancer) inUse(m *backend) bool { return m.ejected == 0 && b.serving(m) }

// addInFlight changes how many calls a backend has in flight.
func (b *Balancer) addInFlight(m *backend, calls int) {
	m.inFlight += calls
	if m.gone || !b.inUse(m) {
		return
	}
	b.all.base.calls += float64(calls)
	m.group.all.base.calls += float64(calls)
	if m.near {
		m.group.near.base.calls += float64(calls)
	}
}
