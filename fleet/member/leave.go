package member

import (
	"errors"
	"fmt"
	"time"
)

// Leave announces that the node leaves, and returns once memberlist has sent it, or an error if
// it has not within timeout. ErrClosed says that the node was closed or displaced before. The
// node goes on to receive until it is closed.
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
	// First in words that tell it from a death, then in memberlist's, by which it is no
	// longer probed.
	if err := n.list.UpdateNode(max(time.Until(until)/2, time.Millisecond)); err != nil {
		return fmt.Errorf("member: leave: %w", err)
	}
	if err := n.list.Leave(max(time.Until(until), time.Millisecond)); err != nil {
		return fmt.Errorf("member: leave: %w", err)
	}
	return nil
}
