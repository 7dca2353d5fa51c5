package member

import (
	"slices"
	"strings"
)

// eventBacklog is what the reader of Events has missed, and is owed by the next Resync.
type eventBacklog uint8

const (
	backlogNone        eventBacklog = iota
	backlogLost                     // events were lost, a Resync is due
	backlogLostResumed              // a Resumed was among them
)

func (b eventBacklog) String() string { return [...]string{"none", "lost", "lost resumed"}[b] }

// view is what readers see, never changed once published.
type view struct {
	self    Member
	phase   Phase
	members []Member // by name
}

// named returns the member with a name.
func (v *view) find(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// publish makes what the roster holds the view that readers see.
func (n *Node) publish() {
	n.view.Store(&view{n.roster.Self(), n.roster.Phase(), n.roster.Members()})
}

// Self returns the node as others see it; incarnation 0 until the seeds have been asked.
func (n *Node) Self() Member { return n.view.Load().self }

// Phase returns the state of the node's own membership.
func (n *Node) Phase() Phase { return n.view.Load().phase }

// Members returns all that are alive, the node itself among them, by name. The slice is
// shared and must not be changed.
func (n *Node) Members() []Member { return n.view.Load().members }

// Events returns the changes of the view. When its reader is so slow that they find no
// room, events are dropped, and the next is a Resync with the whole View as it is then.
// The channel is closed when the node is.
func (n *Node) Events() <-chan Event { return n.events }

// flush publishes what the roster has decided: the view first, so that who gets an event
// finds at least that much in Members.
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

// resync sends the whole view in place of the events lost, if there is room for it.
func (n *Node) resync() {
	v := n.view.Load()
	e := Event{Kind: Resync, Member: v.self, View: v.members, LostResumed: n.backlog == backlogLostResumed}
	select {
	case n.events <- e:
		n.backlog = backlogNone
	default:
	}
}

// emit sends an event, or notes that it is lost: once one is, those after it are too, until a
// Resync has been sent.
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
