// The list of backends, what operators say of them, and for how long the list may be used.

package logic

import "cmp"

// serving tells whether m is in service by the list and by hand.
func (b *Balancer) inService(m *backend) bool { return m.State == Up && !b.detached[m.ID] }

// sure is serving by a list that may be used, past its end for what has been there all the time alone.
func (b *Balancer) confirmedInService(now Time, m *backend) bool {
	f := &b.listFreshness
	switch {
	case !b.inService(m):
		return false
	case f.FreshUntil == 0:
		return true
	case now >= f.FreshUntil:
		return now < f.StaleUntil && m.liveness.provenInService(f, now)
	case f.ChangesMayLag && m.liveness.mayHaveBeenRemoved(f, now):
		b.listNeeded = true
		return false
	}
	return true
}

// askList asks for a list where a backend has been passed over for want of one, or would be before long.
func (b *Balancer) requestListIfNeeded() {
	if b.listNeeded && b.listRequester != nil {
		b.listRequester.RequestList()
	}
	b.listNeeded = false
}

// UpdateList takes news of the backends: the full list, or changed lines only.
func (b *Balancer) UpdateList(now Time, full bool, lines []Backend) {
	for _, m := range b.listed {
		m.removed = full
	}
	for _, l := range lines {
		b.updateBackend(now, l)
	}
	b.rebuildGroups()
	if t := b.totals(now, &b.listedSummary); b.baseLimit == 0 && t.capacity > 0 {
		b.limitMultiplier, b.baseLimit = 1, initialLimitPerBackend*t.backendCount/t.capacity/float64(max(b.settings.BalancerCount, 1))
	}
}

func (b *Balancer) updateBackend(now Time, l Backend) {
	l.Capacity = cmp.Or(max(l.Capacity, 0), 1)
	m := b.backends[l.ID]
	if m == nil {
		m = &backend{lastSent: now, spacingFactor: b.rng.Float64(), relativeLatency: 1}
		b.backends[l.ID] = m
		b.listed = append(b.listed, m)
	} else if max(l.StartedAt, m.attachedAt) != max(m.StartedAt, m.attachedAt) { // restarted: nothing learned holds
		m.failureShare, m.ejections, m.relativeLatency, m.lastSent, m.spacingFactor = 0, 0, 1, now, b.rng.Float64()
	}
	m.Backend, m.removed = l, l.State == Removed
}

// Detach takes a backend out by hand, until Attach and whatever the list says meanwhile.
func (b *Balancer) Detach(id string) {
	b.detached[id] = true
	b.summaryVersion++
	b.actions.CloseIdle(id)
}

// Attach ends that. The return is a cold start, whatever the list knows of it. A trial brings it back soon,
// one in sum over the balancers: guards against a first call that is long in coming, and against hundreds.
func (b *Balancer) Attach(now Time, id string) {
	if m := b.backends[id]; m != nil && b.detached[id] {
		m.attachedAt, m.lastSent, m.failureShare, m.relativeLatency, m.pausedUntil = now, now, 0, 1, 0
		m.spacingFactor = b.rng.Float64() * oneIf(b.rng.Float64()*float64(b.settings.BalancerCount) >= 1)
		m.ejections, m.probeAt = int(oneIf(m.spacingFactor == 0)), now+b.jitter(b.baseEjectionTime)-b.baseEjectionTime/2
	}
	delete(b.detached, id)
	b.summaryVersion++
}

// IsKnown tells whether a backend is listed or out by hand.
func (b *Balancer) IsKnown(id string) bool { return b.backends[id] != nil || b.detached[id] }

// OutOfRotation is how many listed backends get no calls now, by hand or by choice.
func (b *Balancer) OutOfRotation(now Time) int {
	outOfRotation := func(m *backend) bool { return b.detached[m.ID] || m.ejections > 0 || now < m.pausedUntil }
	return len(filter(b.listed, outOfRotation))
}

// SetListFreshness takes for how long the list may be used.
func (b *Balancer) SetListFreshness(f ListFreshness) { b.listFreshness = f }
