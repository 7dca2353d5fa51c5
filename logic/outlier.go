// Outlier ejection, and the trial calls that end it.

package logic

import "time"

const (
	ejectShare    = 0.3  // the failure share from which a backend is ejected
	ejectFactor   = 2.0  // on top of this multiple of all backends': deaf to what all share
	failureWeight = 0.2  // of one outcome
	failingWeight = 0.02 // of one outcome in shares of all: chance apart from trouble
	ejectMost     = 0.5  // never eject more than this share of the backends
	ejectPatience = 0.5  // the first ejection, as a share of the longest deadline
	ejectGrowth   = 3    // doublings by failed trials

	fullPause = 0.5 // mean latencies of the class that a full backend is left alone
)

// dueTrial finds an ejected backend whose trial call is due. It may fail, so it is made with a request that
// can be tried again, and with another when overdue: else, where allowances are long, none would be.
func (b *Balancer) dueTrial(now Time, q *request) *backend {
	c, due := &b.classes[q.Class], now
	if c.Idempotency == NonIdempotent || 2*c.allowance > float64(q.available(now)) {
		due -= b.patience
	}
	b.tally(now, &b.all) // so that the ejected ones are those of now
	for _, m := range b.all.ejected {
		first := len(q.attempts) == 0 && m.ejected > 0 && !m.trialOut
		if first && due >= m.trialAt && now >= m.paused && b.allowed(now, q, m) {
			return m
		}
	}
	return nil
}

// judge keeps failure shares and ejects outliers, a departure: one that fails fast would draw the most.
func (b *Balancer) judge(now Time, a *attempt, c *class, r Result) {
	m, failed := a.to, r != OK
	m.trialOut = m.trialOut && !a.trial
	if r == Rejected || r == ConnectPending && a.trial {
		m.paused = now + b.jitter(time.Duration(fullPause*c.cost)) // else it looks idle; it may drain
	}
	if r == Rejected || r == Cancelled || r == NotSent || r == ConnectPending {
		return
	}
	m.failures += failureWeight * (one(failed) - m.failures)
	b.failing += failingWeight * one(r != ConnectFailed) * (one(failed) - b.failing) // no chance makes that
	switch {
	case a.trial && !failed:
		b.observe(m, InUse)
		m.ejected, m.failures = 0, 0
		b.version++
	case a.trial && m.ejected > 0, !a.trial && failed && m.ejected == 0 && b.outlier(now, m):
		b.eject(now, m)
	}
}

// ConnectAttemptFailed takes that a connection to a backend which was late has not come up at all. A trial of an
// ejected one has failed with it.
func (b *Balancer) ConnectAttemptFailed(now Time, id string) {
	m := b.backends[id]
	if m != nil {
		m.presence.missed(now, ConnectFailed)
	}
	if m != nil && m.ejected > 0 {
		b.eject(now, m)
	} else if m != nil {
		b.judge(now, &attempt{to: m}, nil, ConnectFailed)
	}
}

// observe tells of a backend's standing, if it is another than it was.
func (b *Balancer) observe(m *backend, s BackendStatus) {
	if b.observer != nil && (m.ejected > 0) != (s == Ejected) {
		b.observer.BackendStatusChanged(m.ID, s, m.failures)
	}
}

func (b *Balancer) eject(now Time, m *backend) {
	b.observe(m, Ejected)
	m.trialAt, m.ejected = now+b.jitter(b.patience<<min(m.ejected, ejectGrowth)), m.ejected+1
	b.version++
}

// outlier tells whether m fails more than chance makes of what all share: a few in a hundred may anywhere.
func (b *Balancer) outlier(now Time, m *backend) bool {
	peers := b.tally(now, &b.all).count - 1
	return peers >= (1-ejectMost)*float64(len(b.listed)) && m.failures > ejectShare+ejectFactor*b.failing
}
