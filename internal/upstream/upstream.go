// Package upstream holds the connections to one backend and makes single exchanges on them.
// The result of a failed exchange says how far it got, since that decides whether the backend
// may have run the request.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/memory"
	"oxbowloft/internal/neterror"
)

// Stage is how far an exchange got.
type Stage int

// The stages of an exchange.
const (
	Unsent          Stage = iota // no descriptor or local failure, or the request was no longer wanted: nothing was written
	ConnectTimedOut              // no connection within the connect timeout; the dial may still succeed: nothing was written
	SendFailed                   // not connected, or not completely written
	SendAbandoned                // not completely written when the client's time was up or the client left
	Written                      // completely written; it may have run
	Answered                     // an answer came, possibly a malformed one
)

// DescriptorBudget is the budget of file descriptors for connections to backends.
type DescriptorBudget interface {
	TryAcquire() bool // does not wait
	Release()
	Scarce() bool    // another connection would close idle ones
	Exhausted() bool // connections that become idle should be closed
}

// Options are the options and counters that connections to all backends share.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // idle connections are closed before it
	Descriptors DescriptorBudget
	Memory      *memory.Budget // what connections and answers are charged to; nil: no limit
	// KeepFields are the header fields of answers that ExchangeResult.Header contains; nil: all.
	KeepFields http1.FieldNames
	// Dial, if set, is used in place of the net package's. It is set before the first exchange.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// OnLateDialFailure, if set, is called when a dial has failed that no attempt waited for
	// any longer.
	OnLateDialFailure func(b *Backend, err error)

	ConnsOpened     atomic.Int64 // connections established, to all backends
	RequestsWritten atomic.Int64 // requests completely written
	UnrequestedData atomic.Int64 // connections closed because data arrived behind an answer

	connectMu     sync.Mutex
	connectMedian time.Duration // estimate of the median connect time; 0: no sample
	startDelay    time.Duration // how long the goroutine of a dial waits for the processor at most, decaying
}

// Backend is one backend's address with the idle connections to it.
type Backend struct {
	Addr string
	opt  *Options

	lifetime context.Context // ends with Close
	cancel   func()

	mu             sync.Mutex
	idleConns      []*conn // longest idle first
	abandonedDials int     // in progress with no attempt waiting
	closed         bool
}

// New returns a backend without connections.
func New(addr string, opt *Options) *Backend {
	lifetime, cancel := context.WithCancel(context.Background())
	return &Backend{Addr: addr, opt: opt, lifetime: lifetime, cancel: cancel}
}

// Request is what an exchange sends.
type Request struct {
	Render     func(left time.Duration) [][]byte // returns the head and the body or its first part, in pieces, given the time left
	BodyRest   *http1.RemainingBody              // rest of a long body, streamed; nil: none
	Stream     *http1.Stream                     // memory for BodyRest
	TimeUp     func() time.Time                  // when the client's time is up, as far as is known while BodyRest is sent; nil: never
	ClientLeft func() bool                       // called before each write of BodyRest; true abandons the request; nil: never
	ShouldSend func() bool                       // called before the first byte; false abandons the request; nil: always send
	// BeforeLastPiece, if set, is called immediately before the last piece of a request without BodyRest
	// is written, from when on the backend may have it completely.
	BeforeLastPiece func()
	OnWritten       func()        // called once the request is completely written; may be nil
	Timeout         time.Duration // counts from the end of BodyRest, or from DecidedAt if there is none
	DecidedAt       time.Time     // when the balancer decided on the attempt; zero: now
}

// ExchangeResult is the outcome of an exchange.
type ExchangeResult struct {
	Stage       Stage
	Status      int
	Header      http.Header
	Body        []byte               // or its first part
	BodyRest    *http1.RemainingBody // rest of a long body, to be streamed; nil: none
	Err         error                // nil for a complete answer, or for one whose first part has come
	BodyReadErr error                // BodyRest of the request could not be read, a failure of the client

	release func(complete bool)
	hold    memory.Hold // of Body
}

// ReleaseMemory releases the memory of Body, which must not be used any more.
func (r *ExchangeResult) ReleaseMemory() { r.hold.Release() }

// Release gives back the connection of an answer with BodyRest. complete says that BodyRest has
// been read to its end, so that the connection can carry another exchange.
func (r *ExchangeResult) Release(complete bool) {
	if r.release != nil {
		r.release(complete)
		r.release = nil
	}
}

// TimedOut reports whether the exchange ended at its deadline.
func (r *ExchangeResult) TimedOut() bool { return neterror.IsDeadline(r.Err) }

