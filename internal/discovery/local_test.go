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

// A call that fails for want of something on this machine says nothing of discovery, which may have told others of changes: neither
// is the list used for longer, nor what serves. A refused call is told by discovery's
// machine.
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
				s := &source{}
				s.set(lists(5))
				failing := false
				client := discovery.New("127.0.0.1:80", 3, byHand{})
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
				s.reset()
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
				longer := after.Until.After(before.Until) || after.UntilIfServing.After(before.UntilIfServing)
				if longer != c.outage {
					t.Errorf("fresh until %v and %v before, %v and %v after: used for longer %t, want %t",
						before.Until, before.UntilIfServing, after.Until, after.UntilIfServing, longer, c.outage)
				}
				stop()
				<-done
				s.cut()
			})
		})
	}
}

// A watch that the network has given up is one that fell silent: it was not ended in order,
// nor does its end say that discovery is down.
func TestLostWatchIsSilent(t *testing.T) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &source{}
				s.set(lists(5))
				ends := make(chan discovery.CallEnd, 10)
				client := discovery.New("127.0.0.1:80", 3, byHand{})
				client.Dial = s.dial
				client.OnList, client.OnEnd = func(*discovery.List) {}, func(end discovery.CallEnd) { ends <- end }
				client.OnFreshness = func(discovery.Freshness) {}
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan bool)
				go func() { defer close(done); client.Run(ctx) }()
				client.CallNow()
				synctest.Wait()
				s.loses(errno)
				if end := <-ends; end.Reason != discovery.Unresponsive {
					t.Errorf("the watch counts as %v: %v", end.Reason, end.Err)
				}
				stop()
				<-done
			})
		})
	}
}
