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

// staged is a connection that does its steps, one ahead of each read, and tells what
// deadlines it is given: a test's bad order happens each time.
type staged struct {
	*net.TCPConn
	steps    []func()
	deadline func(time.Time)
}

func (s *staged) Read(b []byte) (int, error) {
	if len(s.steps) > 0 {
		step := s.steps[0]
		s.steps = s.steps[1:]
		step()
	}
	return s.TCPConn.Read(b)
}

func (s *staged) SetReadDeadline(t time.Time) error {
	err := s.TCPConn.SetReadDeadline(t)
	if s.deadline != nil {
		s.deadline(t)
	}
	return err
}

// stage is a connection with steps, and its far side.
func stage(t *testing.T) (*Conn, *staged, *net.TCPConn) {
	t.Helper()
	c, far := tcp(t)
	s := &staged{TCPConn: c.Conn.(*net.TCPConn)}
	return NewConn(s), s, far.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// readAnswer reads an answer to its end.
func readAnswer(c *Conn, deadline time.Time) (body []byte, parts bool, err error) {
	_, body, rest, err := c.ReadResponse(context.Background(), deadline)
	if err != nil || rest == nil {
		return body, false, err
	}
	for buf := make([]byte, 5000); ; {
		n, err := rest.Read(buf)
		body = append(body, buf[:n]...)
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, true, err
		}
	}
}

// cutAnswer is an answer and the places where it may break.
type cutAnswer struct {
	name, text string
	length     bool // it says where it ends
}

