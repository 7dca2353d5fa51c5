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
	calls    map[string]*call
	open     map[string]bool // callers' ids of requests in the module's hands
	backends map[string]place
	serial   uint64
	later    []func()
	current  *call // whose outcome the module is handling

	violations  *violations
	standingLog logging.RateLimiter // of backends whose standing changes
	staleLog    *staleAttemptLog
	listUntil   logic.Time      // the list holds all that counts as told until then; 0: nothing is known of it
	byHandOut   map[string]bool // detached by operators
}

// place is where a backend is, since when.
type place struct {
	*upstream.Backend
	boot    int64      // the stamp of its start, as discovery gives it
	started logic.Time // what that is taken for, from when it was first told
	state   logic.State
	leaving logic.Time // since when it is not in service
}

// call is one request in the module's hands.
type call struct {
	id     string
	name   string            // its caller's id
	repeat logic.Idempotency // what a second run of it would do
	ran    bool              // an attempt may have run
	sends  int
	cancel func()      // gives up the attempt sent last
	begun  bool        // that attempt is being written, or has been
	past   logic.Time  // how long past the list's time it began; 0: it did not
	left   bool        // its client has: the step that says so is out
	steps  chan step   // room for one step and the client's going
	timer  *time.Timer // of its backoff
	ahead  atomic.Bool // its caller has sent on before the answer
}

type stepKind int

const (
	stepSend stepKind = iota
	stepRefuse
	stepFail
	stepGone
	stepAhead
)

// step is what the module wants next for a request.
type step struct {
	kind     stepKind
	attempt  int
	uid      string // of the backend
	to       *upstream.Backend
	sent     time.Time
	timeout  time.Duration
	ctx      context.Context // over once the attempt is given up
	cancel   func()
	withheld bool // it must not be sent
	comeBack time.Duration
	why      logic.Cause // of a refusal or failure
}

func newDriver(cfg *Config, opt *upstream.Options, st *stats) *driver {
	d := &driver{
		clock:    newClock(),
		classes:  cfg.logic.Classes,
		opt:      opt,
		stats:    st,
		calls:    map[string]*call{},
		open:     map[string]bool{},
		backends: map[string]place{},

		violations:  newViolations(),
		standingLog: logging.RateLimiter{Interval: standingEvery, Burst: 20},
		staleLog:    newStaleAttemptLog(),
		byHandOut:   map[string]bool{},
	}
	opt.OnLateDialFailure = d.unreached
	d.do(func(now logic.Time) { d.balancer = logic.New(now, cfg.logic, d) })
	return d
}

// moduleFault is a panic inside the decision module, or of what it asked for.
type moduleFault struct{ cause any }

// do makes one call to the module, then what must wait until the lock is free.
func (d *driver) do(f func(now logic.Time)) {
	d.mu.Lock()
	inside := true
	defer func() {
		if !inside {
			return
		}
		if cause := recover(); cause != nil {
			panic(moduleFault{fmt.Sprintf("%v\n%s", cause, debug.Stack())})
		}
	}()
	f(d.clock.now())
	inside = false
	later := d.later
	d.later = nil
	d.mu.Unlock()
	for _, f := range later {
		f()
	}
}

// arrive hands a request to the module; its first step is ready on return. It
// returns nil for one whose id is open here already.
func (d *driver) arrive(name string, class int, budget time.Duration, retry, long bool) (r *call) {
	d.do(func(now logic.Time) {
		if d.open[name] {
			return
		}
		d.open[name] = true
		// The module gets ids of our own: a caller's may come again.
		d.serial++
		r = &call{id: strconv.FormatUint(d.serial, 36), name: name, steps: make(chan step, 2)}
		r.repeat = d.classes[class].Idempotency
		d.calls[r.id] = r
		d.balancer.StartRequest(now, logic.Request{ID: r.id, Class: class, Budget: budget, ClientRetry: retry, Streamed: long})
	})
	return r
}

