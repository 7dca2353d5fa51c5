package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/memory"
	"oxbowloft/internal/upstream"
	"oxbowloft/logic"
)

// exchange is one request that has been read, up to its response.
type exchange struct {
	proxy    *Proxy
	conn     *clientConn
	req      *http.Request
	fields   http1.Fields
	body     []byte               // or its first part
	rest     *http1.RemainingBody // of a long body; nil: none
	info     *requestInfo
	start    time.Time // when it had been read
	outcomes *[outcomeCount]atomic.Int64

	charged  bool // its memory is charged
	request  *activeRequest
	stream   *http1.Stream // for rest; nil: none
	inFlight *step         // the current attempt
	attempts []attemptTrace
}

// memoryWait is how long a request waits for its memory.
const memoryWait = 100 * time.Millisecond

// acquireMemory charges what the request needs until it is answered, and reports whether there was
// room.
func (e *exchange) acquireMemory() bool {
	if e.rest != nil {
		const budgetDivisor = 2 // half of the time is left to say when to come back
		stream, err := e.proxy.uploadPool.Acquire(min(http1.AcquireTimeout, e.info.budget/budgetDivisor))
		if err != nil {
			return false
		}
		e.stream = stream
	}
	e.charged = e.proxy.memory.Charge(memory.Request, requestBytes, memoryWait)
	return e.charged
}

// releaseMemory releases what acquireMemory has charged.
func (e *exchange) releaseMemory() {
	if e.stream != nil {
		e.stream.Release()
	}
	if e.charged {
		e.proxy.memory.Release(memory.Request, requestBytes)
	}
}

// refuseForMemory answers a request for which there is no memory. It has had no effect.
func (e *exchange) refuseForMemory() bool {
	p := e.proxy
	e.outcomes[throttled].Add(1)
	text := "refused"
	if e.rest != nil { // most of the body is unread
		e.req.Close, text = true, "busy"
		e.logEnd(endBusy, "")
	} else {
		e.logEnd(endRefused, causeNoMemory)
	}
	return p.respond(e.conn, e.req, http.StatusServiceUnavailable, retryAfterHeader(p.cfg.logicSettings.MaxRetryAfter), text)
}

// refuseUnread answers a request that could not be read for want of memory, after which its connection
// is closed.
func (p *Proxy) refuseUnread(c *clientConn) bool {
	p.stats.recordBadRequest(http.StatusServiceUnavailable, c.conn.RemoteAddr(), http1.ErrNoMemory)
	p.writeResponse(c, http.StatusServiceUnavailable, retryAfterHeader(p.cfg.logicSettings.MaxRetryAfter), []byte("refused\n"), true)
	return false
}

// logEnd logs how the request ended.
func (e *exchange) logEnd(end requestEnd, cause string) {
	e.proxy.endLog.write(e.info, end, cause, e.start, e.attempts)
}

// run passes the request to the balancing logic and executes what that decides, until the request is
// answered. It returns whether the connection can carry another one.
func (e *exchange) run() bool {
	p, c := e.proxy, e.conn
	r := p.driver.startRequest(e.info.id, e.info.class, e.info.budget, time.Since(e.info.sentAt), e.info.retry, e.rest != nil)
	if r == nil {
		p.answerBadRequest(c, http.StatusConflict, errDuplicateID)
		return false
	}
	e.request = r
	c.onLastByte = func() {
		if r.runsOnce && c.conn.PeerClosed() { // it may ask again, not knowing of the response
			p.driver.clientGone(r)
		}
		p.driver.responseWritten(r)
	}
	defer func() {
		c.onLastByte = nil
		p.driver.forget(r, !c.resetOnClose) // a response may break off, or be ended by the close
	}()
	defer func() { p.checkClosed(c, r, e.info.id) }()
	defer func() {
		if e.inFlight != nil { // a panic is passing through
			p.driver.attemptDone(r, *e.inFlight, logic.Cancelled, true, false)
			e.inFlight.cancel()
		}
	}()
	defer c.conn.UnwatchPeer()
	for {
		step := <-r.steps
		if step.kind == stepSend {
			if answered, open := e.attempt(step); answered {
				return open
			}
			continue
		}
		p.driver.responseDecided(r)
		return e.answer(step)
	}
}

// answer gives the answer that the balancing logic has decided on.
func (e *exchange) answer(step step) (open bool) {
	p, c := e.proxy, e.conn
	switch step.kind {
	case stepRefuse:
		e.logEnd(endRefused, step.cause.String())
		e.outcomes[throttled].Add(1)
		return e.keepOpen(p.respond(c, e.req, http.StatusServiceUnavailable, retryAfterHeader(step.retryAfter), "refused"))
	case stepFail:
		e.logEnd(endFailed, step.cause.String())
		e.outcomes[faulted].Add(1)
		return e.keepOpen(p.respond(c, e.req, http.StatusBadGateway, nil, "failed"))
	case stepPipelined:
		e.logEnd(endPipelined, "")
		p.answerBadRequest(c, http.StatusBadRequest, errPipelined)
		return false
	default: // stepClientGone
		e.logEnd(endClientGone, "")
		return p.clientGone(c, e.req)
	}
}

