// The decisions, in the order of a request's life. The interface is in api.go, the reasons in docs/design.md.

package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// What the constants balance. All are ratios; nothing here is a tuned time.
const (
	reserveShare = 0.02 // of the budget, for the answer's way back
	meanWeight   = 0.05 // of one sample in a running mean: follow against jitter

	allowanceRank    = 0.995 // the percentile tracked: work close to done repeated against the dead waited on
	allowanceStep    = 0.2   // how fast it follows against how much it jitters
	allowanceFloor   = 0.02  // share of the class's deadline; below it lies noise
	allowanceStart   = 0.35  // share of the first budget seen: two attempts fit
	allowanceCeiling = 0.7   // share of the usual budget; above it too little fits
	budgetRise       = 0.1   // how much less a budget above the usual one counts: most must hold it
	lateError        = 0.5   // of the allowance: a later error is that of a tier below that ran out of time

	backoffShare  = 0.1 // of the allowance: time to recover against time for attempts
	backoffGrowth = 2.0 // of each later one

	reachBalancers = 5.0  // that reach each backend: even in sum against meeting it often
	reachLeast     = 3.0  // backends that each balancer reaches
	reachMore      = 1.25 // by how much own traffic must have grown for a longer arc
	reachLess      = 2.0  // or fallen for a shorter one

	busyFactor = 1.25 // "well above the mean" in a group: even load against even turns
	slowWeight = 2.0  // how much more calls count on slow backends: spares choked ones
	paceLeast  = 0.3  // of the mean latency: faster ones get no more turns for it

	spillFactor = 1.5 // "well over another group's": idle zones used against crossings
	spillMargin = 1.0

	retryShare = 0.1 // of first attempts may be repeated after they may have run
	retryBurst = 10  // as many repeats may be saved up, no more than the first ejection's time earns

	ejectShare    = 0.3  // the failure share from which a backend is ejected
	ejectFactor   = 2.0  // on top of this multiple of all backends': deaf to what all share
	failureWeight = 0.2  // of one outcome
	failingWeight = 0.02 // of one outcome in shares of all: chance apart from trouble
	ejectMost     = 0.5  // never eject more than this share of the backends
	ejectPatience = 0.5  // the first ejection, as a share of the longest deadline
	ejectGrowth   = 3    // doublings by failed trials

	strainTarget    = 0.25   // of the aim, the mean latency to settle at: less refuses, more queues
	strainUneven    = 0.33   // the target where a balancer sees few calls: twice the rest of a few is chance
	restFactor      = 2.0    // the mean latency at rest is the target where that is more: no queue yet
	restRise        = 0.0005 // how fast the latency at rest follows a mean above it: not with a queue
	strainCeiling   = 0.4    // no target above this: answers would come late
	limitStep       = 0.3    // speed of the limit's correction
	limitInUse      = 0.5    // share of the limit in flight from which it is corrected
	limitLeast      = 0.7    // share of the first limit that it keeps: no queue comes of that
	limitPerBackend = 5.0    // at the start, over all balancers: busy without a queue
	limitLowest     = 0.75   // the part of the limit for work worth next to nothing
	openMost        = 4.0    // bases that the limit grows to: a quiet balancer's must not let any burst in
	arriveWeight    = 0.02   // of one arrival in own traffic: bursts are not traffic
	arriveFirst     = 5.0    // arrivals that the start counts for
	evenValue       = 0.3    // what every class's is where none is to be worse off than others
	saveMost        = 3.0    // calls that may be saved up or owed: covers chance, not a flood
	saveLeast       = 1.0    // the same where traffic is unlike: many balancers' calls meet at a backend
	saveShare       = 0.5    // and as a part of the limit: the more traffic, the larger its bursts

	comeBackPart = 4   // divides its aim: what a refused client is told to wait
	coldCaution  = 1.5 // divides a cold backend's part: it may be a slow one, too
	fullPause    = 0.5 // mean latencies of the class that a full backend is left alone

	lostFactor  = 2.0  // mean latencies that a time-out counts for, where it may be a lost answer
	lostShare   = 0.3  // of calls on connections idle before without an answer: those are stale, too
	lostWeight  = 0.2  // of one of them: few balancers see many
	lostFade    = 0.02 // of one other answer
	restedShare = 0.4  // of the first ejection's time: idle from then on
	staleShare  = 0.02 // of outcomes broken, and one alone is no more: idle connections are taken for stale
)

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	set      Settings
	act      Actions
	rng      *rand.Rand
	classes  []class
	backends map[string]*backend
	banned   map[string]bool // by hand, whatever the list says; they need not be in it
	listed   []*backend      // in the order of the groups
	size     float64         // of them all
	groups   []*group        // own zone first
	requests map[string]*request
	wakes    map[uint64]*request
	token    uint64
	fresh    ListFresh
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
	near    []*backend // whose mean a busy one is held to: those within reach, where traffic is unlike
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
	sent     Time    // last, or when it was first heard of
	spacing  float64 // what part of the spacing of cold calls must pass after that
	paused   Time    // full lately: until then
	used     Time    // last answer
	took     Time    // last send that it served
	gone     bool    // no longer listed
	back     Time    // in again by hand, as a cold one: it was restarted meanwhile
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
	for _, c := range set.Classes {
		b.classes = append(b.classes, class{Class: c})
		b.patience = max(b.patience, time.Duration(ejectPatience*float64(c.Deadline)))
	}
	b.gap = float64(b.patience)
	return b
}

