package proxy

import (
	"container/list"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/neterror"
)

// clientConns tracks the connections from clients. Connections that wait for a request,
// or for the rest of one, are kept in order of their waiting time, so that the one
// waiting longest is evicted first. Each wait has a timeout: from accept to a complete
// first request, and from the last response to the next request.
type clientConns struct {
	headTimeout         time.Duration // for the rest of a request head whose first byte has arrived
	firstRequestTimeout time.Duration // from accept to a complete head
	idleTimeout         time.Duration // from a response to the next request's first byte

	minFirstRequestWait time.Duration // from accept to an eviction
	lingerTimeout       time.Duration // from the end of writing to the close
	descriptorsShort    func() bool   // reports whether descriptors are short
	descriptorWanted    func() bool   // reports whether a new client waits for a descriptor

	mu             sync.Mutex
	awaitingFirst  *list.List // *clientConn that wait for their first request, oldest first
	idle           *list.List // *clientConn that have had a response, oldest first
	lingering      *list.List // *clientConn that are being closed, oldest first
	openCount      int
	closing        bool          // idle connections are evicted at once
	lingerDisabled bool          // lingering ends at once
	allClosed      chan struct{} // closed when closing is set and no connection is open
}

type clientConn struct {
	conn       *http1.Conn
	waitStart  time.Time     // start of the current wait: accept, last response or start of lingering
	hadRequest bool          // at least one request has been read
	element    *list.Element // in awaitingFirst, idle or lingering
	receiving  bool          // part of a request has arrived
	evicting   bool

	resetOnClose bool // the connection ends in a reset: intended, or the peer is gone
	// responseStarted is set once writing the response to the current request has begun.
	responseStarted bool
	// onLastByte, if set, is called immediately before the last byte of the response to the
	// current request is written.
	onLastByte       func()
	closedMidMessage bool // the client closed its side inside a message
	lingerShortened  bool // lingering was limited to minLingerTime

	bodyTimer     http1.ProgressTimer // of the request body
	lastReceived  time.Time           // when bytes of the request were last read
	evictDeadline time.Time           // if evicting: when the request has to be complete
}

const (
	// evictedReadTimeout is the time left to a request that is being received when its
	// connection is evicted: ample for a normal transfer, and an end for a client that
	// sends very slowly.
	evictedReadTimeout = 250 * time.Millisecond
	// stalledReadTimeout is the time without any byte after which a request that is being received
	// counts as stalled: its connection is evicted at once.
	stalledReadTimeout = 50 * time.Millisecond
	// minFirstRequestWait is the time that a new connection gets to send its first byte,
	// and minIdleTime the time that an idle one gets for the next request, before they
	// are the first to be evicted.
	minFirstRequestWait = 20 * time.Millisecond
	minIdleTime         = time.Second

	// Clients may take two seconds to send a head. A new connection that sends nothing
	// useful must be closed within three.
	firstRequestTimeout = 2500 * time.Millisecond
	headTimeout         = 2250 * time.Millisecond
	idleTimeout         = 3 * time.Second
)

// minBodyRate bounds the time for request bodies: clients may send at 64 kB/s, and some
// delay is tolerated on top.
var minBodyRate = http1.MinTransferRate{InitialAllowance: 1500 * time.Millisecond, BytesPerSecond: 48 << 10, StallTimeout: 2 * time.Second}

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

// count returns the number of open connections.
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

// signalIfAllClosed closes allClosed, at most once: a connection accepted late by a
// blocked accept call may come after the last one has closed. The caller holds mu.
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

// errPipelined reports data received behind a request that has no response yet.
var errPipelined = errors.New("data received before the previous response")

