package proxy

import (
	"context"
	"fmt"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/logging"
	"oxbowloft/internal/neterror"
	"oxbowloft/internal/upstream"
	"oxbowloft/logic"
)

// driver makes all calls to the balancing logic, one at a time, each with the time at
// which it is made. It does no I/O while it holds its lock: an action of the balancing
// logic is handed to the request that it concerns, or deferred until the lock is
// released.
type driver struct {
	clock            clock
	upstreamOptions  *upstream.Options
	stats            *stats
	requestListCheck func() // requests a check of the list; nil: no checks

	mu       sync.Mutex
	balancer *logic.Balancer
	classes  []logic.Class
	requests map[string]*activeRequest
	openIDs  map[string]*activeRequest // by the clients' ids; open up to the last byte of the response
	ranIDs   *requestIDs               // of requests that may have run, at all processes
	backends map[string]backendEntry
	owners   map[string]string // uid of the backend that has an address, by address
	lastID   uint64
	deferred []func()
	current  *activeRequest // request whose result the balancing logic is processing

	violations     *violations
	statusLog      logging.RateLimiter // rate limit of log lines about backend status
	staleLog       *staleAttemptLog
	listFreshUntil logic.Time               // until then the list contains all announced changes; 0: unknown
	detached       map[string]bool          // by operators
	attachedAt     map[string]time.Duration // by operators, on the clock of monotonicNow; latest that was applied
	warmUpTime     time.Duration
}

// backendEntry is a listed backend, with its address and state.
type backendEntry struct {
	*upstream.Backend
	startStamp    int64      // start time as announced by discovery
	started       logic.Time // start time as accepted when it was first announced
	state         logic.State
	leftServiceAt logic.Time // since when it is not in service
}

// activeRequest is a request whose response has not been written completely.
type activeRequest struct {
	id           string
	clientID     string            // id given by the client
	idempotency  logic.Idempotency // the effect of running it twice
	mayHaveRun   bool              // an attempt may have run
	runsOnce     bool              // it must not be sent again, by whomever, once it may have run
	idClaimed    bool              // its id is in ranIDs
	attempts     int
	cancel       func()     // cancels the latest attempt
	written      bool       // the latest attempt has been written completely
	staleBy      logic.Time // how long the list had been stale when the latest attempt began; 0: it was fresh
	clientLeft   bool       // the client has left, and the step that says so has been sent
	steps        chan step  // room for one step and for the one that reports the client's leaving
	backoffTimer *time.Timer
	pipelined    atomic.Bool // the client sent more data before the response
}

type stepKind int

const (
	stepSend stepKind = iota
	stepRefuse
	stepFail
	stepClientGone
	stepPipelined
)

// step is what the balancing logic decided to do next for a request.
type step struct {
	kind       stepKind
	attempt    int
	uid        string // of the backend
	backend    *upstream.Backend
	sentAt     time.Time
	timeout    time.Duration
	ctx        context.Context // done once the attempt is canceled
	cancel     func()
	withheld   bool // the attempt must not be sent
	retryAfter time.Duration
	cause      logic.Cause // of a refusal or failure
}

func newDriver(cfg *Config, upstreamOptions *upstream.Options, stats *stats) *driver {
	d := &driver{
		clock:           newClock(),
		classes:         cfg.logicSettings.Classes,
		upstreamOptions: upstreamOptions,
		stats:           stats,
		requests:        map[string]*activeRequest{},
		openIDs:         map[string]*activeRequest{},
		ranIDs:          newRequestIDs(),
		backends:        map[string]backendEntry{},
		owners:          map[string]string{},

		violations: newViolations(),
		statusLog:  logging.RateLimiter{Interval: statusLogInterval, Burst: 20},
		staleLog:   newStaleAttemptLog(),
		detached:   map[string]bool{},
		attachedAt: map[string]time.Duration{},
		warmUpTime: cfg.logicSettings.WarmUpTime,
	}
	upstreamOptions.OnLateDialFailure = d.dialFailed
	d.withBalancer(func(now logic.Time) { d.balancer = logic.New(now, cfg.logicSettings, d) })
	return d
}

