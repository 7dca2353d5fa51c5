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

// answer is what a client has of an answer; err is nil only for one with a clean end.
type answer struct {
	status int
	body   string
	err    error
}

// before is a proxy before one backend, whose drain takes no longer than it must.
func before(t *testing.T, b *standin.Backend) (p *Proxy, stop func()) {
	t.Helper()
	p = listening(t, standin.List(1, true, standin.Target("s", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	return p, running(t, p)
}

// request is a client's request of HTTP/1.1 or 1.0.
func request(version, class string) string {
	return strings.Replace(text(class, 2000), "HTTP/1.1", "HTTP/"+version, 1)
}

// answered reads an answer from c; begun is told with the first byte of its body.
func answered(c net.Conn, begun func()) (a answer) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	a.status = resp.StatusCode
	var b strings.Builder
	one := make([]byte, 1)
	if _, a.err = io.ReadFull(resp.Body, one); a.err == nil {
		begun()
		b.Write(one)
		_, a.err = io.Copy(&b, resp.Body)
	}
	if a.err == io.EOF { // no body, whole
		a.err = nil
	}
	a.body = b.String()
	return a
}

// arrived waits until all that was written to c is in its peer's kernel.
func arrived(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "arrived", func() bool {
		left := 0
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return left == 0
	})
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	plainHead   = "HTTP/1.1 200 OK\r\n\r\n"
	oldHead     = "HTTP/1.0 200 OK\r\n\r\n"
)

func lengthHead(n int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
}

// An answer that ends badly, or is none, is never served, nor is what must not run twice
// sent again; and its connection carries no other request.
func TestAnswersThatEndBadly(t *testing.T) {
	type spoilt struct {
		name, text string
		end        func(*standin.Call) // nil: it stays open
	}
	reset := (*standin.Call).Reset
	var all []spoilt
	for _, s := range []spoilt{
		{"before any byte", "", nil},
		{"in the status line", "HTTP/1.1 20", nil},
		{"in the head", "HTTP/1.1 200 OK\r\nContent-Le", nil},
		{"behind a 1xx", "HTTP/1.1 100 Continue\r\n\r\n", nil},
		{"no length, no body", plainHead, nil},
		{"short of its length", lengthHead(9) + "half", nil},
		{"short of its length by one", lengthHead(5) + "half", nil},
		{"in a size line", chunkedHead + "4", nil},
		{"in a chunk", chunkedHead + "4\r\nha", nil},
		{"behind a chunk", chunkedHead + "4\r\nhalf\r\n", nil},
		{"in the last size line", chunkedHead + "4\r\nhalf\r\n0", nil},
		{"in the trailer", chunkedHead + "4\r\nhalf\r\n0\r\nX-Sum: 1", nil},
		{"ahead of the last line", chunkedHead + "4\r\nhalf\r\n0\r\nX-Sum: 1\r\n", nil},
	} {
		all = append(all, spoilt{s.name + ", end", s.text, (*standin.Call).Close}, spoilt{s.name + ", reset", s.text, reset})
	}
	all = append(all,
		spoilt{"no length, reset", plainHead + "half", reset},
		spoilt{"no length, 1.0, reset", oldHead + "half", reset},
		spoilt{"no length, an error, reset", "HTTP/1.0 404 Not Found\r\n\r\nhalf", reset},
		spoilt{"noise", "\x00\x01\xff", nil},
		spoilt{"bare line ends", "HTTP/1.1 200 OK\nContent-Length: 4\n\nhalf", nil},
		spoilt{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf", nil},
		spoilt{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nhalf", nil},
		spoilt{"bad size line", chunkedHead + "zz\r\nhalf", nil},
		spoilt{"3 GB", lengthHead(3<<30) + "half", nil},
		spoilt{"1xx without end", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), nil},
		spoilt{"a head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", http1.MaxHead), nil},
		spoilt{"a trailer without end", chunkedHead + "4\r\nhalf\r\n0\r\n" + strings.Repeat("X: y\r\n", http1.MaxHead), nil},
		spoilt{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", nil},
	)
	for _, s := range all {
		for _, class := range []string{"pay", "get"} {
			t.Run(s.name+", "+class, func(t *testing.T) {
				t.Parallel()
				conns := map[net.Conn]bool{}
				var mu sync.Mutex
				b := standin.NewBackend(t, func(c *standin.Call) {
					mu.Lock()
					if conns[c.Conn] {
						t.Error("a request on a connection of a spoilt answer")
					}
					conns[c.Conn] = true
					mu.Unlock()
					c.Raw(s.text)
					if s.end != nil {
						s.end(c)
					}
				})
				p, stop := before(t, b)
				defer stop()
				c := dial(t, p)
				io.WriteString(c, request("1.1", class))
				a := answered(c, func() {})
				if a.err != nil || a.status != http.StatusBadGateway && a.status != http.StatusServiceUnavailable {
					t.Errorf("got %+v", a)
				}
				if n := b.Calls(); class == "pay" && n > 1 || n == 0 {
					t.Errorf("it ran %d times", n)
				}
				c.Close()
			})
		}
	}
}

// What has been passed on in part ends at the client as it ended at the backend: a reset
// is seen as a broken answer, whichever way the client is told where it ends, and nothing
// of it is sent for again.
func TestCutOnTheWay(t *testing.T) {
	long := strings.Repeat("x", http1.MaxBody+50_000)
	chunk := func(b string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(b), b) }
	reset, end := (*standin.Call).Reset, (*standin.Call).Close
	for _, s := range []struct {
		name, text string
		end        func(*standin.Call)
		whole      bool
	}{
		{"no length, long, reset", plainHead + long, reset, false},
		{"no length, 1.0, long, reset", oldHead + long, reset, false},
		{"no length, long, end", plainHead + long, end, true},
		{"no length, slow, reset", plainHead + "half", reset, false},
		{"no length, 1.0, slow, reset", oldHead + "half", reset, false},
		{"no length, slow, end", oldHead + "half", end, true},
		{"length, reset", lengthHead(len(long)+1) + long, reset, false},
		{"length, end", lengthHead(len(long)+1) + long, end, false},
		{"chunks, reset", chunkedHead + chunk(long), reset, false},
		{"chunks, end", chunkedHead + chunk(long), end, false},
		{"in a size line", chunkedHead + chunk(long) + "5", end, false},
		{"in a chunk", chunkedHead + chunk(long) + "5\r\nab", end, false},
		{"in the trailer", chunkedHead + chunk(long) + "0\r\nX-Sum: 1\r\n", end, false},
		{"bad size line", chunkedHead + chunk(long) + "zz\r\n", end, false},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(s.name+", to "+version, func(t *testing.T) {
				t.Parallel()
				begun := make(chan bool)
				begin := sync.OnceFunc(func() { close(begun) })
				b := standin.NewBackend(t, func(c *standin.Call) {
					c.Raw(s.text)
					<-begun // a part is at the client
					s.end(c)
				})
				p, stop := before(t, b)
				defer stop()
				c := dial(t, p)
				io.WriteString(c, request(version, "get"))
				a := answered(c, begin)
				begin() // where it has failed, nobody waits for it
				want := s.text[strings.Index(s.text, "\r\n\r\n")+4:]
				if s.whole && (a.err != nil || a.body != want) || !s.whole && a.err == nil {
					t.Errorf("got %d, %d bytes, %v", a.status, len(a.body), a.err)
				}
				if n := b.Calls(); n != 1 {
					t.Errorf("it ran %d times", n)
				}
				c.Close()
			})
		}
	}
}

