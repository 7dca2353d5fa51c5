package main

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests the reload of the configuration on SIGHUP.

// replaceConfig replaces the program's configuration file atomically.
func (r *runningProgram) replaceConfig(text string) {
	r.t.Helper()
	if err := os.WriteFile(r.configPath+".new", []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	if err := os.Rename(r.configPath+".new", r.configPath); err != nil {
		r.t.Fatal(err)
	}
}

// countEvents returns how often the event is in the log.
func (r *runningProgram) countEvents(event string) int {
	return strings.Count(r.logText(), "event="+event+" ")
}

// On SIGHUP under load no request is lost, and the list comes from the new discovery address, even
// with a lower revision. Guards against the signal's default action, which ends the program, and
// against a watch that stays at the old address.
func TestReload(t *testing.T) {
	named := func(n string) *standin.Backend {
		return standin.NewBackend(t, func(c *standin.Call) { c.Reply(200, n) })
	}
	a, b := named("a"), named("b")
	listA := standin.ListJSON(7, true, standin.TargetJSON("s-a", a.Addr()))
	oldSource := standin.NewDiscovery(t, listA)
	newSource := standin.NewDiscovery(t, standin.ListJSON(2, true, standin.TargetJSON("s-b", b.Addr())))
	r := startProgram(t, oldSource.Addr(), 256, listA)
	r.eventually("a watch", func() bool { return oldSource.WatchCount() == 1 })

	var stop atomic.Bool
	var tasks sync.WaitGroup
	for range 8 {
		tasks.Go(func() {
			for c := r.dial(); !stop.Load(); {
				if got := c.roundTrip(postRequest("pay", "x", 2000)); got.status != 200 {
					t.Errorf("got %+v", got)
					return
				}
			}
		})
	}
	r.replaceConfig(standin.Config(r.addr, newSource.Addr(), 128, listA))
	r.signal(syscall.SIGHUP)
	r.signal(syscall.SIGHUP) // two signals at once have the effect of one
	c := r.dial()
	r.eventually("the list from the new address", func() bool { return c.roundTrip(getRequest(2000)).body == "b" })
	r.eventually("the old watch ended", func() bool { return oldSource.WatchCount() == 0 })
	newSource.PushLine(standin.ListJSON(3, false, standin.TargetJSON("s-a", a.Addr())))
	r.eventually("the change from the new address", func() bool { return c.roundTrip(getRequest(2000)).body == "a" })
	stop.Store(true)
	tasks.Wait()
	if asked := newSource.RequestURIs(); len(asked) != 1 || !strings.HasSuffix(asked[0], "index=0") {
		t.Errorf("requests to the new address: %q", asked)
	}
	if !strings.Contains(r.logText(), "sockets=128 not_taken=\"\"") {
		t.Error("the new limit is not in the log")
	}
}

// An invalid configuration is logged in one line, and nothing of it is applied.
func TestReloadOfBadConfig(t *testing.T) {
	r, d := startWithDiscovery(t, standin.Config, standin.NewBackend(t, standin.Echo))
	r.eventually("a watch", func() bool { return d.WatchCount() == 1 && r.countEvents("list") == 1 })
	good, err := os.ReadFile(r.configPath)
	if err != nil {
		t.Fatal(err)
	}
	c := r.dial()
	failed := 0
	lines := func() int { return strings.Count(r.logText(), "\n") - r.countEvents("stats") } // stats are logged periodically
	try := func(what string) {
		t.Helper()
		failed++
		before := lines()
		r.signal(syscall.SIGHUP)
		r.eventually(what+": logged as failed", func() bool { return r.countEvents("reload_failed") == failed })
		if n := lines() - before; n != 1 {
			t.Errorf("%s: %d log lines, want 1", what, n)
		}
		if got := c.roundTrip(getRequest(2000)); got.status != 200 {
			t.Errorf("%s: got %+v", what, got)
		}
	}
	r.replaceConfig(string(good[:len(good)/2]))
	try("truncated file")
	r.replaceConfig(strings.ReplaceAll(string(good), "single_shot", "twice"))
	try("unknown idempotency")
	r.replaceConfig(string(bytes.Replace(good, []byte(d.Addr()), []byte("nowhere"), 1)))
	try("invalid discovery address")
	r.replaceConfig(strings.Replace(string(good), `"stage":0`, `"kind-of-service":"mesh","stage":1`, 1))
	try("a lower tier in a mesh")
	if err := os.Remove(r.configPath); err != nil {
		t.Fatal(err)
	}
	try("missing file")
	if d.WatchCount() != 1 || len(d.RequestURIs()) != 1 {
		t.Errorf("the watch did not stay open: discovery requests %q", d.RequestURIs())
	}
	r.replaceConfig(strings.Replace(string(good), `"zones":["z1","z2"]`, `"zones":["z1"]`, 1))
	r.signal(syscall.SIGHUP)
	r.eventually("the valid configuration", func() bool { return strings.Contains(r.logText(), `not_taken="settings"`) })
}

// SIGHUP during a drain, or just before it, does not end the program with requests in flight.
func TestReloadInDrain(t *testing.T) {
	b, release := newBlockingBackend(t)
	r := startWithBackends(t, b)
	c := r.dial()
	c.send(postRequest("pay", "x", 2000))
	time.Sleep(20 * time.Millisecond) // long enough that the request is most likely in flight
	r.signal(syscall.SIGHUP)
	r.signal(syscall.SIGTERM)
	r.eventually("draining", func() bool { return strings.Contains(r.logText(), "phase=draining") })
	r.signal(syscall.SIGHUP)
	r.eventually("the reload", func() bool { return r.countEvents("reload") > 0 })
	release <- true
	if got := c.read(); got.status != 200 {
		t.Errorf("got %+v", got)
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
