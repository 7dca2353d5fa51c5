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

// fakeSource is a stand-in for discovery at one address, for one caller in a synctest bubble:
// each call is answered as the test says then.
type fakeSource struct {
	mu         sync.Mutex
	answer     func(conn net.Conn) // a call that is up; nil: refused
	serverConn net.Conn
	clientConn *faultyConn // its other side
}

func (s *fakeSource) setAnswer(answer func(net.Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *fakeSource) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	s.serverConn, s.clientConn = far, &faultyConn{Conn: near}
	answer := s.answer
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			go io.Copy(io.Discard, far)
			answer(far)
		}
	}()
	return s.clientConn, nil
}

// faultyConn is a connection whose end can be told as a reset.
type faultyConn struct {
	net.Conn
	reset atomic.Bool
	errno atomic.Int64 // an errno that its end is told as, once it is not 0
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.reset.Load() {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	if errno := syscall.Errno(c.errno.Load()); err != nil && errno != 0 {
		err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	return n, err
}

// write writes to the watch that stands.
func (s *fakeSource) write(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.serverConn, "%x\r\n%s\r\n", len(text), text)
}

// closeConn ends it in order.
func (s *fakeSource) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverConn.Close()
}

// resetConn ends it as a process that dies does.
func (s *fakeSource) resetConn() {
	s.mu.Lock()
	s.clientConn.reset.Store(true)
	s.mu.Unlock()
	s.closeConn()
}

// failConn ends it as the network does that gives a connection up.
func (s *fakeSource) failConn(errno syscall.Errno) {
	s.mu.Lock()
	s.clientConn.errno.Store(int64(errno))
	s.mu.Unlock()
	s.closeConn()
}

const watchHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func answerList(rev int) func(net.Conn) {
	return func(c net.Conn) {
		line := standin.ListJSON(rev, true) + "\n"
		fmt.Fprintf(c, "%s%x\r\n%s\r\n", watchHeader, len(line), line)
	}
}

