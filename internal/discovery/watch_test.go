package discovery_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/pacing"
	"oxbowloft/internal/standin"
)

// watchedClient is one client in a synctest bubble, with the source that it calls and a record of its
// calls.
type watchedClient struct {
	*fakeSource
	client *discovery.Client

	mu          sync.Mutex
	callStarts  []time.Time
	callEnds    []time.Time // failed calls and ended watches
	openConns   int         // now
	maxOpen     int         // at any time
	usableUntil time.Time
}

// startWatchedClient starts a client with the given pacer.
func startWatchedClient(t testingT, pacer discovery.Pacer) (w *watchedClient, stop func()) {
	log.SetOutput(io.Discard)
	w = &watchedClient{fakeSource: &fakeSource{}}
	w.client = discovery.New("127.0.0.1:80", 0, pacer)
	w.client.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		w.mu.Lock()
		w.callStarts = append(w.callStarts, time.Now())
		w.mu.Unlock()
		conn, err := w.fakeSource.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.openConns++
		w.maxOpen = max(w.maxOpen, w.openConns)
		return &countedConn{Conn: conn, closed: sync.OnceFunc(func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.openConns--
		})}, nil
	}
	w.client.OnList = func(*discovery.List) {}
	w.client.OnEnd = func(discovery.CallEnd) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.callEnds = append(w.callEnds, time.Now())
	}
	w.client.OnFreshness = func(f discovery.Freshness) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.usableUntil = f.UntilIfServing
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { defer close(done); w.client.Run(ctx) }()
	return w, func() {
		cancel()
		<-done
		w.fakeSource.mu.Lock()
		if w.fakeSource.serverConn != nil {
			w.fakeSource.serverConn.Close()
		}
		w.fakeSource.mu.Unlock()
		log.SetOutput(os.Stderr)
	}
}

type testingT interface{ Fatalf(string, ...any) }

// countedConn is a connection that reports its close.
type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// calls returns how many calls have begun.
func (w *watchedClient) calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.callStarts)
}

// A call is rejected, and during the wait a new configuration changes the source, which is called at
// once. The old wait must not outlive that call. When the new watch ends after the old wait
// would have, the next call comes as soon as after any watch; the duration of the watch must
// not count as time that a failed call waited.
func TestWaitEndsWithSourceChange(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			w, stop := startWatchedClient(t, pacing.NewForService(10*sec, rand.New(rand.NewPCG(seed, 1))))
			defer stop()
			w.setAnswer(func(c net.Conn) { time.Sleep(2 * sec); rejectCall(c) })
			for w.calls() == 0 {
				time.Sleep(10 * ms)
			}
			time.Sleep(2*sec + 20*ms) // the call is rejected, and the wait is at least 2 s
			if n := w.calls(); n != 1 {
				t.Fatalf("%d calls, want one", n)
			}
			w.setAnswer(answerList(5))
			w.client.SetSource("127.0.0.1:81")
			synctest.Wait()
			if n := w.calls(); n != 2 {
				t.Fatalf("%d calls, want one of the new source at once", n)
			}
			for range 8 { // the old wait, of at most 6 s, would end meanwhile
				time.Sleep(sec)
				w.write("\n")
			}
			if n := w.calls(); n != 2 {
				t.Fatalf("%d calls while a watch is open", n-2)
			}
			ended := time.Now()
			w.closeConn()
			for w.calls() == 2 && time.Since(ended) < 20*sec {
				time.Sleep(10 * ms)
			}
			if took := time.Since(ended); took < 250*ms || took > 760*ms {
				t.Errorf("seed %d: called again %v after the end of the watch, want 250 ms to 750 ms", seed, took)
			}
		})
	}
}

