package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/standin"
)

// hookedConn is the proxy's side of a client connection. When the proxy first closes its
// write side or the connection, it calls beforeClose, whose data has then arrived.
type hookedConn struct {
	*net.TCPConn
	once        sync.Once
	beforeClose func()
	writeClosed bool // the proxy closed its write side

	readDeadline atomic.Value // time.Time: deadline of the next read
}

func (c *hookedConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(t)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *hookedConn) CloseWrite() error {
	c.writeClosed = true
	c.once.Do(c.beforeClose)
	return c.TCPConn.CloseWrite()
}

func (c *hookedConn) Close() error {
	c.once.Do(c.beforeClose)
	return c.TCPConn.Close()
}

// waitReadable waits until data can be read from a connection, without reading it.
func waitReadable(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	eventually(t, "late bytes", func() (here bool) {
		raw.Control(func(fd uintptr) {
			n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			here = n > 0
		})
		return here
	})
}

// serveHooked lets the proxy serve one connection, on which late is sent when the proxy
// closes it or its write side. done is closed once the proxy is done with it.
func serveHooked(t *testing.T, p *Proxy, late string) (c *net.TCPConn, conn *hookedConn, done chan bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(20 * time.Second))
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn = &hookedConn{TCPConn: accepted.(*net.TCPConn)}
	conn.beforeClose = func() {
		if late != "" {
			io.WriteString(client, late)
			waitReadable(t, conn.TCPConn)
		}
	}
	done = make(chan bool)
	p.descriptors.acquireForClient()
	p.clients.add()
	go func() {
		defer close(done)
		p.serve(&clientConn{conn: http1.NewConn(conn), waitStart: time.Now()})
	}()
	return client.(*net.TCPConn), conn, done
}

// Closing a connection with unread bytes resets it and discards what the client has not
// read of the last response. Whatever ends a connection, and whatever arrives at that
// moment, the client gets all that was written and then the end of the connection. What
// arrived is not served.
func TestLingeringClose(t *testing.T) {
	request := requestText("get", 2000)
	http10 := strings.Replace(request, "HTTP/1.1", "HTTP/1.0", 1)
	closing := strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	half := "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhel"
	chunk := "POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
	none := func(*Proxy) {}
	shortTimeouts := func(p *Proxy) {
		p.clients.idleTimeout, p.clients.firstRequestTimeout, p.clients.headTimeout = time.Millisecond, time.Millisecond, time.Millisecond
	}
	shutdown := func(p *Proxy) { p.clients.shutdown() }
	for _, c := range []struct {
		name, sent, late string
		before, after    func(*Proxy) // run before and after the first response
		want             []string     // beginnings of the responses
	}{
		{"no request yet", "", request, shortTimeouts, none, nil},
		{"idle timeout", request, request, shortTimeouts, none, []string{"HTTP/1.1 200 "}},
		{"evicted", request, request, none, func(p *Proxy) { p.clients.evictOldest(1) }, []string{"HTTP/1.1 200 "}},
		{"end of a drain", request, request, none, shutdown, []string{"HTTP/1.1 200 "}},
		{"last response of a drain", request, request, func(p *Proxy) { p.enterPhase(Finishing) }, none, []string{"HTTP/1.1 200 "}},
		{"Connection: close", closing, request, none, none, []string{"HTTP/1.1 200 "}},
		{"HTTP/1.0", http10, request, none, none, []string{"HTTP/1.1 200 "}},
		{"empty line", closing, "\r\n", none, none, []string{"HTTP/1.1 200 "}},
		{"malformed", "noise\r\n", request, none, none, []string{"HTTP/1.1 400 "}},
		{"inside a body", chunk, "5\r\nhello\r\n", none, none, []string{"HTTP/1.1 400 "}},
		{"half a request", half, "lo", shortTimeouts, none, []string{"HTTP/1.1 408 "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := standin.NewBackend(t, standin.Echo)
			list := standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr()))
			p := listenProxy(t, list, "127.0.0.1:1")
			defer p.listener.Close()
			c.before(p)
			nc, _, ended := serveHooked(t, p, c.late)
			io.WriteString(nc, c.sent)
			calls := 0
			if strings.HasPrefix(c.sent, "GET") {
				calls = 1
				eventually(t, "answered", func() bool { return p.stats.requestsEnded(fulfilled) == 1 })
				eventually(t, "idle again, or closed", func() bool {
					p.clients.mu.Lock()
					defer p.clients.mu.Unlock()
					return p.clients.idle.Len()+p.clients.lingering.Len() > 0 || p.clients.openCount == 0
				})
			}
			c.after(p)
			got, err := io.ReadAll(nc)
			if err != nil {
				t.Errorf("the connection ended with %v", err)
			}
			for _, want := range c.want {
				if !bytes.HasPrefix(got, []byte(want)) {
					t.Errorf("got %q, want %q", got, want)
				}
			}
			if n := bytes.Count(got, []byte("HTTP/1.1 ")); n != len(c.want) {
				t.Errorf("%d responses, want %d: %q", n, len(c.want), got)
			}
			nc.Close()
			<-ended
			if n := b.RequestCount(); n != calls {
				t.Errorf("%d requests at the backend, want %d", n, calls)
			}
			for _, b := range p.driver.allBackends() {
				b.Close()
			}
		})
	}
}