// Arrive takes a request; it will get exactly one final answer.
func (b *Balancer) Arrive(now Time, r Request) {
	q := &request{Request: r, deadline: now + r.Budget}
	b.requests[r.ID] = q
	c := &b.classes[r.Class]
	if !r.Retry || c.budget == 0 { // a retry's budget is what its client has left, not the usual one
		c.meet(r.Budget, b.set.Tier > 0)
	}
	if b.set.Uneven && !r.Retry && b.base > 0 { // guards against a limit that grows with every refusal
		b.reckon(now, c)
	}
	b.hold = cmp.Or(b.hold, c.cost)
	earned := max(1, retryShare*float64(b.patience)/max(b.gap, 1))
	b.retryTokens = min(retryBurst, earned, b.retryTokens+retryShare)
	b.try(now, q)
}

// reckon keeps the limit's base, what own arrivals have in flight at the latency aimed at, and the arcs: a
// departure for unlike traffic, as where each client process has its own, of which a like part starves some.
func (b *Balancer) reckon(now Time, c *class) {
	wanted, count, size := strainTarget*float64(c.Aim), float64(len(b.listed)), b.size
	if b.arrivals == 0 { // as if traffic were alike, until seen: guards against a flood at the start
		b.need, b.between, b.arrivals = wanted, wanted/(b.base*max(size, 1)), arriveFirst
	}
	b.arrivals++
	weight := max(arriveWeight, 1/b.arrivals)
	b.between += weight * (float64(now-b.arrived) - b.between)
	b.arrived = now
	b.need += weight * (wanted - b.need)
	calls := b.need / max(b.between, 1)
	b.base, b.open = calls/max(size, 1), min(b.open, openMost)
	if arc := calls * size / max(count, 1); arc > reachMore*b.arc || arc < b.arc/reachLess {
		b.arc = arc // seldom laid anew: each new backend in it costs a connection
		b.reach()
	}
}

// limit is how many calls may be in flight for each unit of warm size in use.
func (b *Balancer) limit() float64 { return b.open * b.base }

// admit is the concurrency limit, a departure, at the tier that faces clients: late answers are queues, and
// more work makes more of them. What is worth least for its time goes first.
func (b *Balancer) admit(now Time, q *request) bool {
	if b.set.Tier > 0 {
		return true
	}
	best := 1e-9
	for i := range b.classes {
		best = max(best, b.classes[i].value())
	}
	value := b.classes[q.Class].value() / best
	if b.set.EvenClasses { // guards against the class of least worth that pays for all others
		value = evenValue
	}
	if q.Retry { // guards against a client's many tries that crowd out the first ones of others
		value = -value
	}
	t := b.settle(now)
	return t.calls < (limitLowest+(1-limitLowest)*value)*b.limit()*t.warm+b.saved+b.credit(t)*value
}

