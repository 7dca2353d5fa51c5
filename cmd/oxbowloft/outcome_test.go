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

// This file tests the outcomes of attempts: which are retried, and what the client gets.

// For each way in which an attempt can end, an idempotent request and one that must not run twice
// cause the right number of attempts and get the right response.
func TestAttemptOutcomes(t *testing.T) {
	truncated := "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
	for _, c := range []struct {
		name      string
		first     func(*standin.Call)
		payStatus int // response status for the class that must not run twice
		payCalls  int
	}{
		{"error", func(c *standin.Call) { c.Reply(500, "no") }, 502, 1},
		{"rejected", func(c *standin.Call) { c.Reply(503, "", "X-Not-Processed: 1") }, 200, 2},
		{"deadline passed at the backend", func(c *standin.Call) { c.Reply(504, "", "X-Not-Processed: 1") }, 200, 2},
		{"503 without X-Not-Processed", func(c *standin.Call) { c.Reply(503, "") }, 502, 1},
		{"closed", (*standin.Call).Close, 502, 1},
		{"reset", (*standin.Call).Reset, 502, 1},
		{"truncated body", func(c *standin.Call) { c.WriteRaw(truncated); c.Close() }, 502, 1},
		{"malformed head", func(c *standin.Call) { c.WriteRaw("\x00\x01\r\n\r\n") }, 502, 1},
		{"binary data, then silence", func(c *standin.Call) { c.WriteRaw("\x00\x01"); c.Hang() }, 502, 1},
		{"another protocol", func(c *standin.Call) { c.WriteRaw("ICY 200 OK\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"status line out of order", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"status is no number", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"header without a colon", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok") }, 502, 1},
		{"endless head", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", 3000))
			c.Hang()
		}, 502, 1},
		{"two lengths", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")
		}, 502, 1},
		{"content length and transfer coding", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		}, 502, 1},
		{"length below zero", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok") }, 502, 1},
		{"bad chunk", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok") }, 502, 1},
		{"delimited by close, ended by a reset", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\n\r\nok")
			time.Sleep(20 * time.Millisecond)
			c.Reset()
		}, 502, 1},
		{"no content length and no body", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\n\r\n"); c.Close() }, 502, 1},
		{"3 GB", func(c *standin.Call) {
			c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
			for line := strings.Repeat("x", 1<<16); ; {
				if _, err := io.WriteString(c.Conn, line); err != nil {
					return
				}
			}
		}, 502, 1},
		{"endless 1xx", func(c *standin.Call) { c.WriteRaw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)) }, 502, 1},
		{"protocol switch", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 101 Switching Protocols\r\n\r\n") }, 502, 1},
		{"response too large", func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx") }, 502, 1},
		{"no response", (*standin.Call).Hang, 502, 1},
		{"hangs in the body", func(c *standin.Call) { c.WriteRaw(truncated); c.Hang() }, 502, 1},
		{"body one byte at a time", (*standin.Call).TrickleBody, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			calls := counter{n: 1} // not 0, so that no request counts as the first yet
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
				t.Errorf("idempotent: got %d %q", got.status, got.body)
			}
			if n := calls.swap(0); n != 2 {
				t.Errorf("idempotent: %d attempts, want 2", n)
			}
			if took := time.Since(began); took > 2*time.Second+maxWait/10 {
				t.Errorf("idempotent: response after %v, deadline 2 s", took)
			}
			began = time.Now()
			if got := cl.roundTrip(postRequest("pay", "x", 1000)); got.status != c.payStatus {
				t.Errorf("must not run twice: got %d %q", got.status, got.body)
			}
			if n := calls.swap(1); n != c.payCalls {
				t.Errorf("must not run twice: %d attempts", n)
			}
			if took := time.Since(began); took > 1070*time.Millisecond+maxWait/10 {
				t.Errorf("must not run twice: response after %v, deadline 1 s", took)
			}
			// In every case the client's connection stays usable.
			if got := cl.roundTrip(getRequest(2000)); got.status != 200 {
				t.Errorf("afterwards: got %d", got.status)
			}
		})
	}
}

// Valid responses that are followed by excess bytes are served, and the excess does not affect the
// next response.
func TestExcessResponseBytes(t *testing.T) {
	for name, answer := range map[string]func(*standin.Call){
		"duplicated response": func(c *standin.Call) {
			c.WriteRaw(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", 2))
		},
		"excess bytes": func(c *standin.Call) { c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\x00\xff") },
		"load report":  func(c *standin.Call) { c.Reply(200, "first", `X-Server-Load: {"=,%%%`) },
		"1xx before the response": func(c *standin.Call) {
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
				t.Errorf("%d requests at the backend, want 10", b.RequestCount())
			}
		})
	}
}

// A request that never reached a backend may go to another one. Where there is none it is refused,
// not failed, with a Retry-After in decimal seconds.
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

// A request that must not run twice is retried at another backend if the first connection breaks
// before the whole request was written, and only then.
func TestPartlyWrittenRequest(t *testing.T) {
	// With small segments and a small receive window the kernel takes only part of a request to
	// a peer that doesn't read.
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
	for range 4 { // the backends are used in turn
		if got := r.dial().roundTrip(postRequest("pay", strings.Repeat("x", 64<<10), 2000)); got.status != 200 || got.body != "65536" {
			t.Errorf("got %+v", got)
		}
	}
	if n := broken.swap(0); n == 0 {
		t.Error("no attempt at the backend that does not read")
	}
}

// A backend closes its idle connections, and the next request must not run twice. Guards against
// the failure of such a request on a connection that is already closed.
func TestIdleClosedByBackend(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	r := startWithBackends(t, b)
	c := r.dial()
	for range 5 {
		if got := c.roundTrip(postRequest("pay", "x", 2000)); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
		b.CloseConns()
		r.eventually("connections closed", func() bool { _, open := b.ConnCounts(); return open == 0 })
	}
}

// The connection of an abandoned attempt is closed before the next attempt is sent.
func TestAbandonedAttemptIsClosed(t *testing.T) {
	closed := make(chan bool, 1)
	calls := counter{n: 2} // not 0 or 1, so that no request counts as the first or second yet
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
		// The FIN of the first connection was sent before this request, so that it must arrive
		// within the timeout.
		select {
		case <-closed:
			standin.Echo(c)
		case <-time.After(time.Second):
			c.Reply(500, "the first attempt is still open")
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
		t.Errorf("%d attempts, want 2", n)
	}
}

// A 4xx response from a backend is passed on to the client, is not retried, and does not count as
// a failure of the backend.
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
		t.Errorf("%d attempts for 20 requests", n)
	}
	r.fillRetryBudget(c)
}
