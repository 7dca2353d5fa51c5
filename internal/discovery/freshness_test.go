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

// fakeSource simulates discovery at one address for one caller in a synctest bubble. Each call gets
// the answer that is set at that time.
type fakeSource struct {
	mu         sync.Mutex
	answer     func(conn net.Conn) // to an established call; nil: refuse connections
	serverConn net.Conn            // of the last call
	clientConn *faultyConn         // other end of serverConn
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
	client, server := net.Pipe()
	s.serverConn, s.clientConn = server, &faultyConn{Conn: client}
	answer := s.answer
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			go io.Copy(io.Discard, server)
			answer(server)
		}
	}()
	return s.clientConn, nil
}

// faultyConn is a connection whose end can be reported as a reset or another errno.
type faultyConn struct {
	net.Conn
	reset atomic.Bool
	errno atomic.Int64 // if not 0, the errno reported at its end
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

// write writes a chunk to the open watch.
func (s *fakeSource) write(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.serverConn, "%x\r\n%s\r\n", len(text), text)
}

// closeConn closes the connection in order.
func (s *fakeSource) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverConn.Close()
}

// resetConn ends the connection with a reset, like a process that dies.
func (s *fakeSource) resetConn() {
	s.mu.Lock()
	s.clientConn.reset.Store(true)
	s.mu.Unlock()
	s.closeConn()
}

// failConn ends the connection with an errno of the network.
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

// closeBeforeList answers with a watch and closes it before its first list.
func closeBeforeList(c net.Conn) {
	io.WriteString(c, watchHeader)
	c.Close()
}

// setAnswerAndClose sets the answer for the next call and closes the current one.
func setAnswerAndClose(answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
	return func(s *fakeSource, _ *discovery.Client) { s.setAnswer(answer); s.closeConn() }
}

func closeUnanswered(c net.Conn) { c.Close() }
func noAnswer(c net.Conn)        {}

