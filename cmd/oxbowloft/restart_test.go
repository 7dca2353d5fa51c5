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

// This file tests processes that are killed, replaced or suspended.

// A killed proxy can be restarted at its address, and serves.
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

// When a process replaces another, twice in a row, no request is lost, run twice or refused:
// neither complete ones, nor one sent half before the replacement, nor a long one in flight.
// Backends detached before and during the replacement stay detached in all processes.
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
		time.Sleep(50 * time.Millisecond) // long enough that the old process has read them
		next := p.start()
		if got := old.adminCommand("DETACH s-2"); got != "OK\n" {
			t.Errorf("DETACH at the old process while two run: %q", got)
		}
		next.eventually("the detached backend known to the new process", func() bool { return next.metrics()["out_of_rotation"] >= 2 })
		old.eventually("each process knows of the other", func() bool {
			return strings.Contains(old.logText(), "event=processes count=2") &&
				strings.Contains(next.logText(), "event=processes count=2")
		})
		n := answered.Load()
		old.signal(syscall.SIGTERM)
		half.send(text[20:])
		if got := half.read(); got.status != 200 {
			t.Errorf("request sent in two halves: %+v", got)
		}
		if got := long.read(); got.status != 200 {
			t.Errorf("long request in flight: %+v", got)
		}
		half.Close()
		long.Close()
		if err := old.wait(); err != nil {
			t.Errorf("exit of the old process: %v", err)
		}
		next.eventually("load after the replacement", func() bool { return answered.Load() > n+50 })
		next.eventually("load at the new process", func() bool { return next.metrics()[`fulfilled{priority="pay"}`] > 50 })
		if got := next.adminCommand("ATTACH s-2"); got != "OK\n" {
			t.Errorf("ATTACH: got %q", got)
		}
		old = next
	}
	close(end)
	wait()
	if n := detached.RequestCount(); n != calls {
		t.Errorf("%d requests at a detached backend", n-calls)
	}
	if n := repeated.swap(0); n > 0 {
		t.Errorf("%d requests ran twice", n)
	}
}

// A process that can't take over exits, and the one that serves is not affected; nor is it by a
// successor that is killed.
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
		{"not a number", "three", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"standard output", "1", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"not open", "77", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"not a listener", "3", freeAddr(t), "BALANCER_LISTEN_FD"},
		{"admin address in use", "4", old.adminAddr, "admin"},
	} {
		cmd := exec.Command(program, "serve")
		cmd.ExtraFiles = []*os.File{noListener, f}
		cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.configPath, "BALANCER_LISTEN_FD="+c.fd,
			"BALANCER_ADMIN="+c.adminAddr, "TMPDIR="+p.sharedDir)
		said, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(said), c.want) {
			t.Errorf("%s: %v, %q", c.name, err, said)
		}
		if c.name != "admin address in use" && bytes.Count(said, []byte("\n")) != 1 {
			t.Errorf("%s: want one line, got %q", c.name, said)
		}
	}
	next := p.start()
	old.eventually("the second process counted", func() bool { return strings.Contains(old.logText(), "event=processes count=2") })
	next.cmd.Process.Kill()
	next.waited = true
	<-next.exited
	old.eventually("the killed process no longer counted", func() bool { return strings.Contains(old.logText(), "event=processes count=1") })
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

// A process that gets no processor time for a while still answers every request once: those in
// flight, those that arrived completely while it was suspended, and one of which half had arrived.
// Guards against timers that fire late, and deadlines that have passed when they do.
func TestSuspendedProcess(t *testing.T) {
	b := standin.NewBackend(t, func(c *standin.Call) {
		if c.Method == "GET" {
			standin.Echo(c)
		} else { // every POST times out
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
		c := r.dial() // the kernel completes the connection
		c.send(postRequest("pay", "y", 1000))
		open = append(open, c)
	}
	half.send(text[len(text)/2:])
	time.Sleep(700 * time.Millisecond)
	r.signal(syscall.SIGCONT)
	// All eleven requests are admitted or refused at once, in no particular order, so that the
	// concurrency limit may have room for this one or not.
	if got := half.read(); got.status != 200 && (got.status != 503 || got.header.Get("Retry-After") == "") {
		t.Errorf("the request sent in two halves: got %+v", got)
	}
	for i, c := range open {
		if got := c.read(); got.status != 502 && got.status != 503 {
			t.Errorf("request %d: got %+v", i, got)
		}
	}
	for i, c := range open {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if n, _ := c.r.Read(make([]byte, 1)); n > 0 {
			t.Errorf("request %d: more than one response", i)
		}
	}
}
