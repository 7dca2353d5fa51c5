package proxy

import (
	"container/list"
	"sync"
	"time"

	"oxbowloft/internal/http1"
)

// clients are the connections from callers. The idle ones are kept in order, so
// that the one idle for longest can be asked to close.
type clients struct {
	mu      sync.Mutex
	idle    *list.List // of *client, oldest first
	open    int
	closing bool          // none may be idle any more
	empty   chan struct{} // closed once closing and none is open
}

type client struct {
	conn   *http1.Conn
	place  *list.Element // in idle
	nudged bool
}

func newClients() *clients {
	return &clients{idle: list.New(), empty: make(chan struct{})}
}

func (s *clients) add() {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
}

func (s *clients) remove() {
	s.mu.Lock()
	s.open--
	if s.closing && s.open == 0 {
		close(s.empty)
	}
	s.mu.Unlock()
}

// await waits for the next request on c. It returns false when the connection
// has ended, or was asked to while idle.
func (s *clients) await(c *client) bool {
	for {
		s.rest(c)
		err := c.conn.Await()
		nudged := s.wakeUp(c)
		if nudged {
			c.conn.SetReadDeadline(time.Time{})
		}
		if err == nil {
			return true
		}
		// A request that crossed the nudge is still served.
		if !nudged || c.conn.Quiet() {
			return false
		}
		if c.conn.Await() != nil { // it is there, or the connection has ended
			return false
		}
		return true
	}
}

func (s *clients) rest(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.place = s.idle.PushBack(c)
	if s.closing {
		c.nudge()
	}
}

func (s *clients) wakeUp(c *client) (nudged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.Remove(c.place)
	nudged, c.nudged = c.nudged, false
	return nudged
}

// nudge ends the wait of an idle client; its own task then closes it.
func (c *client) nudge() {
	c.nudged = true
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// nudgeOldest nudges the client that has been idle for longest.
func (s *clients) nudgeOldest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); !c.nudged {
			c.nudge()
			return
		}
	}
}

// close nudges all idle ones, and each that becomes idle from now on. The
// channel is closed once none is open.
func (s *clients) close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.open == 0 {
		close(s.empty)
	}
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*client).nudge()
	}
	return s.empty
}
