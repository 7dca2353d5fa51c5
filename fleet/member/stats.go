package member

import (
	"sync/atomic"
)

// Stats counts what a node dropped since its start. Dropped membership updates are repeated by later
// gossip, a full exchange or a Resync; dropped messages are lost.
type Stats struct {
	BadMeta         uint64 // malformed metadata; the member is not admitted
	BadState        uint64 // full exchanges with malformed state
	BadMessage      uint64 // malformed datagrams
	StaleRun        uint64 // messages from a process run or incarnation that has ended
	UnknownSender   uint64 // messages from senders that are not among the members
	InboxFull       uint64 // messages, name claims and exchanged states dropped because the inbox was full
	MessagesDropped uint64 // messages dropped because the channel of Messages was full
	EventsLost      uint64 // events replaced by a Resync
	TooManyMembers  uint64 // members refused because the view was full
}

// counters holds the node's Stats, updated concurrently.
type counters struct {
	badMeta, badState, badMessage                 atomic.Uint64
	staleRun, unknown, inboxFull, messagesDropped atomic.Uint64
	eventsLost, tooManyMembers                    atomic.Uint64
}

// Stats returns what the node dropped since its start.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{
		BadMeta:         c.badMeta.Load(),
		BadState:        c.badState.Load(),
		BadMessage:      c.badMessage.Load(),
		StaleRun:        c.staleRun.Load(),
		UnknownSender:   c.unknown.Load(),
		InboxFull:       c.inboxFull.Load(),
		MessagesDropped: c.messagesDropped.Load(),
		EventsLost:      c.eventsLost.Load(),
		TooManyMembers:  c.tooManyMembers.Load(),
	}
}
