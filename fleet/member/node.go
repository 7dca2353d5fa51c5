package member

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Node is a member of the fleet. Its methods may be called from any goroutine.
type Node struct {
	cfg      Config
	log      *slog.Logger
	start    time.Time
	runID    uint64
	roster   *roster // used only by run once Start has returned
	view     atomic.Pointer[view]
	counters counters

	inbox    chan any
	events   chan Event
	messages chan Message
	stop     chan struct{}
	stopped  chan struct{}
	closing  sync.Once
	tasks    sync.WaitGroup // running joins, and the shutdown after a withdrawal

	delegate     *delegate
	transport    *transport
	list         *memberlist.Memberlist
	listMu       sync.Mutex // serializes Leave, UpdateNode and Shutdown: memberlist's Leave and UpdateNode read without its locks
	listShutdown bool       // guarded by listMu: list has been shut down
	lastTick     atomic.Int64

	// Used only by run.
	pending             []Event
	viewChanged         bool
	backlog             eventBacklog
	joinRunning         bool
	joinRounds          int
	rejoinBackoff       time.Duration
	nextJoin            clockTime
	nextDepartedPublish clockTime
}

// Start starts a node, which joins the fleet in the background. Until a seed has answered, or three
// attempts to reach any seed have failed, Self has incarnation 0 and other members don't see the
// node. Start returns an error if cfg is invalid or its address can't be listened on.
func Start(cfg Config) (*Node, error) {
	bind, advertise, err := cfg.check()
	if err != nil {
		return nil, fmt.Errorf("member: %w", err)
	}
	n := &Node{
		cfg:           cfg,
		log:           cfg.Logger.With("member", cfg.Name),
		start:         time.Now(),
		inbox:         make(chan any, inboxCapacity),
		events:        make(chan Event, cfg.EventBuffer),
		messages:      make(chan Message, cfg.MessageBuffer),
		stop:          make(chan struct{}),
		stopped:       make(chan struct{}),
		rejoinBackoff: cfg.RejoinMin,
	}
	n.runID = newRunID()
	n.delegate = newDelegate(cfg.Name, n.runID, n.enqueue, &n.counters)

	logger := log.New(memberlistLog{n.log}, "", 0)
	n.transport, err = newTransport(bind.Addr().AsSlice(), int(bind.Port()), logger)
	if err != nil {
		return nil, fmt.Errorf("member: bind: %w", err)
	}
	if !advertise.IsValid() {
		port := uint16(n.transport.GetAutoBindPort())
		advertise = netip.AddrPortFrom(bind.Addr(), port)
	}
	n.startRoster(advertise)

	n.list, err = memberlist.Create(n.memberlistConfig(advertise, logger))
	if err != nil {
		n.transport.Shutdown()
		return nil, fmt.Errorf("member: %w", err)
	}
	n.lastTick.Store(int64(n.now()))
	go n.run()
	return n, nil
}

// newRunID returns a random number that distinguishes this process run from others of its name.
func newRunID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}

// startRoster creates the roster and publishes its initial state.
func (n *Node) startRoster(advertise netip.AddrPort) {
	self := Member{
		Name: n.cfg.Name, RunID: n.runID, Zone: n.cfg.Zone, Addr: advertise.String(), Version: n.cfg.Version,
	}
	limits := rosterLimits{
		PauseThreshold:    n.pauseThreshold(),
		DepartedRetention: departedRetention,
		MaxDeparted:       maxRecords,
	}
	n.roster = newRoster(n.now(), limits, self, (*nodeActions)(n))
	n.publishMeta(self, false)
	n.publishDeparted(n.now())
	n.publish()
}

// pauseThreshold is the shortest time after which others may declare an unresponsive member dead.
func (n *Node) pauseThreshold() time.Duration {
	return time.Duration(n.cfg.SuspicionMult) * n.cfg.ProbeInterval
}

func (n *Node) now() clockTime { return time.Since(n.start) }

// enqueue puts a message into the inbox, or drops and counts it if the inbox is full.
func (n *Node) enqueue(v any) bool {
	select {
	case n.inbox <- v:
		return true
	default:
		n.counters.inboxFull.Add(1)
		return false
	}
}

// run is the node's goroutine, the only one that calls the roster.
func (n *Node) run() {
	defer close(n.stopped)
	ticker := time.NewTicker(n.cfg.ProbeInterval / 4)
	defer ticker.Stop()
	for {
		n.rejoin(n.now())
		n.flush()
		select {
		case <-n.stop:
			close(n.events)
			close(n.messages)
			return
		case <-ticker.C:
			n.applyChanges()
			n.roster.Tick(n.now())
			n.lastTick.Store(int64(n.now()))
			if n.now() >= n.nextDepartedPublish {
				n.publishDeparted(n.now())
			}
		case <-n.delegate.wake:
			n.applyChanges()
		case v := <-n.inbox:
			n.applyChanges() // apply membership changes before the messages of new members
			n.handleInbox(v)
		}
	}
}

// applyChanges passes the failure detector's changes to the roster, sorted by name: only the latest
// change of each name is kept, so the order in which they happened is unknown.
func (n *Node) applyChanges() {
	changes := n.delegate.changes()
	names := make([]string, 0, len(changes))
	for name := range changes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		switch c := changes[name]; c.liveness {
		case livenessLeaving:
			n.roster.Left(n.now(), c.member)
		case livenessAlive:
			n.roster.Alive(n.now(), c.member)
		case livenessDead:
			n.roster.Died(n.now(), c.member)
		}
	}
}

// handleInbox handles one message of the inbox.
func (n *Node) handleInbox(v any) {
	now := n.now()
	switch v := v.(type) {
	case nameClaim:
		n.roster.NameClaimed(now, v.member)
	case remoteState:
		records := make([]memberRecord, len(v.departedState.Records))
		for i := range records {
			records[i] = v.departedState.Records[i].toRecord(now)
		}
		n.roster.MergeRemote(now, v.departedState.From, records)
	case datagram:
		n.receive(now, &v.message)
	case joinDone:
		n.joinRunning = false
		n.joinRounds++
		if v.reached > 0 || n.joinRounds >= maxJoinRounds {
			n.roster.JoinFinished(now)
		}
	case leaveRequest:
		n.roster.Leave(now)
		close(v.done)
	}
}

// Fresh reports whether the node's state may still be acted on. It returns false if the node is not
// serving, or if the process has just been paused for so long that the others may have declared it
// dead and continued without it; a Resumed event follows in that case.
func (n *Node) Fresh() bool {
	return n.now()-clockTime(n.lastTick.Load()) <= n.pauseThreshold() && n.Phase() == Serving
}

type (
	joinDone     struct{ reached int }
	leaveRequest struct{ done chan struct{} }
)

// Close stops the node without announcing it: unless it has left, the others will see it die. On
// return its sockets are closed and its own goroutines have ended; those of memberlist end within
// the duration of a probe.
func (n *Node) Close() error {
	n.closing.Do(func() {
		close(n.stop)
		<-n.stopped
		n.listMu.Lock()
		n.listShutdown = true
		n.list.Shutdown()
		n.listMu.Unlock()
		n.tasks.Wait()
	})
	return nil
}
