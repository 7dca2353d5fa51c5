package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// These tests run the balancer through long seeded sequences of valid events. After each step they check
// those of its four basic rules that can be seen at one balancer: only backends in service get calls, no
// request is executed twice, attempts and timeouts stay within their limits, and each request has exactly
// one final answer.

// randomWorld implements Actions, simulates the backends and checks every action.
type randomWorld struct {
	rng          *rand.Rand
	settings     Settings
	balancer     *Balancer
	now          Time
	openRequests map[string]*openRequest
	ids          []string // open requests and those with outstanding attempts, in order
	backends     map[string]Backend
	timers       []pendingTimer
	violation    error
	serial       int
}

type openRequest struct {
	class    int
	deadline Time
	answered bool
	attempts []*attemptState
}

type attemptState struct {
	backend Backend
	sentAt  Time
	timeout time.Duration
	done    bool
	mayRun  bool // true while outstanding, and after any outcome that doesn't prove the opposite
}

type pendingTimer struct {
	token uint64
	at    Time
}

func (w *randomWorld) failf(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("at %v: %w", w.now, fmt.Errorf(format, args...))
	}
}

func (w *randomWorld) Send(request, backend string, timeout time.Duration) {
	q, to := w.openRequests[request], w.backends[backend]

	switch {
	case q == nil:
		w.failf("%s: sent after its end", request)
		return
	case q.answered:
		w.failf("%s: sent after its answer", request)
	case to.ID == "" || to.State != Up:
		w.failf("%s: sent to %s, which is draining or removed", request, backend)
	case len(q.attempts) >= w.settings.MaxAttempts:
		w.failf("%s: more attempts than allowed", request)
	case timeout <= 0 || w.now+timeout > q.deadline:
		w.failf("%s: timeout %v exceeds the deadline", request, timeout)
	}
	c := w.settings.Classes[q.class]
	for _, t := range q.attempts {
		if !t.done {
			w.failf("%s: two attempts outstanding", request)
		}
		if !t.mayRun {
			continue
		}
		same := c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && t.backend.Zone == to.Zone ||
			c.DedupScope == ScopeCell && t.backend.Cell == to.Cell
		switch {
		case c.Idempotency == NonIdempotent:
			w.failf("%s: non-idempotent, sent again after it may have been executed", request)
		case c.Idempotency == Deduplicated && !same:
			w.failf("%s: deduplicated, sent from %s to %s outside its scope", request, t.backend.ID, to.ID)
		case c.Idempotency == Deduplicated && w.now-t.sentAt > c.DedupWindow:
			w.failf("%s: deduplicated, sent again after the deduplication window", request)
		}
	}
	q.attempts = append(q.attempts, &attemptState{backend: to, sentAt: w.now, timeout: timeout, mayRun: true})
}

func (w *randomWorld) Refuse(request string, retryAfter time.Duration, _ Cause) {
	q := w.answer(request)
	if q == nil {
		return
	}
	c := w.settings.Classes[q.class]
	for _, t := range q.attempts {
		if t.mayRun && (c.Idempotency == NonIdempotent ||
			c.Idempotency == Deduplicated && c.DedupScope != ScopeAll) {
			w.failf("%s: refused, though it may have been executed", request)
		}
	}
	if retryAfter < 0 || retryAfter > w.settings.MaxRetryAfter {
		w.failf("%s: retry after %v", request, retryAfter)
	}
}

func (w *randomWorld) Fail(request string, _ Cause) { w.answer(request) }

func (w *randomWorld) answer(request string) *openRequest {
	q := w.openRequests[request]
	if q == nil || q.answered {
		w.failf("%s: a second answer", request)
		return nil
	}
	q.answered = true
	return q
}

func (w *randomWorld) StartTimer(token uint64, after time.Duration) {
	w.timers = append(w.timers, pendingTimer{token, w.now + after})
}

func (w *randomWorld) CloseIdle(string) {}

func (w *randomWorld) Cancel(request string, attempt int) {
	q := w.openRequests[request]
	if !w.settings.CancelAbandoned || q == nil || attempt < 0 || attempt >= len(q.attempts) ||
		q.attempts[attempt].done {
		w.failf("%s: attempt %d cancelled, which is not outstanding", request, attempt)
	}
}

// step advances time and makes one random event happen.
func (w *randomWorld) step() {
	w.now += time.Duration(w.rng.IntN(int(8 * ms)))
	w.fireTimers()
	switch w.rng.IntN(12) {
	case 0:
		w.changeList()
	case 1:
		w.disconnectClient()
	case 2, 3, 4, 5:
		w.startRequest()
	default:
		w.finishOne()
	}
	w.check()
}

