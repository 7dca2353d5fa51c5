package member

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"github.com/hashicorp/memberlist"
)

// maxMembers bounds the number of members in the view, at 512 bytes each.
const maxMembers = 4096

var errTooManyMembers = fmt.Errorf("member: limit of %d members reached", maxMembers)

// liveness is what memberlist's failure detector reports about a member.
type liveness uint8

const (
	livenessDead    liveness = iota
	livenessAlive            // it joined, or refuted a suspicion
	livenessLeaving          // it announced that it leaves; it may or may not still be running
)

func (f liveness) String() string { return [...]string{"dead", "alive", "leaving"}[f] }

// memberChange is memberlist's latest state of one name.
type memberChange struct {
	member   Member
	liveness liveness
}

// delegate receives memberlist's callbacks, which run under memberlist's locks and must not block.
// Changes of liveness are coalesced to the latest per name, so that none is lost however late the
// node's goroutine handles them; everything else goes through the inbox and is dropped when it is
// full.
type delegate struct {
	name     string
	runID    uint64
	enqueue  func(any) bool
	counters *counters

	mu            sync.Mutex
	meta          []byte
	departedState []byte
	alive         map[string]bool         // names that are alive
	changed       map[string]memberChange // latest change per name since the last call of changes
	wake          chan struct{}           // capacity 1
}

// Messages posted to the node's inbox.
type (
	nameClaim   struct{ member Member }
	remoteState struct{ departedState departedState }
	datagram    struct{ message message }
)

func newDelegate(name string, runID uint64, enqueue func(any) bool, counters *counters) *delegate {
	return &delegate{
		name:     name,
		runID:    runID,
		enqueue:  enqueue,
		counters: counters,
		alive:    map[string]bool{},
		changed:  map[string]memberChange{},
		wake:     make(chan struct{}, 1),
	}
}

// setShared sets the metadata and the state sent to other members; nil leaves a value unchanged.
func (d *delegate) setShared(meta, departedState []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if meta != nil {
		d.meta = meta
	}
	if departedState != nil {
		d.departedState = departedState
	}
}

// changes returns the changes since the last call.
func (d *delegate) changes() map[string]memberChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.changed) == 0 {
		return nil
	}
	out := d.changed
	d.changed = map[string]memberChange{}
	return out
}

// recordChange records a member's liveness and wakes the node's goroutine.
func (d *delegate) recordChange(n *memberlist.Node, alive bool) {
	m, meta, err := memberOf(n)
	if err != nil || n.Name == d.name {
		return
	}
	found := livenessDead
	switch {
	case meta.Leaving:
		found = livenessLeaving
	case alive:
		found = livenessAlive
	}
	d.mu.Lock()
	d.changed[n.Name] = memberChange{member: m, liveness: found}
	if alive {
		d.alive[n.Name] = true
	} else {
		delete(d.alive, n.Name)
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// memberOf converts a memberlist node to a Member and returns its decoded metadata too.
func memberOf(n *memberlist.Node) (Member, meta, error) {
	m, err := readMeta(n.Meta)
	if err != nil {
		return Member{}, m, err
	}
	if n.Name == "" || len(n.Name) > maxNameBytes {
		return Member{}, m, errors.New("member: name: empty or too long")
	}
	return Member{
		Name:        n.Name,
		Incarnation: m.Incarnation,
		RunID:       m.RunID,
		Zone:        m.Zone,
		Addr:        net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port))),
		Version:     m.Version,
	}, m, nil
}

// NodeMeta implements memberlist.Delegate.
func (d *delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meta
}

// LocalState implements memberlist.Delegate.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departedState
}

// MergeRemoteState implements memberlist.Delegate.
func (d *delegate) MergeRemoteState(buf []byte, _ bool) {
	m, err := readDepartedState(buf)
	if err != nil {
		d.counters.badState.Add(1)
		return
	}
	d.enqueue(remoteState{m})
}

// NotifyMsg implements memberlist.Delegate.
func (d *delegate) NotifyMsg(buf []byte) {
	m, err := readMessage(buf) // the decoder copies, so buf may be reused
	if err != nil {
		d.counters.badMessage.Add(1)
		return
	}
	d.enqueue(datagram{m})
}

// GetBroadcasts implements memberlist.Delegate. There are none: whatever has to reach every member
// is part of the metadata or of the full exchange.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.recordChange(n, true) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.recordChange(n, true) }

// NotifyLeave implements memberlist.EventDelegate. memberlist calls it for deaths as well as for
// departures; a member that leaves has announced that in its metadata before.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.recordChange(n, false) }

// NotifyAlive implements memberlist.AliveDelegate. It receives each alive message before memberlist
// processes it, including those under the node's own name.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	m, meta, err := memberOf(n)
	if err != nil {
		d.counters.badMeta.Add(1)
		return err
	}
	if n.Name == d.name {
		if m.RunID != d.runID && !meta.Leaving {
			d.enqueue(nameClaim{m})
		}
		return nil
	}
	d.mu.Lock()
	full := !d.alive[n.Name] && len(d.alive) >= maxMembers
	d.mu.Unlock()
	if full {
		d.counters.tooManyMembers.Add(1)
		return errTooManyMembers
	}
	return nil
}

// NotifyConflict implements memberlist.ConflictDelegate. It is called when one name is claimed at two
// addresses.
func (d *delegate) NotifyConflict(_, other *memberlist.Node) {
	m, meta, err := memberOf(other)
	if err == nil && !meta.Leaving && other.Name != d.name {
		d.enqueue(nameClaim{m})
	}
}
