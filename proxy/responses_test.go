package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/standin"
)

// clientResponse is what a client receives; err is nil only if the response is complete.
type clientResponse struct {
	status int
	body   string
	err    error
}

// startWithBackend starts a proxy with one backend and a minimal drain time.
func startWithBackend(t *testing.T, b *standin.Backend) (p *Proxy, stop func()) {
	t.Helper()
	p = listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	return p, startProxy(t, p)
}

// requestTextVersion returns a request of HTTP/1.1 or 1.0.
func requestTextVersion(version, class string) string {
	return strings.Replace(requestText(class, 2000), "HTTP/1.1", "HTTP/"+version, 1)
}

// readResponse reads a response from c and calls onBodyStart at the first byte of its
// body.
func readResponse(c net.Conn, onBodyStart func()) (a clientResponse) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return clientResponse{err: err}
	}
	a.status = resp.StatusCode
	var b strings.Builder
	one := make([]byte, 1)
	if _, a.err = io.ReadFull(resp.Body, one); a.err == nil {
		onBodyStart()
		b.Write(one)
		_, a.err = io.Copy(&b, resp.Body)
	}
	if a.err == io.EOF { // a complete response without a body
		a.err = nil
	}
	a.body = b.String()
	return a
}

// waitDelivered waits until everything written to c has reached its peer's kernel.
func waitDelivered(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "delivery", func() bool {
		left := 0
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return left == 0
	})
}

const (
	chunkedHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	noLengthHead = "HTTP/1.1 200 OK\r\n\r\n"
	http10Head   = "HTTP/1.0 200 OK\r\n\r\n"
)

func lengthHead(n int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
}

