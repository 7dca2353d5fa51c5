package proxy

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/upstream"
	"oxbowloft/logic"
)

// Headers of the protocol.
const (
	headerID           = "X-Request-ID"
	headerClass        = "X-Priority-Class"
	headerTimeout      = "X-Timeout-Ms"
	headerNotProcessed = "X-Not-Processed"

	pathReady = "/healthz"
)

const (
	writeLimit = 5 * time.Second
	// maxTimeout is the longest time-out taken for one, in milliseconds.
	maxTimeout = 24 * 3600 * 1000
)

// exchange is the life of one request, from the wait for it to its answer. It
// returns whether the connection can carry another.
func (p *Proxy) exchange(c *client) bool {
	// Read.
	req, body, err := p.clients.next(c)
	if err != nil {
		p.unreadable(c, err)
		return false
	}
	if req.Method == http.MethodGet && req.URL.Path == pathReady {
		return p.ready(c, req)
	}
	in, code, err := p.parse(req)
	if err != nil {
		p.noteBad(c, code, err)
		return p.answer(c, req, code, nil, err.Error())
	}
	start := time.Now()

	// Arrive.
	call := p.driver.arrive(in.class, in.budget)
	defer p.driver.forget(call)
	defer c.conn.Unwatch()

	// Step, attempt, outcome, until there is an answer.
	for {
		step := <-call.steps
		switch step.kind {
		case stepSend:
			c.conn.Watch(func() { p.driver.gone(call) })
			got := step.to.Exchange(step.sent.Add(step.timeout), func(left time.Duration) []byte {
				return forward(req, step.to.Addr, body, left)
			})
			result := outcome(&got)
			p.driver.done(call, step, result)
			p.stats.attempt(result)
			if result == logic.OK {
				p.stats.served(time.Since(start))
				return p.pass(c, req, &got)
			}
		case stepRefuse:
			p.stats.refused.Add(1)
			return p.answer(c, req, http.StatusServiceUnavailable, comeBack(step.comeBack), "refused")
		case stepFail:
			p.stats.failed.Add(1)
			return p.answer(c, req, http.StatusBadGateway, nil, "failed")
		case stepGone:
			// It may have ended its own side alone, and still read.
			p.stats.gone.Add(1)
			p.answer(c, req, http.StatusBadGateway, nil, "client left")
			return false
		}
	}
}

// incoming is what the module needs to know of a request.
type incoming struct {
	class  int
	budget time.Duration
}

// parse takes from a request what the module needs; an error comes with the 4xx
// that answers it.
func (p *Proxy) parse(req *http.Request) (in incoming, code int, err error) {
	if req.Method != http.MethodGet && req.Method != http.MethodPost {
		return in, http.StatusMethodNotAllowed, fmt.Errorf("method not allowed: %s", req.Method)
	}
	if req.Header.Get(headerID) == "" {
		return in, http.StatusBadRequest, errors.New("no " + headerID)
	}
	class, ok := p.classes[req.Header.Get(headerClass)]
	if !ok {
		return in, http.StatusBadRequest, fmt.Errorf("unknown class %q", req.Header.Get(headerClass))
	}
	ms, err := strconv.ParseUint(req.Header.Get(headerTimeout), 10, 64)
	if err != nil || ms == 0 || ms > maxTimeout {
		return in, http.StatusBadRequest, fmt.Errorf("bad %s %q", headerTimeout, req.Header.Get(headerTimeout))
	}
	return incoming{class: class, budget: time.Duration(ms) * time.Millisecond}, 0, nil
}

// noteBad counts and logs a request that is answered with a 4xx.
func (p *Proxy) noteBad(c *client, code int, err error) {
	p.stats.bad.Add(1)
	log.Printf("event=bad_request status=%d client=%s err=%q", code, c.conn.RemoteAddr(), err)
}

// outcome names what an exchange came to in the module's terms.
func outcome(a *upstream.Answer) logic.Result {
	switch a.Stage {
	case upstream.Unsent:
		return logic.NeverSent
	case upstream.Unopened:
		return logic.NoConnect
	case upstream.Written:
		if a.Timeout() {
			return logic.TimedOut
		}
		return logic.Broken
	}
	turnedAway := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout
	switch {
	case a.Err != nil:
		return logic.Error
	case a.Status == http.StatusOK:
		return logic.OK
	case turnedAway && a.Header.Get(headerNotProcessed) == "1":
		return logic.Full
	}
	return logic.Error
}

// forward is the text of req for a backend that has left to answer it.
func forward(req *http.Request, host string, body []byte, left time.Duration) []byte {
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
	if len(body) > 0 || req.Method != http.MethodGet {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
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

// pass hands on a backend's answer.
func (p *Proxy) pass(c *client, req *http.Request, got *upstream.Answer) bool {
	var header []string
	for _, name := range []string{"Content-Type", "Content-Encoding"} {
		if v := got.Header.Get(name); v != "" {
			header = append(header, name, v)
		}
	}
	return p.write(c, got.Status, header, got.Body, req.Close)
}

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
	last = last || p.Phase() != Serving || p.sockets.Full()
	b := make([]byte, 0, 256+len(body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
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
	b = append(b, body...)
	c.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := c.conn.Write(b); err != nil {
		p.stats.unwritten.Add(1)
		return false
	}
	return !last
}

// unreadable answers what could not be read as a request, and reads on for a
// little while, since closing on unread bytes would take the answer back.
func (p *Proxy) unreadable(c *client, err error) {
	code := 0
	var timeout net.Error
	switch {
	case errors.Is(err, http1.ErrMalformed):
		code = http.StatusBadRequest
	case errors.Is(err, http1.ErrHeadTooLarge):
		code = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, http1.ErrBodyTooLarge):
		code = http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		code = http.StatusRequestTimeout
	default: // the client ended it inside the message
		return
	}
	p.noteBad(c, code, err)
	p.write(c, code, nil, []byte(http.StatusText(code)+"\n"), true)
	if code == http.StatusRequestTimeout {
		return // all that came has been read
	}
	const most, atMost = 1 << 20, time.Second
	if t, ok := c.conn.Conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(atMost))
		io.CopyN(io.Discard, t, most)
	}
}
