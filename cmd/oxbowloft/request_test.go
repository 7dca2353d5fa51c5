package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// What a client may ask, and what is refused before it reaches a backend.

// Requests of all ordinary forms are served, one after the other on a connection.
func TestRequests(t *testing.T) {
	r := startWithBackends(t, standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo))
	c := r.dial()
	want := func(got response, body string) {
		t.Helper()
		if got.status != 200 || got.body != body || got.close {
			t.Fatalf("got %+v, want %q", got, body)
		}
	}
	large := strings.Repeat("x", 64<<10)
	want(c.roundTrip(getRequest(2000)), "GET /api ")
	want(c.roundTrip(requestHead("GET", "/api?a=b%20c&d", "get", 2000)), "GET /api?a=b%20c&d ")
	want(c.roundTrip(postRequest("pay", "hello", 2000)), "POST /api hello")
	want(c.roundTrip(requestHead("POST", "/api", "pay", 2000, "Transfer-Encoding: chunked")+"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"),
		"POST /api hello")
	want(c.roundTrip(postRequest("pay", large[:60<<10], 2000)), "POST /api "+large[:60<<10])

	// One in many small pieces.
	for _, b := range []byte(postRequest("pay", "slow", 2000)) {
		c.send(string(b))
	}
	want(c.read(), "POST /api slow")

	// An id may come again once its request has its answer.
	text := getRequest(2000)
	want(c.roundTrip(text), "GET /api ")
	want(r.dial().roundTrip(text), "GET /api ")

	if got := c.roundTrip(requestHead("GET", "/api", "get", 2000, "Connection: close")); got.status != 200 || !got.close || !c.closedByProxy() {
		t.Errorf("after Connection: close got %+v", got)
	}
	if got := r.dial().roundTrip("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); got.status != 200 {
		t.Errorf("healthz: %+v", got)
	}
}

// What of a request's head reaches the backend, and of the answer's the client.
func TestForwardedHeaders(t *testing.T) {
	var received http.Header
	r := startWithBackends(t, standin.NewBackend(t, func(c *standin.Call) {
		received = c.Header
		c.Reply(200, "", "Content-Type: text/x")
	}))
	got := r.dial().roundTrip("GET /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: 00ff\r\nX-Priority-Class: get\r\n" +
		"X-Timeout-Ms: 2000\r\nX-Retried: 1\r\nKeep-Alive: x\r\n\r\n")
	if got.status != 200 || got.header.Get("Content-Type") != "text/x" {
		t.Errorf("got %+v", got)
	}
	if received.Get("X-Request-ID") != "00ff" || received.Get("X-Retried") != "1" || received.Get("Keep-Alive") != "" {
		t.Errorf("headers %v", received)
	}
	if ms, err := strconv.Atoi(received.Get("X-Timeout-Ms")); err != nil || ms < 1 || ms >= 2000 || len(received["X-Timeout-Ms"]) != 1 {
		t.Errorf("time-outs %q", received["X-Timeout-Ms"])
	}
}

