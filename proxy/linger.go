package proxy

import (
	"io"
	"time"

	"oxbowloft/internal/http1"
)

// Lingering close: a close over unread bytes resets the connection, and the reset takes
// back what the client has not read yet of the last answer. So the write side is ended
// first, and what still comes is read and dropped, until the client ends its side too.
// None of it is served: the client has been told that there is no answer to it.

const (
	// lingerMost is how much of a flood is read: more than what fits into the buffers
	// of both sides by default and was on its way when the client was told.
	maxLingerBytes = 256 << 10
	// lingerLimit is ample for a round trip, and for a client that was in the middle of
	// a write; one that does not close at all costs no more.
	lingerTimeout = 250 * time.Millisecond
	// lingerLeast is left where descriptors run short: a round trip.
	minLingerTime = 20 * time.Millisecond
)

// halfCloser is a connection whose write side can be ended alone.
type halfCloser interface{ CloseWrite() error }

// linger is the first part of each close that is not meant to be a reset.
func (s *clientConns) linger(c *clientConn) {
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

	io.CopyN(io.Discard, c.conn.Conn, maxLingerBytes)

	s.mu.Lock()
	s.lingering.Remove(c.element)
	s.mu.Unlock()
}

// hurry leaves a connection lingerLeast to linger in all.
func (c *clientConn) shortenLinger() {
	c.lingerShortened = true
	c.conn.SetReadDeadline(c.waitStart.Add(minLingerTime))
}

// hurryAll ends all lingering, of now and from now on, since the process is about to end.
// It returns how many connections are open otherwise.
func (s *clientConns) endLingering() (openNotLingering int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingerDisabled = true
	for e := s.lingering.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).conn.SetReadDeadline(http1.LongAgo)
	}
	return s.openCount - s.lingering.Len()
}
