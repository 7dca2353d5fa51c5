package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"oxbowloft/internal/http1"
)

// TransferLimits bounds the time that a peer takes to read a message. It may take seconds over a part,
// but must not hold a connection and a buffer indefinitely.
var TransferLimits = http1.MinTransferRate{InitialAllowance: 5 * time.Second, BytesPerSecond: 16 << 10, StallTimeout: 5 * time.Second}

// answerLimits bounds the time that a backend takes to write an answer that has begun. One that still
// writes is not cut off.
var answerLimits = http1.MinTransferRate{InitialAllowance: 5 * time.Second, BytesPerSecond: 1 << 10, StallTimeout: 5 * time.Second}

// earlyAnswerTimeout bounds the reading of an answer to a partly sent request after the
// connection has broken.
const earlyAnswerTimeout = 50 * time.Millisecond

var (
	errEarlyAnswer = errors.New("the backend answered before the end of the request")
	errTimeUp      = errors.New("the client's time was up before the end of the request")
	errClientLeft  = errors.New("the client left before the end of the request")
)

// sendBodyRest streams the rest of a long request body. It returns the result of an exchange that
// ends with it, or nil if the request is completely written.
func (b *Backend) sendBodyRest(ctx context.Context, c *conn, req *Request) *ExchangeResult {
	reused := c.HasReadMessage()
	err := streamBody(ctx, c, req)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		b.discard(c)
		return &ExchangeResult{Stage: SendFailed, Err: ctx.Err()}
	case errors.Is(err, errTimeUp), errors.Is(err, errClientLeft):
		b.discard(c)
		return &ExchangeResult{Stage: SendAbandoned, Err: err}
	case errors.Is(err, errEarlyAnswer):
		return b.readEarlyAnswer(ctx, c, err, reused, req.Timeout)
	case errors.Is(err, http1.ErrDestination): // an answer may have come before the connection broke
		return b.readEarlyAnswer(ctx, c, err, reused, earlyAnswerTimeout)
	}
	b.discard(c)
	return &ExchangeResult{Stage: SendFailed, Err: err, BodyReadErr: err}
}

// readEarlyAnswer reads the answer to a partly sent request, whose transfer ended with sendErr, and
// closes the connection. reused says that the connection has carried another exchange.
func (b *Backend) readEarlyAnswer(ctx context.Context, c *conn, sendErr error, reused bool, timeout time.Duration) *ExchangeResult {
	deadline := time.Now().Add(timeout)
	c.SetDeadline(deadline)
	resp, body, rest, err := c.ReadResponse(ctx, deadline)
	defer b.discard(c) // releases the memory of an answer that is not taken
	switch {
	case err != nil || rest != nil:
		return &ExchangeResult{Stage: SendFailed, Err: sendErr}
	// On a reused connection this 200 may be a late answer to an older request: a backend begins
	// only at the last byte of a request, and has not run this one.
	case resp.StatusCode == http.StatusOK && reused:
		return &ExchangeResult{Stage: Answered, Err: errEarlyAnswer}
	// The system reports a reset once, here to the write. An answer that ends with its connection
	// looks complete to the reader then, even if it was cut off.
	case resp.StatusCode == http.StatusOK && http1.IsCloseDelimited(resp) && errors.Is(sendErr, http1.ErrDestination):
		return &ExchangeResult{Stage: SendFailed, Err: sendErr}
	}
	return &ExchangeResult{Stage: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body, hold: c.TakeHold()}
}

// streamBody streams the rest of a long request body. An answer that comes meanwhile ends it,
// since it is a rejection by the backend, and so does the end of ctx at any point of the
// transfer.
func streamBody(ctx context.Context, c *conn, req *Request) error {
	c.SetReadDeadline(time.Time{})
	var answered atomic.Bool
	onAnswer := func() {
		answered.Store(true)
		req.BodyRest.Interrupt() // the client may be slow, or wait for the answer
	}
	c.WatchPeer(onAnswer, onAnswer)
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		req.BodyRest.Interrupt()
		close(interrupted)
	})
	err := req.Stream.Forward(c.Conn, req.BodyRest, bodyOptions(ctx, c, req, &answered))
	c.UnwatchPeer()
	cancelled := !stop()
	if cancelled {
		<-interrupted
	}
	if cancelled || answered.Load() {
		req.BodyRest.Resume()
	}
	if answered.Load() && errors.Is(err, http1.ErrInterrupted) {
		err = errEarlyAnswer
	}
	return err
}

// bodyOptions returns the options with which streamBody forwards the rest of a body. Its time is bounded
// by the backend's progress and by the client's time.
func bodyOptions(ctx context.Context, c *conn, req *Request, answered *atomic.Bool) http1.ForwardOptions {
	timer := &http1.ProgressTimer{MinTransferRate: TransferLimits}
	endedByTimeUp := false // the deadline that is set
	return http1.ForwardOptions{
		BeforeWrite: func(transferred int64) error {
			switch {
			case answered.Load():
				return errEarlyAnswer
			case req.ClientLeft != nil && req.ClientLeft():
				return errClientLeft
			}
			deadline, timeUp := timer.Begin(transferred), req.timeUp()
			if endedByTimeUp = timeUp.Before(deadline); endedByTimeUp {
				deadline = timeUp
			}
			if !time.Now().Before(timeUp) {
				return errTimeUp
			}
			c.SetWriteDeadline(deadline)
			return ctx.Err() // checked last: the deadline set at the end of ctx may have been overwritten
		},
		AfterWrite: timer.End,
		// The last byte, at which the backend begins, is written by itself, after a last call of BeforeWrite.
		BeforeLastByte:  func() {},
		OnWriteDeadline: func() bool { return endedByTimeUp && ctx.Err() == nil },
	}
}

// farFuture is later than any deadline.
const farFuture = 24 * time.Hour

// timeUp returns when the client's time is up as far as is known: it may be later once more is known of
// when the client sent its last byte.
func (r *Request) timeUp() time.Time {
	if r.TimeUp == nil {
		return time.Now().Add(farFuture)
	}
	return r.TimeUp()
}
