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

	allowanceRank    = 0.995 // the percentile tracked: work close to done repeated against the dead waited on
	allowanceStep    = 0.2   // how fast it follows against how much it jitters
	allowanceFloor   = 0.02  // share of the class's deadline; below it lies noise
	allowanceStart   = 0.35  // share of the first budget seen: two attempts fit
	allowanceCeiling = 0.7   // share of the usual budget; above it too little fits
	budgetRise       = 0.1   // how much less a budget above the usual one counts: most must hold it
	lateError        = 0.5   // of the allowance: a later error is that of a tier below that ran out of time

	backoffShare  = 0.1 // of the allowance: time to recover against time for attempts
	backoffGrowth = 2.0 // of each later one

	retryShare = 0.1 // of first attempts may be repeated after they may have run
	retryBurst = 10  // as many repeats may be saved up, no more than the first ejection's time earns

	lostFactor  = 2.0  // mean latencies that a time-out counts for, where it may be a lost answer
	lostShare   = 0.3  // of calls on connections idle before without an answer: those are stale, too
	lostWeight  = 0.2  // of one of them: few balancers see many
	lostFade    = 0.02 // of one other answer
	restedShare = 0.4  // of the first ejection's time: idle from then on
	staleShare  = 0.02 // of outcomes broken, and one alone is no more: idle connections are taken for stale
)

// available is the time really left for waits and attempts.
func (q *request) available(now Time) time.Duration {
	return max(0, q.deadline-now-time.Duration(reserveShare*float64(q.Budget)))
}

// try sends the next attempt if its full allowance fits, and else answers.
func (b *Balancer) try(now Time, q *request) {
	c := &b.classes[q.Class]
	need := c.allowance
	if len(q.attempts) == 0 && !b.set.UnevenTraffic && (b.set.Tier > 0 || c.Idempotency == Idempotent) {
		need = max(1, min(need, c.cost)) // guards against clients of little patience that get nothing
	}
	switch open := len(q.attempts) > 0 || b.admit(now, q); {
	case !open:
		b.giveUp(q, OverLimit)
		return
	case len(q.attempts) >= b.set.MaxAttempts:
		b.giveUp(q, AttemptsExhausted)
		return
	case need > float64(q.available(now)):
		b.giveUp(q, NotEnoughTime)
		return
	}
	if len(q.attempts) == 0 { // repeats come on top
		b.gap, b.lastCall = b.gap+meanWeight*(float64(now-b.lastCall)-b.gap), now
	}
	if to := b.pick(now, q); to != nil {
		b.send(now, q, to)
	} else {
		b.giveUp(q, b.obstacle(now, q))
	}
	b.askList()
}

// send starts an attempt. Its time-out is the full allowance; all that is left where none could follow it.
func (b *Balancer) send(now Time, q *request, to *backend) {
	c, timeout := &b.classes[q.Class], q.available(now)
	allowance := time.Duration(c.allowance)
	if c.Idempotency != NonIdempotent && len(q.attempts)+1 < b.set.MaxAttempts && 2*allowance <= timeout {
		timeout = allowance
	}
	to.sent, to.spacing = now, 1
	to.trialOut = to.trialOut || to.ejected > 0
	rested := b.set.UnevenTraffic && to.inFlight == 0 && to.used > 0 &&
		float64(now-to.used) > restedShare*float64(b.patience)
	old := b.broken > staleShare || rested && b.lost > lostShare
	if old {
		b.act.CloseIdle(to.ID)
	}
	a := attempt{to: to, sent: now, trial: to.ejected > 0, rested: rested && !old}
	a.short = timeout < allowance
	q.attempts = append(q.attempts, a)
	q.out++
	if !q.Streamed { // guards against slow uploads that fill the limit
		b.RequestWritten(now, q.ID)
	}
	b.act.Send(q.ID, to.ID, timeout)
}

// again waits for the next attempt if wait and allowance fit, and else answers.
func (b *Balancer) again(now Time, q *request, last *attempt) {
	allowance := b.classes[q.Class].allowance
	wait := allowance * backoffShare * math.Pow(backoffGrowth, float64(len(q.attempts)-1))
	wait = float64(b.jitter(time.Duration(wait)))
	// The retry budget, a departure: when all slow together, repeats of what may have run burn what is left.
	price := one(!last.notRun)
	switch {
	case len(q.attempts) >= b.set.MaxAttempts:
		b.giveUp(q, AttemptsExhausted)
		return
	case !b.repeatable(now, q):
		b.giveUp(q, MayHaveRun)
		return
	case wait+allowance > float64(q.available(now)):
		b.giveUp(q, NotEnoughTime)
		return
	case b.retryTokens < price:
		b.giveUp(q, RetryBudgetExhausted)
		return
	}
	b.retryTokens -= price
	b.token++
	q.token, b.wakes[b.token] = b.token, q
	b.act.StartTimer(q.token, time.Duration(wait))
}

