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

// Config configures a node. Zero durations and numbers stand for the defaults, which are those
// of a LAN.
type Config struct {
	Name    string // the operator's, 1 to 64 bytes; outlasts the process
	Zone    string // at most 64 bytes
	Version uint8  // of the messages that the users of the node understand

	Bind      string   // ip:port; port 0 takes a free one
	Advertise string   // ip:port where others reach it; "": Bind
	Join      []string // members to ask first, ip:port or host:port
	Key       []byte   // of AES-GCM, 16, 24 or 32 bytes; none: plain

	// ProbeInterval is between two probes, each of one member: 1 s, so that a death is
	// seen by somebody within about a second in a fleet of any size.
	ProbeInterval time.Duration
	// ProbeTimeout is how long an answer may take before others are asked to probe: 300 ms,
	// far over a LAN's round trip and a garbage collection, and within ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionMult times log10 of the fleet's size times ProbeInterval is how long a
	// suspected member may take to speak up: 4, so 4 s for up to ten and 10 s for 300.
	SuspicionMult int
	// GossipInterval is between two rounds of gossip, each to three members: 200 ms, so
	// that news reach 300 in about a second.
	GossipInterval time.Duration
	// PushPullInterval is between two full exchanges with a random member: 15 s. It puts
	// right what gossip lost.
	PushPullInterval time.Duration
	// DeadGossip is how long a dead member is still told that it is: 30 s, two full
	// exchanges. After it only rejoining brings it back.
	GossipToDeadTime time.Duration
	// StreamTimeout bounds connecting and a full exchange: 2 s. Half of the shortest
	// suspicion, so that a seed that is down does not hold up a start.
	StreamTimeout time.Duration
	// RejoinMin and RejoinMax bound the time between two tries to reach seeds and dead
	// members: 1 s and 30 s.
	RejoinMin, RejoinMax time.Duration

	EventBuffer   int // events that wait for their reader: 256
	MessageBuffer int // messages that wait for theirs: 1024

	Logger *slog.Logger // nil: no log

	// WrapTransport, if set, returns what memberlist sends and receives through in place of
	// the node's own transport, which it is given. It is for measurements that count messages
	// and bytes; nil costs nothing.
	WrapTransport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport
}

// The bounds of a node beside those of Config.
const (
	inboxCapacity           = 1024
	departedRetention       = 24 * time.Hour // longer than any operator's restart takes
	maxDeadPerJoin          = 3              // dead members tried again beside the seeds, each time
	maxJoinRounds           = 3              // rounds of asking the seeds before a node serves alone
	departedPublishInterval = 10 * time.Second
	// reclaimAfter is when a name may come back at another address once its old one is dead: at
	// once, since who it is follows from incarnation and life, not from the address.
	reclaimAfter = time.Nanosecond
	// retransmitMult times log10 of the fleet's size is how often each member passes on a piece
	// of news; each other misses it with a chance of about e to the minus that. With
	// memberlist's 4, at 50 members, that is one pair in 3,000, until a full exchange.
	retransmitMult = 5
)

// check fills in defaults and returns the two addresses. Its error names the key that is wrong.
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

// checkBounds checks all but the addresses.
func (c *Config) checkBounds() error {
	switch k := len(c.Key); {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return fmt.Errorf("name: %d bytes, 1 to %d allowed", len(c.Name), maxNameBytes)
	case len(c.Zone) > maxNameBytes:
		return fmt.Errorf("zone: %d bytes, %d at most", len(c.Zone), maxNameBytes)
	case k != 0 && k != 16 && k != 24 && k != 32:
		return fmt.Errorf("key: %d bytes, 16, 24 or 32 needed", k)
	case c.ProbeInterval < 0 || c.ProbeTimeout < 0 || c.ProbeTimeout > c.ProbeInterval:
		return fmt.Errorf("probe: a time-out of %v with an interval of %v", c.ProbeTimeout, c.ProbeInterval)
	case c.GossipInterval < 0 || c.PushPullInterval < 0 || c.GossipToDeadTime < 0 || c.StreamTimeout < 0 ||
		c.SuspicionMult < 0 || c.EventBuffer < 0 || c.MessageBuffer < 0:
		return errors.New("times and numbers: one is negative")
	case c.RejoinMin < 0 || c.RejoinMax < c.RejoinMin:
		return fmt.Errorf("rejoin: from %v to %v", c.RejoinMin, c.RejoinMax)
	}
	return nil
}

// addresses parses Bind and Advertise, which is not valid if it is to follow from Bind, and
// checks those of Join.
func (c *Config) addresses() (bind, advertise netip.AddrPort, err error) {
	if bind, err = netip.ParseAddrPort(c.Bind); err != nil {
		return bind, advertise, fmt.Errorf("bind: %w", err)
	}
	if c.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(c.Advertise); err != nil {
			return bind, advertise, fmt.Errorf("advertise: %w", err)
		}
	} else if bind.Addr().IsUnspecified() {
		return bind, advertise, fmt.Errorf("advertise: needed, since bind is %s", bind.Addr())
	}
	for _, s := range c.Join {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return bind, advertise, fmt.Errorf("join: %w", err)
		}
	}
	return bind, advertise, nil
}

// memberlistConfig returns what the node runs memberlist with.
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
	c.EnableCompression = false // messages are small, and processors are the proxies'
	c.Logger = logger
	c.Delegate = n.delegate
	c.Events = n.delegate
	c.Conflict = n.delegate
	c.Alive = n.delegate
	return c
}