func cutAnswers() []cutAnswer {
	const body = "a body of some bytes"
	long := string(patterned(MaxBufferedBodyBytes + 40_000))
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return []cutAnswer{
		{"no length, 1.0", "HTTP/1.0 200 OK\r\n\r\n" + body, false},
		{"no length, 1.0, kept alive", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + body, false},
		{"no length, 1.1", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body, false},
		{"no length, an error", "HTTP/1.1 500 No\r\n\r\n" + body, false},
		{"no length, long", "HTTP/1.1 200 OK\r\n\r\n" + long, false},
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true},
		{"length, long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), true},
		{"chunked", chunked + chunks([]byte(body), 7), true},
		{"chunked, long", chunked + chunks([]byte(long), 3000), true},
		{"after 1xx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + chunked + chunks([]byte(body), 7), true},
	}
}

// places are the places at which text is cut: all, of a short one; of a long one those
// near its start, round MaxBody and near its end, where the size lines and the trailer are.
func (a cutAnswer) places() (out []int) {
	for i := range len(a.text) {
		if len(a.text) < 1000 || i < 64 || i > len(a.text)-40 || i%9973 == 0 {
			out = append(out, i)
		}
	}
	return out
}

// An answer that was cut off anywhere, by an end or by a reset, is never read as whole. A
// reset is no end, also for one that lasts as long as its connection.
func TestCutAnswersAreNotWhole(t *testing.T) {
	for _, a := range cutAnswers() {
		head := strings.LastIndex(a.text, "\r\n\r\n")
		if !a.length || strings.HasPrefix(a.name, "length") {
			head = strings.Index(a.text, "\r\n\r\n")
		}
		for _, at := range a.places() {
			for _, by := range []string{"end", "reset"} {
				whole := by == "end" && !a.length && at > head+4
				for _, deadline := range []time.Time{{}, time.Now().Add(time.Minute)} {
					c, _, far := stage(t)
					go func() {
						io.WriteString(far, a.text[:at])
						if by == "end" {
							far.Close()
						} else {
							reset(far)
						}
					}()
					body, _, err := readAnswer(c, deadline)
					if whole && (err != nil || string(body) != a.text[head+4:at]) || !whole && err == nil {
						t.Errorf("%s, %s at %d of %d: got %d bytes, %v", a.name, by, at, len(a.text), len(body), err)
					}
					c.Close()
				}
			}
		}
	}
}

// The same where the reset, or the end, is there before the reader looks, and where it
// comes only once all ahead of it has been read.
func TestResetIsNoEnd(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\n\r\n"
	long := string(patterned(MaxBufferedBodyBytes + 10_000))
	for _, order := range []string{"with the head", "behind the head", "with the body", "behind the body", "behind the first part", "behind a long first part"} {
		for _, by := range []string{"end", "reset"} {
			for _, deadline := range []time.Time{{}, time.Now().Add(time.Minute)} {
				c, s, far := stage(t)
				over := func() {
					if by == "end" {
						far.Close()
					} else {
						reset(far)
					}
					eventually(t, "over", c.PeerClosed)
				}
				say := func(text string) func() { return func() { io.WriteString(far, text) } }
				both := func(a, b func()) func() { return func() { a(); b() } }
				want, parts := "body", false
				switch order {
				case "with the head":
					s.steps, want = []func(){both(say(head), over)}, ""
				case "behind the head":
					s.steps, want = []func(){say(head), over}, ""
				case "with the body":
					s.steps = []func(){both(say(head+want), over)}
				case "behind the body":
					s.steps = []func(){say(head + "bo"), say("dy"), over}
				case "behind the first part":
					if deadline.IsZero() {
						continue // there is none
					}
					parts = true
					s.deadline = func(at time.Time) { // the part has come, and the rest is waited for
						if len(s.steps) == 0 && at.Before(deadline) {
							time.Sleep(time.Until(at))
							s.deadline = nil
							s.steps = []func(){func() {}, over} // the read that times out, then the next
						}
					}
					s.steps = []func(){say(head + "body")}
				case "behind a long first part":
					parts, want = true, long
					go io.WriteString(far, head+long)
					s.deadline = nil
				}
				if order == "behind a long first part" {
					_, body, rest, err := c.ReadResponse(context.Background(), deadline)
					if err != nil || rest == nil {
						t.Fatalf("%s: %v, %v", order, rest, err)
					}
					for len(body) < len(long) {
						buf := make([]byte, len(long)-len(body))
						n, err := rest.Read(buf)
						if err != nil {
							t.Fatal(err)
						}
						body = append(body, buf[:n]...)
					}
					over()
					n, err := rest.Read(make([]byte, 10))
					if again, second := rest.Read(make([]byte, 10)); again != 0 || (second == io.EOF) != (by == "end") {
						t.Errorf("%s, %s: then %d, %v", order, by, again, second)
					}
					if n != 0 || (err == io.EOF) != (by == "end") || string(body) != long {
						t.Errorf("%s, %s: got %d bytes, %v", order, by, len(body), err)
					}
					continue
				}
				body, inParts, err := readAnswer(c, deadline)
				if by == "end" && want != "" {
					if err != nil || string(body) != want || parts && !inParts {
						t.Errorf("%s, %s: got %q in parts %t, %v", order, by, body, inParts, err)
					}
				} else if err == nil || errors.Is(err, io.EOF) {
					t.Errorf("%s, %s: got %q, %v", order, by, body, err)
				}
			}
		}
	}
}

// Guards against an answer passed on as a first part whose reset was here already, but
// came while the reader was late: nothing of it has been passed on, and it can fail whole.
func TestResetBehindALateReader(t *testing.T) {
	for _, by := range []string{"end", "reset"} {
		c, s, far := stage(t)
		s.steps = []func(){func() { io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\nhalf") }}
		deadline := time.Now().Add(time.Minute)
		s.deadline = func(at time.Time) {
			if !at.Before(deadline) {
				return
			}
			s.deadline = nil
			if by == "end" {
				far.Close()
			} else {
				reset(far)
			}
			eventually(t, "over", c.PeerClosed)
			time.Sleep(time.Until(at)) // the reader is late: its time for the part is up
		}
		_, body, rest, err := c.ReadResponse(context.Background(), deadline)
		if rest != nil || (err == nil) != (by == "end") || err == nil && string(body) != "half" {
			t.Errorf("%s: got %q, rest %v, %v", by, body, rest, err)
		}
	}
}

// A reader may give the last bytes and its error at once, and the error only once.
func TestResetWithTheLastBytes(t *testing.T) {
	for _, deadline := range []time.Time{{}, time.Now().Add(time.Minute)} {
		c := NewConn(&lastBytes{text: "HTTP/1.1 200 OK\r\n\r\nhalf", err: syscall.ECONNRESET})
		if body, _, err := readAnswer(c, deadline); err == nil {
			t.Errorf("read %q as whole", body)
		}
		c = NewConn(&lastBytes{text: "HTTP/1.1 200 OK\r\n\r\nwhole", err: io.EOF})
		if body, _, err := readAnswer(c, deadline); err != nil || string(body) != "whole" {
			t.Errorf("got %q, %v", body, err)
		}
	}
}

type lastBytes struct {
	net.Conn
	text string
	err  error
}

func (l *lastBytes) Read(b []byte) (int, error) {
	if l.text == "" {
		return 0, io.EOF
	}
	n := copy(b, l.text)
	if l.text = l.text[n:]; l.text == "" {
		return n, l.err
	}
	return n, nil
}

func (l *lastBytes) SetReadDeadline(time.Time) error { return nil }

// An answer that is given up while it is read ends at once: the time that the reader sets
// must not take the place of the end of its time.
func TestGivenUpWhileReading(t *testing.T) {
	const before, waits, waited = "before it reads", "as it begins to wait", "as its wait is over"
	for _, when := range []string{before, waits, waited} {
		c, s, far := stage(t)
		if when != before {
			io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\nhalf")
		}
		ctx, cancel := context.WithCancel(context.Background())
		over := make(chan bool)
		context.AfterFunc(ctx, func() {
			s.TCPConn.SetDeadline(time.Unix(1, 0))
			close(over)
		})
		giveUp := func() { cancel(); <-over }
		deadline := time.Now().Add(20 * time.Second)
		set := 0
		s.deadline = func(at time.Time) { // called when the reader has set one: it is set again, later
			if set++; when == waits && set == 1 || when == waited && set == 2 {
				giveUp()
				s.TCPConn.SetReadDeadline(at)
				s.steps = []func(){func() { t.Errorf("%s: reads on", when) }}
			}
		}
		if when == before {
			giveUp()
			s.TCPConn.SetReadDeadline(deadline)
		}
		_, body, rest, err := c.ReadResponse(ctx, deadline)
		if !errors.Is(err, context.Canceled) || rest != nil {
			t.Errorf("%s: got %q, rest %v, %v", when, body, rest, err)
		}
		cancel()
	}
}

// Spoilt answers end with their error as soon as they can't be good, and cost a bounded
// buffer: heads in pieces and without end, 1xx without end, trailers without end.
func TestSpoiltAnswers(t *testing.T) {
	for _, a := range []struct {
		name, text string
		repeat     string
		want       error
	}{
		{"1xx without end", "", "HTTP/1.1 102 Processing\r\n\r\n", ErrMalformed},
		{"1xx with large heads", "", "HTTP/1.1 103 Early\r\nX: " + strings.Repeat("y", 8000) + "\r\n\r\n", ErrMalformed},
		{"a head without end", "HTTP/1.1 200 OK\r\n", "X: y\r\n", ErrHeaderTooLarge},
		{"a line without end", "HTTP/1.1 200 OK\r\nX: ", "yyyyyyyyyy", ErrHeaderTooLarge},
		{"a status line without end", "HTTP/1.1 200 ", "OK", ErrHeaderTooLarge},
		{"empty lines without end", "", "\r\n", ErrMalformed},
		{"a size line without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "extension", ErrMalformed},
		{"a trailer without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X: y\r\n", ErrMalformed},
		{"a body without end", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096), ErrBodyTooLarge},
		{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", ErrBodyTooLarge},
		{"noise", "\x00\xff\x16\x03", "", ErrMalformed},
	} {
		c, _, far := stage(t)
		done := make(chan bool)
		go func() { // until the reader has had enough
			defer close(done)
			io.WriteString(far, a.text)
			for much := strings.Repeat(a.repeat, 1+8000/max(1, len(a.repeat))); a.repeat != ""; {
				if _, err := io.WriteString(far, much); err != nil {
					return
				}
			}
		}()
		_, _, err := readAnswer(c, time.Now().Add(time.Minute))
		if !errors.Is(err, a.want) {
			t.Errorf("%s: got %v, want %v", a.name, err, a.want)
		}
		if len(c.buf) > maxBufferBytes+1 {
			t.Errorf("%s: a buffer of %d bytes", a.name, len(c.buf))
		}
		c.Close()
		<-done
	}
	for _, a := range cutAnswers() { // a byte at a time, by a sender that is in no hurry to send more
		if len(a.text) > 1000 {
			continue
		}
		c, s, far := stage(t)
		for i := range a.text {
			s.steps = append(s.steps, func() { io.WriteString(far, a.text[i:i+1]) })
		}
		s.steps = append(s.steps, func() { far.Close() })
		if body, _, err := readAnswer(c, time.Time{}); err != nil || string(body) != "a body of some bytes" {
			t.Errorf("%s, in pieces: got %q, %v", a.name, body, err)
		}
	}
}
