//go:build review

// The rig of case 1: one proxy, four backends in other data centres, usual clients. Some good
// answers come twice, the second some milliseconds late and only while nothing else waits on
// the connection.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowloft/review/lab"
)

const (
	oneWay     = 10 * time.Millisecond // the site: 7 to 13 ms one way between data centres
	secondLate = 6 * time.Millisecond  // "a second answer may come some milliseconds late"
	spoilt     = 0.1                   // share of the answers that come twice
	length     = 30 * time.Second
	perSecond  = 60.0 // "a proxy sees some tens of requests a second at most"
)

// relay is the way to another data centre: bytes arrive later by oneWay, in their order.
func relay(l *lab.Lab, to string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				b, err := net.Dial("tcp", to)
				if err != nil {
					c.(*net.TCPConn).SetLinger(0)
					c.Close()
					return
				}
				go pass(c, b)
				go pass(b, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func pass(from, to net.Conn) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 1000)
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(oneWay), b[:n]}
			}
			if err != nil {
				pieces <- piece{time.Now().Add(oneWay), nil}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			to.(*net.TCPConn).CloseWrite()
			return
		}
		to.Write(p.data)
	}
}

// backend serves by the protocol page: it answers a request with a body made for it.
type backend struct {
	l      *lab.Lab
	uid    string
	copies *atomic.Int64
}

func (b *backend) listen() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	b.l.Must(err)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return ln.Addr().String()
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	var (
		mu      sync.Mutex
		arrived int64 // bytes that have come on the connection
	)
	r := bufio.NewReader(readerFunc(func(p []byte) (int, error) {
		n, err := c.Read(p)
		mu.Lock()
		arrived += int64(n)
		mu.Unlock()
		return n, err
	}))
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-ID")
		b.l.Log("run backend=%s id=%s class=%s", b.uid, id, req.Header.Get("X-Priority-Class"))
		time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
		body := "made for " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		mu.Lock()
		_, err = io.WriteString(c, answer)
		before := arrived
		mu.Unlock()
		b.l.Log("answered backend=%s id=%s", b.uid, id)
		if err != nil {
			return
		}
		if b.l.Trouble && rand.Float64() < spoilt {
			time.AfterFunc(secondLate, func() {
				mu.Lock()
				defer mu.Unlock()
				if arrived != before { // another request has come: nothing more than its answer is sent
					return
				}
				b.copies.Add(1)
				b.l.Log("second_copy backend=%s id=%s bytes_behind_the_request=%d", b.uid, id, arrived-before)
				io.WriteString(c, answer)
			})
		}
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func main() {
	l := lab.New()
	l.Log("limits one_way=%v second_copy_after=%v share=%v requests_a_second=%v", oneWay, secondLate, spoilt, perSecond)
	var copies, served, refused, failed, lost, foreign atomic.Int64
	var targets []lab.Target
	for i, zone := range []string{"athens-2", "thessaloniki", "patras", "heraklion"} {
		uid := fmt.Sprintf("s-%d", i+1)
		b := &backend{l, uid, &copies}
		targets = append(targets, lab.NewTarget(uid, relay(l, b.listen()), zone))
	}
	d := l.NewDiscovery(targets)
	listen := l.FreeAddr()
	p := l.StartProxy(lab.Config{Name: "n1", Listen: listen, Discovery: d.Addr(), MemoryMB: 192, Sockets: 1024, Known: targets})

	classes := []struct {
		name, method string
		ms           int
	}{{"latest-tile", "GET", 2000}, {"loop-tile", "GET", 2500}, {"alert-signup", "POST", 3000}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 2 * time.Second, DisableCompression: true}}
	var open sync.WaitGroup
	next := time.Now()
	for n := range int(perSecond * length.Seconds()) {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		c, id := classes[n%3], fmt.Sprintf("%016x", rand.Uint64())
		open.Go(func() {
			req, _ := http.NewRequest(c.method, "http://"+listen+"/api", nil)
			req.Header.Set("X-Request-ID", id)
			req.Header.Set("X-Priority-Class", c.name)
			req.Header.Set("X-Timeout-Ms", fmt.Sprint(c.ms))
			l.Log("sent id=%s class=%s", id, c.name)
			resp, err := client.Do(req)
			if err != nil {
				lost.Add(1)
				l.Log("answer id=%s class=%s none err=%q", id, c.name, err)
				return
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			l.Log("answer id=%s class=%s status=%d body=%q err=%v", id, c.name, resp.StatusCode, body, err)
			switch {
			case resp.StatusCode == 200 && (err != nil || string(body) != "made for "+id):
				foreign.Add(1)
				l.Log("FOREIGN id=%s got=%q", id, body)
			case resp.StatusCode == 200:
				served.Add(1)
			case resp.StatusCode == 503 || resp.StatusCode == 429:
				refused.Add(1)
			default:
				failed.Add(1)
			}
		})
	}
	open.Wait()
	for _, line := range strings.Split(p.LogText(), "\n") {
		if line != "" {
			l.Log("proxy %s", line)
		}
	}
	text := fmt.Sprintf("served=%d refused=%d failed=%d unanswered=%d second_copies=%d foreign=%d",
		served.Load(), refused.Load(), failed.Load(), lost.Load(), copies.Load(), foreign.Load())
	switch {
	case foreign.Load() > 0:
		l.End(lab.Broken, "%s", text)
	case served.Load() < 1000 || p.Ended():
		l.End(lab.CouldNot, "%s", text)
	}
	l.End(lab.Held, "%s", text)
}
