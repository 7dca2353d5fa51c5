package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests long messages, which are streamed, and the forms that messages may have.

// Long requests and responses are streamed without loss, with a content length and in chunks. Many
// at a time add up to far more than the memory limit. Connections stay usable afterwards.
func TestLongMessages(t *testing.T) {
	const size = 4 << 20
	answer := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	b := standin.NewBackend(t, func(c *standin.Call) {
		switch {
		case c.RequestURI == "/api/chunks":
			c.WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for i := 0; i < size; i += 100_000 {
				part := answer[i:min(size, i+100_000)]
				c.WriteRaw(fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
			}
			c.WriteRaw("0\r\n\r\n")
		case c.Method == "GET":
			c.Reply(200, string(answer))
		default:
			c.Reply(200, strconv.Itoa(len(c.BodyText)))
		}
	})
	r := newPlatform(t, 256, discoveryList(b)).start()
	var tasks sync.WaitGroup
	chunked := &strings.Builder{}
	for i := 0; i < size; i += 70_001 {
		part := answer[i:min(size, i+70_001)]
		fmt.Fprintf(chunked, "%x;x=y\r\n%s\r\n", len(part), part)
	}
	chunked.WriteString("0\r\nX-Sum: 3\r\n\r\n")
	for range 20 { // 320 MB in all, through a proxy with 192 MB
		tasks.Go(func() {
			c := r.dial()
			for _, a := range []struct{ method, uri, length, body, want string }{
				{"GET", "/api", "", "", string(answer)},
				{"GET", "/api/chunks", "", "", string(answer)},
				{"POST", "/api", "Content-Length: " + strconv.Itoa(size), string(answer), strconv.Itoa(size)},
				{"POST", "/api", "Transfer-Encoding: chunked", chunked.String(), strconv.Itoa(size)},
			} {
				class := map[string]string{"GET": "get", "POST": "put"}[a.method]
				for {
					var more []string
					if a.length != "" {
						more = append(more, a.length)
					}
					var got response
					got, c = r.roundTripReconnecting(c, requestHead(a.method, a.uri, class, 2000, more...)+a.body)
					if got.status == 503 && got.header.Get("Retry-After") != "" { // refused by the concurrency limit
						time.Sleep(20 * time.Millisecond)
						continue
					}
					if got.status != 200 || got.body != a.want {
						t.Errorf("%s %s %s: %d with %d bytes", a.method, a.uri, a.length, got.status, len(got.body))
					}
					break
				}
			}
		})
	}
	tasks.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if m == nil {
		t.Fatal("no VmHWM")
	}
	// The race detector multiplies the program's memory; without it the peak is 20 MB.
	if most, _ := strconv.Atoi(string(m[1])); most > 192<<10 {
		t.Errorf("peak memory %d kB, limit 192 MB", most)
	}
}

// The first bytes of a long response are forwarded without waiting for the rest, and a response
// that the backend truncates is not passed on as complete.
func TestLongAnswerFirstBytes(t *testing.T) {
	more := make(chan bool)
	b := standin.NewBackend(t, func(c *standin.Call) {
		if c.RequestURI == "/api/chunks" {
			c.WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhead\r\n")
		} else {
			c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nhead")
		}
		<-more
		if c.RequestURI != "/api/whole" {
			c.Close()
			return
		}
		c.WriteRaw(strings.Repeat("x", 100000-4))
	})
	r := newPlatform(t, 256, discoveryList(b)).start()
	for _, uri := range []string{"/api/chunks", "/api/short", "/api/whole"} {
		c := r.dial()
		c.send(requestHead("GET", uri, "get", 2000))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		var first [4]byte
		if _, err := io.ReadFull(resp.Body, first[:]); err != nil || string(first[:]) != "head" {
			t.Fatalf("%s: first %q, %v", uri, first, err)
		}
		more <- true
		_, err = io.ReadAll(resp.Body)
		if whole := uri == "/api/whole"; whole != (err == nil) {
			t.Errorf("%s: read of the rest: %v", uri, err)
		}
	}
	r.eventually("one fulfilled, two faulted", func() bool {
		f := r.metrics()
		return f[`fulfilled{priority="get"}`] == 1 && f[`faulted{priority="get"}`] == 2
	})
}

// A response that a backend sends before the end of a long body is passed on. A request that must
// not run twice is not retried once part of it was sent. The client's connection stays usable.
func TestLongBodyRejected(t *testing.T) {
	ln, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var heads counter
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer ln.Close()
	tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				defer c.Close()
				buf := make([]byte, 64<<10)
				if n, _ := c.Read(buf); n == 0 {
					return
				}
				heads.increment()
				io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
				io.Copy(io.Discard, c)
			})
		}
	})
	r := newPlatform(t, 256, standin.ListJSON(1, true, standin.TargetJSON("s-0", ln.Addr().String()))).start()
	c := r.dial()
	body := strings.Repeat("x", 1<<20)
	// The client sends no more until it has the response. Guards against a proxy that notices
	// the backend's response only when it forwards the next part of the body.
	c.send(requestHead("POST", "/api", "pay", 2000, "Content-Length: "+strconv.Itoa(len(body))) + body[:100_000])
	got := c.read()
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", got)
	}
	c.send(body[100_000:])
	if n := heads.swap(0); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
	if got := c.roundTrip(getRequest(2000)); got.status != 503 {
		t.Errorf("afterwards: got %+v", got)
	}
}

