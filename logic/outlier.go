// Outlier ejection, and the half-open probes that end it.

package logic

import "time"

const (
	ejectionThreshold = 0.3 // failure share from which a backend is ejected
	// Multiple of the overall failure share that is added to it: ignores failures common to all backends.
	ejectionFactor       = 2.0
	failureWeight        = 0.2  // of one outcome in a backend's failure share
	overallFailureWeight = 0.02 // of one outcome in overall shares: low, to tell chance from trouble
	maxEjectedShare      = 0.5  // maximum share of backends ejected
	baseEjectionShare    = 0.5  // base ejection time, as a share of the longest deadline
	maxEjectionDoublings = 3    // maximum number of doublings by failed probes

	rejectionPause = 0.5 // mean latencies of the class for which a backend that rejected a call is not used
)

// dueProbe finds an ejected backend whose probe is due. A probe may fail, so it uses a request that can
// be retried; once overdue, any request, since with long attempt timeouts no retryable one may come.
func (b *Balancer) dueProbe(now Time, q *request) *backend {
	c, due := &b.classes[q.Class], now
	if c.Idempotency == NonIdempotent || 2*c.attemptTimeout > float64(q.timeLeft(now)) {
		due -= b.baseEjectionTime
	}
	b.totals(now, &b.listedSummary) // updates the list of ejected backends
	for _, m := range b.listedSummary.ejected {
		first := len(q.attempts) == 0 && m.ejections > 0 && !m.probeInFlight
		if first && due >= m.probeAt && now >= m.pausedUntil && b.allowed(now, q, m) {
			return m
		}
	}
	return nil
}

// updateEjection updates failure shares and ejects outliers: a backend that fails fast would otherwise
// attract the most calls.
func (b *Balancer) updateEjection(now Time, a *attempt, c *class, r Result) {
	m, failed := a.backend, r != OK
	m.probeInFlight = m.probeInFlight && !a.probe
	if r == Rejected || r == ConnectPending && a.probe {
		// Without the pause it would look idle and attract calls; it may be draining.
		m.pausedUntil = now + b.jitter(time.Duration(rejectionPause*c.meanLatency))
	}
	if r == Rejected || r == Cancelled || r == NotSent || r == ConnectPending {
		return
	}
	m.failureShare += failureWeight * (oneIf(failed) - m.failureShare)
	// Failed connections don't count: they are not chance failures.
	b.failureShare += overallFailureWeight * oneIf(r != ConnectFailed) * (oneIf(failed) - b.failureShare)
	switch {
	case a.probe && !failed:
		b.reportStatus(m, InUse)
		m.ejections, m.failureShare = 0, 0
		b.summaryVersion++
	case a.probe && m.ejections > 0, !a.probe && failed && m.ejections == 0 && b.isOutlier(now, m):
		b.eject(now, m)
	}
}

// ConnectAttemptFailed records that a connection reported as ConnectPending was not established. If the
// backend is ejected, its probe has failed.
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

// reportStatus notifies the observer if the backend's status has changed.
func (b *Balancer) reportStatus(m *backend, s BackendStatus) {
	if b.observer != nil && (m.ejections > 0) != (s == Ejected) {
		b.observer.BackendStatusChanged(m.ID, s, m.failureShare)
	}
}

func (b *Balancer) eject(now Time, m *backend) {
	b.reportStatus(m, Ejected)
	m.probeAt, m.ejections =
		now+b.jitter(b.baseEjectionTime<<min(m.ejections, maxEjectionDoublings)), m.ejections+1
	b.summaryVersion++
}

// isOutlier reports whether m fails more often than chance and the failures common to all explain: a few
// failures in a hundred calls occur on any backend.
func (b *Balancer) isOutlier(now Time, m *backend) bool {
	peers := b.totals(now, &b.listedSummary).backendCount - 1
	return peers >= (1-maxEjectedShare)*float64(len(b.listed)) &&
		m.failureShare > ejectionThreshold+ejectionFactor*b.failureShare
}
