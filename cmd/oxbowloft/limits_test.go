package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests more connections than the limit on descriptors allows.

// Many connections that send nothing, or part of a request, are closed in time. With few
// descriptors and little memory another client is served all the while.
func TestIdleConnectionFlood(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	r := startWithBackends(t, b)
	ordinary := r.dial()
	serve := func() {
		t.Helper()
		if got := ordinary.roundTrip(getRequest(2000)); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	serve()
	for _, part := range []string{"", "GET /a", requestHead("POST", "/api", "pay", 500, "Content-Length: 9") + "abc"} {
		began := time.Now()
		var conns []*clientConn
		for i := range 400 {
			c := r.dial()
			if part != "" {
				c.send(part)
			}
			conns = append(conns, c)
			if i%20 == 0 {
				serve()
			}
		}
		for _, c := range conns {
			if got, err := io.ReadAll(c); err == nil && part != "" && !bytes.HasPrefix(got, []byte("HTTP/1.1 408 ")) {
				t.Fatalf("%q: got %q", part, got)
			}
		}
		if took := time.Since(began); took > maxWait/2 {
			t.Errorf("%q: all closed only after %v", part, took)
		}
		serve()
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", status[bytes.Index(status, []byte("VmHWM")):][:30]) // most of it is the race detector's
	if n := r.openSockets(); n > 256 {
		t.Errorf("%d sockets open, limit 256", n)
	}
}

// With more connections than the socket limit allows, idle ones are closed, requests are answered,
// and the limit is kept.
func TestMoreConnectionsThanSockets(t *testing.T) {
	const sockets = 64
	b := standin.NewBackend(t, standin.Echo)
	list := standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr()))
	r := startProgram(t, standin.NewDiscovery(t, list).Addr(), sockets, list)
	for range 3 * sockets {
		if got := r.dial().roundTrip(getRequest(2000)); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
		if n := r.openSockets(); n > sockets {
			t.Fatalf("%d sockets", n)
		}
	}
	// Also with connections that never send a request.
	for range 3 * sockets {
		r.dial()
	}
	if got := r.dial().roundTrip(getRequest(2000)); got.status != 200 {
		t.Errorf("with many idle connections: got %+v", got)
	}
	if n := r.openSockets(); n > sockets {
		t.Errorf("%d sockets", n)
	}
}

// With more requests than there are sockets for attempts, to backends that never respond, every
// request is answered in time.
func TestUnresponsiveBackends(t *testing.T) {
	const sockets = 64
	b := standin.NewBackend(t, (*standin.Call).Hang)
	list := standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr()))
	r := startProgram(t, standin.NewDiscovery(t, list).Addr(), sockets, list)
	var conns []*clientConn
	for range 2 * sockets {
		c := r.dial()
		c.send(postRequest("pay", "x", 1000))
		conns = append(conns, c)
	}
	for _, c := range conns {
		if got := c.read(); got.status != 502 && got.status != 503 {
			t.Errorf("got %+v", got)
		}
	}
	if n := r.openSockets(); n > sockets {
		t.Errorf("%d sockets", n)
	}
	for _, c := range conns {
		c.Close()
	}
	r.eventually("sockets closed", func() bool { return r.openSockets() <= 8 })
}

// While two processes run, they have no more sockets open together than one process may, however
// many clients connect. When one exits, the other continues to serve.
func TestSharedDescriptors(t *testing.T) {
	const limit = 128
	slow, release := newBlockingBackend(t)
	p := newPlatform(t, limit, discoveryList(slow))
	old := p.start()
	for range 200 {
		old.dial().send(getRequest(2000))
	}
	next := p.start()
	for range 200 {
		next.dial().send(getRequest(2000))
	}
	next.eventually("each process knows of the other", func() bool {
		return strings.Contains(old.logText(), "event=processes count=2") &&
			strings.Contains(next.logText(), "event=processes count=2")
	})
	together := func() int { return old.openSockets() + next.openSockets() }
	next.eventually("within the limit together", func() bool { return together() <= limit })
	for range 20 {
		if n := together(); n > limit {
			t.Errorf("%d sockets open together", n)
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(release)
	old.signal(syscall.SIGTERM)
	if err := old.wait(); err != nil {
		t.Errorf("exit of the old process: %v", err)
	}
	next.eventually("the old process no longer counted", func() bool { return strings.Contains(next.logText(), "event=processes count=1") })
	if got := next.adminCommand("PING"); got != "OK\n" {
		t.Errorf("got %q", got)
	}
}