// Everything that can't be read, could be read in two ways or means nothing is
// answered with a 4xx and a close, and nothing of it reaches a backend; a client
// beside it goes on being served.
func TestBadRequests(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	r := startWithBackends(t, b)
	getWith := func(headers ...string) string {
		return "GET /api HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
	}
	postHead := func(headers ...string) string { return requestHead("POST", "/api", "pay", 500, headers...) }
	const id, class, ms = "X-Request-ID: 00ff", "X-Priority-Class: get", "X-Timeout-Ms: 500"
	smuggled := postRequest("pay", "x", 500)
	cases := []struct {
		name, text string
		status     int
	}{
		{"malformed head", "hello\r\n\r\n", 400},
		{"noise", "\x16\x03\x01\x02\x00", 400},
		{"noise with line ends", "\x16\x03\r\n\x01\x02\r\n\r\n", 400},
		{"bad header", "GET / HTTP/1.1\r\nno colon here\r\n\r\n", 400},
		{"bad version", "GET /api HTTP/9.9\r\n\r\n", 400},
		{"spaces in the request line", strings.Replace(getRequest(500), "GET /api", "GET  /api", 1), 400},
		{"control character in the target", strings.Replace(getRequest(500), "/api", "/a\x01pi", 1), 400},
		{"control character in a header", getWith(id, class, ms, "X-A: a\x01b"), 400},
		{"carriage return in a header", getWith(id, class, ms, "X-A: a\rX-B: b"), 400},
		{"lines without carriage returns", strings.ReplaceAll(getRequest(500), "\r", ""), 400},
		{"folded header", getWith(id, class, ms, "X-A: a\r\n b"), 400},
		{"space before the colon", postHead("Content-Length : 1") + "x", 400},
		{"header without a name", getWith(id, class, ms, ": x"), 400},
		{"no host", strings.Replace(getRequest(500), "Host: api.internal\r\n", "", 1), 400},
		{"two hosts", getWith(id, class, ms, "Host: other"), 400},
		{"length is no number", postHead("Content-Length: x"), 400},
		{"length below zero", postHead("Content-Length: -4") + "abcd", 400},
		{"length with a sign", postHead("Content-Length: +4") + "abcd", 400},
		{"list of lengths", postHead("Content-Length: 4, 4") + "abcd", 400},
		{"empty length", postHead("Content-Length: "), 400},
		{"length beyond any number", postHead("Content-Length: 99999999999999999999"), 400},
		{"two lengths", postHead("Content-Length: 4", "Content-Length: 9") + "abcd", 400},
		{"the same length twice", postHead("Content-Length: 4", "Content-Length: 4") + "abcd", 400},
		{"length and coding", postHead("Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggled, 400},
		{"coding and length", postHead("Transfer-Encoding: chunked", "Content-Length: 5") + "0\r\n\r\n" + smuggled, 400},
		{"length under another name", postHead("Content_Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n", 400},
		{"unknown coding", postHead("Transfer-Encoding: gzip, chunked") + "0\r\n\r\n", 400},
		{"odd coding", postHead("Transfer-Encoding: xchunked") + "0\r\n\r\n", 400},
		{"two codings", postHead("Transfer-Encoding: chunked", "Transfer-Encoding: identity") + "0\r\n\r\n", 400},
		{"bad chunk", postHead("Transfer-Encoding: chunked") + "4\r\nabcd\r\nzz\r\nabcd\r\n0\r\n\r\n", 400},
		{"body longer than told", postHead("Content-Length: 1") + "xyz", 400},
		{"a request behind it", smuggled + smuggled, 400},
		{"body of a get", requestHead("GET", "/api", "get", 500, "Content-Length: 4") + "abcd", 400},
		{"head too large", "GET /" + strings.Repeat("x", 40<<10) + " HTTP/1.1\r\n\r\n", 431},
		{"head without end", getRequest(500)[:20] + strings.Repeat("X-Pad: p\r\n", 20<<10), 431},
		{"body too large", postHead("Content-Length: 40000000") + strings.Repeat("x", 70000), 413},
		{"body much too large", postHead("Content-Length: 60000000") + strings.Repeat("x", 70000), 413},
		{"unknown class", getWith(id, "X-Priority-Class: odd", ms), 400},
		{"no class", getWith(id, ms), 400},
		{"two classes", getWith(id, class, "X-Priority-Class: pay", ms), 400},
		{"no time-out", getWith(id, class), 400},
		{"two time-outs", getWith(id, class, ms, "X-Timeout-Ms: 400"), 400},
		{"time-out is no number", getWith(id, class, "X-Timeout-Ms: soon"), 400},
		{"time-out spent", getWith(id, class, "X-Timeout-Ms: 0"), 400},
		{"time-out below zero", getWith(id, class, "X-Timeout-Ms: -5"), 400},
		{"time-out beyond reason", getWith(id, class, "X-Timeout-Ms: 99999999999999999999"), 400},
		{"no id", getWith(class, ms), 400},
		{"two ids", getWith(id, "X-Request-ID: 00fe", class, ms), 400},
		{"id without end", getWith("X-Request-ID: "+strings.Repeat("f", 10<<10), class, ms), 400},
		{"id under two names", getWith(id, "X_Request_ID: 00fe", class, ms), 400},
		{"connection takes a header away", getWith(id, class, ms, "Connection: X-Request-ID"), 400},
		{"unknown method", requestHead("BREW", "/api", "get", 500), 405},
		{"connect", requestHead("CONNECT", "h:1", "get", 500), 405},
	}
	ordinary := r.dial()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := r.dial()
			io.WriteString(cl, c.text) // what is not read any more may break
			if got := cl.read(); got.status != c.status || !got.close {
				t.Errorf("got %+v", got)
			}
			if !cl.closedByProxy() {
				t.Error("the connection goes on")
			}
			if got := ordinary.roundTrip(getRequest(2000)); got.status != 200 {
				t.Errorf("a client beside it: got %+v", got)
			}
		})
	}
	if calls := b.RequestCount(); calls != len(cases) { // the ordinary ones
		t.Errorf("%d calls for %d good requests", calls, len(cases))
	}
	r.signal(syscall.SIGTERM)
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(r.logText(), fmt.Sprintf(" bad=%d ", len(cases))) {
		t.Error("not counted as bad")
	}
}

// The id of a request that is open here is turned away, and the open one is not
// touched: guards against an answer made for another's request.
func TestDuplicateRequestID(t *testing.T) {
	b, release := newBlockingBackend(t)
	r := startWithBackends(t, b)
	c, text := r.dial(), getRequest(2000)
	c.send(text)
	r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
	if got := r.dial().roundTrip(strings.Replace(text, "/api", "/api?x", 1)); got.status != 409 || !got.close {
		t.Errorf("the same id: got %+v", got)
	}
	release <- true
	if got := c.read(); got.status != 200 || got.body != "GET /api " {
		t.Errorf("got %+v", got)
	}
	if b.RequestCount() != 1 {
		t.Errorf("%d calls", b.RequestCount())
	}
}

// A request sent before the last one's answer is never served, nor is that one.
func TestPipelinedRequest(t *testing.T) {
	b, release := newBlockingBackend(t)
	r := startWithBackends(t, b)
	c := r.dial()
	c.send(getRequest(2000))
	r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
	c.send(getRequest(2000))
	time.Sleep(20 * time.Millisecond) // most likely noticed
	release <- true
	if got := c.read(); got.status != 400 || !got.close || !c.closedByProxy() {
		t.Errorf("got %+v and no end", got)
	}
	if b.RequestCount() != 1 {
		t.Errorf("%d calls", b.RequestCount())
	}
}
