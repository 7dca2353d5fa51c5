package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
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
	held := c.conn.TakeHold()
	defer held.Release()
	if errors.Is(err, http1.ErrNoMemory) {
		return p.refuseUnread(c)
	}
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
	fields := c.conn.Fields()
	info, code, err := p.parseRequest(req, fields, len(body) > 0 || rest != nil, c.conn.LastReceived())
	if err != nil {
		p.answerBadRequest(c, code, err)
		return false
	}
	if c.conn.PeerClosed() { // left while the request waited to be read: do not send it
		return p.clientGone(c, req)
	}
	e := &exchange{proxy: p, conn: c, req: req, fields: fields, body: body, rest: rest, info: &info, start: time.Now()}
	e.outcomes = &p.stats.outcomes[info.class]
	defer e.releaseMemory()
	if !e.acquireMemory() {
		return e.refuseForMemory()
	}
	return e.run()
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
	case upstream.Unsent, upstream.SendAbandoned:
		return logic.NotSent, false
	case upstream.ConnectTimedOut:
		return logic.ConnectPending, false
	case upstream.SendFailed:
		return logic.ConnectFailed, false
	case upstream.Written:
		if errors.Is(exchanged.Err, http1.ErrNoMemory) { // says nothing about the backend
			return logic.Cancelled, false
		}
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

// maxCopiedBodyBytes is the size up to which a body is copied behind its header, to be written at once.
const maxCopiedBodyBytes = 4 << 10

// appendBody adds a body to the header in pieces.
func appendBody(header []byte, body []byte) [][]byte {
	switch {
	case len(body) == 0:
		return [][]byte{header}
	case len(body) <= maxCopiedBodyBytes:
		return [][]byte{append(header, body...)}
	}
	return [][]byte{header, body}
}

// encodeRequest returns the text of a request for a backend in pieces, with the time that is left to
// answer it. They contain the whole body, or the first part of a streamed one.
func encodeRequest(req *http.Request, fields http1.Fields, host string, body []byte, rest *http1.RemainingBody,
	left time.Duration) [][]byte {
	b := make([]byte, 0, 256+len(req.RequestURI)+len(fields)+min(len(body), maxCopiedBodyBytes))
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
	for name, value := range fields.All() {
		if hopByHopHeaders.Contains(name) {
			continue
		}
		b = append(b, "\r\n"...)
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, value...)
	}
	b = append(b, "\r\n"+headerTimeout+": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	size := int64(len(body))
	if rest != nil {
		size = rest.TotalSize
	}
	switch {
	case size < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
		return http1.AppendChunk([][]byte{b}, body)
	case size > 0 || req.Method != http.MethodGet:
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, size, 10)
	}
	b = append(b, "\r\n\r\n"...)
	if rest != nil || len(body) <= maxCopiedBodyBytes {
		return appendBody(b, body)
	}
	// The write of a long body may wait for the backend, which begins at the last byte.
	beforeLast := len(body) - 1
	return [][]byte{b, body[:beforeLast], body[beforeLast:]}
}

// hopByHopHeaders are headers that each sender of a message sets anew.
var hopByHopHeaders = http1.FieldNames{"Host", "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerTimeout}

func retryAfterHeader(d time.Duration) []string {
	if d <= 0 {
		return nil
	}
	return []string{"Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}
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
	err := c.writeToEnd(encodeResponse(status, header, last), body)
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
func (c *clientConn) writeToEnd(header, body []byte) error {
	last := body
	if len(header)+len(body) <= maxWholeWriteBytes || len(body) == 0 {
		last = append(header, body...)
	} else {
		beforeLast := len(body) - 1
		last = body[beforeLast:]
		for _, piece := range appendBody(header, body[:beforeLast]) {
			if _, err := c.conn.Write(piece); err != nil {
				return err
			}
		}
	}
	c.responseEnds()
	_, err := c.conn.Write(last)
	return err
}

// responseEnds reports that the last byte of the response is about to be written.
func (c *clientConn) responseEnds() {
	if c.onLastByte != nil {
		c.onLastByte()
	}
}

// encodeResponse returns the header of a response.
func encodeResponse(status int, header []string, last bool) []byte {
	b := make([]byte, 0, maxWholeWriteBytes/8)
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
	return append(b, "\r\n\r\n"...)
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
