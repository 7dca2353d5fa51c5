package proxy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/standin"
)

// load reads a configuration in which old is replaced.
func load(t *testing.T, old, with string) (*Config, error) {
	t.Helper()
	text := standin.Config("127.0.0.1:0", "127.0.0.1:1", 256, standin.List(7, true))
	if !strings.Contains(text, old) {
		t.Fatalf("no %s in the configuration", old)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(text, old, with, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, func(string) string { return "" })
}

// A list that names no backend is no reason not to start, in whatever form it comes:
// discovery is asked. What names backends in a form that can't be read is refused.
func TestKnown(t *testing.T) {
	const known = `"known":{"rev":7,"all":true,"targets":[]}`
	for _, c := range []struct {
		with    string
		rev     int64
		targets int // below zero: refused
	}{
		{known, 7, 0},
		{`"known":null`, 0, 0},
		{`"else":null`, 0, 0},
		{`"known":{}`, 0, 0},
		{`"known":{"targets":[]}`, 0, 0},
		{`"known":{"rev":7,"all":false,"targets":null}`, 0, 0},
		{`"known":` + standin.List(7, false, standin.Target("a", "127.0.0.1:2"),
			`{"uid":"b","state":"terminated"}`), 7, 2},
		{`"known":{"targets":[` + standin.Target("a", "127.0.0.1:2") + `]}`, 0, -1},
		{`"known":{"rev":7,"targets":[null]}`, 0, -1},
		{`"known":{"rev":7,"targets":[{"uid":"a","state":"in_service"}]}`, 0, -1},
		{`"known":[]`, 0, -1},
		{`"known":"none"`, 0, -1},
	} {
		cfg, err := load(t, known, c.with)
		switch {
		case c.targets < 0:
			if err == nil || !strings.Contains(err.Error(), " known: ") || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v", c.with, err)
			}
		case err != nil:
			t.Errorf("%s: %v", c.with, err)
		case !cfg.knownList.All || cfg.knownList.Rev != c.rev || len(cfg.knownList.Targets) != c.targets:
			t.Errorf("%s: read as %+v", c.with, cfg.knownList)
		}
	}
}

// Guards against calls for the list with no pause between them while discovery is down.
func TestAskWithin(t *testing.T) {
	for with, want := range map[string]time.Duration{
		`"ask-within-ms":4000`: 4 * time.Second,
		`"ask-within-ms":0`:    discovery.TellWithin,
		`"else":0`:             discovery.TellWithin,
	} {
		if cfg, err := load(t, `"ask-within-ms":4000`, with); err != nil || cfg.maxPollInterval != want {
			t.Errorf("%s: %v, want %v", with, err, want)
		}
	}
}

// Guards against a refused configuration that a second try takes, with no settings for
// the module.
func TestRefusedAgain(t *testing.T) {
	cfg, err := load(t, `"seed"`, `"seed"`)
	if err != nil {
		t.Fatal(err)
	}
	fresh := &Config{Listen: cfg.Listen, Discovery: cfg.Discovery, Settings: cfg.Settings}
	fresh.Settings.Classes[0].Idempotency = "maybe"
	for range 2 {
		if _, err := New(fresh); err == nil || !strings.Contains(err.Error(), "idempotency") {
			t.Errorf("got %v", err)
		}
	}
}

// Guards against a limit so large that it is below zero in bytes, or that the places for
// long messages, which are made by it, take all the memory there is.
func TestLargeLimits(t *testing.T) {
	for _, mb := range []string{"1000000", "1e12", "1e300"} {
		cfg, err := load(t, `"memory_mb":192`, `"memory_mb":`+mb)
		if err != nil || cfg.Limits.MemoryMB != maxMemoryMB {
			t.Fatalf("%s: %v", mb, err)
		}
		began := time.Now()
		if _, err := New(cfg); err != nil || time.Since(began) > 5*time.Second {
			t.Errorf("%s: made in %v, %v", mb, time.Since(began), err)
		}
	}
}
