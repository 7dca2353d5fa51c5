// Package standin has small stand-ins for what a proxy speaks to: backends that
// do as a test says, discovery, and a configuration that names them. It is for
// tests alone.
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

// Backend is a stand-in backend.
type Backend struct {
	ln     net.Listener
	handle func(*Call)
	tasks  sync.WaitGroup

	mu     sync.Mutex
	calls  int
	opened int
	conns  map[net.Conn]bool
}

// Call is one request that has come whole to a backend.
type Call struct {
	*http.Request
	BodyText string // of the body
	Conn     net.Conn
	Number   int // counts the backend's calls from 1
}

// NewBackend starts a backend that does with each call as handle says. It ends
// with the test.
func NewBackend(t testing.TB, handle func(*Call)) *Backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Backend{ln: ln, handle: handle, conns: map[net.Conn]bool{}}
	b.tasks.Go(b.accept)
	t.Cleanup(b.Stop)
	return b
}

// Echo answers a call with its method, target and body.
func Echo(c *Call) { c.Reply(200, c.Method+" "+c.RequestURI+" "+c.BodyText) }

// Stop ends the backend and all its connections.
func (b *Backend) Stop() {
	b.ln.Close()
	b.CloseConns()
	b.tasks.Wait()
}

// Restart starts a backend that was stopped again, at the address that it had. The port is
// free: nothing else listens at it between the two.
func (b *Backend) Restart(t testing.TB) {
	t.Helper()
	ln, err := net.Listen("tcp", b.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b.ln = ln
	b.tasks.Go(b.accept)
}

// CloseConns closes all connections, and goes on accepting new ones.
func (b *Backend) CloseConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

// Addr is where the backend listens.
func (b *Backend) Addr() string { return b.ln.Addr().String() }

// RequestCount is how many requests have come whole.
func (b *Backend) RequestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls
}

// ConnCounts is how many connections were ever opened, and how many are open.
func (b *Backend) ConnCounts() (opened, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened, len(b.conns)
}

func (b *Backend) accept() {
	ln := b.ln
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.opened++
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
		b.calls++
		n := b.calls
		b.mu.Unlock()
		b.handle(&Call{Request: req, BodyText: string(body), Conn: c, Number: n})
	}
}

// Reply answers with a body and headers, given as "Name: value".
func (c *Call) Reply(status int, body string, headers ...string) {
	c.WriteRaw(fmt.Sprintf("HTTP/1.1 %d Some Words\r\nContent-Length: %d\r\n%s\r\n%s",
		status, len(body), strings.Join(append(headers, ""), "\r\n"), body))
}

// WriteRaw writes text as it is.
func (c *Call) WriteRaw(text string) { io.WriteString(c.Conn, text) }

// Close closes the connection.
func (c *Call) Close() { c.Conn.Close() }

// Reset breaks the connection.
func (c *Call) Reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
}

// Hang says nothing until the proxy ends the connection.
func (c *Call) Hang() { io.Copy(io.Discard, c.Conn) }

// TrickleBody begins an answer and sends its body a byte at a time, without end.
func (c *Call) TrickleBody() {
	c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
	for {
		if _, err := io.WriteString(c.Conn, "x"); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
