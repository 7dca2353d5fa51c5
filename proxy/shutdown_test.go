package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/standin"
)

// A proxy shuts down whatever happens meanwhile: by itself, without leaks, and with a
// response to each accepted request. Each disturbance lasts from before the shutdown
// until after it, so that it meets all phases.
func TestConcurrentShutdown(t *testing.T) {
	ids := make(chan int)
	stopIDs := make(chan bool)
	defer close(stopIDs)
	go func() {
		for id := 1; ; id++ {
			select {
			case ids <- id:
			case <-stopIDs:
				return
			}
		}
	}()
	request := func(class string, ms int) string {
		return strings.Replace(requestText(class, ms), "ID: 1", fmt.Sprint("ID: ", <-ids), 1)
	}
	for name, disturb := range map[string]func(t *testing.T, p *Proxy, cfg *Config, addr string){
		"reload": func(_ *testing.T, p *Proxy, cfg *Config, _ string) {
			if err := p.Reload(cfg); err != nil {
				t.Error(err)
			}
		},
		"lists": func(_ *testing.T, p *Proxy, _ *Config, _ string) {
			id := <-ids
			removed := fmt.Sprintf(`{"uid":"s-%d","state":"terminated"}`, id-1)
			l, err := discovery.ParseList([]byte(standin.ListJSON(2, false, removed, standin.TargetJSON(fmt.Sprint("s-", id), "127.0.0.1:1"))))
			if err != nil {
				t.Error(err)
				return
			}
			p.driver.updateList(l)
		},
		"detachments": func(_ *testing.T, p *Proxy, _ *Config, _ string) {
			adminTarget{p}.Detach("s-0")
			adminTarget{p}.Attach("s-0")
		},
		"descriptor reclaim": func(_ *testing.T, p *Proxy, _ *Config, _ string) { p.reclaimDescriptors(3) },
		"clients that leave at once": func(_ *testing.T, p *Proxy, _ *Config, addr string) {
			if c, err := net.Dial("tcp", addr); err == nil {
				io.WriteString(c, request("get", 300))
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		},
		"clients that send more": func(_ *testing.T, p *Proxy, _ *Config, addr string) {
			if c, err := net.Dial("tcp", addr); err == nil {
				io.WriteString(c, request("get", 300)+"noise")
				c.Close()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			t.Run("run", func(t *testing.T) {
				b := standin.NewBackend(t, func(c *standin.Call) {
					if c.Number%3 == 0 {
						c.Hang()
					} else {
						standin.Echo(c)
					}
				})
				list := standin.ListJSON(1, true, standin.TargetJSON("s-0", b.Addr()))
				p := listenProxy(t, list, "127.0.0.1:1")
				p.descriptors.resize(reservedDescriptors + 16)
				p.cfg.Grace, p.longestDeadline, p.shortestDeadline = 50*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond
				path := filepath.Join(t.TempDir(), "config.json")
				if err := os.WriteFile(path, []byte(standin.Config("127.0.0.1:0", "127.0.0.1:2", 33, list)), 0o600); err != nil {
					t.Fatal(err)
				}
				cfg, err := Load(path, os.Getenv)
				if err != nil {
					t.Fatal(err)
				}
				addr := p.Addr().String()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				done := make(chan error, 1)
				go func() { done <- p.Run(ctx) }()
				eventually(t, "ready", p.Ready)
				accepted := make([]net.Conn, 4)
				for i := range accepted { // accepted before the shutdown
					accepted[i] = dialProxy(t, p)
					io.WriteString(accepted[i], request("pay", 60_000))
				}
				eventually(t, "accepted requests", func() bool {
					return int64(p.driver.openRequestCount())+p.stats.requestsEnded(fulfilled)+p.stats.requestsEnded(throttled)+p.stats.requestsEnded(faulted) >= 4
				})
				stop := make(chan bool)
				var tasks sync.WaitGroup
				for range 2 {
					tasks.Go(func() {
						for {
							select {
							case <-stop:
								return
							default:
								disturb(t, p, cfg, addr)
								time.Sleep(time.Millisecond)
							}
						}
					})
				}
				cancel()
				for i, c := range accepted {
					if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
						t.Errorf("request %d: %v", i, err)
					}
				}
				waitRunEnd(t, done)
				close(stop)
				tasks.Wait()
			})
		})
	}
}
