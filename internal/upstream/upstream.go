// Package upstream holds the connections to one backend and makes single
// exchanges on them. An exchange that fails says how far it came, since that
// decides whether the backend may have run the request.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/neterror"
)

// Stage is how far an exchange came.
type Stage int

// The stages of an exchange.
const (
	Unsent          Stage = iota // no connection to be had here, or it was not wanted any more: nothing is written
	ConnectTimedOut              // no connection in the time for it, which may come up yet: nothing is written
	SendFailed                   // not connected, or not wholly written
	Written                      // wholly written; it may have run
	Answered                     // an answer came, perhaps a malformed one
)

// DescriptorBudget is the budget of descriptors that connections come from.
type DescriptorBudget interface {
	TryAcquire() bool // without waiting
	Release()
	Exhausted() bool // what becomes idle should be given back
}

// Options are what the connections to all backends have in common.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // idle connections are closed by then
	Descriptors DescriptorBudget
	// Dial, if set, is used in place of the net package's. It is set before the first exchange.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// OnLateDialFailure, if set, is told that a connection which no attempt waited for any longer
	// has not come up at all.
	OnLateDialFailure func(b *Backend, err error)

	ConnsOpened     atomic.Int64 // connections, to all backends
	RequestsWritten atomic.Int64 // requests written whole

	connectMu     sync.Mutex
	connectMedian time.Duration // of the times that connections took to come up
}

// Backend is one backend's address and the idle connections to it.
type Backend struct {
	Addr string
	opt  *Options

	life context.Context // over with Close
	end  func()

	mu     sync.Mutex
	idle   []idle // oldest first
	late   int    // connections on their way that nobody waits for
	closed bool
}

type idle struct {
	conn  *http1.Conn
	since time.Time
}

// New returns a backend without connections.
func New(addr string, opt *Options) *Backend {
	life, end := context.WithCancel(context.Background())
	return &Backend{Addr: addr, opt: opt, life: life, end: end}
}

// Request is what an exchange sends.
type Request struct {
	Render     func(left time.Duration) []byte // head and body, or its first part, with the time left
	BodyRest   *http1.RemainingBody            // of a long body; nil: none
	Transfers  *http1.StreamPool               // for it
	ShouldSend func() bool                     // asked before the first byte whether it is still to be sent; nil: it is
	OnWritten  func()                          // called once all of it is written; may be nil
	Timeout    time.Duration                   // from then on, or from Decided where there is no rest
	DecidedAt  time.Time                       // when the attempt was decided on; zero: now
}

// ExchangeResult is what came back.
type ExchangeResult struct {
	Stage       Stage
	Status      int
	Header      http.Header
	Body        []byte               // or its first part
	BodyRest    *http1.RemainingBody // of a long body; nil: none
	Err         error                // nil for an answer that came whole, or its first part
	BodyReadErr error                // the request's rest could not be read: its sender's fault

	release func(whole bool)
}

// Release lets go of the connection of an answer with a rest: whole, if that has been
// read to its end.
func (a *ExchangeResult) Release(whole bool) {
	if a.release != nil {
		a.release(whole)
		a.release = nil
	}
}

// slowest bounds a transfer to or from a backend. Peers may take seconds over a part;
// one that takes for ever holds a connection and a buffer.
var slowest = http1.MinTransferRate{InitialAllowance: 5 * time.Second, BytesPerSecond: 16 << 10, StallTimeout: 5 * time.Second}

// early is how long an answer to a half-sent request may take to be read once its
// connection has broken.
const early = 50 * time.Millisecond

// ProgressDeadlines returns what says how long each step of a transfer may take, by what has
// passed since now.
func ProgressDeadlines(set func(time.Time) error) func(passed int64) {
	start := time.Now()
	return func(passed int64) { set(slowest.Deadline(start, passed)) }
}

var errEarly = errors.New("answered before the request's end")

// TimedOut tells whether the exchange ended because its time was up.
func (a *ExchangeResult) TimedOut() bool { return neterror.IsDeadline(a.Err) }

