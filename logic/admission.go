// Admission control: the concurrency limit of the tier that faces clients.

package logic

import (
	"cmp"
	"math"
)

const (
	latencyRatioTarget       = 0.25   // of the aim, the mean latency to settle at: less refuses, more queues
	latencyRatioTargetUneven = 0.33   // the target where a balancer sees few calls: twice the rest of a few is chance
	unloadedLatencyFactor    = 2.0    // the mean latency at rest is the target where that is more: no queue yet
	unloadedLatencyRise      = 0.0005 // how fast the latency at rest follows a mean above it: not with a queue
	maxLatencyRatioTarget    = 0.4    // no target above this: answers would come late
	limitStep                = 0.3    // speed of the limit's correction
	minLimitUtilization      = 0.5    // share of the limit in flight from which it is corrected
	minLimitMultiplier       = 0.7    // share of the first limit that it keeps: no queue comes of that
	initialLimitPerBackend   = 5.0    // at the start, over all balancers: busy without a queue
	lowestValueLimitShare    = 0.75   // the part of the limit for work worth next to nothing
	maxLimitMultiplier       = 4.0    // bases that the limit grows to: a quiet balancer's must not let any burst in
	arrivalWeight            = 0.02   // of one arrival in own traffic: bursts are not traffic
	initialArrivalCount      = 5.0    // arrivals that the start counts for
	equalClassValue          = 0.3    // what every class's is where none is to be worse off than others
	maxLimitTokens           = 3.0    // calls that may be saved up or owed: covers chance, not a flood
	minLimitTokensUneven     = 1.0    // the same where traffic is unlike: many balancers' calls meet at a backend
	limitTokenShare          = 0.5    // and as a part of the limit: the more traffic, the larger its bursts
)

// reckon keeps the limit's base, what own arrivals have in flight at the latency aimed at, and the arcs: a
// departure for unlike traffic, as where each client process has its own, of which a like part starves some.
func (b *Balancer) updateBaseLimit(now Time, c *class) {
	targetMeanLatency, backendCount, capacity := latencyRatioTarget*float64(c.TargetLatency), float64(len(b.listed)), b.capacity
	if b.arrivalCount == 0 { // as if traffic were alike, until seen: guards against a flood at the start
		b.allowedLatency, b.meanInterarrival, b.arrivalCount = targetMeanLatency, targetMeanLatency/(b.baseLimit*max(capacity, 1)), initialArrivalCount
	}
	b.arrivalCount++
	weight := max(arrivalWeight, 1/b.arrivalCount)
	b.meanInterarrival += weight * (float64(now-b.lastArrival) - b.meanInterarrival)
	b.lastArrival = now
	b.allowedLatency += weight * (targetMeanLatency - b.allowedLatency)
	calls := b.allowedLatency / max(b.meanInterarrival, 1)
	b.baseLimit, b.limitMultiplier = calls/max(capacity, 1), min(b.limitMultiplier, maxLimitMultiplier)
	if subset := calls * capacity / max(backendCount, 1); subset > subsetGrowFactor*b.minSubsetCapacity || subset < b.minSubsetCapacity/subsetShrinkFactor {
		b.minSubsetCapacity = subset // seldom laid anew: each new backend in it costs a connection
		b.assignSubsets()
	}
}

// limit is how many calls may be in flight for each unit of warm size in use.
func (b *Balancer) limit() float64 { return b.limitMultiplier * b.baseLimit }

// admit is the concurrency limit, a departure, at the tier that faces clients: late answers are queues, and
// more work makes more of them. What is worth least for its time goes first.
func (b *Balancer) admit(now Time, q *request) bool {
	if b.settings.Tier > 0 {
		return true
	}
	best := 1e-9
	for i := range b.classes {
		best = max(best, b.classes[i].valuePerTime())
	}
	value := b.classes[q.Class].valuePerTime() / best
	if b.settings.EqualClasses { // guards against the class of least worth that pays for all others
		value = equalClassValue
	}
	if q.ClientRetry { // guards against a client's many tries that crowd out the first ones of others
		value = -value
	}
	t := b.updateLimitTokens(now)
	return t.inFlight < (lowestValueLimitShare+(1-lowestValueLimitShare)*value)*b.limit()*t.effectiveCapacity+b.limitTokens+b.limitTokenBurst(t)*value
}

// settle keeps account of what the limit left unused, in calls of mean length. Guards against a limit of
// about one call, as each of many balancers has, that refuses by chance what there is room for.
func (b *Balancer) updateLimitTokens(now Time) totals {
	t := b.totals(now, &b.listedSummary)
	b.limitTokens += (b.limit()*t.effectiveCapacity - t.inFlight) * float64(now-b.tokensUpdatedAt) / max(b.meanLatency, 1)
	maxTokens := b.limitTokenBurst(t)
	b.limitTokens = max(-maxTokens-1, min(maxTokens, b.limitTokens))
	b.tokensUpdatedAt = now
	return t
}

// credit is how many calls may be saved up or owed.
func (b *Balancer) limitTokenBurst(t totals) float64 {
	if b.settings.UnevenTraffic {
		return max(minLimitTokensUneven, limitTokenShare*b.limit()*t.effectiveCapacity)
	}
	return maxLimitTokens
}

// value is the worth for each unit of time; next to 0 until the class is seen.
func (c *class) valuePerTime() float64 { return c.Value / cmp.Or(c.meanLatency, math.MaxFloat64) }

// correctLimit moves the limit towards the target strain while it is in use: a quiet hour tells nothing.
func (b *Balancer) adjustLimit(now Time, c *class, latencyRatio float64) {
	t := b.totals(now, &b.listedSummary)
	// Guards against work turned away where latencies are long without any queue. One late call counts as 1.
	target := max(latencyRatioTarget, min(maxLatencyRatioTarget, unloadedLatencyFactor*c.unloadedLatency/float64(max(c.TargetLatency, 1))))
	if b.settings.UnevenTraffic { // a few calls tell of no latency at rest
		target = latencyRatioTargetUneven
	}
	if t.inFlight+1 > minLimitUtilization*b.limit()*t.effectiveCapacity {
		step := limitStep * (target - min(latencyRatio, 1)) / max(t.effectiveCapacity, 1) / b.baseLimit
		if step < 0 { // who holds more gives back more, so that balancers even out
			step *= b.limitMultiplier
		}
		b.limitMultiplier = max(minLimitMultiplier, b.limitMultiplier+step)
	}
}
