package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/standin"
)

// uploadConn is a client's connection with a long request. Of its body it gives so much,
// then waits for more or for the end of its time, and tells of each interruption.
type uploadConn struct {
	net.Conn
	pending     string // what is left to give
	endless     bool   // gives x without end after it
	interrupted chan bool
	once        sync.Once
}

func (u *uploadConn) Read(b []byte) (int, error) {
	if u.pending != "" {
		n := copy(b, u.pending)
		u.pending = u.pending[n:]
		return n, nil
	}
	if u.endless {
		return copy(b, strings.Repeat("x", len(b))), nil
	}
	<-u.interrupted
	return 0, os.ErrDeadlineExceeded
}

func (u *uploadConn) SetReadDeadline(t time.Time) error {
	if t.Equal(time.Unix(1, 0)) {
		u.once.Do(func() { close(u.interrupted) })
	}
	return nil
}

// newUpload is an exchange's request with a rest that comes from u.
func newUpload(t *testing.T, endless bool) (*uploadConn, *Request) {
	t.Helper()
	u := &uploadConn{endless: endless, interrupted: make(chan bool),
		pending: "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 30000000\r\n\r\nfirst part"}
	_, first, rest, err := http1.NewConn(u).ReadRequest()
	if err != nil || rest == nil {
		t.Fatal(rest, err)
	}
	t.Cleanup(rest.Abandon)
	return u, &Request{
		Render: func(time.Duration) []byte {
			return append([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 30000000\r\n\r\n"), first...)
		},
		BodyRest: rest, Transfers: http1.NewStreamPool(1), Timeout: time.Minute,
	}
}

// exchangeInTime is what an exchange comes to; it fails the test where that takes for ever.
func exchangeInTime(t *testing.T, b *Backend, ctx context.Context, req *Request) ExchangeResult {
	t.Helper()
	done := make(chan ExchangeResult, 1)
	go func() { done <- b.Exchange(ctx, req) }()
	select {
	case a := <-done:
		return a
	case <-time.After(20 * time.Second):
		t.Fatal("goes on")
		return ExchangeResult{}
	}
}

// writeIsBlocked tells whether a write in this process waits for its reader.
func writeIsBlocked() bool {
	stacks := make([]byte, 1<<20)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "internal/poll.(*pollDesc).waitWrite")
}

// Guards against an answer without a length that is served though it was cut off: its
// reset is told once, here to the write of the request that was still coming, and the
// reader then sees an end.
func TestResetToldToTheWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, c := range []struct {
		name, text string
		status     int // 0: it is no answer
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhalf of an ans", 0},
		{"no length, 1.0", "HTTP/1.0 200 OK\r\n\r\nhalf of an ans", 0},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 200},
		{"length, cut off", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole", 0},
		{"refused", "HTTP/1.1 413 Large\r\n\r\nno", 413},
	} {
		opt, s := options(5)
		var a ExchangeResult
		for { // until the answer has found a write that stands still
			u, req := newUpload(t, true)
			var far sync.WaitGroup
			far.Go(func() {
				nc, err := ln.Accept()
				if err != nil {
					t.Error(err)
					return
				}
				standin.Eventually(t, 10*time.Second, "the write stands still", writeIsBlocked)
				io.WriteString(nc, c.text)
				<-u.interrupted // the answer has been seen; the reset has not
				nc.(*net.TCPConn).SetLinger(0)
				nc.Close()
			})
			a = exchangeInTime(t, New(ln.Addr().String(), opt), shortContext(t), req)
			far.Wait()
			if !errors.Is(a.Err, errEarlyAnswer) {
				break
			}
		}
		want := Answered
		if c.status == 0 {
			want = SendFailed
		}
		if a.Stage != want || a.Status != c.status || a.BodyReadErr != nil || s.free.Load() != 5 {
			t.Errorf("%s: got %+v %q, %d descriptors", c.name, a, a.Body, s.free.Load())
		}
	}
}

// Guards against what is late of an older answer taken for one to a request that is
// still being sent: on a connection that has carried another, a 200 that comes ahead of
// the request's end is not ours. A new connection has no older answer.
func TestStaleAnswerDuringAnUpload(t *testing.T) {
	for _, reused := range []bool{true, false} {
		_, req := newUpload(t, false)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var far sync.WaitGroup
		far.Go(func() {
			nc, err := ln.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			buf := make([]byte, 1<<10)
			if reused {
				nc.Read(buf)
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
			}
			nc.Read(buf) // the first part is here
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
			io.Copy(io.Discard, nc)
		})
		opt, s := options(5)
		b := New(ln.Addr().String(), opt)
		if reused {
			if a := b.Exchange(newExchange(shortContext(t), get)); a.Status != 200 || len(b.idleConns) != 1 {
				t.Fatalf("got %+v", a)
			}
			b.idleConns[0].idleSince = time.Now().Add(-time.Hour)
		}
		a := exchangeInTime(t, b, shortContext(t), req)
		if n := opt.ConnsOpened.Load(); n != 1 {
			t.Errorf("%d connections", n)
		}
		if reused && (a.Stage != Answered || a.Err == nil || a.Status != 0) || !reused && (a.Status != 200 || a.Err != nil) {
			t.Errorf("reused %t: got %+v", reused, a)
		}
		b.Close()
		ln.Close()
		far.Wait()
		if n := s.free.Load(); n != 5 {
			t.Errorf("%d of 5 descriptors given back", n)
		}
	}
}

// An upload that is given up ends at once, wherever it stands: with a sender that gives
// nothing more, and with a backend that takes nothing more.
func TestUploadGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, endless := range []bool{false, true} {
		_, req := newUpload(t, endless)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		over := make(chan bool)
		var far sync.WaitGroup
		far.Go(func() {
			nc, err := ln.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			io.ReadFull(nc, make([]byte, 60)) // it has begun
			cancel()
			<-ctx.Done()
			<-over
		})
		opt, s := options(5)
		a := exchangeInTime(t, New(ln.Addr().String(), opt), ctx, req)
		close(over)
		if !errors.Is(a.Err, context.Canceled) || a.Stage != SendFailed || a.BodyReadErr != nil || s.free.Load() != 5 {
			t.Errorf("endless %t: got %+v, %d descriptors", endless, a, s.free.Load())
		}
		far.Wait()
		if n, err := req.BodyRest.Read(make([]byte, 1)); errors.Is(err, http1.ErrInterrupted) {
			t.Errorf("the rest is left interrupted: %d, %v", n, err)
		}
	}
}

// What fails never tells a caller that it may be sent again where it may have run: an
// exchange that was written whole is Written or Answered, however its answer ends.
func TestNoFaultLooksUnsent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, text := range []string{
		"", "H", "HTTP/1.1 2", head, head + "\r\n", head + "\r\nhalf", head + "Content-Length: 9\r\n\r\nhalf",
		head + "Transfer-Encoding: chunked\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n4",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nha", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-T: 1\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n", "noise", "HTTP/1.1 200 OK\nContent-Length: 1\n\n1",
	} {
		opt, s := options(5)
		b := New(standin.NewBackend(t, func(c *standin.Call) { c.WriteRaw(text); c.Reset() }).Addr(), opt)
		a := exchangeInTime(t, b, shortContext(t), &Request{Render: get, Timeout: time.Minute})
		if a.Err == nil || a.Stage < Written || a.Status != 0 {
			t.Errorf("%q: got %+v", text, a)
		}
		if b.IdleCount() != 0 || s.free.Load() != 5 {
			t.Errorf("%q: %d idle, %d descriptors", text, b.IdleCount(), s.free.Load())
		}
	}
}
