package member

import (
	"sync/atomic"
)

// Stats counts what a node dropped since its start. News of members that are dropped come
// again with later gossip, a full exchange or a Resync; messages do not.
type Stats struct {
	BadMeta         uint64 // a member's own data that can't be read; it is not let in
	BadState        uint64 // full exchanges whose memory can't be read
	BadMessage      uint64 // datagrams that can't be read
	StaleRun        uint64 // messages from a life that is over
	UnknownSender   uint64 // messages from one that is not among the members
	InboxFull       uint64 // messages, claims and memories for which the inbox had no room
	MessagesDropped uint64 // messages that their reader had no room for
	EventsLost      uint64 // events replaced by a Resync
	TooManyMembers  uint64 // members over the bound of the view
}

// counters are the node's Stats, written by many goroutines.
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
