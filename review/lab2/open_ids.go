//go:build review

package lab2

import (
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

// openIDs: bad clients send the id of another client's open request, while its long answer is on
// its way. Theirs must not run, and must not be served.
func openIDs(l *lab) int {
	const (
		requests    = 10
		answerBytes = 192 << 10
		pieceBytes  = 8 << 10
		writeTime   = 4 * time.Second // of one answer
		firstByte   = 400 * time.Millisecond
	)
	var mu sync.Mutex
	runs := map[string][]string{} // by id: the bodies of the requests that have run
	backend := func(uid string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Request-ID")
			mu.Lock()
			runs[id] = append(runs[id], string(body))
			mu.Unlock()
			l.logf("%s runs id=%s body=%q", uid, id, body)
			answer := strings.Repeat(fmt.Sprintf("%s %s\n", id, body), answerBytes/16)[:answerBytes]
			time.Sleep(firstByte)
			w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
			for len(answer) > 0 {
				if _, err := io.WriteString(w, answer[:pieceBytes]); err != nil {
					return
				}
				w.(http.Flusher).Flush()
				answer = answer[pieceBytes:]
				time.Sleep(writeTime / (answerBytes / pieceBytes))
			}
		}
	}
	var targets []target
	for i := range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		l.check(err)
		uid := fmt.Sprintf("s-%d", i+1)
		go (&http.Server{Handler: backend(uid)}).Serve(ln)
		targets = append(targets, target{UID: uid, Endpoint: ln.Addr().String(), Zone: "athens-1", Model: "front-fast",
			Group: i, State: "in_service", Capacity: 1})
	}
	d, listen := l.startDiscovery(targets), l.freeAddr()
	door := l.freeAddr()
	p := l.startProxy("n1", l.writeConfig("n1", radarConfig(listen, d.addr, targets, 192, 1024)), nil, "TMPDIR="+l.temp, "BALANCER_ADMIN="+door)
	l.awaitReady(listen)

	var whole, badServed, badEarly, badRejected atomic.Int64
	var tasks sync.WaitGroup
	ask := func(n int) {
		id, body := fmt.Sprintf("%016x", 0x5eed0000+n), fmt.Sprintf("signup-%d", n)
		var answered atomic.Bool
		if l.trouble {
			bad := func(after time.Duration, rejected *atomic.Int64) {
				time.Sleep(after)
				if answered.Load() {
					l.logf("bad client: id=%s is not open any more, not sent", id)
					return
				}
				sent := time.Now()
				status, got, err := fetch(listen, request("POST", id, "alert-signup", 3*time.Second, "copied"))
				l.logf("bad client, sent at %.4f, %v after the usual one, whose answer was not whole by then: id=%s status=%d, %d bytes, err=%v",
					sent.Sub(l.start).Seconds(), after, id, status, len(got), err)
				if status == 200 {
					badServed.Add(1)
				} else {
					rejected.Add(1)
				}
			}
			tasks.Go(func() { bad(firstByte/2, &badEarly) })
			tasks.Go(func() { bad(time.Second, &badRejected) })
		}
		began := time.Now()
		l.logf("client: sends id=%s", id)
		status, got, err := fetch(listen, request("POST", id, "alert-signup", 3*time.Second, body))
		answered.Store(true)
		ok := status == 200 && err == nil && len(got) == answerBytes && strings.HasPrefix(got, id+" "+body+"\n")
		if ok {
			whole.Add(1)
		}
		l.logf("client: id=%s status=%d whole=%t err=%v took=%.2f", id, status, ok, err, time.Since(began).Seconds())
	}
	for n := range requests {
		tasks.Go(func() { ask(n) })
		time.Sleep(200 * time.Millisecond)
	}
	l.logf("all answers are on their way; the proxy's own count of requests taken and not ended: %s", openRequests(door))
	tasks.Wait()
	l.check(exitedEarly(p))
	l.keepLog(p, "bad_request", "request_end", "stats")
	twice := 0
	for id, bodies := range runs {
		if len(bodies) > 1 {
			twice++
			l.logf("id=%s has run %d times: %q", id, len(bodies), bodies)
		}
	}
	l.verdictf("usual clients answered whole=%d of %d; ids that ran twice=%d; bad clients served=%d, rejected before the answer's first byte=%d, after it=%d",
		whole.Load(), requests, twice, badServed.Load(), badEarly.Load(), badRejected.Load())
	if whole.Load() < requests/2 {
		l.check(errors.New("too little was served to judge"))
	}
	if twice > 0 || badServed.Load() > 0 {
		l.verdictf("rule broken: duplicate, lost")
		return ruleBroken
	}
	return ruleHeld
}

// openRequests returns the line of INFO that counts the open requests.
func openRequests(door string) string {
	c, err := net.DialTimeout("tcp", door, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "INFO\n")
	text, _ := io.ReadAll(c)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "balancer_open_requests ") {
			return strings.TrimSpace(line)
		}
	}
	return "none"
}