func (w *randomWorld) startRequest() {
	w.serial++
	id := fmt.Sprint("r", w.serial)
	budget := time.Duration(w.rng.IntN(int(2000 * ms)))
	if w.rng.IntN(20) == 0 {
		budget = 0
	}
	class := w.rng.IntN(len(w.settings.Classes))
	w.openRequests[id] = &openRequest{class: class, deadline: w.now + budget}
	w.ids = append(w.ids, id)
	retry := w.settings.UnevenTraffic && w.rng.IntN(4) == 0
	w.balancer.StartRequest(w.now, Request{ID: id, Class: class, Budget: budget, ClientRetry: retry})
}

// fireTimers fires timers and timeouts that are due, in order.
func (w *randomWorld) fireTimers() {
	for i := 0; i < len(w.timers); i++ {
		if p := w.timers[i]; p.at <= w.now {
			w.timers = append(w.timers[:i], w.timers[i+1:]...)
			i--
			w.balancer.TimerFired(w.now, p.token)
		}
	}
	for _, id := range append([]string(nil), w.ids...) {
		for n, t := range w.openRequests[id].attempts {
			if !t.done && w.now >= t.sentAt+t.timeout {
				w.finish(id, n, TimedOut)
			}
		}
	}
}

func (w *randomWorld) finishOne() {
	if len(w.ids) == 0 {
		return
	}
	id := w.ids[w.rng.IntN(len(w.ids))]
	for n, t := range w.openRequests[id].attempts {
		if !t.done {
			w.finish(id, n, Result(w.rng.IntN(int(NotSent)+1)))
			return
		}
	}
}

func (w *randomWorld) finish(id string, n int, r Result) {
	q := w.openRequests[id]
	t := q.attempts[n]
	t.done = true
	t.mayRun = r != Rejected && r != ConnectFailed && r != NotSent
	final := q.answered || r == OK
	q.answered = final
	w.balancer.AttemptDone(w.now, Outcome{Request: id, Attempt: n, Result: r, Latency: w.now - t.sentAt,
		Final: final})
}

func (w *randomWorld) disconnectClient() {
	if len(w.ids) == 0 {
		return
	}
	id := w.ids[w.rng.IntN(len(w.ids))]
	if q := w.openRequests[id]; !q.answered {
		q.answered = true
		w.balancer.ClientGone(w.now, id)
	}
}

func (w *randomWorld) changeList() {
	id := fmt.Sprint("b", w.rng.IntN(12))
	l, known := w.backends[id]
	if !known || l.State == Removed {
		n := w.rng.IntN(3)
		l = Backend{ID: id, Zone: string(rune('a' + n)), Cell: w.rng.IntN(4), Capacity: 1, StartedAt: w.now}
	} else {
		l.State = State(w.rng.IntN(3))
	}
	w.backends[id] = l
	if w.rng.IntN(4) > 0 {
		w.balancer.UpdateList(w.now, false, []Backend{l})
		return
	}
	var entries []Backend
	for i := range 12 { // a full list has all entries that are not removed
		if l, ok := w.backends[fmt.Sprint("b", i)]; ok && l.State != Removed {
			entries = append(entries, l)
		}
	}
	w.balancer.UpdateList(w.now, true, entries)
}

// check verifies what must hold between events.
func (w *randomWorld) check() {
	kept := w.ids[:0]
	for _, id := range w.ids {
		q := w.openRequests[id]
		out := 0
		for _, t := range q.attempts {
			if !t.done {
				out++
			}
		}
		if !q.answered && w.now > q.deadline {
			w.failf("%s: unanswered past its deadline", id)
		}
		if q.answered && out == 0 {
			delete(w.openRequests, id)
			continue
		}
		kept = append(kept, id)
	}
	w.ids = kept
	if len(w.balancer.requests) > len(w.ids) {
		w.failf("the balancer keeps %d requests, %d are open", len(w.balancer.requests), len(w.ids))
	}
	if len(w.balancer.backends) > 12 || len(w.balancer.backoffTimers) > len(w.ids) {
		w.failf("the balancer keeps %d backends and %d timers",
			len(w.balancer.backends), len(w.balancer.backoffTimers))
	}
}

