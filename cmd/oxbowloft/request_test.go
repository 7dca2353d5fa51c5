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

// This file tests which requests are accepted, and which are rejected before they reach a backend.

// Requests of all ordinary forms are served, one after another on a connection.
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

	// A request sent byte by byte.
	for _, b := range []byte(postRequest("pay", "slow", 2000)) {
		c.send(string(b))
	}
	want(c.read(), "POST /api slow")

	// A request ID may be reused once its request has been answered.
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

// The proxy forwards end-to-end headers in both directions, removes hop-by-hop ones, and lowers
// X-Timeout-Ms.
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
		t.Errorf("X-Timeout-Ms %q", received["X-Timeout-Ms"])
	}
}

// Requests that are malformed, ambiguous or incomplete get a 4xx response and a close, and nothing
// of them reaches a backend. Another client is served all the while.
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
		{"binary data", "\x16\x03\x01\x02\x00", 400},
		{"binary data with line ends", "\x16\x03\r\n\x01\x02\r\n\r\n", 400},
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
		{"comma-separated lengths", postHead("Content-Length: 4, 4") + "abcd", 400},
		{"empty length", postHead("Content-Length: "), 400},
		{"length overflows", postHead("Content-Length: 99999999999999999999"), 400},
		{"two lengths", postHead("Content-Length: 4", "Content-Length: 9") + "abcd", 400},
		{"the same length twice", postHead("Content-Length: 4", "Content-Length: 4") + "abcd", 400},
		{"content length and transfer coding", postHead("Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggled, 400},
		{"transfer coding and content length", postHead("Transfer-Encoding: chunked", "Content-Length: 5") + "0\r\n\r\n" + smuggled, 400},
		{"content length with an underscore", postHead("Content_Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n", 400},
		{"unknown transfer coding", postHead("Transfer-Encoding: gzip, chunked") + "0\r\n\r\n", 400},
		{"misspelt transfer coding", postHead("Transfer-Encoding: xchunked") + "0\r\n\r\n", 400},
		{"two transfer codings", postHead("Transfer-Encoding: chunked", "Transfer-Encoding: identity") + "0\r\n\r\n", 400},
		{"bad chunk", postHead("Transfer-Encoding: chunked") + "4\r\nabcd\r\nzz\r\nabcd\r\n0\r\n\r\n", 400},
		{"body longer than its content length", postHead("Content-Length: 1") + "xyz", 400},
		{"pipelined request", smuggled + smuggled, 400},
		{"body of a get", requestHead("GET", "/api", "get", 500, "Content-Length: 4") + "abcd", 400},
		{"head too large", "GET /" + strings.Repeat("x", 40<<10) + " HTTP/1.1\r\n\r\n", 431},
		{"endless head", getRequest(500)[:20] + strings.Repeat("X-Pad: p\r\n", 20<<10), 431},
		{"body too large", postHead("Content-Length: 40000000") + strings.Repeat("x", 70000), 413},
		{"body much too large", postHead("Content-Length: 60000000") + strings.Repeat("x", 70000), 413},
		{"unknown class", getWith(id, "X-Priority-Class: odd", ms), 400},
		{"no class", getWith(id, ms), 400},
		{"two classes", getWith(id, class, "X-Priority-Class: pay", ms), 400},
		{"no timeout", getWith(id, class), 400},
		{"two timeouts", getWith(id, class, ms, "X-Timeout-Ms: 400"), 400},
		{"timeout is no number", getWith(id, class, "X-Timeout-Ms: soon"), 400},
		{"timeout of zero", getWith(id, class, "X-Timeout-Ms: 0"), 400},
		{"timeout below zero", getWith(id, class, "X-Timeout-Ms: -5"), 400},
		{"timeout overflows", getWith(id, class, "X-Timeout-Ms: 99999999999999999999"), 400},
		{"no id", getWith(class, ms), 400},
		{"two ids", getWith(id, "X-Request-ID: 00fe", class, ms), 400},
		{"id too long", getWith("X-Request-ID: "+strings.Repeat("f", 10<<10), class, ms), 400},
		{"id under two names", getWith(id, "X_Request_ID: 00fe", class, ms), 400},
		{"Connection names a required header", getWith(id, class, ms, "Connection: X-Request-ID"), 400},
		{"unknown method", requestHead("BREW", "/api", "get", 500), 405},
		{"connect", requestHead("CONNECT", "h:1", "get", 500), 405},
	}
	ordinary := r.dial()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := r.dial()
			io.WriteString(cl, c.text) // fails if the proxy has already closed the connection
			if got := cl.read(); got.status != c.status || !got.close {
				t.Errorf("got %+v", got)
			}
			if !cl.closedByProxy() {
				t.Error("the proxy did not close the connection")
			}
			if got := ordinary.roundTrip(getRequest(2000)); got.status != 200 {
				t.Errorf("another client: got %+v", got)
			}
		})
	}
	if calls := b.RequestCount(); calls != len(cases) { // those of the other client
		t.Errorf("%d requests at the backend for %d good ones", calls, len(cases))
	}
	r.signal(syscall.SIGTERM)
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(r.logText(), fmt.Sprintf(" bad=%d ", len(cases))) {
		t.Error("the log does not count all requests as bad")
	}
}

