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

// watchedClient is one client in a synctest bubble, the source that it calls, and what is seen of
// its calls.
type watchedClient struct {
	*source
	client *discovery.Client

	mu    sync.Mutex
	began []time.Time // calls
	ended []time.Time // calls that failed and watches that ended
	open  int         // connections
	most  int         // of them at a time
	fresh time.Time
}

// follow starts a client with the pacing that proxies have, where lists are asked for.
func follow(t fataler, pacer discovery.Pacer) (w *watchedClient, stop func()) {
	log.SetOutput(io.Discard)
	w = &watchedClient{source: &source{}}
	w.client = discovery.New("127.0.0.1:80", 0, pacer)
	w.client.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		w.mu.Lock()
		w.began = append(w.began, time.Now())
		w.mu.Unlock()
		conn, err := w.source.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.open++
		w.most = max(w.most, w.open)
		return &counted{Conn: conn, closed: sync.OnceFunc(func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.open--
		})}, nil
	}
	w.client.OnList = func(*discovery.List) {}
	w.client.OnEnd = func(discovery.CallEnd) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ended = append(w.ended, time.Now())
	}
	w.client.OnFreshness = func(f discovery.Freshness) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.fresh = f.UntilIfServing
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { defer close(done); w.client.Run(ctx) }()
	return w, func() {
		cancel()
		<-done
		w.source.mu.Lock()
		if w.source.last != nil {
			w.source.last.Close()
		}
		w.source.mu.Unlock()
		log.SetOutput(os.Stderr)
	}
}

type fataler interface{ Fatalf(string, ...any) }

// counted is a connection that tells of its close.
type counted struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.closed()
	return c.Conn.Close()
}

// calls is how many calls have begun.
func (w *watchedClient) calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.began)
}

// A call is refused; in the wait that follows, a new configuration moves the source, and the
// new one is called at once. The end of the old wait must mean nothing: when the new watch
// ends after it has stood for longer, the next call comes as soon as after any watch, and not
// after a wait that takes the life of the watch for time waited in vain.
func TestWaitEndsWithAMove(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			w, stop := follow(t, pacing.NewForService(10*sec, rand.New(rand.NewPCG(seed, 1))))
			defer stop()
			w.set(func(c net.Conn) { time.Sleep(2 * sec); busy(c) })
			for w.calls() == 0 {
				time.Sleep(10 * ms)
			}
			time.Sleep(2*sec + 20*ms) // it is refused, and waits for 2 s at least
			if n := w.calls(); n != 1 {
				t.Fatalf("%d calls, want one", n)
			}
			w.set(lists(5))
			w.client.SetSource("127.0.0.1:81")
			synctest.Wait()
			if n := w.calls(); n != 2 {
				t.Fatalf("%d calls, want one of the new source at once", n)
			}
			for range 8 { // the old wait ends meanwhile: it took 6 s at most
				time.Sleep(sec)
				w.say("\n")
			}
			if n := w.calls(); n != 2 {
				t.Fatalf("%d calls while a watch stands", n-2)
			}
			ended := time.Now()
			w.cut()
			for w.calls() == 2 && time.Since(ended) < 20*sec {
				time.Sleep(10 * ms)
			}
			if took := time.Since(ended); took < 250*ms || took > 760*ms {
				t.Errorf("seed %d: called again %v after the watch's end, want 250 ms to 750 ms", seed, took)
			}
		})
	}
}

// Where lists are pushed, the wait after a failure ends with a move, too.
func TestPushedWaitEndsWithAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := follow(t, pacing.NewForAgent(rand.New(rand.NewPCG(1, 1))))
		defer stop()
		w.set(busy)
		time.Sleep(3 * sec) // waits of a second by now
		w.set(lists(5))
		w.client.SetSource("127.0.0.1:81")
		synctest.Wait()
		calls := w.calls()
		for range 3 {
			time.Sleep(sec)
			w.say("\n")
		}
		w.set(silent)
		w.cut()
		time.Sleep(120 * ms) // less than half of the first wait
		if n := w.calls(); n != calls {
			t.Errorf("%d calls right after the watch's end, of a wait that was over", n-calls)
		}
		time.Sleep(300 * ms)
		if n := w.calls(); n != calls+1 {
			t.Errorf("%d calls after the watch's end, want one", n-calls)
		}
	})
}

// In whatever order calls are refused or hang, lists come, the source moves, watches fall
// silent or end, and time passes: at most one call is under way; while one is or a watch
// stands, none begins; and without one the next is due within the time that the settings
// give. The list is fresh for 6 s at most after the last word, and for 2 s after a watch that
// was closed.
func TestCallsInAnyOrder(t *testing.T) {
	const askWithin = 10 * sec
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		events := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 30).Draw(r, "events")
		waits := rapid.SliceOfN(rapid.IntRange(1, 9000), len(events), len(events)).Draw(r, "waits")
		var failed string
		synctest.Test(t, func(*testing.T) {
			failed = playWatch(r, seed, askWithin, events, waits)
		})
		if failed != "" {
			r.Fatal(failed)
		}
	})
}

// playWatch plays events, each after a wait in milliseconds, and says what broke.
func playWatch(t fataler, seed uint64, askWithin time.Duration, events, waits []int) string {
	w, stop := follow(t, pacing.NewForService(askWithin, rand.New(rand.NewPCG(seed, 1))))
	defer stop()
	w.set(silent)
	begun, addr, idle := time.Now(), 80, time.Now()
	for i, event := range events {
		for range waits[i] / 100 {
			time.Sleep(100 * ms)
			synctest.Wait()
			w.mu.Lock()
			open, most, calls, fresh := w.open, w.most, len(w.began), w.fresh
			for _, times := range [][]time.Time{w.began, w.ended} {
				if n := len(times); n > 0 && times[n-1].After(idle) {
					idle = times[n-1]
				}
			}
			w.mu.Unlock()
			switch {
			case most > 1:
				return fmt.Sprintf("event %d: two calls at a time", i)
			case open == 0 && time.Since(idle) > askWithin+100*ms:
				return fmt.Sprintf("event %d: no call for %v after %d", i, time.Since(idle), calls)
			case fresh.After(time.Now().Add(discovery.MaxAnnounceDelay)):
				return fmt.Sprintf("event %d: fresh for %v", i, time.Until(fresh))
			case calls > 4+int(time.Since(begun)/(250*ms)): // no wait is shorter
				return fmt.Sprintf("event %d: %d calls in %v", i, calls, time.Since(begun))
			}
		}
		before := w.calls()
		standing := w.current()
		switch event {
		case 0:
			w.set(busy)
		case 1:
			w.set(lists(i + 1))
		case 2:
			w.set(nil)
		case 3:
			w.set(silent)
		case 4:
			w.set(reset)
		case 5, 6:
			if standing {
				w.say(standin.ListJSON(i+1, event == 5) + "\n")
			}
		case 7:
			if standing {
				w.cut()
				synctest.Wait()
			}
		case 8:
			if standing {
				w.reset()
				synctest.Wait()
			}
		case 9:
			addr = 161 - addr // there and back again
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

// current tells whether a call is under way or a watch stands.
func (w *watchedClient) current() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open > 0
}
