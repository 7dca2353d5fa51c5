package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/neterror"
)

// padded is a request of n bytes, of which 10 are its body.
func padded(n int) string {
	const head, body = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nX: ", "\r\n\r\n0123456789"
	return head + strings.Repeat("x", n-len(head)-len(body)) + body
}

// pending waits until n bytes are in the kernel, unread.
func pending(t *testing.T, c *Conn, n int) {
	t.Helper()
	eventually(t, "arrived", func() bool {
		got := 0
		c.rawConn.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return got == n
	})
}

// An empty line behind a request is none of it, wherever the buffer ends: guards against
// a verdict that goes by how the bytes were cut.
func TestMoreBehindAFullBuffer(t *testing.T) {
	for _, size := range []int{initialBufferBytes - 2, initialBufferBytes - 1, initialBufferBytes, 2 * initialBufferBytes, 8 * initialBufferBytes} {
		for _, b := range []struct {
			behind string
			more   bool
		}{{"", false}, {"\r\n", false}, {"\r\n\r\n\n", false}, {"\r\nG", true}, {"G", true}, {strings.Repeat("\r\n", maxEmptyLineBytes), true}} {
			c, far := tcp(t)
			text := padded(size) + b.behind
			io.WriteString(far, text)
			pending(t, c, len(text))
			if _, body, _, err := c.ReadRequest(); err != nil || string(body) != "0123456789" {
				t.Fatalf("%d: %q, %v", size, body, err)
			}
			if c.HasPipelinedData() != b.more {
				t.Errorf("%.20q behind %d bytes: more is %t", b.behind, size, !b.more)
			}
		}
	}
}

// counted counts the reads of a connection, and the bytes that they had room for.
type counted struct {
	*net.TCPConn
	reads, room int
}

func (c *counted) Read(b []byte) (int, error) {
	c.reads++
	c.room += len(b)
	return c.TCPConn.Read(b)
}

// A flood behind a request costs no more than the request: it is noticed, and left in the
// kernel.
func TestFloodCostsLittle(t *testing.T) {
	for name, flood := range map[string]string{
		"requests":    strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 20_000),
		"empty lines": strings.Repeat("\r\n", 200_000),
		"noise":       strings.Repeat("\x00", 200_000),
	} {
		for _, watched := range []bool{false, true} {
			near, far := tcp(t)
			nc := &counted{TCPConn: near.Conn.(*net.TCPConn)}
			c := NewConn(nc)
			var sender sync.WaitGroup
			ahead := make(chan bool, 1)
			io.WriteString(far, padded(initialBufferBytes))
			pending(t, c, initialBufferBytes)
			if _, _, _, err := c.ReadRequest(); err != nil {
				t.Fatal(err)
			}
			sender.Go(func() { io.WriteString(far, flood) })
			if watched {
				c.WatchPeer(func() { t.Errorf("%s: gone", name) }, func() { ahead <- true })
				<-ahead
				c.UnwatchPeer()
			} else {
				eventually(t, name+": noticed", c.HasPipelinedData)
			}
			if nc.room > 4*initialBufferBytes || len(c.buf) > initialBufferBytes {
				t.Errorf("%s, watched %t: room for %d bytes in %d reads, a buffer of %d", name, watched, nc.room, nc.reads, len(c.buf))
			}
			if !c.HasPipelinedData() {
				t.Errorf("%s: more is forgotten", name)
			}
			c.Close()
			sender.Wait()
		}
	}
}

