package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/standin"
)

// openStateConn records for each write whether its request was open when the write began.
type openStateConn struct {
	net.Conn
	isOpen func() bool
	sizes  []int
	open   []bool
}

func (c *openStateConn) Write(b []byte) (int, error) {
	c.sizes, c.open = append(c.sizes, len(b)), append(c.open, c.isOpen())
	return c.Conn.Write(b)
}

// Guards against the id of a request being accepted again while its answer is on its way: the
// request is open up to the write of the answer's last byte, and no longer, in whatever form the
// answer comes and is passed on.
func TestRequestOpenToTheLastByte(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 6<<10)
	withLength := func(body string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	chunked := func(body string) string {
		return chunkedHead + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	}
	for _, c := range []struct {
		name, version, answer string
		closeDelimited        bool // for the client: the end of its connection ends the answer
		whole                 bool // written at once
	}{
		{"short", "1.1", withLength("short"), false, true},
		{"refused by the backend for the request's fault", "1.1", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false, true},
		{"read whole", "1.1", withLength(long[:http1.MaxBufferedBodyBytes]), false, false},
		{"read whole, chunked", "1.1", chunked(long[:http1.MaxBufferedBodyBytes-1]), false, false},
		{"long", "1.1", withLength(long), false, false},
		{"long, chunked", "1.1", chunked(long), false, false},
		{"long, to the end of the connection", "1.1", noLengthHead + long, false, false},
		{"long, to an old client", "1.0", withLength(long), false, false},
		{"long, chunked, to an old client", "1.0", chunked(long), true, false},
		{"long, to the end of the connection, to an old client", "1.0", noLengthHead + long, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := standin.NewBackend(t, func(call *standin.Call) {
				call.WriteRaw(c.answer)
				call.Close()
			})
			p, stop := startWithBackend(t, b)
			defer stop()
			near, far := net.Pipe()
			defer near.Close()
			conn := &openStateConn{Conn: far, isOpen: func() bool { return p.driver.openRequestCount() > 0 }}
			go io.WriteString(near, requestTextVersion(c.version, "get"))
			go func() {
				defer far.Close()
				p.exchange(&clientConn{waitStart: time.Now(), conn: http1.NewConn(conn)})
			}()
			text, err := io.ReadAll(near)
			if err != nil || !bytes.HasPrefix(text, []byte("HTTP/1.1 ")) {
				t.Fatalf("read %.80q, %v", text, err)
			}
			last := len(conn.open) - 1
			for i, open := range conn.open {
				if want := i < last || c.closeDelimited; open != want {
					t.Errorf("write %d of %d, of %d bytes: open %t, want %t", i+1, last+1, conn.sizes[i], open, want)
				}
			}
			if single := conn.sizes[last] == 1; !c.closeDelimited && single == c.whole {
				t.Errorf("the last write has %d bytes", conn.sizes[last])
			}
			if n := p.driver.openRequestCount(); n > 0 {
				t.Errorf("%d requests are open after the end", n)
			}
		})
	}
}

// A request whose answer breaks off ends before its client can notice.
func TestBrokenOffAnswerEndsRequest(t *testing.T) {
	b := standin.NewBackend(t, func(call *standin.Call) {
		call.WriteRaw(lengthHead(200_000) + strings.Repeat("x", 100_000))
		call.Close()
	})
	p, stop := startWithBackend(t, b)
	defer stop()
	for range 20 {
		c := dialProxy(t, p)
		io.WriteString(c, requestText("get", 2000))
		if a := readResponse(c, func() {}); a.status != http.StatusOK || a.err == nil {
			t.Fatalf("got %d, %v, want an answer that breaks off", a.status, a.err)
		}
		if n := p.driver.openRequestCount(); n > 0 {
			t.Errorf("%d requests are open after the end", n)
		}
	}
}
