package proxy

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/standin"
)

// targetStartedAt returns a target that discovery announces as started at the given time.
func targetStartedAt(uid, addr string, at time.Time) string {
	return strings.Replace(standin.TargetJSON(uid, addr), `"boot_ms":0`, fmt.Sprintf(`"boot_ms":%d`, at.UnixMilli()), 1)
}

// runWithWarmUp runs a proxy with the given warm-up time of backends.
func runWithWarmUp(t *testing.T, known string, warmUp time.Duration) *Proxy {
	t.Helper()
	text := standin.Config("127.0.0.1:0", "127.0.0.1:1", 256, known)
	text = strings.Replace(text, `"warm-within-ms":10000`, fmt.Sprintf(`"warm-within-ms":%d`, warmUp.Milliseconds()), 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := Load(path, os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Grace = time.Millisecond
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(startProxy(t, p))
	return p
}

// requestAll makes n requests one after the other and returns how many were served.
func requestAll(t *testing.T, p *Proxy, n int) (served int) {
	t.Helper()
	c := dialProxy(t, p)
	defer c.Close()
	for range n {
		if code, _ := sendRequest(t, c, "get", 2000); code == http.StatusOK {
			served++
		}
	}
	return served
}

// A start time ahead of this machine's clock, which may have been stepped back, counts as
// now: the backend's slow start ends after the warm-up time, not only when the clock has
// reached the start time.
func TestStartTimeInFuture(t *testing.T) {
	const warmUp = 300 * time.Millisecond
	b := standin.NewBackend(t, standin.Echo)
	target := targetStartedAt("s-1", b.Addr(), time.Now().Add(time.Hour))
	p := runWithWarmUp(t, standin.ListJSON(1, true, target), warmUp)
	time.Sleep(warmUp)
	p.applyList(t, standin.ListJSON(2, true, target)) // announced again: the same start
	const n = 30
	if served := requestAll(t, p, n); served < n {
		t.Errorf("%d of %d requests were served by a backend after its slow start", served, n)
	}
}

// A start that a running proxy learns of was not before the last list without it,
// whatever the announced time says, even if the clocks differ by an hour. Nor was it
// later than now.
func TestStartTimeLearnedWhileRunning(t *testing.T) {
	const n = 60
	for _, c := range []struct {
		name        string
		clockOffset time.Duration // announced minus true start time
	}{
		{"true", 0},
		{"an hour behind", -time.Hour},
		{"an hour ahead", time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := standin.NewBackend(t, standin.Echo)
			old := time.Now().Add(-24 * time.Hour)
			p := runWithWarmUp(t, standin.ListJSON(1, true, targetStartedAt("s-1", b.Addr(), old)), 20*time.Second)
			if served := requestAll(t, p, n); served < n {
				t.Fatalf("%d of %d served by a backend after its slow start", served, n)
			}
			for _, start := range []struct{ name, uid string }{{"restarted", "s-1"}, {"replaced by a new one", "s-3"}} {
				lines := []string{targetStartedAt(start.uid, b.Addr(), time.Now().Add(c.clockOffset))}
				if start.uid != "s-1" {
					lines = append(lines, `{"uid":"s-1","endpoint":"","az":"z1","state":"terminated"}`)
				}
				l, err := discovery.ParseList([]byte(standin.ListJSON(2, false, lines...)))
				if err != nil {
					t.Fatal(err)
				}
				l.PreviousConfirmedAt = time.Now()
				p.driver.updateList(l)
				if served := requestAll(t, p, n); served > n/3 {
					t.Errorf("%s: a backend in slow start got %d of %d requests", start.name, served, n)
				}
			}
		})
	}
}