// settle keeps account of what the limit left unused, in calls of mean length. Guards against a limit of
// about one call, as each of many balancers has, that refuses by chance what there is room for.
func (b *Balancer) settle(now Time) tally {
	t := b.tally(now, b.listed)
	b.saved += (b.limit()*t.warm - t.calls) * float64(now-b.settled) / max(b.hold, 1)
	most := b.credit(t)
	b.saved = max(-most-1, min(most, b.saved))
	b.settled = now
	return t
}

// credit is how many calls may be saved up or owed.
func (b *Balancer) credit(t tally) float64 {
	if b.set.Uneven {
		return max(saveLeast, saveShare*b.limit()*t.warm)
	}
	return saveMost
}

// value is the worth for each unit of time; next to 0 until the class is seen.
func (c *class) value() float64 { return c.Worth / cmp.Or(c.cost, math.MaxFloat64) }

// available is the time really left for waits and attempts.
func (q *request) available(now Time) time.Duration {
	return max(0, q.deadline-now-time.Duration(reserveShare*float64(q.Budget)))
}

// try sends the next attempt if its full allowance fits, and else answers.
func (b *Balancer) try(now Time, q *request) {
	c := &b.classes[q.Class]
	need := c.allowance
	if len(q.attempts) == 0 && !b.set.Uneven && (b.set.Tier > 0 || c.Repeat == Safe) {
		need = max(1, min(need, c.cost)) // guards against clients of little patience that get nothing
	}
	var to *backend
	open := len(q.attempts) > 0 || b.admit(now, q)
	if open && len(q.attempts) < b.set.MaxAttempts && need <= float64(q.available(now)) {
		if len(q.attempts) == 0 { // repeats come on top
			b.gap, b.lastCall = b.gap+meanWeight*(float64(now-b.lastCall)-b.gap), now
		}
		to = b.pick(now, q)
	}
	if to == nil {
		b.giveUp(q)
	} else {
		b.send(now, q, to)
	}
}

// send starts an attempt. Its time-out is the full allowance; all that is left where none could follow it.
func (b *Balancer) send(now Time, q *request, to *backend) {
	c, timeout := &b.classes[q.Class], q.available(now)
	allowance := time.Duration(c.allowance)
	if c.Repeat != Unsafe && len(q.attempts)+1 < b.set.MaxAttempts && 2*allowance <= timeout {
		timeout = allowance
	}
	to.sent, to.spacing = now, 1
	to.trialOut = to.trialOut || to.ejected > 0
	rested := b.set.Uneven && to.inFlight == 0 && to.used > 0 &&
		float64(now-to.used) > restedShare*float64(b.patience)
	old := b.broken > staleShare || rested && b.lost > lostShare
	if old {
		b.act.CloseIdle(to.ID)
	}
	a := attempt{to: to, sent: now, trial: to.ejected > 0, rested: rested && !old}
	a.short = timeout < allowance
	q.attempts = append(q.attempts, a)
	q.out++
	if !q.Long { // guards against slow uploads that fill the limit
		b.Written(now, q.ID)
	}
	b.act.Send(q.ID, to.ID, timeout)
}

// pick chooses a due trial, or the next of the first group neither failing nor well busier than others.
func (b *Balancer) pick(now Time, q *request) *backend {
	if t := b.dueTrial(now, q); t != nil {
		return t
	}
	failing := func(g *group) float64 { return 1 - b.tally(now, g.members).count/float64(len(g.members)) }
	load := func(g *group) float64 { return b.tally(now, g.members).load(0) }
	open := filter(b.groups, func(g *group) bool {
		return slices.ContainsFunc(g.members, func(m *backend) bool { return b.usable(now, q, m) })
	})
	healthy := filter(open, func(g *group) bool {
		lost := func(a attempt) bool { return a.lost && a.to.group == g } // all of it may be
		return failing(g) <= 0.5 && !slices.ContainsFunc(q.attempts, lost)
	})
	switch {
	case len(open) == 0: // no backend is in use
		may := filter(b.listed, func(m *backend) bool { return now >= m.paused && b.allowed(now, q, m) })
		if len(may) == 0 {
			return nil
		}
		return slices.MinFunc(may, func(x, y *backend) int { return cmp.Compare(x.failures, y.failures) })
	case len(healthy) == 0: // spread over the group: one backend alone would tip
		least := func(x, y *group) int { return cmp.Compare(failing(x), failing(y)) }
		return b.rotate(now, q, slices.MinFunc(open, least))
	}
	// Guards against a last group left idle, and against all of a lost zone's balancers meeting in the next.
	least := slices.MinFunc(healthy, func(x, y *group) int { return cmp.Compare(load(x), load(y)) })
	if g := healthy[0]; g.members[0].Zone == b.set.Zone && load(g) <= spillFactor*load(least)+spillMargin {
		least = g
	}
	return b.rotate(now, q, least)
}

