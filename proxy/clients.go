package proxy

import (
	"container/list"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/neterror"
)

// clients are the connections from callers. Those that wait for a request, or
// for the rest of one, are kept in order, so that the one that has waited for
// longest can be asked to close. Each has a limit: from its accept to a whole
// request, and from its last answer to the next one.
type clients struct {
	partLimit time.Duration // for the head of a request that has begun to come
	newLimit  time.Duration // from the accept to a whole head
	idleLimit time.Duration // from an answer to the next request's first byte

	freshLeast  time.Duration // from the accept to a close that makes room
	lingerLimit time.Duration // from the end of writing to the close
	short       func() bool   // descriptors run short
	wanted      func() bool   // a client waits for one

	mu        sync.Mutex
	fresh     *list.List // of *client that wait for their first request, oldest first
	waiting   *list.List // of those that have had an answer, oldest first
	lingering *list.List // of those that are being closed, oldest first
	open      int
	closing   bool          // none may wait any more
	cut       bool          // none may linger any more
	empty     chan struct{} // closed once closing and none is open
}

type client struct {
	conn   *http1.Conn
	since  time.Time     // it waits, or was accepted
	asked  bool          // a request of it has been taken
	place  *list.Element // in fresh, waiting or lingering
	begun  bool          // a part of a request is here
	nudged bool

	reset bool // its close is a reset on purpose, or can be nothing else
	// answering tells that an answer to the request under way has begun to be written.
	answering bool
	departed  bool // it has ended its side inside a message
	hurried   bool // it lingers for lingerLeast

	bodyFrom time.Time // when its body began to come; zero: not yet
}

const (
	// nudgedPart is what is left to a request that has begun to come once its
	// connection is needed: ample for one under way, and an end for one that
	// dribbles.
	nudgedPart = 250 * time.Millisecond
	// freshLeast is what a new connection has to say something, and idleLeast what an
	// idle one has, before they are the first to be closed.
	freshLeast = 20 * time.Millisecond
	idleLeast  = time.Second

	// Clients may take two seconds for a head; a new one that sends nothing of use must
	// be gone before three.
	newLimit  = 2500 * time.Millisecond
	partLimit = 2250 * time.Millisecond
	idleLimit = 3 * time.Second
)

// bodySlowest bounds bodies: they may come at 64 kB a second, and have room to come late.
var bodySlowest = http1.MinTransferRate{InitialAllowance: 1500 * time.Millisecond, BytesPerSecond: 48 << 10, StallTimeout: 2 * time.Second}

func newClients() *clients {
	return &clients{
		partLimit:   partLimit,
		newLimit:    newLimit,
		idleLimit:   idleLimit,
		freshLeast:  freshLeast,
		lingerLimit: lingerLimit,
		fresh:       list.New(),
		waiting:     list.New(),
		lingering:   list.New(),
		short:       func() bool { return false },
		wanted:      func() bool { return false },
		empty:       make(chan struct{}),
	}
}

func (s *clients) add() {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
}

// count is how many are open.
func (s *clients) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *clients) remove() {
	s.mu.Lock()
	s.open--
	s.ended()
	s.mu.Unlock()
}

