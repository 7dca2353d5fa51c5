package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/neterror"
	"oxbowloft/internal/upstream"
	"oxbowloft/logic"
)

// Headers of the protocol.
const (
	headerID           = "X-Request-ID"
	headerClass        = "X-Priority-Class"
	headerTimeout      = "X-Timeout-Ms"
	headerRetry        = "X-Retried" // where the settings say that clients mark retries
	headerNotProcessed = "X-Not-Processed"

	pathReady = "/healthz"
)

const (
	writeLimit = 5 * time.Second
	// maxTimeout is the longest time-out taken for one, in milliseconds.
	maxTimeout = 24 * 3600 * 1000
	maxID      = 256 // bytes of a request's id
)

// exchange is the life of one request, from the wait for it to its answer. It
// returns whether the connection can carry another.
func (p *Proxy) exchange(c *client) bool {
	// Read.
	req, body, rest, err := p.clients.next(c)
	if err != nil {
		p.turnAway(c, unreadable(err), err)
		return false
	}
	if rest != nil {
		defer rest.Abandon()
	}
	if req.Method == http.MethodGet && req.URL.Path == pathReady && rest == nil {
		return p.ready(c, req)
	}
	in, code, err := p.parse(req, len(body) > 0 || rest != nil)
	if err != nil {
		p.turnAway(c, code, err)
		return false
	}
	start := time.Now()
	if c.conn.PeerClosed() { // while it waited to be read: nobody is to be asked for it
		return p.clientGone(c, req)
	}

	// Arrive.
	call := p.driver.arrive(in.id, in.class, in.budget, in.retry, rest != nil)
	if call == nil {
		p.turnAway(c, http.StatusConflict, errOpen)
		return false
	}
	p.stats.open.Add(1)
	defer p.stats.open.Add(-1)
	defer p.driver.forget(call)
	defer func() { p.closed(c, call, in.id) }()
	var out *step // the attempt that is out
	defer func() {
		if out != nil { // a panic went by
			p.driver.done(call, *out, logic.Cancelled, true, false)
			out.cancel()
		}
	}()
	defer c.conn.UnwatchPeer()
	ends := &p.stats.ends[in.class]
	watch := func() {
		c.conn.WatchPeer(func() { p.driver.gone(call) }, func() { p.driver.ahead(call) })
	}
	var attempts []attemptTrace
	ended := func(end requestEnd, cause string) { p.endLog.write(&in, end, cause, start, attempts) }
	stays := func(open bool) bool { // what still comes of a request that has its answer is read
		return open && (rest == nil || rest.Discard(p.transfers) == nil)
	}

	// Step, attempt, outcome, until there is an answer.
	for {
		step := <-call.steps
		if step.kind != stepSend {
			p.driver.forget(call)
		}
		switch step.kind {
		case stepSend:
			sending := &upstream.Request{Timeout: step.timeout, DecidedAt: step.sent, BodyRest: rest, Transfers: p.transfers}
			sending.ShouldSend = func() bool {
				if c.conn.PeerClosed() { // also behind a body that nobody has read to its end
					p.driver.gone(call)
				}
				return p.driver.connected(call, step)
			}
			sending.Render = func(left time.Duration) []byte { return forward(req, step.to.Addr, body, rest, left) }
			if rest == nil {
				watch()
			} else {
				sending.OnWritten = func() {
					step.sent = time.Now()
					p.driver.written(call)
					if c.conn.HasPipelinedData() { // it is here already: no need to wait for a watch to see it
						p.driver.ahead(call)
						return
					}
					c.conn.SetReadDeadline(time.Time{}) // of the rest
					watch()
				}
			}
			out = &step
			got := step.to.Exchange(step.ctx, sending)
			result, final := outcome(&got)
			if got.Err != nil && errors.Is(step.ctx.Err(), context.Canceled) {
				result = logic.Cancelled
			}
			step.cancel()
			out = nil
			p.driver.done(call, step, result, final, rest != nil && rest.ReadStarted())
			p.stats.attempt(result)
			attempts = append(attempts, attemptTrace{step.uid, result, time.Since(step.sent)})
			if final {
				p.driver.forget(call)
			}
			switch {
			case errors.Is(got.BodyReadErr, http1.ErrStreamPoolExhausted):
				ends[throttled].Add(1)
				ended(endBusy, "")
				req.Close = true // most of it has not been read
				p.answer(c, req, http.StatusServiceUnavailable, comeBack(p.cfg.logic.MaxRetryAfter), "busy")
				return false
			case got.BodyReadErr != nil:
				ended(endUnreadable, "")
				p.turnAway(c, unreadable(got.BodyReadErr), got.BodyReadErr)
				return false
			case call.ahead.Load():
				got.Release(false)
			case result == logic.OK:
				p.stats.served(time.Since(start))
				open := p.pass(c, req, &got, ends)
				switch {
				case c.reset:
					ended(endCutShort, "")
				case time.Since(start) > in.budget:
					ended(endLate, "")
				}
				return stays(open)
			case final:
				got.Release(false)
				ended(endRejected, strconv.Itoa(got.Status))
				ends[faulted].Add(1)
				return stays(p.answer(c, req, got.Status, nil, "rejected"))
			default:
				got.Release(false)
			}
		case stepRefuse:
			ended(endRefused, step.why.String())
			ends[throttled].Add(1)
			return stays(p.answer(c, req, http.StatusServiceUnavailable, comeBack(step.comeBack), "refused"))
		case stepFail:
			ended(endFailed, step.why.String())
			ends[faulted].Add(1)
			return stays(p.answer(c, req, http.StatusBadGateway, nil, "failed"))
		case stepAhead:
			ended(endAhead, "")
			p.turnAway(c, http.StatusBadRequest, errAhead)
			return false
		case stepGone:
			ended(endClientGone, "")
			return p.clientGone(c, req)
		}
	}
}

