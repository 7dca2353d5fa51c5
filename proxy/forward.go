package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/upstream"
)

// forwardedResponseHeaders are the headers of a response that are passed on.
var forwardedResponseHeaders = [...]string{"Content-Type", "Content-Encoding"}

// forwardResponse forwards a backend's response and counts the request's outcome: before
// writing if the response is here completely, so that a client that has read it finds it
// counted, else after its last byte.
func (e *exchange) forwardResponse(response *upstream.ExchangeResult) bool {
	p, c := e.proxy, e.conn
	var header []string
	for _, name := range forwardedResponseHeaders {
		if v := response.Header.Get(name); v != "" {
			header = append(header, name, v)
		}
	}
	if response.BodyRest == nil {
		e.outcomes[fulfilled].Add(1)
		return p.writeResponse(c, response.Status, header, response.Body, e.req.Close)
	}
	stream, err := e.responseStream()
	if err != nil {
		response.Release(false)
		return e.answerWithoutStream()
	}
	defer stream.Release()
	last := !e.req.ProtoAtLeast(1, 1) || e.req.Close || !p.keepConnections() // decided once: the response announces it
	counted := false
	count := func(outcome int) {
		if !counted {
			e.outcomes[outcome].Add(1)
		}
		counted = true
	}
	err = e.streamResponse(stream, response, header, last, func() {
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

// responseStream returns the memory to stream a response. Until there is some, nothing of the response
// is passed on.
func (e *exchange) responseStream() (*http1.Stream, error) {
	return e.proxy.streamPool.Acquire(max(0, min(http1.AcquireTimeout, time.Until(e.timeUp()))))
}

// answerWithoutStream answers a request whose long response can't be passed on for want of memory. The
// request has run.
func (e *exchange) answerWithoutStream() bool {
	p := e.proxy
	e.logEnd(endBusy, "")
	if p.driver.mayRunAgain(e.info.class) {
		e.outcomes[throttled].Add(1)
		header := retryAfterHeader(p.cfg.logicSettings.MaxRetryAfter)
		return p.respond(e.conn, e.req, http.StatusServiceUnavailable, header, "busy")
	}
	e.outcomes[faulted].Add(1)
	return p.respond(e.conn, e.req, http.StatusBadGateway, nil, "busy")
}

// streamResponse writes a response as it arrives from the backend. An HTTP/1.0 client
// gets a response of unknown length up to the end of the connection; beforeLastByte is then
// not called.
func (e *exchange) streamResponse(stream *http1.Stream, response *upstream.ExchangeResult, header []string, last bool,
	beforeLastByte func()) (err error) {
	c := e.conn
	http10, first := !e.req.ProtoAtLeast(1, 1), response.Body
	hasLength := response.BodyRest.TotalSize >= 0
	switch {
	case hasLength:
		header = append(header, "Content-Length", strconv.FormatInt(response.BodyRest.TotalSize, 10))
	case !http10:
		header = append(header, "Transfer-Encoding", "chunked")
	}
	if http10 && !hasLength {
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
	text := encodeResponse(response.Status, header, last)
	var pieces [][]byte
	if hasLength || http10 {
		pieces = appendBody(text, first)
	} else {
		pieces = http1.AppendChunk([][]byte{text}, first)
	}
	timer := &http1.ProgressTimer{MinTransferRate: upstream.TransferLimits}
	for _, piece := range pieces {
		c.conn.SetWriteDeadline(timer.Begin(0))
		_, err = c.conn.Write(piece)
		timer.End()
		c.responseStarted = true
		if err != nil {
			return fmt.Errorf("%w: %w", http1.ErrDestination, err)
		}
	}
	return stream.Forward(c.conn, response.BodyRest, http1.ForwardOptions{
		CloseDelimited: http10,
		BeforeWrite: func(forwarded int64) error {
			c.conn.SetWriteDeadline(timer.Begin(forwarded))
			return nil
		},
		AfterWrite:     timer.End,
		BeforeLastByte: beforeLastByte,
	})
}
