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

// A violation injected between the balancing logic and the driver is prevented by its
// guard, counted and shown. A normal request counts none.
func TestGuards(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	for _, c := range []struct {
		name   string
		guard  guard
		inject func(p *Proxy)
	}{
		{"sent to a draining backend", guardSend, func(p *Proxy) {
			at := p.driver.backends["s-1"]
			at.state = logic.Draining
			p.driver.backends["s-1"] = at
		}},
		{"sent to a detached backend", guardSend, func(p *Proxy) {
			p.shared.known.detached["s-1"] = true // as is shared, so that it stays
			p.driver.detached["s-1"] = true
		}},
		{"none", guardCount, func(*Proxy) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
			p.cfg.Grace = time.Millisecond
			defer startProxy(t, p)()
			p.detachMu.Lock()
			p.driver.mu.Lock()
			c.inject(p)
			p.driver.mu.Unlock()
			p.detachMu.Unlock()
			sentBefore := b.RequestCount()
			code, _ := sendRequest(t, dialProxy(t, p), "get", 2000)
			for g := range guardCount {
				if n := p.driver.violations.counts[g].Load(); (n > 0) != (g == c.guard) {
					t.Errorf("guard %s counts %d", g, n)
				}
			}
			stopped := c.guard < guardCount
			if sent := b.RequestCount() > sentBefore; sent == stopped || (code == http.StatusOK) == stopped {
				t.Errorf("answered %d, sent %t", code, sent)
			}
			if info := (adminTarget{p}).Info(); !strings.Contains(info, `balancer_invariant_violations{guard="send"}`) {
				t.Errorf("metrics lack the counter: %s", info)
			}
		})
	}
}

// The other guards, each with a step that must not be taken and one that may.
func TestGuardsOfARequest(t *testing.T) {
	p := listenProxy(t, standin.ListJSON(1, true), "127.0.0.1:1")
	defer p.listener.Close()
	defer p.shared.close()
	d := p.driver
	counted := func(g guard) int64 { return d.violations.counts[g].Load() }
	open := &activeRequest{id: "1", clientID: "open"}
	d.requests["1"] = open
	if !d.checkStart(open) || counted(guardStart) != 0 {
		t.Error("an open request may not start")
	}
	if d.checkStart(&activeRequest{id: "2", clientID: "answered"}) || d.checkStart(&activeRequest{id: "1", clientID: "left", clientLeft: true}) || counted(guardStart) != 2 {
		t.Error("a request that was answered, or whose client left, may start")
	}
	for _, c := range []struct {
		idempotency logic.Idempotency
		mayHaveRun  bool
		allowed     bool
	}{{logic.NonIdempotent, true, false}, {logic.NonIdempotent, false, true}, {logic.Idempotent, true, true}, {logic.Deduplicated, true, true}} {
		if d.checkRetry(&activeRequest{idempotency: c.idempotency, mayHaveRun: c.mayHaveRun}) != c.allowed {
			t.Errorf("idempotency %v, may have run %t: retry allowed %t", c.idempotency, c.mayHaveRun, !c.allowed)
		}
	}
	if counted(guardRetry) != 1 {
		t.Errorf("%d violations counted for retries", counted(guardRetry))
	}
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &clientConn{conn: http1.NewConn(near)}
	p.checkClosed(c, open, "open")
	if counted(guardClose) != 1 {
		t.Error("an end without a response is not counted")
	}
	c.responseStarted = true
	p.checkClosed(c, open, "open")
	p.checkClosed(&clientConn{}, &activeRequest{clientLeft: true}, "left")
	if counted(guardClose) != 1 {
		t.Error("an end with a response, or after the client left, is counted")
	}
}
