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

// heldDials holds each dial to a backend until it is released or canceled.
type heldDials struct {
	started  chan string   // addresses of dials as they start
	canceled chan error    // errors of dials as they are canceled
	release  chan struct{} // closed: all dials proceed
}

func holdDials(p *Proxy) *heldDials {
	d := &heldDials{started: make(chan string, 100), canceled: make(chan error, 100), release: make(chan struct{})}
	p.driver.upstreamOptions.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		d.started <- addr
		select {
		case <-d.release:
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		case <-ctx.Done():
			d.canceled <- ctx.Err()
			return nil, ctx.Err()
		}
	}
	return d
}

func receive[T any](t *testing.T, what string, ch chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(20 * time.Second):
		t.Fatalf("timed out after 20 s: %s", what)
	}
	return v
}

func (p *Proxy) applyList(t *testing.T, list string) {
	t.Helper()
	l, err := discovery.ParseList([]byte(list))
	if err != nil {
		t.Fatal(err)
	}
	p.driver.updateList(l)
}

// The decision to send is checked again once a slow dial has connected. Prevents requests
// from going to backends that were announced as terminating, detached or moved while the
// connection was opened.
func TestSlowDial(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(t *testing.T, p *Proxy, old, other string)
		served bool // by the other backend
	}{
		{"drained", func(t *testing.T, p *Proxy, old, _ string) {
			p.applyList(t, standin.ListJSON(2, false, standin.TargetJSONInState("terminating", "s-1", old)))
		}, false},
		{"gone", func(t *testing.T, p *Proxy, _, _ string) {
			p.applyList(t, standin.ListJSON(2, false, standin.TargetJSONInState("terminated", "s-1", "")))
		}, false},
		{"missing from a complete list with another backend", func(t *testing.T, p *Proxy, _, other string) {
			p.applyList(t, standin.ListJSON(2, true, standin.TargetJSON("s-2", other)))
		}, true},
		{"moved", func(t *testing.T, p *Proxy, _, other string) {
			p.applyList(t, standin.ListJSON(2, false, standin.TargetJSON("s-1", other)))
		}, true},
		{"restarted", func(t *testing.T, p *Proxy, old, other string) {
			again := strings.Replace(standin.TargetJSON("s-1", old), `"boot_ms":0`, fmt.Sprintf(`"boot_ms":%d`, time.Now().UnixMilli()), 1)
			p.applyList(t, standin.ListJSON(2, false, again, standin.TargetJSON("s-2", other)))
		}, true},
		{"detached", func(t *testing.T, p *Proxy, _, _ string) { p.mustSetDetached(t, "s-1", true) }, false},
		{"the list is stale", func(t *testing.T, p *Proxy, _, _ string) {
			p.driver.setListFreshness(discovery.Freshness{Until: time.Now()})
		}, false},
	} {
		for _, class := range []string{"get", "pay"} {
			t.Run(c.name+" "+class, func(t *testing.T) {
				old, other := standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo)
				p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", old.Addr())), "127.0.0.1:1")
				p.cfg.Grace = time.Millisecond // keeps the drain short
				d := holdDials(p)
				defer startProxy(t, p)()
				cl := dialProxy(t, p)
				defer cl.Close()
				io.WriteString(cl, requestText(class, 2000))
				if addr := receive(t, "the dial", d.started); addr != old.Addr() {
					t.Fatalf("dialed %s first", addr)
				}
				c.do(t, p, old.Addr(), other.Addr())
				close(d.release)
				resp, body := mustReadResponse(t, cl)
				switch {
				case c.served && (resp.StatusCode != http.StatusOK || other.RequestCount() != 1):
					t.Errorf("got %d %q, and the other backend got %d requests", resp.StatusCode, body, other.RequestCount())
				case !c.served && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == ""):
					t.Errorf("got %d %v, want 503 with Retry-After", resp.StatusCode, resp.Header)
				}
				if n := old.RequestCount(); n > 0 {
					t.Errorf("the backend got %d requests after that", n)
				}
			})
		}
	}
}

