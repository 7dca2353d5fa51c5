// What the tests of the module share: recorded actions, settings, backends.

package logic

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// answer is a final answer given through the fake.
type answer struct {
	refused    bool
	retryAfter time.Duration
}

type sent struct {
	request, backend string
	timeout          time.Duration
}

// fake is Actions that remembers.
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

func (f *recorder) Send(request, backend string, timeout time.Duration) {
	f.sends = append(f.sends, sent{request, backend, timeout})
}

func (f *recorder) Refuse(request string, retryAfter time.Duration, _ Cause) {
	f.answers[request] = append(f.answers[request], answer{true, retryAfter})
}

func (f *recorder) Fail(request string, _ Cause) {
	f.answers[request] = append(f.answers[request], answer{})
}

func (f *recorder) StartTimer(token uint64, after time.Duration) { f.timers[token] = after }

func (f *recorder) CloseIdle(backend string) { f.closed++ }

func (f *recorder) Cancel(request string, attempt int) {
	f.cancels = append(f.cancels, fmt.Sprint(request, " ", attempt))
}

// last is the newest send.
func (f *recorder) last(t *testing.T) sent {
	t.Helper()
	if len(f.sends) == 0 {
		t.Fatal("nothing sent")
	}
	return f.sends[len(f.sends)-1]
}

// wait takes the one wake.
func (f *recorder) takeTimer(t *testing.T) (uint64, time.Duration) {
	t.Helper()
	for token, after := range f.timers {
		delete(f.timers, token)
		return token, after
	}
	t.Fatal("no wake asked for")
	return 0, 0
}

func testSettings() Settings {
	class := func(name string, r Idempotency, s DedupScope, value float64) Class {
		return Class{Name: name, TargetLatency: 500 * ms, Deadline: 2000 * ms, Value: value, Idempotency: r,
			DedupScope:  s,
			DedupWindow: 1000 * ms}
	}
	return Settings{
		Seed: 7, Zone: "b", Zones: []string{"a", "b", "c"},
		Classes: []Class{
			class("safe", Idempotent, ScopeAll, 10), class("keyed", Deduplicated, ScopeAll, 1),
			class("keyed in zone", Deduplicated, ScopeZone, 1), class("keyed in cell", Deduplicated,
				ScopeCell, 1),
			class("unsafe", NonIdempotent, ScopeAll, 1),
		},
		MaxAttempts: 3, MaxRetryAfter: 100 * ms,
		InitialWarmUpFraction: 0.1, WarmUpTime: 10000 * ms,
	}
}

const idempotent, deduplicated, dedupInZone, dedupInCell, nonIdempotent = 0, 1, 2, 3, 4

// oneOfMany is the n-th of many balancers of a lower tier with one zone.
func oneOfMany(n, balancers int) Settings {
	set := testSettings()
	set.BalancerIndex, set.Seed, set.Tier, set.BalancerCount, set.Zones = n, uint64(n), 1, balancers,
		[]string{"b"}
	return set
}

// allow sets a class's allowance, as if learned from requests with long budgets.
func (b *Balancer) setAttemptTimeout(class int, d time.Duration) {
	b.classes[class].observeBudget(2000*ms, false)
	b.classes[class].attemptTimeout = float64(d)
}

// line is a backend in a zone; its cell is that of its number.
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

// start is a balancer at time 0 with the given backends.
func startBalancer(settings Settings, entries ...Backend) (*Balancer, *recorder) {
	f := newRecorder()
	b := New(0, settings, f)
	b.UpdateList(0, true, entries)
	return b, f
}

// withOpen makes n calls, one a millisecond, of which as many as open are in flight, and
// returns where they went. None may be refused.
func (b *Balancer) runWithInFlight(t *testing.T, f *recorder, n, inFlight int) (to []string) {
	t.Helper()
	for i := range n {
		b.StartRequest(Time(i)*ms, Request{ID: fmt.Sprint(i), Class: nonIdempotent, Budget: 2000 * ms})
		if len(f.answers) > 0 {
			t.Fatal("refused")
		}
		to = append(to, f.last(t).backend)
		if i >= inFlight {
			o := Outcome{Request: fmt.Sprint(i - inFlight), Result: OK, Latency: Time(inFlight) * ms,
				Final: true}
			b.AttemptDone(Time(i)*ms, o)
		}
	}
	return to
}

// setLimit sets the limit on calls in flight for each unit of size.
func (b *Balancer) setLimit(calls float64) { b.limitMultiplier = calls / b.baseLimit }

func (f *recorder) onlyAnswer(t *testing.T, id string) answer {
	t.Helper()
	if len(f.answers[id]) != 1 {
		t.Fatalf("%s has %d answers, want 1", id, len(f.answers[id]))
	}
	return f.answers[id][0]
}
