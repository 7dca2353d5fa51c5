package main

import (
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// How attempts at a backend end, which are tried again, and the client's answer.

// Each way an attempt can end, for a class that may run again and one that must
// not: how often backends are called, and the answer.
func TestAttemptOutcomes(t *testing.T) {
	truncated := "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
	for _, c := range []struct {
		name      string
		first     func(*standin.Call)
		payStatus       int // its answer to the class that must not run twice
		payCalls int
	}{
		{"error", func(c *standin.Call) { c.Reply(500, "no") }, 502, 1},
		{"turned away", func(c *standin.Call) { c.Reply(503, "", "X-Not-Processed: 1") }, 200, 2},
		{"too late there", func(c *standin.Call) { c.Reply(504, "", "X-Not-Processed: 1") }, 200, 2},
		{"503 that says no more", func(c *standin.Call) { c.Reply(503, "") }, 502, 1},
		{"closed", (*standin.Call).Close, 502, 1},
		{"reset", (*standin.Call).Reset, 502, 1},
		{"broken body", func(c *standin.Call) { c.WriteRaw(truncated); c.Close() }, 502, 1},
		{"garbage", func(c *standin.Call) { c.WriteRaw("\x00\x01\r\n\r\n") }, 502, 1},
		{"noise that goes on", func(c *standin.Call) { c.WriteRaw("\x00\x01"); c.Hang() }, 502, 1},
		{"another protocol", func(c *standin.Call) { c.WriteRaw("ICY 200 OK\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"words in disorder", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"status no number", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"line without a colon", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"head without end", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", 3000))
			c.Hang()
		}, 502, 1},
		{"two lengths", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")
		}, 502, 1},
		{"length and coding", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		}, 502, 1},
		{"length below zero", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok") }, 502, 1},
		{"bad chunk", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok") }, 502, 1},
		{"until its end, cut off by a reset", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\n\r\nok")
			time.Sleep(20 * time.Millisecond)
			c.Reset()
		}, 502, 1},
		{"neither length nor body", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\n\r\n"); c.Close() }, 502, 1},
		{"3 GB", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
			for line := strings.Repeat("x", 1<<16); ; {
				if _, err := io.WriteString(c.Conn, line); err != nil {
					return
				}
			}
		}, 502, 1},
		{"1xx without end", func(c *standin.Call) { c.WriteRaw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)) }, 502, 1},
		{"another protocol from here", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 101 Switching Protocols\r\n\r\n") }, 502, 1},
		{"answer too large", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx") }, 502, 1},
		{"silent", (*standin.Call).Hang, 502, 1},
		{"hangs in the body", func(c *standin.Call) { c.WriteRaw(truncated); c.Hang() }, 502, 1},
		{"dribbles", (*standin.Call).TrickleBody, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			calls := counter{n: 1} // none is the first yet
			handle := func(call *standin.Call) {
				if calls.increment() == 1 {
					c.first(call)
					return
				}
				standin.Echo(call)
			}
			r := startWithBackends(t, standin.NewBackend(t, handle), standin.NewBackend(t, handle))
			cl := r.dial()
			r.fillRetryBudget(cl)
			calls.swap(0)
			began := time.Now()
			if got := cl.roundTrip(getRequest(2000)); got.status != 200 || got.body != "GET /api " {
				t.Errorf("may run again: got %d %q", got.status, got.body)
			}
			if n := calls.swap(0); n != 2 {
				t.Errorf("may run again: %d calls", n)
			}
			if took := time.Since(began); took > 2*time.Second+maxWait/10 {
				t.Errorf("answered after %v, 2 s allowed", took)
			}
			began = time.Now()
			if got := cl.roundTrip(postRequest("pay", "x", 1000)); got.status != c.payStatus {
				t.Errorf("must not run twice: got %d %q", got.status, got.body)
			}
			if n := calls.swap(1); n != c.payCalls {
				t.Errorf("must not run twice: %d calls", n)
			}
			if took := time.Since(began); took > 1070*time.Millisecond+maxWait/10 {
				t.Errorf("answered after %v, 1 s allowed", took)
			}
			// Whatever came of it, the connection goes on.
			if got := cl.roundTrip(getRequest(2000)); got.status != 200 {
				t.Errorf("then: got %d", got.status)
			}
		})
	}
}