// decisionPanic is a panic inside the balancing logic, or in an action that it called.
type decisionPanic struct{ value any }

// withBalancer makes one call to the balancing logic, then runs what was deferred until
// the lock is released.
func (d *driver) withBalancer(f func(now logic.Time)) {
	d.mu.Lock()
	panicked := true
	defer func() {
		if !panicked {
			return
		}
		if value := recover(); value != nil {
			panic(decisionPanic{fmt.Sprintf("%v\n%s", value, debug.Stack())})
		}
	}()
	f(d.clock.now())
	panicked = false
	deferred := d.deferred
	d.deferred = nil
	d.mu.Unlock()
	for _, f := range deferred {
		f()
	}
}

// startRequest passes a new request to the balancing logic; its first step is ready on return.
// It returns nil if a request with the same id is open already, or may have run and must not run
// again. waited is the part of the budget that was over before the request was read.
func (d *driver) startRequest(clientID string, class int, budget, waited time.Duration, retry, streamed bool) (r *activeRequest) {
	d.withBalancer(func(now logic.Time) {
		runsOnce := !d.mayRunAgain(class)
		if d.openIDs[clientID] != nil || runsOnce && d.ranIDs.contains(clientID) {
			return
		}
		// The balancing logic gets ids of the proxy's own, since clients may reuse
		// theirs.
		d.lastID++
		r = &activeRequest{id: strconv.FormatUint(d.lastID, 36), clientID: clientID, steps: make(chan step, 2)}
		r.idempotency, r.runsOnce = d.classes[class].Idempotency, runsOnce
		d.requests[r.id], d.openIDs[clientID] = r, r
		d.balancer.StartRequest(now, logic.Request{ID: r.id, Class: class, Budget: budget, Waited: waited,
			ClientRetry: retry, Streamed: streamed})
	})
	return r
}

// connected reports that the connection for an attempt is established. It returns whether
// the attempt is still to be written.
func (d *driver) connected(r *activeRequest, s step) (proceed bool) {
	d.withBalancer(func(now logic.Time) {
		// A backend with a new address is another machine, whatever the balancing logic
		// knows of it.
		proceed = d.backends[s.uid].Backend == s.backend && d.balancer.MaySendOnConnect(now, r.id)
		proceed = proceed && d.checkStart(r) && d.checkSend(r, s) && !s.withheld && d.claimID(r)
		if proceed && d.listFreshUntil != 0 {
			r.staleBy = max(0, now-d.listFreshUntil)
		}
	})
	return proceed
}

// claimID claims the id of a request that is about to be sent, for as long as it may have run. It reports
// whether no other process has done so. The caller holds mu.
func (d *driver) claimID(r *activeRequest) bool {
	if r.runsOnce && !r.idClaimed {
		r.idClaimed = d.ranIDs.claim(r.clientID)
		return r.idClaimed
	}
	return true
}

// releaseID releases the id of a request. The caller holds mu.
func (d *driver) releaseID(r *activeRequest) {
	if r.idClaimed {
		d.ranIDs.release(r.clientID)
		r.idClaimed = false
	}
}

// requestWritten reports that an attempt has been written completely, or is about to be without a wait.
func (d *driver) requestWritten(r *activeRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.written = true
}

// streamedRequestWritten reports that the attempt of a streamed request has been written completely.
func (d *driver) streamedRequestWritten(r *activeRequest) {
	d.withBalancer(func(now logic.Time) {
		r.written = true
		d.balancer.RequestWritten(now, r.id)
	})
}

