// Tests of the concurrency limit.

package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Prevents queues that make every answer late: late answers lower the limit, and the least valuable
// requests are refused first.
func TestLimitRefusesLeastValuableFirst(t *testing.T) {
	refused := func(class int) int {
		b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
		b.setLimit(2) // calls for each of four backends
		for i := range b.classes {
			b.classes[i].observeBudget(2000*ms, false)
		}
		for i := range 12 {
			b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: class, Budget: 2000 * ms})
		}
		for id := range rec.answers {
			if got := rec.onlyAnswer(t, id); !got.refused || got.retryAfter <= 0 {
				t.Errorf("answered with %+v, want a refusal with a retry-after time", got)
			}
		}
		return len(rec.answers)
	}
	high, low := refused(idempotent), refused(deduplicated)
	if high != 1 || low <= high {
		t.Errorf("refused %d of the most and %d of the least valuable requests, want 1 and more", high, low)
	}
}

func TestLimitFollowsLatencyRatio(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.addInFlight(b.backends["b0"], 100)
	before := b.limit()
	b.adjustLimit(0, &b.classes[idempotent], 2*latencyRatioTarget)
	if b.limit() >= before {
		t.Error("late answers did not lower the limit")
	}
	before = b.limit()
	b.adjustLimit(0, &b.classes[idempotent], latencyRatioTarget/2)
	if b.limit() <= before {
		t.Error("early answers did not raise the limit")
	}
	b.addInFlight(b.backends["b0"], -100)
	before = b.limit()
	b.adjustLimit(0, &b.classes[idempotent], 0)
	b.adjustLimit(0, &b.classes[idempotent], 1)
	if b.limit() != before {
		t.Error("the limit moved while it was not in use")
	}
}

// Prevents refusals where latencies are long without a queue, and a target that follows a growing queue.
func TestLimitWithoutQueueing(t *testing.T) {
	finalMultiplier := func(latency func(i int) time.Duration) float64 {
		b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
		for i := range 3000 {
			id, now := fmt.Sprint("r", i), Time(i)*20*ms
			for _, m := range b.listed { // keeps the limit in use
				b.addInFlight(m, int(b.limit())+1-m.inFlight)
			}
			b.requests[id] = &request{Request: Request{ID: id, Class: idempotent}, deadline: now + 2000*ms,
				outstanding: 1,
				attempts:    []attempt{{backend: b.listed[i%4], sentAt: now}}}
			b.classes[idempotent].observeBudget(2000*ms, false)
			b.AttemptDone(now, Outcome{Request: id, Result: OK, Latency: latency(i), Final: true})
		}
		return b.limit() / b.baseLimit
	}
	targetLatency := float64(testSettings().Classes[idempotent].TargetLatency)
	shareOfTarget := func(share float64) time.Duration { return time.Duration(share * targetLatency) }
	if got := finalMultiplier(func(i int) time.Duration {
		return shareOfTarget(0.2 +
			0.15*float64(i%3))
	}); got < 1 {
		t.Errorf("without a queue the limit multiplier falls to %.2f", got)
	}
	// Low latencies at first, then a queue.
	if got := finalMultiplier(func(i int) time.Duration {
		return shareOfTarget(0.05 + min(0.45, float64(i)/1000))
	}); got > 1 {
		t.Errorf("with a queue the limit multiplier grows to %.2f", got)
	}
}

// Prevents a flood at the start: all balancers together start with the same limit, whatever their number.
func TestInitialLimitIsShared(t *testing.T) {
	total := func(balancers int) float64 {
		set := testSettings()
		set.BalancerCount = balancers
		b, _ := startBalancer(set, zoneEntries("b", 40)...)
		return b.limit() * float64(balancers)
	}
	if few, many := total(2), total(8); few != many || few == 0 {
		t.Errorf("two balancers start with a total limit of %v, eight with %v", few, many)
	}
}

// Prevents a limit learned with more backends from staying in force: when half of them disappear, or new
// ones in slow start replace them, the others would get all calls and be overloaded.
func TestLimitShrinksWithTheFleet(t *testing.T) {
	admitted := func(change func(b *Balancer)) int {
		b, rec := startBalancer(testSettings(), zoneEntries("b", 8)...)
		b.setLimit(4)
		change(b)
		for i := range 60 {
			b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		}
		return len(rec.sends)
	}
	all := admitted(func(*Balancer) {})
	half := admitted(func(b *Balancer) { b.UpdateList(0, true, zoneEntries("b", 4)) })
	ejected := admitted(func(b *Balancer) {
		for _, m := range b.listed[:4] {
			m.ejections, m.inFlight, m.probeAt = 1, 4, 1000*ms // with calls that hang there
			b.summaryVersion++
		}
	})
	if all != 35 || half != 19 || ejected != 19 {
		t.Errorf("admitted %d with all, %d with half gone, %d with half ejected", all, half, ejected)
	}
}

// Prevents one balancer from holding most calls in flight while others, which see the same queues, fall
// to the lower bound of the limit.
func TestLimitDecreasesInProportion(t *testing.T) {
	drop := func(limit float64) float64 {
		b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
		b.setLimit(limit * b.baseLimit)
		b.addInFlight(b.backends["b0"], 1000)
		before := b.limit()
		b.adjustLimit(0, &b.classes[idempotent], 1)
		return before - b.limit()
	}
	if small, large := drop(1), drop(4); large < 3.9*small || small <= 0 {
		t.Errorf("the limit decreased by %v, a limit four times as large by %v", small, large)
	}
}