// A truncated or invalid backend response is never served. A request that must not run
// twice is not sent again, and the connection carries no other request.
func TestIncompleteBackendResponses(t *testing.T) {
	type badResponse struct {
		name, text string
		end        func(*standin.Call) // nil: it stays open
	}
	reset := (*standin.Call).Reset
	var cases []badResponse
	for _, s := range []badResponse{
		{"before any byte", "", nil},
		{"in the status line", "HTTP/1.1 20", nil},
		{"in the head", "HTTP/1.1 200 OK\r\nContent-Le", nil},
		{"behind a 1xx", "HTTP/1.1 100 Continue\r\n\r\n", nil},
		{"no length, no body", noLengthHead, nil},
		{"short of its length", lengthHead(9) + "half", nil},
		{"short of its length by one", lengthHead(5) + "half", nil},
		{"in a chunk size line", chunkedHead + "4", nil},
		{"in a chunk", chunkedHead + "4\r\nha", nil},
		{"after a chunk", chunkedHead + "4\r\nhalf\r\n", nil},
		{"in the last chunk size line", chunkedHead + "4\r\nhalf\r\n0", nil},
		{"in the trailer", chunkedHead + "4\r\nhalf\r\n0\r\nX-Sum: 1", nil},
		{"before the last line", chunkedHead + "4\r\nhalf\r\n0\r\nX-Sum: 1\r\n", nil},
	} {
		cases = append(cases, badResponse{s.name + ", end", s.text, (*standin.Call).Close}, badResponse{s.name + ", reset", s.text, reset})
	}
	cases = append(cases,
		badResponse{"no length, reset", noLengthHead + "half", reset},
		badResponse{"no length, 1.0, reset", http10Head + "half", reset},
		badResponse{"no length, an error, reset", "HTTP/1.0 404 Not Found\r\n\r\nhalf", reset},
		badResponse{"noise", "\x00\x01\xff", nil},
		badResponse{"bare line ends", "HTTP/1.1 200 OK\nContent-Length: 4\n\nhalf", nil},
		badResponse{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf", nil},
		badResponse{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nhalf", nil},
		badResponse{"bad chunk size line", chunkedHead + "zz\r\nhalf", nil},
		badResponse{"3 GB", lengthHead(3<<30) + "half", nil},
		badResponse{"endless 1xx", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), nil},
		badResponse{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", http1.MaxHeaderBytes), nil},
		badResponse{"endless trailer", chunkedHead + "4\r\nhalf\r\n0\r\n" + strings.Repeat("X: y\r\n", http1.MaxHeaderBytes), nil},
		badResponse{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", nil},
	)
	for _, s := range cases {
		for _, class := range []string{"pay", "get"} {
			t.Run(s.name+", "+class, func(t *testing.T) {
				t.Parallel()
				conns := map[net.Conn]bool{}
				var mu sync.Mutex
				b := standin.NewBackend(t, func(c *standin.Call) {
					mu.Lock()
					if conns[c.Conn] {
						t.Error("request on a connection that carried an invalid response")
					}
					conns[c.Conn] = true
					mu.Unlock()
					c.WriteRaw(s.text)
					if s.end != nil {
						s.end(c)
					}
				})
				p, stop := startWithBackend(t, b)
				defer stop()
				c := dialProxy(t, p)
				io.WriteString(c, requestTextVersion("1.1", class))
				a := readResponse(c, func() {})
				if a.err != nil || a.status != http.StatusBadGateway && a.status != http.StatusServiceUnavailable {
					t.Errorf("got %+v", a)
				}
				if n := b.RequestCount(); class == "pay" && n > 1 || n == 0 {
					t.Errorf("the request ran %d times", n)
				}
				c.Close()
			})
		}
	}
}

// A streamed response ends at the client as it ended at the backend: a reset is seen as a
// truncated response, whichever way its length is given, and the request is not sent
// again.
func TestTruncatedStream(t *testing.T) {
	long := strings.Repeat("x", http1.MaxBufferedBodyBytes+50_000)
	chunk := func(b string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(b), b) }
	reset, end := (*standin.Call).Reset, (*standin.Call).Close
	for _, s := range []struct {
		name, text string
		end        func(*standin.Call)
		complete   bool
	}{
		{"no length, long, reset", noLengthHead + long, reset, false},
		{"no length, 1.0, long, reset", http10Head + long, reset, false},
		{"no length, long, end", noLengthHead + long, end, true},
		{"no length, slow, reset", noLengthHead + "half", reset, false},
		{"no length, 1.0, slow, reset", http10Head + "half", reset, false},
		{"no length, slow, end", http10Head + "half", end, true},
		{"length, reset", lengthHead(len(long)+1) + long, reset, false},
		{"length, end", lengthHead(len(long)+1) + long, end, false},
		{"chunks, reset", chunkedHead + chunk(long), reset, false},
		{"chunks, end", chunkedHead + chunk(long), end, false},
		{"in a chunk size line", chunkedHead + chunk(long) + "5", end, false},
		{"in a chunk", chunkedHead + chunk(long) + "5\r\nab", end, false},
		{"in the trailer", chunkedHead + chunk(long) + "0\r\nX-Sum: 1\r\n", end, false},
		{"bad chunk size line", chunkedHead + chunk(long) + "zz\r\n", end, false},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(s.name+", to "+version, func(t *testing.T) {
				t.Parallel()
				begun := make(chan bool)
				begin := sync.OnceFunc(func() { close(begun) })
				b := standin.NewBackend(t, func(c *standin.Call) {
					c.WriteRaw(s.text)
					<-begun // a part has reached the client
					s.end(c)
				})
				p, stop := startWithBackend(t, b)
				defer stop()
				c := dialProxy(t, p)
				io.WriteString(c, requestTextVersion(version, "get"))
				a := readResponse(c, begin)
				begin() // after an early failure nobody waits for it
				want := s.text[strings.Index(s.text, "\r\n\r\n")+4:]
				if s.complete && (a.err != nil || a.body != want) || !s.complete && a.err == nil {
					t.Errorf("got %d, %d bytes, %v", a.status, len(a.body), a.err)
				}
				if n := b.RequestCount(); n != 1 {
					t.Errorf("the request ran %d times", n)
				}
				c.Close()
			})
		}
	}
}

// An endless response is cut off, and the client can tell.
func TestEndlessResponse(t *testing.T) {
	for name, head := range map[string]string{"no length": noLengthHead, "chunks": chunkedHead} {
		b := standin.NewBackend(t, func(c *standin.Call) {
			c.WriteRaw(head)
			piece := strings.Repeat("x", 16<<10)
			if head == chunkedHead {
				piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
			for {
				if _, err := io.WriteString(c.Conn, piece); err != nil {
					return
				}
			}
		})
		p, stop := startWithBackend(t, b)
		c := dialProxy(t, p)
		io.WriteString(c, requestTextVersion("1.1", "get"))
		if a := readResponse(c, func() {}); a.err == nil || len(a.body) > http1.MaxStreamedBodyBytes+1<<20 {
			t.Errorf("%s: got %d, %d bytes, %v", name, a.status, len(a.body), a.err)
		}
		c.Close()
		stop()
		if n := b.RequestCount(); n != 1 {
			t.Errorf("%s: the request ran %d times", name, n)
		}
	}
}

// Bytes that a backend sends on an idle connection are never taken for a later response,
// whatever they are and however late they arrive.
func TestBytesOnIdleConnection(t *testing.T) {
	const stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	for name, sendStray := range map[string]func(net.Conn){
		"a second response": func(c net.Conn) { io.WriteString(c, stale) },
		"half a line":       func(c net.Conn) { io.WriteString(c, "HTTP/1.1 2") },
		"a byte":            func(c net.Conn) { io.WriteString(c, "H") },
		"an empty line":     func(c net.Conn) { io.WriteString(c, "\r\n") },
		"a 1xx":             func(c net.Conn) { io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") },
		"noise and end":     func(c net.Conn) { io.WriteString(c, "\x00"); c.(*net.TCPConn).CloseWrite() },
	} {
		for _, class := range []string{"pay", "get"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				calls := make(chan *standin.Call, 10)
				b := standin.NewBackend(t, func(c *standin.Call) {
					c.Reply(200, fmt.Sprint(c.Number))
					calls <- c
				})
				p, stop := startWithBackend(t, b)
				defer stop()
				c := dialProxy(t, p)
				for n := range 3 {
					io.WriteString(c, requestTextVersion("1.1", class))
					if a := readResponse(c, func() {}); a.err != nil || a.status != 200 || a.body != fmt.Sprint(n+1) {
						t.Fatalf("got %+v, want response %d", a, n+1)
					}
					call := <-calls
					eventually(t, "idle connection", func() bool { return p.driver.allBackends()[0].IdleCount() == 1 })
					sendStray(call.Conn)
					waitDelivered(t, call.Conn)
				}
				if opened, _ := b.ConnCounts(); opened != 3 {
					t.Errorf("%d connections for 3 requests", opened)
				}
				c.Close()
			})
		}
	}
}

// A response that arrives byte by byte is served completely.
func TestResponseInSingleBytes(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n" + lengthHead(5) + "whole",
		chunkedHead + "2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nX-Sum: 1\r\n\r\n",
		http10Head + "whole",
	} {
		b := standin.NewBackend(t, func(c *standin.Call) {
			for i := range text {
				c.WriteRaw(text[i : i+1])
				waitDelivered(t, c.Conn)
			}
			if strings.HasPrefix(text, "HTTP/1.0") {
				c.Close()
			}
		})
		p, stop := startWithBackend(t, b)
		c := dialProxy(t, p)
		io.WriteString(c, requestTextVersion("1.1", "pay"))
		if a := readResponse(c, func() {}); a.err != nil || a.status != 200 || a.body != "whole" {
			t.Errorf("%q: got %+v", text, a)
		}
		c.Close()
		stop()
	}
}
