package discovery_test

import (
	"context"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oxbowloft/internal/discovery"
)

// checkedClient is a client with checks enabled that records its callbacks.
type checkedClient struct {
	*discovery.Client
	source *fakeSource

	mu    sync.Mutex
	calls int
	revs  []int64
	fresh discovery.Freshness
	ends  int
}

func newCheckedClient() *checkedClient {
	c := &checkedClient{Client: discovery.New("127.0.0.1:80", 3, manualPacer{}), source: &fakeSource{}}
	c.MinCheckInterval = 10 * sec
	c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.mu.Lock()
		c.calls++
		c.mu.Unlock()
		return c.source.dial(ctx, network, addr)
	}
	c.OnList = func(l *discovery.List) { c.mu.Lock(); c.revs = append(c.revs, l.Rev); c.mu.Unlock() }
	c.OnFreshness = func(f discovery.Freshness) { c.mu.Lock(); c.fresh = f; c.mu.Unlock() }
	c.OnEnd = func(discovery.CallEnd) { c.mu.Lock(); c.ends++; c.mu.Unlock() }
	return c
}

// state returns what has been recorded so far.
func (c *checkedClient) state() (calls, lists, ends int, fresh discovery.Freshness) {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, len(c.revs), c.ends, c.fresh
}

// sendHeartbeats writes heartbeats to the open watch for a time.
func (c *checkedClient) sendHeartbeats(watch net.Conn, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(sec) {
		io.WriteString(watch, "1\r\n\n\r\n")
	}
}

// A check brings the current list beside an open watch that announces late. Checks are rate-limited,
// and none is made without a watch, since calls for one are being made then. A rejected check
// changes neither the watch nor the freshness of the list.
func TestCheck(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		c := newCheckedClient()
		c.source.setAnswer(answerList(5))
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { defer close(done); c.Run(ctx) }()
		defer func() { stop(); <-done }()
		c.RequestCheck()
		time.Sleep(6 * sec)
		if calls, _, _, _ := c.state(); calls != 0 {
			t.Errorf("%d calls: a check was made without a watch", calls)
		}
		time.Sleep(6 * sec)

		c.CallNow()
		synctest.Wait()
		watch := c.source.serverConn
		c.source.setAnswer(answerList(6))
		_, _, _, before := c.state()
		c.RequestCheck()
		c.RequestCheck()
		c.sendHeartbeats(watch, 6*sec)
		calls, got, ends, fresh := c.state()
		if calls != 2 || got != 2 || ends != 0 {
			t.Errorf("%d calls, %d lists, %d ends; want the watch, one check, and no end", calls, got, ends)
		}
		if !fresh.ReceivedAt.After(before.ReceivedAt) {
			t.Error("the list of the check was not recorded as received")
		}

		c.source.setAnswer(rejectCall)
		c.RequestCheck()
		c.sendHeartbeats(watch, 2*sec)
		if calls, _, _, _ := c.state(); calls != 2 {
			t.Errorf("%d calls: a check was made too soon after another", calls)
		}
		c.sendHeartbeats(watch, 16*sec)
		calls, got, ends, after := c.state()
		if calls != 3 || got != 2 || ends != 0 {
			t.Errorf("%d calls, %d lists, %d ends; want a rejected check and an unchanged watch", calls, got, ends)
		}
		if after.ReceivedAt != fresh.ReceivedAt || !after.Until.After(time.Now().Add(4*sec)) {
			t.Errorf("received at %v before, %v after; fresh for %v", fresh.ReceivedAt, after.ReceivedAt, time.Until(after.Until))
		}
	})
}

// A watch is closed while a check waits for its answer. Changes that the watch did not announce count
// two seconds after the close, and the list of the check may be from before it. The list is
// used, but must not lift that staleness bound as a list of the watch would; only a later call
// may.
func TestCheckKeepsTheBoundOfAClosedWatch(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		c := newCheckedClient()
		c.source.setAnswer(answerList(5))
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { defer close(done); c.Run(ctx) }()
		defer func() { stop(); <-done }()
		c.CallNow()
		synctest.Wait()
		watch := c.source.serverConn
		answer := make(chan bool)
		c.source.setAnswer(func(conn net.Conn) {
			<-answer
			answerList(6)(conn)
		})
		c.RequestCheck()
		for calls, _, _, _ := c.state(); calls < 2; calls, _, _, _ = c.state() {
			c.sendHeartbeats(watch, sec)
		}
		watch.Close()
		_, _, ends, ended := c.state()
		close(answer)
		_, got, _, after := c.state()
		if ends != 1 || got != 2 {
			t.Fatalf("%d ends, %d lists; want the end of the watch and the list of the check", ends, got)
		}
		if after.Until.After(ended.Until) || time.Until(ended.Until) > 2*sec {
			t.Errorf("fresh for %v after the close, for %v after the list of the check", time.Until(ended.Until), time.Until(after.Until))
		}
		c.source.setAnswer(answerList(7))
		c.CallNow()
		if _, _, _, fresh := c.state(); time.Until(fresh.Until) < 5*sec {
			t.Errorf("fresh for %v after the list of a new watch", time.Until(fresh.Until))
		}
	})
}
