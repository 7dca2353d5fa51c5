package agree

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// Peer is one voter of the initial set. Addresses are host:port.
type Peer struct {
	Name          string `json:"name"`
	RaftAddress   string `json:"address"` // at which other voters reach it
	ClientAddress string `json:"ask"`     // at which askers, and voters not yet formed, reach it
}

// Config configures a voter. The zero values of durations and numbers stand for defaults.
type Config struct {
	Name          string // its own; of a voter that lost its store, a new one
	Bind          string // address to listen on for other voters
	Dir           string // of the store and the snapshots
	InitialVoters []Peer // the initial set, the same at all of them: 1, 3 or 5
	Join          bool   // not one of the initial set: waits until it is added

	// Tick makes the machine's entry that says that time has passed; nil: time
	// is not told. The time is the leader's monotonic one. What lies between
	// two leaders, or before a tick whose outcome isn't known, is left out, so
	// that the machine's time never runs ahead.
	NewTick      func(passed time.Duration) []byte
	TickInterval time.Duration // 0: 1 s

	HeartbeatTimeout time.Duration // without one for so long there is an election; 0: 1 s
	MaxPending       int           // proposals and reads that wait; 0: 256
	RetryAfter       time.Duration // told to askers while the inbox is full; 0: 200 ms

	// The log is cut after SnapshotEvery entries, 8192 by default: with a tick
	// a second and entries below a kilobyte that is every two hours and below
	// 8 MB. Trailing entries are kept behind the cut, 2048 by default: a voter
	// that is away for half an hour catches up by entries, not by a snapshot.
	SnapshotThreshold uint64
	TrailingEntries   uint64
	SnapshotInterval  time.Duration // how often the entries are counted; 0: 2 min

	streamLayer raft.StreamLayer // in place of a TCP listener, in tests
	store       *logStore        // opened already, in tests
}

// Check fills in defaults. Its error names the key that is wrong and what would be right.
func (c *Config) Check() error {
	if c.Name == "" {
		return errors.New("name: empty")
	}
	if c.Dir == "" {
		return errors.New("dir: empty")
	}
	if err := c.checkVoters(); err != nil {
		return err
	}
	c.setDefaults()
	if c.HeartbeatTimeout < 20*time.Millisecond {
		return fmt.Errorf("heartbeat: %v, 20ms at least", c.HeartbeatTimeout)
	}
	if c.HeartbeatTimeout > time.Minute {
		return fmt.Errorf("heartbeat: %v, 1m at most", c.HeartbeatTimeout)
	}
	return nil
}

// checkVoters checks the initial set, and that this voter is in it or joins.
func (c *Config) checkVoters() error {
	if n := len(c.InitialVoters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("voters: %d, not 3 or 5 (or 1 to try things out)", n)
	}
	seen := map[string]bool{}
	for _, p := range c.InitialVoters {
		for _, v := range []struct{ key, value string }{
			{"name", p.Name}, {"address", p.RaftAddress}, {"ask", p.ClientAddress},
		} {
			if v.value == "" {
				return fmt.Errorf("voters: %s: empty", v.key)
			}
			if seen[v.key+v.value] {
				return fmt.Errorf("voters: %s: %s twice", v.key, v.value)
			}
			seen[v.key+v.value] = true
		}
		for _, v := range []struct{ key, value string }{{"address", p.RaftAddress}, {"ask", p.ClientAddress}} {
			if _, _, err := net.SplitHostPort(v.value); err != nil {
				return fmt.Errorf("voters: %s: %w", v.key, err)
			}
		}
	}
	if own := seen["name"+c.Name]; own && c.Join {
		return fmt.Errorf("join: %s is of the initial set; a voter that lost its store joins by a new name", c.Name)
	} else if !own && !c.Join {
		return fmt.Errorf("voters: %s itself is not among them", c.Name)
	}
	return nil
}

// setDefaults replaces what is 0. Numbers below 0 are left.
func (c *Config) setDefaults() {
	for _, d := range []struct {
		to  *time.Duration
		def time.Duration
	}{
		{&c.TickInterval, time.Second}, {&c.HeartbeatTimeout, time.Second}, {&c.RetryAfter, 200 * time.Millisecond},
		{&c.SnapshotInterval, 2 * time.Minute},
	} {
		if *d.to == 0 {
			*d.to = d.def
		}
	}
	if c.MaxPending == 0 {
		c.MaxPending = 256
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = 8192
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = 2048
	}
}
