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

// The admin port: the figures, and backends taken out and back by hand.

// The figures are what a client and the backends counted: over answers, refusals,
// failures, retries, 4xx and requests of all classes, each from 0 on.
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
				t.Errorf("%s of %s: %d, %t", name, class, n, ok)
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
	r.dial().roundTrip("GET /api HTTP/1.1\r\nHost: h\r\n\r\n") // counts for no class
	r.eventually("nothing open", func() bool { return r.metrics()["open_requests"] == 0 })
	metrics := r.metrics()
	for name, n := range got {
		if metrics[name] != n {
			t.Errorf("%s: %d, the client saw %d", name, metrics[name], n)
		}
	}
	if metrics["relayed"] != b.RequestCount() || metrics["registry_entries"] != 1 {
		t.Errorf("%d calls at the backend; %v", b.RequestCount(), metrics)
	}
	if len(got) < 6 {
		t.Errorf("too little was seen: %v", got)
	}
}

// A backend that is out by hand gets nothing, though the list is told again and the
// configuration is read again, and open requests are counted.
func TestDetach(t *testing.T) {
	slow, release := newBlockingBackend(t)
	b := standin.NewBackend(t, standin.Echo)
	r := newPlatform(t, 256, discoveryList(slow, b)).start()
	if got := r.adminCommand("DETACH s-9"); !strings.HasPrefix(got, "ERR ") {
		t.Errorf("an id that nobody has: %q", got)
	}
	if got := r.adminCommand("DETACH s-1") + r.adminCommand("DETACH s-1"); got != "OK\nOK\n" {
		t.Errorf("twice: %q", got)
	}
	calls := b.RequestCount()
	waiting := r.dial()
	waiting.send(getRequest(2000))
	r.eventually("a call", func() bool { return slow.RequestCount() > 0 })
	if f := r.metrics(); f["open_requests"] != 1 || f["out_of_rotation"] != 1 || f["registry_entries"] != 2 {
		t.Errorf("figures %v", f)
	}
	r.signal(syscall.SIGHUP)
	r.eventually("read again", func() bool { return r.countEvents("reload") > 0 })
	close(release)
	waiting.read()
	c := r.dial()
	for range 50 {
		c.roundTrip(getRequest(2000))
	}
	if n := b.RequestCount(); n != calls {
		t.Errorf("%d calls at a backend that is out", n-calls)
	}
	if got := r.adminCommand("ATTACH s-1") + r.adminCommand("ATTACH s-1"); got != "OK\nOK\n" {
		t.Errorf("back: %q", got)
	}
	r.eventually("a call to the one that is back", func() bool { c.roundTrip(getRequest(2000)); return b.RequestCount() > calls })
}

// The admin port answers while the proxy is short of descriptors and has more callers of
// every kind than it can hold.
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
			t.Errorf("got %q", got)
		}
		r.metrics()
	}
	if n := r.openSockets(); n > 64 {
		t.Errorf("%d descriptors", n)
	}
}
