package proxy

import (
	"time"

	"oxbowloft/internal/http1"
)

// Lingering close: closing a socket with unread bytes resets the connection, and the
// reset discards the part of the last response that the client has not read yet. The
// proxy therefore ends its write side first, then reads and drops what still arrives
// until the client closes its side too. None of it is served: the client already knows
// that it gets no response.

const (
	// maxLingerBytes is how much is read from a client that keeps sending: more than the
	// default socket buffers of both sides hold plus what was in flight when the client
	// learned of the close.
	maxLingerBytes = 256 << 10
	// lingerTimeout is ample for a round trip and for a client in the middle of a write.
	// It also bounds the cost of a client that never closes.
	lingerTimeout = 250 * time.Millisecond
	// minLingerTime is the lingering time while descriptors are short: enough for a round
	// trip.
	minLingerTime = 20 * time.Millisecond
)

// halfCloser is a connection whose write side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// linger is the first part of each close that is not meant to be a reset.
func (s *clientConns) linger(c *clientConn) {
	c.conn.ReleaseMemory()
	if c.resetOnClose {
		return
	}
	if h, ok := c.conn.Conn.(halfCloser); !ok || h.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	if s.lingerDisabled {
		s.mu.Unlock()
		return
	}
	c.waitStart, c.element = time.Now(), s.lingering.PushBack(c)
	c.conn.SetReadDeadline(c.waitStart.Add(s.lingerTimeout))
	if s.descriptorsShort() {
		c.shortenLinger()
	}
	s.mu.Unlock()

	c.conn.Discard(maxLingerBytes)

	s.mu.Lock()
	s.lingering.Remove(c.element)
	s.mu.Unlock()
}

// shortenLinger limits a connection's lingering to minLingerTime in total.
func (c *clientConn) shortenLinger() {
	c.lingerShortened = true
	c.conn.SetReadDeadline(c.waitStart.Add(minLingerTime))
}

// endLingering ends the lingering of all connections, now and in the future, because the
// process is about to exit. It returns the number of other open connections.
func (s *clientConns) endLingering() (openNotLingering int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingerDisabled = true
	for e := s.lingering.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).conn.SetReadDeadline(http1.ExpiredDeadline)
	}
	return s.openCount - s.lingering.Len()
}
