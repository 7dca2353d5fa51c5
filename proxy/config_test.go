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

// loadReplacing loads a configuration in which old is replaced.
func loadReplacing(t *testing.T, old, with string) (*Config, error) {
	t.Helper()
	text := standin.Config("127.0.0.1:0", "127.0.0.1:1", 256, standin.ListJSON(7, true))
	if !strings.Contains(text, old) {
		t.Fatalf("no %s in the configuration", old)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(text, old, with, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, func(string) string { return "" })
}

// A known list without backends does not prevent the start, whatever its form: discovery
// provides the list. A list of backends that can't be parsed is an error.
func TestKnownList(t *testing.T) {
	const known = `"known":{"rev":7,"all":true,"targets":[]}`
	for _, c := range []struct {
		with    string
		rev     int64
		targets int // negative: an error
	}{
		{known, 7, 0},
		{`"known":null`, 0, 0},
		{`"else":null`, 0, 0},
		{`"known":{}`, 0, 0},
		{`"known":{"targets":[]}`, 0, 0},
		{`"known":{"rev":7,"all":false,"targets":null}`, 0, 0},
		{`"known":` + standin.ListJSON(7, false, standin.TargetJSON("a", "127.0.0.1:2"),
			`{"uid":"b","state":"terminated"}`), 7, 2},
		{`"known":{"targets":[` + standin.TargetJSON("a", "127.0.0.1:2") + `]}`, 0, -1},
		{`"known":{"rev":7,"targets":[null]}`, 0, -1},
		{`"known":{"rev":7,"targets":[{"uid":"a","state":"in_service"}]}`, 0, -1},
		{`"known":[]`, 0, -1},
		{`"known":"none"`, 0, -1},
	} {
		cfg, err := loadReplacing(t, known, c.with)
		switch {
		case c.targets < 0:
			if err == nil || !strings.Contains(err.Error(), " known: ") || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v", c.with, err)
			}
		case err != nil:
			t.Errorf("%s: %v", c.with, err)
		case !cfg.knownList.Complete || cfg.knownList.Rev != c.rev || len(cfg.knownList.Targets) != c.targets:
			t.Errorf("%s: read as %+v", c.with, cfg.knownList)
		}
	}
}

// Prevents polls without a pause between them while discovery is down.
func TestPollIntervalDefault(t *testing.T) {
	for with, want := range map[string]time.Duration{
		`"ask-within-ms":4000`: 4 * time.Second,
		`"ask-within-ms":0`:    discovery.MaxAnnounceDelay,
		`"else":0`:             discovery.MaxAnnounceDelay,
	} {
		if cfg, err := loadReplacing(t, `"ask-within-ms":4000`, with); err != nil || cfg.maxPollInterval != want {
			t.Errorf("%s: %v, want %v", with, err, want)
		}
	}
}

// Prevents an invalid configuration from being accepted at a second try, without settings
// for the balancing logic.
func TestInvalidConfigStaysInvalid(t *testing.T) {
	cfg, err := loadReplacing(t, `"seed"`, `"seed"`)
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

// Prevents a memory limit that overflows to a negative number of bytes, or that makes the
// stream pool, whose size depends on it, use up the memory.
func TestLargeLimits(t *testing.T) {
	for _, mb := range []string{"1000000", "1e12", "1e300"} {
		cfg, err := loadReplacing(t, `"memory_mb":192`, `"memory_mb":`+mb)
		if err != nil || cfg.Limits.MemoryMB != maxMemoryMB {
			t.Fatalf("%s: %v", mb, err)
		}
		began := time.Now()
		if _, err := New(cfg); err != nil || time.Since(began) > 5*time.Second {
			t.Errorf("%s: New took %v, %v", mb, time.Since(began), err)
		}
	}
}