// Exchange sends one request and reads the answer, or the first part of a long one, within the
// request's timeout and until ctx is done. It never retries. On return the connection is idle or
// closed, unless the answer has BodyRest.
func (b *Backend) Exchange(ctx context.Context, req *Request) ExchangeResult {
	decidedAt := req.DecidedAt
	if decidedAt.IsZero() {
		decidedAt = time.Now()
	}
	deadline := decidedAt.Add(req.Timeout)
	c, pieces, failed := b.prepare(ctx, req, deadline)
	if failed != nil {
		return *failed
	}
	c.SetDeadline(deadline)
	stopCancel := context.AfterFunc(ctx, func() { c.SetDeadline(http1.ExpiredDeadline) })
	defer stopCancel()
	for i, piece := range pieces {
		if i == len(pieces)-1 && req.BodyRest == nil && req.BeforeLastPiece != nil {
			req.BeforeLastPiece()
		}
		if _, err := c.Write(piece); err != nil {
			b.discard(c)
			return ExchangeResult{Stage: SendFailed, Err: err}
		}
	}
	if req.BodyRest != nil {
		if ended := b.sendBodyRest(ctx, c, req); ended != nil {
			return *ended
		}
		deadline = time.Now().Add(req.Timeout) // the backend begins at the last byte of the request
		if timeUp := req.timeUp(); timeUp.Before(deadline) {
			deadline = timeUp
		}
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
	return b.readAnswer(ctx, c, deadline, stopCancel)
}

// readAnswer reads the answer to a request that has been completely written, or the first part of a
// long one. stopCancel stops what ends the connection's deadline with ctx, and reports whether it
// did so in time.
func (b *Backend) readAnswer(ctx context.Context, c *conn, deadline time.Time, stopCancel func() bool) ExchangeResult {
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
	// A connection whose deadline the end of ctx may have set is not reused.
	reusable := stopCancel() && !resp.Close
	answer := ExchangeResult{Stage: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body, BodyRest: rest, hold: c.TakeHold()}
	answer.release = func(complete bool) {
		c.BeforeBodyRead, c.AfterBodyRead = nil, nil
		if !complete || !reusable {
			if rest != nil {
				rest.Abandon()
			}
			b.discard(c)
		} else {
			c.SetDeadline(time.Time{})
			b.beginRest(c)
		}
	}
	if rest != nil {
		c.SetDeadline(time.Time{})
		timer := &http1.ProgressTimer{MinTransferRate: answerLimits}
		c.BeforeBodyRead = func(received int64) { c.SetReadDeadline(timer.Begin(received)) }
		c.AfterBodyRead = timer.End
	} else {
		answer.Release(true)
	}
	return answer
}

// prepare returns a connection and the pieces to write on it, immediately before the first byte,
// or the result of an exchange that ends without a connection.
func (b *Backend) prepare(ctx context.Context, req *Request, deadline time.Time) (*conn, [][]byte, *ExchangeResult) {
	for {
		c, err := b.connect(ctx, deadline, req.Timeout)
		switch {
		case errors.Is(err, errConnectTimeout):
			return nil, nil, &ExchangeResult{Stage: ConnectTimedOut, Err: err}
		case errors.Is(err, errNoDescriptor), neterror.Classify(neterror.Dial, err) == neterror.LocalFailure:
			return nil, nil, &ExchangeResult{Stage: Unsent, Err: err} // this says nothing about the backend
		case err != nil:
			return nil, nil, &ExchangeResult{Stage: SendFailed, Err: err}
		case req.ShouldSend != nil && !req.ShouldSend():
			b.returnIdle(c) // nothing has been written on it
			return nil, nil, &ExchangeResult{Stage: Unsent, Err: errNotWanted}
		}
		pieces := req.Render(time.Until(deadline))
		if !c.HasReadMessage() || c.IsIdle() {
			return c, pieces, nil
		}
		b.discardUnidle(c) // the data that arrived meanwhile does not answer this request
	}
}

var (
	errNoDescriptor = errors.New("no file descriptor left for a connection")
	errNotWanted    = errors.New("the request is no longer wanted")
)

// connect takes an idle connection that may carry another exchange, or dials a new one. If the
// dial takes too long, it waits for a resting connection.
func (b *Backend) connect(ctx context.Context, deadline time.Time, timeout time.Duration) (*conn, error) {
	if c := b.takeRested(); c != nil {
		return c, nil
	}
	b.discardUnidleConns() // before one more is opened
	if !b.acquireDescriptor() {
		return nil, errNoDescriptor
	}
	c, err := b.open(ctx, deadline, timeout)
	if errors.Is(err, errConnectTimeout) {
		latest := deadline.Add(-time.Duration((1 - connectTimeoutFraction) * float64(timeout)))
		if c := b.awaitRested(ctx, latest); c != nil {
			return c, nil
		}
	}
	return c, err
}

// acquireDescriptor takes a descriptor for a new connection. If descriptors are scarce, the new
// connection replaces a resting one, so that no other idle connection has to be closed for it.
func (b *Backend) acquireDescriptor() bool {
	if b.opt.Descriptors.Scarce() {
		if c := b.removeIdle(newestIdle); c != nil { // the others have less of their rest left
			c.Close() // and keeps its descriptor
			return true
		}
	}
	return b.opt.Descriptors.TryAcquire()
}

func (b *Backend) discard(c *conn) {
	c.Close()
	b.opt.Descriptors.Release()
}