// usable tells whether the rules and the backend's state let q go to m now.
func (b *Balancer) usable(now Time, q *request, m *backend) bool {
	return m.ejected == 0 && now >= m.paused && b.allowed(now, q, m)
}

// allowed holds the rules alone: drains, cold backends, repeats.
func (b *Balancer) allowed(now Time, q *request, m *backend) bool {
	return b.sure(now, m) && !b.tooSoon(now, m) && b.mayRepeat(now, q, m)
}

// serving tells whether m is in service by the list and by hand.
func (b *Balancer) serving(m *backend) bool { return m.State == Up && !b.banned[m.ID] }

// sure is serving by a list that may be used, past its end for what has just served a call alone.
func (b *Balancer) sure(now Time, m *backend) bool {
	f := b.fresh
	return b.serving(m) && (f.Until == 0 || now < f.Until || now < min(f.UntilServing, m.took+f.Serving))
}

// tooSoon spaces the calls to a cold backend at its part of a warm one's rate, the first by a random part of
// it: guards against hundreds that learn of it together, and, as none gets over the cold part of what it
// carries warm, in its group or, for other zones' calls, in all, against zones that return cold.
func (b *Balancer) tooSoon(now Time, m *backend) bool {
	warmth := m.warmth(now, &b.set)
	if warmth == 1 {
		return false
	}
	among := m.group.members
	if m.Zone != b.set.Zone {
		among = b.listed
	}
	t, part := b.tally(now, among), max(m.part, 1e-9)*warmth // out of reach: as good as never
	return float64(now-m.sent) < m.spacing*b.gap*max(m.Size, t.parts, coldCaution*t.reach)/part
}

// rotate gives the call to the member whose turn is next; turns of those well above mean are lost.
func (b *Balancer) rotate(now Time, q *request, g *group) *backend {
	var next *backend
	t, least := b.tally(now, g.near), 2.0
	for _, m := range g.members {
		usable, past := b.usable(now, q, m), max(m.past, one(b.busy(now, m, t)))
		if (past > 0 || !usable) && m.turn <= g.turn { // its phase stays: guards against
			m.turn = g.turn + m.pace() - math.Mod(g.turn-m.turn, m.pace()) // hundreds at the first ids
		}
		if usable && (past < least || past == least && m.turn < next.turn) {
			next, least = m, past
		}
	}
	if next != nil {
		g.turn = max(g.turn, next.turn)
		next.turn = g.turn + next.pace()
	}
	return next
}

// busy tells whether m, with one more call, is well above the mean. A slow one's count for more, a departure.
func (b *Balancer) busy(now Time, m *backend, t tally) bool {
	size := m.Size
	if m.inFlight == 0 { // guards against small ones that a few calls never reach
		size = max(size, t.size/t.count)
	}
	slow := max(0, m.slowness-1) * math.Exp(-float64(now-m.heard)/float64(b.patience)) // fades: tried again
	return float64(m.inFlight+1)*(1+slowWeight*slow)/size > busyFactor*t.load(1)
}

// pace is what a turn costs m: the slower it was, the later the next one.
func (m *backend) pace() float64 {
	return max(paceLeast, m.slowness) / cmp.Or(m.part, m.Size)
}