// meanInFlight simulates balancers that each get a few requests a second, each taking 200 ms. It returns
// the sums over the balancers of their mean calls in flight and of their limits.
func meanInFlight(balancers, backends int, perSecond float64) (mean, limit float64) {
	const seconds, latency = 60, 200 * ms
	for n := range balancers {
		set := testSettings()
		set.BalancerCount, set.Seed = balancers, uint64(n)
		b, rec := startBalancer(set, zoneEntries("b", backends)...)
		b.classes[deduplicated].observeBudget(2000*ms, false)
		b.meanLatency, b.classes[deduplicated].meanLatency = float64(latency), float64(latency)
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		var pending []Time
		for now := Time(0); now < seconds*1000*ms; {
			now += time.Duration(rng.ExpFloat64() / perSecond * 1000 * float64(ms))
			for len(pending) > 0 && pending[0] <= now {
				id := fmt.Sprint("r", int64(pending[0]))
				// Exactly on target, so that the limit does not change.
				onTarget := time.Duration(maxLatencyRatioTarget *
					float64(set.Classes[deduplicated].TargetLatency))
				b.AttemptDone(pending[0], Outcome{Request: id, Result: OK, Latency: onTarget, Final: true})
				b.meanLatency, b.classes[deduplicated].meanLatency = float64(latency), float64(latency)
				pending = pending[1:]
			}
			sends := len(rec.sends)
			b.StartRequest(now, Request{ID: fmt.Sprint("r", int64(now+latency)), Class: deduplicated,
				Budget: 2000 * ms})
			if len(rec.sends) > sends {
				pending = append(pending, now+latency)
				mean += float64(latency) / float64(seconds*1000*ms)
			}
		}
		limit += b.limit() * float64(backends)
	}
	return mean, limit
}

// With hundreds of balancers each one's limit is about one call or less. Prevents refusals by chance
// while there is capacity, and, if each limit were rounded up to one call, more calls than the backends
// can execute.
func TestManyBalancersKeepTheLimitInSum(t *testing.T) {
	for _, balancers := range []int{1, 20, 300} {
		limit := initialLimitPerBackend * 15 / float64(balancers) // of each balancer, in calls
		mean, sum := meanInFlight(balancers, 15, 4*limit/0.2)
		if mean < 0.7*sum || mean > 1.15*sum {
			t.Errorf("%d balancers, four times the load for a limit of %.0f calls: mean of %.0f in flight",
				balancers, sum, mean)
		}
		mean, sum = meanInFlight(balancers, 15, 0.4*limit/0.2)
		if mean < 0.38*sum || mean > 0.42*sum {
			t.Errorf("%d balancers, 0.4 of the load for a limit of %.0f calls: mean of %.0f in flight",
				balancers, sum, mean)
		}
	}
}

// Late errors are the timeouts of a lower tier: where it is overloaded, the limit decreases. Prevents a
// first tier that sees no latencies from keeping the lower tier overloaded.
func TestLateErrorsLowerTheLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		latency time.Duration
		down    bool
	}{{"late", 650 * ms, true}, {"early", 50 * ms, false}} {
		b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
		b.setLimit(5)
		for i := range 40 {
			id, now := fmt.Sprint("r", i), Time(i)*100*ms
			b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
			if i < 14 { // these keep the limit in use
				continue
			}
			b.setAttemptTimeout(nonIdempotent, 700*ms)
			b.AttemptDone(now+c.latency, Outcome{Request: id, Result: Error, Latency: c.latency, Final: true})
		}
		if got := b.limit() * 4; (got < 18) != c.down {
			t.Errorf("%s errors: the limit is %.1f after 20", c.name, got)
		}
	}
}

// Prevents the least valuable class from bearing all refusals and being served worst: with EqualClasses,
// all classes are admitted alike.
func TestEqualClasses(t *testing.T) {
	for _, equal := range []bool{false, true} {
		set := unevenSettings()
		// The test sets the limit instead of deriving it from traffic.
		set.UnevenTraffic, set.EqualClasses = false, equal
		b, rec := startBalancer(set, zoneEntries("b", 10)...)
		b.setAttemptTimeout(idempotent, 700*ms)
		b.setAttemptTimeout(deduplicated, 700*ms) // a tenth of the value
		var sent [2]int
		for i := range 2000 {
			now := Time(i) * ms                   // far more than the limit admits; each call takes 100 ms
			b.limitMultiplier, b.baseLimit = 1, 1 // ten calls
			class := i % 2
			before := len(rec.sends)
			id := fmt.Sprint(equal, i)
			b.StartRequest(now, Request{ID: id, Class: class, Budget: 2000 * ms})
			sent[class] += len(rec.sends) - before
			if i >= 100 {
				done := fmt.Sprint(equal, i-100)
				b.AttemptDone(now, Outcome{Request: done, Result: OK, Latency: 100 * ms, Final: true})
			}
		}
		if nearlyEqual := float64(sent[1]) > 0.8*float64(sent[0]); nearlyEqual != equal {
			t.Errorf("EqualClasses %t: %d of the most valuable class sent, %d of the least", equal, sent[0],
				sent[1])
		}
	}
}
