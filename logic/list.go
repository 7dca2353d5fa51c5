// The list of backends, what operators say of them, and for how long the list may be used.

package logic

import "cmp"

// serving tells whether m is in service by the list and by hand.
func (b *Balancer) serving(m *backend) bool { return m.State == Up && !b.banned[m.ID] }

// sure is serving by a list that may be used, past its end for what has been there all the time alone.
func (b *Balancer) sure(now Time, m *backend) bool {
	f := &b.fresh
	switch {
	case !b.serving(m):
		return false
	case f.FreshUntil == 0:
		return true
	case now >= f.FreshUntil:
		return now < f.StaleUntil && m.presence.here(f, now)
	case f.ChangesMayLag && m.presence.doubtful(f, now):
		b.doubts = true
		return false
	}
	return true
}

// askList asks for a list where a backend has been passed over for want of one, or would be before long.
func (b *Balancer) askList() {
	if b.doubts && b.lister != nil {
		b.lister.RequestList()
	}
	b.doubts = false
}

// UpdateList takes news of the backends: the full list, or changed lines only.
func (b *Balancer) UpdateList(now Time, full bool, lines []Backend) {
	for _, m := range b.listed {
		m.gone = full
	}
	for _, l := range lines {
		b.update(now, l)
	}
	b.regroup()
	if t := b.tally(now, &b.all); b.base == 0 && t.size > 0 {
		b.open, b.base = 1, limitPerBackend*t.count/t.size/float64(max(b.set.BalancerCount, 1))
	}
}

func (b *Balancer) update(now Time, l Backend) {
	l.Capacity = cmp.Or(max(l.Capacity, 0), 1)
	m := b.backends[l.ID]
	if m == nil {
		m = &backend{sent: now, spacing: b.rng.Float64(), slowness: 1}
		b.backends[l.ID] = m
		b.listed = append(b.listed, m)
	} else if max(l.StartedAt, m.back) != max(m.StartedAt, m.back) { // restarted: nothing learned holds
		m.failures, m.ejected, m.slowness, m.sent, m.spacing = 0, 0, 1, now, b.rng.Float64()
	}
	m.Backend, m.gone = l, l.State == Removed
}

// Detach takes a backend out by hand, until Attach and whatever the list says meanwhile.
func (b *Balancer) Detach(id string) {
	b.banned[id] = true
	b.version++
	b.act.CloseIdle(id)
}

// Attach ends that. The return is a cold start, whatever the list knows of it. A trial brings it back soon,
// one in sum over the balancers: guards against a first call that is long in coming, and against hundreds.
func (b *Balancer) Attach(now Time, id string) {
	if m := b.backends[id]; m != nil && b.banned[id] {
		m.back, m.sent, m.failures, m.slowness, m.paused = now, now, 0, 1, 0
		m.spacing = b.rng.Float64() * one(b.rng.Float64()*float64(b.set.BalancerCount) >= 1)
		m.ejected, m.trialAt = int(one(m.spacing == 0)), now+b.jitter(b.patience)-b.patience/2
	}
	delete(b.banned, id)
	b.version++
}

// IsKnown tells whether a backend is listed or out by hand.
func (b *Balancer) IsKnown(id string) bool { return b.backends[id] != nil || b.banned[id] }

// OutOfRotation is how many listed backends get no calls now, by hand or by choice.
func (b *Balancer) OutOfRotation(now Time) int {
	out := func(m *backend) bool { return b.banned[m.ID] || m.ejected > 0 || now < m.paused }
	return len(filter(b.listed, out))
}

// SetListFreshness takes for how long the list may be used.
func (b *Balancer) SetListFreshness(f ListFreshness) { b.fresh = f }
