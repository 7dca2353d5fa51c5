// Attempts: the time that each may take, whether another follows, and what their outcomes teach.

package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	reserveShare = 0.02 // of the budget, for the answer's way back
	meanWeight   = 0.05 // of one sample in a running mean: follow against jitter

	attemptTimeoutPercentile   = 0.995 // the percentile tracked: work close to done repeated against the dead waited on
	attemptTimeoutStep         = 0.2   // how fast it follows against how much it jitters
	minAttemptTimeoutShare     = 0.02  // share of the class's deadline; below it lies noise
	initialAttemptTimeoutShare = 0.35  // share of the first budget seen: two attempts fit
	maxAttemptTimeoutShare     = 0.7   // share of the usual budget; above it too little fits
	largerBudgetFactor         = 0.1   // how much less a budget above the usual one counts: most must hold it
	lateErrorShare             = 0.5   // of the allowance: a later error is that of a tier below that ran out of time

	backoffShare  = 0.1 // of the allowance: time to recover against time for attempts
	backoffGrowth = 2.0 // of each later one

	retryBudgetShare = 0.1 // of first attempts may be repeated after they may have run
	retryBudgetBurst = 10  // as many repeats may be saved up, no more than the first ejection's time earns

	timeoutLatencyFactor    = 2.0  // mean latencies that a time-out counts for, where it may be a lost answer
	idleTimeoutThreshold    = 0.3  // of calls on connections idle before without an answer: those are stale, too
	idleTimeoutWeight       = 0.2  // of one of them: few balancers see many
	idleTimeoutDecay        = 0.02 // of one other answer
	idleConnectionShare     = 0.4  // of the first ejection's time: idle from then on
	connectionLossThreshold = 0.02 // of outcomes broken, and one alone is no more: idle connections are taken for stale
)

// available is the time really left for waits and attempts.
func (q *request) timeLeft(now Time) time.Duration {
	return max(0, q.deadline-now-time.Duration(reserveShare*float64(q.Budget)))
}

// try sends the next attempt if its full allowance fits, and else answers.
func (b *Balancer) sendOrAnswer(now Time, q *request) {
	c := &b.classes[q.Class]
	required := c.attemptTimeout
	if len(q.attempts) == 0 && !b.settings.UnevenTraffic && (b.settings.Tier > 0 || c.Idempotency == Idempotent) {
		required = max(1, min(required, c.meanLatency)) // guards against clients of little patience that get nothing
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
	if len(q.attempts) == 0 { // repeats come on top
		b.meanAdmitInterval, b.lastAdmitted = b.meanAdmitInterval+meanWeight*(float64(now-b.lastAdmitted)-b.meanAdmitInterval), now
	}
	if target := b.pickBackend(now, q); target != nil {
		b.send(now, q, target)
	} else {
		b.refuseOrFail(q, b.refusalCause(now, q))
	}
	b.requestListIfNeeded()
}

// send starts an attempt. Its time-out is the full allowance; all that is left where none could follow it.
func (b *Balancer) send(now Time, q *request, target *backend) {
	c, timeout := &b.classes[q.Class], q.timeLeft(now)
	attemptTimeout := time.Duration(c.attemptTimeout)
	if c.Idempotency != NonIdempotent && len(q.attempts)+1 < b.settings.MaxAttempts && 2*attemptTimeout <= timeout {
		timeout = attemptTimeout
	}
	target.lastSent, target.spacingFactor = now, 1
	target.probeInFlight = target.probeInFlight || target.ejections > 0
	idle := b.settings.UnevenTraffic && target.inFlight == 0 && target.lastAnswered > 0 &&
		float64(now-target.lastAnswered) > idleConnectionShare*float64(b.baseEjectionTime)
	closeIdle := b.connectionLossShare > connectionLossThreshold || idle && b.idleTimeoutShare > idleTimeoutThreshold
	if closeIdle {
		b.actions.CloseIdle(target.ID)
	}
	a := attempt{backend: target, sentAt: now, probe: target.ejections > 0, onIdleConnection: idle && !closeIdle}
	a.cutShort = timeout < attemptTimeout
	q.attempts = append(q.attempts, a)
	q.outstanding++
	if !q.Streamed { // guards against slow uploads that fill the limit
		b.RequestWritten(now, q.ID)
	}
	b.actions.Send(q.ID, target.ID, timeout)
}

// again waits for the next attempt if wait and allowance fit, and else answers.
func (b *Balancer) scheduleRetry(now Time, q *request, last *attempt) {
	attemptTimeout := b.classes[q.Class].attemptTimeout
	wait := attemptTimeout * backoffShare * math.Pow(backoffGrowth, float64(len(q.attempts)-1))
	wait = float64(b.jitter(time.Duration(wait)))
	// The retry budget, a departure: when all slow together, repeats of what may have run burn what is left.
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

// mayHaveRun is the first attempt not proven to have had no effect, or nil.
func (q *request) firstPossiblyRun() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.provenNotRun }); i >= 0 {
		return &q.attempts[i]
	}
	return nil
}

// mayRepeat is the one place that lets an attempt of q go to m: no effect twice.
func (b *Balancer) mayRetryOn(now Time, q *request, m *backend) bool {
	c, ran := &b.classes[q.Class], q.firstPossiblyRun()
	inDedupScope := c.DedupScope == ScopeAll || ran == nil ||
		c.DedupScope == ScopeZone && m.Zone == ran.backend.Zone || c.DedupScope == ScopeCell && m.Cell == ran.backend.Cell
	return b.retryable(now, q) && (c.Idempotency != Deduplicated || inDedupScope)
}

