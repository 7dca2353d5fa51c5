package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// scriptedSocket is a connection that runs one of its steps before each read and reports the
// read deadlines that are set, so that a test can force a specific order of events.
type scriptedSocket struct {
	*net.TCPConn
	steps          []func()
	onReadDeadline func(time.Time)
}

func (s *scriptedSocket) Read(b []byte) (int, error) {
	if len(s.steps) > 0 {
		step := s.steps[0]
		s.steps = s.steps[1:]
		step()
	}
	return s.TCPConn.Read(b)
}

func (s *scriptedSocket) SetReadDeadline(t time.Time) error {
	err := s.TCPConn.SetReadDeadline(t)
	if s.onReadDeadline != nil {
		s.onReadDeadline(t)
	}
	return err
}

// newScriptedSocket returns a Conn on a scriptedSocket, the scriptedSocket and the peer's side.
func newScriptedSocket(t *testing.T) (*Conn, *scriptedSocket, *net.TCPConn) {
	t.Helper()
	c, far := tcpPair(t)
	s := &scriptedSocket{TCPConn: c.Conn.(*net.TCPConn)}
	return NewConn(s), s, far.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// readResponse reads a response to its end and reports whether it was streamed.
func readResponse(c *Conn, deadline time.Time) (body []byte, streamed bool, err error) {
	_, body, remaining, err := c.ReadResponse(context.Background(), deadline)
	if err != nil || remaining == nil {
		return body, false, err
	}
	for buf := make([]byte, 5000); ; {
		n, err := remaining.Read(buf)
		body = append(body, buf[:n]...)
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, true, err
		}
	}
}

// truncatedResponse is a response that is truncated at each of its cutPositions.
type truncatedResponse struct {
	name, text string
	framed     bool // it has a length or is chunked
}

func truncatedResponses() []truncatedResponse {
	const body = "a body of some bytes"
	long := string(patternedBody(MaxBufferedBodyBytes + 40_000))
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return []truncatedResponse{
		{"no length, 1.0", "HTTP/1.0 200 OK\r\n\r\n" + body, false},
		{"no length, 1.0, kept alive", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + body, false},
		{"no length, 1.1", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body, false},
		{"no length, an error", "HTTP/1.1 500 No\r\n\r\n" + body, false},
		{"no length, long", "HTTP/1.1 200 OK\r\n\r\n" + long, false},
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true},
		{"length, long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), true},
		{"chunked", chunked + encodeChunks([]byte(body), 7), true},
		{"chunked, long", chunked + encodeChunks([]byte(long), 3000), true},
		{"after 1xx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + chunked + encodeChunks([]byte(body), 7), true},
	}
}

// cutPositions returns the offsets at which text is cut: all of a short text; of a long one
// those near its start, at regular distances inside it and near its end, where the size
// lines and the trailer are.
func (a truncatedResponse) cutPositions() (out []int) {
	for i := range len(a.text) {
		if len(a.text) < 1000 || i < 64 || i > len(a.text)-40 || i%9973 == 0 {
			out = append(out, i)
		}
	}
	return out
}

// A response that is truncated at any offset, by a close or by a reset, is never read as
// complete. A reset does not complete a close-delimited response either.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	for _, a := range truncatedResponses() {
		headerEnd := strings.LastIndex(a.text, "\r\n\r\n")
		if !a.framed || strings.HasPrefix(a.name, "length") {
			headerEnd = strings.Index(a.text, "\r\n\r\n")
		}
		for _, at := range a.cutPositions() {
			for _, by := range []string{"close", "reset"} {
				complete := by == "close" && !a.framed && at > headerEnd+4
				for _, deadline := range []time.Time{{}, time.Now().Add(time.Minute)} {
					c, _, far := newScriptedSocket(t)
					go func() {
						io.WriteString(far, a.text[:at])
						if by == "close" {
							far.Close()
						} else {
							reset(far)
						}
					}()
					body, _, err := readResponse(c, deadline)
					if complete && (err != nil || string(body) != a.text[headerEnd+4:at]) || !complete && err == nil {
						t.Errorf("%s, %s at %d of %d: got %d bytes, %v", a.name, by, at, len(a.text), len(body), err)
					}
					c.Close()
				}
			}
		}
	}
}