// dueTrial finds an ejected backend whose trial call is due. It may fail, so it is made with a request that
// can be tried again, and with another when overdue: else, where allowances are long, none would be.
func (b *Balancer) dueTrial(now Time, q *request) *backend {
	c, due := &b.classes[q.Class], now
	if c.Repeat == Unsafe || 2*c.allowance > float64(q.available(now)) {
		due -= b.patience
	}
	for _, m := range b.listed {
		first := len(q.attempts) == 0 && m.ejected > 0 && !m.trialOut
		if first && due >= m.trialAt && now >= m.paused && b.allowed(now, q, m) {
			return m
		}
	}
	return nil
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

// A tally sums up backends in use: the limit shrinks with them. Ejected ones keep their parts from the cold.
type tally struct{ count, calls, size, warm, parts, reach float64 }

func (b *Balancer) tally(now Time, members []*backend) (t tally) {
	for _, m := range members {
		part, warmth := m.part*one(m.State == Up), m.warmth(now, &b.set)
		t.parts += part
		t.reach += part * warmth
		if m.ejected == 0 && b.serving(m) {
			t.count++
			t.calls += float64(m.inFlight)
			t.size += m.Size
			t.warm += m.Size * warmth
		}
	}
	return t
}

// load is the mean of own calls in flight for each unit of size, with more added to each backend.
func (t tally) load(more float64) float64 { return (t.calls + more*t.count) / max(t.size, 1e-9) }

// warmth is the share of its capacity that a backend surely has.
func (m *backend) warmth(now Time, set *Settings) float64 {
	started := max(m.Started, m.back)
	if started == 0 || set.WarmWithin == 0 || now-started >= set.WarmWithin {
		return 1
	}
	return max(0.01, set.ColdShare+(1-set.ColdShare)*max(0, float64(now-started)/float64(set.WarmWithin)))
}

// Done takes the end of an attempt; each attempt has exactly one.
func (b *Balancer) Done(now Time, o Outcome) {
	q := b.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].ended {
		return
	}
	a := &q.attempts[o.Attempt]
	if a.short && o.Result == TimedOut { // it tells of its client's patience alone
		o.Result = Cancelled
	}
	a.ended, a.lost = true, o.Result == NoConnect
	a.notRun = a.lost || o.Result == Full || o.Result == NeverSent
	b.settle(now)
	q.out--
	a.to.inFlight -= a.load
	b.learnFrom(now, q, a, o)
	q.ended, q.spent = q.ended || o.Final, q.spent || o.Spent
	if !q.ended && q.out == 0 {
		b.again(now, q, a)
	}
	b.forget(q)
}

// Connected tells whether an attempt still holds once its connection stands: a dial may outlast a drain.
func (b *Balancer) Connected(now Time, id string) bool {
	q := b.requests[id]
	if q == nil || q.ended || q.out == 0 {
		return false
	}
	a := &q.attempts[len(q.attempts)-1]
	a.notRun = true // till then
	a.notRun = a.to.gone || a.sent < a.to.back || !b.sure(now, a.to) || !b.mayRepeat(now, q, a.to)
	return !a.notRun
}

// Written takes that a request has wholly reached its backend, which begins now: told of long ones alone.
func (b *Balancer) Written(now Time, id string) {
	if q := b.requests[id]; q != nil && q.out > 0 {
		a := &q.attempts[len(q.attempts)-1]
		b.settle(now)
		a.to.inFlight += 1 - a.load
		a.sent, a.load = now, 1
	}
}

// again waits for the next attempt if wait and allowance fit, and else answers.
func (b *Balancer) again(now Time, q *request, last *attempt) {
	allowance := b.classes[q.Class].allowance
	wait := allowance * backoffShare * math.Pow(backoffGrowth, float64(len(q.attempts)-1))
	wait = float64(b.jitter(time.Duration(wait)))
	fits := wait+allowance <= float64(q.available(now)) && len(q.attempts) < b.set.MaxAttempts
	// The retry budget, a departure: when all slow together, repeats of what may have run burn what is left.
	price := one(!last.notRun)
	if !fits || !b.repeatable(now, q) || b.retryTokens < price {
		b.giveUp(q)
		return
	}
	b.retryTokens -= price
	b.token++
	q.token, b.wakes[b.token] = b.token, q
	b.act.Wake(q.token, time.Duration(wait))
}

// Wake takes the end of a wait that was asked for.
func (b *Balancer) Wake(now Time, token uint64) {
	if q := b.wakes[token]; q != nil { // it has not ended: forget takes it out
		delete(b.wakes, token)
		q.token = 0
		b.try(now, q)
	}
}

// Gone takes that a request has ended without us: its client left.
func (b *Balancer) Gone(now Time, id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		q.ended = true
		if b.set.Cancel && q.out > 0 { // guards against work that nobody waits for
			b.act.Cancel(q.ID, len(q.attempts)-1)
		}
		b.forget(q)
	}
}

