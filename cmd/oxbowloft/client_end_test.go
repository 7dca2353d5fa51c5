package main

import (
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests clients that disconnect, stall, or send and read slowly.

// A client that disconnects has its socket closed, and its request is counted as gone.
func TestClientGone(t *testing.T) {
	b := standin.NewBackend(t, (*standin.Call).Hang)
	r := startWithBackends(t, b)
	c := r.dial()
	c.send(postRequest("pay", "x", 1500))
	r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
	c.Close()
	before := r.openSockets()
	r.eventually("the client's socket closed", func() bool { return r.openSockets() < before })
	r.signal(syscall.SIGTERM)
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(r.logText(), " gone=1 ") {
		t.Error("the log does not count the request as gone")
	}
}

// A client that shuts down its sending side after its request still gets the response to an
// attempt that has begun. Guards against no response at all. (An attempt that has not begun is
// not started: see TestClientGoneInDial and TestClientGoneBefore in package proxy.)
func TestHalfClosed(t *testing.T) {
	began, release := make(chan bool), make(chan bool)
	b := standin.NewBackend(t, func(c *standin.Call) {
		began <- true
		<-release
		if c.Method == "POST" {
			c.Reset()
			return
		}
		standin.Echo(c)
	})
	r := startWithBackends(t, b)
	for _, c := range []struct {
		text   string
		status int
	}{{getRequest(2000), 200}, {postRequest("pay", "x", 2000), 502}} {
		cl := r.dial()
		cl.send(c.text)
		<-began
		cl.Conn.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond) // long enough that the proxy has most likely seen the FIN
		release <- true
		if got := cl.read(); got.status != c.status || !cl.closedByProxy() {
			t.Errorf("got %+v, want %d and a close", got, c.status)
		}
	}
}

// An idle connection is closed after a while, so that clients that never close theirs don't hold
// sockets forever.
func TestIdleClients(t *testing.T) {
	r := startWithBackends(t, standin.NewBackend(t, standin.Echo))
	c, d := r.dial(), r.dial()
	if got := c.roundTrip(getRequest(2000)); got.status != 200 || got.close {
		t.Fatalf("got %+v", got)
	}
	began := time.Now()
	if !c.closedByProxy() || !d.closedByProxy() {
		t.Error("the proxy did not close the connections")
	}
	if took := time.Since(began); took < 2*time.Second {
		t.Errorf("closed after %v, want at least 2 s", took)
	}
	r.eventually("sockets closed", func() bool { return r.openSockets() <= 5 })
}

// A client that is slow, but within the timeouts, is served. One that stalls in a body soon gets
// 408, and no backend is kept waiting for it.
func TestSlowClients(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	r := newPlatform(t, 256, discoveryList(b)).start()
	var tasks sync.WaitGroup
	tasks.Go(func() {
		c := r.dial()
		text := getRequest(2000)
		for _, part := range []string{text[:5], text[5:40], text[40 : len(text)-1], text[len(text)-1:]} {
			c.send(part)
			time.Sleep(450 * time.Millisecond)
		}
		if got := c.read(); got.status != 200 {
			t.Errorf("slow head: got %+v", got)
		}
	})
	tasks.Go(func() {
		c := r.dial()
		text := postRequest("pay", strings.Repeat("x", 200_000), 2000)
		for len(text) > 0 {
			n := min(len(text), 16<<10)
			c.send(text[:n])
			text = text[n:]
			time.Sleep(250 * time.Millisecond)
		}
		if got := c.read(); got.status != 200 {
			t.Errorf("slow body: got %d %.30q", got.status, got.body)
		}
	})
	for _, size := range []int{1000, 200_000} {
		tasks.Go(func() {
			c := r.dial()
			text := postRequest("pay", strings.Repeat("x", size), 2000)
			c.send(text[:len(text)-500])
			if got := c.read(); got.status != 408 {
				t.Errorf("stall in a body of %d bytes: got %d", size, got.status)
			}
		})
	}
	tasks.Wait()
	if got := r.dial().roundTrip(getRequest(2000)); got.status != 200 {
		t.Errorf("afterwards: got %+v", got)
	}
}

// Clients that read long responses slowly don't delay other clients, however many they are.
func TestSlowReaders(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	b := standin.NewBackend(t, func(c *standin.Call) {
		if c.RequestURI == "/api/long" {
			c.Reply(200, long)
		} else {
			standin.Echo(c)
		}
	})
	r := newPlatform(t, 256, discoveryList(b)).start()
	var readers []*clientConn
	for range 20 {
		c := r.dial()
		c.send(requestHead("GET", "/api/long", "get", 2000))
		readers = append(readers, c)
	}
	c := r.dial()
	for range 40 {
		for {
			got := c.roundTrip(getRequest(2000))
			if got.status == 200 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, c := range readers { // none was aborted meanwhile
		if got := c.read(); got.status != 503 && got.body != long {
			t.Errorf("slow reader: got %d with %d bytes", got.status, len(got.body))
		}
	}
}
