package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"oxbowloft/internal/standin"
)

// This file tests the admin endpoint: metrics, and detaching and attaching backends.

// The metrics agree with what the client and the backends counted: for responses, refusals,
// failures, retries, 4xx and requests of all classes, each starting at 0.
func TestMetrics(t *testing.T) {
	var mode atomic.Value
	mode.Store("echo")
	b := standin.NewBackend(t, func(c *standin.Call) {
		switch mode.Load() {
		case "error":
			c.Reply(500, "")
		case "full":
			c.Reply(503, "", "X-Not-Processed: 1")
		case "bad":
			c.Reply(404, "")
		default:
			standin.Echo(c)
		}
	})
	r := newPlatform(t, 256, discoveryList(b)).start()
	for _, name := range []string{"fulfilled", "throttled", "faulted"} {
		for _, class := range []string{"get", "put", "pay"} {
			if n, ok := r.metrics()[fmt.Sprintf("%s{priority=%q}", name, class)]; !ok || n != 0 {
				t.Errorf("%s of class %s: got %d, present %t, want 0", name, class, n, ok)
			}
		}
	}
	got := map[string]int{}
	c := r.dial()
	for _, m := range []string{"echo", "bad", "full", "echo", "error", "echo"} {
		mode.Store(m)
		for i := range 30 {
			class := []string{"get", "put", "pay"}[i%3]
			text := postRequest(class, "hi", 2000)
			if class == "get" {
				text = getRequest(2000)
			}
			kind := map[int]string{200: "fulfilled", 503: "throttled"}[c.roundTrip(text).status]
			if kind == "" {
				kind = "faulted"
			}
			got[fmt.Sprintf("%s{priority=%q}", kind, class)]++
		}
	}
	r.dial().roundTrip("GET /api HTTP/1.1\r\nHost: h\r\n\r\n") // without a class it is in no class's count
	r.eventually("no open requests", func() bool { return r.metrics()["open_requests"] == 0 })
	metrics := r.metrics()
	for name, n := range got {
		if metrics[name] != n {
			t.Errorf("%s: got %d, the client counted %d", name, metrics[name], n)
		}
	}
	if metrics["relayed"] != b.RequestCount() || metrics["registry_entries"] != 1 {
		t.Errorf("%d requests at the backend; metrics %v", b.RequestCount(), metrics)
	}
	if len(got) < 6 {
		t.Errorf("not all outcomes occurred: %v", got)
	}
}

// A detached backend gets no requests, even after a reload of the configuration; open requests
// are counted.
func TestDetach(t *testing.T) {
	slow, release := newBlockingBackend(t)
	b := standin.NewBackend(t, standin.Echo)
	r := newPlatform(t, 256, discoveryList(slow, b)).start()
	if got := r.adminCommand("DETACH s-9"); !strings.HasPrefix(got, "ERR ") {
		t.Errorf("DETACH of an unknown ID: got %q", got)
	}
	if got := r.adminCommand("DETACH s-1") + r.adminCommand("DETACH s-1"); got != "OK\nOK\n" {
		t.Errorf("DETACH twice: got %q", got)
	}
	calls := b.RequestCount()
	waiting := r.dial()
	waiting.send(getRequest(2000))
	r.eventually("a request at the blocking backend", func() bool { return slow.RequestCount() > 0 })
	if f := r.metrics(); f["open_requests"] != 1 || f["out_of_rotation"] != 1 || f["registry_entries"] != 2 {
		t.Errorf("metrics %v", f)
	}
	r.signal(syscall.SIGHUP)
	r.eventually("the reload", func() bool { return r.countEvents("reload") > 0 })
	close(release)
	waiting.read()
	c := r.dial()
	for range 50 {
		c.roundTrip(getRequest(2000))
	}
	if n := b.RequestCount(); n != calls {
		t.Errorf("%d requests at a detached backend", n-calls)
	}
	if got := r.adminCommand("ATTACH s-1") + r.adminCommand("ATTACH s-1"); got != "OK\nOK\n" {
		t.Errorf("ATTACH twice: got %q", got)
	}
	r.eventually("a request at the attached backend", func() bool { c.roundTrip(getRequest(2000)); return b.RequestCount() > calls })
}

// The admin endpoint answers while the proxy is short of descriptors and has more clients, on both
// listeners, than it can hold.
func TestAdminWhileSaturated(t *testing.T) {
	slow, release := newBlockingBackend(t)
	r := newPlatform(t, 64, discoveryList(slow)).start()
	defer close(release)
	for range 100 {
		r.dial().send(getRequest(2000))
	}
	for range 20 {
		if c, err := net.Dial("tcp", r.adminAddr); err == nil {
			defer c.Close()
		}
	}
	for range 10 {
		if got := r.adminCommand("PING"); got != "OK\n" {
			t.Errorf("PING: got %q", got)
		}
		r.metrics()
	}
	if n := r.openSockets(); n > 64 {
		t.Errorf("%d sockets open, limit 64", n)
	}
}
