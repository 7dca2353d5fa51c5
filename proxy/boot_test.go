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

// booted is a target that started at a time, by the stamp that discovery gives.
func booted(uid, addr string, at time.Time) string {
	return strings.Replace(standin.Target(uid, addr), `"boot_ms":0`, fmt.Sprintf(`"boot_ms":%d`, at.UnixMilli()), 1)
}

// warming runs a proxy whose backends are warm so long after their start.
func warming(t *testing.T, known string, within time.Duration) *Proxy {
	t.Helper()
	text := standin.Config("127.0.0.1:0", "127.0.0.1:1", 256, known)
	text = strings.Replace(text, `"warm-within-ms":10000`, fmt.Sprintf(`"warm-within-ms":%d`, within.Milliseconds()), 1)
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
	t.Cleanup(running(t, p))
	return p
}

// askAll makes n requests one after the other and returns how many were served.
func askAll(t *testing.T, p *Proxy, n int) (served int) {
	t.Helper()
	c := dial(t, p)
	defer c.Close()
	for range n {
		if code, _ := ask(t, c, "get", 2000); code == http.StatusOK {
			served++
		}
	}
	return served
}

// A start that is stamped ahead of this machine's clock, which may have been stepped back,
// was no later than now: the backend is warm in its time, and not only once the clock has
// come to the stamp.
func TestBootAhead(t *testing.T) {
	const within = 300 * time.Millisecond
	b := standin.NewBackend(t, standin.Echo)
	ahead := booted("s-1", b.Addr(), time.Now().Add(time.Hour))
	p := warming(t, standin.List(1, true, ahead), within)
	time.Sleep(within)
	p.change(t, standin.List(2, true, ahead)) // told again, it is no other start
	const n = 30
	if served := askAll(t, p, n); served < n {
		t.Errorf("%d of %d requests were served by a backend that is warm", served, n)
	}
}

// A start that a running process learns of was not before the process last knew the
// backend without it, whatever the stamp says: the clocks may differ by an hour. Nor was
// it later than now.
func TestBootLearned(t *testing.T) {
	const n = 60
	for _, c := range []struct {
		name  string
		stamp time.Duration // to the true time
	}{
		{"true", 0},
		{"an hour behind", -time.Hour},
		{"an hour ahead", time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := standin.NewBackend(t, standin.Echo)
			old := time.Now().Add(-24 * time.Hour)
			p := warming(t, standin.List(1, true, booted("s-1", b.Addr(), old)), 20*time.Second)
			if served := askAll(t, p, n); served < n {
				t.Fatalf("%d of %d served by a warm backend", served, n)
			}
			for _, start := range []struct{ name, uid string }{{"started again", "s-1"}, {"a new one in its place", "s-3"}} {
				lines := []string{booted(start.uid, b.Addr(), time.Now().Add(c.stamp))}
				if start.uid != "s-1" {
					lines = append(lines, `{"uid":"s-1","endpoint":"","az":"z1","state":"terminated"}`)
				}
				l, err := discovery.Parse([]byte(standin.List(2, false, lines...)))
				if err != nil {
					t.Fatal(err)
				}
				l.Before = time.Now()
				p.driver.updateList(l)
				if served := askAll(t, p, n); served > n/3 {
					t.Errorf("%s: a cold backend got %d of %d requests", start.name, served, n)
				}
			}
		})
	}
}