// attemptDone reports the result of an attempt, and whether the request body has been consumed,
// so that it can't be replayed. Unless the result is final, a step follows.
func (d *driver) attemptDone(r *activeRequest, s step, result logic.Result, final, notReplayable bool) {
	var staleBy time.Duration
	d.withBalancer(func(now logic.Time) {
		staleBy, r.staleBy = r.staleBy, 0
		d.current = r
		defer func() { d.current = nil }()
		r.mayHaveRun = r.mayHaveRun || mayHaveRun(result)
		d.balancer.AttemptDone(now, logic.Outcome{
			Request:       r.id,
			Attempt:       s.attempt,
			Result:        result,
			Latency:       now - d.clock.at(s.sentAt),
			Final:         final,
			NotReplayable: notReplayable,
		})
	})
	if staleBy > 0 {
		d.staleLog.write(r, s, staleBy, result)
	}
}

// dialFailed reports that a connection to a backend could not be opened, when no attempt
// was waiting for it any more.
func (d *driver) dialFailed(b *upstream.Backend, err error) {
	if neterror.Classify(neterror.Dial, err) == neterror.LocalFailure {
		return
	}
	d.withBalancer(func(now logic.Time) {
		for uid, entry := range d.backends {
			if entry.Backend == b {
				d.balancer.ConnectAttemptFailed(now, uid)
			}
		}
	})
}

// mayHaveRun reports whether an attempt with this result may have run at the backend.
func mayHaveRun(result logic.Result) bool {
	switch result {
	case logic.Rejected, logic.ConnectFailed, logic.NotSent, logic.ConnectPending:
		return false
	}
	return true
}

// mayRunAgain reports whether a request of a class may be sent again, by whomever, although it may have
// run.
func (d *driver) mayRunAgain(class int) bool {
	c := &d.classes[class]
	return c.Idempotency == logic.Idempotent || c.Idempotency == logic.Deduplicated && c.DedupScope == logic.ScopeAll
}

// clientHasLeft reports whether a request's client has left.
func (d *driver) clientHasLeft(r *activeRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.clientLeft
}

// clientGone reports that a request's client has left.
func (d *driver) clientGone(r *activeRequest) { d.endByClient(r, stepClientGone) }

// clientPipelined reports that a request's client sent more data before the response. The
// request is not served.
func (d *driver) clientPipelined(r *activeRequest) {
	r.pipelined.Store(true)
	d.endByClient(r, stepPipelined)
}

// endByClient ends a request because of its client, and passes on how. An attempt that its
// backend does not have completely is canceled; for another one, the balancing logic decides.
func (d *driver) endByClient(r *activeRequest, kind stepKind) {
	d.withBalancer(func(now logic.Time) {
		if r.clientLeft { // there is room for one such step
			return
		}
		r.clientLeft = true
		d.balancer.ClientGone(now, r.id)
		if r.cancel != nil && !r.written {
			r.cancel()
		}
		r.steps <- step{kind: kind}
	})
}

// timerFired reports the end of a delay that the balancing logic asked for.
func (d *driver) timerFired(token uint64) {
	d.withBalancer(func(now logic.Time) { d.balancer.TimerFired(now, token) })
}

// endAll ends each open request because the proxy shuts down: each gets its response from
// the balancing logic now, and its attempt is canceled.
func (d *driver) endAll() {
	d.withBalancer(func(logic.Time) {
		for id, r := range d.requests {
			d.balancer.AbandonRequest(id)
			if r.cancel != nil {
				r.cancel()
			}
		}
	})
}

// responseDecided ends what serves to decide a request's response: its attempts, its timer and
// its part in the limits. The request stays open until responseWritten. Repeated calls have no
// effect.
func (d *driver) responseDecided(r *activeRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, r.id)
	if r.backoffTimer != nil {
		r.backoffTimer.Stop()
	}
}

