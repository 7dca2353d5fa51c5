package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/http1"
	"oxbowloft/internal/standin"
)

// dials holds each dial to a backend until it is let through or given up.
type dials struct {
	begun chan string   // addresses, as dials begin
	ended chan error    // as they are given up
	go_   chan struct{} // closed: all go through
}

func hold(p *Proxy) *dials {
	d := &dials{begun: make(chan string, 100), ended: make(chan error, 100), go_: make(chan struct{})}
	p.driver.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		d.begun <- addr
		select {
		case <-d.go_:
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		case <-ctx.Done():
			d.ended <- ctx.Err()
			return nil, ctx.Err()
		}
	}
	return d
}

func within[T any](t *testing.T, what string, ch chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(20 * time.Second):
		t.Fatalf("not in 20 s: %s", what)
	}
	return v
}

func (p *Proxy) change(t *testing.T, list string) {
	t.Helper()
	l, err := discovery.Parse([]byte(list))
	if err != nil {
		t.Fatal(err)
	}
	p.driver.updateList(l)
}

// What was decided before a slow dial is looked at again when the connection stands.
// Guards against requests that went to backends which had been announced as leaving, had
// been detached or had moved while connections to them came up.
func TestSlowDial(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(t *testing.T, p *Proxy, old, other string)
		served bool // by the other backend
	}{
		{"drained", func(t *testing.T, p *Proxy, old, _ string) {
			p.change(t, standin.List(2, false, standin.TargetIn("terminating", "s-1", old)))
		}, false},
		{"gone", func(t *testing.T, p *Proxy, _, _ string) {
			p.change(t, standin.List(2, false, standin.TargetIn("terminated", "s-1", "")))
		}, false},
		{"not in a whole list, another is", func(t *testing.T, p *Proxy, _, other string) {
			p.change(t, standin.List(2, true, standin.Target("s-2", other)))
		}, true},
		{"moved", func(t *testing.T, p *Proxy, _, other string) {
			p.change(t, standin.List(2, false, standin.Target("s-1", other)))
		}, true},
		{"started again", func(t *testing.T, p *Proxy, old, other string) {
			again := strings.Replace(standin.Target("s-1", old), `"boot_ms":0`, fmt.Sprintf(`"boot_ms":%d`, time.Now().UnixMilli()), 1)
			p.change(t, standin.List(2, false, again, standin.Target("s-2", other)))
		}, true},
		{"detached", func(t *testing.T, p *Proxy, _, _ string) { p.driver.setDetached("s-1", true) }, false},
		{"the list is stale", func(t *testing.T, p *Proxy, _, _ string) { p.driver.listFresh(discovery.Fresh{Until: time.Now()}) }, false},
	} {
		for _, class := range []string{"get", "pay"} {
			t.Run(c.name+" "+class, func(t *testing.T) {
				old, other := standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo)
				p := listening(t, standin.List(1, true, standin.Target("s-1", old.Addr())), "127.0.0.1:1")
				p.cfg.Grace = time.Millisecond // so that the end takes no time
				d := hold(p)
				defer running(t, p)()
				cl := dial(t, p)
				defer cl.Close()
				io.WriteString(cl, text(class, 2000))
				if addr := within(t, "the dial", d.begun); addr != old.Addr() {
					t.Fatalf("dials %s first", addr)
				}
				c.do(t, p, old.Addr(), other.Addr())
				close(d.go_)
				resp, body := read(t, cl)
				switch {
				case c.served && (resp.StatusCode != http.StatusOK || other.Calls() != 1):
					t.Errorf("got %d %q, and the other backend %d calls", resp.StatusCode, body, other.Calls())
				case !c.served && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == ""):
					t.Errorf("got %d %v, want to be told to come back", resp.StatusCode, resp.Header)
				}
				if n := old.Calls(); n > 0 {
					t.Errorf("the backend got %d calls after that", n)
				}
			})
		}
	}
}