// connected reports that the connection for an attempt stands, and tells whether the
// attempt still is to be written.
func (d *driver) connected(r *call, s step) (yes bool) {
	d.do(func(now logic.Time) {
		// A backend that has moved is another machine, whatever the module knows of it.
		yes = d.backends[s.uid].Backend == s.to && d.balancer.MaySendOnConnect(now, r.id)
		yes = yes && d.mayStart(r) && d.maySend(r, s) && !s.withheld
		r.begun = yes
		if yes && d.listUntil != 0 {
			r.past = max(0, now-d.listUntil)
		}
	})
	return yes
}

// written reports that the attempt of a long request has been written whole.
func (d *driver) written(r *call) {
	d.do(func(now logic.Time) { d.balancer.RequestWritten(now, r.id) })
}

// done reports the end of an attempt, and whether the request is spent. Unless it is
// final, a step follows.
func (d *driver) done(r *call, s step, result logic.Result, final, spent bool) {
	var past time.Duration
	d.do(func(now logic.Time) {
		past, r.past = r.past, 0
		d.current = r
		defer func() { d.current = nil }()
		r.ran = r.ran || mayHaveRun(result)
		d.balancer.AttemptDone(now, logic.Outcome{
			Request:       r.id,
			Attempt:       s.attempt,
			Result:        result,
			Latency:       now - d.clock.at(s.sent),
			Final:         final,
			NotReplayable: spent,
		})
	})
	if past > 0 {
		d.staleLog.write(r, s, past, result)
	}
}

// unreached reports that a connection to a backend has not come up at all, which no attempt
// waited for any longer.
func (d *driver) unreached(b *upstream.Backend, err error) {
	if neterror.Classify(neterror.Dial, err) == neterror.LocalFailure {
		return
	}
	d.do(func(now logic.Time) {
		for uid, p := range d.backends {
			if p.Backend == b {
				d.balancer.ConnectAttemptFailed(now, uid)
			}
		}
	})
}

// mayHaveRun tells whether an attempt that ended so may have run.
func mayHaveRun(result logic.Result) bool {
	switch result {
	case logic.Rejected, logic.ConnectFailed, logic.NotSent, logic.ConnectPending:
		return false
	}
	return true
}

// hasLeft tells whether a request's client has left.
func (d *driver) hasLeft(r *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.left
}

// gone reports that a request's client has left.
func (d *driver) gone(r *call) { d.over(r, stepGone) }

// ahead reports that a request's client has sent on before its answer: it is not
// served.
func (d *driver) ahead(r *call) {
	r.ahead.Store(true)
	d.over(r, stepAhead)
}

// over reports that a request has ended without the module, and hands on how. An attempt
// that has not begun is given up; whether one that has begun is, the module says.
func (d *driver) over(r *call, how stepKind) {
	d.do(func(now logic.Time) {
		if r.left { // there is room for one such step
			return
		}
		r.left = true
		d.balancer.ClientGone(now, r.id)
		if r.cancel != nil && !r.begun {
			r.cancel()
		}
		r.steps <- step{kind: how}
	})
}

// wake reports the end of a wait that the module asked for.
func (d *driver) wake(token uint64) {
	d.do(func(now logic.Time) { d.balancer.TimerFired(now, token) })
}

// end reports that the proxy ends, and with it each request that is still open: each
// gets its answer from the module now, and what is out for it is given up.
func (d *driver) end() {
	d.do(func(logic.Time) {
		for id, r := range d.calls {
			d.balancer.AbandonRequest(id)
			if r.cancel != nil {
				r.cancel()
			}
		}
	})
}

// forget lets go of a request whose answer is known. It comes before the first byte of
// the answer: who has read that may use the id again at once.
func (d *driver) forget(r *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[r.id] != r {
		return // the id may be another one's by now
	}
	delete(d.calls, r.id)
	delete(d.open, r.name)
	if r.timer != nil {
		r.timer.Stop()
	}
}

