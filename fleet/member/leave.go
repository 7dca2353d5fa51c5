package member

import (
	"errors"
	"fmt"
	"time"
)

// Leave tells the others that the node leaves, and returns once it has been said or the
// time is over. The node still hears; Close follows.
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
	if n.listDown {
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
