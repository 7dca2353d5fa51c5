// The balancer and its events, in the order of a request's life. The interface is in api.go, the reasons are
// in docs/design.md. All constants of the module are ratios: none is a tuned time.

package logic

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const comeBackPart = 4 // divides its aim: what a refused client is told to wait

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	set      Settings
	act      Actions
	observer Observer      // nil: nobody observes
	lister   ListRequester // nil: lists come by themselves alone
	rng      *rand.Rand
	classes  []class
	backends map[string]*backend
	banned   map[string]bool // by hand, whatever the list says; they need not be in it
	listed   []*backend      // in the order of the groups
	all      summary         // of listed
	version  int             // of what summaries go by, but for calls in flight and the time
	size     float64         // of them all
	groups   []*group        // own zone first
	requests map[string]*request
	wakes    map[uint64]*request
	token    uint64
	fresh    ListFreshness
	doubts   bool          // a backend needs a list to be used
	patience time.Duration // first ejection

	open          float64 // the limit on calls in flight, as a multiple of the base
	base          float64 // this balancer's part of the calls, for each unit of size
	arrived       Time    // last first try of a client
	arrivals      float64 // of such
	between, need float64 // mean time between them, mean latency that the limit allows them
	arc           float64 // size within reach by own traffic; 0: where traffic is alike
	retryTokens   float64
	broken        float64 // share of recent outcomes
	lost          float64 // share of time-outs on connections that had been idle
	failing       float64 // share of outcomes, over longer
	lastCall      Time    // that was let in
	gap           float64 // mean time between such calls
	saved         float64 // calls that the limit left unused lately
	settled       Time    // when saved was reckoned
	hold          float64 // mean latency over all classes
}

type class struct {
	Class
	allowance float64
	cost      float64 // mean latency of an answer
	mean      float64 // the same with time-outs, counted at the allowance
	answers   float64
	rest      float64 // cost without a queue
	budget    float64 // usual one: few are less
}

type group struct {
	members []*backend
	all     summary    // of members
	near    summary    // whose mean a busy one is held to: those within reach, where traffic is unlike
	reached []*backend // those within reach
	turn    float64    // of the last one in rotation
	size    float64    // of them all
}

type backend struct {
	Backend
	inFlight int
	failures float64 // share of recent outcomes
	slowness float64 // recent latencies, as multiples of their classes' means
	heard    Time    // when slowness was last measured
	ejected  int     // ejections in a row; 0: in use
	trialAt  Time
	trialOut bool
	turn     float64 // when the next is, by the group's count
	group    *group
	part     float64 // of its size that is within this balancer's reach
	past     float64 // the reach, in rings: used in that order, so that not all learn all of a slow spell
	near     bool    // one of its group's near
	sent     Time    // last, or when it was first heard of
	spacing  float64 // what part of the spacing of cold calls must pass after that
	paused   Time    // full lately: until then
	used     Time    // last answer
	presence presence
	gone     bool // no longer listed
	back     Time // in again by hand, as a cold one: it was restarted meanwhile
}

type request struct {
	Request
	deadline     Time
	attempts     []attempt
	out          int
	token        uint64 // of the backoff under way
	ended, spent bool   // spent: a part of it has passed through, and is gone
}

type attempt struct {
	to            *backend
	sent          Time
	ended, notRun bool // notRun: proven
	lost          bool // no connection took it
	short         bool // it had less than the allowance
	trial, rested bool // rested: on a connection that had been idle
	load          int  // calls in flight that it counts for: none while its request is still on its way
}

// New returns a balancer that acts through act.
func New(now Time, set Settings, act Actions) *Balancer {
	b := &Balancer{
		set: set, act: act,
		rng:      rand.New(rand.NewPCG(set.Seed, 0)),
		backends: map[string]*backend{},
		banned:   map[string]bool{},
		requests: map[string]*request{},
		wakes:    map[uint64]*request{},
		lastCall: now, arrived: now,
	}
	b.observer, _ = act.(Observer)
	b.lister, _ = act.(ListRequester)
	for _, c := range set.Classes {
		b.classes = append(b.classes, class{Class: c})
		b.patience = max(b.patience, time.Duration(ejectPatience*float64(c.Deadline)))
	}
	b.gap = float64(b.patience)
	return b
}

