// The balancer and its events, in the order of a request's life. The interface is in api.go, the
// rationale in docs/design.md. All constants of the package are ratios or counts; none is a tuned
// duration.

package logic

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const retryAfterDivisor = 4 // divides the class's target latency: the retry-after time of a refused client

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings      Settings
	actions       Actions
	observer      Observer      // nil: none
	listRequester ListRequester // nil: lists arrive without being requested
	rng           *rand.Rand
	classes       []class
	backends      map[string]*backend
	detached      map[string]bool // by an operator, whatever the list says; they need not be listed
	attachedAt    map[string]Time // latest ends of detachments; they need not be listed
	listed        []*backend      // in the order of zoneGroups
	listedSummary summary         // of listed
	// Changes with all that summaries depend on, except calls in flight and the time.
	summaryVersion   int
	capacity         float64      // of all listed backends
	zoneGroups       []*zoneGroup // own zone first
	requests         map[string]*request
	backoffTimers    map[uint64]*request
	lastTimerToken   uint64
	listFreshness    ListFreshness
	listNeeded       bool          // some backend can't be used without a new list
	baseEjectionTime time.Duration // of a backend's first ejection

	limitMultiplier float64 // the concurrency limit as a multiple of baseLimit
	// This balancer's share of concurrent calls, for each unit of capacity: the same for all balancers, or
	// estimated from own traffic where traffic is uneven.
	baseLimit    float64
	lastArrival  Time    // last request of a client that was not a retry
	arrivalCount float64 // number of such requests
	// Mean time between them; mean latency that the base limit assumes.
	meanInterarrival, allowedLatency float64
	// Subset capacity that own traffic requires; 0 where traffic is even.
	minSubsetCapacity   float64
	retryTokens         float64
	connectionLossShare float64 // share of recent outcomes
	// Share of timeouts among answers and timeouts on formerly idle connections.
	idleTimeoutShare float64
	// Share of failures among outcomes, over more outcomes than a backend's.
	failureShare      float64
	lastAdmitted      Time    // last request that was admitted
	meanAdmitInterval float64 // mean time between admitted requests, in nanoseconds
	// Token bucket of the concurrency limit: calls that it recently left unused.
	limitTokens     float64
	tokensUpdatedAt Time    // when limitTokens was last updated
	meanLatency     float64 // over all classes, in nanoseconds
}

type class struct {
	Class
	// Durations in nanoseconds.
	attemptTimeout   float64 // tracks a high percentile of the latency; see observeLatency
	meanLatency      float64 // of answers
	meanWithTimeouts float64 // the same with timeouts, counted as attemptTimeout
	answerCount      float64
	unloadedLatency  float64 // estimate of meanLatency without queueing
	usualBudget      float64 // typical time budget: few requests have less
}

type zoneGroup struct {
	members       []*backend
	memberSummary summary // of members
	// Backends whose mean load limits each one's: where traffic is uneven, the subset.
	peerSummary summary
	subset      []*backend // members with a part in this balancer's subset
	virtualTime float64    // virtualDeadline of the last pick
	capacity    float64    // of all members
}

type backend struct {
	Backend
	inFlight          int
	failureShare      float64 // share of recent outcomes
	relativeLatency   float64 // recent latencies, as multiples of their classes' means
	lastLatencySample Time    // when relativeLatency was last updated
	ejections         int     // number of ejections in a row; 0: in use
	probeAt           Time
	probeInFlight     bool
	virtualDeadline   float64 // when its next turn is, in the group's virtual time
	zoneGroup         *zoneGroup
	subsetCapacity    float64 // part of its capacity that is in this balancer's subset
	// Distance beyond the subset, as a share of the ring. The nearest are used first, so that not every
	// balancer has to find out for itself that a backend is slow.
	subsetDistance float64
	isLoadPeer     bool    // in its group's peerSummary
	lastSent       Time    // last send, or when it was first listed
	spacingFactor  float64 // multiple of the slow-start call spacing that must pass after lastSent
	pausedUntil    Time    // rejected a call recently: not used until then
	lastAnswered   Time    // last successful answer
	liveness       liveness
	removed        bool // no longer listed
	attachedAt     Time // when it was attached again; counts as a restart, so it begins a slow start
}

type request struct {
	Request
	deadline             Time
	attempts             []attempt
	outstanding          int
	timerToken           uint64 // of the backoff timer that is running
	ended, notReplayable bool   // notReplayable: part of it was streamed and not kept
}

type attempt struct {
	backend                 *backend
	zone                    string // of the backend when the attempt was sent
	cell                    int
	sentAt                  Time
	ended, provenNotRun     bool // provenNotRun: certainly not executed
	connectFailed           bool // no connection to the backend was established
	cutShort                bool // its timeout was shorter than attemptTimeout
	probe, onIdleConnection bool // onIdleConnection: sent on a connection that had been idle
	callsCounted            int  // calls in flight it counts as: 0 while its request is still being written
}

