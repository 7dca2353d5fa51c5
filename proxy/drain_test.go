package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/standin"
	"oxbowloft/logic"
)

// ended waits for the end of Run.
func ended(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("still runs")
	}
}

// A drain that finds no descriptor left, and requests that outlast it, ends in time: what
// is in flight is answered at its end, and what waits in the kernel gets the descriptors
// that this frees, and its answer. Guards against a drain that waits for a descriptor for
// as long as deadlines are.
func TestDrainWithNoDescriptorLeft(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("drain", func(t *testing.T) {
		b := standin.NewBackend(t, (*standin.Call).Hang)
		p := listening(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
		p.cfg.Grace, p.longestDeadline, p.shortestDeadline = time.Millisecond, time.Minute, 300*time.Millisecond
		p.finalWriteTime = 20 * time.Second // the verdict is not the machine's
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		eventually(t, "ready", p.Ready)
		send := func(id int, class string) net.Conn {
			c := dial(t, p)
			io.WriteString(c, strings.Replace(text(class, 60_000), "ID: 1", fmt.Sprint("ID: ", id), 1))
			return c
		}
		asked := []net.Conn{send(1, "get"), send(2, "pay")}
		eventually(t, "two attempts", func() bool { return b.Calls() == 2 })
		p.descriptors.mu.Lock()
		p.descriptors.limit = 4 // both, and their backend's two
		p.descriptors.mu.Unlock()
		if _, err := io.ReadAll(dial(t, p)); err != nil { // the last that is accepted makes room
			t.Error(err)
		}
		eventually(t, "none is left", func() bool {
			used, _ := p.descriptors.inUse()
			return used == 4 && p.clients.count() == 2
		})
		asked = append(asked, send(3, "get"), send(4, "pay"))
		cancel()
		for i, c := range asked {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
			} else if !resp.Close || resp.StatusCode != 503 && resp.StatusCode != 502 {
				t.Errorf("request %d: %+v", i, resp)
			}
			c.Close()
		}
		ended(t, done)
		if used, _ := p.descriptors.inUse(); used != 0 {
			t.Errorf("%d descriptors are kept", used)
		}
	})
}

// A proxy that is told to end before it listens does not begin.
func TestEndBeforeStart(t *testing.T) {
	p := listening(t, standin.List(1, true), "127.0.0.1:1")
	p.listener.Close()
	p.shared.close()
	p.listener = nil
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := p.Run(ctx); err != nil || p.Phase() != Stopped || p.listener != nil {
		t.Errorf("%v in phase %v", err, p.Phase())
	}
}

// A connection that was caught in the kernel and comes when all others have gone ends as
// the others did.
func TestAcceptedBehindTheLast(t *testing.T) {
	s := newClientConns()
	s.add()
	empty := s.shutdown()
	s.remove()
	<-empty
	s.add()
	s.remove() // would end the program
}

// A listener's wait for a descriptor ends when it is told to, also where it has begun.
func TestWaitForDescriptorEnds(t *testing.T) {
	s := newDescriptorBudget(reservedDescriptors + 2) // one is the backends'
	s.reclaim = func(int) {}
	if !s.acquireForClient() {
		t.Fatal("none of one")
	}
	got := make(chan bool)
	go func() { got <- s.acquireForClient() }()
	s.setWaitDeadline(time.Now())
	if <-got {
		t.Error("got one over the budget")
	}
	s.releaseForClient()
	if !s.acquireForClient() {
		t.Error("none where one was given back")
	}
}

// A request that waits for its backoff when the process ends gets its answer at once, and no
// attempt follows.
func TestEndInBackoff(t *testing.T) {
	list := standin.List(1, true, standin.Target("s-1", "127.0.0.1:1"), standin.Target("s-2", "127.0.0.1:2"))
	p := listening(t, list, "127.0.0.1:1")
	defer p.listener.Close()
	r := p.driver.arrive("1", 0, time.Hour, false, false)
	p.driver.done(r, <-r.steps, logic.NoConnect, false, false)
	if r.backoffTimer == nil || len(r.steps) > 0 {
		t.Fatal("no backoff")
	}
	p.driver.endAll()
	if s := within(t, "an answer", r.steps); s.kind != stepRefuse || s.retryAfter <= 0 {
		t.Errorf("got %+v, want to be told to come back", s)
	}
	r.backoffTimer.Reset(0) // its end comes all the same, and nothing of it
	eventually(t, "the backoff is over", func() bool { return !r.backoffTimer.Stop() })
	p.driver.forget(r)
	if len(r.steps) > 0 {
		t.Errorf("then %+v", <-r.steps)
	}
}

// A request whose body is still coming when the process is told to end is served, if it comes
// in time, both one that is read whole and one that passes through.
func TestDrainInBody(t *testing.T) {
	for _, size := range []int{1000, 2 * http1.MaxBody} {
		b := standin.NewBackend(t, func(c *standin.Call) { c.Reply(200, fmt.Sprint(len(c.Text))) })
		p := listening(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
		p.cfg.Grace, p.longestDeadline, p.finalWriteTime = time.Millisecond, time.Minute, 20*time.Second // ample on any machine
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		eventually(t, "ready", p.Ready)
		c := dial(t, p)
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: 1\r\nX-Priority-Class: pay\r\n"+
			"X-Timeout-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
		eventually(t, "it has begun to come", func() bool {
			p.clients.mu.Lock()
			defer p.clients.mu.Unlock()
			e := p.clients.awaitingFirst.Front()
			return p.clients.openCount == 1 && (p.clients.awaitingFirst.Len() == 0 || e.Value.(*clientConn).receiving)
		})
		cancel()
		eventually(t, "a drain", func() bool { return p.Phase() == Draining })
		io.WriteString(c, strings.Repeat("x", size-size/2))
		resp, body := read(t, c)
		if resp.StatusCode != 200 || body != fmt.Sprint(size) {
			t.Errorf("%d bytes: got %d %q", size, resp.StatusCode, body)
		}
		c.Close()
		ended(t, done)
	}
}
