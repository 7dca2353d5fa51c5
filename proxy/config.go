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

// Config is the configuration that a proxy is started with.
type Config struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Admin     string           `json:"admin"` // address of the admin endpoint; empty: none
	Seed      string           `json:"seed"`  // hexadecimal; empty: a random seed
	Limits    Limits           `json:"limits"`
	Known     *json.RawMessage `json:"known"`
	Settings  *settings.Config `json:"settings"`

	// Grace is how long a draining proxy goes on accepting connections; 0: DefaultGrace.
	Grace time.Duration `json:"-"`

	// ListenFD is the descriptor of a listening socket held by the platform, which is
	// used instead of opening one; 0: none.
	ListenFD int `json:"-"`
	// StateDir is a directory shared with the process that replaces this one; empty:
	// none.
	StateDir string `json:"-"`

	knownList       *discovery.List
	logicSettings   logic.Settings
	pollList        bool          // the list has to be polled
	maxPollInterval time.Duration // longest time between two polls of the list
}

// Limits are the resources that the machine grants.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// DefaultGrace fits callers that learn of a proxy's shutdown within a fraction of a
// second after it begins.
const DefaultGrace = 550 * time.Millisecond

// Defaults for missing limits, and the minimum that a proxy can work with.
const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	maxMemoryMB      = 1 << 16 // no use for more; the size of the stream pool depends on it
	minSockets       = 32
	minSharedSockets = 2 // descriptors left for requests, however many processes share the limit
)

// listenFDVariable is the environment variable that names an inherited listener. Its
// descriptor comes after the standard streams.
const (
	listenFDVariable = "BALANCER_LISTEN_FD"
	minFD            = 3
	maxFD            = 1 << 20
)

// Load reads the configuration file at path. Missing names and addresses come from the
// environment variables BALANCER_NAME, BALANCER_LISTEN, BALANCER_DISCOVERY and
// BALANCER_ADMIN, read with env. BALANCER_LISTEN_FD names an inherited listening socket,
// and TMPDIR the directory shared with a process that replaces this one.
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
			return nil, fmt.Errorf("%s: %q is not a descriptor number of at least %d", listenFDVariable, fd, minFD)
		}
	}
	if err := c.checkAndSetDefaults(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// ensureChecked checks a configuration that does not come from Load.
func (c *Config) ensureChecked() error {
	if c.knownList != nil {
		return nil
	}
	if err := c.checkAndSetDefaults(); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// changedFixedFields names the fields that differ in updated but need a restart to
// change.
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

// checkAndSetDefaults fills in defaults and returns an error for invalid fields.
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
		return errors.New("grace is negative")
	case !(c.Limits.Cores >= 0):
		return errors.New("limits: cores is negative")
	case !(c.Limits.MemoryMB >= 0):
		return errors.New("limits: memory_mb is negative")
	case c.Limits.Sockets < minSockets:
		return fmt.Errorf("limits: %d sockets, need at least %d", c.Limits.Sockets, minSockets)
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
	if err := c.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.logicSettings, err = c.Settings.LogicSettings(seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.maxPollInterval, c.pollList = c.Settings.ListsOnRequest()
	if c.maxPollInterval == 0 { // keeps a pause between polls while discovery is down
		c.maxPollInterval = discovery.MaxAnnounceDelay
	}
	// The pacer derives its waits from this limit. A longer wait would not fit into the
	// time within which a change of the list has to be picked up.
	c.maxPollInterval = min(c.maxPollInterval, 2*discovery.MaxAnnounceDelay)
	c.knownList = known // set last: it marks the configuration as checked
	return nil
}

// parseKnown reads the list known at start. A proxy that has never had a list knows no
// backend, in whatever form the configuration expresses that.
func (c *Config) parseKnown() (*discovery.List, error) {
	none := &discovery.List{Complete: true}
	if c.Known == nil {
		return none, nil
	}
	l, err := discovery.ParseList(*c.Known)
	if err != nil {
		var in struct {
			Targets []json.RawMessage `json:"targets"`
		}
		if json.Unmarshal(*c.Known, &in) != nil || len(in.Targets) > 0 {
			return nil, err
		}
		return none, nil
	}
	l.Complete = true
	return l, nil
}

// pacer returns the pacer for polls of the list.
func (c *Config) pacer() *pacing.Pacer {
	const stream = 1 // random stream; another one than the balancing logic's
	rng := rand.New(rand.NewPCG(c.logicSettings.Seed, stream))
	if !c.pollList {
		return pacing.NewForAgent(rng)
	}
	return pacing.NewForService(c.maxPollInterval, rng)
}

// heapFraction is the fraction of the memory limit that the heap may use. Stacks, sockets
// and files take the rest.
const heapFraction = 0.65

// Tune sets the Go runtime's memory limit and GOMAXPROCS to the limits, or to this
// process's share if several processes share them. It is meant for programs that run
// nothing but a proxy.
func (l Limits) Tune(processes int) {
	debug.SetMemoryLimit(int64(heapFraction * l.MemoryMB / float64(processes) * (1 << 20)))
	if l.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), int(math.Ceil(l.Cores))))
	}
}