// StartRequest takes a request; it will get exactly one final answer.
func (b *Balancer) StartRequest(now Time, r Request) {
	q := &request{Request: r, deadline: now + r.Budget}
	b.requests[r.ID] = q
	c := &b.classes[r.Class]
	if !r.ClientRetry || c.budget == 0 { // a retry's budget is what its client has left, not the usual one
		c.meet(r.Budget, b.set.Tier > 0)
	}
	if b.set.UnevenTraffic && !r.ClientRetry && b.base > 0 { // guards against a limit that grows with every refusal
		b.reckon(now, c)
	}
	b.hold = cmp.Or(b.hold, c.cost)
	earned := max(1, retryShare*float64(b.patience)/max(b.gap, 1))
	b.retryTokens = min(retryBurst, earned, b.retryTokens+retryShare)
	b.try(now, q)
}

// one is 1 for what holds.
func one(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

func filter[T any](all []T, keep func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(all), func(x T) bool { return !keep(x) })
}

// AttemptDone takes the end of an attempt; each attempt has exactly one.
func (b *Balancer) AttemptDone(now Time, o Outcome) {
	q := b.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].ended {
		return
	}
	a := &q.attempts[o.Attempt]
	if a.short && o.Result == TimedOut { // it tells of its client's patience alone
		o.Result = Cancelled
	}
	a.ended, a.lost = true, o.Result == ConnectFailed
	a.notRun = a.lost || o.Result == Rejected || o.Result == NotSent || o.Result == ConnectPending
	b.settle(now)
	q.out--
	b.addInFlight(a.to, -a.load)
	b.learnFrom(now, q, a, o)
	q.ended, q.spent = q.ended || o.Final, q.spent || o.NotReplayable
	if !q.ended && q.out == 0 {
		b.again(now, q, a)
	}
	b.forget(q)
	b.askList()
}

// MaySendOnConnect tells whether an attempt still holds once its connection stands: a dial may outlast a drain.
func (b *Balancer) MaySendOnConnect(now Time, id string) bool {
	q := b.requests[id]
	if q == nil || q.ended || q.out == 0 {
		return false
	}
	a := &q.attempts[len(q.attempts)-1]
	a.notRun = true // till then
	a.notRun = a.to.gone || a.sent < a.to.back || !b.sure(now, a.to) || !b.mayRepeat(now, q, a.to)
	return !a.notRun
}

// RequestWritten takes that a request has wholly reached its backend, which begins now: told of long ones alone.
func (b *Balancer) RequestWritten(now Time, id string) {
	if q := b.requests[id]; q != nil && q.out > 0 {
		a := &q.attempts[len(q.attempts)-1]
		b.settle(now)
		b.addInFlight(a.to, 1-a.load)
		a.sent, a.load = now, 1
	}
}

// TimerFired takes the end of a wait that was asked for.
func (b *Balancer) TimerFired(now Time, token uint64) {
	if q := b.wakes[token]; q != nil { // it has not ended: forget takes it out
		delete(b.wakes, token)
		q.token = 0
		b.try(now, q)
	}
}

// ClientGone takes that a request has ended without us: its client left.
func (b *Balancer) ClientGone(now Time, id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		q.ended = true
		if b.set.CancelAbandoned && q.out > 0 { // guards against work that nobody waits for
			b.act.Cancel(q.ID, len(q.attempts)-1)
		}
		b.forget(q)
	}
}

// AbandonRequest gives up a request because this balancer ends.
func (b *Balancer) AbandonRequest(id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.giveUp(q, BalancerStopping)
	}
}

// giveUp is the only place that answers a request: at once, once, and as refused where that is harmless.
func (b *Balancer) giveUp(q *request, why Cause) {
	c := &b.classes[q.Class]
	q.ended = true
	if c.Idempotency == Idempotent || q.mayHaveRun() == nil || c.Idempotency == Deduplicated && c.DedupScope == ScopeAll {
		b.act.Refuse(q.ID, min(b.set.MaxRetryAfter, c.TargetLatency/comeBackPart), why)
	} else {
		b.act.Fail(q.ID, why)
	}
	b.forget(q)
}

// forget drops an ended request once none of its attempts is out.
func (b *Balancer) forget(q *request) {
	if q.ended {
		delete(b.wakes, q.token)
	}
	if q.ended && q.out == 0 {
		delete(b.requests, q.ID)
	}
}

// jitter spreads d over half to one and a half times itself.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return max(1, time.Duration((0.5+b.rng.Float64())*float64(d)))
}
