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

// The end on SIGTERM: what is still served, and what each open request is told.

// Within the grace after SIGTERM all is served, on old connections and new ones; then what
// is in flight is finished, and the program exits without an error.
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
	// It still takes what comes, by old connections and new ones.
	for range 2 {
		if got := idle.roundTrip(getRequest(2000)); got.status != 200 || got.close {
			t.Errorf("on an old connection: got %+v", got)
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
		t.Error("an idle connection goes on")
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	for _, phase := range []string{"serving", "draining", "finishing", "stopped"} {
		if !strings.Contains(r.logText(), "phase="+phase) {
			t.Errorf("no phase %s in the log", phase)
		}
	}
}

// Once no new connection is taken, those that are open are served on for as long as
// the shortest deadline fits before the end: guards against callers with nobody to
// ask while proxies start again one after the other. What does not fit any more is
// refused at once.
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
		t.Error("the connection goes on")
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(began); took > maxWait/2 {
		t.Errorf("ended after %v", took)
	}
}

// The platform ends a process 3.7 s after SIGTERM at the latest, however long deadlines
// are: what was taken before the signal, and what came after it, has its answer by then.
// Guards against requests that are lost with the process. Of those whose attempts are out
// only what may run again is told that trying again is harmless.
func TestDrainAnswersBeforeLongDeadlines(t *testing.T) {
	b := standin.NewBackend(t, (*standin.Call).Hang)
	list := standin.ListJSON(1, true, standin.TargetJSON("s-0", b.Addr()))
	addr := freeAddr(t)
	text := strings.ReplaceAll(standin.Config(addr, standin.NewDiscovery(t, list).Addr(), 256, list),
		`"give-up-ms":2000`, `"give-up-ms":60000`)
	r := startCommand(t, exec.Command(program, "serve", "--grace", "300ms", writeConfig(t, text)), addr)
	safe, unsafe, late := r.dial(), r.dial(), r.dial()
	safe.send(getRequest(60000))
	unsafe.send(postRequest("pay", "x", 60000))
	r.eventually("two attempts", func() bool { return b.RequestCount() == 2 })
	r.signal(syscall.SIGTERM)
	r.eventually("draining", func() bool { return strings.Contains(r.logText(), "phase=draining") })
	late.send(getRequest(60000))
	if got := safe.read(); got.status != 503 {
		t.Errorf("safe: got %+v", got)
	}
	if got := unsafe.read(); got.status != 502 {
		t.Errorf("unsafe: got %+v", got)
	}
	if got := late.read(); got.status != 503 {
		t.Errorf("taken in the drain: got %+v", got)
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if strings.Contains(r.logText(), "cut_off") {
		t.Error("cut off")
	}
}

// Callers that go on asking through a drain, on the connections they have and on
// new ones, lose nothing: every request sent is answered.
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
						t.Errorf("answer: %v", err)
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
	r.eventually("load while it drains", func() bool { return b.RequestCount() > calls+50 })
	close(end)
	callers.Wait()
	if s, a := sent.swap(0), answered.swap(0); s != a {
		t.Errorf("%d sent, %d answered", s, a)
	}
	if err := r.wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A second signal ends the program at once, with an error while requests are open.
func TestSecondSignal(t *testing.T) {
	b := standin.NewBackend(t, (*standin.Call).Hang)
	r := startWithBackends(t, b)
	r.dial().send(postRequest("pay", "x", 10000))
	r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
	r.signal(syscall.SIGTERM)
	r.eventually("draining", func() bool { return strings.Contains(r.logText(), "phase=draining") })
	// The log may come before the handler of the first signal is gone: a signal in between
	// is one more of the first kind.
	r.eventually("the end", func() bool {
		r.cmd.Process.Signal(syscall.SIGTERM)
		return len(r.exited) > 0
	})
	if err := r.wait(); err == nil {
		t.Error("ended as if all were answered")
	}
}
