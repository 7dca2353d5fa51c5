package agree

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
)

// connect returns the current connection, or dials one if there is none.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, ErrShutdown
		}
		if c.conn != nil && !c.conn.isClosed() {
			defer c.mu.Unlock()
			return c.conn, nil
		}
		if c.dialing == nil {
			break
		}
		dialed := c.dialing
		c.mu.Unlock()
		select {
		case <-dialed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if c.conn != nil { // it failed, so the next voter is tried
		c.targetIndex = (c.targetIndex + 1) % len(c.cfg.Voters)
		c.conn = nil
	}
	dialed := make(chan struct{})
	c.dialing = dialed
	addr := c.cfg.Voters[c.targetIndex]
	c.mu.Unlock()

	conn, err := net.DialTimeout("tcp", addr, c.cfg.RequestTimeout)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = nil
	close(dialed)
	if err != nil {
		c.targetIndex = (c.targetIndex + 1) % len(c.cfg.Voters)
		return nil, fmt.Errorf("agree: %w", err)
	}
	if c.closed {
		conn.Close()
		return nil, ErrShutdown
	}
	c.conn = newClientConn(conn, &c.cfg)
	return c.conn, nil
}

// switchVoter selects another voter if err means that the voter of connection from can't answer:
// it isn't the leader, is stopping, or didn't reply in time.
func (c *Client) switchVoter(from *clientConn, err error) {
	var notLeader *notLeaderError
	next := -1
	switch {
	case errors.As(err, &notLeader):
		// Only configured addresses are used, so a wrong hint can't lead elsewhere.
		next = slices.Index(c.cfg.Voters, notLeader.Leader)
	case errors.Is(err, ErrShutdown), errors.Is(err, ErrOutcomeUnknown):
	default:
		return
	}
	c.mu.Lock()
	if c.conn != from {
		c.mu.Unlock()
		return // another call has switched already
	}
	if next < 0 || next == c.targetIndex {
		next = (c.targetIndex + 1) % len(c.cfg.Voters)
	}
	c.targetIndex, c.conn = next, nil
	c.mu.Unlock()
	from.drain()
}