// New returns a balancer that calls actions.
func New(now Time, settings Settings, actions Actions) *Balancer {
	b := &Balancer{
		settings: settings, actions: actions,
		rng:           rand.New(rand.NewPCG(settings.Seed, 0)),
		backends:      map[string]*backend{},
		detached:      map[string]bool{},
		attachedAt:    map[string]Time{},
		requests:      map[string]*request{},
		backoffTimers: map[uint64]*request{},
		lastAdmitted:  now, lastArrival: now,
	}
	b.observer, _ = actions.(Observer)
	b.listRequester, _ = actions.(ListRequester)
	for _, c := range settings.Classes {
		b.classes = append(b.classes, class{Class: c})
		b.baseEjectionTime = max(b.baseEjectionTime, time.Duration(baseEjectionShare*float64(c.Deadline)))
	}
	b.meanAdmitInterval = float64(b.baseEjectionTime)
	return b
}

// StartRequest accepts a request, which will get exactly one final answer.
func (b *Balancer) StartRequest(now Time, r Request) {
	q := &request{Request: r, deadline: now + r.Budget - r.Waited}
	b.requests[r.ID] = q
	c := &b.classes[r.Class]
	if !r.ClientRetry || c.usualBudget == 0 { // a client's retry has only what remains of its time budget
		c.observeBudget(r.Budget, b.settings.Tier > 0)
	}
	// Retries are excluded: with them the limit would grow with every refusal.
	if b.settings.UnevenTraffic && !r.ClientRetry && b.baseLimit > 0 {
		b.updateBaseLimit(now, c)
	}
	b.meanLatency = cmp.Or(b.meanLatency, c.meanLatency)
	earned := max(1, retryBudgetShare*float64(b.baseEjectionTime)/max(b.meanAdmitInterval, 1))
	b.retryTokens = min(retryBudgetBurst, earned, b.retryTokens+retryBudgetShare)
	b.sendOrAnswer(now, q)
}

// oneIf is 1 if the condition holds, and otherwise 0.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func filter[T any](all []T, keep func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(all), func(x T) bool { return !keep(x) })
}

// AttemptDone handles the end of an attempt; each attempt has exactly one.
func (b *Balancer) AttemptDone(now Time, o Outcome) {
	q := b.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].ended {
		return
	}
	a := &q.attempts[o.Attempt]
	if a.cutShort && o.Result == TimedOut { // says nothing of the backend, only of the client's timeout
		o.Result = Cancelled
	}
	a.ended, a.connectFailed = true, o.Result == ConnectFailed
	a.provenNotRun = a.connectFailed || o.Result == Rejected || o.Result == NotSent ||
		o.Result == ConnectPending
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

// MaySendOnConnect reports whether an attempt may still be sent once its connection is established: the
// backend may have begun to drain while the connection was being made.
func (b *Balancer) MaySendOnConnect(now Time, id string) bool {
	q := b.requests[id]
	if q == nil || q.ended || q.outstanding == 0 {
		return false
	}
	a := &q.attempts[len(q.attempts)-1]
	a.provenNotRun = true // until it is sent
	a.provenNotRun = a.backend.removed || a.sentAt < a.backend.attachedAt ||
		!b.confirmedInService(now, a.backend) || !b.mayRetryOn(now, q, a.backend)
	return !a.provenNotRun
}

// RequestWritten records that a streamed request has been written in full to its backend, where execution
// begins now.
func (b *Balancer) RequestWritten(now Time, id string) {
	if q := b.requests[id]; q != nil && q.outstanding > 0 {
		a := &q.attempts[len(q.attempts)-1]
		b.updateLimitTokens(now)
		b.addInFlight(a.backend, 1-a.callsCounted)
		a.sentAt, a.callsCounted = now, 1
	}
}

// TimerFired handles the end of a timer started by Actions.StartTimer.
func (b *Balancer) TimerFired(now Time, token uint64) {
	if q := b.backoffTimers[token]; q != nil { // the request has not ended: releaseIfEnded removes the timer
		delete(b.backoffTimers, token)
		q.timerToken = 0
		b.sendOrAnswer(now, q)
	}
}

// ClientGone records that the client disconnected before its request was answered.
func (b *Balancer) ClientGone(now Time, id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		q.ended = true
		if b.settings.CancelAbandoned && q.outstanding > 0 { // prevents work whose result nobody waits for
			b.actions.Cancel(q.ID, len(q.attempts)-1)
		}
		b.releaseIfEnded(q)
	}
}

// AbandonRequest ends a request because this balancer is shutting down.
func (b *Balancer) AbandonRequest(id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.refuseOrFail(q, BalancerStopping)
	}
}

// refuseOrFail is the only place that answers a request: once, and with a refusal if the client may
// safely retry.
func (b *Balancer) refuseOrFail(q *request, cause Cause) {
	c := &b.classes[q.Class]
	q.ended = true
	if c.Idempotency == Idempotent || q.firstPossiblyRun() == nil ||
		c.Idempotency == Deduplicated && c.DedupScope == ScopeAll {
		b.actions.Refuse(q.ID, min(b.settings.MaxRetryAfter, c.TargetLatency/retryAfterDivisor), cause)
	} else {
		b.actions.Fail(q.ID, cause)
	}
	b.releaseIfEnded(q)
}

// releaseIfEnded drops an ended request once no attempt is outstanding.
func (b *Balancer) releaseIfEnded(q *request) {
	if q.ended {
		delete(b.backoffTimers, q.timerToken)
	}
	if q.ended && q.outstanding == 0 {
		delete(b.requests, q.ID)
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return max(1, time.Duration((0.5+b.rng.Float64())*float64(d)))
}
