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

// A connection that comes up late takes no request's time: the request is sent elsewhere,
// whatever a second run of it would do, since nothing has been written. The connection
// serves another once it is up, and its backend is not avoided for it.
func TestLateConnection(t *testing.T) {
	for _, class := range []string{"get", "put", "pay"} {
		t.Run(class, func(t *testing.T) {
			late, other := standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo)
			p := listening(t, standin.List(1, true, standin.Target("s-1", late.Addr()), standin.Target("s-2", other.Addr())),
				"127.0.0.1:1")
			p.cfg.Grace = time.Millisecond // so that the end takes no time
			up := make(chan struct{})
			var once sync.Once
			release := func() { once.Do(func() { close(up) }) }
			defer release()
			var mu sync.Mutex
			dials := 0
			p.driver.opt.DialTimeout = 20 * time.Second
			p.driver.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if addr == late.Addr() {
					// No longer than the request that begins it, where nothing else ends it.
					ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
					defer cancel()
					mu.Lock()
					dials++
					mu.Unlock()
					select {
					case <-up:
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			}
			defer running(t, p)()
			tried := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return dials > 0
			}
			for i := 0; i < 50 && !tried(); i++ {
				if code, body := ask(t, dial(t, p), class, 2000); code != http.StatusOK {
					t.Errorf("a request that met a late connection: %d %q", code, body)
				}
			}
			if !tried() {
				t.Fatal("the late backend was never tried")
			}
			if _, avoided := p.driver.backendCounts(); avoided > 0 {
				t.Error("the late backend is avoided")
			}
			mu.Lock()
			made := dials
			mu.Unlock()
			release()
			eventually(t, "the late connections up", func() bool {
				p.driver.mu.Lock()
				defer p.driver.mu.Unlock()
				return p.driver.backends["s-1"].Idle() == made
			})
			eventually(t, "the late connections used", func() bool {
				ask(t, dial(t, p), class, 2000)
				return late.Calls() > 0
			})
			if opened, _ := late.Conns(); opened > made {
				t.Errorf("%d connections to the late backend, where %d were on their way", opened, made)
			}
		})
	}
}
