package member

import (
	"cmp"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// Config configures a node. Zero durations and numbers stand for the defaults, which suit a LAN.
type Config struct {
	Name    string // assigned by the operator, 1 to 64 bytes; stays the same across restarts
	Zone    string // at most 64 bytes
	Version uint8  // version of the application messages that this process understands

	Bind      string   // ip:port to listen on; port 0 picks a free port
	Advertise string   // ip:port at which other members reach the node; "": same as Bind
	Join      []string // seed members to join through, ip:port or host:port
	Key       []byte   // AES-GCM key of 16, 24 or 32 bytes; empty: no encryption

	// ProbeInterval is the time between two probes, each of one member. Default 1 s: at least
	// one member notices a failure within about a second, whatever the size of the fleet.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for an answer before asking other members to probe
	// indirectly. Default 300 ms: far longer than a LAN round trip or a garbage collection,
	// and shorter than ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionMult times log10 of the fleet's size times ProbeInterval is how long a
	// suspected member has to refute the suspicion. Default 4: 4 s with up to ten members
	// and 10 s with 300.
	SuspicionMult int
	// GossipInterval is the time between two rounds of gossip, each to three members.
	// Default 200 ms: an update reaches 300 members in about a second.
	GossipInterval time.Duration
	// PushPullInterval is the time between two full state exchanges with a random member.
	// Default 15 s. They repair what was lost in gossip.
	PushPullInterval time.Duration
	// GossipToDeadTime is how long gossip is still sent to a dead member, so that it can
	// refute its death. Default 30 s, two full exchanges. After that only rejoining brings
	// the member back.
	GossipToDeadTime time.Duration
	// StreamTimeout is the time limit for connecting and for a full exchange. Default 2 s,
	// half of the shortest suspicion timeout, so that an unreachable seed does not delay startup.
	StreamTimeout time.Duration
	// RejoinMin and RejoinMax bound the backoff between two attempts to reach seeds and dead
	// members. Defaults 1 s and 30 s.
	RejoinMin, RejoinMax time.Duration

	EventBuffer   int // capacity of the channel of Events; default 256
	MessageBuffer int // capacity of the channel of Messages; default 1024

	Logger *slog.Logger // nil: no logging

	// WrapTransport, if set, wraps the transport that memberlist uses. It is meant for
	// measurements that count messages and bytes; nil has no cost.
	WrapTransport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport
}

// Limits of a node that are not configurable.
const (
	inboxCapacity           = 1024
	departedRetention       = 24 * time.Hour // longer than any restart by an operator takes
	maxDeadPerJoin          = 3              // dead members contacted in one rejoin attempt, besides the seeds
	maxJoinRounds           = 3              // attempts to reach the seeds before a node starts as the only member
	departedPublishInterval = 10 * time.Second
	// reclaimAfter is how soon memberlist lets a dead member's name be used from another address:
	// immediately, since incarnation and run ID identify a member, not its address.
	reclaimAfter = time.Nanosecond
	// retransmitMult times log10 of the fleet's size is how many times each member sends an
	// update; a given member misses it with a probability of about e to the minus that number.
	// With memberlist's default of 4 and 50 members, one pair in 3,000 misses an update until the
	// next full exchange.
	retransmitMult = 5
)

// check fills in defaults and returns the two addresses. Its error names the invalid setting.
func (c *Config) check() (bind, advertise netip.AddrPort, err error) {
	c.setDefaults()
	if err := c.checkBounds(); err != nil {
		return bind, advertise, err
	}
	return c.addresses()
}

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, time.Second)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, 300*time.Millisecond)
	c.SuspicionMult = cmp.Or(c.SuspicionMult, 4)
	c.GossipInterval = cmp.Or(c.GossipInterval, 200*time.Millisecond)
	c.PushPullInterval = cmp.Or(c.PushPullInterval, 15*time.Second)
	c.GossipToDeadTime = cmp.Or(c.GossipToDeadTime, 30*time.Second)
	c.StreamTimeout = cmp.Or(c.StreamTimeout, 2*time.Second)
	c.RejoinMin = cmp.Or(c.RejoinMin, time.Second)
	c.RejoinMax = cmp.Or(c.RejoinMax, max(c.RejoinMin, 30*time.Second))
	c.EventBuffer = cmp.Or(c.EventBuffer, 256)
	c.MessageBuffer = cmp.Or(c.MessageBuffer, 1024)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
}

