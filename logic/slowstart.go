// Slow start: what cold backends get.

package logic

const slowStartCaution = 1.5 // divides a cold backend's part: it may be a slow one, too

// tooSoon spaces the calls to a cold backend at its part of a warm one's rate, the first by a random part of
// it: guards against hundreds that learn of it together, and, as none gets over the cold part of what it
// carries warm, in its group or, for other zones' calls, in all, against zones that return cold.
func (b *Balancer) slowStartTooSoon(now Time, m *backend) bool {
	fraction := m.warmUpFraction(now, &b.settings)
	if fraction == 1 {
		return false
	}
	among := &m.zoneGroup.memberSummary
	if m.Zone != b.settings.Zone {
		among = &b.listedSummary
	}
	t, capacity := b.totals(now, among), max(m.subsetCapacity, 1e-9)*fraction // out of reach: as good as never
	return float64(now-m.lastSent) < m.spacingFactor*b.meanAdmitInterval*max(m.Capacity, t.subsetCapacity, slowStartCaution*t.effectiveSubsetCapacity)/capacity
}

// warmth is the share of its capacity that a backend surely has.
func (m *backend) warmUpFraction(now Time, settings *Settings) float64 {
	startedAt := max(m.StartedAt, m.attachedAt)
	if startedAt == 0 || settings.WarmUpTime == 0 || now-startedAt >= settings.WarmUpTime {
		return 1
	}
	return max(0.01, settings.InitialWarmUpFraction+(1-settings.InitialWarmUpFraction)*max(0, float64(now-startedAt)/float64(settings.WarmUpTime)))
}