// A response longer than its reader's buffer is still in transfer when its connection is
// closed. All of it arrives, whatever the reader has sent meanwhile.
func TestLingeringCloseAfterLongResponse(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	b := standin.NewBackend(t, func(c *standin.Call) { c.Reply(200, body) })
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	defer p.listener.Close()
	p.clients.lingerTimeout = time.Hour
	nc, _, ended := serveHooked(t, p, "\r\n")
	nc.SetReadBuffer(4 << 10)
	io.WriteString(nc, strings.Replace(requestText("get", 2000), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	eventually(t, "lingering", func() bool {
		p.clients.mu.Lock()
		defer p.clients.mu.Unlock()
		return p.clients.lingering.Len() > 0 || p.clients.openCount == 0
	})
	if _, got := mustReadResponse(t, nc); got != body {
		t.Errorf("got %d bytes of %d", len(got), len(body))
	}
	nc.Close()
	<-ended
	for _, b := range p.driver.allBackends() {
		b.Close()
	}
}

// A truncated response ends in a reset without lingering: to an HTTP/1.0 client a clean
// close would mean a complete response.
func TestTruncatedResponseIsReset(t *testing.T) {
	b := standin.NewBackend(t, func(c *standin.Call) {
		c.WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n")
		c.Reset()
	})
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	defer p.listener.Close()
	nc, conn, ended := serveHooked(t, p, "")
	io.WriteString(nc, strings.Replace(requestText("get", 2000), "HTTP/1.1", "HTTP/1.0", 1))
	if got, err := io.ReadAll(nc); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes, then %v, want a reset", len(got), err)
	}
	<-ended
	if conn.writeClosed {
		t.Error("the write side was closed cleanly")
	}
	for _, b := range p.driver.allBackends() {
		b.Close()
	}
}

// No request is served after a response that announces the end of its connection, even if
// descriptors are available again by its end.
func TestConnectionCloseIsFinal(t *testing.T) {
	first, rest := make(chan bool), make(chan bool)
	b := standin.NewBackend(t, func(c *standin.Call) {
		<-first
		c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100_000))
		<-rest
		c.WriteRaw(strings.Repeat("x", 100_000))
	})
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	defer p.listener.Close()
	nc, _, ended := serveHooked(t, p, requestText("get", 2000))
	addUsed := func(by int) {
		p.descriptors.mu.Lock()
		p.descriptors.used += by
		p.descriptors.mu.Unlock()
	}
	oneAttempt := func() bool { return b.RequestCount() == 1 }
	io.WriteString(nc, requestText("get", 2000))
	eventually(t, "the attempt", oneAttempt)
	addUsed(1000)
	close(first)
	head := make([]byte, 64<<10)
	if _, err := io.ReadFull(nc, head); err != nil || !bytes.Contains(head, []byte("Connection: close\r\n")) {
		t.Errorf("%v, %.100q", err, head)
	}
	addUsed(-1000)
	close(rest)
	if _, err := io.ReadAll(nc); err != nil { // up to the end, without a second response
		t.Error(err)
	}
	nc.Close()
	<-ended
	if !oneAttempt() {
		t.Error("another request was served")
	}
	for _, b := range p.driver.allBackends() {
		b.Close()
	}
}

