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

// The tests' clients: connections to the program, the requests they send, and load.

// clientConn is a client's connection to the program.
type clientConn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// dial opens a connection, with maxWait for all that is done on it.
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

// response is an answer that has come whole.
type response struct {
	status int
	body   string
	header http.Header
	close  bool
}

// send writes text as it is.
func (c *clientConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// read reads an answer; without one the test fails.
func (c *clientConn) read() response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("body: %v", err)
	}
	return response{resp.StatusCode, string(body), resp.Header, resp.Close}
}

// roundTrip sends a request and reads its answer.
func (c *clientConn) roundTrip(text string) response {
	c.t.Helper()
	c.send(text)
	return c.read()
}

// closedByProxy waits for the end of the connection, and tells whether the proxy closed it
// with nothing more on it.
func (c *clientConn) closedByProxy() bool {
	n, err := c.r.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// requestIDs gives each request of the tests an id of its own.
var requestIDs counter

// requestHead is the head of a request with an id of its own; more has headers to add.
func requestHead(method, target, class string, ms int, extraHeaders ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %016x\r\n"+
		"X-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n", method, target, requestIDs.increment(), class, ms,
		strings.Join(append(extraHeaders, ""), "\r\n"))
}

// getRequest is a request of class "get", which may run any number of times.
func getRequest(ms int) string { return requestHead("GET", "/api", "get", ms) }

// postRequest is a request with a body; in class "pay" it must not run twice.
func postRequest(class, body string, ms int) string {
	return requestHead("POST", "/api", class, ms, "Content-Length: "+strconv.Itoa(len(body))) + body
}

// counter is a number that many goroutines count up: the calls to several backends
// together, say.
type counter struct {
	mu sync.Mutex
	n  int
}

// increment adds one and returns the sum.
func (c *counter) increment() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

// swap sets the counter to n and returns what it was.
func (c *counter) swap(n int) (before int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, c.n = c.n, n
	return before
}

// fillRetryBudget makes good calls until the module lets one in ten be repeated.
func (r *runningProgram) fillRetryBudget(c *clientConn) {
	r.t.Helper()
	for range 15 {
		for _, text := range []string{getRequest(2000), postRequest("pay", "x", 2000)} {
			if got := c.roundTrip(text); got.status != 200 {
				r.t.Fatalf("warming up: got %+v", got)
			}
		}
	}
}

// startLoad sends requests from that many workers, on new and kept connections, until end is
// closed. No request may go without an answer, and each has only one.
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

// postOnce sends one request, reads its answer in one piece, and returns whether the
// connection can carry another.
func (c *clientConn) postOnce() bool {
	if _, err := io.WriteString(c, postRequest("pay", "once", 2000)); err != nil {
		c.t.Errorf("send: %v", err)
		return false
	}
	var buffer [4096]byte
	n, err := c.Read(buffer[:])
	if err != nil || !bytes.HasPrefix(buffer[:n], []byte("HTTP/1.1 ")) {
		c.t.Errorf("answer: %q, %v", buffer[:n], err)
		return false
	}
	return !bytes.Contains(buffer[:n], []byte("Connection: close"))
}

// roundTripReconnecting does as roundTrip on c, or on a new connection where the proxy has
// closed c without an answer, as it may between requests: a test that is short of processor
// time may read an answer for longer than the proxy waits for the next request, whose time
// begins with the write of it. It returns the connection to go on with.
func (r *runningProgram) roundTripReconnecting(c *clientConn, text string) (response, *clientConn) {
	r.t.Helper()
	for tries := 0; ; tries++ {
		c.SetDeadline(time.Now().Add(maxWait)) // for this message alone, however many came before
		_, err := io.WriteString(c, text)
		if err == nil {
			_, err = c.r.Peek(1)
		}
		switch {
		case err == nil:
			return c.read(), c
		case tries == 4 || errors.Is(err, os.ErrDeadlineExceeded):
			r.t.Fatalf("no answer on %d connections: %v", tries+1, err)
		}
		c = r.dial()
	}
}