// checkBounds validates everything but the addresses.
func (c *Config) checkBounds() error {
	switch k := len(c.Key); {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return fmt.Errorf("name: %d bytes, 1 to %d allowed", len(c.Name), maxNameBytes)
	case len(c.Zone) > maxNameBytes:
		return fmt.Errorf("zone: %d bytes, %d at most", len(c.Zone), maxNameBytes)
	case k != 0 && k != 16 && k != 24 && k != 32:
		return fmt.Errorf("key: %d bytes, must be 16, 24 or 32", k)
	case c.ProbeInterval < 0 || c.ProbeTimeout < 0 || c.ProbeTimeout > c.ProbeInterval:
		return fmt.Errorf("probe: timeout %v, must be from 0 to the interval of %v", c.ProbeTimeout, c.ProbeInterval)
	case c.GossipInterval < 0 || c.PushPullInterval < 0 || c.GossipToDeadTime < 0 || c.StreamTimeout < 0 ||
		c.SuspicionMult < 0 || c.EventBuffer < 0 || c.MessageBuffer < 0:
		return errors.New("intervals and sizes: must not be negative")
	case c.RejoinMin < 0 || c.RejoinMax < c.RejoinMin:
		return fmt.Errorf("rejoin: minimum %v, maximum %v", c.RejoinMin, c.RejoinMax)
	}
	return nil
}

// addresses parses Bind and Advertise and checks the addresses in Join. The returned advertise is
// the zero AddrPort if it is to be derived from bind.
func (c *Config) addresses() (bind, advertise netip.AddrPort, err error) {
	if bind, err = netip.ParseAddrPort(c.Bind); err != nil {
		return bind, advertise, fmt.Errorf("bind: %w", err)
	}
	if c.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(c.Advertise); err != nil {
			return bind, advertise, fmt.Errorf("advertise: %w", err)
		}
	} else if bind.Addr().IsUnspecified() {
		return bind, advertise, fmt.Errorf("advertise: required, since bind is %s", bind.Addr())
	}
	for _, s := range c.Join {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return bind, advertise, fmt.Errorf("join: %w", err)
		}
	}
	return bind, advertise, nil
}

// memberlistConfig returns the memberlist configuration of the node.
func (n *Node) memberlistConfig(advertise netip.AddrPort, logger *log.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = n.cfg.Name
	c.Transport = n.transport
	if n.cfg.WrapTransport != nil {
		c.Transport = n.cfg.WrapTransport(n.transport)
	}
	c.AdvertiseAddr = advertise.Addr().String()
	c.AdvertisePort = int(advertise.Port())
	c.SecretKey = n.cfg.Key
	c.ProbeInterval = n.cfg.ProbeInterval
	c.ProbeTimeout = n.cfg.ProbeTimeout
	c.SuspicionMult = n.cfg.SuspicionMult
	c.GossipInterval = n.cfg.GossipInterval
	c.PushPullInterval = n.cfg.PushPullInterval
	c.GossipToTheDeadTime = n.cfg.GossipToDeadTime
	c.RetransmitMult = retransmitMult
	c.TCPTimeout = n.cfg.StreamTimeout
	c.DeadNodeReclaimTime = reclaimAfter
	c.EnableCompression = false // messages are small, and the CPU is needed for proxying
	c.Logger = logger
	c.Delegate = n.delegate
	c.Events = n.delegate
	c.Conflict = n.delegate
	c.Alive = n.delegate
	return c
}
