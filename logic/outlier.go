// Outlier ejection, and the trial calls that end it.

package logic

import "time"

const (
	ejectionThreshold    = 0.3  // the failure share from which a backend is ejected
	ejectionFactor       = 2.0  // on top of this multiple of all backends': deaf to what all share
	failureWeight        = 0.2  // of one outcome
	overallFailureWeight = 0.02 // of one outcome in shares of all: chance apart from trouble
	maxEjectedShare      = 0.5  // never eject more than this share of the backends
	baseEjectionShare    = 0.5  // the first ejection, as a share of the longest deadline
	maxEjectionDoublings = 3    // doublings by failed trials

	rejectionPause = 0.5 // mean latencies of the class that a full backend is left alone
)

// dueTrial finds an ejected backend whose trial call is due. It may fail, so it is made with a request that
// can be tried again, and with another when overdue: else, where allowances are long, none would be.
func (b *Balancer) dueProbe(now Time, q *request) *backend {
	c, due := &b.classes[q.Class], now
	if c.Idempotency == NonIdempotent || 2*c.attemptTimeout > float64(q.timeLeft(now)) {
		due -= b.baseEjectionTime
	}
	b.totals(now, &b.listedSummary) // so that the ejected ones are those of now
	for _, m := range b.listedSummary.ejected {
		first := len(q.attempts) == 0 && m.ejections > 0 && !m.probeInFlight
		if first && due >= m.probeAt && now >= m.pausedUntil && b.allowed(now, q, m) {
			return m
		}
	}
	return nil
}

// judge keeps failure shares and ejects outliers, a departure: one that fails fast would draw the most.
func (b *Balancer) updateEjection(now Time, a *attempt, c *class, r Result) {
	m, failed := a.backend, r != OK
	m.probeInFlight = m.probeInFlight && !a.probe
	if r == Rejected || r == ConnectPending && a.probe {
		m.pausedUntil = now + b.jitter(time.Duration(rejectionPause*c.meanLatency)) // else it looks idle; it may drain
	}
	if r == Rejected || r == Cancelled || r == NotSent || r == ConnectPending {
		return
	}
	m.failureShare += failureWeight * (oneIf(failed) - m.failureShare)
	b.failureShare += overallFailureWeight * oneIf(r != ConnectFailed) * (oneIf(failed) - b.failureShare) // no chance makes that
	switch {
	case a.probe && !failed:
		b.reportStatus(m, InUse)
		m.ejections, m.failureShare = 0, 0
		b.summaryVersion++
	case a.probe && m.ejections > 0, !a.probe && failed && m.ejections == 0 && b.isOutlier(now, m):
		b.eject(now, m)
	}
}

// ConnectAttemptFailed takes that a connection to a backend which was late has not come up at all. A trial of an
// ejected one has failed with it.
func (b *Balancer) ConnectAttemptFailed(now Time, id string) {
	m := b.backends[id]
	if m != nil {
		m.liveness.recordFailure(now, ConnectFailed)
	}
	if m != nil && m.ejections > 0 {
		b.eject(now, m)
	} else if m != nil {
		b.updateEjection(now, &attempt{backend: m}, nil, ConnectFailed)
	}
}

// observe tells of a backend's standing, if it is another than it was.
func (b *Balancer) reportStatus(m *backend, s BackendStatus) {
	if b.observer != nil && (m.ejections > 0) != (s == Ejected) {
		b.observer.BackendStatusChanged(m.ID, s, m.failureShare)
	}
}

func (b *Balancer) eject(now Time, m *backend) {
	b.reportStatus(m, Ejected)
	m.probeAt, m.ejections = now+b.jitter(b.baseEjectionTime<<min(m.ejections, maxEjectionDoublings)), m.ejections+1
	b.summaryVersion++
}

// outlier tells whether m fails more than chance makes of what all share: a few in a hundred may anywhere.
func (b *Balancer) isOutlier(now Time, m *backend) bool {
	peers := b.totals(now, &b.listedSummary).backendCount - 1
	return peers >= (1-maxEjectedShare)*float64(len(b.listed)) && m.failureShare > ejectionThreshold+ejectionFactor*b.failureShare
}