func rejectCall(c net.Conn) {
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// closeBeforeList is a watch that is closed before its first list.
func closeBeforeList(c net.Conn) {
	io.WriteString(c, watchHeader)
	c.Close()
}

// setAnswerAndClose closes the call under way, and answers the next one so.
func setAnswerAndClose(answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
	return func(s *fakeSource, _ *discovery.Client) { s.setAnswer(answer); s.closeConn() }
}

func closeUnanswered(c net.Conn) { c.Close() }
func noAnswer(c net.Conn)        {}

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
		do    func(s *fakeSource, c *discovery.Client)
		fresh time.Duration
	}
	const same, none = -1, -2 // none: it is not fresh at all
	ask := func(answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, c *discovery.Client) { s.setAnswer(answer); c.CallNow() }
	}
	say := func(text string) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, _ *discovery.Client) { s.write(text) }
	}
	cut := func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.closeConn() }
	broken := func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.resetConn() }
	nothing := func(*fakeSource, *discovery.Client) {}
	wait := func(*fakeSource, *discovery.Client) { time.Sleep(3 * sec) }
	move := func(addr string, answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, c *discovery.Client) { s.setAnswer(answer); c.SetSource(addr) }
	}
	const second = "127.0.0.1:81"
	list := step{"a list", ask(answerList(5)), 6 * sec}
	life := step{"a sign of life", say("\n"), 6 * sec}
	ended := step{"closed", cut, 2 * sec}
	for _, c := range []struct {
		name   string
		pushed bool
		steps  []step
	}{
		{"at the start", false, []step{{"start", nothing, none}, list}},
		{"at the start, turned away", false, []step{{"start", nothing, none}, {"503", ask(rejectCall), same}, {"refused", ask(nil), same}, list}},
		{"at the start, silence", false, []step{{"start", nothing, none}, {"hangs", ask(noAnswer), same}, {"silence", wait, same},
			{"refused", ask(nil), same}, list}},
		{"at the start, nobody there", false, []step{{"start", nothing, none}, {"refused", ask(nil), 6 * sec},
			{"again", ask(nil), 6 * sec}, {"503", ask(rejectCall), same}}},
		{"a list and life", false, []step{list, life, life, {"a change", say(standin.ListJSON(6, false) + "\n"), 6 * sec}, life}},
		{"closed", false, []step{list, life, ended, list, life}},
		{"closed, then turned away", false, []step{list, life, ended, {"503", ask(rejectCall), same}, {"again", ask(rejectCall), same}, list}},
		{"closed, then reset", false, []step{list, ended, {"reset", ask(closeUnanswered), same}, {"503", ask(rejectCall), same}, list}},
		{"closed, and again", false, []step{list, ended, list, ended}},
		{"closed with no list", false, []step{list, ended, {"closed at once", ask(closeBeforeList), same}, list}},
		{"closed, then nobody there", false, []step{list, ended, {"refused", ask(nil), same}, {"again", ask(nil), same}, list}},
		{"closed, and a call hangs", false, []step{list, ended, {"hangs", ask(noAnswer), same}, {"silence", wait, same},
			{"silence, then 503", ask(rejectCall), same}, list}},
		{"closed, then moved", false, []step{list, ended, {"moved", move(second, noAnswer), same}, {"a list", setAnswerAndClose(answerList(5)), same}, list}},
		{"turned away from the start", false, []step{{"503", ask(rejectCall), same}, {"again", ask(rejectCall), same}, list}},
		{"reset", false, []step{list, {"reset", broken, same}, {"503", ask(rejectCall), same}, {"reset call", ask(closeUnanswered), same}, list}},
		{"reset, then nobody there", false, []step{list, {"reset", broken, same}, {"refused", ask(nil), 6 * sec},
			{"again", ask(nil), 6 * sec}, {"503", ask(rejectCall), same}}},
		{"reset, and a call hangs", false, []step{list, {"reset", broken, same}, {"hangs", ask(noAnswer), same}, {"silence", wait, same},
			{"silence, then 503", ask(rejectCall), same}, {"stale, then refused", ask(nil), same}, list}},
		{"silence, nobody there", false, []step{list, {"silence", wait, same}, {"refused", ask(nil), 6 * sec}, list}},
		{"a watch falls silent", false, []step{list, {"silence", wait, same}, {"silence, then 503", ask(rejectCall), same}, list}},
		{"an older list begins a watch", false, []step{list, {"reset", broken, same}, {"older", ask(answerList(4)), same}, {"older", ask(answerList(4)), same}}},
		{"an older list on a standing watch", false, []step{list, {"older", say(standin.ListJSON(4, true) + "\n"), same}, life}},
		{"half a list", false, []step{list, {"half", say(`{"rev":6,`), same}, {"line ends in it", say("\n\n"), same},
			{"the rest", say(`"all":false,"targets":[]}` + "\n"), 6 * sec}}},
		{"half a list, then closed", false, []step{list, {"half", say(`{"rev":6,`), same}, ended}},
		{"what can't be read", false, []step{list, {"noise", say("noise\n"), 2 * sec}}},
		{"moved", false, []step{list, {"moved", move(second, noAnswer), 4 * sec},
			{"moved, then 503", func(s *fakeSource, c *discovery.Client) { s.setAnswer(rejectCall); s.closeConn() }, same}, list}},
		{"moved twice", false, []step{list, {"moved", move(second, noAnswer), 4 * sec}, {"and on", move("127.0.0.1:82", noAnswer), same},
			{"moved, then reset", setAnswerAndClose(noAnswer), same}, list}},
		{"moved and back", false, []step{list, {"moved", move(second, noAnswer), 4 * sec}, {"back", move("127.0.0.1:80", noAnswer), same},
			{"moved, then reset", setAnswerAndClose(noAnswer), same}, list}},
		{"moved, nobody there", false, []step{list, {"moved", move(second, nil), 6 * sec}}},
		{"pushed: at the start", true, []step{{"start", nothing, slack}}},
		{"pushed: a list and life", true, []step{{"a list", nothing, 0}, life}},
		{"pushed: closed, then turned away", true, []step{{"a list", nothing, 0},
			{"closed", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(rejectCall); s.closeConn() }, slack}, {"503", nothing, same}}},
		{"pushed: reset, then turned away", true, []step{{"a list", nothing, 0},
			{"reset", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(rejectCall); s.resetConn() }, slack}, {"503", nothing, same}}},
		{"pushed: a watch falls silent", true, []step{{"a list", nothing, 0},
			{"silence", func(s *fakeSource, c *discovery.Client) { s.setAnswer(noAnswer); wait(s, c) }, same}}},
		{"pushed: nobody there", true, []step{{"a list", nothing, 0},
			{"reset", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(nil); s.resetConn() }, slack}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var until time.Time
				s := &fakeSource{}
				var pacer discovery.Pacer = manualPacer{}
				if c.pushed {
					pacer = pacing.NewForAgent(rand.New(rand.NewPCG(1, 1)))
				}
				client := discovery.New("127.0.0.1:80", 3, pacer)
				client.Dial = s.dial
				client.OnList, client.OnEnd = func(*discovery.List) {}, func(discovery.CallEnd) {}
				client.OnFreshness = func(f discovery.Freshness) { mu.Lock(); until = f.Until; mu.Unlock() }
				s.setAnswer(noAnswer)
				if c.pushed {
					s.setAnswer(answerList(5))
					if c.steps[0].name == "start" {
						s.setAnswer(noAnswer)
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
				if s.serverConn != nil {
					s.serverConn.Close()
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
		do      func(s *fakeSource, c *discovery.Client)
		serving time.Duration // from then on
	}
	ask := func(answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, c *discovery.Client) { s.setAnswer(answer); c.CallNow() }
	}
	wait := func(*fakeSource, *discovery.Client) { time.Sleep(3 * sec) }
	move := func(_ *fakeSource, c *discovery.Client) { c.SetSource("127.0.0.1:81") }
	list := step{"a list", ask(answerList(5)), none}
	broken := step{"reset", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.resetConn() }, 6 * sec}
	closed := step{"closed", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.closeConn() }, none}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"reset, turned away, a list", []step{list, broken, {"503", ask(rejectCall), 6 * sec}, {"503", ask(rejectCall), 6 * sec}, list}},
		{"turned away from the start", []step{{"503", ask(rejectCall), 6 * sec}, {"reset", ask(closeUnanswered), 6 * sec}, list}},
		{"reset, then a call hangs", []step{list, broken, {"hangs", ask(noAnswer), 5300 * ms}, {"silence", wait, none},
			{"503", ask(rejectCall), none}, list, broken}},
		{"silence", []step{list, {"silence", wait, none}, {"503", ask(rejectCall), none}, list}},
		{"moved", []step{list, broken, {"moved", move, none}, {"503", func(s *fakeSource, c *discovery.Client) { s.setAnswer(rejectCall); s.closeConn() }, none}, list}},
		{"closed", []step{list, closed, {"503", ask(rejectCall), none}, {"reset", ask(closeUnanswered), none}, {"refused", ask(nil), none}, list, broken}},
		{"reset, then closed with no list", []step{list, broken, {"closed at once", ask(closeBeforeList), none}, {"503", ask(rejectCall), none}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var fresh discovery.Freshness
				s := &fakeSource{}
				client := discovery.New("127.0.0.1:80", 3, manualPacer{})
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
				s.serverConn.Close()
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
			{"a list", answerList(5), true},
			{"reset, then nobody", nil, false},
			{"turned away", rejectCall, true},
			{"a list again", answerList(5), true},
		} {
			c.source.setAnswer(step.answer)
			if step.name == "reset, then nobody" {
				c.source.resetConn()
				synctest.Wait()
			}
			c.CallNow()
			if _, _, _, fresh := c.state(); fresh.MayAnnounceLate != step.late {
				t.Errorf("%s: tells late %t, want %t", step.name, fresh.MayAnnounceLate, step.late)
			}
		}
		stop()
		<-done
		c.source.serverConn.Close()
	})
}
