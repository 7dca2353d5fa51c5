package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// This file drives the module through long seeded sequences of legal events and
// checks after each step what one balancer can see of the four rules.

// world is a fake that plays backends and checks every action.
type randomWorld struct {
	rng      *rand.Rand
	settings Settings
	balancer *Balancer
	now      Time
	open     map[string]*openRequest
	ids      []string // of open requests and of those with attempts out, in order
	backends map[string]Backend
	timers   []pendingTimer
	fault    error
	serial   int
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
	mayRun  bool // while out, and after any outcome that proves nothing
}

type pendingTimer struct {
	token uint64
	at    Time
}

func (w *randomWorld) failf(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf("at %v: %w", w.now, fmt.Errorf(format, args...))
	}
}

func (w *randomWorld) Send(request, backend string, timeout time.Duration) {
	q, to := w.open[request], w.backends[backend]

	switch {
	case q == nil:
		w.failf("%s: sent, but it is over", request)
		return
	case q.answered:
		w.failf("%s: sent after its answer", request)
	case to.ID == "" || to.State != Up:
		w.failf("%s: sent to %s, which drains or is gone", request, backend)
	case len(q.attempts) >= w.settings.MaxAttempts:
		w.failf("%s: more attempts than allowed", request)
	case timeout <= 0 || w.now+timeout > q.deadline:
		w.failf("%s: time-out %v passes the deadline", request, timeout)
	}
	c := w.settings.Classes[q.class]
	for _, t := range q.attempts {
		if !t.done {
			w.failf("%s: two attempts out together", request)
		}
		if !t.mayRun {
			continue
		}
		same := c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && t.backend.Zone == to.Zone ||
			c.DedupScope == ScopeCell && t.backend.Cell == to.Cell
		switch {
		case c.Idempotency == NonIdempotent:
			w.failf("%s: unsafe, sent again after it may have run", request)
		case c.Idempotency == Deduplicated && !same:
			w.failf("%s: keyed, sent from %s to %s outside its group", request, t.backend.ID, to.ID)
		case c.Idempotency == Deduplicated && w.now-t.sentAt > c.DedupWindow:
			w.failf("%s: keyed, sent again after it was forgotten", request)
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
			w.failf("%s: refused, though it may have run", request)
		}
	}
	if retryAfter < 0 || retryAfter > w.settings.MaxRetryAfter {
		w.failf("%s: come back after %v", request, retryAfter)
	}
}

func (w *randomWorld) Fail(request string, _ Cause) { w.answer(request) }

func (w *randomWorld) answer(request string) *openRequest {
	q := w.open[request]
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
	q := w.open[request]
	if !w.settings.CancelAbandoned || q == nil || attempt < 0 || attempt >= len(q.attempts) ||
		q.attempts[attempt].done {
		w.failf("%s: attempt %d cancelled, which is not out", request, attempt)
	}
}

// step lets some time pass and one thing happen.
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
	w.open[id] = &openRequest{class: class, deadline: w.now + budget}
	w.ids = append(w.ids, id)
	retry := w.settings.UnevenTraffic && w.rng.IntN(4) == 0
	w.balancer.StartRequest(w.now, Request{ID: id, Class: class, Budget: budget, ClientRetry: retry})
}

