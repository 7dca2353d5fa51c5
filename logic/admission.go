// Admission control: the concurrency limit of the tier that faces clients.

package logic

import (
	"cmp"
	"math"
)

const (
	strainTarget    = 0.25   // of the aim, the mean latency to settle at: less refuses, more queues
	strainUneven    = 0.33   // the target where a balancer sees few calls: twice the rest of a few is chance
	restFactor      = 2.0    // the mean latency at rest is the target where that is more: no queue yet
	restRise        = 0.0005 // how fast the latency at rest follows a mean above it: not with a queue
	strainCeiling   = 0.4    // no target above this: answers would come late
	limitStep       = 0.3    // speed of the limit's correction
	limitInUse      = 0.5    // share of the limit in flight from which it is corrected
	limitLeast      = 0.7    // share of the first limit that it keeps: no queue comes of that
	limitPerBackend = 5.0    // at the start, over all balancers: busy without a queue
	limitLowest     = 0.75   // the part of the limit for work worth next to nothing
	openMost        = 4.0    // bases that the limit grows to: a quiet balancer's must not let any burst in
	arriveWeight    = 0.02   // of one arrival in own traffic: bursts are not traffic
	arriveFirst     = 5.0    // arrivals that the start counts for
	evenValue       = 0.3    // what every class's is where none is to be worse off than others
	saveMost        = 3.0    // calls that may be saved up or owed: covers chance, not a flood
	saveLeast       = 1.0    // the same where traffic is unlike: many balancers' calls meet at a backend
	saveShare       = 0.5    // and as a part of the limit: the more traffic, the larger its bursts
)

// reckon keeps the limit's base, what own arrivals have in flight at the latency aimed at, and the arcs: a
// departure for unlike traffic, as where each client process has its own, of which a like part starves some.
func (b *Balancer) reckon(now Time, c *class) {
	wanted, count, size := strainTarget*float64(c.TargetLatency), float64(len(b.listed)), b.size
	if b.arrivals == 0 { // as if traffic were alike, until seen: guards against a flood at the start
		b.need, b.between, b.arrivals = wanted, wanted/(b.base*max(size, 1)), arriveFirst
	}
	b.arrivals++
	weight := max(arriveWeight, 1/b.arrivals)
	b.between += weight * (float64(now-b.arrived) - b.between)
	b.arrived = now
	b.need += weight * (wanted - b.need)
	calls := b.need / max(b.between, 1)
	b.base, b.open = calls/max(size, 1), min(b.open, openMost)
	if arc := calls * size / max(count, 1); arc > reachMore*b.arc || arc < b.arc/reachLess {
		b.arc = arc // seldom laid anew: each new backend in it costs a connection
		b.reach()
	}
}

// limit is how many calls may be in flight for each unit of warm size in use.
func (b *Balancer) limit() float64 { return b.open * b.base }

// admit is the concurrency limit, a departure, at the tier that faces clients: late answers are queues, and
// more work makes more of them. What is worth least for its time goes first.
func (b *Balancer) admit(now Time, q *request) bool {
	if b.set.Tier > 0 {
		return true
	}
	best := 1e-9
	for i := range b.classes {
		best = max(best, b.classes[i].value())
	}
	value := b.classes[q.Class].value() / best
	if b.set.EqualClasses { // guards against the class of least worth that pays for all others
		value = evenValue
	}
	if q.ClientRetry { // guards against a client's many tries that crowd out the first ones of others
		value = -value
	}
	t := b.settle(now)
	return t.calls < (limitLowest+(1-limitLowest)*value)*b.limit()*t.warm+b.saved+b.credit(t)*value
}

// settle keeps account of what the limit left unused, in calls of mean length. Guards against a limit of
// about one call, as each of many balancers has, that refuses by chance what there is room for.
func (b *Balancer) settle(now Time) tally {
	t := b.tally(now, &b.all)
	b.saved += (b.limit()*t.warm - t.calls) * float64(now-b.settled) / max(b.hold, 1)
	most := b.credit(t)
	b.saved = max(-most-1, min(most, b.saved))
	b.settled = now
	return t
}

// credit is how many calls may be saved up or owed.
func (b *Balancer) credit(t tally) float64 {
	if b.set.UnevenTraffic {
		return max(saveLeast, saveShare*b.limit()*t.warm)
	}
	return saveMost
}

// value is the worth for each unit of time; next to 0 until the class is seen.
func (c *class) value() float64 { return c.Value / cmp.Or(c.cost, math.MaxFloat64) }

// correctLimit moves the limit towards the target strain while it is in use: a quiet hour tells nothing.
func (b *Balancer) correctLimit(now Time, c *class, strain float64) {
	t := b.tally(now, &b.all)
	// Guards against work turned away where latencies are long without any queue. One late call counts as 1.
	target := max(strainTarget, min(strainCeiling, restFactor*c.rest/float64(max(c.TargetLatency, 1))))
	if b.set.UnevenTraffic { // a few calls tell of no latency at rest
		target = strainUneven
	}
	if t.calls+1 > limitInUse*b.limit()*t.warm {
		step := limitStep * (target - min(strain, 1)) / max(t.warm, 1) / b.base
		if step < 0 { // who holds more gives back more, so that balancers even out
			step *= b.open
		}
		b.open = max(limitLeast, b.open+step)
	}
}