// An attempt that has not begun when its client leaves never does, in whatever way the
// client goes, and its dial is given up at once. What has begun runs on.
func TestClientGoneInDial(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*net.TCPConn)
	}{
		{"closes", func(c *net.TCPConn) { c.Close() }},
		{"resets", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{"ends its own side", func(c *net.TCPConn) { c.CloseWrite() }},
		{"sends on", func(c *net.TCPConn) { io.WriteString(c, "more") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := standin.NewBackend(t, standin.Echo)
			p := listening(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
			p.cfg.Grace = time.Millisecond // so that the end takes no time
			d := hold(p)
			defer running(t, p)()
			cl := dial(t, p)
			defer cl.Close()
			io.WriteString(cl, text("get", 2000))
			within(t, "the dial", d.begun)
			c.leave(cl.(*net.TCPConn))
			within(t, "the dial given up", d.ended)
			eventually(t, "the request forgotten", func() bool {
				p.driver.mu.Lock()
				defer p.driver.mu.Unlock()
				return len(p.driver.requests) == 0
			})
			close(d.go_)
			if opened, _ := b.Conns(); opened > 0 || b.Calls() > 0 {
				t.Errorf("%d connections and %d calls after the client left", opened, b.Calls())
			}
		})
	}
}

// A request whose client left while it waited to be read, as in a full backlog, is not sent
// on. Who has only ended its own side is told.
func TestClientGoneBefore(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := listening(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	closed, half := dial(t, p), dial(t, p)
	for _, c := range []net.Conn{closed, half} { // nobody accepts them yet
		io.WriteString(c, text("get", 2000))
		c.(*net.TCPConn).CloseWrite()
	}
	closed.Close()
	defer running(t, p)()
	if resp, _ := read(t, half); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d", resp.StatusCode)
	}
	eventually(t, "both have ended", func() bool { return p.stats.clientsGone.Load() == 2 })
	if n := b.Calls(); n > 0 {
		t.Errorf("%d calls for clients that had left", n)
	}
}

// The end of a client that has sent a long body is hidden behind what is unread of it, and
// is seen all the same before the first byte goes to a backend.
func TestClientGoneBehindABody(t *testing.T) {
	const size = http1.MaxBody + 1 // more than is read whole, less than the kernel keeps for us
	b := standin.NewBackend(t, standin.Echo)
	p := listening(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	d := hold(p)
	defer running(t, p)()
	cl := dial(t, p)
	head := strings.Replace(text("pay", 2000), "GET", "POST", 1)
	io.WriteString(cl, strings.TrimSuffix(head, "\r\n")+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+strings.Repeat("x", size))
	within(t, "the dial", d.begun)
	cl.Close()
	close(d.go_)
	eventually(t, "the request has ended", func() bool { return p.stats.clientsGone.Load() == 1 })
	if n := b.Calls(); n > 0 {
		t.Errorf("%d calls after the client left", n)
	}
}

// onWrite is a connection that calls a function before each write.
type onWrite struct {
	net.Conn
	before func()
}

func (c onWrite) Write(b []byte) (int, error) {
	c.before()
	return c.Conn.Write(b)
}

// Whoever has read an answer may use its id again at once: guards against a 409 for it.
func TestIDIsFreeWithTheAnswer(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := listening(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	defer running(t, p)()
	for _, detached := range []bool{false, true} {
		p.driver.setDetached("s-1", detached)
		near, far := net.Pipe()
		c := &clientConn{waitStart: time.Now(), conn: http1.NewConn(onWrite{far, func() {
			p.driver.mu.Lock()
			defer p.driver.mu.Unlock()
			if len(p.driver.openIDs)+len(p.driver.requests) > 0 {
				t.Error("the id is still taken as its answer is written")
			}
		}})}
		go io.WriteString(near, text("get", 2000))
		done := make(chan bool)
		go func() { defer close(done); p.exchange(c) }()
		resp, _ := read(t, near)
		if ok := resp.StatusCode == http.StatusOK; ok == detached {
			t.Errorf("got %d", resp.StatusCode)
		}
		<-done
		near.Close()
		far.Close()
	}
}