// An answer that never ends is cut off, and the client can tell.
func TestAnswerWithoutEnd(t *testing.T) {
	for name, head := range map[string]string{"no length": plainHead, "chunks": chunkedHead} {
		b := standin.NewBackend(t, func(c *standin.Call) {
			c.Raw(head)
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
		p, stop := before(t, b)
		c := dial(t, p)
		io.WriteString(c, request("1.1", "get"))
		if a := answered(c, func() {}); a.err == nil || len(a.body) > http1.MaxStream+1<<20 {
			t.Errorf("%s: got %d, %d bytes, %v", name, a.status, len(a.body), a.err)
		}
		c.Close()
		stop()
		if n := b.Calls(); n != 1 {
			t.Errorf("%s: it ran %d times", name, n)
		}
	}
}

// What a backend sends on a resting connection is never taken for a later answer, whatever
// it is and however late it comes.
func TestBytesOnARestingConnection(t *testing.T) {
	const stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	for name, late := range map[string]func(net.Conn){
		"a second answer": func(c net.Conn) { io.WriteString(c, stale) },
		"half a line":     func(c net.Conn) { io.WriteString(c, "HTTP/1.1 2") },
		"a byte":          func(c net.Conn) { io.WriteString(c, "H") },
		"an empty line":   func(c net.Conn) { io.WriteString(c, "\r\n") },
		"a 1xx":           func(c net.Conn) { io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") },
		"noise and end":   func(c net.Conn) { io.WriteString(c, "\x00"); c.(*net.TCPConn).CloseWrite() },
	} {
		for _, class := range []string{"pay", "get"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				calls := make(chan *standin.Call, 10)
				b := standin.NewBackend(t, func(c *standin.Call) {
					c.Reply(200, fmt.Sprint(c.N))
					calls <- c
				})
				p, stop := before(t, b)
				defer stop()
				c := dial(t, p)
				for n := range 3 {
					io.WriteString(c, request("1.1", class))
					if a := answered(c, func() {}); a.err != nil || a.status != 200 || a.body != fmt.Sprint(n+1) {
						t.Fatalf("got %+v, want the %dth answer", a, n+1)
					}
					call := <-calls
					eventually(t, "at rest", func() bool { return p.driver.allBackends()[0].Idle() == 1 })
					late(call.Conn)
					arrived(t, call.Conn)
				}
				if opened, _ := b.Conns(); opened != 3 {
					t.Errorf("%d connections for 3 requests", opened)
				}
				c.Close()
			})
		}
	}
}

// An answer in pieces of one byte, each of which has arrived before the next is sent, is
// served whole.
func TestAnswerInPieces(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n" + lengthHead(5) + "whole",
		chunkedHead + "2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nX-Sum: 1\r\n\r\n",
		oldHead + "whole",
	} {
		b := standin.NewBackend(t, func(c *standin.Call) {
			for i := range text {
				c.Raw(text[i : i+1])
				arrived(t, c.Conn)
			}
			if strings.HasPrefix(text, "HTTP/1.0") {
				c.Close()
			}
		})
		p, stop := before(t, b)
		c := dial(t, p)
		io.WriteString(c, request("1.1", "pay"))
		if a := answered(c, func() {}); a.err != nil || a.status != 200 || a.body != "whole" {
			t.Errorf("%q: got %+v", text, a)
		}
		c.Close()
		stop()
	}
}