// Exchange sends one request and reads the answer, or the first part of a long one,
// all within the request's time-out or until ctx is over. It tries once: what fails is
// never sent again by it. On return the connection is idle or closed, unless the answer
// has a rest.
func (b *Backend) Exchange(ctx context.Context, req *Request) ExchangeResult {
	decided := req.DecidedAt
	if decided.IsZero() {
		decided = time.Now()
	}
	deadline := decided.Add(req.Timeout)
	c, text, failed := b.prepare(ctx, req, deadline)
	if failed != nil {
		return *failed
	}
	c.SetDeadline(deadline)
	unwatch := context.AfterFunc(ctx, func() { c.SetDeadline(http1.ExpiredDeadline) })
	defer unwatch()
	if _, err := c.Write(text); err != nil {
		b.discard(c)
		return ExchangeResult{Stage: SendFailed, Err: err}
	}
	if req.BodyRest != nil {
		carried := c.HasReadMessage()
		err := passRest(ctx, c, req)
		switch {
		case err != nil && ctx.Err() != nil:
			b.discard(c)
			return ExchangeResult{Stage: SendFailed, Err: ctx.Err()}
		case errors.Is(err, errEarly), errors.Is(err, http1.ErrDestination):
			// It said no before the end, or broke: what it said counts.
			if errors.Is(err, http1.ErrDestination) {
				req.Timeout = early
			}
			deadline = time.Now().Add(req.Timeout)
			c.SetDeadline(deadline)
			resp, body, rest, readErr := c.ReadResponse(ctx, deadline)
			b.discard(c)
			if readErr != nil || rest != nil {
				return ExchangeResult{Stage: SendFailed, Err: err}
			}
			// Guards against what is late of an older answer: a backend begins at the
			// request's last byte, and may have begun nothing.
			if resp.StatusCode == http.StatusOK && carried {
				return ExchangeResult{Stage: Answered, Err: errEarly}
			}
			// A reset is told once, and the write has heard it: what ends with its
			// connection now looks whole, wherever it was cut off.
			if resp.StatusCode == http.StatusOK && http1.IsCloseDelimited(resp) && errors.Is(err, http1.ErrDestination) {
				return ExchangeResult{Stage: SendFailed, Err: err}
			}
			return ExchangeResult{Stage: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body}
		case err != nil:
			b.discard(c)
			return ExchangeResult{Stage: SendFailed, Err: err, BodyReadErr: err}
		}
		deadline = time.Now().Add(req.Timeout) // the backend begins at the last byte
		c.SetDeadline(deadline)
		if ctx.Err() != nil {
			b.discard(c)
			return ExchangeResult{Stage: Written, Err: ctx.Err()}
		}
	}
	b.opt.RequestsWritten.Add(1)
	if req.OnWritten != nil {
		req.OnWritten()
	}
	resp, body, rest, err := c.ReadResponse(ctx, deadline)
	if err != nil {
		b.discard(c)
		stage := Written
		if errors.Is(err, http1.ErrMalformed) || errors.Is(err, http1.ErrHeaderTooLarge) ||
			errors.Is(err, http1.ErrBodyTooLarge) {
			stage = Answered
		}
		return ExchangeResult{Stage: stage, Err: err}
	}
	// One that ctx may have touched meanwhile carries no other exchange.
	fit := unwatch() && !resp.Close
	answer := ExchangeResult{Stage: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body, BodyRest: rest}
	answer.release = func(whole bool) {
		c.BeforeBodyRead = nil
		if !whole || !fit || c.Buffered() > 0 {
			if rest != nil {
				rest.Abandon()
			}
			b.discard(c)
		} else {
			c.SetDeadline(time.Time{})
			b.keep(c)
		}
	}
	if rest != nil {
		c.SetDeadline(time.Time{})
		c.BeforeBodyRead = ProgressDeadlines(c.SetReadDeadline)
	} else {
		answer.Release(true)
	}
	return answer
}

// prepare has a connection and the text for it, just before the first byte, or how the
// exchange ends without one.
func (b *Backend) prepare(ctx context.Context, req *Request, deadline time.Time) (*http1.Conn, []byte, *ExchangeResult) {
	for {
		c, err := b.connect(ctx, deadline, req.Timeout)
		switch {
		case errors.Is(err, errLate):
			return nil, nil, &ExchangeResult{Stage: ConnectTimedOut, Err: err}
		case errors.Is(err, errNoSlot), neterror.Classify(neterror.Dial, err) == neterror.LocalFailure:
			return nil, nil, &ExchangeResult{Stage: Unsent, Err: err} // it says nothing of the backend
		case err != nil:
			return nil, nil, &ExchangeResult{Stage: SendFailed, Err: err}
		case req.ShouldSend != nil && !req.ShouldSend():
			b.keep(c) // nothing has been written on it
			return nil, nil, &ExchangeResult{Stage: Unsent, Err: errUnwanted}
		}
		text := req.Render(time.Until(deadline))
		if !c.HasReadMessage() || c.IsIdle() {
			return c, text, nil
		}
		b.discard(c) // what has come since it was taken is not ours
	}
}

