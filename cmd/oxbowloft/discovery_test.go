package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests the use of the list from discovery, its changes, and outages of discovery.

// Every change of the list is applied. The last list stays in use through malformed messages and
// through an outage.
func TestDiscovery(t *testing.T) {
	name := func(n string) func(*standin.Call) { return func(c *standin.Call) { c.Reply(200, n) } }
	a, b := standin.NewBackend(t, name("a")), standin.NewBackend(t, name("b"))
	d := standin.NewDiscovery(t, standin.ListJSON(3, false))
	// Without a slow start, so that the responses depend on the list alone.
	noSlowStart := func(listen, discovery string, sockets int, known string) string {
		return strings.Replace(standin.Config(listen, discovery, sockets, known), `"cold-from":0.2`, `"cold-from":1`, 1)
	}
	r := startWithConfig(t, noSlowStart, d.Addr(), 256, standin.ListJSON(3, true, standin.TargetJSON("s-1", a.Addr())))
	c := r.dial()
	served := func(by string) func() bool { return func() bool { return c.roundTrip(getRequest(2000)).body == by } }
	if !served("a")() {
		t.Error("the configured list is not used")
	}
	r.eventually("a watch", func() bool { return d.WatchCount() == 1 })
	if got := d.RequestURIs()[0]; got != "/v1/servers?stream=1&index=3" {
		t.Errorf("discovery request %q", got)
	}

	// The backend moves to another endpoint: idle connections to the old one are closed.
	d.PushLine(standin.ListJSON(4, false, standin.TargetJSON("s-1", b.Addr())))
	r.eventually("the new endpoint", served("b"))
	r.eventually("idle connections to the old endpoint closed", func() bool { _, open := a.ConnCounts(); return open == 0 })

	// The backend restarts: connections from before are not reused.
	opened, _ := b.ConnCounts()
	d.PushLine(standin.ListJSON(4, false, strings.Replace(standin.TargetJSON("s-1", b.Addr()), `"boot_ms":0`,
		fmt.Sprintf(`"boot_ms":%d`, time.Now().UnixMilli()), 1)))
	r.eventually("connections from before the restart closed", func() bool { _, open := b.ConnCounts(); return open == 0 })
	if !served("b")() {
		t.Error("not served after the restart")
	}
	if again, _ := b.ConnCounts(); again != opened+1 {
		t.Errorf("%d connections opened before the restart, %d after it, want one more", opened, again)
	}

	// The backend drains: it gets no new requests.
	d.PushLine(standin.ListJSON(5, false, standin.TargetJSONInState("terminating", "s-1", b.Addr()), standin.TargetJSON("s-2", a.Addr())))
	r.eventually("the other backend", served("a"))
	calls := b.RequestCount()
	for range 20 {
		if !served("a")() {
			t.Error("served by a draining backend")
		}
	}
	if b.RequestCount() != calls {
		t.Error("the draining backend got a request")
	}

	// The backend is removed: idle connections to it are closed.
	d.PushLine(standin.ListJSON(6, false, standin.TargetJSONInState("terminated", "s-1", "")))
	r.eventually("idle connections closed", func() bool { _, open := b.ConnCounts(); return open == 0 })

	// A malformed message is logged. The last list stays in use, and the watch resumes
	// from its revision.
	d.SetFirstLine(standin.ListJSON(6, false))
	d.PushLine(`{"rev":7,"all":true,"targets":"none"}`)
	r.eventually("the malformed message in the log", func() bool { return strings.Contains(r.logText(), "event=watch_ended why=ended rev=6") })
	if !served("a")() {
		t.Error("the last list is no longer used")
	}
	r.eventually("another watch", func() bool { return d.WatchCount() == 1 })
	if asked := d.RequestURIs(); asked[len(asked)-1] != "/v1/servers?stream=1&index=6" {
		t.Errorf("discovery requests %q", asked)
	}

	// An outage: requests are still served, and discovery is retried with backoff.
	d.SetDown(true)
	d.AbortWatches()
	before := len(d.RequestURIs())
	time.Sleep(time.Second)
	if !served("a")() {
		t.Error("the last list is no longer used")
	}
	// The backoff starts at 0.1 s at the least, so that there can't be more than 10 retries.
	if n := len(d.RequestURIs()) - before; n > 10 {
		t.Errorf("%d discovery requests in a second", n)
	}
	d.SetDown(false)
	r.eventually("a watch after the outage", func() bool { return d.WatchCount() == 1 })

	// A whole list removes the backends that it doesn't have.
	d.PushLine(standin.ListJSON(9, true, standin.TargetJSON("s-3", b.Addr())))
	r.eventually("the whole list", served("b"))
}

// The configured list is used when discovery never responds.
func TestDiscoveryOutageAtStart(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	r := startProgram(t, freeAddr(t), 256, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())))
	if got := r.dial().roundTrip(getRequest(2000)); got.status != 200 {
		t.Errorf("got %+v", got)
	}
}

// Without a backend the program runs but isn't ready; the first backend makes it ready.
func TestNoBackendKnown(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	d := standin.NewDiscovery(t, standin.ListJSON(1, true))
	r := startProgram(t, d.Addr(), 256, "null")
	health := func() int { return r.dial().roundTrip("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").status }
	if got := health(); got != 503 {
		t.Errorf("/healthz without a backend: got %d", got)
	}
	if got := r.dial().roundTrip(getRequest(1000)); got.status != 503 {
		t.Errorf("got %+v", got)
	}
	r.eventually("a watch", func() bool { return d.WatchCount() == 1 })
	d.PushLine(standin.ListJSON(2, false, standin.TargetJSON("s-1", b.Addr())))
	r.eventually("ready", func() bool { return health() == 200 })
}

// While backends come and go, requests are served throughout, and connections to removed backends
// don't accumulate.
func TestBackendChurn(t *testing.T) {
	const sockets = 64
	fleet := []*standin.Backend{}
	for range 8 {
		fleet = append(fleet, standin.NewBackend(t, standin.Echo))
	}
	d := standin.NewDiscovery(t, standin.ListJSON(1, false))
	r := startProgram(t, d.Addr(), sockets, standin.ListJSON(1, true, standin.TargetJSON("s-0", fleet[0].Addr())))
	r.eventually("a watch", func() bool { return d.WatchCount() == 1 })
	c := r.dial()
	for rev := 2; rev < 300; rev++ {
		// Each list replaces the backend by another one under a new ID.
		d.PushLine(standin.ListJSON(rev, false, standin.TargetJSONInState("terminated", fmt.Sprintf("s-%d", rev-2), ""),
			standin.TargetJSON(fmt.Sprintf("s-%d", rev-1), fleet[rev%len(fleet)].Addr())))
		if got := c.roundTrip(getRequest(2000)); got.status != 200 {
			t.Fatalf("list %d: got %+v", rev, got)
		}
	}
	r.eventually("one idle connection, to the last backend", func() bool {
		open := 0
		for _, b := range fleet {
			_, n := b.ConnCounts()
			open += n
		}
		return open <= 1
	})
	if n := r.openSockets(); n > 8 {
		t.Errorf("%d sockets open, want at most 8", n)
	}
}
