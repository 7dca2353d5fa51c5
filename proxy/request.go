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
	headerRetry        = "X-Retried" // if the settings say that clients mark retries
	headerNotProcessed = "X-Not-Processed"

	pathReady = "/healthz"
)

const (
	writeTimeout = 5 * time.Second
	// maxTimeoutMs is the longest timeout that is accepted, in milliseconds.
	maxTimeoutMs = 24 * 3600 * 1000
	maxIDBytes   = 256 // length of a request id
)

// exchange handles one request, from the wait for it to its response. It returns whether
// the connection can carry another one.
func (p *Proxy) exchange(c *clientConn) bool {
	// Read the request.
	req, body, rest, err := p.clients.nextRequest(c)
	if err != nil {
		p.answerBadRequest(c, readErrorStatus(err), err)
		return false
	}
	if rest != nil {
		defer rest.Abandon()
	}
	if req.Method == http.MethodGet && req.URL.Path == pathReady && rest == nil {
		return p.serveReadiness(c, req)
	}
	info, code, err := p.parseRequest(req, len(body) > 0 || rest != nil)
	if err != nil {
		p.answerBadRequest(c, code, err)
		return false
	}
	start := time.Now()
	if c.conn.PeerClosed() { // left while the request waited to be read: do not send it
		return p.clientGone(c, req)
	}

	// Pass it to the balancing logic.
	r := p.driver.startRequest(info.id, info.class, info.budget, info.retry, rest != nil)
	if r == nil {
		p.answerBadRequest(c, http.StatusConflict, errDuplicateID)
		return false
	}
	c.onLastByte = func() { p.driver.responseWritten(r) }
	defer func() {
		c.onLastByte = nil
		p.driver.forget(r) // a response may break off, or be ended by the close
	}()
	defer func() { p.checkClosed(c, r, info.id) }()
	var inFlight *step // the current attempt
	defer func() {
		if inFlight != nil { // a panic is passing through
			p.driver.attemptDone(r, *inFlight, logic.Cancelled, true, false)
			inFlight.cancel()
		}
	}()
	defer c.conn.UnwatchPeer()
	outcomes := &p.stats.outcomes[info.class]
	watch := func() {
		c.conn.WatchPeer(func() { p.driver.clientGone(r) }, func() { p.driver.clientPipelined(r) })
	}
	var attempts []attemptTrace
	logEnd := func(end requestEnd, cause string) { p.endLog.write(&info, end, cause, start, attempts) }
	keepOpen := func(open bool) bool { // reads the rest of a request that has been answered
		return open && (rest == nil || rest.Discard(p.streamPool) == nil)
	}

	// Execute steps until the request is answered.
	for {
		step := <-r.steps
		if step.kind != stepSend {
			p.driver.responseDecided(r)
		}
		switch step.kind {
		case stepSend:
			upstreamRequest := &upstream.Request{Timeout: step.timeout, DecidedAt: step.sentAt, BodyRest: rest, Transfers: p.streamPool}
			upstreamRequest.ShouldSend = func() bool {
				if c.conn.PeerClosed() { // noticed here even behind an unread body
					p.driver.clientGone(r)
				}
				return p.driver.connected(r, step)
			}
			upstreamRequest.Render = func(left time.Duration) []byte { return encodeRequest(req, step.backend.Addr, body, rest, left) }
			if rest == nil {
				watch()
			} else {
				upstreamRequest.OnWritten = func() {
					step.sentAt = time.Now()
					p.driver.requestWritten(r)
					if c.conn.HasPipelinedData() { // already here: no need for a watch to notice it
						p.driver.clientPipelined(r)
						return
					}
					c.conn.SetReadDeadline(time.Time{}) // of the rest of the body
					watch()
				}
			}
			inFlight = &step
			exchanged := step.backend.Exchange(step.ctx, upstreamRequest)
			result, final := attemptOutcome(&exchanged)
			if exchanged.Err != nil && errors.Is(step.ctx.Err(), context.Canceled) {
				result = logic.Cancelled
			}
			step.cancel()
			inFlight = nil
			p.driver.attemptDone(r, step, result, final, rest != nil && rest.ReadStarted())
			p.stats.recordAttempt(result)
			attempts = append(attempts, attemptTrace{step.uid, result, time.Since(step.sentAt)})
			if final {
				p.driver.responseDecided(r)
			}
			switch {
			case errors.Is(exchanged.BodyReadErr, http1.ErrStreamPoolExhausted):
				outcomes[throttled].Add(1)
				logEnd(endBusy, "")
				req.Close = true // most of the body is unread
				p.respond(c, req, http.StatusServiceUnavailable, retryAfterHeader(p.cfg.logicSettings.MaxRetryAfter), "busy")
				return false
			case exchanged.BodyReadErr != nil:
				logEnd(endUnreadable, "")
				p.answerBadRequest(c, readErrorStatus(exchanged.BodyReadErr), exchanged.BodyReadErr)
				return false
			case r.pipelined.Load():
				exchanged.Release(false)
			case result == logic.OK:
				p.stats.recordLatency(time.Since(start))
				open := p.forwardResponse(c, req, &exchanged, outcomes)
				switch {
				case c.resetOnClose:
					logEnd(endCutShort, "")
				case time.Since(start) > info.budget:
					logEnd(endLate, "")
				}
				return keepOpen(open)
			case final:
				exchanged.Release(false)
				logEnd(endRejected, strconv.Itoa(exchanged.Status))
				outcomes[faulted].Add(1)
				return keepOpen(p.respond(c, req, exchanged.Status, nil, "rejected"))
			default:
				exchanged.Release(false)
			}
		case stepRefuse:
			logEnd(endRefused, step.cause.String())
			outcomes[throttled].Add(1)
			return keepOpen(p.respond(c, req, http.StatusServiceUnavailable, retryAfterHeader(step.retryAfter), "refused"))
		case stepFail:
			logEnd(endFailed, step.cause.String())
			outcomes[faulted].Add(1)
			return keepOpen(p.respond(c, req, http.StatusBadGateway, nil, "failed"))
		case stepPipelined:
			logEnd(endPipelined, "")
			p.answerBadRequest(c, http.StatusBadRequest, errPipelined)
			return false
		case stepClientGone:
			logEnd(endClientGone, "")
			return p.clientGone(c, req)
		}
	}
}