// A request with the ID of an open one is rejected, and the open one is not affected. Guards
// against a client that gets the response to another client's request.
func TestDuplicateRequestID(t *testing.T) {
	b, release := newBlockingBackend(t)
	r := startWithBackends(t, b)
	c, text := r.dial(), getRequest(2000)
	c.send(text)
	r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
	if got := r.dial().roundTrip(strings.Replace(text, "/api", "/api?x", 1)); got.status != 409 || !got.close {
		t.Errorf("duplicate ID: got %+v", got)
	}
	release <- true
	if got := c.read(); got.status != 200 || got.body != "GET /api " {
		t.Errorf("got %+v", got)
	}
	if b.RequestCount() != 1 {
		t.Errorf("%d requests at the backend, want 1", b.RequestCount())
	}
}

// Guards against a request that runs twice: while its answer is on its way, however long that takes
// and whatever form it has, its ID is rejected. Once the answer has been read to its end, the ID is
// free at once.
func TestDuplicateRequestIDDuringLongAnswer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 8<<10)
	half := len(long) / 2
	resume := make(chan bool)
	end := make(chan bool)
	defer close(end)
	b := standin.NewBackend(t, func(c *standin.Call) {
		head, first, rest := "HTTP/1.1 200 OK\r\n", long[:half], long[half:]
		switch c.RequestURI {
		case "/api/length":
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long))
		case "/api/chunks":
			head += "Transfer-Encoding: chunked\r\n\r\n"
			first = fmt.Sprintf("%x\r\n%s\r\n", len(first), first)
			rest = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
		case "/api/chunk": // pauses inside it
			head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(long))
			rest += "\r\n0\r\n\r\n"
		default: // delimited by the close
			head += "\r\n"
			defer c.Close()
		}
		c.WriteRaw(head + first)
		if c.Header.Get("X-Pause") != "" {
			select {
			case <-resume:
			case <-end:
			}
		}
		c.WriteRaw(rest)
	})
	r := startWithBackends(t, b)
	for _, uri := range []string{"/api/length", "/api/chunks", "/api/chunk", "/api/close"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(version+uri, func(t *testing.T) {
				withoutPause := strings.Replace(requestHead("GET", uri, "get", 2000), "HTTP/1.1", version, 1)
				text := strings.Replace(withoutPause, "\r\n\r\n", "\r\nX-Pause: 1\r\n\r\n", 1)
				calls := b.RequestCount()
				c := r.dial()
				c.send(text)
				if _, err := c.r.Peek(1000); err != nil {
					t.Fatal(err)
				}
				for range 3 {
					if got := r.dial().roundTrip(text); got.status != 409 || !got.close {
						t.Errorf("the ID of an answer on its way: got %d with %d bytes", got.status, len(got.body))
					}
				}
				if n := b.RequestCount(); n != calls+1 {
					t.Errorf("%d requests at the backend, want 1", n-calls)
				}
				resume <- true
				for n := range 10 {
					got := c.read()
					if got.status != 200 || got.body != long {
						t.Fatalf("answer %d: got %d with %d bytes", n, got.status, len(got.body))
					}
					c = r.dial()
					c.send(withoutPause) // at once after the end
				}
				c.read()
			})
		}
	}
}

// A pipelined request, sent before the response to the previous one, is never served, and the
// previous one is answered 400.
func TestPipelinedRequest(t *testing.T) {
	b, release := newBlockingBackend(t)
	r := startWithBackends(t, b)
	c := r.dial()
	c.send(getRequest(2000))
	r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
	c.send(getRequest(2000))
	time.Sleep(20 * time.Millisecond) // long enough that the proxy has most likely read it
	release <- true
	if got := c.read(); got.status != 400 || !got.close || !c.closedByProxy() {
		t.Errorf("got %+v, want 400 and a close", got)
	}
	if b.RequestCount() != 1 {
		t.Errorf("%d requests at the backend, want 1", b.RequestCount())
	}
}