// A change counts as announced 6 s after discovery had it and could be reached, whatever became of
// watches and calls; 2 s after the close of a watch that did not announce it; 4 s after a new
// configuration; and at once where lists are pushed. The staleness bound is extended only by a
// list that is used, by heartbeats after it, and by refused connections. The cases cover each
// of these bounds and the transitions between them.
func TestFreshness(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	const slack = 250 * time.Millisecond // where lists are pushed
	// an action, and how long the list is fresh from then on; same and none are special values
	type step struct {
		name     string
		do       func(s *fakeSource, c *discovery.Client)
		freshFor time.Duration
	}
	const same, none = -1, -2 // same: the bound does not move; none: the list is not fresh
	call := func(answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, c *discovery.Client) { s.setAnswer(answer); c.CallNow() }
	}
	write := func(text string) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, _ *discovery.Client) { s.write(text) }
	}
	closeWatch := func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.closeConn() }
	reset := func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.resetConn() }
	nothing := func(*fakeSource, *discovery.Client) {}
	wait := func(*fakeSource, *discovery.Client) { time.Sleep(3 * sec) }
	move := func(addr string, answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, c *discovery.Client) { s.setAnswer(answer); c.SetSource(addr) }
	}
	const second = "127.0.0.1:81"
	list := step{"a list", call(answerList(5)), 6 * sec}
	heartbeat := step{"a heartbeat", write("\n"), 6 * sec}
	ended := step{"closed", closeWatch, 2 * sec}
	for _, c := range []struct {
		name   string
		pushed bool
		steps  []step
	}{
		{"at the start", false, []step{{"start", nothing, none}, list}},
		{"at the start, rejected", false, []step{{"start", nothing, none}, {"503", call(rejectCall), same}, {"refused", call(nil), same}, list}},
		{"at the start, no response", false, []step{{"start", nothing, none}, {"unanswered", call(noAnswer), same}, {"no response", wait, same},
			{"refused", call(nil), same}, list}},
		{"at the start, no listener", false, []step{{"start", nothing, none}, {"refused", call(nil), 6 * sec},
			{"again", call(nil), 6 * sec}, {"503", call(rejectCall), same}}},
		{"a list and heartbeats", false, []step{list, heartbeat, heartbeat, {"a change", write(standin.ListJSON(6, false) + "\n"), 6 * sec}, heartbeat}},
		{"closed", false, []step{list, heartbeat, ended, list, heartbeat}},
		{"closed, then rejected", false, []step{list, heartbeat, ended, {"503", call(rejectCall), same}, {"again", call(rejectCall), same}, list}},
		{"closed, then reset", false, []step{list, ended, {"reset", call(closeUnanswered), same}, {"503", call(rejectCall), same}, list}},
		{"closed, and again", false, []step{list, ended, list, ended}},
		{"closed with no list", false, []step{list, ended, {"closed at once", call(closeBeforeList), same}, list}},
		{"closed, then no listener", false, []step{list, ended, {"refused", call(nil), same}, {"again", call(nil), same}, list}},
		{"closed, and an unanswered call", false, []step{list, ended, {"unanswered", call(noAnswer), same}, {"no response", wait, same},
			{"no response, then 503", call(rejectCall), same}, list}},
		{"closed, then source changed", false, []step{list, ended, {"source changed", move(second, noAnswer), same}, {"a list", setAnswerAndClose(answerList(5)), same}, list}},
		{"rejected from the start", false, []step{{"503", call(rejectCall), same}, {"again", call(rejectCall), same}, list}},
		{"reset", false, []step{list, {"reset", reset, same}, {"503", call(rejectCall), same}, {"reset call", call(closeUnanswered), same}, list}},
		{"reset, then no listener", false, []step{list, {"reset", reset, same}, {"refused", call(nil), 6 * sec},
			{"again", call(nil), 6 * sec}, {"503", call(rejectCall), same}}},
		{"reset, and an unanswered call", false, []step{list, {"reset", reset, same}, {"unanswered", call(noAnswer), same}, {"no response", wait, same},
			{"no response, then 503", call(rejectCall), same}, {"stale, then refused", call(nil), same}, list}},
		{"no response, no listener", false, []step{list, {"no response", wait, same}, {"refused", call(nil), 6 * sec}, list}},
		{"an unresponsive watch", false, []step{list, {"no response", wait, same}, {"no response, then 503", call(rejectCall), same}, list}},
		{"an older list begins a watch", false, []step{list, {"reset", reset, same}, {"older", call(answerList(4)), same}, {"older", call(answerList(4)), same}}},
		{"an older list on an open watch", false, []step{list, {"older", write(standin.ListJSON(4, true) + "\n"), same}, heartbeat}},
		{"a partial list", false, []step{list, {"first part", write(`{"rev":6,`), same}, {"line ends in it", write("\n\n"), same},
			{"the rest", write(`"all":false,"targets":[]}` + "\n"), 6 * sec}}},
		{"a partial list, then closed", false, []step{list, {"first part", write(`{"rev":6,`), same}, ended}},
		{"a malformed list", false, []step{list, {"malformed", write("noise\n"), 2 * sec}}},
		{"source changed", false, []step{list, {"source changed", move(second, noAnswer), 4 * sec},
			{"source changed, then 503", func(s *fakeSource, c *discovery.Client) { s.setAnswer(rejectCall); s.closeConn() }, same}, list}},
		{"source changed twice", false, []step{list, {"source changed", move(second, noAnswer), 4 * sec}, {"changed again", move("127.0.0.1:82", noAnswer), same},
			{"source changed, then reset", setAnswerAndClose(noAnswer), same}, list}},
		{"source changed and back", false, []step{list, {"source changed", move(second, noAnswer), 4 * sec}, {"changed back", move("127.0.0.1:80", noAnswer), same},
			{"source changed, then reset", setAnswerAndClose(noAnswer), same}, list}},
		{"source changed, no listener", false, []step{list, {"source changed", move(second, nil), 6 * sec}}},
		{"pushed: at the start", true, []step{{"start", nothing, slack}}},
		{"pushed: a list and a heartbeat", true, []step{{"a list", nothing, 0}, heartbeat}},
		{"pushed: closed, then rejected", true, []step{{"a list", nothing, 0},
			{"closed", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(rejectCall); s.closeConn() }, slack}, {"503", nothing, same}}},
		{"pushed: reset, then rejected", true, []step{{"a list", nothing, 0},
			{"reset", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(rejectCall); s.resetConn() }, slack}, {"503", nothing, same}}},
		{"pushed: an unresponsive watch", true, []step{{"a list", nothing, 0},
			{"no response", func(s *fakeSource, c *discovery.Client) { s.setAnswer(noAnswer); wait(s, c) }, same}}},
		{"pushed: no listener", true, []step{{"a list", nothing, 0},
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
					if step.name == "start" || step.name == "a list" && c.pushed { // it took place at the start
						began = began.Add(-700 * time.Millisecond)
					}
					step.do(s, client)
					synctest.Wait()
					mu.Lock()
					got, want := until, began.Add(step.freshFor)
					mu.Unlock()
					if step.freshFor == 0 { // a list received at the start, with the usual bound
						want = began.Add(6 * sec)
					}
					if step.freshFor == none {
						want = began
					}
					if step.freshFor == same {
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

// While discovery is unreachable, a backend that serves calls may be used for longer than the list is
// fresh, up to 6 s after the last failed call, since later changes count as announced later.
// This does not hold after a closed watch until the next list, nor after an unresponsive one.
func TestFreshnessForServingBackends(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	const none = -1 // no longer than the list is fresh
	type step struct {
		name    string
		do      func(s *fakeSource, c *discovery.Client)
		serving time.Duration // from then on
	}
	call := func(answer func(net.Conn)) func(*fakeSource, *discovery.Client) {
		return func(s *fakeSource, c *discovery.Client) { s.setAnswer(answer); c.CallNow() }
	}
	wait := func(*fakeSource, *discovery.Client) { time.Sleep(3 * sec) }
	move := func(_ *fakeSource, c *discovery.Client) { c.SetSource("127.0.0.1:81") }
	list := step{"a list", call(answerList(5)), none}
	reset := step{"reset", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.resetConn() }, 6 * sec}
	closed := step{"closed", func(s *fakeSource, _ *discovery.Client) { s.setAnswer(noAnswer); s.closeConn() }, none}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"reset, rejected, a list", []step{list, reset, {"503", call(rejectCall), 6 * sec}, {"503", call(rejectCall), 6 * sec}, list}},
		{"rejected from the start", []step{{"503", call(rejectCall), 6 * sec}, {"reset", call(closeUnanswered), 6 * sec}, list}},
		{"reset, then an unanswered call", []step{list, reset, {"unanswered", call(noAnswer), 5300 * ms}, {"no response", wait, none},
			{"503", call(rejectCall), none}, list, reset}},
		{"no response", []step{list, {"no response", wait, none}, {"503", call(rejectCall), none}, list}},
		{"source changed", []step{list, reset, {"source changed", move, none}, {"503", func(s *fakeSource, c *discovery.Client) { s.setAnswer(rejectCall); s.closeConn() }, none}, list}},
		{"closed", []step{list, closed, {"503", call(rejectCall), none}, {"reset", call(closeUnanswered), none}, {"refused", call(nil), none}, list, reset}},
		{"reset, then closed with no list", []step{list, reset, {"closed at once", call(closeBeforeList), none}, {"503", call(rejectCall), none}}},
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
						t.Errorf("%s: serving backends are used for %v from then on, want %v", step.name,
							got.UntilIfServing.Sub(began), want.Sub(began))
					}
					if got.ServingWindow != 6*sec {
						t.Errorf("%s: the serving window is %v, want 6 s", step.name, got.ServingWindow)
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

// Changes may be announced late if a list has come and discovery has a listener. Without one,
// backends must not be doubted indefinitely, as no call could confirm them.
func TestMayAnnounceLate(t *testing.T) {
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
			{"no listener from the start", nil, false},
			{"a list", answerList(5), true},
			{"reset, then no listener", nil, false},
			{"rejected", rejectCall, true},
			{"another list", answerList(5), true},
		} {
			c.source.setAnswer(step.answer)
			if step.name == "reset, then no listener" {
				c.source.resetConn()
				synctest.Wait()
			}
			c.CallNow()
			if _, _, _, fresh := c.state(); fresh.MayAnnounceLate != step.late {
				t.Errorf("%s: may announce late %t, want %t", step.name, fresh.MayAnnounceLate, step.late)
			}
		}
		stop()
		<-done
		c.source.serverConn.Close()
	})
}