// clientGone ends a request whose client has left. It may have ended its own side alone,
// and still read.
func (p *Proxy) clientGone(c *client, req *http.Request) bool {
	p.stats.gone.Add(1)
	p.answer(c, req, http.StatusBadGateway, nil, "client left")
	return false
}

// outcome names what an exchange came to in the module's terms, and tells whether
// the request is over with it.
func outcome(a *upstream.ExchangeResult) (r logic.Result, final bool) {
	if a.BodyReadErr != nil { // never whole at the backend, and no fault of its own
		return logic.NotSent, true
	}
	switch a.Stage {
	case upstream.Unsent:
		return logic.NotSent, false
	case upstream.ConnectTimedOut:
		return logic.ConnectPending, false
	case upstream.SendFailed:
		return logic.ConnectFailed, false
	case upstream.Written:
		if a.TimedOut() {
			return logic.TimedOut, false
		}
		return logic.ConnectionLost, false
	}
	turnedAway := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout
	switch {
	case a.Err != nil:
		return logic.Error, false
	case a.Status == http.StatusOK:
		return logic.OK, true
	case turnedAway && a.Header.Get(headerNotProcessed) == "1":
		return logic.Rejected, false
	case callersFault(a.Status):
		return logic.Cancelled, true
	}
	return logic.Error, false
}

// callersFault tells whether a status says that the request itself is at fault, and
// would be anywhere. It says nothing against the backend, and is not tried again.
func callersFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= 400 && status < 500
}

