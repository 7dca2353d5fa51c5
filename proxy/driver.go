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

// driver alone calls the module: one call at a time, each with the time at
// which it is made. It does no I/O under its lock: what the module asks for is
// handed to the request it is for, or kept until the lock is free.
type driver struct {
	clock   clock
	opt     *upstream.Options
	stats   *stats
	askList func() // asks for a check of the list; nil: there are none

	mu       sync.Mutex
	balancer *logic.Balancer
	classes  []logic.Class
	requests map[string]*activeRequest
	openIDs  map[string]bool // callers' ids of requests in the module's hands
	backends map[string]backendEntry
	serial   uint64
	deferred []func()
	current  *activeRequest // whose outcome the module is handling

	violations     *violations
	statusLog      logging.Limit // of backends whose standing changes
	staleLog       *staleAttemptLog
	listFreshUntil logic.Time      // the list holds all that counts as told until then; 0: nothing is known of it
	detached       map[string]bool // detached by operators
}

// place is where a backend is, since when.
type backendEntry struct {
	*upstream.Backend
	startStamp    int64      // the stamp of its start, as discovery gives it
	started       logic.Time // what that is taken for, from when it was first told
	state         logic.State
	leftServiceAt logic.Time // since when it is not in service
}

// call is one request in the module's hands.
type activeRequest struct {
	id           string
	clientID     string       // its caller's id
	idempotency  logic.Repeat // what a second run of it would do
	mayHaveRun   bool         // an attempt may have run
	attempts     int
	cancel       func()      // gives up the attempt sent last
	writeStarted bool        // that attempt is being written, or has been
	staleBy      logic.Time  // how long past the list's time it began; 0: it did not
	clientLeft   bool        // its client has: the step that says so is out
	steps        chan step   // room for one step and the client's going
	backoffTimer *time.Timer // of its backoff
	pipelined    atomic.Bool // its caller has sent on before the answer
}

type stepKind int

const (
	stepSend stepKind = iota
	stepRefuse
	stepFail
	stepClientGone
	stepPipelined
)

// step is what the module wants next for a request.
type step struct {
	kind       stepKind
	attempt    int
	uid        string // of the backend
	backend    *upstream.Backend
	sentAt     time.Time
	timeout    time.Duration
	ctx        context.Context // over once the attempt is given up
	cancel     func()
	withheld   bool // it must not be sent
	retryAfter time.Duration
	cause      logic.Cause // of a refusal or failure
}

func newDriver(cfg *Config, opt *upstream.Options, st *stats) *driver {
	d := &driver{
		clock:    newClock(),
		classes:  cfg.logicSettings.Classes,
		opt:      opt,
		stats:    st,
		requests: map[string]*activeRequest{},
		openIDs:  map[string]bool{},
		backends: map[string]backendEntry{},

		violations: newViolations(),
		statusLog:  logging.Limit{Every: statusLogInterval, Burst: 20},
		staleLog:   newStaleAttemptLog(),
		detached:   map[string]bool{},
	}
	opt.Unreached = d.unreached
	d.withBalancer(func(now logic.Time) { d.balancer = logic.New(now, cfg.logicSettings, d) })
	return d
}

// moduleFault is a panic inside the decision module, or of what it asked for.
type decisionPanic struct{ value any }

