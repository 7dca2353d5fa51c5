package member

import (
	"errors"
	"fmt"
	"time"
)

// Leave announces that the node leaves and returns once memberlist has sent the announcement, or an
// error if that takes longer than timeout. It returns ErrClosed if the node was closed or displaced
// before. The node keeps receiving until it is closed.
func (n *Node) Leave(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	done := make(chan struct{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case n.inbox <- leaveRequest{done}:
	case <-n.stop:
		return ErrClosed
	case <-timer.C:
		return errors.New("member: leave: inbox is full")
	}
	select {
	case <-done:
	case <-n.stop:
		return ErrClosed
	case <-timer.C:
		return errors.New("member: leave: no answer")
	}
	n.listMu.Lock()
	defer n.listMu.Unlock()
	if n.listShutdown {
		return ErrClosed
	}
	// The metadata update comes first: it distinguishes the departure from a death. memberlist's
	// own Leave then stops the others from probing this node.
	if err := n.list.UpdateNode(max(time.Until(until)/2, time.Millisecond)); err != nil {
		return fmt.Errorf("member: leave: %w", err)
	}
	if err := n.list.Leave(max(time.Until(until), time.Millisecond)); err != nil {
		return fmt.Errorf("member: leave: %w", err)
	}
	return nil
}
