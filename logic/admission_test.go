// The concurrency limit.

package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against queues that make every answer late: late answers shrink the
// limit, and what is worth least is refused first.
func TestLimitRefusesLeastValuableFirst(t *testing.T) {
	refused := func(class int) int {
		b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
		b.setLimit(2) // for each of four
		for i := range b.classes {
			b.classes[i].observeBudget(2000*ms, false)
		}
		for i := range 12 {
			b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: class, Budget: 2000 * ms})
		}
		for id := range f.answers {
			if got := f.onlyAnswer(t, id); !got.refused || got.retryAfter <= 0 {
				t.Errorf("turned away with %+v, want a refusal with a come-back time", got)
			}
		}
		return len(f.answers)
	}
	high, low := refused(idempotent), refused(deduplicated)
	if high != 1 || low <= high {
		t.Errorf("refused %d of the most and %d of the least worthwhile, want 1 and more", high, low)
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

// Guards against work turned away where latencies are long without any queue, and
// against a target that follows a queue without end.
func TestLimitWithoutQueueing(t *testing.T) {
	finalMultiplier := func(latency func(i int) time.Duration) float64 {
		b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
		for i := range 3000 {
			id, now := fmt.Sprint("r", i), Time(i)*20*ms
			for _, m := range b.listed { // in use all the time
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
		t.Errorf("at rest the limit falls to %.2f of the first", got)
	}
	// Quick at first, then a queue.
	if got := finalMultiplier(func(i int) time.Duration {
		return shareOfTarget(0.05 + min(0.45, float64(i)/1000))
	}); got > 1 {
		t.Errorf("with a queue the limit grows to %.2f of the first", got)
	}
}

// Guards against a flood at the start: the first limit is shared by all
// balancers, however many there are.
func TestInitialLimitIsShared(t *testing.T) {
	total := func(balancers int) float64 {
		set := testSettings()
		set.BalancerCount = balancers
		b, _ := startBalancer(set, zoneEntries("b", 40)...)
		return b.limit() * float64(balancers)
	}
	if few, many := total(2), total(8); few != many || few == 0 {
		t.Errorf("two balancers open with %v calls together, eight with %v", few, many)
	}
}

// Guards against a limit learned with more backends: when half of them vanish,
// or their successors start cold, the rest would get all the calls and tip.
func TestLimitShrinksWithTheFleet(t *testing.T) {
	admitted := func(change func(b *Balancer)) int {
		b, f := startBalancer(testSettings(), zoneEntries("b", 8)...)
		b.setLimit(4)
		change(b)
		for i := range 60 {
			b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 2000 * ms})
		}
		return len(f.sends)
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

// Guards against one balancer holding most of the calls in flight while others,
// who suffer the same queues, are driven to the floor.
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
		t.Errorf("gave back %v of a limit, %v of one four times as large", small, large)
	}
}

// meanInFlight plays many balancers, each with a few requests a second that
// take 200 ms, and gives their summed mean of calls in flight and sum of limits.
func meanInFlight(balancers, backends int, perSecond float64) (mean, limit float64) {
	const seconds, latency = 60, 200 * ms
	for n := range balancers {
		set := testSettings()
		set.BalancerCount, set.Seed = balancers, uint64(n)
		b, f := startBalancer(set, zoneEntries("b", backends)...)
		b.classes[deduplicated].observeBudget(2000*ms, false)
		b.meanLatency, b.classes[deduplicated].meanLatency = float64(latency), float64(latency)
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		var out []Time
		for now := Time(0); now < seconds*1000*ms; {
			now += time.Duration(rng.ExpFloat64() / perSecond * 1000 * float64(ms))
			for len(out) > 0 && out[0] <= now {
				id := fmt.Sprint("r", int64(out[0]))
				// On the target: the limit stays where it is.
				onTarget := time.Duration(maxLatencyRatioTarget *
					float64(set.Classes[deduplicated].TargetLatency))
				b.AttemptDone(out[0], Outcome{Request: id, Result: OK, Latency: onTarget, Final: true})
				b.meanLatency, b.classes[deduplicated].meanLatency = float64(latency), float64(latency)
				out = out[1:]
			}
			sends := len(f.sends)
			b.StartRequest(now, Request{ID: fmt.Sprint("r", int64(now+latency)), Class: deduplicated,
				Budget: 2000 * ms})
			if len(f.sends) > sends {
				out = append(out, now+latency)
				mean += float64(latency) / float64(seconds*1000*ms)
			}
		}
		limit += b.limit() * float64(backends)
	}
	return mean, limit
}

// Guards against a limit around one call or less, as each of hundreds of
// balancers has, that refuses by chance what the fleet has room for, or, rounded
// up to one call each, lets in more than the fleet can do.
func TestManyBalancersKeepTheLimitInSum(t *testing.T) {
	for _, balancers := range []int{1, 20, 300} {
		limit := initialLimitPerBackend * 15 / float64(balancers) // of one, in calls
		mean, sum := meanInFlight(balancers, 15, 4*limit/0.2)
		if mean < 0.7*sum || mean > 1.15*sum {
			t.Errorf("%d balancers with four times the work for %.0f calls hold %.0f", balancers, sum, mean)
		}
		mean, sum = meanInFlight(balancers, 15, 0.4*limit/0.2)
		if mean < 0.38*sum || mean > 0.42*sum {
			t.Errorf("%d balancers with 0.4 of the work for %.0f calls hold %.0f", balancers, sum, mean)
		}
	}
}

// Errors that come late are the time-outs of a tier below: where it chokes, the limit comes
// down. Guards against a front that keeps a choked tier choked, since it hears of no latency.
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
			if i < 14 { // they keep the limit in use
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

// Guards against the class of least worth that alone pays where the limit is short, and is the worst
// served: where none is to be worse off, all classes are let in alike.
func TestEqualClasses(t *testing.T) {
	for _, equal := range []bool{false, true} {
		set := unevenSettings()
		set.UnevenTraffic, set.EqualClasses = false, equal // the limit is set below, not by traffic
		b, f := startBalancer(set, zoneEntries("b", 10)...)
		b.setAttemptTimeout(idempotent, 700*ms)
		b.setAttemptTimeout(deduplicated, 700*ms) // a tenth of the worth
		var sent [2]int
		for i := range 2000 {
			now := Time(i) * ms                   // far more than fits, held for 100 ms
			b.limitMultiplier, b.baseLimit = 1, 1 // ten calls
			class := i % 2
			before := len(f.sends)
			id := fmt.Sprint(equal, i)
			b.StartRequest(now, Request{ID: id, Class: class, Budget: 2000 * ms})
			sent[class] += len(f.sends) - before
			if i >= 100 {
				done := fmt.Sprint(equal, i-100)
				b.AttemptDone(now, Outcome{Request: done, Result: OK, Latency: 100 * ms, Final: true})
			}
		}
		if nearlyEqual := float64(sent[1]) > 0.8*float64(sent[0]); nearlyEqual != equal {
			t.Errorf("even classes %t: %d of the worthiest sent, %d of the least", equal, sent[0], sent[1])
		}
	}
}