// If its client leaves before an attempt has begun, in whatever way, the attempt never
// starts and its dial is canceled at once. An attempt that has begun runs on.
func TestClientGoneInDial(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*net.TCPConn)
	}{
		{"closes", func(c *net.TCPConn) { c.Close() }},
		{"resets", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{"closes its own side", func(c *net.TCPConn) { c.CloseWrite() }},
		{"sends more", func(c *net.TCPConn) { io.WriteString(c, "more") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := standin.NewBackend(t, standin.Echo)
			p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
			p.cfg.Grace = time.Millisecond // keeps the drain short
			d := holdDials(p)
			defer startProxy(t, p)()
			cl := dialProxy(t, p)
			defer cl.Close()
			io.WriteString(cl, requestText("get", 2000))
			receive(t, "the dial", d.started)
			c.leave(cl.(*net.TCPConn))
			receive(t, "the canceled dial", d.canceled)
			eventually(t, "the end of the request", func() bool {
				p.driver.mu.Lock()
				defer p.driver.mu.Unlock()
				return len(p.driver.requests) == 0
			})
			close(d.release)
			if opened, _ := b.ConnCounts(); opened > 0 || b.RequestCount() > 0 {
				t.Errorf("%d connections and %d requests after the client left", opened, b.RequestCount())
			}
		})
	}
}

// A request whose client left before it was read, as in a full backlog, is not sent to a
// backend. A client that only closed its own side gets a response.
func TestClientGoneBefore(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	closed, halfClosed := dialProxy(t, p), dialProxy(t, p)
	for _, c := range []net.Conn{closed, halfClosed} { // not accepted yet
		io.WriteString(c, requestText("get", 2000))
		c.(*net.TCPConn).CloseWrite()
	}
	closed.Close()
	defer startProxy(t, p)()
	if resp, _ := mustReadResponse(t, halfClosed); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d", resp.StatusCode)
	}
	eventually(t, "the end of both requests", func() bool { return p.stats.clientsGone.Load() == 2 })
	if n := b.RequestCount(); n > 0 {
		t.Errorf("%d requests of clients that had left", n)
	}
}

// The close of a client that has sent a long body is hidden behind the unread part of the
// body. It is noticed all the same before the first byte goes to a backend.
func TestClientGoneBehindUnreadBody(t *testing.T) {
	const size = http1.MaxBufferedBodyBytes + 1 // more than is read at once, less than the socket buffers hold
	b := standin.NewBackend(t, standin.Echo)
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	d := holdDials(p)
	defer startProxy(t, p)()
	cl := dialProxy(t, p)
	head := strings.Replace(requestText("pay", 2000), "GET", "POST", 1)
	io.WriteString(cl, strings.TrimSuffix(head, "\r\n")+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+strings.Repeat("x", size))
	receive(t, "the dial", d.started)
	cl.Close()
	close(d.release)
	eventually(t, "the end of the request", func() bool { return p.stats.clientsGone.Load() == 1 })
	if n := b.RequestCount(); n > 0 {
		t.Errorf("%d requests after the client left", n)
	}
}

// writeHookConn is a connection that calls a function before each write.
type writeHookConn struct {
	net.Conn
	beforeWrite func()
}

func (c writeHookConn) Write(b []byte) (int, error) {
	c.beforeWrite()
	return c.Conn.Write(b)
}

// A client that has read a response may reuse its request id at once, and gets no 409 for
// it.
func TestRequestIDReusableAfterResponse(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	defer startProxy(t, p)()
	for _, detached := range []bool{false, true} {
		p.mustSetDetached(t, "s-1", detached)
		near, far := net.Pipe()
		c := &clientConn{waitStart: time.Now(), conn: http1.NewConn(writeHookConn{far, func() {
			p.driver.mu.Lock()
			defer p.driver.mu.Unlock()
			if len(p.driver.openIDs)+len(p.driver.requests) > 0 {
				t.Error("the id is still in use while its response is written")
			}
		}})}
		go io.WriteString(near, requestText("get", 2000))
		done := make(chan bool)
		go func() { defer close(done); p.exchange(c) }()
		resp, _ := mustReadResponse(t, near)
		if ok := resp.StatusCode == http.StatusOK; ok == detached {
			t.Errorf("got %d", resp.StatusCode)
		}
		<-done
		near.Close()
		far.Close()
	}
}