// clientGone ends a request whose client has left. The client may have closed only its
// own side, and still read.
func (p *Proxy) clientGone(c *clientConn, req *http.Request) bool {
	p.stats.clientsGone.Add(1)
	p.respond(c, req, http.StatusBadGateway, nil, "client left")
	return false
}

// attemptOutcome converts the end of an exchange with a backend to a result for the
// balancing logic. It also returns whether the request ends with it.
func attemptOutcome(exchanged *upstream.ExchangeResult) (result logic.Result, final bool) {
	if exchanged.BodyReadErr != nil { // the client's body failed: the backend never had the whole request, and is not to blame
		return logic.NotSent, true
	}
	switch exchanged.Stage {
	case upstream.Unsent:
		return logic.NotSent, false
	case upstream.ConnectTimedOut:
		return logic.ConnectPending, false
	case upstream.SendFailed:
		return logic.ConnectFailed, false
	case upstream.Written:
		if exchanged.TimedOut() {
			return logic.TimedOut, false
		}
		return logic.ConnectionLost, false
	}
	rejectStatus := exchanged.Status == http.StatusServiceUnavailable || exchanged.Status == http.StatusGatewayTimeout
	switch {
	case exchanged.Err != nil:
		return logic.Error, false
	case exchanged.Status == http.StatusOK:
		return logic.OK, true
	case rejectStatus && exchanged.Header.Get(headerNotProcessed) == "1":
		return logic.Rejected, false
	case isClientError(exchanged.Status):
		return logic.Cancelled, true
	}
	return logic.Error, false
}

// isClientError reports whether a status means that the request itself is at fault, at
// any backend. It does not count against the backend and is not retried.
func isClientError(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= 400 && status < 500
}