// The same if the reset or the close has arrived before the read, and if it arrives only
// after all bytes before it have been read.
func TestResetDoesNotCompleteResponse(t *testing.T) {
	const header = "HTTP/1.0 200 OK\r\n\r\n"
	long := string(patternedBody(MaxBufferedBodyBytes + 10_000))
	for _, order := range []string{"with the header", "after the header", "with the body", "after the body", "after the first part", "after a long first part"} {
		for _, by := range []string{"close", "reset"} {
			for _, deadline := range []time.Time{{}, time.Now().Add(time.Minute)} {
				c, s, far := newScriptedSocket(t)
				closePeer := func() {
					if by == "close" {
						far.Close()
					} else {
						reset(far)
					}
					eventually(t, "the peer's close is detected", c.PeerClosed)
				}
				send := func(text string) func() { return func() { io.WriteString(far, text) } }
				both := func(a, b func()) func() { return func() { a(); b() } }
				want, wantStreamed := "body", false
				switch order {
				case "with the header":
					s.steps, want = []func(){both(send(header), closePeer)}, ""
				case "after the header":
					s.steps, want = []func(){send(header), closePeer}, ""
				case "with the body":
					s.steps = []func(){both(send(header+want), closePeer)}
				case "after the body":
					s.steps = []func(){send(header + "bo"), send("dy"), closePeer}
				case "after the first part":
					if deadline.IsZero() {
						continue // the body is not streamed
					}
					wantStreamed = true
					s.onReadDeadline = func(at time.Time) { // the first part has arrived, and the reader waits for more
						if len(s.steps) == 0 && at.Before(deadline) {
							time.Sleep(time.Until(at))
							s.onReadDeadline = nil
							s.steps = []func(){func() {}, closePeer} // the read that times out, then the next
						}
					}
					s.steps = []func(){send(header + "body")}
				case "after a long first part":
					wantStreamed, want = true, long
					go io.WriteString(far, header+long)
					s.onReadDeadline = nil
				}
				if order == "after a long first part" {
					_, body, remaining, err := c.ReadResponse(context.Background(), deadline)
					if err != nil || remaining == nil {
						t.Fatalf("%s: %v, %v", order, remaining, err)
					}
					for len(body) < len(long) {
						buf := make([]byte, len(long)-len(body))
						n, err := remaining.Read(buf)
						if err != nil {
							t.Fatal(err)
						}
						body = append(body, buf[:n]...)
					}
					closePeer()
					n, err := remaining.Read(make([]byte, 10))
					if secondN, secondErr := remaining.Read(make([]byte, 10)); secondN != 0 || (secondErr == io.EOF) != (by == "close") {
						t.Errorf("%s, %s: the second read returned %d, %v", order, by, secondN, secondErr)
					}
					if n != 0 || (err == io.EOF) != (by == "close") || string(body) != long {
						t.Errorf("%s, %s: got %d bytes, %v", order, by, len(body), err)
					}
					continue
				}
				body, streamed, err := readResponse(c, deadline)
				if by == "close" && want != "" {
					if err != nil || string(body) != want || wantStreamed && !streamed {
						t.Errorf("%s, %s: got %q, streamed %t, %v", order, by, body, streamed, err)
					}
				} else if err == nil || errors.Is(err, io.EOF) {
					t.Errorf("%s, %s: got %q, %v", order, by, body, err)
				}
			}
		}
	}
}