// responseWritten ends a request, whose id is free from then on. It is called immediately before
// the last byte of the response is written, since a client that has read it may reuse the id at
// once, and for a response that breaks off, before the client can notice. Repeated calls have no
// effect.
func (d *driver) responseWritten(r *activeRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openIDs[r.clientID] == r { // the id may belong to another request by now
		delete(d.openIDs, r.clientID)
		if !r.clientLeft {
			d.releaseID(r)
		}
	}
}

// forget ends a request in whatever state it is. delivered says that the response has been written as
// far as the client wanted it.
func (d *driver) forget(r *activeRequest, delivered bool) {
	d.responseDecided(r)
	d.responseWritten(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !r.mayHaveRun:
		d.releaseID(r)
	case !delivered:
		d.claimID(r)
	}
}

// openRequestCount returns the number of requests that have been accepted and have not ended.
func (d *driver) openRequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.openIDs)
}

// balancerStates maps the states of targets to those of the balancing logic.
var balancerStates = map[string]logic.State{
	discovery.InService:   logic.Up,
	discovery.Terminating: logic.Draining,
	discovery.Terminated:  logic.Removed,
}

// updateList applies a list, or changes to it.
func (d *driver) updateList(l *discovery.List) {
	entries := make([]logic.Backend, 0, len(l.Targets))
	d.withBalancer(func(now logic.Time) {
		d.removeGone(l) // first, so that they keep no address
		for _, t := range l.Targets {
			previous, isNewer := d.claimAddress(t)
			if previous != "" {
				d.removeBackend(previous)
				entries = append(entries, logic.Backend{ID: previous, State: logic.Removed})
			}
			if !isNewer {
				t.State = discovery.Terminated
			}
			if t.State == discovery.Terminated {
				d.removeBackend(t.UID)
			} else {
				d.updateBackend(now, t, l.PreviousConfirmedAt)
			}
			entry := logic.Backend{ID: t.UID, Zone: t.Zone, Cell: t.Cell, Capacity: t.CapacityHint, State: balancerStates[t.State]}
			entry.StartedAt = d.backends[t.UID].started
			entries = append(entries, entry)
		}
		d.balancer.UpdateList(now, l.Complete, entries)
	})
}

// removeGone removes the backends whose end a list announces, or which a whole list leaves out. The caller
// holds mu.
func (d *driver) removeGone(l *discovery.List) {
	listed := map[string]bool{}
	for _, t := range l.Targets {
		listed[t.UID] = true
		if t.State == discovery.Terminated {
			d.removeBackend(t.UID)
		}
	}
	for uid := range d.backends {
		if l.Complete && !listed[uid] {
			d.removeBackend(uid)
		}
	}
}

// claimAddress decides which backend has a target's address. A process that has started later than
// another one there has taken its place, whether or not the end of the other has been announced. It returns
// the backend whose place the target takes, and whether the target is the newest there. The caller holds
// mu.
func (d *driver) claimAddress(t discovery.Target) (previous string, isNewer bool) {
	if t.State == discovery.Terminated {
		return "", true
	}
	uid := d.owners[t.Endpoint]
	owner, ok := d.backends[uid]
	switch {
	case !ok || uid == t.UID || owner.startStamp == t.BootMs || t.BootMs == 0:
		return "", true // nobody is there, or it can't be told who came later
	case owner.startStamp > t.BootMs:
		return "", false
	default:
		return uid, true
	}
}

// updateBackend makes sure that a backend has the address in the list. Connections from
// before it moved or restarted are closed: a machine that vanished leaves its connections
// open, and requests sent on them would fail.
func (d *driver) updateBackend(now logic.Time, t discovery.Target, listBefore time.Time) {
	entry, ok := d.backends[t.UID]
	sameProcess := ok && entry.startStamp == t.BootMs
	state, leftServiceAt := balancerStates[t.State], entry.leftServiceAt
	if state != entry.state {
		leftServiceAt = now
	}
	if sameProcess && entry.Addr == t.Endpoint {
		entry.state, entry.leftServiceAt = state, leftServiceAt
		d.backends[t.UID] = entry
		return
	}
	started := entry.started
	if !sameProcess {
		started = d.clock.startTime(now, t.BootMs, listBefore)
	}
	d.removeBackend(t.UID)
	if d.backends[d.owners[t.Endpoint]].startStamp <= t.BootMs {
		d.owners[t.Endpoint] = t.UID
	}
	d.backends[t.UID] = backendEntry{upstream.New(t.Endpoint, d.upstreamOptions), t.BootMs, started, state, leftServiceAt}
}

