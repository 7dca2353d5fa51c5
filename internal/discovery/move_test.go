package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/standin"
)

// sources are stand-ins for discovery at several addresses, in a synctest bubble. Each call
// waits for what the test does with it.
type sources struct {
	mu    sync.Mutex
	calls []*sourceCall
}

// sourceCall is one call to one address.
type sourceCall struct {
	addr   string
	accept chan bool // the connection comes up
	far    net.Conn
	index  string // that the caller asked from
}

// dial waits until the call is accepted or given up.
func (s *sources) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	call := &sourceCall{addr: addr, accept: make(chan bool, 1)}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-call.accept:
	}
	near, far := net.Pipe()
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		s.mu.Lock()
		call.far, call.index = far, request.URL.Query().Get("index")
		s.mu.Unlock()
		go io.Copy(io.Discard, far)
	}()
	return near, nil
}

// call is the call made as number n, from 0, or nil.
func (s *sources) call(n int) *sourceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.calls) {
		return nil
	}
	return s.calls[n]
}

// begin lets the connection of a call come up, and answers its head.
func (c *sourceCall) begin() {
	c.accept <- true
	synctest.Wait()
	fmt.Fprint(c.far, watched)
}

// say writes to a call without waiting for its reader, which may have gone.
func (c *sourceCall) say(text string) {
	go fmt.Fprintf(c.far, "%x\r\n%s\r\n", len(text), text)
	synctest.Wait()
}

// Whatever a call of the old source is doing when a new configuration moves the list, the new
// source is called at once and for its whole list, and nothing of the old one is used after
// that: no list that is late or half come, also where the move goes back to the old address.
func TestMoves(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	const first, second = "127.0.0.1:80", "127.0.0.1:81"
	line := func(rev int) string { return standin.ListJSON(rev, true) + "\n" }
	half := line(8)[:20]
	for _, c := range []struct {
		name  string
		old   func(*sourceCall) // until the move
		moves []string
		late  func(*sourceCall) // what the old call brings after that
		want  []int64           // revisions used, before the last source's own
	}{
		{"in a dial", func(*sourceCall) {}, []string{second}, func(c *sourceCall) { c.accept <- true }, nil},
		{"before the answer", func(c *sourceCall) { c.accept <- true }, []string{second}, func(c *sourceCall) { c.say(watched + line(8)) }, nil},
		{"before the first list", func(c *sourceCall) { c.begin() }, []string{second}, func(c *sourceCall) { c.say(line(8)) }, nil},
		{"in a list that comes in pieces", func(c *sourceCall) { c.begin(); c.say(half) }, []string{second},
			func(c *sourceCall) { c.say(line(8)[20:]) }, nil},
		{"on a watch", func(c *sourceCall) { c.begin(); c.say(line(7)) }, []string{second}, func(c *sourceCall) { c.say(line(8)) }, []int64{7}},
		{"twice in a row", func(c *sourceCall) { c.begin(); c.say(line(7)) }, []string{second, "127.0.0.1:82"},
			func(c *sourceCall) { c.say(line(8)) }, []int64{7}},
		{"there and back", func(c *sourceCall) { c.begin(); c.say(line(7)) }, []string{second, first},
			func(c *sourceCall) { c.say(line(8)) }, []int64{7}},
		{"there and back in a dial", func(*sourceCall) {}, []string{second, first}, func(c *sourceCall) { c.accept <- true }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &sources{}
				var mu sync.Mutex
				var used []int64
				client := discovery.New(first, 5, byHand{})
				client.Dial = s.dial
				client.OnList = func(l *discovery.List) { mu.Lock(); used = append(used, l.Rev); mu.Unlock() }
				client.OnEnd = func(end discovery.CallEnd) { t.Errorf("taken for a failure: %v", end.Err) }
				client.OnFreshness = func(discovery.Freshness) {}
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan bool)
				go func() { defer close(done); client.Run(ctx) }()
				client.CallNow()
				synctest.Wait()
				old := s.call(0)
				c.old(old)
				synctest.Wait()
				began := time.Now()
				for _, addr := range c.moves {
					client.SetSource(addr)
				}
				if old.far != nil || len(old.accept) == 0 {
					c.late(old)
				}
				synctest.Wait()
				newest := s.call(1)
				for n := 2; s.call(n) != nil; n++ {
					newest = s.call(n)
				}
				if newest == nil || newest.addr != c.moves[len(c.moves)-1] || time.Since(began) > 0 {
					t.Fatalf("the new source was not called at once: %+v", newest)
				}
				newest.begin()
				newest.say(line(3))
				if newest.index != "0" {
					t.Errorf("asked from %s, want the whole list", newest.index)
				}
				mu.Lock()
				if want := append(slices.Clone(c.want), 3); !slices.Equal(used, want) {
					t.Errorf("used the lists %v, want %v", used, want)
				}
				mu.Unlock()
				stop()
				<-done
				for n := 0; s.call(n) != nil; n++ {
					if call := s.call(n); call.far != nil {
						call.far.Close()
					}
				}
			})
		})
	}
}