// keepOpen reads the rest of a request that has been answered, and returns whether the connection can
// carry another one.
func (e *exchange) keepOpen(open bool) bool {
	return open && (e.rest == nil || e.stream.Discard(e.rest) == nil)
}

// watchClient watches the client's connection while its request is open.
func (e *exchange) watchClient() {
	p, r := e.proxy, e.request
	e.conn.conn.WatchPeer(func() { p.driver.clientGone(r) }, func() { p.driver.clientPipelined(r) })
}

// upstreamRequest returns what an attempt sends.
func (e *exchange) upstreamRequest(step *step) *upstream.Request {
	p, c, r := e.proxy, e.conn, e.request
	request := &upstream.Request{Timeout: step.timeout, DecidedAt: step.sentAt, BodyRest: e.rest, Stream: e.stream}
	clientLeft := func() bool { // noticed here even behind an unread body
		left := c.conn.PeerClosed()
		if left {
			p.driver.clientGone(r)
		}
		return left
	}
	request.ShouldSend = func() bool {
		clientLeft()
		return p.driver.connected(r, *step)
	}
	request.Render = func(left time.Duration) [][]byte {
		return encodeRequest(e.req, e.fields, step.backend.Addr, e.body, e.rest, left)
	}
	if e.rest == nil {
		request.BeforeLastPiece = func() { p.driver.requestWritten(r) }
		return request
	}
	request.TimeUp, request.ClientLeft = e.timeUp, clientLeft
	request.OnWritten = func() {
		step.sentAt = time.Now()
		p.driver.streamedRequestWritten(r)
		if c.conn.HasPipelinedData() { // already here: no need for a watch to notice it
			p.driver.clientPipelined(r)
			return
		}
		c.conn.SetReadDeadline(time.Time{}) // of the rest of the body
		e.watchClient()
	}
	return request
}

// timeUp returns when the client's time is up, which counts from its last byte, as far as is known: it
// may be later once more is known of when the client sent that.
func (e *exchange) timeUp() time.Time {
	sentAt := e.info.sentAt
	if e.rest != nil {
		if unfinished := e.rest.UnfinishedAt(); unfinished.After(sentAt) {
			sentAt = unfinished
		}
	}
	return sentAt.Add(e.info.budget)
}

// attempt makes one attempt. It reports whether the request has been answered, and whether the
// connection can then carry another one.
func (e *exchange) attempt(step step) (answered, open bool) {
	p, c, r := e.proxy, e.conn, e.request
	request := e.upstreamRequest(&step)
	if e.rest == nil {
		e.watchClient()
	}
	e.inFlight = &step
	exchanged := step.backend.Exchange(step.ctx, request)
	defer exchanged.ReleaseMemory()
	result, final := attemptOutcome(&exchanged)
	if exchanged.Err != nil && errors.Is(step.ctx.Err(), context.Canceled) {
		result = logic.Cancelled
		if exchanged.Stage < upstream.Written {
			result = logic.NotSent
		}
	}
	step.cancel()
	e.inFlight = nil
	p.driver.attemptDone(r, step, result, final, e.rest != nil && e.rest.ReadStarted())
	p.stats.recordAttempt(result)
	e.attempts = append(e.attempts, attemptTrace{step.uid, result, time.Since(step.sentAt)})
	if final {
		p.driver.responseDecided(r)
	}
	switch {
	case exchanged.BodyReadErr != nil:
		return true, e.answerUnreadable(exchanged.BodyReadErr)
	case r.pipelined.Load():
		exchanged.Release(false)
	case result == logic.OK:
		return true, e.serve(&exchanged)
	case final:
		exchanged.Release(false)
		e.logEnd(endRejected, strconv.Itoa(exchanged.Status))
		e.outcomes[faulted].Add(1)
		return true, e.keepOpen(p.respond(c, e.req, exchanged.Status, nil, "rejected"))
	default:
		exchanged.Release(false)
	}
	return false, false
}

// answerUnreadable answers a long request whose rest could not be read.
func (e *exchange) answerUnreadable(err error) (open bool) {
	e.logEnd(endUnreadable, "")
	if errors.Is(err, http1.ErrNoMemory) {
		return e.proxy.refuseUnread(e.conn)
	}
	e.proxy.answerBadRequest(e.conn, readErrorStatus(err), err)
	return false
}

// serve passes on a backend's response.
func (e *exchange) serve(response *upstream.ExchangeResult) (open bool) {
	e.proxy.stats.recordLatency(time.Since(e.start))
	open = e.forwardResponse(response)
	switch {
	case e.conn.resetOnClose:
		e.logEnd(endCutShort, "")
	case time.Now().After(e.timeUp()):
		e.logEnd(endLate, "")
	}
	return e.keepOpen(open)
}
