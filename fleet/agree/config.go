package agree

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// Peer is a voter of the initial set. Addresses are host:port.
type Peer struct {
	Name          string `json:"name"`
	RaftAddress   string `json:"address"` // for raft connections of other voters
	ClientAddress string `json:"ask"`     // for clients and for voters that form the cluster
}

// Config configures a voter. The zero values of durations and numbers stand for defaults.
type Config struct {
	Name          string // of this voter; a voter that lost its store needs a new one
	Bind          string // address to listen on for raft connections
	Dir           string // directory of the store and the snapshots
	InitialVoters []Peer // the initial set of 1, 3 or 5 voters; the same at all of them
	Join          bool   // not in the initial set: waits until it is added

	// NewTick returns the entry that tells the machine how much time has passed;
	// nil: no ticks are proposed. The time is measured by the leader's monotonic
	// clock. Time between two leaders, and time in a tick that is not committed,
	// is not counted, so the machine's time never runs ahead of real time.
	NewTick      func(passed time.Duration) []byte
	TickInterval time.Duration // 0: 1 s

	HeartbeatTimeout time.Duration // silence of the leader after which an election starts; 0: 1 s
	MaxPending       int           // maximum number of queued proposals and reads; 0: 256
	RetryAfter       time.Duration // delay that clients are told while the queue is full; 0: 200 ms

	// A snapshot is taken and the log compacted after SnapshotThreshold entries,
	// 8192 by default: with one tick per second and entries below a kilobyte,
	// that is every two hours and below 8 MB. TrailingEntries entries before the
	// snapshot are kept, 2048 by default: a voter that is down for half an hour
	// catches up from the log, without a snapshot transfer.
	SnapshotThreshold uint64
	TrailingEntries   uint64
	SnapshotInterval  time.Duration // how often the threshold is checked; 0: 2 min

	streamLayer raft.StreamLayer // replaces the TCP listener in tests
	store       *logStore        // a store opened by the test
}

// Check sets defaults and validates the configuration. Its error names the invalid key and the
// allowed values.
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

// checkVoters validates the initial set, and checks that this voter either is in it or joins.
func (c *Config) checkVoters() error {
	if n := len(c.InitialVoters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("voters: %d, not 3 or 5 (or 1 for tests)", n)
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
	if inSet := seen["name"+c.Name]; inSet && c.Join {
		return fmt.Errorf("join: %s is of the initial set; a voter that lost its store joins by a new name", c.Name)
	} else if !inSet && !c.Join {
		return fmt.Errorf("voters: %s itself is not among them", c.Name)
	}
	return nil
}

// setDefaults replaces zero values by the defaults. Negative numbers stay.
func (c *Config) setDefaults() {
	for _, d := range []struct {
		setting *time.Duration
		value   time.Duration
	}{
		{&c.TickInterval, time.Second}, {&c.HeartbeatTimeout, time.Second}, {&c.RetryAfter, 200 * time.Millisecond},
		{&c.SnapshotInterval, 2 * time.Minute},
	} {
		if *d.setting == 0 {
			*d.setting = d.value
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
