package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// A slow dial does not use up a request's time: the request is sent to another backend,
// whatever its idempotency, since nothing has been written. Once open, the connection
// serves other requests, and the backend is not avoided.
func TestLateConnection(t *testing.T) {
	for _, class := range []string{"get", "put", "pay"} {
		t.Run(class, func(t *testing.T) {
			slow, other := standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo)
			p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", slow.Addr()), standin.TargetJSON("s-2", other.Addr())),
				"127.0.0.1:1")
			p.cfg.Grace = time.Millisecond // keeps the drain short
			up := make(chan struct{})
			var once sync.Once
			release := func() { once.Do(func() { close(up) }) }
			defer release()
			var mu sync.Mutex
			dialCount := 0
			p.driver.upstreamOptions.DialTimeout = 20 * time.Second
			p.driver.upstreamOptions.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if addr == slow.Addr() {
					// bounds the dial by the time of the request that started it
					ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
					defer cancel()
					mu.Lock()
					dialCount++
					mu.Unlock()
					select {
					case <-up:
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			}
			defer startProxy(t, p)()
			tried := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return dialCount > 0
			}
			for i := 0; i < 50 && !tried(); i++ {
				if code, body := sendRequest(t, dialProxy(t, p), class, 2000); code != http.StatusOK {
					t.Errorf("a request that met a slow dial: %d %q", code, body)
				}
			}
			if !tried() {
				t.Fatal("the slow backend was never dialed")
			}
			if _, avoided := p.driver.backendCounts(); avoided > 0 {
				t.Error("the slow backend is avoided")
			}
			mu.Lock()
			dialed := dialCount
			mu.Unlock()
			release()
			eventually(t, "slow connections established", func() bool {
				p.driver.mu.Lock()
				defer p.driver.mu.Unlock()
				return p.driver.backends["s-1"].IdleCount() == dialed
			})
			eventually(t, "slow connections used", func() bool {
				sendRequest(t, dialProxy(t, p), class, 2000)
				return slow.RequestCount() > 0
			})
			if opened, _ := slow.ConnCounts(); opened > dialed {
				t.Errorf("%d connections to the slow backend, want at most the %d dialed", opened, dialed)
			}
		})
	}
}
