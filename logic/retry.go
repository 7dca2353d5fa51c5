// Attempts: their timeouts, retries, and what is learned from their outcomes.

package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	reserveShare = 0.02 // of the time budget, for returning the answer
	meanWeight   = 0.05 // of one sample in a running mean: responsiveness against jitter

	// Latency percentile to track: retrying calls close to done against waiting on dead backends.
	attemptTimeoutPercentile   = 0.995
	attemptTimeoutStep         = 0.2  // speed of tracking against jitter
	minAttemptTimeoutShare     = 0.02 // of the class's deadline; below it latencies are noise
	initialAttemptTimeoutShare = 0.35 // of the first time budget seen: two attempts fit
	maxAttemptTimeoutShare     = 0.7  // of the usual time budget; above it too few attempts fit
	// Factor on the weight of budgets above the usual one: most requests must have that much.
	largerBudgetFactor = 0.1
	// Of the attempt timeout: a later error means that a lower tier ran out of time.
	lateErrorShare = 0.5

	backoffShare  = 0.1 // of the attempt timeout: time to recover against time for attempts
	backoffGrowth = 2.0 // growth for each further attempt

	retryBudgetShare = 0.1 // retries of possibly executed attempts for each first attempt
	// Most retry tokens that may be saved up. What first attempts earn in the base ejection time is a
	// further bound.
	retryBudgetBurst = 10

	// Multiple of the mean latency that a timeout counts as where it may be a lost answer.
	timeoutLatencyFactor = 2.0
	// Share of timeouts on formerly idle connections from which these count as stale.
	idleTimeoutThreshold = 0.3
	idleTimeoutWeight    = 0.2  // of one such outcome: high, since a balancer may see few of them
	idleTimeoutDecay     = 0.02 // decay for each other answer
	idleConnectionShare  = 0.4  // of the base ejection time: a connection unused for longer is idle
	// Share of lost connections among outcomes above which idle connections count as stale; a single loss
	// does not exceed it.
	connectionLossThreshold = 0.02
)

// timeLeft is the time left for backoff and attempts.
func (q *request) timeLeft(now Time) time.Duration {
	return max(0, q.deadline-now-time.Duration(reserveShare*float64(q.Budget)))
}

// sendOrAnswer sends the next attempt if its full timeout fits the time left, and otherwise answers the
// request.
func (b *Balancer) sendOrAnswer(now Time, q *request) {
	c := &b.classes[q.Class]
	required := c.attemptTimeout
	if len(q.attempts) == 0 && !b.settings.UnevenTraffic &&
		(b.settings.Tier > 0 || c.Idempotency == Idempotent) {
		// If the whole attempt timeout were required, clients with short timeouts would get nothing.
		required = max(1, min(required, c.meanLatency))
	}
	switch admitted := len(q.attempts) > 0 || b.admit(now, q); {
	case !admitted:
		b.refuseOrFail(q, OverLimit)
		return
	case len(q.attempts) >= b.settings.MaxAttempts:
		b.refuseOrFail(q, AttemptsExhausted)
		return
	case required > float64(q.timeLeft(now)):
		b.refuseOrFail(q, NotEnoughTime)
		return
	}
	if len(q.attempts) == 0 { // retries are not counted
		b.meanAdmitInterval, b.lastAdmitted =
			b.meanAdmitInterval+meanWeight*(float64(now-b.lastAdmitted)-b.meanAdmitInterval), now
	}
	if target := b.pickBackend(now, q); target != nil {
		b.send(now, q, target)
	} else {
		b.refuseOrFail(q, b.refusalCause(now, q))
	}
	b.requestListIfNeeded()
}

