package member

import (
	"slices"
	"strings"
)

// eventBacklog says which lost events the next Resync has to make up for.
type eventBacklog uint8

const (
	backlogNone        eventBacklog = iota
	backlogLost                     // events were lost; a Resync has to be sent
	backlogLostResumed              // events including a Resumed were lost
)

func (b eventBacklog) String() string { return [...]string{"none", "lost", "lost resumed"}[b] }

// view is an immutable snapshot of the membership.
type view struct {
	self    Member
	phase   Phase
	members []Member // sorted by name
}

// find returns the member with the given name.
func (v *view) find(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// publish replaces the view by the roster's current state.
func (n *Node) publish() {
	n.view.Store(&view{n.roster.Self(), n.roster.Phase(), n.roster.Members()})
}

// Self returns the node as others see it; its incarnation is 0 until the seeds have been contacted.
func (n *Node) Self() Member { return n.view.Load().self }

// Phase returns the state of the node's own membership.
func (n *Node) Phase() Phase { return n.view.Load().phase }

// Members returns all members that are alive, including the node itself, sorted by name. The slice is
// shared and must not be modified.
func (n *Node) Members() []Member { return n.view.Load().members }

// Events returns the channel of changes of the view. If its buffer is full, events are dropped, and
// the next event is a Resync with the whole current View. The channel is closed when the node is
// closed.
func (n *Node) Events() <-chan Event { return n.events }

// flush publishes the roster's decisions: the view before the events, so that Members reflects at
// least every event that was received.
func (n *Node) flush() {
	if n.viewChanged {
		n.viewChanged = false
		n.publish()
		n.publishDeparted(n.now())
	}
	for _, e := range n.pending {
		n.emit(e)
	}
	n.pending = n.pending[:0]
	if n.backlog != backlogNone {
		n.resync()
	}
}

// resync sends the whole view in place of the lost events, if the channel has room for it.
func (n *Node) resync() {
	v := n.view.Load()
	e := Event{Kind: Resync, Member: v.self, View: v.members, LostResumed: n.backlog == backlogLostResumed}
	select {
	case n.events <- e:
		n.backlog = backlogNone
	default:
	}
}

// emit sends an event, or records that it is lost. After a lost event all further ones are dropped
// until a Resync has been sent.
func (n *Node) emit(e Event) {
	if n.backlog == backlogNone {
		select {
		case n.events <- e:
			return
		default:
		}
	}
	n.counters.eventsLost.Add(1)
	if e.Kind == Resumed {
		n.backlog = backlogLostResumed
	} else {
		n.backlog = max(n.backlog, backlogLost)
	}
}
