package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/pacing"
	"oxbowloft/internal/standin"
)

// source is a stand-in for discovery at one address, for one caller in a synctest bubble:
// each call is answered as the test says then.
type source struct {
	mu     sync.Mutex
	answer func(conn net.Conn) // a call that is up; nil: refused
	last   net.Conn
	near   *resettable // its other side
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
	s.last, s.near = far, &resettable{Conn: near}
	answer := s.answer
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			go io.Copy(io.Discard, far)
			answer(far)
		}
	}()
	return s.near, nil
}

// resettable is a connection whose end can be told as a reset.
type resettable struct {
	net.Conn
	reset atomic.Bool
	lost  atomic.Int64 // an errno that its end is told as, once it is not 0
}

// Read implements net.Conn.
func (c *resettable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.reset.Load() {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	if errno := syscall.Errno(c.lost.Load()); err != nil && errno != 0 {
		err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	return n, err
}

// say writes to the watch that stands.
func (s *source) say(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.last, "%x\r\n%s\r\n", len(text), text)
}

// cut ends it in order.
func (s *source) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last.Close()
}

// reset ends it as a process that dies does.
func (s *source) reset() {
	s.mu.Lock()
	s.near.reset.Store(true)
	s.mu.Unlock()
	s.cut()
}

// loses ends it as the network does that gives a connection up.
func (s *source) loses(errno syscall.Errno) {
	s.mu.Lock()
	s.near.lost.Store(int64(errno))
	s.mu.Unlock()
	s.cut()
}

const watched = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func lists(rev int) func(net.Conn) {
	return func(c net.Conn) {
		line := standin.ListJSON(rev, true) + "\n"
		fmt.Fprintf(c, "%s%x\r\n%s\r\n", watched, len(line), line)
	}
}

