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
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/standin"
)

// source is a stand-in for discovery at one address, for one caller in a synctest bubble:
// each call is answered as the test says then.
type source struct {
	mu     sync.Mutex
	answer func(conn net.Conn) // a call that is up; nil: refused
	last   net.Conn
}

func (s *source) set(answer func(net.Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *source) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	s.last = far
	answer := s.answer
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			go io.Copy(io.Discard, far)
			answer(far)
		}
	}()
	return near, nil
}

// say writes to the watch that stands.
func (s *source) say(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.last, "%x\r\n%s\r\n", len(text), text)
}

// cut ends it.
func (s *source) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last.Close()
}

const watched = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func lists(rev int) func(net.Conn) {
	return func(c net.Conn) {
		line := standin.List(rev, true) + "\n"
		fmt.Fprintf(c, "%s%x\r\n%s\r\n", watched, len(line), line)
	}
}

func busy(c net.Conn) {
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

func reset(c net.Conn)  { c.Close() }
func silent(c net.Conn) {}

// A change counts as told 6 s after discovery had it and could be reached, whatever has
// become of watches and calls; 4 s after a new configuration; where lists are pushed at
// once. The clock is put forward by a list that is taken and by signs of life behind it, and
// where nobody is there to tell; by nothing else. Guards against a list that is used for
// longer, since a watch was reset, a call was turned away or hung, an older list came, or a
// failure came after another one.
func TestFresh(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	const slack = 250 * time.Millisecond // where lists are pushed
	// what happens and the time from then on for which the list is fresh, or, below zero,
	// that it is fresh until the same moment as before
	type step struct {
		name  string
		do    func(s *source, c *discovery.Client)
		fresh time.Duration
	}
	const same = -1
	ask := func(answer func(net.Conn)) func(*source, *discovery.Client) {
		return func(s *source, c *discovery.Client) { s.set(answer); c.Ask() }
	}
	say := func(text string) func(*source, *discovery.Client) {
		return func(s *source, _ *discovery.Client) { s.say(text) }
	}
	cut := func(s *source, _ *discovery.Client) { s.set(silent); s.cut() }
	nothing := func(*source, *discovery.Client) {}
	wait := func(*source, *discovery.Client) { time.Sleep(3 * sec) }
	list := step{"a list", ask(lists(5)), 6 * sec}
	life := step{"a sign of life", say("\n"), 6 * sec}
	for _, c := range []struct {
		name   string
		pushed bool
		steps  []step
	}{
		{"at the start", false, []step{{"start", nothing, 6 * sec}}},
		{"a list and life", false, []step{list, life, life, {"a change", say(standin.List(6, false) + "\n"), 6 * sec}, life}},
		{"turned away", false, []step{list, life, {"cut", cut, same}, {"503", ask(busy), same}, {"again", ask(busy), same}, list}},
		{"turned away from the start", false, []step{{"503", ask(busy), same}, {"again", ask(busy), same}, list}},
		{"reset", false, []step{list, {"cut", cut, same}, {"reset", ask(reset), same}, {"503", ask(busy), same}, {"cut again", cut, same}}},
		{"a call hangs", false, []step{list, {"cut", cut, same}, {"hangs", ask(silent), same}, {"silence", wait, same},
			{"silence, then 503", ask(busy), same}, {"silence, then refused", ask(nil), 6 * sec}, list}},
		{"a watch falls silent", false, []step{list, {"silence", wait, same}, {"silence, then 503", ask(busy), same}, list}},
		{"nobody there", false, []step{list, {"cut", cut, same}, {"refused", ask(nil), 6 * sec}, {"again", ask(nil), 6 * sec}, {"503", ask(busy), same}}},
		{"an older list begins a watch", false, []step{list, {"cut", cut, same}, {"older", ask(lists(4)), same}, {"older", ask(lists(4)), same}}},
		{"an older list on a standing watch", false, []step{list, {"older", say(standin.List(4, true) + "\n"), same}, life}},
		{"half a list", false, []step{list, {"half", say(`{"rev":6,`), same}, {"line ends in it", say("\n\n"), same},
			{"the rest", say(`"all":false,"targets":[]}` + "\n"), 6 * sec}}},
		{"what can't be read", false, []step{list, {"noise", say("noise\n"), same}}},
		{"moved", false, []step{list, {"moved", func(s *source, c *discovery.Client) { s.set(silent); c.Move("127.0.0.1:81") }, 4 * sec},
			{"moved, then 503", func(s *source, c *discovery.Client) { s.set(busy); s.cut() }, same}, list}},
		{"moved, nobody there", false, []step{list, {"moved", func(s *source, c *discovery.Client) { s.set(nil); c.Move("127.0.0.1:81") }, 6 * sec}}},
		{"pushed: at the start", true, []step{{"start", nothing, slack}}},
		{"pushed: a list and life", true, []step{{"a list", nothing, 0}, life}},
		{"pushed: cut off, then turned away", true, []step{{"a list", nothing, 0},
			{"cut", func(s *source, _ *discovery.Client) { s.set(busy); s.cut() }, slack}, {"503", nothing, same}}},
		{"pushed: nobody there", true, []step{{"a list", nothing, 0},
			{"cut", func(s *source, _ *discovery.Client) { s.set(nil); s.cut() }, slack}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var until time.Time
				var lag time.Duration
				s := &source{}
				client := discovery.New("127.0.0.1:80", 3)
				client.Dial = s.dial
				client.OnList, client.OnFailed = func(*discovery.List) {}, func(discovery.Failure) {}
				client.OnFresh = func(t time.Time, l time.Duration) { mu.Lock(); until, lag = t, l; mu.Unlock() }
				s.set(silent)
				if c.pushed {
					s.set(lists(5))
					if c.steps[0].name == "start" {
						s.set(silent)
					}
					client.Always(slack)
				}
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan bool)
				go func() { defer close(done); client.Run(ctx) }()
				for _, step := range c.steps {
					time.Sleep(700 * time.Millisecond)
					mu.Lock()
					before, began := until, time.Now()
					mu.Unlock()
					if step.name == "start" || step.name == "a list" && c.pushed { // it was done by then
						began = began.Add(-700 * time.Millisecond)
					}
					step.do(s, client)
					synctest.Wait()
					mu.Lock()
					got, gotLag, want := until, lag, began.Add(step.fresh)
					mu.Unlock()
					if step.fresh == 0 { // as after any list
						want = began.Add(6 * sec)
					}
					if step.fresh == same {
						want = before
					}
					wantLag := 6 * sec // for which a change made later is not told
					if c.pushed || strings.HasPrefix(step.name, "silence") || strings.HasPrefix(step.name, "moved") {
						wantLag = 0
					}
					if gotLag != wantLag {
						t.Errorf("%s: what is made then counts after %v, want %v", step.name, gotLag, wantLag)
					}
					if !got.Equal(want) {
						t.Errorf("%s: fresh for %v from then on, want %v", step.name, got.Sub(began), want.Sub(began))
					}
				}
				stop()
				<-done
				s.mu.Lock()
				if s.last != nil {
					s.last.Close()
				}
				s.mu.Unlock()
			})
		})
	}
}
