// Slow start: what cold backends get.

package logic

const coldCaution = 1.5 // divides a cold backend's part: it may be a slow one, too

// tooSoon spaces the calls to a cold backend at its part of a warm one's rate, the first by a random part of
// it: guards against hundreds that learn of it together, and, as none gets over the cold part of what it
// carries warm, in its group or, for other zones' calls, in all, against zones that return cold.
func (b *Balancer) tooSoon(now Time, m *backend) bool {
	warmth := m.warmth(now, &b.set)
	if warmth == 1 {
		return false
	}
	among := &m.group.all
	if m.Zone != b.set.Zone {
		among = &b.all
	}
	t, part := b.tally(now, among), max(m.part, 1e-9)*warmth // out of reach: as good as never
	return float64(now-m.sent) < m.spacing*b.gap*max(m.Capacity, t.parts, coldCaution*t.reach)/part
}

// warmth is the share of its capacity that a backend surely has.
func (m *backend) warmth(now Time, set *Settings) float64 {
	started := max(m.StartedAt, m.back)
	if started == 0 || set.WarmUpTime == 0 || now-started >= set.WarmUpTime {
		return 1
	}
	return max(0.01, set.InitialWarmUpFraction+(1-set.InitialWarmUpFraction)*max(0, float64(now-started)/float64(set.WarmUpTime)))
}
