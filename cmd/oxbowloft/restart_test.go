package main

import (
	"bytes"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// Processes that are killed, replaced or stopped for a while.

// A killed proxy starts again under its address, and serves.
func TestKillAndRestart(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	list := standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr()))
	d := standin.NewDiscovery(t, list)
	r := startProgram(t, d.Addr(), 256, list)
	c := r.dial()
	if got := c.roundTrip(getRequest(2000)); got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	r.signal(syscall.SIGKILL)
	r.wait()
	again := startCommand(t, exec.Command(program, "serve", writeConfig(t, standin.Config(r.addr, d.Addr(), 256, list))), r.addr)
	if got := again.dial().roundTrip(getRequest(2000)); got.status != 200 {
		t.Errorf("got %+v", got)
	}
}

// Guards against requests that are lost, run twice or turned back while a process
// replaces another, twice in a row: whole ones, half a one and one long in flight. Bans
// made before and between hold in all.
func TestProcessReplacement(t *testing.T) {
	var ran sync.Map
	var repeated counter
	echo := func(c *standin.Call) {
		if _, again := ran.LoadOrStore(c.Header.Get("X-Request-ID"), true); again {
			repeated.increment()
		}
		if c.BodyText == "slow" {
			time.Sleep(time.Second)
		}
		standin.Echo(c)
	}
	detached, b, b2 := standin.NewBackend(t, echo), standin.NewBackend(t, echo), standin.NewBackend(t, echo)
	p := newPlatform(t, 256, discoveryList(detached, b, b2))
	old := p.start()
	if got := old.adminCommand("DETACH s-0"); got != "OK\n" {
		t.Fatalf("got %q", got)
	}
	calls := detached.RequestCount()
	end := make(chan bool)
	answered, wait := startLoad(t, old.addr, 4, end)
	for range 2 {
		half, long := old.dial(), old.dial()
		text := postRequest("pay", "half", 2000)
		half.send(text[:20])
		long.send(postRequest("pay", "slow", 2000))
		time.Sleep(50 * time.Millisecond) // the old process has them
		next := p.start()
		if got := old.adminCommand("DETACH s-2"); got != "OK\n" {
			t.Errorf("at the old one while two run: %q", got)
		}
		next.eventually("the ban is known", func() bool { return next.metrics()["out_of_rotation"] >= 2 })
		old.eventually("each knows of the other", func() bool {
			return strings.Contains(old.logText(), "event=processes count=2") &&
				strings.Contains(next.logText(), "event=processes count=2")
		})
		n := answered.Load()
		old.signal(syscall.SIGTERM)
		half.send(text[20:])
		if got := half.read(); got.status != 200 {
			t.Errorf("half a request: %+v", got)
		}
		if got := long.read(); got.status != 200 {
			t.Errorf("one in flight: %+v", got)
		}
		half.Close()
		long.Close()
		if err := old.wait(); err != nil {
			t.Errorf("the old one: %v", err)
		}
		next.eventually("load after the replacement", func() bool { return answered.Load() > n+50 })
		next.eventually("load at the new one", func() bool { return next.metrics()[`fulfilled{priority="pay"}`] > 50 })
		if got := next.adminCommand("ATTACH s-2"); got != "OK\n" {
			t.Errorf("back: %q", got)
		}
		old = next
	}
	close(end)
	wait()
	if n := detached.RequestCount(); n != calls {
		t.Errorf("%d calls at a backend that is out", n-calls)
	}
	if n := repeated.swap(0); n > 0 {
		t.Errorf("%d requests ran twice", n)
	}
}

// A process that can't take its place ends with one line, and leaves the one that
// serves whole; so does one that is killed.
func TestReplacementFails(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := newPlatform(t, 256, discoveryList(b))
	old := p.start()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	noListener, err := udp.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer noListener.Close()
	f, err := p.ln.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, c := range []struct{ name, fd, adminAddr, want string }{
		{"no number", "three", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"standard output", "1", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"not open", "77", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"no listener", "3", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"the door is taken", "4", old.adminAddr, "admin"},
	} {
		cmd := exec.Command(program, "serve")
		cmd.ExtraFiles = []*os.File{noListener, f}
		cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.configPath, "BALANCER_LISTEN_FD="+c.fd,
			"BALANCER_ADMIN="+c.adminAddr, "TMPDIR="+p.sharedDir)
		said, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(said), c.want) {
			t.Errorf("%s: %v, %q", c.name, err, said)
		}
		if c.name != "the door is taken" && bytes.Count(said, []byte("\n")) != 1 {
			t.Errorf("%s: not one line: %q", c.name, said)
		}
	}
	next := p.start()
	old.eventually("not alone", func() bool { return strings.Contains(old.logText(), "event=processes count=2") })
	next.cmd.Process.Kill()
	next.waited = true
	<-next.exited
	old.eventually("alone again", func() bool { return strings.Contains(old.logText(), "event=processes count=1") })
	for _, name := range []string{"127.0.0.1", "oxbowloft-spoilt.bans"} {
		os.WriteFile(filepath.Join(p.sharedDir, name), []byte("\x00"), 0o600)
	}
	c := old.dial()
	for range 20 {
		if got := c.roundTrip(getRequest(2000)); got.status != 200 {
			t.Errorf("got %+v", got)
		}
	}
	if got := old.adminCommand("PING"); got != "OK\n" {
		t.Errorf("got %q", got)
	}
}

// A process that gets no processor time for a while answers all that it has taken all the
// same, once each: what was in flight, what came whole while it stood still, and what came
// half. Guards against timers that run late and deadlines that are past when they do.
func TestSuspendedProcess(t *testing.T) {
	b := standin.NewBackend(t, func(c *standin.Call) {
		if c.Method == "GET" {
			standin.Echo(c)
		} else { // each of the posts times out
			c.Hang()
		}
	})
	r := startWithBackends(t, b)
	var open []*clientConn
	for range 5 {
		c := r.dial()
		c.send(postRequest("pay", "x", 1000))
		open = append(open, c)
	}
	r.eventually("in flight", func() bool { return b.RequestCount() == 5 })
	half := r.dial()
	text := getRequest(2000)
	half.send(text[:len(text)/2])
	r.signal(syscall.SIGSTOP)
	for range 5 {
		c := r.dial() // the kernel accepts
		c.send(postRequest("pay", "y", 1000))
		open = append(open, c)
	}
	half.send(text[len(text)/2:])
	time.Sleep(700 * time.Millisecond)
	r.signal(syscall.SIGCONT)
	// All eleven are judged in one go, in no order: the limit may have room for it or not.
	if got := half.read(); got.status != 200 && (got.status != 503 || got.header.Get("Retry-After") == "") {
		t.Errorf("the one that came half: got %+v", got)
	}
	for i, c := range open {
		if got := c.read(); got.status != 502 && got.status != 503 {
			t.Errorf("request %d: got %+v", i, got)
		}
	}
	for i, c := range open {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if n, _ := c.r.Read(make([]byte, 1)); n > 0 {
			t.Errorf("request %d: more than one answer", i)
		}
	}
}
