// Package standin provides test doubles for a proxy's peers: scriptable backends, the
// discovery service, and configurations that refer to them. It is for tests only.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Backend is a backend whose responses a test scripts.
type Backend struct {
	listener net.Listener
	handle   func(*Call)
	tasks    sync.WaitGroup

	mu           sync.Mutex
	requestCount int
	openedConns  int
	conns        map[net.Conn]bool
}

// Call is one request that a backend has read completely, body included.
type Call struct {
	*http.Request
	BodyText string
	Conn     net.Conn
	Number   int // of the request at this backend, from 1
}

// NewBackend starts a backend that passes each request to handle. It is stopped at the end
// of the test.
func NewBackend(t testing.TB, handle func(*Call)) *Backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Backend{listener: ln, handle: handle, conns: map[net.Conn]bool{}}
	b.tasks.Go(b.accept)
	t.Cleanup(b.Stop)
	return b
}

// Echo answers a request with its method, target and body.
func Echo(c *Call) { c.Reply(200, c.Method+" "+c.RequestURI+" "+c.BodyText) }

// Stop closes the listener and all connections, and waits for the handlers to return.
func (b *Backend) Stop() {
	b.listener.Close()
	b.CloseConns()
	b.tasks.Wait()
}

// Restart starts a stopped backend again at the same address. The port is still free, since
// nothing else listens on it in between.
func (b *Backend) Restart(t testing.TB) {
	t.Helper()
	ln, err := net.Listen("tcp", b.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b.listener = ln
	b.tasks.Go(b.accept)
}

// CloseConns closes all open connections. The backend still accepts new ones.
func (b *Backend) CloseConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

// Addr returns the address that the backend listens on.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// RequestCount returns the number of requests read completely so far.
func (b *Backend) RequestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requestCount
}

// ConnCounts returns how many connections have been accepted so far, and how many of them
// are open.
func (b *Backend) ConnCounts() (opened, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openedConns, len(b.conns)
}

func (b *Backend) accept() {
	ln := b.listener
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.openedConns++
		b.conns[c] = true
		b.mu.Unlock()
		b.tasks.Go(func() { b.serve(c) })
	}
}

func (b *Backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.requestCount++
		number := b.requestCount
		b.mu.Unlock()
		b.handle(&Call{Request: req, BodyText: string(body), Conn: c, Number: number})
	}
}

// Reply sends a response with the status, the body and header lines of the form
// "Name: value".
func (c *Call) Reply(status int, body string, headers ...string) {
	c.WriteRaw(fmt.Sprintf("HTTP/1.1 %d Some Words\r\nContent-Length: %d\r\n%s\r\n%s",
		status, len(body), strings.Join(append(headers, ""), "\r\n"), body))
}

// WriteRaw writes text to the connection unchanged.
func (c *Call) WriteRaw(text string) { io.WriteString(c.Conn, text) }

// Close closes the connection.
func (c *Call) Close() { c.Conn.Close() }

// Reset closes the connection with a TCP reset.
func (c *Call) Reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
}

// Hang leaves the request unanswered until the peer closes the connection.
func (c *Call) Hang() { io.Copy(io.Discard, c.Conn) }

// TrickleBody sends a response head, and then its body one byte every 10 ms until the peer
// closes the connection.
func (c *Call) TrickleBody() {
	c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
	for {
		if _, err := io.WriteString(c.Conn, "x"); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