// End gives up a request because this balancer ends.
func (b *Balancer) End(id string) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.giveUp(q)
	}
}

// mayHaveRun is the first attempt not proven to have had no effect, or nil.
func (q *request) mayHaveRun() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.notRun }); i >= 0 {
		return &q.attempts[i]
	}
	return nil
}

// mayRepeat is the one place that lets an attempt of q go to m: no effect twice.
func (b *Balancer) mayRepeat(now Time, q *request, m *backend) bool {
	c, ran := &b.classes[q.Class], q.mayHaveRun()
	within := c.Scope == ScopeAll || ran == nil ||
		c.Scope == ScopeZone && m.Zone == ran.to.Zone || c.Scope == ScopeCell && m.Cell == ran.to.Cell
	return b.repeatable(now, q) && (c.Repeat != Keyed || within)
}

// repeatable tells whether any backend may get another attempt of q.
func (b *Balancer) repeatable(now Time, q *request) bool {
	const memoryShare = 0.9 // the send must reach the backend while it remembers
	c, ran := &b.classes[q.Class], q.mayHaveRun()
	return !q.spent && (ran == nil || c.Repeat == Safe ||
		c.Repeat == Keyed && float64(now-ran.sent) < memoryShare*float64(c.Memory))
}

// giveUp is the only place that answers a request: at once, once, and as refused where that is harmless.
func (b *Balancer) giveUp(q *request) {
	c := &b.classes[q.Class]
	q.ended = true
	if c.Repeat == Safe || q.mayHaveRun() == nil || c.Repeat == Keyed && c.Scope == ScopeAll {
		b.act.Refuse(q.ID, min(b.set.MaxComeBack, c.Aim/comeBackPart))
	} else {
		b.act.Fail(q.ID)
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

// learnFrom draws from an outcome: latency, the backend's health, the limit.
func (b *Balancer) learnFrom(now Time, q *request, a *attempt, o Outcome) {
	c, latency := &b.classes[q.Class], float64(o.Latency)
	// Guards against idle connections that something drops: while many calls break, calls go on new ones.
	b.broken += failingWeight * (one(o.Result == Broken) - b.broken)
	// The same where nothing breaks: no answer comes on them. Only idle ones are closed, and the share fades.
	if a.rested && (o.Result == OK || o.Result == TimedOut) {
		b.lost += lostWeight * (one(o.Result == TimedOut) - b.lost)
	} else if o.Result == OK {
		b.lost -= lostFade * b.lost
	}
	switch o.Result {
	case OK:
		a.to.used, a.to.took = now, max(a.to.took, a.sent)
		c.learn(latency)
		c.answers++ // the first ones count for more: what cost began with is no latency
		c.cost += max(meanWeight, 1/c.answers) * (latency - c.cost)
		c.rest = min(c.cost, (1-restRise)*cmp.Or(c.rest, c.cost)+restRise*c.cost)
	case TimedOut, Error: // late errors, too: guards against an allowance that only ever sees the quick ones
		if o.Result == TimedOut || latency > lateError*c.allowance {
			c.learn(c.allowance)
			if o.Result == Error { // it is the time-out of a tier below, and tells of no latency
				b.correctLimit(now, c, 1)
			}
		}
	}
	if o.Result == OK || o.Result == TimedOut {
		if o.Result == TimedOut && b.set.Uneven { // guards against healthy backends that lose some answers,
			latency = min(latency, lostFactor*c.cost) // and of whom all would go to the few that lose none
		}
		b.hold += meanWeight * (latency - b.hold)
		weight := failureWeight
		if o.Result == TimedOut && !b.set.Uneven { // a choked one that is met seldom is not forgotten
			weight = max(weight, 1-math.Exp(-float64(now-a.to.heard)/float64(b.patience)))
		}
		a.to.slowness += weight * (latency/c.cost - a.to.slowness)
		a.to.heard = now
		b.correctLimit(now, c, latency/float64(max(c.Aim, 1)))
	}
	b.judge(now, a, c, o.Result)
}

// meet takes a request's budget. The first sets the allowance: further down it is well under the deadline.
func (c *class) meet(budget time.Duration, lower bool) {
	if c.budget == 0 {
		c.budget, c.allowance = float64(budget), allowanceStart*float64(budget)
		c.cost, c.mean = c.allowance, c.allowance
	}
	weight := meanWeight
	if lower && float64(budget) > c.budget { // guards against a few that raise the ceiling past all others
		weight *= budgetRise
	}
	c.budget += weight * (float64(budget) - c.budget)
	c.bound()
}

// learn moves the allowance towards its percentile: one sample above weighs as many below as that says.
func (c *class) learn(latency float64) {
	c.mean += meanWeight * (latency - c.mean)
	c.allowance *= math.Exp(allowanceStep * (one(latency >= c.allowance) - (1 - allowanceRank)))
	c.bound()
}

// bound keeps the allowance within budgets, a departure, and at the percentile of an exponential latency of
// that mean, since thin traffic brings it down slowly.
func (c *class) bound() {
	most := min(allowanceCeiling*c.budget, max(allowanceStart*c.budget, -math.Log(1-allowanceRank)*c.mean))
	c.allowance = max(min(c.allowance, most), allowanceFloor*float64(c.Deadline))
}

// correctLimit moves the limit towards the target strain while it is in use: a quiet hour tells nothing.
func (b *Balancer) correctLimit(now Time, c *class, strain float64) {
	t := b.tally(now, b.listed)
	// Guards against work turned away where latencies are long without any queue. One late call counts as 1.
	target := max(strainTarget, min(strainCeiling, restFactor*c.rest/float64(max(c.Aim, 1))))
	if b.set.Uneven { // a few calls tell of no latency at rest
		target = strainUneven
	}
	if t.calls+1 > limitInUse*b.limit()*t.warm {
		step := limitStep * (target - min(strain, 1)) / max(t.warm, 1) / b.base
		if step < 0 { // who holds more gives back more, so that balancers even out
			step *= b.open
		}
		b.open = max(limitLeast, b.open+step)
	}
}

// judge keeps failure shares and ejects outliers, a departure: one that fails fast would draw the most.
func (b *Balancer) judge(now Time, a *attempt, c *class, r Result) {
	m, failed := a.to, r != OK
	m.trialOut = m.trialOut && !a.trial
	if r == Full {
		m.paused = now + b.jitter(time.Duration(fullPause*c.cost)) // else it looks idle; it may drain
	}
	if r == Full || r == Cancelled || r == NeverSent {
		return
	}
	m.failures += failureWeight * (one(failed) - m.failures)
	b.failing += failingWeight * one(r != NoConnect) * (one(failed) - b.failing) // no chance makes that
	switch {
	case a.trial && !failed:
		m.ejected, m.failures = 0, 0
	case a.trial && m.ejected > 0, !a.trial && failed && m.ejected == 0 && b.outlier(now, m):
		b.eject(now, m)
	}
}

func (b *Balancer) eject(now Time, m *backend) {
	m.trialAt, m.ejected = now+b.jitter(b.patience<<min(m.ejected, ejectGrowth)), m.ejected+1
}

// outlier tells whether m fails more than chance makes of what all share: a few in a hundred may anywhere.
func (b *Balancer) outlier(now Time, m *backend) bool {
	peers := b.tally(now, b.listed).count - 1
	return peers >= (1-ejectMost)*float64(len(b.listed)) && m.failures > ejectShare+ejectFactor*b.failing
}

// List takes news of the backends: the full list, or changed lines only.
func (b *Balancer) List(now Time, full bool, lines []Backend) {
	for _, m := range b.listed {
		m.gone = full
	}
	for _, l := range lines {
		b.update(now, l)
	}
	b.regroup()
	if t := b.tally(now, b.listed); b.base == 0 && t.size > 0 {
		b.open, b.base = 1, limitPerBackend*t.count/t.size/float64(max(b.set.Balancers, 1))
	}
}

func (b *Balancer) update(now Time, l Backend) {
	l.Size = cmp.Or(max(l.Size, 0), 1)
	m := b.backends[l.ID]
	if m == nil {
		m = &backend{sent: now, spacing: b.rng.Float64(), slowness: 1}
		b.backends[l.ID] = m
		b.listed = append(b.listed, m)
	} else if max(l.Started, m.back) != max(m.Started, m.back) { // restarted: nothing learned holds
		m.failures, m.ejected, m.slowness, m.sent, m.spacing = 0, 0, 1, now, b.rng.Float64()
	}
	m.Backend, m.gone = l, l.State == Removed
}

// Detach takes a backend out by hand, until Attach and whatever the list says meanwhile.
func (b *Balancer) Detach(id string) {
	b.banned[id] = true
	b.act.CloseIdle(id)
}

// Attach ends that. The return is a cold start, whatever the list knows of it. A trial brings it back soon,
// one in sum over the balancers: guards against a first call that is long in coming, and against hundreds.
func (b *Balancer) Attach(now Time, id string) {
	if m := b.backends[id]; m != nil && b.banned[id] {
		m.back, m.sent, m.failures, m.slowness, m.paused = now, now, 0, 1, 0
		m.spacing = b.rng.Float64() * one(b.rng.Float64()*float64(b.set.Balancers) >= 1)
		m.ejected, m.trialAt = int(one(m.spacing == 0)), now+b.jitter(b.patience)-b.patience/2
	}
	delete(b.banned, id)
}

// Knows tells whether a backend is listed or out by hand.
func (b *Balancer) Knows(id string) bool { return b.backends[id] != nil || b.banned[id] }

// Avoided is how many listed backends get no calls now, by hand or by choice.
func (b *Balancer) Avoided(now Time) int {
	out := func(m *backend) bool { return b.banned[m.ID] || m.ejected > 0 || now < m.paused }
	return len(filter(b.listed, out))
}

// regroup forgets the backends that are gone (attempts still out hold their own pointers) and orders the
// rest by group: own zone first, then around the ring of zones, so that zones spill into different ones.
func (b *Balancer) regroup() {
	b.listed = slices.DeleteFunc(b.listed, func(m *backend) bool {
		if m.gone {
			delete(b.backends, m.ID)
		}
		return m.gone
	})
	zones, own := len(b.set.Zones), slices.Index(b.set.Zones, b.set.Zone)
	rank := func(m *backend) int {
		if i := slices.Index(b.set.Zones, m.Zone); i >= 0 {
			return (i - own + zones) % zones
		}
		return zones
	}
	slices.SortFunc(b.listed, func(x, y *backend) int {
		return cmp.Or(rank(x)-rank(y), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.ID, y.ID))
	})
	b.groups, b.size = nil, 0
	for i, m := range b.listed {
		b.size += m.Size
		if i == 0 || m.Zone != b.listed[i-1].Zone {
			b.groups = append(b.groups, &group{})
		}
		g := b.groups[len(b.groups)-1]
		if m.turn == 0 { // from a random start
			m.turn = g.turn + b.rng.Float64()/m.Size
		}
		g.turn = max(g.turn, m.turn-1/m.Size)
		g.members, m.group = append(g.members, m), g
		g.size += m.Size
	}
	b.reach()
}

// reach lays each group's sizes end to end on a ring and gives each balancer an arc, a departure where they
// far outnumber backends: going round all, each would meet one too seldom to tell that it is slow. Arcs are
// of one length and start apart by number, so that together they cover all evenly.
func (b *Balancer) reach() {
	const golden = 0.6180339887 // spreads whole numbers most evenly over a ring
	share := reachBalancers * float64(len(b.set.Zones)) / float64(max(1, b.set.Balancers))
	for _, g := range b.groups {
		arc := max(b.arc, g.size*max(share, reachLeast/float64(len(g.members))))
		at := -g.size * math.Mod(golden*float64(b.set.Me), 1)
		g.near = g.near[:0]
		for _, m := range g.members {
			lap := func(at float64) float64 { return max(0, min(arc, at+m.Size)-max(0, at)) }
			m.part = min(m.Size, lap(at)+lap(at+g.size))
			m.past = one(m.part == 0) * max(1e-9, (at+g.size*one(at < 0)-arc)/g.size)
			at += m.Size
			if m.part > 0 || !b.set.Uneven {
				g.near = append(g.near, m)
			}
		}
	}
}

// ListFresh takes for how long the list may be used.
func (b *Balancer) ListFresh(f ListFresh) { b.fresh = f }

// jitter spreads d over half to one and a half times itself.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return max(1, time.Duration((0.5+b.rng.Float64())*float64(d)))
}
