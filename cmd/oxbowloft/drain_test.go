package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests the drain on SIGTERM: what is still served, and how each open request is answered.

// During the grace period after SIGTERM everything is served, on existing and new connections.
// Then requests in flight are finished, and the program exits without an error.
func TestDrain(t *testing.T) {
	release := make(chan bool)
	b := standin.NewBackend(t, func(c *standin.Call) {
		if c.Method == "POST" {
			<-release
		}
		standin.Echo(c)
	})
	list := standin.ListJSON(1, true, standin.TargetJSON("s-0", b.Addr()))
	r := startProgram(t, standin.NewDiscovery(t, list).Addr(), 256, list, "--grace", "4s")
	idle, busy := r.dial(), r.dial()
	if got := idle.roundTrip(getRequest(2000)); got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	busy.send(postRequest("pay", "x", 8000))
	r.eventually("the attempt", func() bool { return b.RequestCount() == 2 })
	r.signal(syscall.SIGTERM)
	r.eventually("draining", func() bool { return strings.Contains(r.logText(), "phase=draining") })
	// It still serves existing and new connections.
	for range 2 {
		if got := idle.roundTrip(getRequest(2000)); got.status != 200 || got.close {
			t.Errorf("on an existing connection: got %+v", got)
		}
	}
	if got := r.dial().roundTrip(getRequest(2000)); got.status != 200 || got.close {
		t.Errorf("on a new connection: got %+v", got)
	}
	if got := r.dial().roundTrip("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); got.status != 503 {
		t.Errorf("healthz: got %+v", got)
	}
	unused := r.dial()
	close(release)
	if got := busy.read(); got.status != 200 || got.body != "POST /api x" {
		t.Errorf("in flight: got %+v", got)
	}
	if !unused.closedByProxy() {
		t.Error("the idle connection was not closed")
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	for _, phase := range []string{"serving", "draining", "finishing", "stopped"} {
		if !strings.Contains(r.logText(), "phase="+phase) {
			t.Errorf("no phase=%s in the log", phase)
		}
	}
}

// Once new connections are no longer accepted, open ones are still served for as long as the
// shortest deadline fits before the exit; later requests are refused at once. Guards against
// clients that have no proxy to use while the proxies are restarted one after another.
func TestDrainServesOpenConnections(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	list := standin.ListJSON(1, true, standin.TargetJSON("s-0", b.Addr()))
	addr := freeAddr(t)
	text := strings.Replace(standin.Config(addr, standin.NewDiscovery(t, list).Addr(), 256, list),
		`"give-up-ms":2000`, `"give-up-ms":400`, 1)
	cmd := exec.Command(program, "serve", "--grace", "20ms", writeConfig(t, text))
	r := startCommand(t, cmd, addr)
	c := r.dial()
	if got := c.roundTrip(postRequest("pay", "x", 2000)); got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	r.signal(syscall.SIGTERM)
	r.eventually("no new connections", func() bool {
		nc, err := net.Dial("tcp", r.addr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	if got := c.roundTrip(getRequest(400)); got.status != 200 || got.close {
		t.Errorf("got %+v", got)
	}
	began := time.Now()
	if !c.closedByProxy() {
		t.Error("the proxy did not close the connection")
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(began); took > maxWait/2 {
		t.Errorf("exited after %v", took)
	}
}

// The platform kills a process 3.7 s after SIGTERM at the latest, however long deadlines are.
// Requests accepted before and after the signal are answered by then. Guards against requests that
// are lost with the process. Of those with an attempt in flight only idempotent ones are refused
// as safe to retry.
func TestDrainAnswersBeforeLongDeadlines(t *testing.T) {
	b := standin.NewBackend(t, (*standin.Call).Hang)
	list := standin.ListJSON(1, true, standin.TargetJSON("s-0", b.Addr()))
	addr := freeAddr(t)
	text := strings.ReplaceAll(standin.Config(addr, standin.NewDiscovery(t, list).Addr(), 256, list),
		`"give-up-ms":2000`, `"give-up-ms":60000`)
	r := startCommand(t, exec.Command(program, "serve", "--grace", "300ms", writeConfig(t, text)), addr)
	idempotent, singleShot, duringDrain := r.dial(), r.dial(), r.dial()
	idempotent.send(getRequest(60000))
	singleShot.send(postRequest("pay", "x", 60000))
	r.eventually("two attempts", func() bool { return b.RequestCount() == 2 })
	r.signal(syscall.SIGTERM)
	r.eventually("draining", func() bool { return strings.Contains(r.logText(), "phase=draining") })
	duringDrain.send(getRequest(60000))
	if got := idempotent.read(); got.status != 503 {
		t.Errorf("idempotent: got %+v", got)
	}
	if got := singleShot.read(); got.status != 502 {
		t.Errorf("must not run twice: got %+v", got)
	}
	if got := duringDrain.read(); got.status != 503 {
		t.Errorf("accepted during the drain: got %+v", got)
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if strings.Contains(r.logText(), "cut_off") {
		t.Error("cut_off in the log")
	}
}

// Clients that keep sending during a drain, on existing and new connections, lose nothing: every
// request sent is answered.
func TestDrainUnderLoad(t *testing.T) {
	b := standin.NewBackend(t, func(c *standin.Call) {
		time.Sleep(5 * time.Millisecond)
		standin.Echo(c)
	})
	list := standin.ListJSON(1, true, standin.TargetJSON("s-0", b.Addr()))
	r := startProgram(t, standin.NewDiscovery(t, list).Addr(), 256, list, "--grace", "3s")
	var callers sync.WaitGroup
	var sent, answered counter
	end := make(chan bool)
	for range 8 {
		callers.Go(func() {
			for {
				nc, err := net.Dial("tcp", r.addr)
				if err != nil {
					t.Errorf("dial: %v", err)
					return
				}
				nc.SetDeadline(time.Now().Add(maxWait))
				in := bufio.NewReader(nc)
				for last := false; !last; {
					select {
					case <-end:
						nc.Close()
						return
					default:
					}
					if _, err := io.WriteString(nc, getRequest(2000)); err != nil {
						t.Errorf("send: %v", err)
						return
					}
					sent.increment()
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Errorf("read response: %v", err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					answered.increment()
					last = resp.Close
				}
				nc.Close()
			}
		})
	}
	r.eventually("some load", func() bool { return b.RequestCount() > 50 })
	r.signal(syscall.SIGTERM)
	r.eventually("draining", func() bool { return strings.Contains(r.logText(), "phase=draining") })
	calls := b.RequestCount()
	r.eventually("load during the drain", func() bool { return b.RequestCount() > calls+50 })
	close(end)
	callers.Wait()
	if s, a := sent.swap(0), answered.swap(0); s != a {
		t.Errorf("%d sent, %d answered", s, a)
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A second signal ends the program at once, with an error if requests are open.
func TestSecondSignal(t *testing.T) {
	b := standin.NewBackend(t, (*standin.Call).Hang)
	r := startWithBackends(t, b)
	r.dial().send(postRequest("pay", "x", 10000))
	r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
	r.signal(syscall.SIGTERM)
	r.eventually("draining", func() bool { return strings.Contains(r.logText(), "phase=draining") })
	// The program may log the phase before it has removed the handler of the first signal. A
	// signal in between has no effect.
	r.eventually("the end", func() bool {
		r.cmd.Process.Signal(syscall.SIGTERM)
		return len(r.exited) > 0
	})
	if err := r.wait(); err == nil {
		t.Error("exit without an error, though a request was open")
	}
}