// What ends inside a message is told apart from what is malformed, also where its sender
// leaves many bytes behind, and by a reset.
func TestRequestsThatEndBadly(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	long := strings.Repeat("x", MaxBufferedBodyBytes+20_000)
	for _, r := range []struct {
		name, text string
		malformed  error // nil: it is only cut off
	}{
		{"nothing", "", nil},
		{"empty lines", "\r\n\r\n", nil},
		{"in the method", "PO", nil},
		{"in a header", post + "Content-Le", nil},
		{"ahead of the last line", post + "Content-Length: 1\r\n", nil},
		{"in the body", post + "Content-Length: 5\r\n\r\nabc", nil},
		{"in a long body", post + "Content-Length: 200000\r\n\r\n" + long, nil},
		{"in a size line", post + "Transfer-Encoding: chunked\r\n\r\n5", nil},
		{"in a chunk", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", nil},
		{"behind a chunk", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc", nil},
		{"in the trailer", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n", nil},
		{"in a long chunk", post + "Transfer-Encoding: chunked\r\n\r\n30000\r\n" + long, nil},
		{"noise", "\x16\x03\x01", ErrMalformed},
		{"bad size line", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", ErrMalformed},
		{"no line end behind a chunk", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef", ErrMalformed},
		{"a long head", post + "X: " + long, ErrHeaderTooLarge},
		{"a long body told", post + "Content-Length: 99999999\r\n\r\n" + long, ErrBodyTooLarge},
	} {
		for _, by := range []string{"end", "reset"} {
			c, far := tcp(t)
			go func() {
				io.WriteString(far, r.text)
				if by == "end" {
					far.Close()
				} else if r.malformed == nil { // a reset may take back what was sent
					reset(far.(*net.TCPConn))
				}
			}()
			_, _, rest, err := c.ReadRequest()
			if err == nil && rest != nil {
				err = rest.Discard(NewStreamPool(1))
			}
			want := r.malformed
			switch {
			case want != nil:
			case by == "reset":
				want = syscall.ECONNRESET
			case strings.Trim(r.text, "\r\n") == "":
				want = io.EOF
			default:
				want = io.ErrUnexpectedEOF
			}
			if !errors.Is(err, want) || want == io.ErrUnexpectedEOF && errors.Is(err, io.EOF) {
				t.Errorf("%s, %s: got %v, want %v", r.name, by, err, want)
			}
			c.Close()
		}
	}
	// The same where the end comes with the last bytes.
	c := NewConn(&lastBytes{text: post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", err: io.EOF})
	if _, _, _, err := c.ReadRequest(); !errors.Is(err, ErrMalformed) {
		t.Errorf("malformed, and ended: %v", err)
	}
}

// A watch that is stopped while bytes come loses none, leaves no deadline behind and
// tells of no end afterwards; a look for the peer's end may be taken during it.
func TestWatchStopsAtAnyTime(t *testing.T) {
	c, s, far := stage(t)
	var last atomic.Value
	s.deadline = func(at time.Time) { last.Store(at) }
	const n = 2000
	turn := make(chan int)
	var sender sync.WaitGroup
	sender.Go(func() {
		for i := range turn {
			io.WriteString(far, fmt.Sprintf("GET /%d HT", i))
			io.WriteString(far, "TP/1.1\r\nHost: h\r\n\r\n")
		}
	})
	for i := range n {
		var stopped atomic.Bool
		c.WatchPeer(func() { t.Error("gone") }, func() {
			if stopped.Load() {
				t.Error("told of after it was stopped")
			}
		})
		turn <- i
		if c.PeerClosed() {
			t.Fatal("closed")
		}
		c.UnwatchPeer()
		stopped.Store(true)
		if at := last.Load().(time.Time); !at.IsZero() {
			t.Fatalf("a deadline is left: %v", at)
		}
		req, _, _, err := c.ReadRequest()
		if err != nil || req.RequestURI != fmt.Sprintf("/%d", i) {
			t.Fatalf("request %d: %v, %v", i, req, err)
		}
	}
	close(turn)
	sender.Wait()

	for i := range 200 { // an end in that moment is told of before Unwatch returns, or not at all
		c, far := tcp(t)
		var stopped atomic.Bool
		c.WatchPeer(func() {
			if stopped.Load() {
				t.Error("gone after it was stopped")
			}
		}, func() { t.Error("ahead") })
		sender.Go(func() {
			if i%2 == 0 {
				far.Close()
			} else {
				reset(far.(*net.TCPConn))
			}
		})
		c.UnwatchPeer()
		stopped.Store(true)
		sender.Wait()
		if _, _, _, err := c.ReadRequest(); err == nil || neterror.IsDeadline(err) {
			t.Errorf("then read: %v", err)
		}
		c.Close()
	}
}