// runRandomEvents runs a simulation; breakBalancer may break the balancer to show that the checks detect
// it.
func runRandomEvents(seed uint64, steps int, breakBalancer func(*Balancer)) error {
	set := testSettings()
	set.Seed, set.BalancerCount = seed, []int{1, 3, 30, 400}[seed/2%4] // in either tier
	set.BalancerIndex = int(seed % uint64(set.BalancerCount))
	set.Tier = int(seed % 2)
	for i := range set.Classes {
		set.Classes[i].DedupWindow = 200 * ms // short enough to expire between attempts
	}
	set.UnevenTraffic, set.CancelAbandoned, set.EqualClasses = seed%4 > 1, seed%8 > 3, seed%5 > 2
	w := &randomWorld{
		rng: rand.New(rand.NewPCG(seed, 1)), settings: set,
		openRequests: map[string]*openRequest{}, backends: map[string]Backend{},
	}
	w.balancer = New(0, set, w)
	if breakBalancer != nil {
		breakBalancer(w.balancer)
	}
	for range 6 {
		w.changeList()
	}
	for i := 0; i < steps && w.violation == nil; i++ {
		w.step()
	}
	return w.violation
}

func TestRulesHoldThroughRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		if err := runRandomEvents(seed, 3000, nil); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Each check must be able to fail: a balancer with wrong settings violates the rules.
func TestRuleChecksDetectViolations(t *testing.T) {
	classes := func(change func(*Class)) func(*Balancer) {
		return func(b *Balancer) {
			b.settings.Classes = append([]Class(nil), b.settings.Classes...)
			for i := range b.classes {
				change(&b.classes[i].Class)
			}
		}
	}
	for _, c := range []struct {
		name          string
		breakBalancer func(*Balancer)
	}{
		{"non-idempotent taken for idempotent", classes(func(c *Class) { c.Idempotency = Idempotent })},
		{"zone scope taken for all backends", classes(func(c *Class) { c.DedupScope = ScopeAll })},
		{"longer deduplication window", classes(func(c *Class) { c.DedupWindow = time.Hour })},
		{"more attempts than allowed", func(b *Balancer) { b.settings.MaxAttempts = 50 }},
		{"retry-after times too long", func(b *Balancer) { b.settings.MaxRetryAfter = time.Hour }},
	} {
		detected := false
		for seed := uint64(0); seed < 200 && !detected; seed++ {
			detected = runRandomEvents(seed, 3000, c.breakBalancer) != nil
		}
		if !detected {
			t.Errorf("%s: no check fails", c.name)
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		if err := runRandomEvents(seed, 500, nil); err != nil {
			t.Error(err)
		}
	})
}

// State kept for a request, timer or backend is released with it: nothing is left after thousands of
// each, with every kind of outcome.
func TestChurnLeavesNoState(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	rng := rand.New(rand.NewPCG(11, 0))
	now, next := Time(0), 4
	names := []string{"b0", "b1", "b2", "b3"}
	for i := range 20000 {
		now += Time(rng.IntN(20)) * ms
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: rng.IntN(5), Budget: 2000 * ms})
		for n := 0; len(rec.answers[id]) == 0; n++ {
			result := Result(rng.IntN(int(NotSent) + 1))
			if rng.IntN(4) > 0 {
				result = OK
			}
			if rng.IntN(10) == 0 {
				b.ClientGone(now, id)
			}
			final := result == OK || result == Cancelled
			b.AttemptDone(now+50*ms, Outcome{Request: id, Attempt: n, Result: result, Latency: 50 * ms,
				Final: final})
			if b.requests[id] == nil || b.requests[id].ended {
				break
			}
			if token := b.requests[id].timerToken; token != 0 {
				if rng.IntN(10) == 0 {
					b.ClientGone(now, id)
					break
				}
				b.TimerFired(now+60*ms, token)
			}
		}
		if i%5 == 0 { // another backend replaces the oldest
			removed := entry("b", 0)
			removed.ID, removed.State = names[0], Removed
			added := entry("b", next)
			added.StartedAt = now
			b.UpdateList(now, false, []Backend{removed, added})
			names = append(names[1:], added.ID)
			next++
		}
	}
	if len(b.requests) != 0 || len(b.backoffTimers) != 0 {
		t.Errorf("%d requests and %d timers are kept", len(b.requests), len(b.backoffTimers))
	}
	if len(b.backends) != 4 || len(b.listed) != 4 || len(b.zoneGroups[0].members) != 4 {
		t.Errorf("%d backends are kept, %d listed", len(b.backends), len(b.listed))
	}
	for _, m := range b.listed {
		if m.inFlight != 0 {
			t.Errorf("%s: %d in flight", m.ID, m.inFlight)
		}
	}
}
