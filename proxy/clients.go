package proxy

import (
	"container/list"
	"io"
	"net/http"
	"sync"
	"time"

	"oxbowloft/internal/http1"
)

// clients are the connections from callers. Those that wait for a request, or
// for the rest of one, are kept in order, so that the one that has waited for
// longest can be asked to close.
type clients struct {
	partLimit time.Duration // for a request that has begun to come

	mu      sync.Mutex
	waiting *list.List // of *client, oldest first
	open    int
	closing bool          // none may wait any more
	empty   chan struct{} // closed once closing and none is open
}

type client struct {
	conn   *http1.Conn
	place  *list.Element // in waiting
	begun  bool          // a part of a request is here
	nudged bool
}

// nudgedPart is what is left to a request that has begun to come once its
// connection is needed: ample for one under way, and an end for one that
// dribbles.
const nudgedPart = 250 * time.Millisecond

func newClients(partLimit time.Duration) *clients {
	return &clients{partLimit: partLimit, waiting: list.New(), empty: make(chan struct{})}
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

// next waits for the next request on c and reads it. An error before its first
// byte is io.EOF: the connection has ended, or was asked to while idle.
func (s *clients) next(c *client) (*http.Request, []byte, error) {
	s.wait(c)
	defer s.done(c)
	if err := c.conn.Await(); err != nil {
		// A request that crossed the nudge is still served.
		if !s.wasNudged(c) || c.conn.Quiet() {
			return nil, nil, io.EOF
		}
	}
	s.begin(c)
	return c.conn.ReadRequest()
}

func (s *clients) wait(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.place = s.waiting.PushBack(c)
	if s.closing {
		c.nudge()
	}
}

func (s *clients) wasNudged(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.nudged
}

func (s *clients) begin(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.begun, c.nudged = true, false
	c.conn.SetReadDeadline(time.Now().Add(s.partLimit))
}

func (s *clients) done(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.Remove(c.place)
	c.begun, c.nudged = false, false
	c.conn.SetReadDeadline(time.Time{})
}

// nudge ends the wait of a client, soon if a request has begun to come; its own
// task then closes it.
func (c *client) nudge() {
	c.nudged = true
	if c.begun {
		c.conn.SetReadDeadline(time.Now().Add(nudgedPart))
	} else {
		c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// nudgeOldest nudges the n clients that have waited for longest.
func (s *clients) nudgeOldest(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.waiting.Front(); e != nil && n > 0; e = e.Next() {
		if c := e.Value.(*client); !c.nudged {
			c.nudge()
		}
		n--
	}
}

// close nudges all idle ones, and each that becomes idle from now on. Requests
// that have begun to come are still taken. The channel is closed once none is
// open.
func (s *clients) close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.open == 0 {
		close(s.empty)
	}
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); !c.begun {
			c.nudge()
		}
	}
	return s.empty
}