func busy(c net.Conn) {
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// empty is a watch that is closed before its first list.
func empty(c net.Conn) {
	io.WriteString(c, watched)
	c.Close()
}

// setThenCut closes the call under way, and answers the next one so.
func setThenCut(answer func(net.Conn)) func(*source, *discovery.Client) {
	return func(s *source, _ *discovery.Client) { s.set(answer); s.cut() }
}

func reset(c net.Conn)  { c.Close() }
func silent(c net.Conn) {}

// A change counts as told 6 s after discovery had it and could be reached, whatever has
// become of watches and calls; what a watch has not told when it is closed, 2 s later; 4 s
// after a new configuration; where lists are pushed at once. The clock is put forward by a
// list that is taken and by signs of life behind it, and where nobody is there to tell; by
// nothing else. Each case is a row, or a way between rows, of the table in docs/design.md.
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
	const same, none = -1, -2 // none: it is not fresh at all
	ask := func(answer func(net.Conn)) func(*source, *discovery.Client) {
		return func(s *source, c *discovery.Client) { s.set(answer); c.CallNow() }
	}
	say := func(text string) func(*source, *discovery.Client) {
		return func(s *source, _ *discovery.Client) { s.say(text) }
	}
	cut := func(s *source, _ *discovery.Client) { s.set(silent); s.cut() }
	broken := func(s *source, _ *discovery.Client) { s.set(silent); s.reset() }
	nothing := func(*source, *discovery.Client) {}
	wait := func(*source, *discovery.Client) { time.Sleep(3 * sec) }
	move := func(addr string, answer func(net.Conn)) func(*source, *discovery.Client) {
		return func(s *source, c *discovery.Client) { s.set(answer); c.SetSource(addr) }
	}
	const second = "127.0.0.1:81"
	list := step{"a list", ask(lists(5)), 6 * sec}
	life := step{"a sign of life", say("\n"), 6 * sec}
	ended := step{"closed", cut, 2 * sec}
	for _, c := range []struct {
		name   string
		pushed bool
		steps  []step
	}{
		{"at the start", false, []step{{"start", nothing, none}, list}},
		{"at the start, turned away", false, []step{{"start", nothing, none}, {"503", ask(busy), same}, {"refused", ask(nil), same}, list}},
		{"at the start, silence", false, []step{{"start", nothing, none}, {"hangs", ask(silent), same}, {"silence", wait, same},
			{"refused", ask(nil), same}, list}},
		{"at the start, nobody there", false, []step{{"start", nothing, none}, {"refused", ask(nil), 6 * sec},
			{"again", ask(nil), 6 * sec}, {"503", ask(busy), same}}},
		{"a list and life", false, []step{list, life, life, {"a change", say(standin.ListJSON(6, false) + "\n"), 6 * sec}, life}},
		{"closed", false, []step{list, life, ended, list, life}},
		{"closed, then turned away", false, []step{list, life, ended, {"503", ask(busy), same}, {"again", ask(busy), same}, list}},
		{"closed, then reset", false, []step{list, ended, {"reset", ask(reset), same}, {"503", ask(busy), same}, list}},
		{"closed, and again", false, []step{list, ended, list, ended}},
		{"closed with no list", false, []step{list, ended, {"closed at once", ask(empty), same}, list}},
		{"closed, then nobody there", false, []step{list, ended, {"refused", ask(nil), same}, {"again", ask(nil), same}, list}},
		{"closed, and a call hangs", false, []step{list, ended, {"hangs", ask(silent), same}, {"silence", wait, same},
			{"silence, then 503", ask(busy), same}, list}},
		{"closed, then moved", false, []step{list, ended, {"moved", move(second, silent), same}, {"a list", setThenCut(lists(5)), same}, list}},
		{"turned away from the start", false, []step{{"503", ask(busy), same}, {"again", ask(busy), same}, list}},
		{"reset", false, []step{list, {"reset", broken, same}, {"503", ask(busy), same}, {"reset call", ask(reset), same}, list}},
		{"reset, then nobody there", false, []step{list, {"reset", broken, same}, {"refused", ask(nil), 6 * sec},
			{"again", ask(nil), 6 * sec}, {"503", ask(busy), same}}},
		{"reset, and a call hangs", false, []step{list, {"reset", broken, same}, {"hangs", ask(silent), same}, {"silence", wait, same},
			{"silence, then 503", ask(busy), same}, {"stale, then refused", ask(nil), same}, list}},
		{"silence, nobody there", false, []step{list, {"silence", wait, same}, {"refused", ask(nil), 6 * sec}, list}},
		{"a watch falls silent", false, []step{list, {"silence", wait, same}, {"silence, then 503", ask(busy), same}, list}},
		{"an older list begins a watch", false, []step{list, {"reset", broken, same}, {"older", ask(lists(4)), same}, {"older", ask(lists(4)), same}}},
		{"an older list on a standing watch", false, []step{list, {"older", say(standin.ListJSON(4, true) + "\n"), same}, life}},
		{"half a list", false, []step{list, {"half", say(`{"rev":6,`), same}, {"line ends in it", say("\n\n"), same},
			{"the rest", say(`"all":false,"targets":[]}` + "\n"), 6 * sec}}},
		{"half a list, then closed", false, []step{list, {"half", say(`{"rev":6,`), same}, ended}},
		{"what can't be read", false, []step{list, {"noise", say("noise\n"), 2 * sec}}},
		{"moved", false, []step{list, {"moved", move(second, silent), 4 * sec},
			{"moved, then 503", func(s *source, c *discovery.Client) { s.set(busy); s.cut() }, same}, list}},
		{"moved twice", false, []step{list, {"moved", move(second, silent), 4 * sec}, {"and on", move("127.0.0.1:82", silent), same},
			{"moved, then reset", setThenCut(silent), same}, list}},
		{"moved and back", false, []step{list, {"moved", move(second, silent), 4 * sec}, {"back", move("127.0.0.1:80", silent), same},
			{"moved, then reset", setThenCut(silent), same}, list}},
		{"moved, nobody there", false, []step{list, {"moved", move(second, nil), 6 * sec}}},
		{"pushed: at the start", true, []step{{"start", nothing, slack}}},
		{"pushed: a list and life", true, []step{{"a list", nothing, 0}, life}},
		{"pushed: closed, then turned away", true, []step{{"a list", nothing, 0},
			{"closed", func(s *source, _ *discovery.Client) { s.set(busy); s.cut() }, slack}, {"503", nothing, same}}},
		{"pushed: reset, then turned away", true, []step{{"a list", nothing, 0},
			{"reset", func(s *source, _ *discovery.Client) { s.set(busy); s.reset() }, slack}, {"503", nothing, same}}},
		{"pushed: a watch falls silent", true, []step{{"a list", nothing, 0},
			{"silence", func(s *source, c *discovery.Client) { s.set(silent); wait(s, c) }, same}}},
		{"pushed: nobody there", true, []step{{"a list", nothing, 0},
			{"reset", func(s *source, _ *discovery.Client) { s.set(nil); s.reset() }, slack}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var until time.Time
				s := &source{}
				var pacer discovery.Pacer = byHand{}
				if c.pushed {
					pacer = pacing.NewForAgent(rand.New(rand.NewPCG(1, 1)))
				}
				client := discovery.New("127.0.0.1:80", 3, pacer)
				client.Dial = s.dial
				client.OnList, client.OnEnd = func(*discovery.List) {}, func(discovery.CallEnd) {}
				client.OnFreshness = func(f discovery.Freshness) { mu.Lock(); until = f.Until; mu.Unlock() }
				s.set(silent)
				if c.pushed {
					s.set(lists(5))
					if c.steps[0].name == "start" {
						s.set(silent)
					}
					client.SetPushed(slack, 2*slack)
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
					got, want := until, began.Add(step.fresh)
					mu.Unlock()
					if step.fresh == 0 { // as after any list
						want = began.Add(6 * sec)
					}
					if step.fresh == none {
						want = began
					}
					if step.fresh == same {
						want = before
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

// While discovery can't be reached, a backend that serves calls may be used for longer than
// the list is fresh, up to 6 s after the last call that failed: what is changed after that
// counts as told later. Never after a watch was closed, until there is a list, and not after
// silence.
func TestFreshForWhatServes(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	const none = -1 // no longer than the list is fresh
	type step struct {
		name    string
		do      func(s *source, c *discovery.Client)
		serving time.Duration // from then on
	}
	ask := func(answer func(net.Conn)) func(*source, *discovery.Client) {
		return func(s *source, c *discovery.Client) { s.set(answer); c.CallNow() }
	}
	wait := func(*source, *discovery.Client) { time.Sleep(3 * sec) }
	move := func(_ *source, c *discovery.Client) { c.SetSource("127.0.0.1:81") }
	list := step{"a list", ask(lists(5)), none}
	broken := step{"reset", func(s *source, _ *discovery.Client) { s.set(silent); s.reset() }, 6 * sec}
	closed := step{"closed", func(s *source, _ *discovery.Client) { s.set(silent); s.cut() }, none}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"reset, turned away, a list", []step{list, broken, {"503", ask(busy), 6 * sec}, {"503", ask(busy), 6 * sec}, list}},
		{"turned away from the start", []step{{"503", ask(busy), 6 * sec}, {"reset", ask(reset), 6 * sec}, list}},
		{"reset, then a call hangs", []step{list, broken, {"hangs", ask(silent), 5300 * ms}, {"silence", wait, none},
			{"503", ask(busy), none}, list, broken}},
		{"silence", []step{list, {"silence", wait, none}, {"503", ask(busy), none}, list}},
		{"moved", []step{list, broken, {"moved", move, none}, {"503", func(s *source, c *discovery.Client) { s.set(busy); s.cut() }, none}, list}},
		{"closed", []step{list, closed, {"503", ask(busy), none}, {"reset", ask(reset), none}, {"refused", ask(nil), none}, list, broken}},
		{"reset, then closed with no list", []step{list, broken, {"closed at once", ask(empty), none}, {"503", ask(busy), none}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var fresh discovery.Freshness
				s := &source{}
				client := discovery.New("127.0.0.1:80", 3, byHand{})
				client.Dial = s.dial
				client.OnList, client.OnEnd = func(*discovery.List) {}, func(discovery.CallEnd) {}
				client.OnFreshness = func(f discovery.Freshness) { mu.Lock(); fresh = f; mu.Unlock() }
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan bool)
				go func() { defer close(done); client.Run(ctx) }()
				for _, step := range c.steps {
					time.Sleep(700 * ms)
					began := time.Now()
					step.do(s, client)
					synctest.Wait()
					mu.Lock()
					got, want := fresh, began.Add(step.serving)
					mu.Unlock()
					if step.serving == none {
						want = got.Until
					}
					if !got.UntilIfServing.Equal(want) {
						t.Errorf("%s: what serves is used for %v from then on, want %v", step.name,
							got.UntilIfServing.Sub(began), want.Sub(began))
					}
					if got.ServingWindow != 6*sec {
						t.Errorf("%s: what has served in %v is used, want 6 s", step.name, got.ServingWindow)
					}
				}
				stop()
				<-done
				s.mu.Lock()
				s.last.Close()
				s.mu.Unlock()
			})
		})
	}
}

// Changes may wait to be told where there has been a list and somebody may have more to tell:
// guards against backends that are doubted, and stay so, where nobody is there to ask.
func TestTellsLate(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		c := newCheckedClient()
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { defer close(done); c.Run(ctx) }()
		for _, step := range []struct {
			name   string
			answer func(net.Conn)
			late   bool
		}{
			{"nobody from the start on", nil, false},
			{"a list", lists(5), true},
			{"reset, then nobody", nil, false},
			{"turned away", busy, true},
			{"a list again", lists(5), true},
		} {
			c.source.set(step.answer)
			if step.name == "reset, then nobody" {
				c.source.reset()
				synctest.Wait()
			}
			c.CallNow()
			if _, _, _, fresh := c.seen(); fresh.MayAnnounceLate != step.late {
				t.Errorf("%s: tells late %t, want %t", step.name, fresh.MayAnnounceLate, step.late)
			}
		}
		stop()
		<-done
		c.source.last.Close()
	})
}