// mayHaveRun is the first attempt not proven to have had no effect, or nil.
func (q *request) mayHaveRun() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.notRun }); i >= 0 {
		return &q.attempts[i]
	}
	return nil
}

// mayRepeat is the one place that lets an attempt of q go to m: no effect twice.
func (b *Balancer) mayRepeat(now Time, q *request, m *backend) bool {
	c, ran := &b.classes[q.Class], q.mayHaveRun()
	within := c.DedupScope == ScopeAll || ran == nil ||
		c.DedupScope == ScopeZone && m.Zone == ran.to.Zone || c.DedupScope == ScopeCell && m.Cell == ran.to.Cell
	return b.repeatable(now, q) && (c.Idempotency != Deduplicated || within)
}

// repeatable tells whether any backend may get another attempt of q.
func (b *Balancer) repeatable(now Time, q *request) bool {
	const memoryShare = 0.9 // the send must reach the backend while it remembers
	c, ran := &b.classes[q.Class], q.mayHaveRun()
	return !q.spent && (ran == nil || c.Idempotency == Idempotent ||
		c.Idempotency == Deduplicated && float64(now-ran.sent) < memoryShare*float64(c.DedupWindow))
}

// learnFrom draws from an outcome: latency, the backend's health, the limit.
func (b *Balancer) learnFrom(now Time, q *request, a *attempt, o Outcome) {
	c, latency := &b.classes[q.Class], float64(o.Latency)
	// Guards against idle connections that something drops: while many calls break, calls go on new ones.
	b.broken += failingWeight * (one(o.Result == ConnectionLost) - b.broken)
	// The same where nothing breaks: no answer comes on them. Only idle ones are closed, and the share fades.
	if a.rested && (o.Result == OK || o.Result == TimedOut) {
		b.lost += lostWeight * (one(o.Result == TimedOut) - b.lost)
	} else if o.Result == OK {
		b.lost -= lostFade * b.lost
	}
	switch o.Result {
	case OK:
		a.to.used = now
		if a.to.presence.served(&b.fresh, now, a.sent) && b.fresh.ChangesMayLag {
			b.doubts = true // to have a list by the time at which it would be passed over
		}
		c.learn(latency)
		c.answers++ // the first ones count for more: what cost began with is no latency
		c.cost += max(meanWeight, 1/c.answers) * (latency - c.cost)
		c.rest = min(c.cost, (1-restRise)*cmp.Or(c.rest, c.cost)+restRise*c.cost)
	case ConnectFailed, ConnectionLost, Rejected:
		a.to.presence.missed(now, o.Result)
	case TimedOut, Error: // late errors, too: guards against an allowance that only ever sees the quick ones
		if o.Result == TimedOut || latency > lateError*c.allowance {
			c.learn(c.allowance)
			if o.Result == Error { // it is the time-out of a tier below, and tells of no latency
				b.correctLimit(now, c, 1)
			}
		}
	}
	if o.Result == OK || o.Result == TimedOut {
		if o.Result == TimedOut && b.set.UnevenTraffic { // guards against healthy backends that lose some answers,
			latency = min(latency, lostFactor*c.cost) // and of whom all would go to the few that lose none
		}
		b.hold += meanWeight * (latency - b.hold)
		weight := failureWeight
		if o.Result == TimedOut && !b.set.UnevenTraffic { // a choked one that is met seldom is not forgotten
			weight = max(weight, 1-math.Exp(-float64(now-a.to.heard)/float64(b.patience)))
		}
		a.to.slowness += weight * (latency/c.cost - a.to.slowness)
		a.to.heard = now
		b.correctLimit(now, c, latency/float64(max(c.TargetLatency, 1)))
	}
	b.judge(now, a, c, o.Result)
}

// meet takes a request's budget. The first sets the allowance: further down it is well under the deadline.
func (c *class) meet(budget time.Duration, lower bool) {
	if c.budget == 0 {
		c.budget, c.allowance = float64(budget), allowanceStart*float64(budget)
		c.cost, c.mean = c.allowance, c.allowance
	}
	weight := meanWeight
	if lower && float64(budget) > c.budget { // guards against a few that raise the ceiling past all others
		weight *= budgetRise
	}
	c.budget += weight * (float64(budget) - c.budget)
	c.bound()
}

// learn moves the allowance towards its percentile: one sample above weighs as many below as that says.
func (c *class) learn(latency float64) {
	c.mean += meanWeight * (latency - c.mean)
	c.allowance *= math.Exp(allowanceStep * (one(latency >= c.allowance) - (1 - allowanceRank)))
	c.bound()
}

// bound keeps the allowance within budgets, a departure, and at the percentile of an exponential latency of
// that mean, since thin traffic brings it down slowly.
func (c *class) bound() {
	most := min(allowanceCeiling*c.budget, max(allowanceStart*c.budget, -math.Log(1-allowanceRank)*c.mean))
	c.allowance = max(min(c.allowance, most), allowanceFloor*float64(c.Deadline))
}
