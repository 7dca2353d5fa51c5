package member

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"github.com/hashicorp/memberlist"
)

// maxMembers bounds the view; 512 bytes each.
const maxMembers = 4096

var errTooManyMembers = fmt.Errorf("member: there are %d members already", maxMembers)

// finding is what the failure detector, which is memberlist's, has found of a member.
type liveness uint8

const (
	livenessDead    liveness = iota
	livenessAlive            // it joined, or spoke up
	livenessLeaving          // it has said that it leaves, whether or not it is still there
)

func (f liveness) String() string { return [...]string{"dead", "alive", "leaving"}[f] }

// memberChange is what memberlist holds of one name.
type memberChange struct {
	member   Member
	liveness liveness
}

// delegate takes memberlist's calls, which come under its locks and must not wait. News of
// who is alive are kept as the latest of each name, so that none is lost however late the
// node's goroutine comes; all else goes through the inbox and is dropped when it is full.
type delegate struct {
	name     string
	runID    uint64
	enqueue  func(any) bool
	counters *counters

	mu            sync.Mutex
	meta          []byte
	departedState []byte
	alive         map[string]bool         // that are alive
	changed       map[string]memberChange // the latest of each, until changes takes it
	wake          chan struct{}           // one place
}

// What is posted to the node's inbox.
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

// setShared sets what others are told from now on.
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

// changes returns what is new since the last call.
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

// noteChange keeps what memberlist has found of a member and wakes the node's goroutine.
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

// memberOf returns the member that memberlist holds, with its meta as it was sent.
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
	m, err := readMessage(buf) // copies what it keeps
	if err != nil {
		d.counters.badMessage.Add(1)
		return
	}
	d.enqueue(datagram{m})
}

// GetBroadcasts implements memberlist.Delegate. All that has to reach each member goes in
// the meta or in the full exchange.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.recordChange(n, true) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.recordChange(n, true) }

// NotifyLeave implements memberlist.EventDelegate. It comes for deaths as well, and does
// not tell which: who leaves has said so in its meta before.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.recordChange(n, false) }

// NotifyAlive implements memberlist.AliveDelegate. It sees each word of a living member
// before memberlist decides on it, those under one's own name among them.
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

// NotifyConflict implements memberlist.ConflictDelegate: a name at two addresses.
func (d *delegate) NotifyConflict(_, other *memberlist.Node) {
	m, meta, err := memberOf(other)
	if err == nil && !meta.Leaving && other.Name != d.name {
		d.enqueue(nameClaim{m})
	}
}