// send starts an attempt. Its timeout is attemptTimeout, or all the time left if no retry could follow.
func (b *Balancer) send(now Time, q *request, target *backend) {
	c, timeout := &b.classes[q.Class], q.timeLeft(now)
	attemptTimeout := time.Duration(c.attemptTimeout)
	if c.Idempotency != NonIdempotent && len(q.attempts)+1 < b.settings.MaxAttempts &&
		2*attemptTimeout <= timeout {
		timeout = attemptTimeout
	}
	target.lastSent, target.spacingFactor = now, 1
	target.probeInFlight = target.probeInFlight || target.ejections > 0
	idle := b.settings.UnevenTraffic && target.inFlight == 0 && target.lastAnswered > 0 &&
		float64(now-target.lastAnswered) > idleConnectionShare*float64(b.baseEjectionTime)
	closeIdle := b.connectionLossShare > connectionLossThreshold ||
		idle && b.idleTimeoutShare > idleTimeoutThreshold
	if closeIdle {
		b.actions.CloseIdle(target.ID)
	}
	a := attempt{backend: target, zone: target.Zone, cell: target.Cell, sentAt: now,
		probe: target.ejections > 0, onIdleConnection: idle && !closeIdle}
	a.cutShort = timeout < attemptTimeout
	q.attempts = append(q.attempts, a)
	q.outstanding++
	if !q.Streamed { // prevents slow uploads from using up the limit
		b.RequestWritten(now, q.ID)
	}
	b.actions.Send(q.ID, target.ID, timeout)
}

// scheduleRetry starts the backoff before the next attempt if both fit the time left, and otherwise
// answers.
func (b *Balancer) scheduleRetry(now Time, q *request, last *attempt) {
	attemptTimeout := b.classes[q.Class].attemptTimeout
	wait := attemptTimeout * backoffShare * math.Pow(backoffGrowth, float64(len(q.attempts)-1))
	wait = float64(b.jitter(time.Duration(wait)))
	// The retry budget: when all backends slow down together, retries of possibly executed calls would
	// use up the capacity that remains.
	tokens := oneIf(!last.provenNotRun)
	switch {
	case len(q.attempts) >= b.settings.MaxAttempts:
		b.refuseOrFail(q, AttemptsExhausted)
		return
	case !b.retryable(now, q):
		b.refuseOrFail(q, MayHaveRun)
		return
	case wait+attemptTimeout > float64(q.timeLeft(now)):
		b.refuseOrFail(q, NotEnoughTime)
		return
	case b.retryTokens < tokens:
		b.refuseOrFail(q, RetryBudgetExhausted)
		return
	}
	b.retryTokens -= tokens
	b.lastTimerToken++
	q.timerToken, b.backoffTimers[b.lastTimerToken] = b.lastTimerToken, q
	b.actions.StartTimer(q.timerToken, time.Duration(wait))
}

// firstPossiblyRun is the first attempt that may have been executed, or nil.
func (q *request) firstPossiblyRun() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.provenNotRun }); i >= 0 {
		return &q.attempts[i]
	}
	return nil
}

// mayRetryOn reports whether m may get an attempt of q without the risk of executing q twice. No other
// code decides this.
func (b *Balancer) mayRetryOn(now Time, q *request, m *backend) bool {
	c, ran := &b.classes[q.Class], q.firstPossiblyRun()
	inDedupScope := c.DedupScope == ScopeAll || ran == nil ||
		c.DedupScope == ScopeZone && m.Zone == ran.zone ||
		c.DedupScope == ScopeCell && m.Cell == ran.cell
	return b.retryable(now, q) && (c.Idempotency != Deduplicated || inDedupScope)
}

// retryable reports whether any backend may get another attempt of q.
func (b *Balancer) retryable(now Time, q *request) bool {
	const dedupWindowShare = 0.9 // the send must reach the backend within the deduplication window
	c, ran := &b.classes[q.Class], q.firstPossiblyRun()
	return !q.notReplayable && (ran == nil || c.Idempotency == Idempotent ||
		c.Idempotency == Deduplicated && float64(now-ran.sentAt) < dedupWindowShare*float64(c.DedupWindow))
}

