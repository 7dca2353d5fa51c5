package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// backend is a test backend. It has one listener per proxy, which tells the proxies apart.
type backend struct {
	recorder     *Recorder
	name         string
	answersTwice bool // some responses are followed by a late second copy

	listeners []net.Listener // by proxy
	tasks     sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	conns       map[net.Conn]bool
	faultsUntil map[EventKind]time.Time // until when each fault is active
	rng         *rand.Rand
	active      int
	rejectsAll  bool // all requests are rejected
}

// maxActive is the number of requests that a backend works on at a time; more are rejected.
const maxActive = 30

// Of a backend that answers twice: the share of such answers, and how late the second one is at
// most. The next request may have been written by then, as on a long way between proxy and backend.
const (
	secondAnswerShare = 0.1
	maxSecondDelay    = 25 * time.Millisecond
)

func newBackend(recorder *Recorder, name string, proxies int, seed uint64, answersTwice bool) (*backend, error) {
	b := &backend{
		recorder: recorder, name: name, answersTwice: answersTwice, conns: map[net.Conn]bool{}, faultsUntil: map[EventKind]time.Time{},
		rng: rand.New(rand.NewPCG(seed, 2)),
	}
	for proxy := range proxies {
		ln, err := net.Listen("tcp", host(hostBackends)+":0")
		if err != nil {
			b.close()
			return nil, err
		}
		b.listeners = append(b.listeners, ln)
		b.tasks.Go(func() { b.accept(ln, proxy) })
	}
	return b, nil
}

// endpoint returns the address that a proxy reaches the backend at.
func (b *backend) endpoint(proxy int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listeners[proxy].Addr().String()
}

// misbehave activates a fault for a time.
func (b *backend) misbehave(kind EventKind, span time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faultsUntil[kind] = time.Now().Add(span)
}

func (b *backend) hasFault(kind EventKind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.faultsUntil[kind])
}

func (b *backend) accept(ln net.Listener, proxy int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			c.Close()
			return
		}
		b.conns[c] = true
		b.mu.Unlock()
		b.tasks.Go(func() {
			b.serve(c, proxy)
			c.Close()
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		})
	}
}

// serve answers the requests on a connection.
func (b *backend) serve(c net.Conn, proxy int) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !b.answer(c, req, proxy, began) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (b *backend) answer(c net.Conn, req *http.Request, proxy int, began time.Time) bool {
	id := req.Header.Get("X-Request-ID")
	timeoutMs, _ := strconv.Atoi(req.Header.Get("X-Timeout-Ms"))
	b.mu.Lock()
	full := b.rejectsAll || b.active >= maxActive || time.Now().Before(b.faultsUntil[Full])
	service := 3*time.Millisecond + time.Duration(b.rng.ExpFloat64()*float64(8*time.Millisecond))
	b.active++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.active--
		b.mu.Unlock()
	}()
	b.recorder.AttemptReceived(id, b.name, proxy, began, time.Duration(timeoutMs)*time.Millisecond, !full)
	if full {
		return b.replyMaybeTwice(c, http.StatusServiceUnavailable, "X-Not-Processed: 1\r\n", "full\n")
	}
	for b.hasFault(Hang) {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(service)
	body := bodyFor(id, b.name)
	switch {
	case b.hasFault(Errors):
		return reply(c, http.StatusInternalServerError, "", "error\n")
	case b.hasFault(TruncatedResponses):
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		resetConn(c)
		return false
	case b.hasFault(IdleCloses):
		reply(c, http.StatusOK, "", body)
		return false
	}
	return b.replyMaybeTwice(c, http.StatusOK, "", body)
}

// replyMaybeTwice sends a response, followed by a late second copy if the backend answers twice and
// this response is drawn.
func (b *backend) replyMaybeTwice(c net.Conn, status int, header, body string) bool {
	if !reply(c, status, header, body) {
		return false
	}
	if !b.answersTwice {
		return true
	}
	b.mu.Lock()
	twice := b.rng.Float64() < secondAnswerShare
	delay := time.Duration(b.rng.Int64N(int64(maxSecondDelay)))
	b.mu.Unlock()
	if !twice {
		return true
	}
	time.Sleep(delay)
	return reply(c, status, header, body)
}

func reply(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body),
		header, body)
	return err == nil
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// reset resets all connections.
func (b *backend) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		resetConn(c)
	}
}

// rejectAll makes the backend reject all requests from now on.
func (b *backend) rejectAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejectsAll = true
}

// goOffline resets all connections and closes the listeners, so that new ones are refused.
func (b *backend) goOffline() {
	for _, ln := range b.listeners {
		ln.Close()
	}
	b.reset()
}

// goOnline makes an offline backend listen again at its former addresses.
func (b *backend) goOnline() error {
	for proxy, old := range b.listeners {
		ln, err := net.Listen("tcp", old.Addr().String())
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.listeners[proxy] = ln
		closed := b.closed
		b.mu.Unlock()
		if closed {
			ln.Close()
			return nil
		}
		b.tasks.Go(func() { b.accept(ln, proxy) })
	}
	return nil
}

// close stops the backend and waits for its handlers. Its connections are reset.
func (b *backend) close() {
	b.mu.Lock()
	b.closed = true
	listeners := slices.Clone(b.listeners)
	b.mu.Unlock()
	for _, ln := range listeners {
		ln.Close()
	}
	b.reset()
	b.misbehave(Hang, 0)
	b.tasks.Wait()
}