// Connections of clients that never close their side, or that never stop sending, are
// closed all the same.
func TestLingeringIsBounded(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, c := range []struct {
		name  string
		limit time.Duration // lingering timeout
		flood bool
	}{
		{"silent", lingerTimeout, false},
		{"flood", time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := listenProxy(t, standin.ListJSON(1, true), "127.0.0.1:1")
			defer p.listener.Close()
			p.clients.lingerTimeout = c.limit
			nc, _, ended := serveHooked(t, p, "")
			io.WriteString(nc, "noise\r\n")
			over := make(chan bool)
			go func() {
				defer close(over)
				for more := make([]byte, 16<<10); c.flood; {
					if _, err := nc.Write(more); err != nil {
						return
					}
				}
			}()
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				t.Fatal("still lingering")
			}
			<-over
			if n := p.clients.count(); n != 0 {
				t.Errorf("%d clients are still open", n)
			}
		})
	}
}

// Lingering connections are closed when descriptors are short, so that clients that do
// not close keep no others out.
func TestLingeringEndsWhenDescriptorsAreShort(t *testing.T) {
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", "127.0.0.1:1")), "127.0.0.1:1")
	p.descriptors.resize(reservedDescriptors + 8)
	p.clients.firstRequestTimeout, p.clients.lingerTimeout = 10*time.Millisecond, time.Hour
	defer startProxy(t, p)()
	for i := range 40 { // each is accepted and evicted
		if got, err := io.ReadAll(dialProxy(t, p)); err != nil || len(got) > 0 {
			t.Fatalf("client %d: %q, %v", i, got, err)
		}
	}
}

// A new connection gets minFirstRequestWait for its first byte even if no other could be
// evicted or the process is about to end. Prevents a close at the moment of its accept,
// with its request on the way.
func TestNewClientGetsMinimumWait(t *testing.T) {
	for name, evict := range map[string]func(*Proxy){
		"its descriptor is needed": func(p *Proxy) { p.clients.evictOldest(10) },
		"the drain ends":           func(p *Proxy) { p.clients.shutdown() },
	} {
		t.Run(name, func(t *testing.T) {
			p := listenProxy(t, standin.ListJSON(1, true), "127.0.0.1:1")
			defer p.listener.Close()
			p.clients.minFirstRequestWait = time.Hour
			nc, conn, ended := serveHooked(t, p, "")
			eventually(t, "waiting", func() bool {
				p.clients.mu.Lock()
				defer p.clients.mu.Unlock()
				return p.clients.awaitingFirst.Len() == 1
			})
			evict(p)
			if conn.readDeadline.Load().(time.Time).Before(time.Now()) {
				t.Error("closed at once")
			}
			if status, _ := sendRequest(t, nc, "get", 2000); status != 503 {
				t.Errorf("got %d", status)
			}
			nc.Close()
			<-ended
		})
	}
}

// A drain ends in time although its clients never close: lingering connections are closed
// at its end, and answered requests do not count as cut off.
func TestDrainDoesNotLinger(t *testing.T) {
	defer goleak.VerifyNone(t)
	var text logBuffer
	log.SetOutput(&text)
	defer log.SetOutput(io.Discard)
	t.Run("drain", func(t *testing.T) {
		b := standin.NewBackend(t, standin.Echo)
		list := standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr()))
		p := listenProxy(t, list, "127.0.0.1:1")
		p.clients.lingerTimeout = time.Hour
		p.cfg.Grace, p.longestDeadline, p.shortestDeadline = time.Millisecond, 300*time.Millisecond, 300*time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- p.Run(ctx) }()
		eventually(t, "ready", p.Ready)
		for i := range 20 {
			c := dialProxy(t, p)
			if i%2 == 0 {
				sendRequest(t, c, "get", 2000)
			}
		}
		cancel()
		waitRunEnd(t, done)
		if n := p.clients.count(); n != 0 {
			t.Errorf("%d clients are still open", n)
		}
	})
	if bytes.Contains(text.bytes(), []byte("cut_off")) {
		t.Error("requests were cut off")
	}
}

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.text.Bytes())
}
