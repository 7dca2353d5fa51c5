// Admission control: the concurrency limit of the tier that receives client requests.

package logic

import (
	"cmp"
	"math"
)

const (
	// Mean latency to settle at, as a share of the target latency: lower refuses more, higher queues more.
	latencyRatioTarget = 0.25
	// The same for uneven traffic: with few calls, latencies of twice the unloaded mean occur by chance.
	latencyRatioTargetUneven = 0.33
	// Multiple of the unloaded latency that is the target where it is higher: no queue yet.
	unloadedLatencyFactor = 2.0
	// Weight of a mean above the unloaded latency: low, so that it does not follow a queue.
	unloadedLatencyRise    = 0.0005
	maxLatencyRatioTarget  = 0.4  // upper bound of the target: beyond it answers would be late
	limitStep              = 0.3  // gain of the limit's correction
	minLimitUtilization    = 0.5  // share of the limit in flight from which it is corrected
	minLimitMultiplier     = 0.7  // lower bound of the limit multiplier: that much load causes no queue
	initialLimitPerBackend = 5.0  // over all balancers: busy without a queue
	lowestValueLimitShare  = 0.75 // share of the limit open to requests of almost no value
	// Upper bound of the limit multiplier: a balancer with little traffic must not admit any burst.
	maxLimitMultiplier  = 4.0
	arrivalWeight       = 0.02 // of one arrival in the mean of own traffic: bursts must not dominate it
	initialArrivalCount = 5.0  // arrivals that the initial estimate counts as
	equalClassValue     = 0.3  // relative value of each class if EqualClasses is set
	maxLimitTokens      = 3.0  // bound of the limit tokens, also negative: absorbs chance, not a flood
	// Lower bound of the same for uneven traffic: calls of many balancers meet at each backend.
	minLimitTokensUneven = 1.0
	// The same as a share of the limit: the more traffic, the larger its bursts.
	limitTokenShare = 0.5
)

// updateBaseLimit sets the base limit to the concurrency that own arrivals cause at the target latency,
// and resizes the subsets. It is for uneven traffic, for instance where each client process has its own
// balancer: an equal share of the limit would starve the busier ones.
func (b *Balancer) updateBaseLimit(now Time, c *class) {
	targetMeanLatency, backendCount, capacity :=
		latencyRatioTarget*float64(c.TargetLatency), float64(len(b.listed)), b.capacity
	if b.arrivalCount == 0 { // assumes even traffic until some is observed: prevents a flood at the start
		b.allowedLatency, b.meanInterarrival, b.arrivalCount =
			targetMeanLatency, targetMeanLatency/(b.baseLimit*max(capacity, 1)), initialArrivalCount
	}
	b.arrivalCount++
	weight := max(arrivalWeight, 1/b.arrivalCount)
	b.meanInterarrival += weight * (float64(now-b.lastArrival) - b.meanInterarrival)
	b.lastArrival = now
	b.allowedLatency += weight * (targetMeanLatency - b.allowedLatency)
	calls := b.allowedLatency / max(b.meanInterarrival, 1)
	b.baseLimit, b.limitMultiplier = calls/max(capacity, 1), min(b.limitMultiplier, maxLimitMultiplier)
	if subset := calls * capacity / max(backendCount, 1); subset > subsetGrowFactor*b.minSubsetCapacity ||
		subset < b.minSubsetCapacity/subsetShrinkFactor {
		b.minSubsetCapacity = subset // rarely resized: each backend added to a subset costs a connection
		b.assignSubsets()
	}
}

// limit is how many calls may be in flight for each unit of effective capacity in use.
func (b *Balancer) limit() float64 { return b.limitMultiplier * b.baseLimit }

// admit applies the concurrency limit at the tier that receives client requests: late answers mean
// queues, and admitting more work lengthens them. Requests of the least value per time are refused first.
func (b *Balancer) admit(now Time, q *request) bool {
	if b.settings.Tier > 0 {
		return true
	}
	best := 1e-9
	for i := range b.classes {
		best = max(best, b.classes[i].valuePerTime())
	}
	value := b.classes[q.Class].valuePerTime() / best
	if b.settings.EqualClasses { // prevents the class of the least value from bearing all refusals
		value = equalClassValue
	}
	if q.ClientRetry { // prevents a client's retries from crowding out first requests of others
		value = -value
	}
	t := b.updateLimitTokens(now)
	return t.inFlight < (lowestValueLimitShare+(1-lowestValueLimitShare)*value)*b.limit()*t.effectiveCapacity+
		b.limitTokens+b.limitTokenBurst(t)*value
}

// updateLimitTokens keeps account of the calls of mean length that the limit left unused. With many
// balancers each one's limit is about one call, which would otherwise refuse by chance requests for which
// there is capacity.
func (b *Balancer) updateLimitTokens(now Time) totals {
	t := b.totals(now, &b.listedSummary)
	b.limitTokens += (b.limit()*t.effectiveCapacity - t.inFlight) * float64(now-b.tokensUpdatedAt) /
		max(b.meanLatency, 1)
	maxTokens := b.limitTokenBurst(t)
	b.limitTokens = max(-maxTokens-1, min(maxTokens, b.limitTokens))
	b.tokensUpdatedAt = now
	return t
}

// limitTokenBurst bounds the limit tokens: calls that may be saved up for, or made beyond, the limit.
func (b *Balancer) limitTokenBurst(t totals) float64 {
	if b.settings.UnevenTraffic {
		return max(minLimitTokensUneven, limitTokenShare*b.limit()*t.effectiveCapacity)
	}
	return maxLimitTokens
}

// valuePerTime is the class's value for each nanosecond of mean latency; close to 0 until a request was
// seen.
func (c *class) valuePerTime() float64 { return c.Value / cmp.Or(c.meanLatency, math.MaxFloat64) }

// adjustLimit moves the limit towards the target latency ratio while the limit is in use: low traffic
// says nothing about it.
func (b *Balancer) adjustLimit(now Time, c *class, latencyRatio float64) {
	t := b.totals(now, &b.listedSummary)
	// Prevents refusals where latencies are long without a queue. One late call counts as a ratio of 1.
	target := max(latencyRatioTarget, min(maxLatencyRatioTarget,
		unloadedLatencyFactor*c.unloadedLatency/float64(max(c.TargetLatency, 1))))
	if b.settings.UnevenTraffic { // too few calls to estimate the unloaded latency
		target = latencyRatioTargetUneven
	}
	if t.inFlight+1 > minLimitUtilization*b.limit()*t.effectiveCapacity {
		step := limitStep * (target - min(latencyRatio, 1)) / max(t.effectiveCapacity, 1) / b.baseLimit
		if step < 0 { // in proportion to the multiplier, so that the limits of balancers converge
			step *= b.limitMultiplier
		}
		b.limitMultiplier = max(minLimitMultiplier, b.limitMultiplier+step)
	}
}