// recordOutcome updates latencies, the backend's health and the concurrency limit from an outcome.
func (b *Balancer) recordOutcome(now Time, q *request, a *attempt, o Outcome) {
	c, latency := &b.classes[q.Class], float64(o.Latency)
	// Something on the path may drop idle connections: while many connections are lost, calls use new
	// ones.
	b.connectionLossShare += overallFailureWeight *
		(oneIf(o.Result == ConnectionLost) - b.connectionLossShare)
	// Dropped connections may also show as missing answers. Only idle connections are closed, and the
	// share decays.
	if a.onIdleConnection && (o.Result == OK || o.Result == TimedOut) {
		b.idleTimeoutShare += idleTimeoutWeight * (oneIf(o.Result == TimedOut) - b.idleTimeoutShare)
	} else if o.Result == OK {
		b.idleTimeoutShare -= idleTimeoutDecay * b.idleTimeoutShare
	}
	switch o.Result {
	case OK:
		a.backend.lastAnswered = now
		if a.backend.liveness.recordServed(&b.listFreshness, now, a.sentAt) && b.listFreshness.ChangesMayLag {
			b.listNeeded = true // the list should arrive before this backend would be skipped for want of it
		}
		c.observeLatency(latency)
		// Early answers weigh more: meanLatency starts from the attempt timeout, not a latency.
		c.answerCount++
		c.meanLatency += max(meanWeight, 1/c.answerCount) * (latency - c.meanLatency)
		c.unloadedLatency = min(c.meanLatency,
			(1-unloadedLatencyRise)*cmp.Or(c.unloadedLatency, c.meanLatency)+
				unloadedLatencyRise*c.meanLatency)
	case ConnectFailed, ConnectionLost, Rejected:
		a.backend.liveness.recordFailure(now, o.Result)
	case TimedOut, Error: // late errors count: with quick answers alone the attempt timeout would only shrink
		if o.Result == TimedOut || latency > lateErrorShare*c.attemptTimeout {
			c.observeLatency(c.attemptTimeout)
			if o.Result == Error { // the timeout of a lower tier: it says nothing of this call's latency
				b.adjustLimit(now, c, 1)
			}
		}
	}
	if o.Result == OK || o.Result == TimedOut {
		if o.Result == TimedOut && b.settings.UnevenTraffic {
			// Healthy backends may lose some answers. Without the cap all calls would go to the few that
			// lose none.
			latency = min(latency, timeoutLatencyFactor*c.meanLatency)
		}
		b.meanLatency += meanWeight * (latency - b.meanLatency)
		weight := failureWeight
		// An overloaded backend that is rarely called must not be forgotten.
		if o.Result == TimedOut && !b.settings.UnevenTraffic {
			weight = max(weight, 1-math.Exp(-float64(now-a.backend.lastLatencySample)/
				float64(b.baseEjectionTime)))
		}
		a.backend.relativeLatency += weight * (latency/c.meanLatency - a.backend.relativeLatency)
		a.backend.lastLatencySample = now
		b.adjustLimit(now, c, latency/float64(max(c.TargetLatency, 1)))
	}
	b.updateEjection(now, a, c, o.Result)
}

// observeBudget records a time budget. The first one sets the attempt timeout: in lower tiers budgets are
// well under the class's deadline.
func (c *class) observeBudget(budget time.Duration, lowerTier bool) {
	if c.usualBudget == 0 {
		c.usualBudget, c.attemptTimeout = float64(budget), initialAttemptTimeoutShare*float64(budget)
		c.meanLatency, c.meanWithTimeouts = c.attemptTimeout, c.attemptTimeout
	}
	weight := meanWeight
	// A few large budgets must not raise the ceiling past all others.
	if lowerTier && float64(budget) > c.usualBudget {
		weight *= largerBudgetFactor
	}
	c.usualBudget += weight * (float64(budget) - c.usualBudget)
	c.clampAttemptTimeout()
}

// observeLatency moves the attempt timeout towards its percentile: a sample above it weighs as much as
// all the samples below that the percentile implies.
func (c *class) observeLatency(latency float64) {
	c.meanWithTimeouts += meanWeight * (latency - c.meanWithTimeouts)
	c.attemptTimeout *= math.Exp(attemptTimeoutStep *
		(oneIf(latency >= c.attemptTimeout) - (1 - attemptTimeoutPercentile)))
	c.clampAttemptTimeout()
}

// clampAttemptTimeout bounds the attempt timeout by the usual time budget, and by the tracked percentile
// of an exponential distribution with the observed mean, since with little traffic the attempt timeout
// alone comes down slowly.
func (c *class) clampAttemptTimeout() {
	ceiling := min(maxAttemptTimeoutShare*c.usualBudget,
		max(initialAttemptTimeoutShare*c.usualBudget,
			-math.Log(1-attemptTimeoutPercentile)*c.meanWithTimeouts))
	c.attemptTimeout = max(min(c.attemptTimeout, ceiling), minAttemptTimeoutShare*float64(c.Deadline))
}