// nextRequest waits for the next request on c and reads it. An error before its first
// byte is io.EOF: the client closed the connection, or it was evicted or timed out while
// idle.
func (s *clientConns) nextRequest(c *clientConn) (*http.Request, []byte, *http1.RemainingBody, error) {
	s.beginWait(c)
	defer s.finishRead(c)
	err := c.conn.AwaitReadable()
	if err == nil {
		err = c.conn.AwaitMessage()
	}
	if err != nil {
		// A request that arrives just as the timeout or the eviction takes effect is
		// still served.
		if !neterror.IsDeadline(err) || c.conn.IsIdle() {
			return nil, nil, nil, io.EOF
		}
	}
	s.beginRead(c)
	req, body, rest, err := c.conn.ReadRequest()
	if err == nil && rest == nil && c.conn.HasPipelinedData() {
		// Clients wait for a response before they send the next request. Bytes behind a
		// request mean a wrong length or a flood.
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
	// If a new client waits for a descriptor and no other connection is about to close,
	// this one is evicted: no other would close before this one's idle timeout.
	if s.closing || c.hadRequest && s.awaitingFirst.Len()+s.lingering.Len() == 0 && s.descriptorWanted() {
		s.evict(c)
	}
}

// waitList returns the list that c waits in.
func (s *clientConns) waitList(c *clientConn) *list.List {
	if c.hadRequest {
		return s.idle
	}
	return s.awaitingFirst
}

func (s *clientConns) beginRead(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.receiving, c.evicting, c.lastReceived = true, false, time.Now()
	c.bodyTimer = http1.ProgressTimer{MinTransferRate: minBodyRate}
	deadline := time.Now().Add(s.headTimeout)
	if firstRequestDeadline := c.waitStart.Add(s.firstRequestTimeout); !c.hadRequest && firstRequestDeadline.Before(deadline) {
		deadline = firstRequestDeadline
	}
	c.conn.SetReadDeadline(deadline)
	c.conn.BeforeBodyRead = func(body int64) { s.setBodyDeadline(c, body) }
	c.conn.AfterBodyRead = func() { c.bodyTimer.End() }
	c.conn.OnReceive = func() { s.recordReceived(c) }
}

// setBodyDeadline sets the deadline for the next read of a body, by the number of bytes
// received. An evicted connection keeps its deadline.
func (s *clientConns) setBodyDeadline(c *clientConn, received int64) {
	deadline := c.bodyTimer.Begin(received)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.evicting {
		c.conn.SetReadDeadline(deadline)
	}
}

// recordReceived records that bytes of a request have been read. A connection that is evicted gets time
// for more.
func (s *clientConns) recordReceived(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lastReceived = time.Now()
	if c.evicting && c.receiving {
		s.setEvictedDeadline(c)
	}
}

func (s *clientConns) finishRead(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitList(c).Remove(c.element)
	c.hadRequest, c.receiving, c.evicting = true, false, false
	c.conn.SetReadDeadline(time.Time{})
}

// evict ends a connection's wait: after a short time if a request is being received or
// the connection is new, else at once. The connection's own goroutine then closes it.
func (s *clientConns) evict(c *clientConn) {
	c.evicting = true
	switch {
	case c.receiving:
		c.evictDeadline = time.Now().Add(evictedReadTimeout)
		s.setEvictedDeadline(c)
	case !c.hadRequest: // its first request is most likely on the way
		c.conn.SetReadDeadline(c.waitStart.Add(s.minFirstRequestWait))
	default:
		c.conn.SetReadDeadline(http1.ExpiredDeadline)
	}
}

// setEvictedDeadline sets the deadline of an evicted connection on which a request is being received.
func (s *clientConns) setEvictedDeadline(c *clientConn) {
	deadline := c.lastReceived.Add(stalledReadTimeout)
	if c.evictDeadline.Before(deadline) {
		deadline = c.evictDeadline
	}
	c.conn.SetReadDeadline(deadline)
}

// evictStalled evicts connections on which requests have stalled, so that about as many bytes of memory
// are released, those that have stalled longest first.
func (s *clientConns) evictStalled(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stalled []*clientConn
	before := time.Now().Add(-stalledReadTimeout)
	for _, l := range []*list.List{s.awaitingFirst, s.idle} {
		for e := l.Front(); e != nil; e = e.Next() {
			c := e.Value.(*clientConn)
			switch {
			case c.receiving && c.evicting: // gives way soon
				bytes -= c.conn.ChargedBytes()
			case c.receiving && c.lastReceived.Before(before) && c.conn.ChargedBytes() > 0:
				stalled = append(stalled, c)
			}
		}
	}
	slices.SortFunc(stalled, func(a, b *clientConn) int { return a.lastReceived.Compare(b.lastReceived) })
	for _, c := range stalled {
		if bytes <= 0 {
			break
		}
		bytes -= c.conn.ChargedBytes()
		s.evict(c)
	}
}

// evictOldest evicts n connections. Lingering connections come first (their lingering is
// shortened), then connections that have sent nothing since they were accepted, then
// those idle for long, then the rest of both kinds.
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
	if s.descriptorWanted() { // evict all silent ones together: a few at a time would take too long with a crowd of them
		s.evictWaitingSince(s.awaitingFirst, s.awaitingFirst.Len(), now.Add(-s.minFirstRequestWait))
	}
	n = s.evictWaitingSince(s.awaitingFirst, n, now.Add(-s.minFirstRequestWait))
	n = s.evictWaitingSince(s.idle, n, now.Add(-minIdleTime))
	n = s.evictWaitingSince(s.awaitingFirst, n, now)
	s.evictWaitingSince(s.idle, n, now)
}

// evictWaitingSince evicts up to n connections of l that have waited since before the
// given time. It returns n less the number of connections found.
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

// shutdown evicts all idle connections, and each one that becomes idle later. Requests
// whose first bytes have arrived are still accepted. The returned channel is closed once
// no connection is open.
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