// passRest sends the rest of a long request on as it comes. An answer that comes
// meanwhile ends it, since the backend has said no; so does the end of ctx, wherever the
// transfer stands.
func passRest(ctx context.Context, c *http1.Conn, req *Request) error {
	c.SetReadDeadline(time.Time{})
	var answered atomic.Bool
	said := func() {
		answered.Store(true)
		req.BodyRest.Interrupt() // the sender may be slow, or wait for the answer
	}
	c.WatchPeer(said, said)
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		req.BodyRest.Interrupt()
		close(interrupted)
	})
	within := ProgressDeadlines(c.SetWriteDeadline)
	err := req.Transfers.Forward(c, req.BodyRest, false, func(passed int64) error {
		if answered.Load() {
			return errEarly
		}
		within(passed)
		return ctx.Err() // looked at last: the deadline that ends it may just have been overwritten
	})
	c.UnwatchPeer()
	givenUp := !stop()
	if givenUp {
		<-interrupted
	}
	if givenUp || answered.Load() {
		req.BodyRest.Resume()
	}
	if answered.Load() && errors.Is(err, http1.ErrInterrupted) {
		err = errEarly
	}
	return err
}

var (
	errNoSlot   = errors.New("no descriptor to spare")
	errUnwanted = errors.New("no longer to be sent")
)

// restLeast is how long a connection rests after an answer, while another can be
// had: what a backend sends right behind an answer comes in that time, is seen, and
// can't be taken for the next one.
const restLeast = 2 * time.Millisecond

// connect takes the newest idle connection that is still open, or opens one.
func (b *Backend) connect(ctx context.Context, deadline time.Time, timeout time.Duration) (*http1.Conn, error) {
	if c := b.reuse(restLeast); c != nil {
		return c, nil
	}
	spare := b.reuse(0)
	if !b.opt.Descriptors.TryAcquire() {
		if spare != nil {
			return spare, nil
		}
		return nil, errNoSlot
	}
	if spare != nil {
		b.keep(spare)
	}
	c, err := b.open(ctx, deadline, timeout)
	if errors.Is(err, errLate) { // one that was in use or at rest meanwhile will do
		if c := b.reuse(0); c != nil {
			return c, nil
		}
	}
	return c, err
}

// reuse takes the newest idle connection that has rested and is still open.
func (b *Backend) reuse(rest time.Duration) *http1.Conn {
	for {
		c := b.newest(time.Now().Add(-rest))
		if c == nil || c.IsIdle() {
			return c
		}
		b.discard(c)
	}
}

// newest takes the newest connection that was idle at a time, or has carried nothing yet.
func (b *Backend) newest(at time.Time) *http1.Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := len(b.idle) - 1; n >= 0; n-- {
		if c := b.idle[n]; !c.since.After(at) || !c.conn.HasReadMessage() {
			b.idle = slices.Delete(b.idle, n, n+1)
			return c.conn
		}
	}
	return nil
}

func (b *Backend) keep(c *http1.Conn) {
	full := b.opt.Descriptors.Exhausted()
	b.mu.Lock()
	drop := full || b.closed
	if !drop {
		b.idle = append(b.idle, idle{c, time.Now()})
	}
	b.mu.Unlock()
	if drop {
		b.discard(c)
	}
}

func (b *Backend) discard(c *http1.Conn) {
	c.Close()
	b.opt.Descriptors.Release()
}

// CloseExpired closes the connections that have stood idle for most of the limit, so
// that none is used which the backend is about to close.
func (b *Backend) CloseExpired(now time.Time) {
	const most = 0.7
	b.closeAll(b.take(func(i idle) bool { return float64(now.Sub(i.since)) > most*float64(b.opt.IdleTimeout) }))
}

// RemoveIdle takes all idle connections out of use, without waiting for anything.
// The function that it returns closes them.
func (b *Backend) RemoveIdle() (closeThem func()) {
	out := b.take(func(idle) bool { return true })
	return func() { b.closeAll(out) }
}

// IdleCount is how many connections are idle.
func (b *Backend) IdleCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.idle)
}

// OldestIdleSince is when the oldest idle connection became idle.
func (b *Backend) OldestIdleSince() (since time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle) == 0 {
		return since, false
	}
	return b.idle[0].since, true
}

// CloseOldestIdle closes the oldest idle connection, if there is one.
func (b *Backend) CloseOldestIdle() bool {
	first := true
	out := b.take(func(idle) bool { was := first; first = false; return was })
	b.closeAll(out)
	return len(out) > 0
}

// Close closes the idle connections, those in use once they become idle, and gives up those
// on their way.
func (b *Backend) Close() {
	b.end()
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.RemoveIdle()()
}

// take takes those idle connections out of use that which says.
func (b *Backend) take(which func(idle) bool) (out []*http1.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.idle[:0]
	for _, i := range b.idle {
		if which(i) {
			out = append(out, i.conn)
		} else {
			kept = append(kept, i)
		}
	}
	clear(b.idle[len(kept):])
	b.idle = kept
	return out
}

func (b *Backend) closeAll(conns []*http1.Conn) {
	for _, c := range conns {
		b.discard(c)
	}
}
