// Tests of the attempt timeout.

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
		t.Errorf("initial attempt timeout %v", time.Duration(c.attemptTimeout))
	}
	for i := range 20000 { // latencies spread evenly over 0 to 100 ms
		c.observeLatency(float64(i*37%100) * float64(ms))
	}
	if c.attemptTimeout < float64(85*ms) || c.attemptTimeout > float64(130*ms) {
		t.Errorf("attempt timeout %v, want near the high percentile of 98 ms",
			time.Duration(c.attemptTimeout))
	}
	c.usualBudget = float64(1000 * ms)
	for range 20 { // timeouts count as the attempt timeout and raise it
		c.observeLatency(c.attemptTimeout)
	}
	if c.attemptTimeout < float64(300*ms) {
		t.Errorf("attempt timeout %v did not follow the timeouts", time.Duration(c.attemptTimeout))
	}
	for range 100 { // but not above what usual time budgets can hold
		c.observeLatency(c.attemptTimeout)
	}
	if c.attemptTimeout != maxAttemptTimeoutShare*c.usualBudget {
		t.Errorf("attempt timeout %v, want its ceiling", time.Duration(c.attemptTimeout))
	}
	for range 100000 {
		c.observeLatency(0)
	}
	if c.attemptTimeout != minAttemptTimeoutShare*float64(c.Deadline) {
		t.Errorf("attempt timeout %v, want its floor", time.Duration(c.attemptTimeout))
	}
}

// Prevents a spiral: the lower tier refuses calls that run late, and an attempt timeout that learns only
// from quick answers shrinks with each refusal.
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

// A balancer with a few calls a second adapts to the end of a slow period within some tens of calls.
// Without this the attempt timeout comes down by a thousandth with each call: for minutes it would exceed
// every call's time left, and calls that take a tenth of it would be refused unsent.
func TestAttemptTimeoutRecoversAtLowTraffic(t *testing.T) {
	const usual, slow, budget = 100 * ms, 900 * ms, 3000 * ms
	c := class{Class: Class{Deadline: 3000 * ms}}
	c.observeBudget(budget, false)
	for i := range 60 {
		c.observeLatency(float64(usual) * (0.5 + float64(i%11)/10))
	}
	for range 15 {
		c.observeLatency(float64(slow))
		c.observeLatency(c.attemptTimeout) // an attempt that timed out
	}
	if c.attemptTimeout < float64(slow) {
		t.Fatalf("attempt timeout %v did not follow the slow period", time.Duration(c.attemptTimeout))
	}
	for i := range 60 {
		c.observeLatency(float64(usual) * (0.5 + float64(i%11)/10))
	}
	if c.attemptTimeout > initialAttemptTimeoutShare*float64(budget) { // two attempts fit
		t.Errorf("60 calls after the slow period the attempt timeout is %v", time.Duration(c.attemptTimeout))
	}
	if c.attemptTimeout < float64(3*usual) { // nor does it fall so low that usual calls time out
		t.Errorf("attempt timeout %v", time.Duration(c.attemptTimeout))
	}
}

// Prevents an attempt timeout that has grown beyond every time budget from staying there.
func TestExcessiveAttemptTimeoutRecovers(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 1))
	b.setAttemptTimeout(idempotent, 1900*ms)
	for i := range 2000 {
		b.StartRequest(0, Request{ID: fmt.Sprint("r", i), Class: idempotent, Budget: 500 * ms})
		if len(rec.sends) > 0 {
			return
		}
	}
	t.Error("no request was ever sent again")
}

// Calls to a lower tier have the time left of their requests: most that of a first attempt in the tier
// above, some the far longer time of a last attempt. Prevents these few from raising the ceiling of the
// attempt timeout past all others: after a slow period the others would be refused unsent for as long as
// a balancer with little traffic takes to lower the attempt timeout.
func TestAttemptTimeoutCeilingWithMixedBudgets(t *testing.T) {
	set := testSettings()
	set.Tier = 1
	b, rec := startBalancer(set, zoneEntries("b", 4)...)
	const usual, large = 600 * ms, 2000 * ms
	now := Time(0)
	for i := range 60 {
		id, budget := fmt.Sprint("r", i), usual
		if i%3 == 2 {
			budget = large
		}
		now += 100 * ms
		before := len(rec.sends)
		b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: budget})
		if len(rec.sends) > before { // all time out
			b.AttemptDone(now, Outcome{Request: id, Result: TimedOut, Latency: budget, Final: true})
		}
	}
	before := len(rec.sends)
	b.StartRequest(now, Request{ID: "after", Class: idempotent, Budget: usual})
	if len(rec.sends) == before {
		t.Errorf("refused: an attempt timeout of %v, a time budget of %v",
			time.Duration(b.classes[idempotent].attemptTimeout), usual)
	}
	if a := b.classes[idempotent].attemptTimeout; a < float64(usual)/2 {
		t.Errorf("attempt timeout %v: timeouts don't count", time.Duration(a))
	}
}

// Prevents initial attempt timeouts so short that each of many balancers first has to see a dozen
// timeouts. Two attempts and a backoff must still fit.
func TestInitialAttemptTimeout(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.retryTokens = 1
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 1000 * ms})
	first := rec.last(t).timeout
	if first < 300*ms {
		t.Errorf("the first attempt with 1 s left may take %v", first)
	}
	b.AttemptDone(first, Outcome{Request: "r", Result: TimedOut, Latency: first})
	if _, wait := rec.takeTimer(t); first+wait > 600*ms {
		t.Errorf("no time left for a second attempt after %v and a wait of %v", first, wait)
	}
}

// Prevents a mean latency that starts at the initial attempt timeout: with a few requests a second it
// would take minutes to come down, and until then all backends would look fast.
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
