// Helpers for the tests of the package: recorded actions, settings, backends.

package logic

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// answer is a final answer that the recorder received.
type answer struct {
	refused    bool
	retryAfter time.Duration
}

type sent struct {
	request, backend string
	timeout          time.Duration
}

// recorder implements Actions and records what is asked for.
type recorder struct {
	sends   []sent
	answers map[string][]answer
	timers  map[uint64]time.Duration
	closed  int
	cancels []string
}

func newRecorder() *recorder {
	return &recorder{answers: map[string][]answer{}, timers: map[uint64]time.Duration{}}
}

func (rec *recorder) Send(request, backend string, timeout time.Duration) {
	rec.sends = append(rec.sends, sent{request, backend, timeout})
}

func (rec *recorder) Refuse(request string, retryAfter time.Duration, _ Cause) {
	rec.answers[request] = append(rec.answers[request], answer{true, retryAfter})
}

func (rec *recorder) Fail(request string, _ Cause) {
	rec.answers[request] = append(rec.answers[request], answer{})
}

func (rec *recorder) StartTimer(token uint64, after time.Duration) { rec.timers[token] = after }

func (rec *recorder) CloseIdle(backend string) { rec.closed++ }

func (rec *recorder) Cancel(request string, attempt int) {
	rec.cancels = append(rec.cancels, fmt.Sprint(request, " ", attempt))
}

// last returns the newest send.
func (rec *recorder) last(t *testing.T) sent {
	t.Helper()
	if len(rec.sends) == 0 {
		t.Fatal("nothing sent")
	}
	return rec.sends[len(rec.sends)-1]
}

// takeTimer removes and returns the only timer.
func (rec *recorder) takeTimer(t *testing.T) (uint64, time.Duration) {
	t.Helper()
	for token, after := range rec.timers {
		delete(rec.timers, token)
		return token, after
	}
	t.Fatal("no timer started")
	return 0, 0
}

func testSettings() Settings {
	class := func(name string, r Idempotency, s DedupScope, value float64) Class {
		return Class{Name: name, TargetLatency: 500 * ms, Deadline: 2000 * ms, Value: value,
			Idempotency: r, DedupScope: s, DedupWindow: 1000 * ms}
	}
	return Settings{
		Seed: 7, Zone: "b", Zones: []string{"a", "b", "c"},
		Classes: []Class{
			class("idempotent", Idempotent, ScopeAll, 10), class("deduplicated", Deduplicated, ScopeAll, 1),
			class("deduplicated in zone", Deduplicated, ScopeZone, 1),
			class("deduplicated in cell", Deduplicated, ScopeCell, 1),
			class("non-idempotent", NonIdempotent, ScopeAll, 1),
		},
		MaxAttempts: 3, MaxRetryAfter: 100 * ms,
		InitialWarmUpFraction: 0.1, WarmUpTime: 10000 * ms,
	}
}

const idempotent, deduplicated, dedupInZone, dedupInCell, nonIdempotent = 0, 1, 2, 3, 4

// oneOfMany returns settings of the n-th of many balancers of a lower tier with one zone.
func oneOfMany(n, balancers int) Settings {
	set := testSettings()
	set.BalancerIndex, set.Seed, set.Tier, set.BalancerCount, set.Zones =
		n, uint64(n), 1, balancers, []string{"b"}
	return set
}

// setAttemptTimeout sets a class's attempt timeout as if learned from requests with long time budgets.
func (b *Balancer) setAttemptTimeout(class int, d time.Duration) {
	b.classes[class].observeBudget(2000*ms, false)
	b.classes[class].attemptTimeout = float64(d)
}

// entry returns a list entry of a backend; its cell is its number.
func entry(zone string, n int) Backend {
	return Backend{ID: fmt.Sprintf("%s%d", zone, n), Zone: zone, Cell: n, Capacity: 1}
}

func zoneEntries(zone string, n int) []Backend {
	var entries []Backend
	for i := range n {
		entries = append(entries, entry(zone, i))
	}
	return entries
}

// startBalancer returns a balancer at time 0 with the given backends.
func startBalancer(settings Settings, entries ...Backend) (*Balancer, *recorder) {
	rec := newRecorder()
	b := New(0, settings, rec)
	b.UpdateList(0, true, entries)
	return b, rec
}

// runWithInFlight makes n calls, one each millisecond, keeps the given number of them in flight, and
// returns the backends they went to. None may be refused.
func (b *Balancer) runWithInFlight(t *testing.T, rec *recorder, n, inFlight int) (to []string) {
	t.Helper()
	for i := range n {
		b.StartRequest(Time(i)*ms, Request{ID: fmt.Sprint(i), Class: nonIdempotent, Budget: 2000 * ms})
		if len(rec.answers) > 0 {
			t.Fatal("refused")
		}
		to = append(to, rec.last(t).backend)
		if i >= inFlight {
			o := Outcome{Request: fmt.Sprint(i - inFlight), Result: OK, Latency: Time(inFlight) * ms,
				Final: true}
			b.AttemptDone(Time(i)*ms, o)
		}
	}
	return to
}

// setLimit sets the limit on calls in flight for each unit of capacity.
func (b *Balancer) setLimit(calls float64) { b.limitMultiplier = calls / b.baseLimit }

func (rec *recorder) onlyAnswer(t *testing.T, id string) answer {
	t.Helper()
	if len(rec.answers[id]) != 1 {
		t.Fatalf("%s has %d answers, want 1", id, len(rec.answers[id]))
	}
	return rec.answers[id][0]
}
