package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// longAnswers: many long answers are under way at once, each from a backend that takes seconds
// to write it. Each has to arrive whole.
func longAnswers(l *lab) int {
	const (
		memoryMB    = 64
		sockets     = 1024
		clients     = 260 // under a third of the descriptors
		perSecond   = 80
		answerBytes = 192 << 10
		pieceBytes  = 8 << 10
		deadline    = 2 * time.Second
	)
	writeTime := 4 * time.Second // of one answer
	if !l.trouble {
		writeTime = 0
	}
	bodyOf := func(id string) string { return strings.Repeat(id+"\n", answerBytes/(len(id)+1)+1)[:answerBytes] }

	type exchange struct {
		written atomic.Int64 // bytes of the body that the backend has written
		err     atomic.Value // why the backend could not go on
	}
	var mu sync.Mutex
	exchanges := map[string]*exchange{}
	backend := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		e := &exchange{}
		mu.Lock()
		exchanges[id] = e
		mu.Unlock()
		body := bodyOf(id)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		pieces := (len(body) + pieceBytes - 1) / pieceBytes
		for len(body) > 0 {
			n := min(pieceBytes, len(body))
			if _, err := io.WriteString(w, body[:n]); err != nil {
				e.err.Store(err.Error())
				return
			}
			w.(http.Flusher).Flush()
			e.written.Add(int64(n))
			body = body[n:]
			time.Sleep(writeTime / time.Duration(pieces))
		}
	}
	var targets []target
	for i := range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		l.check(err)
		go (&http.Server{Handler: http.HandlerFunc(backend)}).Serve(ln)
		targets = append(targets, target{UID: fmt.Sprintf("s-%d", i), Endpoint: ln.Addr().String(), Zone: "athens-1", Model: "front-fast",
			Group: i, State: "in_service", Capacity: 1})
	}
	d, listen := l.startDiscovery(targets), l.freeAddr()
	config := l.writeConfig("n1", radarConfig(listen, d.addr, targets, memoryMB, sockets))
	p := l.startProxy("n1", config, nil, "TMPDIR="+l.temp)
	l.awaitReady(listen)
	l.logf("limits: memory_mb=%d sockets=%d; %d answers of %d bytes, each written in %v, one begun every %v",
		memoryMB, sockets, clients, answerBytes, writeTime, time.Second/perSecond)

	var whole, refused, failed, cut, atBackend atomic.Int64
	var tasks sync.WaitGroup
	ask := func(n int) {
		id := fmt.Sprintf("%016x", 0x5eed0000+n)
		began := time.Now()
		status, got, err := fetch(listen, request("GET", id, "latest-tile", deadline, ""))
		mu.Lock()
		e := exchanges[id]
		mu.Unlock()
		written, why := int64(0), any(nil)
		if e != nil {
			time.Sleep(300 * time.Millisecond) // until the backend has noticed a close
			written, why = e.written.Load(), e.err.Load()
		}
		took := time.Since(began).Seconds()
		switch {
		case status == 200 && err == nil && got == bodyOf(id):
			whole.Add(1)
			l.logf("id=%s whole took=%.2f", id, took)
		case status == 200:
			cut.Add(1)
			if why != nil {
				atBackend.Add(1)
			}
			l.logf("id=%s CUT SHORT took=%.2f: client got %d of %d bytes (%v); backend had written %d when its connection was ended (%v)",
				id, took, len(got), answerBytes, err, written, why)
		case status == 503 || status == 429:
			refused.Add(1)
			l.logf("id=%s refused %d took=%.2f", id, status, took)
		default:
			failed.Add(1)
			l.logf("id=%s failed %d %v took=%.2f", id, status, err, took)
		}
	}
	for n := range clients {
		tasks.Go(func() { ask(n) })
		time.Sleep(time.Second / perSecond)
	}
	tasks.Wait()
	l.check(exitedEarly(p))
	l.keepLog(p, "stats", "panic", "accept_failed")
	l.verdictf("answers whole=%d cut_short=%d (of these the backend was still writing: %d) refused=%d failed=%d",
		whole.Load(), cut.Load(), atBackend.Load(), refused.Load(), failed.Load())
	if whole.Load() < clients/4 {
		l.check(errors.New("too few answers were served to judge"))
	}
	if atBackend.Load() > 0 {
		l.verdictf("rule broken: lost")
		return ruleBroken
	}
	return ruleHeld
}

func exitedEarly(p *process) error {
	if p.hasExited() {
		return errors.New(p.name + " has ended")
	}
	return nil
}

// fetch sends a request on a new connection and reads the answer to its end.
func fetch(addr, text string) (status int, body string, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}