// encodeRequest returns the text of req for a backend, with the time that is left to
// answer it. It contains the whole body, or the first part of a streamed one.
func encodeRequest(req *http.Request, host string, body []byte, rest *http1.RemainingBody, left time.Duration) []byte {
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
		if hopByHopHeaders[name] {
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

// hopByHopHeaders are headers that each sender of a message sets anew.
var hopByHopHeaders = map[string]bool{
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

func retryAfterHeader(d time.Duration) []string {
	if d <= 0 {
		return nil
	}
	return []string{"Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}
}

// forwardResponse forwards a backend's response and counts the request's outcome: before
// writing if the response is here completely, so that a client that has read it finds it
// counted, else after its last byte.
func (p *Proxy) forwardResponse(c *clientConn, req *http.Request, response *upstream.ExchangeResult,
	outcomes *[outcomeCount]atomic.Int64) bool {
	var header []string
	for _, name := range []string{"Content-Type", "Content-Encoding"} {
		if v := response.Header.Get(name); v != "" {
			header = append(header, name, v)
		}
	}
	if response.BodyRest == nil {
		outcomes[fulfilled].Add(1)
		return p.writeResponse(c, response.Status, header, response.Body, req.Close)
	}
	last := !req.ProtoAtLeast(1, 1) || req.Close || !p.keepConnections() // decided once: the response announces it
	counted := false
	count := func(outcome int) {
		if !counted {
			outcomes[outcome].Add(1)
		}
		counted = true
	}
	err := p.streamResponse(c, req, response, header, last, func() {
		count(fulfilled)
		c.responseEnds()
	})
	response.Release(err == nil)
	if err == nil || errors.Is(err, http1.ErrDestination) {
		count(fulfilled)
	} else {
		count(faulted)
	}
	if err != nil { // the client must notice: neither an end of the message nor a clean close
		p.stats.truncated.Add(1)
		c.resetOnClose = true
		if t, ok := c.conn.Conn.(interface{ SetLinger(int) error }); ok {
			t.SetLinger(0)
		}
		return false
	}
	return !last
}

// streamResponse writes a response as it arrives from the backend. An HTTP/1.0 client
// gets a response of unknown length up to the end of the connection; beforeLastByte is then
// not called.
func (p *Proxy) streamResponse(c *clientConn, req *http.Request, response *upstream.ExchangeResult,
	header []string, last bool, beforeLastByte func()) (err error) {
	http10, first := !req.ProtoAtLeast(1, 1), response.Body
	switch {
	case response.BodyRest.TotalSize >= 0:
		header = append(header, "Content-Length", strconv.FormatInt(response.BodyRest.TotalSize, 10))
	case !http10:
		header = append(header, "Transfer-Encoding", "chunked")
		first = http1.EncodeChunk(first)
	}
	if http10 && response.BodyRest.TotalSize < 0 {
		// The end of the connection is the end of the response. Until the response is
		// complete, any other close has to be a reset, even one that the kernel makes
		// when the process dies.
		if t, ok := c.conn.Conn.(interface{ SetLinger(int) error }); ok {
			t.SetLinger(0)
			defer func() {
				if err == nil {
					t.SetLinger(-1)
				}
			}()
		}
	}
	extendDeadline := upstream.ProgressDeadlines(c.conn.SetWriteDeadline)
	extendDeadline(0)
	_, err = c.conn.Write(encodeResponse(response.Status, header, first, last))
	c.responseStarted = true
	if err != nil {
		return fmt.Errorf("%w: %w", http1.ErrDestination, err)
	}
	return p.streamPool.Forward(c.conn, response.BodyRest, http1.ForwardOptions{
		CloseDelimited: http10,
		BeforeWrite: func(forwarded int64) error {
			extendDeadline(forwarded)
			return nil
		},
		BeforeLastByte: beforeLastByte,
	})
}

// keepConnections reports whether client connections stay open after a response.
func (p *Proxy) keepConnections() bool { return p.Phase() <= Draining && !p.descriptors.Exhausted() }

// respond writes a response of the proxy's own.
func (p *Proxy) respond(c *clientConn, req *http.Request, status int, header []string, text string) bool {
	header = append(header, "Content-Type", "text/plain")
	return p.writeResponse(c, status, header, []byte(text+"\n"), req.Close)
}

// serveReadiness answers whether the proxy can serve.
func (p *Proxy) serveReadiness(c *clientConn, req *http.Request) bool {
	if p.Ready() {
		return p.respond(c, req, http.StatusOK, nil, "ok")
	}
	return p.respond(c, req, http.StatusServiceUnavailable, nil, "not ready")
}

// writeResponse writes a response and returns whether the connection stays open.
func (p *Proxy) writeResponse(c *clientConn, status int, header []string, body []byte, last bool) bool {
	last = last || !p.keepConnections()
	header = append(header, "Content-Length", strconv.Itoa(len(body)))
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := c.writeToEnd(encodeResponse(status, header, body, last))
	c.responseStarted = true
	if err != nil {
		p.stats.writeFailures.Add(1)
		c.resetOnClose = true // the client reads nothing any more: lingering is of no use
		return false
	}
	return !last
}

// maxWholeWriteBytes is the size up to which a response is written at once. It fits into the
// send buffer of a connection whose earlier responses have been read, so that the write does not
// wait for the client.
const maxWholeWriteBytes = 4 << 10

// writeToEnd writes a complete response. The last byte of a long one is written by itself: until
// the client has taken enough of the others, the request stays open.
func (c *clientConn) writeToEnd(response []byte) error {
	if len(response) > maxWholeWriteBytes {
		beforeLast := len(response) - 1
		if _, err := c.conn.Write(response[:beforeLast]); err != nil {
			return err
		}
		response = response[beforeLast:]
	}
	c.responseEnds()
	_, err := c.conn.Write(response)
	return err
}

// responseEnds reports that the last byte of the response is about to be written.
func (c *clientConn) responseEnds() {
	if c.onLastByte != nil {
		c.onLastByte()
	}
}

// encodeResponse returns a response's head and the part of its body that is available.
func encodeResponse(status int, header []string, body []byte, last bool) []byte {
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

// readErrorStatus returns the status for data that could not be read as a request; 0 if
// no client waits for a response.
func readErrorStatus(err error) int {
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, errPipelined):
		return http.StatusBadRequest
	case errors.Is(err, http1.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case neterror.IsDeadline(err):
		return http.StatusRequestTimeout
	}
	return 0 // the client closed the connection inside the message
}

// answerBadRequest answers an invalid request, after which its connection is closed.
func (p *Proxy) answerBadRequest(c *clientConn, code int, err error) {
	if code == 0 {
		c.closedMidMessage = true
		return
	}
	p.stats.recordBadRequest(code, c.conn.RemoteAddr(), err)
	p.writeResponse(c, code, nil, []byte(http.StatusText(code)+"\n"), true)
}
