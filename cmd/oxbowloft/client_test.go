package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// This file has the tests' clients: connections to the program, requests, and load.

// clientConn is a client's connection to the program.
type clientConn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// dial opens a connection with a deadline of maxWait for everything done on it.
func (r *runningProgram) dial() *clientConn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(maxWait))
	return &clientConn{c, r.t, bufio.NewReader(c)}
}

// response is a response that has been read completely.
type response struct {
	status int
	body   string
	header http.Header
	close  bool
}

// send writes text unchanged.
func (c *clientConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// read reads a response, and fails the test if there is none.
func (c *clientConn) read() response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("read response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("read response body: %v", err)
	}
	return response{resp.StatusCode, string(body), resp.Header, resp.Close}
}

// roundTrip sends a request and reads its response.
func (c *clientConn) roundTrip(text string) response {
	c.t.Helper()
	c.send(text)
	return c.read()
}

// closedByProxy waits for the end of the connection, and reports whether the proxy closed it
// without sending anything more.
func (c *clientConn) closedByProxy() bool {
	n, err := c.r.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// requestIDs makes the request IDs unique.
var requestIDs counter

// requestHead returns the head of a request with a unique ID. The extra headers are lines of the
// form "Name: value".
func requestHead(method, target, class string, ms int, extraHeaders ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %016x\r\n"+
		"X-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n", method, target, requestIDs.increment(), class, ms,
		strings.Join(append(extraHeaders, ""), "\r\n"))
}

// getRequest returns a request of class "get", which is idempotent.
func getRequest(ms int) string { return requestHead("GET", "/api", "get", ms) }

// postRequest returns a request with a body. In class "pay" it must not run twice.
func postRequest(class, body string, ms int) string {
	return requestHead("POST", "/api", class, ms, "Content-Length: "+strconv.Itoa(len(body))) + body
}

// counter is a counter for concurrent use, e.g. of the requests at several backends.
type counter struct {
	mu sync.Mutex
	n  int
}

// increment adds one and returns the new value.
func (c *counter) increment() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

// swap sets the counter to n and returns the previous value.
func (c *counter) swap(n int) (before int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, c.n = c.n, n
	return before
}

// fillRetryBudget sends requests that succeed until the retry budget, a tenth of the requests,
// allows retries.
func (r *runningProgram) fillRetryBudget(c *clientConn) {
	r.t.Helper()
	for range 15 {
		for _, text := range []string{getRequest(2000), postRequest("pay", "x", 2000)} {
			if got := c.roundTrip(text); got.status != 200 {
				r.t.Fatalf("filling the retry budget: got %+v", got)
			}
		}
	}
}

// startLoad sends requests from several workers, on new and kept connections, until end is closed.
// Every request must get exactly one response.
func startLoad(t *testing.T, addr string, workers int, end <-chan bool) (answered *atomic.Int64, wait func()) {
	var tasks sync.WaitGroup
	answered = &atomic.Int64{}
	for range workers {
		tasks.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					t.Errorf("dial: %v", err)
					return
				}
				c := &clientConn{nc, t, nil}
				nc.SetDeadline(time.Now().Add(maxWait))
				for range 5 {
					if !c.postOnce() {
						break
					}
					answered.Add(1)
				}
				nc.Close()
			}
		})
	}
	return answered, tasks.Wait
}

// postOnce sends one request, reads its response with a single read, and reports whether the
// connection can be reused.
func (c *clientConn) postOnce() bool {
	if _, err := io.WriteString(c, postRequest("pay", "once", 2000)); err != nil {
		c.t.Errorf("send: %v", err)
		return false
	}
	var buffer [4096]byte
	n, err := c.Read(buffer[:])
	if err != nil || !bytes.HasPrefix(buffer[:n], []byte("HTTP/1.1 ")) {
		c.t.Errorf("read response: %q, %v", buffer[:n], err)
		return false
	}
	return !bytes.Contains(buffer[:n], []byte("Connection: close"))
}

// roundTripReconnecting is roundTrip on c, or on a new connection if the proxy closes c without a
// response, as it may between requests: a test that is short of processor time may take longer to
// read a response than the proxy's idle timeout, which starts when the response is written. It
// returns the connection to use next.
func (r *runningProgram) roundTripReconnecting(c *clientConn, text string) (response, *clientConn) {
	r.t.Helper()
	for tries := 0; ; tries++ {
		c.SetDeadline(time.Now().Add(maxWait)) // for this request alone, however many came before
		_, err := io.WriteString(c, text)
		if err == nil {
			_, err = c.r.Peek(1)
		}
		switch {
		case err == nil:
			return c.read(), c
		case tries == 4 || errors.Is(err, os.ErrDeadlineExceeded):
			r.t.Fatalf("no response on %d connections: %v", tries+1, err)
		}
		c = r.dial()
	}
}
