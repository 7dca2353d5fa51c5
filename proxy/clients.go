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
type clientConns struct {
	headTimeout         time.Duration // for the head of a request that has begun to come
	firstRequestTimeout time.Duration // from the accept to a whole head
	idleTimeout         time.Duration // from an answer to the next request's first byte

	minFirstRequestWait time.Duration // from the accept to a close that makes room
	lingerTimeout       time.Duration // from the end of writing to the close
	descriptorsShort    func() bool   // descriptors run short
	descriptorWanted    func() bool   // a client waits for one

	mu             sync.Mutex
	awaitingFirst  *list.List // of *client that wait for their first request, oldest first
	idle           *list.List // of those that have had an answer, oldest first
	lingering      *list.List // of those that are being closed, oldest first
	openCount      int
	closing        bool          // none may wait any more
	lingerDisabled bool          // none may linger any more
	allClosed      chan struct{} // closed once closing and none is open
}

type clientConn struct {
	conn       *http1.Conn
	waitStart  time.Time     // it waits, or was accepted
	hadRequest bool          // a request of it has been taken
	element    *list.Element // in fresh, waiting or lingering
	receiving  bool          // a part of a request is here
	evicting   bool

	resetOnClose bool // its close is a reset on purpose, or can be nothing else
	// answering tells that an answer to the request under way has begun to be written.
	responseStarted  bool
	closedMidMessage bool // it has ended its side inside a message
	lingerShortened  bool // it lingers for lingerLeast

	bodyStart time.Time // when its body began to come; zero: not yet
}

const (
	// nudgedPart is what is left to a request that has begun to come once its
	// connection is needed: ample for one under way, and an end for one that
	// dribbles.
	evictedReadTimeout = 250 * time.Millisecond
	// freshLeast is what a new connection has to say something, and idleLeast what an
	// idle one has, before they are the first to be closed.
	minFirstRequestWait = 20 * time.Millisecond
	minIdleTime         = time.Second

	// Clients may take two seconds for a head; a new one that sends nothing of use must
	// be gone before three.
	firstRequestTimeout = 2500 * time.Millisecond
	headTimeout         = 2250 * time.Millisecond
	idleTimeout         = 3 * time.Second
)

// bodySlowest bounds bodies: they may come at 64 kB a second, and have room to come late.
var minBodyRate = http1.Slowest{Start: 1500 * time.Millisecond, Rate: 48 << 10, Stall: 2 * time.Second}

func newClientConns() *clientConns {
	return &clientConns{
		headTimeout:         headTimeout,
		firstRequestTimeout: firstRequestTimeout,
		idleTimeout:         idleTimeout,
		minFirstRequestWait: minFirstRequestWait,
		lingerTimeout:       lingerTimeout,
		awaitingFirst:       list.New(),
		idle:                list.New(),
		lingering:           list.New(),
		descriptorsShort:    func() bool { return false },
		descriptorWanted:    func() bool { return false },
		allClosed:           make(chan struct{}),
	}
}

func (s *clientConns) add() {
	s.mu.Lock()
	s.openCount++
	s.mu.Unlock()
}

// count is how many are open.
func (s *clientConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openCount
}

func (s *clientConns) remove() {
	s.mu.Lock()
	s.openCount--
	s.signalIfAllClosed()
	s.mu.Unlock()
}

// ended closes empty, once: a connection that was caught in the kernel may still be
// accepted after the last one has gone. The caller holds mu.
func (s *clientConns) signalIfAllClosed() {
	if !s.closing || s.openCount > 0 {
		return
	}
	select {
	case <-s.allClosed:
	default:
		close(s.allClosed)
	}
}

// errAhead is a request, or noise, behind one that has no answer yet.
var errPipelined = errors.New("sends on before the answer")

// next waits for the next request on c and reads it. An error before its first
// byte is io.EOF: the connection has ended, or was asked to while idle, or has said
// nothing for too long.
func (s *clientConns) nextRequest(c *clientConn) (*http.Request, []byte, *http1.Rest, error) {
	s.beginWait(c)
	defer s.finishRead(c)
	if err := c.conn.Await(); err != nil {
		// A request that crossed the limit or the nudge is still served.
		if !neterror.IsDeadline(err) || c.conn.Quiet() {
			return nil, nil, nil, io.EOF
		}
	}
	s.beginRead(c)
	req, body, rest, err := c.conn.ReadRequest()
	if err == nil && rest == nil && c.conn.More() {
		// Callers wait for an answer before they send on. What follows on a request
		// is a length that was wrong, or a flood.
		err = errPipelined
	}
	return req, body, rest, err
}

