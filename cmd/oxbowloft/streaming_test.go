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

// Long messages, which pass through in parts, and the forms that messages come in.

// Long bodies and answers pass through whole, by length and in chunks, many at a time
// and far more than the memory holds; the connection goes on afterwards.
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
	for range 20 { // 320 MB in all, of a proxy with 192
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
					if got.status == 503 && got.header.Get("Retry-After") != "" { // as the module sees fit
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
	// The race detector multiplies what a program holds; without it the most is 20 MB.
	if most, _ := strconv.Atoi(string(m[1])); most > 192<<10 {
		t.Errorf("%d kB of memory at most", most)
	}
}

// The first bytes of a long answer don't wait for the rest, and one that stops short is
// seen to by the client.
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
			t.Errorf("%s: the rest: %v", uri, err)
		}
	}
	r.eventually("one whole, two cut short", func() bool {
		f := r.metrics()
		return f[`fulfilled{priority="get"}`] == 1 && f[`faulted{priority="get"}`] == 2
	})
}

// What a backend says before the end of a long body is the answer, an unsafe request is
// not sent again once a part of it has gone, and the connection goes on.
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
	// It sends no more until it has the answer: guards against one that is seen only with
	// the next part.
	c.send(requestHead("POST", "/api", "pay", 2000, "Content-Length: "+strconv.Itoa(len(body))) + body[:100_000])
	got := c.read()
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", got)
	}
	c.send(body[100_000:])
	if n := heads.swap(0); n != 1 {
		t.Errorf("sent %d times", n)
	}
	if got := c.roundTrip(getRequest(2000)); got.status != 503 {
		t.Errorf("then %+v", got)
	}
}

// All forms in which a message may come and an answer may end are served: to an
// HTTP/1.0 client, to one that waits for leave to send, and from a backend whose answer
// lasts as long as its connection.
func TestMessageForms(t *testing.T) {
	long := strings.Repeat("0123456789", 20_000)
	b := standin.NewBackend(t, func(c *standin.Call) {
		switch c.RequestURI {
		case "/api/end": // no length, ends with the connection
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
			t.Errorf("%s to HTTP/1.0: %d bytes behind %.80q, %v", uri, len(body), resp, err)
		}
	}
	for _, size := range []int{10, 200_000} {
		c := r.dial()
		c.send(requestHead("POST", "/api", "pay", 2000, "Expect: 100-continue", "Content-Length: "+strconv.Itoa(size)))
		line, err := c.r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
			t.Fatalf("leave to send: %q, %v", line, err)
		}
		c.r.ReadString('\n')
		c.send(long[:size])
		if got := c.read(); got.status != 200 || got.body != strconv.Itoa(size) {
			t.Errorf("after leave to send %d: %+v", size, got)
		}
	}
}

// A client that leaves or spoils its long body half way costs its backend nothing and
// nobody else anything; the request never runs.
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
		t.Errorf("spoilt: %+v", got)
	}
	excess := r.dial()
	excess.send(requestHead("POST", "/api", "pay", 2000, "Content-Length: 200000") + strings.Repeat("x", 200_000) + "noise")
	if got := excess.read(); got.status != 400 {
		t.Errorf("more than told: %+v", got)
	}
	if got := r.dial().roundTrip(getRequest(2000)); got.status != 200 {
		t.Errorf("then %+v", got)
	}
	if n := b.RequestCount() - calls; n > 2 { // the one that was whole, and the last
		t.Errorf("%d calls", n)
	}
	r.eventually("nothing open", func() bool { return r.metrics()["open_requests"] == 0 })
}
