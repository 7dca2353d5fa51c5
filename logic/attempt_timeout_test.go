// The time that an attempt may take.

package logic

import (
	"fmt"
	"testing"
	"time"
)

func TestAttemptTimeout(t *testing.T) {
	c := class{Class: Class{Deadline: 1000 * ms}}
	c.observeBudget(400*ms, false)
	if c.attemptTimeout != float64(400*ms)*initialAttemptTimeoutShare {
		t.Errorf("first allowance %v", time.Duration(c.attemptTimeout))
	}
	for i := range 20000 { // latencies spread evenly over 0 to 100 ms
		c.observeLatency(float64(i*37%100) * float64(ms))
	}
	if c.attemptTimeout < float64(85*ms) || c.attemptTimeout > float64(130*ms) {
		t.Errorf("allowance %v, want near the high percentile of 98 ms", time.Duration(c.attemptTimeout))
	}
	c.usualBudget = float64(1000 * ms)
	for range 20 { // time-outs count at the allowance, and raise it
		c.observeLatency(c.attemptTimeout)
	}
	if c.attemptTimeout < float64(300*ms) {
		t.Errorf("allowance %v did not follow the time-outs", time.Duration(c.attemptTimeout))
	}
	for range 100 { // but not past what usual budgets can hold
		c.observeLatency(c.attemptTimeout)
	}
	if c.attemptTimeout != maxAttemptTimeoutShare*c.usualBudget {
		t.Errorf("allowance %v, want its ceiling", time.Duration(c.attemptTimeout))
	}
	for range 100000 {
		c.observeLatency(0)
	}
	if c.attemptTimeout != minAttemptTimeoutShare*float64(c.Deadline) {
		t.Errorf("allowance %v, want its floor", time.Duration(c.attemptTimeout))
	}
}

// Guards against a spiral: the tier below refuses what runs late, and an
// allowance that learns from quick answers alone shrinks with each refusal.
func TestLateErrorRaisesAttemptTimeout(t *testing.T) {
	for _, c := range []struct {
		latency time.Duration
		raised  bool
	}{{20 * ms, false}, {80 * ms, true}} {
		b, _ := startBalancer(testSettings(), entry("b", 1))
		b.setAttemptTimeout(idempotent, 100*ms)
		b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(c.latency, Outcome{Request: "r", Result: Error, Latency: c.latency})
		if raised := b.classes[idempotent].attemptTimeout > float64(100*ms); raised != c.raised {
			t.Errorf("error after %v: raised = %v", c.latency, raised)
		}
	}
}

// A balancer that sees a few calls a second learns of the end of a slow spell within
// some tens of them. Guards against an allowance that comes down by a thousandth with
// each: for minutes it fits no call's time, and calls that take a tenth of it are turned
// away unsent.
func TestAttemptTimeoutRecoversAtLowTraffic(t *testing.T) {
	const usual, slow, budget = 100 * ms, 900 * ms, 3000 * ms
	c := class{Class: Class{Deadline: 3000 * ms}}
	c.observeBudget(budget, false)
	for i := range 60 {
		c.observeLatency(float64(usual) * (0.5 + float64(i%11)/10))
	}
	for range 15 {
		c.observeLatency(float64(slow))
		c.observeLatency(c.attemptTimeout) // one that timed out
	}
	if c.attemptTimeout < float64(slow) {
		t.Fatalf("allowance %v did not follow the slow spell", time.Duration(c.attemptTimeout))
	}
	for i := range 60 {
		c.observeLatency(float64(usual) * (0.5 + float64(i%11)/10))
	}
	if c.attemptTimeout > initialAttemptTimeoutShare*float64(budget) { // two attempts fit
		t.Errorf("60 calls after the spell the allowance is %v", time.Duration(c.attemptTimeout))
	}
	if c.attemptTimeout < float64(3*usual) { // nor does it sink to where usual calls time out
		t.Errorf("allowance %v", time.Duration(c.attemptTimeout))
	}
}

// Guards against an allowance grown past every budget: it must come down again.
func TestExcessiveAttemptTimeoutRecovers(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 1))
	b.setAttemptTimeout(idempotent, 1900*ms)
	for i := range 2000 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 500 * ms})
		if len(f.sends) > 0 {
			return
		}
	}
	t.Error("nothing was ever sent again")
}

// Calls of a lower tier come with what is left of their requests' time: most with the time
// of a first attempt above, some with that of a last one, which is far more. Guards against
// the few that raise the allowance's ceiling past all others: after a slow spell these would
// be turned away unsent for as long as a thin traffic takes to bring the allowance down.
func TestAttemptTimeoutCeilingWithMixedBudgets(t *testing.T) {
	set := testSettings()
	set.Tier = 1
	b, f := startBalancer(set, zoneEntries("b", 4)...)
	const usual, large = 600 * ms, 2000 * ms
	now := Time(0)
	for i := range 60 {
		id, budget := fmt.Sprint("r", i), usual
		if i%3 == 2 {
			budget = large
		}
		now += 100 * ms
		before := len(f.sends)
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: budget})
		if len(f.sends) > before { // all are late
			b.AttemptDone(now, Outcome{Request: id, Result: TimedOut, Latency: budget, Final: true})
		}
	}
	before := len(f.sends)
	b.StartRequest(now, Request{ID: "after", Class: idempotent, Budget: usual})
	if len(f.sends) == before {
		t.Errorf("turned away: an allowance of %v in %v",
			time.Duration(b.classes[idempotent].attemptTimeout), usual)
	}
	if a := b.classes[idempotent].attemptTimeout; a < float64(usual)/2 {
		t.Errorf("allowance %v: late ones don't count", time.Duration(a))
	}
}

// Guards against allowances that start so short that each of many balancers must
// learn by a dozen time-outs. Two attempts and a backoff must fit all the same.
func TestInitialAttemptTimeout(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.retryTokens = 1
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 1000 * ms})
	first := f.last(t).timeout
	if first < 300*ms {
		t.Errorf("the first attempt with 1 s left may take %v", first)
	}
	b.AttemptDone(first, Outcome{Request: "r", Result: TimedOut, Latency: first})
	if _, wait := f.takeTimer(t); first+wait > 600*ms {
		t.Errorf("no time left for a second attempt after %v and a wait of %v", first, wait)
	}
}

// Guards against a mean latency that starts at the first allowance: with a few
// requests a second it comes down in minutes, and until then all look fast.
func TestMeanLatencyStartsFromAnswers(t *testing.T) {
	b, _ := startBalancer(testSettings(), zoneEntries("b", 4)...)
	for i := range 3 {
		id := fmt.Sprint("r", i)
		b.StartRequest(Time(i)*1000*ms, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(Time(i)*1000*ms+40*ms, Outcome{Request: id, Result: OK, Latency: 40 * ms, Final: true})
	}
	if meanLatency := time.Duration(b.classes[idempotent].meanLatency); meanLatency > 45*ms {
		t.Errorf("after three answers in 40 ms the mean latency is %v", meanLatency)
	}
}