// removeBackend removes a backend, if it is known, and closes its connections.
func (d *driver) removeBackend(uid string) {
	if b, ok := d.backends[uid]; ok {
		delete(d.backends, uid)
		if d.owners[b.Addr] == uid {
			delete(d.owners, b.Addr)
		}
		d.deferred = append(d.deferred, b.Close)
	}
}

// setListFreshness reports how long the list may be used.
func (d *driver) setListFreshness(f discovery.Freshness) {
	freshness := logic.ListFreshness{
		FreshUntil:     d.clock.at(f.Until),
		StaleUntil:     d.clock.at(f.UntilIfServing),
		EvidenceWindow: f.ServingWindow,
		ConfirmedAt:    d.clock.atOrZero(f.ConfirmedAt),
		ReceivedAt:     d.clock.atOrZero(f.ReceivedAt),
		ChangesMayLag:  f.MayAnnounceLate,
		MaxUnobserved:  discovery.MaxUnobservedGap,
	}
	d.withBalancer(func(logic.Time) {
		d.listFreshUntil = freshness.FreshUntil
		d.balancer.SetListFreshness(freshness)
	})
}

// allBackends returns the known backends.
func (d *driver) allBackends() []*upstream.Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	backends := make([]*upstream.Backend, 0, len(d.backends))
	for _, b := range d.backends {
		backends = append(backends, b.Backend)
	}
	return backends
}

func (d *driver) backendCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.backends)
}

// backendCounts returns how many backends the list has, and how many of them are avoided.
func (d *driver) backendCounts() (listed, avoided int) {
	d.withBalancer(func(now logic.Time) { listed, avoided = len(d.backends), d.balancer.OutOfRotation(now) })
	return listed, avoided
}

// knows reports whether a backend is listed or detached.
func (d *driver) knows(id string) (known bool) {
	d.withBalancer(func(logic.Time) { known = d.balancer.IsKnown(id) })
	return known
}

// applyDetached detaches and attaches backends so that they are as in state. It has taken effect
// on return, and reports which backends it has detached and attached.
func (d *driver) applyDetached(state detachmentState) (detached, attached []string) {
	d.withBalancer(func(now logic.Time) {
		for id := range state.detached {
			if !d.detached[id] {
				d.detach(id)
				detached = append(detached, id)
			}
		}
		for id := range d.detached {
			if !state.detached[id] {
				d.attach(now, id, state.changes[id])
				attached = append(attached, id)
			}
		}
		for id, c := range state.changes {
			if !c.Detached && !d.detached[id] && d.attachedAt[id] != c.MadeAt && c.age() < d.warmUpTime {
				// Detached and attached since the last call, or before this process started.
				d.detach(id)
				d.attach(now, id, c)
				attached = append(attached, id)
			}
		}
	})
	return detached, attached
}

// detach detaches a backend. The caller holds mu.
func (d *driver) detach(id string) {
	d.detached[id] = true
	d.balancer.Detach(id)
}

// attach attaches a detached backend. If c is not the change by which that was done, for instance
// because an earlier version of the program did it, the backend counts as attached now. The
// caller holds mu.
func (d *driver) attach(now logic.Time, id string, c detachmentChange) {
	since := now
	if !c.Detached && c.MadeAt > d.attachedAt[id] {
		since -= c.age()
		d.attachedAt[id] = c.MadeAt
	}
	delete(d.detached, id)
	d.balancer.Attach(now, id, since)
}