// due fires wakes and time-outs whose time has come, in order.
func (w *randomWorld) fireTimers() {
	for i := 0; i < len(w.timers); i++ {
		if p := w.timers[i]; p.at <= w.now {
			w.timers = append(w.timers[:i], w.timers[i+1:]...)
			i--
			w.balancer.TimerFired(w.now, p.token)
		}
	}
	for _, id := range append([]string(nil), w.ids...) {
		for n, t := range w.open[id].attempts {
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
	for n, t := range w.open[id].attempts {
		if !t.done {
			w.finish(id, n, Result(w.rng.IntN(int(NotSent)+1)))
			return
		}
	}
}

func (w *randomWorld) finish(id string, n int, r Result) {
	q := w.open[id]
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
	if q := w.open[id]; !q.answered {
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
	for i := range 12 { // a full list names what is not removed
		if l, ok := w.backends[fmt.Sprint("b", i)]; ok && l.State != Removed {
			entries = append(entries, l)
		}
	}
	w.balancer.UpdateList(w.now, true, entries)
}

// check looks at what must hold between events.
func (w *randomWorld) check() {
	kept := w.ids[:0]
	for _, id := range w.ids {
		q := w.open[id]
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
			delete(w.open, id)
			continue
		}
		kept = append(kept, id)
	}
	w.ids = kept
	if len(w.balancer.requests) > len(w.ids) {
		w.failf("the module holds %d requests, %d are open", len(w.balancer.requests), len(w.ids))
	}
	if len(w.balancer.backends) > 12 || len(w.balancer.backoffTimers) > len(w.ids) {
		w.failf("the module remembers %d backends and %d waits",
			len(w.balancer.backends), len(w.balancer.backoffTimers))
	}
}

// play runs a world; spoil may break the module, to show that checks catch it.
func runRandomEvents(seed uint64, steps int, breakBalancer func(*Balancer)) error {
	set := testSettings()
	set.Seed, set.BalancerCount = seed, []int{1, 3, 30, 400}[seed/2%4] // in either tier
	set.BalancerIndex = int(seed % uint64(set.BalancerCount))
	set.Tier = int(seed % 2)
	for i := range set.Classes {
		set.Classes[i].DedupWindow = 200 * ms // short enough to run out between attempts
	}
	set.UnevenTraffic, set.CancelAbandoned, set.EqualClasses = seed%4 > 1, seed%8 > 3, seed%5 > 2
	w := &randomWorld{
		rng: rand.New(rand.NewPCG(seed, 1)), settings: set,
		open: map[string]*openRequest{}, backends: map[string]Backend{},
	}
	w.balancer = New(0, set, w)
	if breakBalancer != nil {
		breakBalancer(w.balancer)
	}
	for range 6 {
		w.changeList()
	}
	for i := 0; i < steps && w.fault == nil; i++ {
		w.step()
	}
	return w.fault
}

func TestRulesHoldThroughRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		if err := runRandomEvents(seed, 3000, nil); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Each check must be able to fail: a module told wrong things breaks the rules.
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
		name  string
		spoil func(*Balancer)
	}{
		{"unsafe taken for safe", classes(func(c *Class) { c.Idempotency = Idempotent })},
		{"zones taken for all", classes(func(c *Class) { c.DedupScope = ScopeAll })},
		{"memory taken for longer", classes(func(c *Class) { c.DedupWindow = time.Hour })},
		{"more attempts than allowed", func(b *Balancer) { b.settings.MaxAttempts = 50 }},
		{"come-back times too long", func(b *Balancer) { b.settings.MaxRetryAfter = time.Hour }},
	} {
		caught := false
		for seed := uint64(0); seed < 200 && !caught; seed++ {
			caught = runRandomEvents(seed, 3000, c.spoil) != nil
		}
		if !caught {
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

// What is kept for a request, a wait or a backend goes with it: after thousands of
// each, with every end that there is, nothing of them is left.
func TestChurnLeavesNoState(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	rng := rand.New(rand.NewPCG(11, 0))
	now, next := Time(0), 4
	names := []string{"b0", "b1", "b2", "b3"}
	for i := range 20000 {
		now += Time(rng.IntN(20)) * ms
		id := fmt.Sprint("r", i)
		b.StartRequest(now, Request{ID: id, Class: rng.IntN(5), Budget: 2000 * ms})
		for n := 0; len(f.answers[id]) == 0; n++ {
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
		if i%5 == 0 { // another one in the place of the oldest
			gone := entry("b", 0)
			gone.ID, gone.State = names[0], Removed
			come := entry("b", next)
			come.StartedAt = now
			b.UpdateList(now, false, []Backend{gone, come})
			names = append(names[1:], come.ID)
			next++
		}
	}
	if len(b.requests) != 0 || len(b.backoffTimers) != 0 {
		t.Errorf("%d requests and %d waits are kept", len(b.requests), len(b.backoffTimers))
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
