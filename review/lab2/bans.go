//go:build review

package lab2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bans: while the process is replaced, an operator takes one backend out at the old process's door
// and the next one at the new process's door. Both have to stay out.
func bans(l *lab) int {
	const (
		grace   = 500*time.Millisecond + 50*time.Millisecond // of the rule on sockets
		watched = 8 * time.Second                            // after the calls
	)
	type visit struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	visits := map[string][]visit{}
	backend := func(uid string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			at := time.Now()
			io.Copy(io.Discard, r.Body)
			mu.Lock()
			visits[uid] = append(visits[uid], visit{at, r.Header.Get("X-Request-ID")})
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			io.WriteString(w, r.Header.Get("X-Request-ID"))
		}
	}
	var targets []target
	for i := range 5 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		l.check(err)
		uid := fmt.Sprintf("s-%d", i+1)
		go (&http.Server{Handler: backend(uid)}).Serve(ln)
		targets = append(targets, target{UID: uid, Endpoint: ln.Addr().String(), Zone: "athens-1", Model: "front-fast",
			Group: i, State: "in_service", Capacity: 1})
	}
	d := l.startDiscovery(targets)
	// The platform holds the clients' listening socket.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err)
	socket, err := ln.(*net.TCPListener).File()
	l.check(err)
	listen := ln.Addr().String()
	config := l.writeConfig("n1", radarConfig(listen, d.addr, targets, 192, 1024))
	shared := l.temp + "/shared"
	l.check(os.Mkdir(shared, 0o700))
	start := func(name string) (*process, string) {
		door := l.freeAddr()
		return l.startProxy(name, config, socket, "TMPDIR="+shared, "BALANCER_LISTEN_FD=3", "BALANCER_ADMIN="+door), door
	}
	awaitYes := func(door string) {
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if answer, err := admin(door, "PING"); err == nil && strings.HasPrefix(answer, "OK") {
				return
			}
		}
		l.check(errors.New("no yes to PING within 6 s"))
	}
	call := func(door, line string) time.Time {
		answer, err := admin(door, line)
		at := time.Now()
		l.logf("door %s: %s: %s (%v)", door, line, answer, err)
		if err != nil || !strings.HasPrefix(answer, "OK") {
			l.check(fmt.Errorf("%s was answered %q", line, answer))
		}
		return at
	}
	older, olderDoor := start("old")
	l.awaitReady(listen)
	awaitYes(olderDoor)

	// Clients: 60 requests a second, each on a connection of its own.
	stop := make(chan struct{})
	var served, refused, failed, unanswered atomic.Int64
	var clients sync.WaitGroup
	clients.Go(func() {
		tick := time.NewTicker(time.Second / 60)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			clients.Go(func() {
				id := fmt.Sprintf("%016x", 0x5eed0000+n)
				began := time.Now()
				status, body, err := fetch(listen, request("GET", id, "latest-tile", 2*time.Second, ""))
				switch {
				case err != nil:
					unanswered.Add(1)
				case status == 200 && body == id:
					served.Add(1)
				case status == 503:
					refused.Add(1)
				default:
					failed.Add(1)
				}
				l.logf("client: id=%s status=%d err=%v took_ms=%d", id, status, err, time.Since(began).Milliseconds())
			})
		}
	})
	time.Sleep(2 * time.Second)
	out := map[string]time.Time{} // since when
	if l.trouble {
		begun := time.Now()
		_, newerDoor := start("new")
		awaitYes(newerDoor)
		l.logf("the new process says yes, %.2f s after its start (due within 6 s)", time.Since(begun).Seconds())
		out["s-1"] = call(olderDoor, "DETACH s-1")
		out["s-2"] = call(newerDoor, "DETACH s-2")
		l.logf("the second yes came %.1f ms after the first", float64(out["s-2"].Sub(out["s-1"]).Microseconds())/1000)
		time.Sleep(200 * time.Millisecond)
		l.logf("SIGTERM to the old process")
		older.cmd.Process.Signal(syscall.SIGTERM)
	} else {
		out["s-1"] = call(olderDoor, "DETACH s-1")
		out["s-2"] = call(olderDoor, "DETACH s-2")
	}
	time.Sleep(watched)
	close(stop)
	clients.Wait()
	for _, p := range l.processes {
		l.keepLog(p, "by_hand", "processes", "phase", "invariant_violated")
	}
	broken := 0
	for _, t := range targets {
		since, isOut := out[t.UID]
		late := 0
		for _, v := range visits[t.UID] {
			l.logf("%s got id=%s at %.4f", t.UID, v.id, v.at.Sub(l.start).Seconds())
			if isOut && v.at.After(since.Add(grace)) {
				late++
			}
		}
		l.verdictf("%s: taken out=%t, requests=%d, of these after the grace=%d", t.UID, isOut, len(visits[t.UID]), late)
		broken += late
	}
	l.verdictf("served=%d refused=%d failed=%d unanswered=%d", served.Load(), refused.Load(), failed.Load(), unanswered.Load())
	if served.Load() < 100 {
		l.check(errors.New("too little was served to judge"))
	}
	if broken > 0 {
		l.verdictf("rule broken: drain")
		return ruleBroken
	}
	return ruleHeld
}

// admin makes one call at the door and returns the first line of the answer.
func admin(addr, line string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer), err
}