// A response must not be streamed if its reset has arrived by the time that a late reader
// gives up waiting for the end: nothing has been forwarded yet, so the response can fail as
// a whole.
func TestResetBeforeLateReader(t *testing.T) {
	for _, by := range []string{"close", "reset"} {
		c, s, far := newScriptedSocket(t)
		s.steps = []func(){func() { io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\nhalf") }}
		deadline := time.Now().Add(time.Minute)
		s.onReadDeadline = func(at time.Time) {
			if !at.Before(deadline) {
				return
			}
			s.onReadDeadline = nil
			if by == "close" {
				far.Close()
			} else {
				reset(far)
			}
			eventually(t, "the peer's close is detected", c.PeerClosed)
			time.Sleep(time.Until(at)) // delays the reader until its deadline for the first part is over
		}
		_, body, remaining, err := c.ReadResponse(context.Background(), deadline)
		if remaining != nil || (err == nil) != (by == "close") || err == nil && string(body) != "half" {
			t.Errorf("%s: got %q, remaining body %v, %v", by, body, remaining, err)
		}
	}
}

// An io.Reader may return the last bytes together with its error, and the error only once.
func TestResetReturnedWithLastBytes(t *testing.T) {
	for _, deadline := range []time.Time{{}, time.Now().Add(time.Minute)} {
		c := NewConn(&lastReadErrorConn{text: "HTTP/1.1 200 OK\r\n\r\nhalf", err: syscall.ECONNRESET})
		if body, _, err := readResponse(c, deadline); err == nil {
			t.Errorf("read %q as a complete response", body)
		}
		c = NewConn(&lastReadErrorConn{text: "HTTP/1.1 200 OK\r\n\r\nwhole", err: io.EOF})
		if body, _, err := readResponse(c, deadline); err != nil || string(body) != "whole" {
			t.Errorf("got %q, %v", body, err)
		}
	}
}

// lastReadErrorConn returns err together with the last bytes of text, then io.EOF.
type lastReadErrorConn struct {
	net.Conn
	text string
	err  error
}

func (l *lastReadErrorConn) Read(b []byte) (int, error) {
	if l.text == "" {
		return 0, io.EOF
	}
	n := copy(b, l.text)
	if l.text = l.text[n:]; l.text == "" {
		return n, l.err
	}
	return n, nil
}

func (l *lastReadErrorConn) SetReadDeadline(time.Time) error { return nil }

// ReadResponse ends at once when it is cancelled while reading: a deadline that it sets for
// the first part must not replace the expired deadline that aborts it.
func TestCancelWhileReading(t *testing.T) {
	const before, waits, waited = "before the read", "when the wait begins", "when the wait is over"
	for _, when := range []string{before, waits, waited} {
		c, s, far := newScriptedSocket(t)
		if when != before {
			io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\nhalf")
		}
		ctx, cancel := context.WithCancel(context.Background())
		expired := make(chan bool)
		context.AfterFunc(ctx, func() {
			s.TCPConn.SetDeadline(time.Unix(1, 0))
			close(expired)
		})
		abort := func() { cancel(); <-expired }
		deadline := time.Now().Add(20 * time.Second)
		calls := 0
		s.onReadDeadline = func(at time.Time) { // sets the reader's deadline once more, after the abort
			if calls++; when == waits && calls == 1 || when == waited && calls == 2 {
				abort()
				s.TCPConn.SetReadDeadline(at)
				s.steps = []func(){func() { t.Errorf("%s: the reader continues", when) }}
			}
		}
		if when == before {
			abort()
			s.TCPConn.SetReadDeadline(deadline)
		}
		_, body, remaining, err := c.ReadResponse(ctx, deadline)
		if !errors.Is(err, context.Canceled) || remaining != nil {
			t.Errorf("%s: got %q, remaining body %v, %v", when, body, remaining, err)
		}
		cancel()
	}
}

// Malformed responses fail as soon as they can't become valid, with a bounded buffer: endless
// headers, 1xx responses and trailers, also if they arrive in small pieces.
func TestMalformedResponses(t *testing.T) {
	for _, a := range []struct {
		name, text string
		repeat     string
		want       error
	}{
		{"1xx without end", "", "HTTP/1.1 102 Processing\r\n\r\n", ErrMalformed},
		{"1xx with large headers", "", "HTTP/1.1 103 Early\r\nX: " + strings.Repeat("y", 8000) + "\r\n\r\n", ErrMalformed},
		{"a header without end", "HTTP/1.1 200 OK\r\n", "X: y\r\n", ErrHeaderTooLarge},
		{"a line without end", "HTTP/1.1 200 OK\r\nX: ", "yyyyyyyyyy", ErrHeaderTooLarge},
		{"a status line without end", "HTTP/1.1 200 ", "OK", ErrHeaderTooLarge},
		{"empty lines without end", "", "\r\n", ErrMalformed},
		{"a size line without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "extension", ErrMalformed},
		{"a trailer without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X: y\r\n", ErrMalformed},
		{"a body without end", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096), ErrBodyTooLarge},
		{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", ErrBodyTooLarge},
		{"binary data", "\x00\xff\x16\x03", "", ErrMalformed},
	} {
		c, _, far := newScriptedSocket(t)
		done := make(chan bool)
		go func() { // sends until the reader closes the connection
			defer close(done)
			io.WriteString(far, a.text)
			for block := strings.Repeat(a.repeat, 1+8000/max(1, len(a.repeat))); a.repeat != ""; {
				if _, err := io.WriteString(far, block); err != nil {
					return
				}
			}
		}()
		_, _, err := readResponse(c, time.Now().Add(time.Minute))
		if !errors.Is(err, a.want) {
			t.Errorf("%s: got %v, want %v", a.name, err, a.want)
		}
		if len(c.buf) > maxBufferBytes+1 {
			t.Errorf("%s: buffer of %d bytes", a.name, len(c.buf))
		}
		c.Close()
		<-done
	}
	for _, a := range truncatedResponses() { // one byte per read
		if len(a.text) > 1000 {
			continue
		}
		c, s, far := newScriptedSocket(t)
		for i := range a.text {
			s.steps = append(s.steps, func() { io.WriteString(far, a.text[i:i+1]) })
		}
		s.steps = append(s.steps, func() { far.Close() })
		if body, _, err := readResponse(c, time.Time{}); err != nil || string(body) != "a body of some bytes" {
			t.Errorf("%s, byte by byte: got %q, %v", a.name, body, err)
		}
	}
}
