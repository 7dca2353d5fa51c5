// Slow start: the share of calls that recently started backends get.

package logic

const slowStartCaution = 1.5 // divides the share of a backend in slow start: it may turn out to be slow, too

// slowStartTooSoon spaces the calls to a backend in slow start according to its share of a warmed-up
// backend's rate. The first call waits for a random part of the spacing, so that hundreds of balancers
// that learn of the backend together do not call it at once. The rate is measured against the backend's
// group, or against all backends for calls from other zones: no backend exceeds its warm-up fraction of
// the normal load even where a whole zone returns in slow start.
func (b *Balancer) slowStartTooSoon(now Time, m *backend) bool {
	fraction := m.warmUpFraction(now, &b.settings)
	if fraction == 1 {
		return false
	}
	among := &m.zoneGroup.memberSummary
	if m.Zone != b.settings.Zone {
		among = &b.listedSummary
	}
	// Backends outside the subset get a capacity close to 0: practically never called.
	t, capacity := b.totals(now, among), max(m.subsetCapacity, 1e-9)*fraction
	return float64(now-m.lastSent) < m.spacingFactor*b.meanAdmitInterval*
		max(m.Capacity, t.subsetCapacity, slowStartCaution*t.effectiveSubsetCapacity)/capacity
}

// warmUpFraction is the share of its capacity that a backend certainly has.
func (m *backend) warmUpFraction(now Time, settings *Settings) float64 {
	startedAt := max(m.StartedAt, m.attachedAt)
	if startedAt == 0 || settings.WarmUpTime == 0 || now-startedAt >= settings.WarmUpTime {
		return 1
	}
	return max(0.01, settings.InitialWarmUpFraction+(1-settings.InitialWarmUpFraction)*
		max(0, float64(now-startedAt)/float64(settings.WarmUpTime)))
}