// states are the module's words for the states of a target.
var states = map[string]logic.State{
	discovery.InService:   logic.Up,
	discovery.Terminating: logic.Draining,
	discovery.Terminated:  logic.Removed,
}

// list hands on news of the backends.
func (d *driver) list(l *discovery.List) {
	lines := make([]logic.Backend, 0, len(l.Targets))
	named := map[string]bool{}
	d.do(func(now logic.Time) {
		for _, t := range l.Targets {
			if t.State == discovery.Terminated {
				d.drop(t.UID)
			} else {
				d.place(now, t, l.PreviousConfirmedAt)
			}
			line := logic.Backend{ID: t.UID, Zone: t.Zone, Cell: t.Cell, Capacity: t.CapacityHint, State: states[t.State]}
			line.StartedAt = d.backends[t.UID].started
			lines = append(lines, line)
			named[t.UID] = true
		}
		for uid := range d.backends {
			if l.Complete && !named[uid] {
				d.drop(uid)
			}
		}
		d.balancer.UpdateList(now, l.Complete, lines)
	})
}

// place makes sure that a backend is reached where the list says. Connections
// from before it moved or started again are of no use: guards against calls
// broken on those that a machine left open when it vanished.
func (d *driver) place(now logic.Time, t discovery.Target, before time.Time) {
	b, ok := d.backends[t.UID]
	same := ok && b.boot == t.BootMs
	state, leaving := states[t.State], b.leaving
	if state != b.state {
		leaving = now
	}
	if same && b.Addr == t.Endpoint {
		b.state, b.leaving = state, leaving
		d.backends[t.UID] = b
		return
	}
	started := b.started
	if !same {
		started = d.clock.booted(now, t.BootMs, before)
	}
	d.drop(t.UID)
	d.backends[t.UID] = place{upstream.New(t.Endpoint, d.opt), t.BootMs, started, state, leaving}
}

// drop lets go of a backend, if it is known, and of the connections to it.
func (d *driver) drop(uid string) {
	if b, ok := d.backends[uid]; ok {
		delete(d.backends, uid)
		d.later = append(d.later, b.Close)
	}
}

// listFresh reports for how long the list may be used.
func (d *driver) listFresh(f discovery.Freshness) {
	fresh := logic.ListFreshness{
		FreshUntil:     d.clock.at(f.Until),
		StaleUntil:     d.clock.at(f.UntilIfServing),
		EvidenceWindow: f.ServingWindow,
		ConfirmedAt:    d.clock.ifEver(f.ConfirmedAt),
		ReceivedAt:     d.clock.ifEver(f.ReceivedAt),
		ChangesMayLag:  f.MayAnnounceLate,
		MaxUnobserved:  discovery.MaxUnobservedGap,
	}
	d.do(func(logic.Time) {
		d.listUntil = fresh.FreshUntil
		d.balancer.SetListFreshness(fresh)
	})
}

// all returns the backends there are.
func (d *driver) all() []*upstream.Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*upstream.Backend, 0, len(d.backends))
	for _, b := range d.backends {
		out = append(out, b.Backend)
	}
	return out
}

func (d *driver) known() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.backends)
}

// listed is how many backends the list has, and how many of them are avoided.
func (d *driver) listed() (all, avoided int) {
	d.do(func(now logic.Time) { all, avoided = len(d.backends), d.balancer.OutOfRotation(now) })
	return all, avoided
}

// knows tells whether a backend is listed, or out by hand.
func (d *driver) knows(id string) (yes bool) {
	d.do(func(logic.Time) { yes = d.balancer.IsKnown(id) })
	return yes
}

// byHand takes a backend out, or in again. It holds on return.
func (d *driver) byHand(id string, out bool) {
	d.do(func(now logic.Time) {
		if out {
			d.byHandOut[id] = true
			d.balancer.Detach(id)
		} else {
			delete(d.byHandOut, id)
			d.balancer.Attach(now, id)
		}
	})
}
