package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"oxbowloft/internal/standin"
	"oxbowloft/logic"
)

// A connection that can't be opened for a local reason does not count as a failure of the
// backend. The backend is not ejected, and the request is tried again.
func TestLocalDialErrorIsNoBackendFailure(t *testing.T) {
	for _, c := range []struct {
		errno      syscall.Errno
		localError bool
	}{
		{syscall.EADDRNOTAVAIL, true},
		{syscall.EAGAIN, true},
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
		{syscall.ENOBUFS, true},
		{syscall.ENETUNREACH, true},
		{syscall.ECONNREFUSED, false},
		{syscall.EHOSTUNREACH, false},
	} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			first, second := standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo)
			p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", first.Addr()), standin.TargetJSON("s-2", second.Addr())),
				"127.0.0.1:1")
			p.cfg.Grace = 1 // keeps the drain short
			var failures atomic.Int64
			failures.Store(9)
			p.driver.upstreamOptions.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if failures.Add(-1) >= 0 {
					return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", c.errno)}
				}
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			}
			defer startProxy(t, p)()
			for failures.Load() > 0 {
				sendRequest(t, dialProxy(t, p), "get", 2000)
			}
			p.stats.mu.Lock()
			counted := p.stats.attemptResults[logic.ConnectFailed]
			p.stats.mu.Unlock()
			if (counted == 0) != c.localError {
				t.Errorf("%d attempts counted against backends", counted)
			}
			if _, avoided := p.driver.backendCounts(); c.localError && avoided > 0 {
				t.Errorf("%d backends are avoided", avoided)
			}
			if code, body := sendRequest(t, dialProxy(t, p), "get", 2000); c.localError && code != http.StatusOK {
				t.Errorf("after the dial errors: %d %q", code, body)
			}
		})
	}
}