// Where lists are pushed, a change of the source ends the wait after a failure, too.
func TestPushedWaitEndsWithSourceChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := startWatchedClient(t, pacing.NewForAgent(rand.New(rand.NewPCG(1, 1))))
		defer stop()
		w.setAnswer(rejectCall)
		time.Sleep(3 * sec) // the waits have grown to a mean of 1 s
		w.setAnswer(answerList(5))
		w.client.SetSource("127.0.0.1:81")
		synctest.Wait()
		calls := w.calls()
		for range 3 {
			time.Sleep(sec)
			w.write("\n")
		}
		w.setAnswer(noAnswer)
		w.closeConn()
		time.Sleep(120 * ms) // less than half of the first wait
		if n := w.calls(); n != calls {
			t.Errorf("%d calls right after the end of the watch, by a wait that should have ended", n-calls)
		}
		time.Sleep(300 * ms)
		if n := w.calls(); n != calls+1 {
			t.Errorf("%d calls after the end of the watch, want one", n-calls)
		}
	})
}

// For any order of rejected and unanswered calls, lists, changes of the source, and watches that end
// or stop responding: at most one call is under way, none begins during a call or an open
// watch, and otherwise the next is due within the configured time. The list is usable for at
// most 6 s after the last contact.
func TestCallsInAnyOrder(t *testing.T) {
	const maxWait = 10 * sec
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		events := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 30).Draw(r, "events")
		waits := rapid.SliceOfN(rapid.IntRange(1, 9000), len(events), len(events)).Draw(r, "waits")
		var failed string
		synctest.Test(t, func(*testing.T) {
			failed = playEvents(r, seed, maxWait, events, waits)
		})
		if failed != "" {
			r.Fatal(failed)
		}
	})
}

// playEvents plays events, each after a wait in milliseconds, and returns the first violation, or "".
func playEvents(t testingT, seed uint64, maxWait time.Duration, events, waits []int) string {
	w, stop := startWatchedClient(t, pacing.NewForService(maxWait, rand.New(rand.NewPCG(seed, 1))))
	defer stop()
	w.setAnswer(noAnswer)
	startedAt, addr, idle := time.Now(), 80, time.Now()
	for i, event := range events {
		for range waits[i] / 100 {
			time.Sleep(100 * ms)
			synctest.Wait()
			w.mu.Lock()
			open, maxOpen, calls, usableUntil := w.openConns, w.maxOpen, len(w.callStarts), w.usableUntil
			for _, times := range [][]time.Time{w.callStarts, w.callEnds} {
				if n := len(times); n > 0 && times[n-1].After(idle) {
					idle = times[n-1]
				}
			}
			w.mu.Unlock()
			switch {
			case maxOpen > 1:
				return fmt.Sprintf("event %d: two calls at the same time", i)
			case open == 0 && time.Since(idle) > maxWait+100*ms:
				return fmt.Sprintf("event %d: no call for %v after %d", i, time.Since(idle), calls)
			case usableUntil.After(time.Now().Add(discovery.MaxAnnounceDelay)):
				return fmt.Sprintf("event %d: list usable for %v", i, time.Until(usableUntil))
			case calls > 4+int(time.Since(startedAt)/(250*ms)): // no wait is shorter
				return fmt.Sprintf("event %d: %d calls in %v", i, calls, time.Since(startedAt))
			}
		}
		before := w.calls()
		active := w.active()
		switch event {
		case 0:
			w.setAnswer(rejectCall)
		case 1:
			w.setAnswer(answerList(i + 1))
		case 2:
			w.setAnswer(nil)
		case 3:
			w.setAnswer(noAnswer)
		case 4:
			w.setAnswer(closeUnanswered)
		case 5, 6:
			if active {
				w.write(standin.ListJSON(i+1, event == 5) + "\n")
			}
		case 7:
			if active {
				w.closeConn()
				synctest.Wait()
			}
		case 8:
			if active {
				w.resetConn()
				synctest.Wait()
			}
		case 9:
			addr = 161 - addr // the other of two addresses
			w.client.SetSource(fmt.Sprintf("127.0.0.1:%d", addr))
			synctest.Wait()
			before++ // the new source is called at once
		}
		if n := w.calls(); n > before+1 {
			return fmt.Sprintf("event %d: %d calls at once", i, n-before)
		}
	}
	return ""
}

// active reports whether a call is under way or a watch is open.
func (w *watchedClient) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.openConns > 0
}
