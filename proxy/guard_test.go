package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/standin"
	"oxbowloft/logic"
)

// A violation that is planted between the module and the driver is stopped by its guard,
// counted and shown; a request that breaks none counts none.
func TestGuards(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	for _, c := range []struct {
		name  string
		guard guard
		plant func(d *driver)
	}{
		{"sent to one that drains", guardSend, func(d *driver) {
			at := d.backends["s-1"]
			at.state = logic.Draining
			d.backends["s-1"] = at
		}},
		{"sent to one that is out by hand", guardSend, func(d *driver) { d.detached["s-1"] = true }},
		{"none", guardCount, func(*driver) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := listening(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
			p.cfg.Grace = time.Millisecond
			defer running(t, p)()
			p.driver.mu.Lock()
			c.plant(p.driver)
			p.driver.mu.Unlock()
			before := b.Calls()
			code, _ := ask(t, dial(t, p), "get", 2000)
			for g := range guardCount {
				if n := p.driver.violations.counts[g].Load(); (n > 0) != (g == c.guard) {
					t.Errorf("guard %s counts %d", g, n)
				}
			}
			stopped := c.guard < guardCount
			if sent := b.Calls() > before; sent == stopped || (code == http.StatusOK) == stopped {
				t.Errorf("answered %d, sent %t", code, sent)
			}
			if info := (adminTarget{p}).Info(); !strings.Contains(info, `balancer_invariant_violations{guard="send"}`) {
				t.Errorf("not shown: %s", info)
			}
		})
	}
}

// The other guards, each asked about a step that must not be taken and one that may.
func TestGuardsOfACall(t *testing.T) {
	p := listening(t, standin.List(1, true), "127.0.0.1:1")
	defer p.listener.Close()
	defer p.shared.close()
	d := p.driver
	counted := func(g guard) int64 { return d.violations.counts[g].Load() }
	open := &activeRequest{id: "1", clientID: "open"}
	d.requests["1"] = open
	if !d.checkStart(open) || counted(guardStart) != 0 {
		t.Error("an open call may not start")
	}
	if d.checkStart(&activeRequest{id: "2", clientID: "answered"}) || d.checkStart(&activeRequest{id: "1", clientID: "left", clientLeft: true}) || counted(guardStart) != 2 {
		t.Error("a call that was answered, or whose client left, may start")
	}
	for _, c := range []struct {
		repeat logic.Repeat
		ran    bool
		may    bool
	}{{logic.Unsafe, true, false}, {logic.Unsafe, false, true}, {logic.Safe, true, true}, {logic.Keyed, true, true}} {
		if d.checkRetry(&activeRequest{idempotency: c.repeat, mayHaveRun: c.ran}) != c.may {
			t.Errorf("repeat rule %v, ran %t: may be repeated %t", c.repeat, c.ran, !c.may)
		}
	}
	if counted(guardRetry) != 1 {
		t.Errorf("%d repeats counted", counted(guardRetry))
	}
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &clientConn{conn: http1.NewConn(near)}
	p.checkClosed(c, open, "open")
	if counted(guardClose) != 1 {
		t.Error("an end with no answer is not counted")
	}
	c.responseStarted = true
	p.checkClosed(c, open, "open")
	p.checkClosed(&clientConn{}, &activeRequest{clientLeft: true}, "left")
	if counted(guardClose) != 1 {
		t.Error("an end with an answer, or without a client, is counted")
	}
}
