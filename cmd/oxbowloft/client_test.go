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

// conn is a client's connection.
type conn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (r *running) dial() *conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &conn{c, r.t, bufio.NewReader(c)}
}

type reply struct {
	status int
	body   string
	header http.Header
	close  bool
}

func (c *conn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// read reads an answer; all connections must bring one, or the test fails.
func (c *conn) read() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("body: %v", err)
	}
	return reply{resp.StatusCode, string(body), resp.Header, resp.Close}
}

func (c *conn) ask(text string) reply {
	c.t.Helper()
	c.send(text)
	return c.read()
}

// ended tells whether the proxy has closed the connection, with nothing more on it.
func (c *conn) ended() bool {
	n, err := c.r.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

var ids counter

func head(method, target, class string, ms int, more ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %016x\r\n"+
		"X-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n", method, target, ids.next(), class, ms,
		strings.Join(append(more, ""), "\r\n"))
}

func get(ms int) string { return head("GET", "/api", "get", ms) }

func post(class, body string, ms int) string {
	return head("POST", "/api", class, ms, "Content-Length: "+strconv.Itoa(len(body))) + body
}

// counter counts the calls to several backends together.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

func (c *counter) set(n int) (before int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, c.n = c.n, n
	return before
}

// warm makes good calls until the module lets one in ten be repeated.
func (r *running) warm(c *conn) {
	r.t.Helper()
	for range 15 {
		for _, text := range []string{get(2000), post("pay", "x", 2000)} {
			if got := c.ask(text); got.status != 200 {
				r.t.Fatalf("warming up: got %+v", got)
			}
		}
	}
}

// steady asks on new and kept connections until end is closed. No request may be turned
// back unheard, and each whole one has one answer.
func steady(t *testing.T, addr string, workers int, end <-chan bool) (answered *atomic.Int64, wait func()) {
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
				c := &conn{nc, t, nil}
				nc.SetDeadline(time.Now().Add(patience))
				for range 5 {
					if !c.once() {
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

// once asks once, and returns whether the connection can carry another.
func (c *conn) once() bool {
	if _, err := io.WriteString(c, post("pay", "once", 2000)); err != nil {
		c.t.Errorf("send: %v", err)
		return false
	}
	var one [4096]byte
	n, err := c.Read(one[:])
	if err != nil || !bytes.HasPrefix(one[:n], []byte("HTTP/1.1 ")) {
		c.t.Errorf("answer: %q, %v", one[:n], err)
		return false
	}
	return !bytes.Contains(one[:n], []byte("Connection: close"))
}

// askAnew asks on c, or on a new connection where the proxy has ended c without a word, as
// it may between requests: a test that is short of processor time may read an answer for
// longer than the proxy waits for the next request, whose time begins with the write of it.
// It returns the connection to go on with.
func (r *running) askAnew(c *conn, text string) (reply, *conn) {
	r.t.Helper()
	for tries := 0; ; tries++ {
		c.SetDeadline(time.Now().Add(patience)) // for this message alone, however many came before
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