// All valid forms of messages are served: responses to HTTP/1.0 clients, requests with Expect:
// 100-continue, and responses from backends that are delimited by the close of the connection.
func TestMessageForms(t *testing.T) {
	long := strings.Repeat("0123456789", 20_000)
	b := standin.NewBackend(t, func(c *standin.Call) {
		switch c.RequestURI {
		case "/api/end": // no content length, delimited by close
			c.WriteRaw("HTTP/1.1 200 OK\r\n\r\n" + long)
			c.Close()
		case "/api/end/short":
			c.WriteRaw("HTTP/1.0 200 OK\r\n\r\nshort")
			c.Close()
		case "/api/chunks":
			c.WriteRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x;x=y\r\n%s\r\n0\r\nX-T: 1\r\n\r\n",
				len(long), long))
		default:
			c.Reply(200, strconv.Itoa(len(c.BodyText)))
		}
	})
	r := newPlatform(t, 256, discoveryList(b)).start()
	for uri, want := range map[string]string{"/api/end": long, "/api/end/short": "short", "/api/chunks": long} {
		c := r.dial()
		if got := c.roundTrip(requestHead("GET", uri, "get", 2000)); got.status != 200 || got.body != want {
			t.Errorf("%s: %d with %d bytes", uri, got.status, len(got.body))
		}
		if got := c.roundTrip(postRequest("pay", "then", 2000)); got.status != 200 || got.body != "4" {
			t.Errorf("after %s: %+v", uri, got)
		}
		old := r.dial()
		old.send(strings.Replace(requestHead("GET", uri, "get", 2000), "HTTP/1.1", "HTTP/1.0", 1))
		text, err := io.ReadAll(old.r)
		resp, body, _ := strings.Cut(string(text), "\r\n\r\n")
		if err != nil || body != want || strings.Contains(resp, "chunked") {
			t.Errorf("%s to HTTP/1.0: %d bytes after head %.80q, %v", uri, len(body), resp, err)
		}
	}
	for _, size := range []int{10, 200_000} {
		c := r.dial()
		c.send(requestHead("POST", "/api", "pay", 2000, "Expect: 100-continue", "Content-Length: "+strconv.Itoa(size)))
		line, err := c.r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
			t.Fatalf("100 Continue: got %q, %v", line, err)
		}
		c.r.ReadString('\n')
		c.send(long[:size])
		if got := c.read(); got.status != 200 || got.body != strconv.Itoa(size) {
			t.Errorf("after 100 Continue, with %d bytes: got %+v", size, got)
		}
	}
}

// A client that disconnects in the middle of a long body, or sends a malformed one, holds no
// resources at the backend and does not affect other clients. Its request never runs.
func TestLongBodyAborted(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	r := newPlatform(t, 256, discoveryList(b)).start()
	calls := b.RequestCount()
	gone := r.dial()
	gone.send(requestHead("POST", "/api", "pay", 2000, "Content-Length: 1000000") + strings.Repeat("x", 300_000))
	gone.Close()
	malformed := r.dial()
	malformed.send(requestHead("POST", "/api", "pay", 2000, "Transfer-Encoding: chunked") +
		"30000\r\n" + strings.Repeat("x", 0x30000) + "\r\nzz\r\n")
	if got := malformed.read(); got.status != 400 {
		t.Errorf("malformed chunk: got %+v", got)
	}
	excess := r.dial()
	excess.send(requestHead("POST", "/api", "pay", 2000, "Content-Length: 200000") + strings.Repeat("x", 200_000) + "noise")
	if got := excess.read(); got.status != 400 {
		t.Errorf("more than the content length: got %+v", got)
	}
	if got := r.dial().roundTrip(getRequest(2000)); got.status != 200 {
		t.Errorf("afterwards: got %+v", got)
	}
	if n := b.RequestCount() - calls; n > 2 { // the one with a complete body, and the last one
		t.Errorf("%d requests at the backend, want at most 2", n)
	}
	r.eventually("no open requests", func() bool { return r.metrics()["open_requests"] == 0 })
}
