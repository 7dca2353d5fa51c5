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

// fakeSources simulates discovery at several addresses, in a synctest bubble. Each call
// waits until the test accepts and answers it.
type fakeSources struct {
	mu    sync.Mutex
	calls []*sourceCall
}

// sourceCall is one call to one address.
type sourceCall struct {
	addr           string
	accept         chan bool // receives when the connection is to be established
	serverConn     net.Conn
	requestedIndex string // revision in the request
}

// dial waits until the call is accepted or its context ends.
func (s *fakeSources) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	call := &sourceCall{addr: addr, accept: make(chan bool, 1)}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-call.accept:
	}
	client, server := net.Pipe()
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		s.mu.Lock()
		call.serverConn, call.requestedIndex = server, request.URL.Query().Get("index")
		s.mu.Unlock()
		go io.Copy(io.Discard, server)
	}()
	return client, nil
}

// call returns call number n, counted from 0, or nil.
func (s *fakeSources) call(n int) *sourceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.calls) {
		return nil
	}
	return s.calls[n]
}

// acceptWatch establishes the connection of a call and answers with the header of a watch.
func (c *sourceCall) acceptWatch() {
	c.accept <- true
	synctest.Wait()
	fmt.Fprint(c.serverConn, watchHeader)
}

// write writes to a call without waiting for its reader, which may be gone.
func (c *sourceCall) write(text string) {
	go fmt.Fprintf(c.serverConn, "%x\r\n%s\r\n", len(text), text)
	synctest.Wait()
}

// When a new configuration changes the source, the new one is called at once for its complete list,
// whatever state the call to the old one is in. No late or partial list of the old source is
// used after that, also if the change leads back to the old address.
func TestSourceChanges(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	const first, second = "127.0.0.1:80", "127.0.0.1:81"
	line := func(rev int) string { return standin.ListJSON(rev, true) + "\n" }
	firstPart := line(8)[:20]
	for _, c := range []struct {
		name  string
		old   func(*sourceCall) // before the change
		addrs []string          // of the new sources
		late  func(*sourceCall) // what the old call brings after the change
		want  []int64           // revisions used before that of the last source
	}{
		{"while dialing", func(*sourceCall) {}, []string{second}, func(c *sourceCall) { c.accept <- true }, nil},
		{"before the answer", func(c *sourceCall) { c.accept <- true }, []string{second}, func(c *sourceCall) { c.write(watchHeader + line(8)) }, nil},
		{"before the first list", func(c *sourceCall) { c.acceptWatch() }, []string{second}, func(c *sourceCall) { c.write(line(8)) }, nil},
		{"in a partial list", func(c *sourceCall) { c.acceptWatch(); c.write(firstPart) }, []string{second},
			func(c *sourceCall) { c.write(line(8)[20:]) }, nil},
		{"on an open watch", func(c *sourceCall) { c.acceptWatch(); c.write(line(7)) }, []string{second}, func(c *sourceCall) { c.write(line(8)) }, []int64{7}},
		{"twice in a row", func(c *sourceCall) { c.acceptWatch(); c.write(line(7)) }, []string{second, "127.0.0.1:82"},
			func(c *sourceCall) { c.write(line(8)) }, []int64{7}},
		{"there and back", func(c *sourceCall) { c.acceptWatch(); c.write(line(7)) }, []string{second, first},
			func(c *sourceCall) { c.write(line(8)) }, []int64{7}},
		{"there and back while dialing", func(*sourceCall) {}, []string{second, first}, func(c *sourceCall) { c.accept <- true }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSources{}
				var mu sync.Mutex
				var used []int64
				client := discovery.New(first, 5, manualPacer{})
				client.Dial = s.dial
				client.OnList = func(l *discovery.List) { mu.Lock(); used = append(used, l.Rev); mu.Unlock() }
				client.OnEnd = func(end discovery.CallEnd) { t.Errorf("reported as a failure: %v", end.Err) }
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
				for _, addr := range c.addrs {
					client.SetSource(addr)
				}
				if old.serverConn != nil || len(old.accept) == 0 {
					c.late(old)
				}
				synctest.Wait()
				newest := s.call(1)
				for n := 2; s.call(n) != nil; n++ {
					newest = s.call(n)
				}
				if newest == nil || newest.addr != c.addrs[len(c.addrs)-1] || time.Since(began) > 0 {
					t.Fatalf("the new source was not called at once: %+v", newest)
				}
				newest.acceptWatch()
				newest.write(line(3))
				if newest.requestedIndex != "0" {
					t.Errorf("called from revision %s, want the complete list", newest.requestedIndex)
				}
				mu.Lock()
				if want := append(slices.Clone(c.want), 3); !slices.Equal(used, want) {
					t.Errorf("used revisions %v, want %v", used, want)
				}
				mu.Unlock()
				stop()
				<-done
				for n := 0; s.call(n) != nil; n++ {
					if call := s.call(n); call.serverConn != nil {
						call.serverConn.Close()
					}
				}
			})
		})
	}
}