// ended closes empty, once: a connection that was caught in the kernel may still be
// accepted after the last one has gone. The caller holds mu.
func (s *clients) ended() {
	if !s.closing || s.open > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// errAhead is a request, or noise, behind one that has no answer yet.
var errAhead = errors.New("sends on before the answer")

// next waits for the next request on c and reads it. An error before its first
// byte is io.EOF: the connection has ended, or was asked to while idle, or has said
// nothing for too long.
func (s *clients) next(c *client) (*http.Request, []byte, *http1.RemainingBody, error) {
	s.wait(c)
	defer s.done(c)
	if err := c.conn.AwaitMessage(); err != nil {
		// A request that crossed the limit or the nudge is still served.
		if !neterror.IsDeadline(err) || c.conn.IsIdle() {
			return nil, nil, nil, io.EOF
		}
	}
	s.begin(c)
	req, body, rest, err := c.conn.ReadRequest()
	if err == nil && rest == nil && c.conn.HasPipelinedData() {
		// Callers wait for an answer before they send on. What follows on a request
		// is a length that was wrong, or a flood.
		err = errAhead
	}
	return req, body, rest, err
}

func (s *clients) wait(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.newLimit
	if c.asked {
		c.since, limit = time.Now(), s.idleLimit
	}
	c.place = s.listOf(c).PushBack(c)
	c.conn.SetReadDeadline(c.since.Add(limit))
	// Where one waits for a descriptor and no other is about to give way, nobody else may
	// for as long as this one may be idle.
	if s.closing || c.asked && s.fresh.Len()+s.lingering.Len() == 0 && s.wanted() {
		s.nudge(c)
	}
}

// listOf is the list that c waits in.
func (s *clients) listOf(c *client) *list.List {
	if c.asked {
		return s.waiting
	}
	return s.fresh
}

func (s *clients) begin(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.begun, c.nudged, c.bodyFrom = true, false, time.Time{}
	limit := time.Now().Add(s.partLimit)
	if end := c.since.Add(s.newLimit); !c.asked && end.Before(limit) {
		limit = end
	}
	c.conn.SetReadDeadline(limit)
	c.conn.BeforeBodyRead = func(body int64) { s.pace(c, body) }
}

// pace sets the time for the next read of a body, by what has come of it. A client
// that has been nudged keeps the time that it got.
func (s *clients) pace(c *client, body int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.nudged {
		return
	}
	if c.bodyFrom.IsZero() {
		c.bodyFrom = time.Now()
	}
	c.conn.SetReadDeadline(bodySlowest.Deadline(c.bodyFrom, body))
}

func (s *clients) done(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listOf(c).Remove(c.place)
	c.asked, c.begun, c.nudged = true, false, false
	c.conn.SetReadDeadline(time.Time{})
}

// nudge ends the wait of a client, soon if a request has begun to come, or if it is new;
// its own task then closes it.
func (s *clients) nudge(c *client) {
	c.nudged = true
	switch {
	case c.begun:
		c.conn.SetReadDeadline(time.Now().Add(nudgedPart))
	case !c.asked: // its first request is most likely on the way
		c.conn.SetReadDeadline(c.since.Add(s.freshLeast))
	default:
		c.conn.SetReadDeadline(http1.ExpiredDeadline)
	}
}

// nudgeOldest nudges n clients: those that linger at their close, which then do so no
// longer than they must, those that have said nothing since they came, then those that
// have been idle for long, then the rest of both.
func (s *clients) nudgeOldest(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.lingering.Front(); e != nil && n > 0; e = e.Next() {
		if c := e.Value.(*client); !c.hurried {
			c.hurry()
		}
		n--
	}
	now := time.Now()
	if s.wanted() { // guards against a crowd of silent ones that gives way by a few at a time
		s.nudgeBefore(s.fresh, s.fresh.Len(), now.Add(-s.freshLeast))
	}
	n = s.nudgeBefore(s.fresh, n, now.Add(-s.freshLeast))
	n = s.nudgeBefore(s.waiting, n, now.Add(-idleLeast))
	n = s.nudgeBefore(s.fresh, n, now)
	s.nudgeBefore(s.waiting, n, now)
}

// nudgeBefore nudges up to n of those that wait since before a time, and returns how many
// it did not find.
func (s *clients) nudgeBefore(l *list.List, n int, before time.Time) int {
	for e := l.Front(); e != nil && n > 0; e = e.Next() {
		c := e.Value.(*client)
		if c.since.After(before) {
			break
		}
		if !c.nudged {
			s.nudge(c)
		}
		n--
	}
	return n
}

// close nudges all idle ones, and each that becomes idle from now on. Requests
// that have begun to come are still taken. The channel is closed once none is
// open.
func (s *clients) close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.ended()
	for _, l := range []*list.List{s.fresh, s.waiting} {
		for e := l.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*client); !c.begun {
				s.nudge(c)
			}
		}
	}
	return s.empty
}