// forward is the text of req for a backend that has left to answer it: with all of its
// body, or the first part of it where there is a rest.
func forward(req *http.Request, host string, body []byte, rest *http1.RemainingBody, left time.Duration) []byte {
	b := make([]byte, 0, 512+len(body))
	b = append(b, req.Method...)
	b = append(b, ' ')
	if strings.HasPrefix(req.RequestURI, "/") {
		b = append(b, req.RequestURI...)
	} else {
		b = append(b, req.URL.RequestURI()...)
	}
	b = append(b, " HTTP/1.1\r\nHost: "...)
	if req.Host != "" {
		host = req.Host
	}
	b = append(b, host...)
	for name, values := range req.Header {
		if hopByHop[name] {
			continue
		}
		for _, v := range values {
			b = append(b, "\r\n"...)
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
		}
	}
	b = append(b, "\r\n"+headerTimeout+": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	size := int64(len(body))
	if rest != nil {
		size = rest.TotalSize
	}
	switch {
	case size < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
		body = http1.EncodeChunk(body)
	case size > 0 || req.Method != http.MethodGet:
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, size, 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// hopByHop are the headers that a message's sender sets anew.
var hopByHop = map[string]bool{
	"Connection":                           true,
	"Content-Length":                       true,
	"Expect":                               true,
	"Keep-Alive":                           true,
	"Proxy-Connection":                     true,
	"Te":                                   true,
	"Trailer":                              true,
	"Transfer-Encoding":                    true,
	"Upgrade":                              true,
	http.CanonicalHeaderKey(headerTimeout): true,
}

func comeBack(d time.Duration) []string {
	if d <= 0 {
		return nil
	}
	return []string{"Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}
}

// pass hands on a backend's answer, and counts how the request ended: with one that is
// here whole at once, so that who has read it finds it counted; else with its last byte.
func (p *Proxy) pass(c *client, req *http.Request, got *upstream.ExchangeResult, ends *[endings]atomic.Int64) bool {
	var header []string
	for _, name := range []string{"Content-Type", "Content-Encoding"} {
		if v := got.Header.Get(name); v != "" {
			header = append(header, name, v)
		}
	}
	if got.BodyRest == nil {
		ends[fulfilled].Add(1)
		return p.write(c, got.Status, header, got.Body, req.Close)
	}
	last := !req.ProtoAtLeast(1, 1) || req.Close || !p.stays() // said once, and kept to
	err := p.passLong(c, req, got, header, last)
	got.Release(err == nil)
	if err == nil || errors.Is(err, http1.ErrDestination) {
		ends[fulfilled].Add(1)
	} else {
		ends[faulted].Add(1)
	}
	if err != nil { // the client must be able to tell: no end, and no clean close
		p.stats.cutShort.Add(1)
		c.reset = true
		if t, ok := c.conn.Conn.(interface{ SetLinger(int) error }); ok {
			t.SetLinger(0)
		}
		return false
	}
	return !last
}

// passLong writes an answer with a rest, as it comes. A client that reads HTTP/1.0 gets
// one of unknown size until the connection's end.
func (p *Proxy) passLong(c *client, req *http.Request, got *upstream.ExchangeResult, header []string, last bool) (err error) {
	old, first := !req.ProtoAtLeast(1, 1), got.Body
	switch {
	case got.BodyRest.TotalSize >= 0:
		header = append(header, "Content-Length", strconv.FormatInt(got.BodyRest.TotalSize, 10))
	case !old:
		header = append(header, "Transfer-Encoding", "chunked")
		first = http1.EncodeChunk(first)
	}
	if old && got.BodyRest.TotalSize < 0 {
		// The connection's end is the answer's: until that is here, any other end is a
		// reset, also the one that the kernel makes of ours.
		if t, ok := c.conn.Conn.(interface{ SetLinger(int) error }); ok {
			t.SetLinger(0)
			defer func() {
				if err == nil {
					t.SetLinger(-1)
				}
			}()
		}
	}
	within := upstream.ProgressDeadlines(c.conn.SetWriteDeadline)
	within(0)
	_, err = c.conn.Write(answerText(got.Status, header, first, last))
	c.answering = true
	if err != nil {
		return fmt.Errorf("%w: %w", http1.ErrDestination, err)
	}
	return p.transfers.Forward(c.conn, got.BodyRest, old, func(passed int64) error {
		within(passed)
		return nil
	})
}

// stays tells whether connections of clients are kept after an answer.
func (p *Proxy) stays() bool { return p.Phase() <= Draining && !p.sockets.Exhausted() }

// answer answers a request ourselves.
func (p *Proxy) answer(c *client, req *http.Request, status int, header []string, text string) bool {
	header = append(header, "Content-Type", "text/plain")
	return p.write(c, status, header, []byte(text+"\n"), req.Close)
}

// ready answers whether the proxy can serve.
func (p *Proxy) ready(c *client, req *http.Request) bool {
	if p.Ready() {
		return p.answer(c, req, http.StatusOK, nil, "ok")
	}
	return p.answer(c, req, http.StatusServiceUnavailable, nil, "not ready")
}

// write writes an answer and returns whether the connection stays.
func (p *Proxy) write(c *client, status int, header []string, body []byte, last bool) bool {
	last = last || !p.stays()
	header = append(header, "Content-Length", strconv.Itoa(len(body)))
	c.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := c.conn.Write(answerText(status, header, body, last))
	c.answering = true
	if err != nil {
		p.stats.unwritten.Add(1)
		c.reset = true // nobody takes what it would linger for
		return false
	}
	return !last
}

// answerText is an answer's head, and what is here of its body.
func answerText(status int, header []string, body []byte, last bool) []byte {
	b := make([]byte, 0, 256+len(body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	for i := 0; i < len(header); i += 2 {
		b = append(b, "\r\n"...)
		b = append(b, header[i]...)
		b = append(b, ": "...)
		b = append(b, header[i+1]...)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// unreadable is the status that answers what could not be read as a request; 0
// where nobody waits for an answer.
func unreadable(err error) int {
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, errAhead):
		return http.StatusBadRequest
	case errors.Is(err, http1.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case neterror.IsDeadline(err):
		return http.StatusRequestTimeout
	}
	return 0 // the client ended it inside the message
}

// turnAway answers what is no request of ours, so that its connection can be closed.
func (p *Proxy) turnAway(c *client, code int, err error) {
	if code == 0 {
		c.departed = true
		return
	}
	p.stats.turnedAway(code, c.conn.RemoteAddr(), err)
	p.write(c, code, nil, []byte(http.StatusText(code)+"\n"), true)
}
