// The balancer and its events, in the order of a request's life. The interface is in api.go, the reasons are
// in docs/design.md. All constants of the module are ratios: none is a tuned time.

package logic

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const retryAfterDivisor = 4 // divides its aim: what a refused client is told to wait

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	actions          Actions
	observer         Observer      // nil: nobody observes
	listRequester    ListRequester // nil: lists come by themselves alone
	rng              *rand.Rand
	classes          []class
	backends         map[string]*backend
	detached         map[string]bool // by hand, whatever the list says; they need not be in it
	listed           []*backend      // in the order of the groups
	listedSummary    summary         // of listed
	summaryVersion   int             // of what summaries go by, but for calls in flight and the time
	capacity         float64         // of them all
	zoneGroups       []*zoneGroup    // own zone first
	requests         map[string]*request
	backoffTimers    map[uint64]*request
	lastTimerToken   uint64
	listFreshness    ListFreshness
	listNeeded       bool          // a backend needs a list to be used
	baseEjectionTime time.Duration // first ejection

	limitMultiplier                  float64 // the limit on calls in flight, as a multiple of the base
	baseLimit                        float64 // this balancer's part of the calls, for each unit of size
	lastArrival                      Time    // last first try of a client
	arrivalCount                     float64 // of such
	meanInterarrival, allowedLatency float64 // mean time between them, mean latency that the limit allows them
	minSubsetCapacity                float64 // size within reach by own traffic; 0: where traffic is alike
	retryTokens                      float64
	connectionLossShare              float64 // share of recent outcomes
	idleTimeoutShare                 float64 // share of time-outs on connections that had been idle
	failureShare                     float64 // share of outcomes, over longer
	lastAdmitted                     Time    // that was let in
	meanAdmitInterval                float64 // mean time between such calls
	limitTokens                      float64 // calls that the limit left unused lately
	tokensUpdatedAt                  Time    // when saved was reckoned
	meanLatency                      float64 // mean latency over all classes
}

type class struct {
	Class
	attemptTimeout   float64
	meanLatency      float64 // mean latency of an answer
	meanWithTimeouts float64 // the same with time-outs, counted at the allowance
	answerCount      float64
	unloadedLatency  float64 // cost without a queue
	usualBudget      float64 // usual one: few are less
}

type zoneGroup struct {
	members       []*backend
	memberSummary summary    // of members
	peerSummary   summary    // whose mean a busy one is held to: those within reach, where traffic is unlike
	subset        []*backend // those within reach
	virtualTime   float64    // of the last one in rotation
	capacity      float64    // of them all
}

type backend struct {
	Backend
	inFlight          int
	failureShare      float64 // share of recent outcomes
	relativeLatency   float64 // recent latencies, as multiples of their classes' means
	lastLatencySample Time    // when slowness was last measured
	ejections         int     // ejections in a row; 0: in use
	probeAt           Time
	probeInFlight     bool
	virtualDeadline   float64 // when the next is, by the group's count
	zoneGroup         *zoneGroup
	subsetCapacity    float64 // of its size that is within this balancer's reach
	subsetDistance    float64 // the reach, in rings: used in that order, so that not all learn all of a slow spell
	isLoadPeer        bool    // one of its group's near
	lastSent          Time    // last, or when it was first heard of
	spacingFactor     float64 // what part of the spacing of cold calls must pass after that
	pausedUntil       Time    // full lately: until then
	lastAnswered      Time    // last answer
	liveness          liveness
	removed           bool // no longer listed
	attachedAt        Time // in again by hand, as a cold one: it was restarted meanwhile
}

type request struct {
	Request
	deadline             Time
	attempts             []attempt
	outstanding          int
	timerToken           uint64 // of the backoff under way
	ended, notReplayable bool   // spent: a part of it has passed through, and is gone
}

type attempt struct {
	backend                 *backend
	sentAt                  Time
	ended, provenNotRun     bool // notRun: proven
	connectFailed           bool // no connection took it
	cutShort                bool // it had less than the allowance
	probe, onIdleConnection bool // rested: on a connection that had been idle
	callsCounted            int  // calls in flight that it counts for: none while its request is still on its way
}

// New returns a balancer that acts through act.
func New(now Time, set Settings, act Actions) *Balancer {
	b := &Balancer{
		settings: set, actions: act,
		rng:           rand.New(rand.NewPCG(set.Seed, 0)),
		backends:      map[string]*backend{},
		detached:      map[string]bool{},
		requests:      map[string]*request{},
		backoffTimers: map[uint64]*request{},
		lastAdmitted:  now, lastArrival: now,
	}
	b.observer, _ = act.(Observer)
	b.listRequester, _ = act.(ListRequester)
	for _, c := range set.Classes {
		b.classes = append(b.classes, class{Class: c})
		b.baseEjectionTime = max(b.baseEjectionTime, time.Duration(baseEjectionShare*float64(c.Deadline)))
	}
	b.meanAdmitInterval = float64(b.baseEjectionTime)
	return b
}

