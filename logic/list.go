// The list of backends, backends detached by operators, and the staleness bound of the list.

package logic

import (
	"cmp"
	"maps"
	"slices"
)

// inService reports whether m is up according to the list and not detached.
func (b *Balancer) inService(m *backend) bool { return m.State == Up && !b.detached[m.ID] }

// confirmedInService reports whether m is in service according to a list that may be used. A stale list
// is used only for backends proven to have been in service throughout.
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

// requestListIfNeeded requests a list if a backend was skipped for want of a newer one, or soon would be.
func (b *Balancer) requestListIfNeeded() {
	if b.listNeeded && b.listRequester != nil {
		b.listRequester.RequestList()
	}
	b.listNeeded = false
}

// UpdateList takes a full list of backends, or only the changed entries.
func (b *Balancer) UpdateList(now Time, full bool, entries []Backend) {
	for _, m := range b.listed {
		m.removed = full
	}
	for _, entry := range entries {
		b.updateBackend(now, entry)
	}
	b.rebuildGroups()
	b.setInitialLimit(now)
}

// setInitialLimit sets the concurrency limit once a backend is listed: from those in use or, if there is
// none, from all. One of them may come into use without another list.
func (b *Balancer) setInitialLimit(now Time) {
	t := b.totals(now, &b.listedSummary)
	backendCount, capacity := t.backendCount, t.capacity
	if capacity == 0 {
		backendCount, capacity = float64(len(b.listed)), b.capacity
	}
	if b.baseLimit == 0 && capacity > 0 {
		b.limitMultiplier, b.baseLimit =
			1, initialLimitPerBackend*backendCount/capacity/float64(max(b.settings.BalancerCount, 1))
	}
}

func (b *Balancer) updateBackend(now Time, entry Backend) {
	entry.Capacity = cmp.Or(max(entry.Capacity, 0), 1)
	m := b.backends[entry.ID]
	if m == nil {
		m = b.newBackend(now, entry.ID)
		b.listed = append(b.listed, m)
		if since, ok := b.attachedAt[entry.ID]; ok && now-since < b.settings.WarmUpTime {
			b.beginAttached(now, m, since)
		}
	} else if max(entry.StartedAt, m.attachedAt) != max(m.StartedAt, m.attachedAt) {
		m = b.replaceBackend(now, m)
	}
	m.Backend, m.removed = entry, entry.State == Removed
}

// newBackend returns a backend of which nothing is known, and enters it under its ID.
func (b *Balancer) newBackend(now Time, id string) *backend {
	m := &backend{lastSent: now, spacingFactor: b.rng.Float64(), relativeLatency: 1}
	b.backends[id] = m
	return m
}

// replaceBackend puts a new backend in the place of one that was restarted. Nothing learned about the old
// one holds, and the outcomes of its outstanding attempts say nothing about the new one.
func (b *Balancer) replaceBackend(now Time, old *backend) *backend {
	m := b.newBackend(now, old.ID)
	m.attachedAt, m.virtualDeadline = old.attachedAt, old.virtualDeadline
	old.removed = true
	b.listed[slices.Index(b.listed, old)] = m
	return m
}

// Detach takes a backend out of service until Attach, whatever the list says meanwhile.
func (b *Balancer) Detach(id string) {
	b.detached[id] = true
	b.summaryVersion++
	b.actions.CloseIdle(id)
}

// Attach ends a detachment. The backend is in slow start from since on, which is now or, if another
// balancer ended the detachment, earlier, whatever start time the list has, and whether or not it is
// listed yet.
func (b *Balancer) Attach(now Time, id string, since Time) {
	if !b.detached[id] {
		return
	}
	maps.DeleteFunc(b.attachedAt, func(_ string, at Time) bool { return now-at >= b.settings.WarmUpTime })
	b.attachedAt[id] = since
	if m := b.backends[id]; m != nil {
		b.beginAttached(now, m, since)
	}
	delete(b.detached, id)
	b.summaryVersion++
}

// beginAttached begins the use of a backend after a detachment. A probe soon brings it back, sent by one
// balancer on average: without it the first call could take long to come, and hundreds of balancers must
// not all send one.
func (b *Balancer) beginAttached(now Time, m *backend, since Time) {
	m.attachedAt, m.lastSent, m.failureShare, m.relativeLatency, m.pausedUntil = since, now, 0, 1, 0
	m.spacingFactor = b.rng.Float64() * oneIf(b.rng.Float64()*float64(b.settings.BalancerCount) >= 1)
	m.ejections, m.probeAt =
		int(oneIf(m.spacingFactor == 0)), now+b.jitter(b.baseEjectionTime)-b.baseEjectionTime/2
}

// IsKnown reports whether a backend is listed or detached.
func (b *Balancer) IsKnown(id string) bool { return b.backends[id] != nil || b.detached[id] }

// OutOfRotation is the number of listed backends that get no calls now: detached, ejected or paused after
// a rejection.
func (b *Balancer) OutOfRotation(now Time) int {
	outOfRotation := func(m *backend) bool {
		return b.detached[m.ID] || m.ejections > 0 || now < m.pausedUntil
	}
	return len(filter(b.listed, outOfRotation))
}

// SetListFreshness sets how long the list may be used.
func (b *Balancer) SetListFreshness(f ListFreshness) { b.listFreshness = f }
