package member

import (
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net/netip"

	"github.com/hashicorp/memberlist"
)

// The errors of Send, Broadcast and Leave.
var (
	// ErrClosed is returned after Close, and by Leave of a node that was displaced.
	ErrClosed = errors.New("member: node is closed")
	// ErrUnknownMember is returned by Send for a name that is not alive, and for the node's own name.
	ErrUnknownMember = errors.New("member: no such member")
	// ErrPayloadTooLong is returned for a payload of more than MaxPayload bytes.
	ErrPayloadTooLong = fmt.Errorf("member: payload is over %d bytes", MaxPayload)
	// ErrNotReady is returned while the node's Phase is not Serving.
	ErrNotReady = errors.New("member: not a member of the fleet")
)

// Message is one datagram from a member. Messages may be lost, duplicated or delayed.
type Message struct {
	From        string
	Incarnation uint64 // of the sender at the time of sending
	Payload     []byte
}

// Messages returns the channel of messages from members of the view, in no guaranteed order.
// Messages are dropped when its buffer is full. The channel is closed when the node is closed.
func (n *Node) Messages() <-chan Message { return n.messages }

// Send sends payload, at most MaxPayload bytes, to the named member in one datagram, which may be
// lost, duplicated or delayed. It returns ErrPayloadTooLong, ErrNotReady, ErrUnknownMember,
// ErrClosed, or a socket error.
func (n *Node) Send(name string, payload []byte) error {
	v := n.view.Load()
	to, ok := v.find(name)
	switch {
	case len(payload) > MaxPayload:
		return ErrPayloadTooLong
	case v.phase != Serving:
		return ErrNotReady
	case !ok || name == v.self.Name:
		return ErrUnknownMember
	}
	select {
	case <-n.stop:
		return ErrClosed
	default:
	}
	return n.sendMessage(to, message{
		Kind:        kindData,
		From:        v.self.Name,
		Incarnation: v.self.Incarnation,
		RunID:       v.self.RunID,
		Payload:     payload,
	})
}

// Broadcast sends payload, at most MaxPayload bytes, to count random members, or to all others
// if they are fewer, and returns how many it was sent to. It stops at the first error of Send other
// than ErrUnknownMember.
func (n *Node) Broadcast(count int, payload []byte) (int, error) {
	v := n.view.Load()
	sent := 0
	for _, i := range mrand.Perm(len(v.members)) {
		if sent >= count {
			break
		}
		if v.members[i].Name == v.self.Name {
			continue
		}
		err := n.Send(v.members[i].Name, payload)
		if err != nil && !errors.Is(err, ErrUnknownMember) { // it may have departed in the meantime
			return sent, err
		}
		if err == nil {
			sent++
		}
	}
	return sent, nil
}

// sendMessage sends one datagram to a member at its address.
func (n *Node) sendMessage(to Member, m message) error {
	buf, err := encode(m)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(to.Addr)
	if err != nil {
		return err
	}
	dest := memberlist.Node{Name: to.Name, Addr: addr.Addr().AsSlice(), Port: addr.Port()}
	return n.list.SendBestEffort(&dest, buf)
}

// receive passes a datagram to the roster, or delivers it to Messages if it comes from the sender's
// current process run as known to the roster.
func (n *Node) receive(now clockTime, m *message) {
	if m.Kind == kindNotice {
		n.roster.SelfReported(now, m.From, m.About.toRecord(now))
		return
	}
	switch n.roster.CheckSender(m.From, m.Incarnation, m.RunID) {
	case senderStale:
		n.counters.staleRun.Add(1)
	case senderUnknown:
		n.counters.unknown.Add(1)
	case senderAccepted:
		select {
		case n.messages <- Message{m.From, m.Incarnation, m.Payload}:
		default:
			n.counters.messagesDropped.Add(1)
		}
	}
}