// Good answers that bring more than belongs to them are served, and what they bring
// does no harm to the next.
func TestExcessResponseBytes(t *testing.T) {
	for name, answer := range map[string]func(*standin.Call){
		"a second copy": func(c *standin.Call) {
			c.WriteRaw(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", 2))
		},
		"noise behind": func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\x00\xff") },
		"load report":  func(c *standin.Call) { c.Reply(200, "first", `X-Server-Load: {"=,%%%`) },
		"1xx ahead": func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
				"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := standin.NewBackend(t, func(c *standin.Call) {
				if c.Number%2 == 1 {
					answer(c)
					return
				}
				c.Reply(200, "next")
			})
			r := startWithBackends(t, b)
			c := r.dial()
			for range 5 {
				for _, want := range []string{"first", "next"} {
					if got := c.roundTrip(postRequest("pay", "x", 2000)); got.status != 200 || got.body != want {
						t.Fatalf("got %+v, want %s", got, want)
					}
				}
			}
			if b.RequestCount() != 10 {
				t.Errorf("%d calls", b.RequestCount())
			}
		})
	}
}

// What never ran may go elsewhere, and is refused, not failed, where there is
// nowhere: with a decimal time to come back.
func TestNoBackendReachable(t *testing.T) {
	gone := standin.NewBackend(t, standin.Echo)
	gone.Stop()
	r := startWithBackends(t, gone)
	got := r.dial().roundTrip(postRequest("pay", "x", 1000))
	if got.status != 503 {
		t.Errorf("got %+v", got)
	}
	if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 1.5 {
		t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
	}
}

// A request that must not run twice goes to another backend when the first
// connection breaks before all of it was written, and only then.
func TestPartlyWrittenRequest(t *testing.T) {
	// Small segments and a small window: the system takes only a part of the
	// request from a sender whose peer does not read.
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 200)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
		})
	}}
	ln, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var broken counter
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			broken.increment()
			time.Sleep(50 * time.Millisecond)
			nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}
	}()
	b := standin.NewBackend(t, func(c *standin.Call) { c.Reply(200, strconv.Itoa(len(c.BodyText))) })
	list := standin.ListJSON(1, true, standin.TargetJSON("s-0", ln.Addr().String()), standin.TargetJSON("s-1", b.Addr()))
	r := startProgram(t, standin.NewDiscovery(t, list).Addr(), 256, list)
	for range 4 { // the two take turns
		if got := r.dial().roundTrip(postRequest("pay", strings.Repeat("x", 64<<10), 2000)); got.status != 200 || got.body != "65536" {
			t.Errorf("got %+v", got)
		}
	}
	if n := broken.swap(0); n == 0 {
		t.Error("the backend that does not read was not tried")
	}
}

// Guards against a request for which an idle connection has been closed, and
// which must not run twice.
func TestIdleClosedByBackend(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	r := startWithBackends(t, b)
	c := r.dial()
	for range 5 {
		if got := c.roundTrip(postRequest("pay", "x", 2000)); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
		b.CloseConns()
		r.eventually("cut", func() bool { _, open := b.ConnCounts(); return open == 0 })
	}
}

// A backend that has been given up sees its connection closed before the next
// attempt goes out.
func TestAbandonedAttemptIsClosed(t *testing.T) {
	closed := make(chan bool, 1)
	calls := counter{n: 2} // neither the first nor the second yet
	handle := func(c *standin.Call) {
		n := calls.increment()
		if n == 1 {
			c.Hang()
			closed <- true
			return
		}
		if n > 2 {
			standin.Echo(c)
			return
		}
		// The end of the first connection was sent before: it is noticed.
		select {
		case <-closed:
			standin.Echo(c)
		case <-time.After(time.Second):
			c.Reply(500, "the first attempt is still out")
		}
	}
	r := startWithBackends(t, standin.NewBackend(t, handle), standin.NewBackend(t, handle))
	c := r.dial()
	r.fillRetryBudget(c)
	calls.swap(0)
	if got := c.roundTrip(getRequest(2000)); got.status != 200 {
		t.Errorf("got %+v", got)
	}
	if n := calls.swap(0); n != 2 {
		t.Errorf("%d calls", n)
	}
}

// What a backend says is the caller's fault is passed on as that, tried nowhere
// else, and says nothing against the backend.
func TestBackendReportsClientError(t *testing.T) {
	calls := counter{}
	handle := func(c *standin.Call) {
		calls.increment()
		if c.RequestURI == "/odd" {
			c.Reply(400, "no")
			return
		}
		standin.Echo(c)
	}
	r := startWithBackends(t, standin.NewBackend(t, handle), standin.NewBackend(t, handle))
	c := r.dial()
	for range 20 {
		if got := c.roundTrip(requestHead("GET", "/odd", "get", 2000)); got.status != 400 {
			t.Errorf("got %+v", got)
		}
	}
	if n := calls.swap(0); n != 20 {
		t.Errorf("%d calls for 20 requests", n)
	}
	r.fillRetryBudget(c)
}
