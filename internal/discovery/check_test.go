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

// checkedClient is a client with checks, and what it has told.
type checkedClient struct {
	*discovery.Client
	source *source

	mu    sync.Mutex
	calls int
	revs  []int64
	fresh discovery.Freshness
	ends  int
}

func newCheckedClient() *checkedClient {
	c := &checkedClient{Client: discovery.New("127.0.0.1:80", 3, byHand{}), source: &source{}}
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

// seen is what has come of it so far.
func (c *checkedClient) seen() (calls, lists, ends int, fresh discovery.Freshness) {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, len(c.revs), c.ends, c.fresh
}

// live writes signs of life to the watch that stands, for a time.
func (c *checkedClient) live(watch net.Conn, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(sec) {
		io.WriteString(watch, "1\r\n\n\r\n")
	}
}

// A check brings the list as it is now beside a watch that stands and is late: once in a
// while at most, and never where no watch stands, as calls are being made for one then. One
// that is turned away leaves the watch, and for how long the list may be used, as they are.
func TestCheck(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		c := newCheckedClient()
		c.source.set(lists(5))
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { defer close(done); c.Run(ctx) }()
		defer func() { stop(); <-done }()
		c.RequestCheck()
		time.Sleep(6 * sec)
		if calls, _, _, _ := c.seen(); calls != 0 {
			t.Errorf("%d calls, checks without a watch", calls)
		}
		time.Sleep(6 * sec)

		c.CallNow()
		synctest.Wait()
		watch := c.source.last
		c.source.set(lists(6))
		_, _, _, before := c.seen()
		c.RequestCheck()
		c.RequestCheck()
		c.live(watch, 6*sec)
		calls, got, ends, fresh := c.seen()
		if calls != 2 || got != 2 || ends != 0 {
			t.Errorf("%d calls, %d lists, %d ends; want the watch, one check, and no end", calls, got, ends)
		}
		if !fresh.ReceivedAt.After(before.ReceivedAt) {
			t.Error("the check's list is not told")
		}

		c.source.set(busy)
		c.RequestCheck()
		c.live(watch, 2*sec)
		if calls, _, _, _ := c.seen(); calls != 2 {
			t.Errorf("%d calls, a check right behind another", calls)
		}
		c.live(watch, 16*sec)
		calls, got, ends, after := c.seen()
		if calls != 3 || got != 2 || ends != 0 {
			t.Errorf("%d calls, %d lists, %d ends; want a check that is turned away, and the watch as it was", calls, got, ends)
		}
		if after.ReceivedAt != fresh.ReceivedAt || !after.Until.After(time.Now().Add(4*sec)) {
			t.Errorf("told at %v before, %v after; fresh for %v", fresh.ReceivedAt, after.ReceivedAt, time.Until(after.Until))
		}
	})
}

// A watch is closed while a check beside it waits for its answer. What the watch has not told
// counts two seconds after the close, and the check's list may be from before that: it is used,
// and the list is stale by then all the same, until a call that was made later has brought one.
// As found it was taken for a list of the watch, and lifted that bound. Found by reading.
func TestCheckDoesNotLiftTheBoundOfAClose(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		c := newCheckedClient()
		c.source.set(lists(5))
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { defer close(done); c.Run(ctx) }()
		defer func() { stop(); <-done }()
		c.CallNow()
		synctest.Wait()
		watch := c.source.last
		answer := make(chan bool)
		c.source.set(func(conn net.Conn) {
			<-answer
			lists(6)(conn)
		})
		c.RequestCheck()
		for calls, _, _, _ := c.seen(); calls < 2; calls, _, _, _ = c.seen() {
			c.live(watch, sec)
		}
		watch.Close()
		_, _, ends, ended := c.seen()
		close(answer)
		_, got, _, after := c.seen()
		if ends != 1 || got != 2 {
			t.Fatalf("%d ends, %d lists; want the watch's end, and the check's list", ends, got)
		}
		if after.Until.After(ended.Until) || time.Until(ended.Until) > 2*sec {
			t.Errorf("fresh for %v after the close, for %v after the check's list", time.Until(ended.Until), time.Until(after.Until))
		}
		c.source.set(lists(7))
		c.CallNow()
		if _, _, _, fresh := c.seen(); time.Until(fresh.Until) < 5*sec {
			t.Errorf("fresh for %v after a list of a new watch", time.Until(fresh.Until))
		}
	})
}
