//go:build review

package lab2

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// late: bad clients by hundreds stop in the middle of a request, and come again as soon as they are
// turned away. The requests of usual clients have to get their final answers all the same.
func late(l *lab) int {
	const (
		sockets    = 256
		badClients = 900
		requests   = 200
		every      = 50 * time.Millisecond
		timeout    = 280 * time.Millisecond // of a usual client
		slack      = 500*time.Millisecond + 50*time.Millisecond
		toldSlack  = 150 * time.Millisecond
	)
	type arrival struct {
		at   time.Time
		told time.Duration // X-Timeout-Ms
	}
	var mu sync.Mutex
	arrivals := map[string]arrival{}
	var targets []target
	for i := range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		l.check(err)
		go (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			at, id := time.Now(), r.Header.Get("X-Request-ID")
			ms, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
			mu.Lock()
			arrivals[id] = arrival{at, time.Duration(ms) * time.Millisecond}
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(w, "%s %s", id, body)
		})}).Serve(ln)
		targets = append(targets, target{UID: fmt.Sprintf("s-%d", i+1), Endpoint: ln.Addr().String(), Zone: "austin", Model: "intake-std",
			Group: i, State: "in_service", Capacity: 1})
	}
	d, listen := l.startDiscovery(targets), l.freeAddr()
	p := l.startProxy("n1", l.writeConfig("n1", hqConfig(listen, d.addr, targets, 64, sockets)), nil, "TMPDIR="+l.temp)
	l.awaitReady(listen)

	stop := make(chan struct{})
	var bad sync.WaitGroup
	var badSent, badAnswered, badClosed, badWorst atomic.Int64
	if l.trouble {
		for k := range badClients {
			bad.Go(func() {
				time.Sleep(time.Duration(k) * 3 * time.Second / badClients)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					c, err := net.DialTimeout("tcp", listen, 3*time.Second)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					began := time.Now()
					c.SetDeadline(began.Add(6 * time.Second))
					text := request("POST", fmt.Sprintf("bad-%d-%d", k, n), "book-return", 600*time.Millisecond, "a body of which half is sent")
					io.WriteString(c, text[:len(text)-14])
					badSent.Add(1)
					if got, _ := io.ReadAll(c); len(got) > 0 {
						badAnswered.Add(1)
					} else {
						badClosed.Add(1)
					}
					badWorst.Store(max(badWorst.Load(), int64(time.Since(began))))
					c.Close()
				}
			})
		}
		time.Sleep(4 * time.Second)
		l.logf("%d bad clients are there", badClients)
	}
	outcomes := map[string]int{}
	var latencies []time.Duration
	overTold := 0
	var asks sync.WaitGroup
	open, mostOpen := 0, 0
	for n := range requests {
		mu.Lock()
		open++
		mostOpen = max(mostOpen, open)
		mu.Unlock()
		asks.Go(func() {
			id := fmt.Sprintf("%016x", 0x5eed0000+n)
			began := time.Now()
			status, body, err := fetch(listen, request("POST", id, "book-return", timeout, "ticket"))
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			open--
			latencies = append(latencies, took)
			outcome := fmt.Sprint(status)
			switch {
			case err != nil:
				outcome = "closed"
			case took > timeout+slack:
				outcome = "lost"
			case status == 200 && body != id+" ticket":
				outcome = "foreign"
			}
			outcomes[outcome]++
			a, ran := arrivals[id]
			left := timeout - a.at.Sub(began)
			if ran && a.told > left+toldSlack {
				overTold++
			}
			l.logf("id=%s %s: status=%d err=%v took_ms=%d; at a backend=%t after_ms=%d told_ms=%d", id, outcome, status, err,
				took.Milliseconds(), ran, a.at.Sub(began).Milliseconds(), a.told.Milliseconds())
		})
		time.Sleep(every)
	}
	asks.Wait()
	close(stop)
	bad.Wait()
	l.check(exitedEarly(p))
	l.keepLog(p, "stats", "panic", "accept_failed")
	slices.Sort(latencies)
	l.logf("limits: %d descriptors, a third of them for requests of usual clients (%d): at most %d of these at once, each with %v (252 to 330 ms by the site)",
		sockets, sockets/3, mostOpen, timeout)
	l.logf("bad clients: %d half requests, answered with an error %d, closed %d, at most %.2f s after they connected",
		badSent.Load(), badAnswered.Load(), badClosed.Load(), time.Duration(badWorst.Load()).Seconds())
	l.verdictf("usual clients, with %v each: answered over %v after their time=%d of %d; median %v, at most %v; by outcome %v; attempts told over %v more than was left=%d",
		timeout, slack, outcomes["lost"], requests, latencies[len(latencies)/2].Round(time.Millisecond), latencies[len(latencies)-1].Round(time.Millisecond),
		outcomes, toldSlack, overTold)
	if outcomes["closed"] > requests/2 {
		l.check(errors.New("too little was answered to judge"))
	}
	if outcomes["lost"] > 0 {
		l.verdictf("rule broken: lost")
		return ruleBroken
	}
	return ruleHeld
}

// hqConfig returns the configuration of a proxy of hq-matching.
func hqConfig(listen, discovery string, known []target, memoryMB, sockets int) map[string]any {
	config := radarConfig(listen, discovery, known, memoryMB, sockets)
	settings := config["settings"].(map[string]any)
	settings["az"], settings["zones"], settings["tiers"] = "austin", []string{"austin", "dallas"}, []string{"intake", "matching"}
	settings["classes"] = []any{
		map[string]any{"name": "log-found", "aim-ms": 200.0, "give-up-ms": 1200.0, "group": "all", "idempotency": "guarded", "memory-span-ms": 1500.0, "worth": 2.0},
		map[string]any{"name": "book-return", "aim-ms": 300.0, "give-up-ms": 600.0, "group": "all", "idempotency": "single_shot", "memory-span-ms": 1500.0, "worth": 5.0},
	}
	settings["goal"] = map[string]any{"whole": 0.4, "worst-class": 0.35, "worst-tenant": 0.1, "worst-window": 0.15}
	limits := settings["limits"].(map[string]any)
	limits["max-attempts"], limits["max-retry-after-ms"], limits["conn-idle-ms"], limits["dial-timeout-ms"] = 6, 600.0, 15000.0, 60.0
	settings["rules"] = map[string]any{"ask-within-ms": 6000.0, "cold-from": 0.33, "fall-multiple": 2.5,
		"stop-sending-within-ms": 500.0, "tip-after-ms": 3000.0, "warm-within-ms": 9000.0}
	return config
}