// repeatable tells whether any backend may get another attempt of q.
func (b *Balancer) retryable(now Time, q *request) bool {
	const dedupWindowShare = 0.9 // the send must reach the backend while it remembers
	c, ran := &b.classes[q.Class], q.firstPossiblyRun()
	return !q.notReplayable && (ran == nil || c.Idempotency == Idempotent ||
		c.Idempotency == Deduplicated && float64(now-ran.sentAt) < dedupWindowShare*float64(c.DedupWindow))
}

// learnFrom draws from an outcome: latency, the backend's health, the limit.
func (b *Balancer) recordOutcome(now Time, q *request, a *attempt, o Outcome) {
	c, latency := &b.classes[q.Class], float64(o.Latency)
	// Guards against idle connections that something drops: while many calls break, calls go on new ones.
	b.connectionLossShare += overallFailureWeight * (oneIf(o.Result == ConnectionLost) - b.connectionLossShare)
	// The same where nothing breaks: no answer comes on them. Only idle ones are closed, and the share fades.
	if a.onIdleConnection && (o.Result == OK || o.Result == TimedOut) {
		b.idleTimeoutShare += idleTimeoutWeight * (oneIf(o.Result == TimedOut) - b.idleTimeoutShare)
	} else if o.Result == OK {
		b.idleTimeoutShare -= idleTimeoutDecay * b.idleTimeoutShare
	}
	switch o.Result {
	case OK:
		a.backend.lastAnswered = now
		if a.backend.liveness.recordServed(&b.listFreshness, now, a.sentAt) && b.listFreshness.ChangesMayLag {
			b.listNeeded = true // to have a list by the time at which it would be passed over
		}
		c.observeLatency(latency)
		c.answerCount++ // the first ones count for more: what cost began with is no latency
		c.meanLatency += max(meanWeight, 1/c.answerCount) * (latency - c.meanLatency)
		c.unloadedLatency = min(c.meanLatency, (1-unloadedLatencyRise)*cmp.Or(c.unloadedLatency, c.meanLatency)+unloadedLatencyRise*c.meanLatency)
	case ConnectFailed, ConnectionLost, Rejected:
		a.backend.liveness.recordFailure(now, o.Result)
	case TimedOut, Error: // late errors, too: guards against an allowance that only ever sees the quick ones
		if o.Result == TimedOut || latency > lateErrorShare*c.attemptTimeout {
			c.observeLatency(c.attemptTimeout)
			if o.Result == Error { // it is the time-out of a tier below, and tells of no latency
				b.adjustLimit(now, c, 1)
			}
		}
	}
	if o.Result == OK || o.Result == TimedOut {
		if o.Result == TimedOut && b.settings.UnevenTraffic { // guards against healthy backends that lose some answers,
			latency = min(latency, timeoutLatencyFactor*c.meanLatency) // and of whom all would go to the few that lose none
		}
		b.meanLatency += meanWeight * (latency - b.meanLatency)
		weight := failureWeight
		if o.Result == TimedOut && !b.settings.UnevenTraffic { // a choked one that is met seldom is not forgotten
			weight = max(weight, 1-math.Exp(-float64(now-a.backend.lastLatencySample)/float64(b.baseEjectionTime)))
		}
		a.backend.relativeLatency += weight * (latency/c.meanLatency - a.backend.relativeLatency)
		a.backend.lastLatencySample = now
		b.adjustLimit(now, c, latency/float64(max(c.TargetLatency, 1)))
	}
	b.updateEjection(now, a, c, o.Result)
}

// meet takes a request's budget. The first sets the allowance: further down it is well under the deadline.
func (c *class) observeBudget(budget time.Duration, lowerTier bool) {
	if c.usualBudget == 0 {
		c.usualBudget, c.attemptTimeout = float64(budget), initialAttemptTimeoutShare*float64(budget)
		c.meanLatency, c.meanWithTimeouts = c.attemptTimeout, c.attemptTimeout
	}
	weight := meanWeight
	if lowerTier && float64(budget) > c.usualBudget { // guards against a few that raise the ceiling past all others
		weight *= largerBudgetFactor
	}
	c.usualBudget += weight * (float64(budget) - c.usualBudget)
	c.clampAttemptTimeout()
}

// learn moves the allowance towards its percentile: one sample above weighs as many below as that says.
func (c *class) observeLatency(latency float64) {
	c.meanWithTimeouts += meanWeight * (latency - c.meanWithTimeouts)
	c.attemptTimeout *= math.Exp(attemptTimeoutStep * (oneIf(latency >= c.attemptTimeout) - (1 - attemptTimeoutPercentile)))
	c.clampAttemptTimeout()
}

// bound keeps the allowance within budgets, a departure, and at the percentile of an exponential latency of
// that mean, since thin traffic brings it down slowly.
func (c *class) clampAttemptTimeout() {
	ceiling := min(maxAttemptTimeoutShare*c.usualBudget, max(initialAttemptTimeoutShare*c.usualBudget, -math.Log(1-attemptTimeoutPercentile)*c.meanWithTimeouts))
	c.attemptTimeout = max(min(c.attemptTimeout, ceiling), minAttemptTimeoutShare*float64(c.Deadline))
}
