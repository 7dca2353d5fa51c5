package discovery_test

import (
	"context"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"oxbowloft/internal/discovery"
)

// A call that fails for lack of a local resource says nothing about discovery, which may have
// announced changes to others: it must not extend the use of the list. A refused connection is
// an answer of discovery's machine and does.
func TestLocalFailureIsNoOutage(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	for _, c := range []struct {
		errno  syscall.Errno
		outage bool
	}{
		{syscall.EADDRNOTAVAIL, false},
		{syscall.EMFILE, false},
		{syscall.ENFILE, false},
		{syscall.ENOBUFS, false},
		{syscall.ENETUNREACH, false},
		{syscall.ECONNREFUSED, true},
	} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var fresh discovery.Freshness
				s := &fakeSource{}
				s.setAnswer(answerList(5))
				failing := false
				client := discovery.New("127.0.0.1:80", 3, manualPacer{})
				client.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					mu.Lock()
					fail := failing
					mu.Unlock()
					if fail {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", c.errno)}
					}
					return s.dial(ctx, network, addr)
				}
				client.OnList, client.OnEnd = func(*discovery.List) {}, func(discovery.CallEnd) {}
				client.OnFreshness = func(f discovery.Freshness) { mu.Lock(); fresh = f; mu.Unlock() }
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan bool)
				go func() { defer close(done); client.Run(ctx) }()
				client.CallNow()
				synctest.Wait()

				// The watch breaks, and from then on each call fails.
				mu.Lock()
				failing = true
				mu.Unlock()
				s.resetConn()
				synctest.Wait()
				mu.Lock()
				before := fresh
				mu.Unlock()
				for range 3 {
					time.Sleep(time.Second)
					client.CallNow()
					synctest.Wait()
				}
				mu.Lock()
				after := fresh
				mu.Unlock()
				extended := after.Until.After(before.Until) || after.UntilIfServing.After(before.UntilIfServing)
				if extended != c.outage {
					t.Errorf("fresh until %v and %v before, %v and %v after: extended %t, want %t",
						before.Until, before.UntilIfServing, after.Until, after.UntilIfServing, extended, c.outage)
				}
				stop()
				<-done
				s.closeConn()
			})
		})
	}
}

// A watch whose connection the network has dropped counts as unresponsive: it was not closed in
// order, and its end does not show that discovery is down.
func TestDroppedWatchIsUnresponsive(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSource{}
				s.setAnswer(answerList(5))
				ends := make(chan discovery.CallEnd, 10)
				client := discovery.New("127.0.0.1:80", 3, manualPacer{})
				client.Dial = s.dial
				client.OnList, client.OnEnd = func(*discovery.List) {}, func(end discovery.CallEnd) { ends <- end }
				client.OnFreshness = func(discovery.Freshness) {}
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan bool)
				go func() { defer close(done); client.Run(ctx) }()
				client.CallNow()
				synctest.Wait()
				s.failConn(errno)
				if end := <-ends; end.Reason != discovery.Unresponsive {
					t.Errorf("the watch counts as %v: %v", end.Reason, end.Err)
				}
				stop()
				<-done
			})
		})
	}
}
