package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/pacing"
	"oxbowloft/internal/settings"
	"oxbowloft/logic"
)

// Config is all that a proxy is told at its start.
type Config struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Admin     string           `json:"admin"` // the operators' address; empty: none
	Seed      string           `json:"seed"`  // hex; empty: a random one
	Limits    Limits           `json:"limits"`
	Known     *json.RawMessage `json:"known"`
	Settings  *settings.Object `json:"settings"`

	// Grace is how long a drain goes on accepting; 0: DefaultGrace.
	Grace time.Duration `json:"-"`

	// ListenFD is the descriptor of a listening socket that the platform holds, to be
	// taken in place of a socket of our own; 0: none.
	ListenFD int `json:"-"`
	// StateDir is shared by a process and the one that replaces it; empty: none.
	StateDir string `json:"-"`

	knownList       *discovery.List
	logicSettings   logic.Settings
	pollList        bool          // lists come only once asked for
	maxPollInterval time.Duration // the longest wait between calls for the list
}

// Limits are the machine's.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// DefaultGrace is for callers that hear of a proxy's end within a part of a
// second after it begins.
const DefaultGrace = 550 * time.Millisecond

// What a configuration without limits is taken to say, and the least that a
// proxy can work with.
const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	maxMemoryMB      = 1 << 16 // more is of no use, and places for long messages are made by it
	minSockets       = 32
	minSharedSockets = 2 // descriptors for requests, however many processes share few
)

// listenFD is the variable that names an inherited listener, which comes after the
// standard streams.
const (
	listenFDVariable = "BALANCER_LISTEN_FD"
	minFD            = 3
	maxFD            = 1 << 20
)

// Load reads the configuration file at path. What it lacks of name and
// addresses comes from env, by the names BALANCER_NAME, BALANCER_LISTEN,
// BALANCER_DISCOVERY and BALANCER_ADMIN. BALANCER_LISTEN_FD names a listening socket,
// TMPDIR the directory that is shared with a process that replaces this one.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("no configuration: BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	for _, v := range []struct {
		to   *string
		name string
	}{{&c.Name, "NAME"}, {&c.Listen, "LISTEN"}, {&c.Discovery, "DISCOVERY"}, {&c.Admin, "ADMIN"}} {
		if *v.to == "" {
			*v.to = env("BALANCER_" + v.name)
		}
	}
	c.StateDir = env("TMPDIR")
	if fd := env(listenFDVariable); fd != "" {
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD < minFD || c.ListenFD > maxFD {
			return nil, fmt.Errorf("%s: %q is no descriptor from %d on", listenFDVariable, fd, minFD)
		}
	}
	if err := c.checkAndSetDefaults(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// ensure checks a configuration that does not come from Load.
func (c *Config) ensureChecked() error {
	if c.knownList != nil {
		return nil
	}
	if err := c.checkAndSetDefaults(); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// fixed names the fields that a running proxy does not take and that differ in to.
func (c *Config) changedFixedFields(updated *Config) (names []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == updated.Name},
		{"listen", c.Listen == updated.Listen},
		{"admin", c.Admin == updated.Admin},
		{"settings", reflect.DeepEqual(c.Settings, updated.Settings)},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

// check fills in defaults and tells what is wrong.
func (c *Config) checkAndSetDefaults() error {
	if c.Admin != "" {
		if _, port, err := net.SplitHostPort(c.Admin); err != nil {
			return fmt.Errorf("admin: %w", err)
		} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return fmt.Errorf("admin: bad port in %q", c.Admin)
		}
	}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	c.Limits.MemoryMB = min(c.Limits.MemoryMB, maxMemoryMB)
	if c.Grace == 0 {
		c.Grace = DefaultGrace
	}
	switch {
	case c.Grace < 0:
		return errors.New("grace below zero")
	case !(c.Limits.Cores >= 0):
		return errors.New("limits: cores below zero")
	case !(c.Limits.MemoryMB >= 0):
		return errors.New("limits: memory_mb below zero")
	case c.Limits.Sockets < minSockets:
		return fmt.Errorf("limits: %d sockets, %d at least", c.Limits.Sockets, minSockets)
	case c.Settings == nil:
		return errors.New("no settings")
	}
	seed := rand.Uint64()
	if c.Seed != "" {
		var err error
		if seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return fmt.Errorf("seed: %w", err)
		}
	}
	known, err := c.parseKnown()
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if err := c.Settings.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.logicSettings, err = c.Settings.Logic(seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.maxPollInterval, c.pollList = c.Settings.ListAsked()
	if c.maxPollInterval == 0 { // guards against calls with no pause between them while discovery is down
		c.maxPollInterval = discovery.TellWithin
	}
	// Guards against waits between calls for the list that don't fit into the time after
	// which what it misses counts as told: the pacer takes its waits from this one.
	c.maxPollInterval = min(c.maxPollInterval, 2*discovery.TellWithin)
	c.knownList = known // last: what has it has been checked
	return nil
}

// parseKnown reads the list known at the start. A proxy that has had none yet knows no
// backend, in whatever form it is told that.
func (c *Config) parseKnown() (*discovery.List, error) {
	none := &discovery.List{All: true}
	if c.Known == nil {
		return none, nil
	}
	l, err := discovery.Parse(*c.Known)
	if err != nil {
		var in struct {
			Targets []json.RawMessage `json:"targets"`
		}
		if json.Unmarshal(*c.Known, &in) != nil || len(in.Targets) > 0 {
			return nil, err
		}
		return none, nil
	}
	l.All = true
	return l, nil
}

// pacer paces the calls for the list.
func (c *Config) pacer() *pacing.Pacer {
	const stream = 1 // of random numbers, beside the module's
	rng := rand.New(rand.NewPCG(c.logicSettings.Seed, stream))
	if !c.pollList {
		return pacing.Pushed(rng)
	}
	return pacing.Asked(c.maxPollInterval, rng)
}

// heapShare is the heap's part of the memory; the rest is stacks, sockets and files.
const heapFraction = 0.6

// Tune sets the process up for the limits, of which it has a part where several
// processes share them. It is for programs that are a proxy and nothing else.
func (l Limits) Tune(processes int) {
	debug.SetMemoryLimit(int64(heapFraction * l.MemoryMB / float64(processes) * (1 << 20)))
	if l.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), int(math.Ceil(l.Cores))))
	}
}