func (s *clientConns) beginWait(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := s.firstRequestTimeout
	if c.hadRequest {
		c.waitStart, timeout = time.Now(), s.idleTimeout
	}
	c.element = s.waitList(c).PushBack(c)
	c.conn.SetReadDeadline(c.waitStart.Add(timeout))
	// Where one waits for a descriptor and no other is about to give way, nobody else may
	// for as long as this one may be idle.
	if s.closing || c.hadRequest && s.awaitingFirst.Len()+s.lingering.Len() == 0 && s.descriptorWanted() {
		s.evict(c)
	}
}

// listOf is the list that c waits in.
func (s *clientConns) waitList(c *clientConn) *list.List {
	if c.hadRequest {
		return s.idle
	}
	return s.awaitingFirst
}

func (s *clientConns) beginRead(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.receiving, c.evicting, c.bodyStart = true, false, time.Time{}
	deadline := time.Now().Add(s.headTimeout)
	if firstRequestDeadline := c.waitStart.Add(s.firstRequestTimeout); !c.hadRequest && firstRequestDeadline.Before(deadline) {
		deadline = firstRequestDeadline
	}
	c.conn.SetReadDeadline(deadline)
	c.conn.Pace = func(body int64) { s.setBodyDeadline(c, body) }
}

// pace sets the time for the next read of a body, by what has come of it. A client
// that has been nudged keeps the time that it got.
func (s *clientConns) setBodyDeadline(c *clientConn, received int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.evicting {
		return
	}
	if c.bodyStart.IsZero() {
		c.bodyStart = time.Now()
	}
	c.conn.SetReadDeadline(minBodyRate.Until(c.bodyStart, received))
}

func (s *clientConns) finishRead(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitList(c).Remove(c.element)
	c.hadRequest, c.receiving, c.evicting = true, false, false
	c.conn.SetReadDeadline(time.Time{})
}

// nudge ends the wait of a client, soon if a request has begun to come, or if it is new;
// its own task then closes it.
func (s *clientConns) evict(c *clientConn) {
	c.evicting = true
	switch {
	case c.receiving:
		c.conn.SetReadDeadline(time.Now().Add(evictedReadTimeout))
	case !c.hadRequest: // its first request is most likely on the way
		c.conn.SetReadDeadline(c.waitStart.Add(s.minFirstRequestWait))
	default:
		c.conn.SetReadDeadline(http1.LongAgo)
	}
}

// nudgeOldest nudges n clients: those that linger at their close, which then do so no
// longer than they must, those that have said nothing since they came, then those that
// have been idle for long, then the rest of both.
func (s *clientConns) evictOldest(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.lingering.Front(); e != nil && n > 0; e = e.Next() {
		if c := e.Value.(*clientConn); !c.lingerShortened {
			c.shortenLinger()
		}
		n--
	}
	now := time.Now()
	if s.descriptorWanted() { // guards against a crowd of silent ones that gives way by a few at a time
		s.evictWaitingSince(s.awaitingFirst, s.awaitingFirst.Len(), now.Add(-s.minFirstRequestWait))
	}
	n = s.evictWaitingSince(s.awaitingFirst, n, now.Add(-s.minFirstRequestWait))
	n = s.evictWaitingSince(s.idle, n, now.Add(-minIdleTime))
	n = s.evictWaitingSince(s.awaitingFirst, n, now)
	s.evictWaitingSince(s.idle, n, now)
}

// nudgeBefore nudges up to n of those that wait since before a time, and returns how many
// it did not find.
func (s *clientConns) evictWaitingSince(l *list.List, n int, before time.Time) int {
	for e := l.Front(); e != nil && n > 0; e = e.Next() {
		c := e.Value.(*clientConn)
		if c.waitStart.After(before) {
			break
		}
		if !c.evicting {
			s.evict(c)
		}
		n--
	}
	return n
}

// close nudges all idle ones, and each that becomes idle from now on. Requests
// that have begun to come are still taken. The channel is closed once none is
// open.
func (s *clientConns) shutdown() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.signalIfAllClosed()
	for _, l := range []*list.List{s.awaitingFirst, s.idle} {
		for e := l.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*clientConn); !c.receiving {
				s.evict(c)
			}
		}
	}
	return s.allClosed
}