// do makes one call to the module, then what must wait until the lock is free.
func (d *driver) withBalancer(f func(now logic.Time)) {
	d.mu.Lock()
	panicked := true
	defer func() {
		if !panicked {
			return
		}
		if cause := recover(); cause != nil {
			panic(decisionPanic{fmt.Sprintf("%v\n%s", cause, debug.Stack())})
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

// arrive hands a request to the module; its first step is ready on return. It
// returns nil for one whose id is open here already.
func (d *driver) arrive(clientID string, class int, budget time.Duration, retry, long bool) (r *activeRequest) {
	d.withBalancer(func(now logic.Time) {
		if d.openIDs[clientID] {
			return
		}
		d.openIDs[clientID] = true
		// The module gets ids of our own: a caller's may come again.
		d.serial++
		r = &activeRequest{id: strconv.FormatUint(d.serial, 36), clientID: clientID, steps: make(chan step, 2)}
		r.idempotency = d.classes[class].Repeat
		d.requests[r.id] = r
		d.balancer.Arrive(now, logic.Request{ID: r.id, Class: class, Budget: budget, Retry: retry, Long: long})
	})
	return r
}

// connected reports that the connection for an attempt stands, and tells whether the
// attempt still is to be written.
func (d *driver) connected(r *activeRequest, s step) (proceed bool) {
	d.withBalancer(func(now logic.Time) {
		// A backend that has moved is another machine, whatever the module knows of it.
		proceed = d.backends[s.uid].Backend == s.backend && d.balancer.Connected(now, r.id)
		proceed = proceed && d.checkStart(r) && d.checkSend(r, s) && !s.withheld
		r.writeStarted = proceed
		if proceed && d.listFreshUntil != 0 {
			r.staleBy = max(0, now-d.listFreshUntil)
		}
	})
	return proceed
}

// written reports that the attempt of a long request has been written whole.
func (d *driver) written(r *activeRequest) {
	d.withBalancer(func(now logic.Time) { d.balancer.Written(now, r.id) })
}

// done reports the end of an attempt, and whether the request is spent. Unless it is
// final, a step follows.
func (d *driver) done(r *activeRequest, s step, result logic.Result, final, consumed bool) {
	var staleBy time.Duration
	d.withBalancer(func(now logic.Time) {
		staleBy, r.staleBy = r.staleBy, 0
		d.current = r
		defer func() { d.current = nil }()
		r.mayHaveRun = r.mayHaveRun || mayHaveRun(result)
		d.balancer.Done(now, logic.Outcome{
			Request: r.id,
			Attempt: s.attempt,
			Result:  result,
			Latency: now - d.clock.at(s.sentAt),
			Final:   final,
			Spent:   consumed,
		})
	})
	if staleBy > 0 {
		d.staleLog.write(r, s, staleBy, result)
	}
}

// unreached reports that a connection to a backend has not come up at all, which no attempt
// waited for any longer.
func (d *driver) unreached(b *upstream.Backend, err error) {
	if neterror.Of(neterror.Dial, err) == neterror.Local {
		return
	}
	d.withBalancer(func(now logic.Time) {
		for uid, p := range d.backends {
			if p.Backend == b {
				d.balancer.Unreached(now, uid)
			}
		}
	})
}

// mayHaveRun tells whether an attempt that ended so may have run.
func mayHaveRun(result logic.Result) bool {
	switch result {
	case logic.Full, logic.NoConnect, logic.NeverSent, logic.Late:
		return false
	}
	return true
}

// hasLeft tells whether a request's client has left.
func (d *driver) clientHasLeft(r *activeRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.clientLeft
}

// gone reports that a request's client has left.
func (d *driver) clientGone(r *activeRequest) { d.endByClient(r, stepClientGone) }

// ahead reports that a request's client has sent on before its answer: it is not
// served.
func (d *driver) clientPipelined(r *activeRequest) {
	r.pipelined.Store(true)
	d.endByClient(r, stepPipelined)
}

// over reports that a request has ended without the module, and hands on how. An attempt
// that has not begun is given up; whether one that has begun is, the module says.
func (d *driver) endByClient(r *activeRequest, how stepKind) {
	d.withBalancer(func(now logic.Time) {
		if r.clientLeft { // there is room for one such step
			return
		}
		r.clientLeft = true
		d.balancer.Gone(now, r.id)
		if r.cancel != nil && !r.writeStarted {
			r.cancel()
		}
		r.steps <- step{kind: how}
	})
}

// wake reports the end of a wait that the module asked for.
func (d *driver) wake(token uint64) {
	d.withBalancer(func(now logic.Time) { d.balancer.Wake(now, token) })
}

// end reports that the proxy ends, and with it each request that is still open: each
// gets its answer from the module now, and what is out for it is given up.
func (d *driver) endAll() {
	d.withBalancer(func(logic.Time) {
		for id, r := range d.requests {
			d.balancer.End(id)
			if r.cancel != nil {
				r.cancel()
			}
		}
	})
}

// forget lets go of a request whose answer is known. It comes before the first byte of
// the answer: who has read that may use the id again at once.
func (d *driver) forget(r *activeRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests[r.id] != r {
		return // the id may be another one's by now
	}
	delete(d.requests, r.id)
	delete(d.openIDs, r.clientID)
	if r.backoffTimer != nil {
		r.backoffTimer.Stop()
	}
}

// states are the module's words for the states of a target.
var balancerStates = map[string]logic.State{
	discovery.InService:   logic.Up,
	discovery.Terminating: logic.Draining,
	discovery.Terminated:  logic.Removed,
}

// list hands on news of the backends.
func (d *driver) updateList(l *discovery.List) {
	entries := make([]logic.Backend, 0, len(l.Targets))
	listed := map[string]bool{}
	d.withBalancer(func(now logic.Time) {
		for _, t := range l.Targets {
			if t.State == discovery.Terminated {
				d.removeBackend(t.UID)
			} else {
				d.updateBackend(now, t, l.Before)
			}
			entry := logic.Backend{ID: t.UID, Zone: t.Zone, Cell: t.Cell, Size: t.Size, State: balancerStates[t.State]}
			entry.Started = d.backends[t.UID].started
			entries = append(entries, entry)
			listed[t.UID] = true
		}
		for uid := range d.backends {
			if l.All && !listed[uid] {
				d.removeBackend(uid)
			}
		}
		d.balancer.List(now, l.All, entries)
	})
}

// place makes sure that a backend is reached where the list says. Connections
// from before it moved or started again are of no use: guards against calls
// broken on those that a machine left open when it vanished.
func (d *driver) updateBackend(now logic.Time, t discovery.Target, listBefore time.Time) {
	entry, ok := d.backends[t.UID]
	sameProcess := ok && entry.startStamp == t.Boot
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
		started = d.clock.startTime(now, t.Boot, listBefore)
	}
	d.removeBackend(t.UID)
	d.backends[t.UID] = backendEntry{upstream.New(t.Endpoint, d.opt), t.Boot, started, state, leftServiceAt}
}

// drop lets go of a backend, if it is known, and of the connections to it.
func (d *driver) removeBackend(uid string) {
	if b, ok := d.backends[uid]; ok {
		delete(d.backends, uid)
		d.deferred = append(d.deferred, b.Close)
	}
}

// listFresh reports for how long the list may be used.
func (d *driver) listFresh(f discovery.Fresh) {
	fresh := logic.ListFresh{
		Until:        d.clock.at(f.Until),
		UntilServing: d.clock.at(f.UntilServing),
		Serving:      f.Serving,
		Known:        d.clock.atOrZero(f.Known),
		Told:         d.clock.atOrZero(f.Told),
		TellsLate:    f.TellsLate,
		Gap:          discovery.Gap,
	}
	d.withBalancer(func(logic.Time) {
		d.listFreshUntil = fresh.Until
		d.balancer.ListFresh(fresh)
	})
}

// all returns the backends there are.
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

// listed is how many backends the list has, and how many of them are avoided.
func (d *driver) backendCounts() (listed, avoided int) {
	d.withBalancer(func(now logic.Time) { listed, avoided = len(d.backends), d.balancer.Avoided(now) })
	return listed, avoided
}

// knows tells whether a backend is listed, or out by hand.
func (d *driver) knows(id string) (known bool) {
	d.withBalancer(func(logic.Time) { known = d.balancer.Knows(id) })
	return known
}

// byHand takes a backend out, or in again. It holds on return.
func (d *driver) setDetached(id string, detach bool) {
	d.withBalancer(func(now logic.Time) {
		if detach {
			d.detached[id] = true
			d.balancer.Detach(id)
		} else {
			delete(d.detached, id)
			d.balancer.Attach(now, id)
		}
	})
}
