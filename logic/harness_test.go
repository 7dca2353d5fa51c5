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
	refused  bool
	comeBack time.Duration
}

type sent struct {
	request, backend string
	timeout          time.Duration
}

// fake is Actions that remembers.
type fake struct {
	sends   []sent
	answers map[string][]answer
	wakes   map[uint64]time.Duration
	closed  int
	cancels []string
}

func newFake() *fake {
	return &fake{answers: map[string][]answer{}, wakes: map[uint64]time.Duration{}}
}

func (f *fake) Send(request, backend string, timeout time.Duration) {
	f.sends = append(f.sends, sent{request, backend, timeout})
}

func (f *fake) Refuse(request string, comeBack time.Duration, _ Cause) {
	f.answers[request] = append(f.answers[request], answer{true, comeBack})
}

func (f *fake) Fail(request string, _ Cause) {
	f.answers[request] = append(f.answers[request], answer{})
}

func (f *fake) StartTimer(token uint64, after time.Duration) { f.wakes[token] = after }

func (f *fake) CloseIdle(backend string) { f.closed++ }

func (f *fake) Cancel(request string, attempt int) {
	f.cancels = append(f.cancels, fmt.Sprint(request, " ", attempt))
}

// last is the newest send.
func (f *fake) last(t *testing.T) sent {
	t.Helper()
	if len(f.sends) == 0 {
		t.Fatal("nothing sent")
	}
	return f.sends[len(f.sends)-1]
}

// wait takes the one wake.
func (f *fake) wait(t *testing.T) (uint64, time.Duration) {
	t.Helper()
	for token, after := range f.wakes {
		delete(f.wakes, token)
		return token, after
	}
	t.Fatal("no wake asked for")
	return 0, 0
}

func testSettings() Settings {
	class := func(name string, r Idempotency, s DedupScope, worth float64) Class {
		return Class{Name: name, TargetLatency: 500 * ms, Deadline: 2000 * ms, Value: worth, Idempotency: r,
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

const safe, keyed, keyedZone, keyedCell, unsafe = 0, 1, 2, 3, 4

// oneOfMany is the n-th of many balancers of a lower tier with one zone.
func oneOfMany(n, balancers int) Settings {
	set := testSettings()
	set.BalancerIndex, set.Seed, set.Tier, set.BalancerCount, set.Zones = n, uint64(n), 1, balancers,
		[]string{"b"}
	return set
}

// allow sets a class's allowance, as if learned from requests with long budgets.
func (b *Balancer) allow(class int, d time.Duration) {
	b.classes[class].observeBudget(2000*ms, false)
	b.classes[class].attemptTimeout = float64(d)
}

// line is a backend in a zone; its cell is that of its number.
func line(zone string, n int) Backend {
	return Backend{ID: fmt.Sprintf("%s%d", zone, n), Zone: zone, Cell: n, Capacity: 1}
}

func zoneLines(zone string, n int) []Backend {
	var lines []Backend
	for i := range n {
		lines = append(lines, line(zone, i))
	}
	return lines
}

// start is a balancer at time 0 with the given backends.
func start(set Settings, lines ...Backend) (*Balancer, *fake) {
	f := newFake()
	b := New(0, set, f)
	b.UpdateList(0, true, lines)
	return b, f
}

// withOpen makes n calls, one a millisecond, of which as many as open are in flight, and
// returns where they went. None may be refused.
func (b *Balancer) withOpen(t *testing.T, f *fake, n, open int) (to []string) {
	t.Helper()
	for i := range n {
		b.StartRequest(Time(i)*ms, Request{ID: fmt.Sprint(i), Class: unsafe, Budget: 2000 * ms})
		if len(f.answers) > 0 {
			t.Fatal("refused")
		}
		to = append(to, f.last(t).backend)
		if i >= open {
			o := Outcome{Request: fmt.Sprint(i - open), Result: OK, Latency: Time(open) * ms, Final: true}
			b.AttemptDone(Time(i)*ms, o)
		}
	}
	return to
}

// setLimit sets the limit on calls in flight for each unit of size.
func (b *Balancer) setLimit(calls float64) { b.limitMultiplier = calls / b.baseLimit }

func (f *fake) one(t *testing.T, id string) answer {
	t.Helper()
	if len(f.answers[id]) != 1 {
		t.Fatalf("%s has %d answers, want 1", id, len(f.answers[id]))
	}
	return f.answers[id][0]
}