// StartRequest takes a request; it will get exactly one final answer.
func (b *Balancer) StartRequest(now Time, r Request) {
	q := &request{Request: r, deadline: now + r.Budget}
	b.requests[r.ID] = q
	c := &b.classes[r.Class]
	if !r.ClientRetry || c.usualBudget == 0 { // a retry's budget is what its client has left, not the usual one
		c.observeBudget(r.Budget, b.settings.Tier > 0)
	}
	if b.settings.UnevenTraffic && !r.ClientRetry && b.baseLimit > 0 { // guards against a limit that grows with every refusal
		b.updateBaseLimit(now, c)
	}
	b.meanLatency = cmp.Or(b.meanLatency, c.meanLatency)
	earned := max(1, retryBudgetShare*float64(b.baseEjectionTime)/max(b.meanAdmitInterval, 1))
	b.retryTokens = min(retryBudgetBurst, earned, b.retryTokens+retryBudgetShare)
	b.sendOrAnswer(now, q)
}

// one is 1 for what holds.
func oneIf(condition bool) float64 {
	if condition {
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
	if a.cutShort && o.Result == TimedOut { // it tells of its client's patience alone
		o.Result = Cancelled
	}
	a.ended, a.connectFailed = true, o.Result == ConnectFailed
	a.provenNotRun = a.connectFailed || o.Result == Rejected || o.Result == NotSent || o.Result == ConnectPending
	b.updateLimitTokens(now)
	q.outstanding--
	b.addInFlight(a.backend, -a.callsCounted)
	b.recordOutcome(now, q, a, o)
	q.ended, q.notReplayable = q.ended || o.Final, q.notReplayable || o.NotReplayable
	if !q.ended && q.outstanding == 0 {
		b.scheduleRetry(now, q, a)
	}
	b.releaseIfEnded(q)
	b.requestListIfNeeded()
}

// MaySendOnConnect tells whether an attempt still holds once its connection stands: a dial may outlast a drain.
func (b *Balancer) MaySendOnConnect(now Time, id string) bool {
	q := b.requests[id]
	if q == nil || q.ended || q.outstanding == 0 {
		return false
	}
	a := &q.attempts[len(q.attempts)-1]
	a.provenNotRun = true // till then
	a.provenNotRun = a.backend.removed || a.sentAt < a.backend.attachedAt || !b.confirmedInService(now, a.backend) || !b.mayRetryOn(now, q, a.backend)
	return !a.provenNotRun
}

// RequestWritten takes that a request has wholly reached its backend, which begins now: told of long ones alone.
func (b *Balancer) RequestWritten(now Time, id string) {
	if q := b.requests[id]; q != nil && q.outstanding > 0 {
		a := &q.attempts[len(q.attempts)-1]
		b.updateLimitTokens(now)
		b.addInFlight(a.backend, 1-a.callsCounted)
		a.sentAt, a.callsCounted = now, 1
	}
}

// TimerFired takes the end of a wait that was asked for.
func (b *Balancer) TimerFired(now Time, token uint64) {
	if q := b.backoffTimers[token]; q != nil { // it has not ended: forget takes it out
		delete(b.backoffTimers, token)
		q.timerToken = 0
		b.sendOrAnswer(now, q)
	}
}

// ClientGone takes that a request has ended without us: its client left.
func (b *Balancer) ClientGone(now Time, id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		q.ended = true
		if b.settings.CancelAbandoned && q.outstanding > 0 { // guards against work that nobody waits for
			b.actions.Cancel(q.ID, len(q.attempts)-1)
		}
		b.releaseIfEnded(q)
	}
}

// AbandonRequest gives up a request because this balancer ends.
func (b *Balancer) AbandonRequest(id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.refuseOrFail(q, BalancerStopping)
	}
}

// giveUp is the only place that answers a request: at once, once, and as refused where that is harmless.
func (b *Balancer) refuseOrFail(q *request, why Cause) {
	c := &b.classes[q.Class]
	q.ended = true
	if c.Idempotency == Idempotent || q.firstPossiblyRun() == nil || c.Idempotency == Deduplicated && c.DedupScope == ScopeAll {
		b.actions.Refuse(q.ID, min(b.settings.MaxRetryAfter, c.TargetLatency/retryAfterDivisor), why)
	} else {
		b.actions.Fail(q.ID, why)
	}
	b.releaseIfEnded(q)
}

// forget drops an ended request once none of its attempts is out.
func (b *Balancer) releaseIfEnded(q *request) {
	if q.ended {
		delete(b.backoffTimers, q.timerToken)
	}
	if q.ended && q.outstanding == 0 {
		delete(b.requests, q.ID)
	}
}

// jitter spreads d over half to one and a half times itself.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return max(1, time.Duration((0.5+b.rng.Float64())*float64(d)))
}
