package agree

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// connState is how far a connection of the client has come. No state is followed by an earlier one.
type connState uint8

const (
	connOpen     connState = iota // takes requests
	connDraining                  // another voter is asked by now; closed when nobody waits
	connClosed                    // failed or closed; err says why
)

func (s connState) String() string { return [...]string{"open", "draining", "closed"}[s] }

// clientConn is one connection to a voter. Its reader goroutine delivers each reply to the
// replyWaiter of its request.
type clientConn struct {
	conn   net.Conn
	cfg    *ClientConfig
	closed chan struct{}

	writeMu sync.Mutex

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]*replyWaiter
	state   connState
	err     error // in connClosed: why
}

// subscriberBuffer is how many effects wait for a subscriber.
const subscriberBuffer = 256

// replyWaiter is a request whose replies are waited for.
type replyWaiter struct {
	id      uint64
	replies chan *reply // closed when there will be no more
}

func newClientConn(conn net.Conn, cfg *ClientConfig) *clientConn {
	c := &clientConn{conn: conn, cfg: cfg, closed: make(chan struct{}), waiting: map[uint64]*replyWaiter{}}
	go c.read()
	go c.ping()
	return c
}

// isClosed reports whether the connection takes no more requests.
func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connClosed
}

// fail closes the connection and the channels of all waiters. Calls after the first do nothing.
func (c *clientConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosed {
		return
	}
	c.state, c.err = connClosed, err
	close(c.closed)
	c.conn.Close()
	for id, w := range c.waiting {
		close(w.replies)
		delete(c.waiting, id)
	}
}

// drain ends subscriptions, and closes the connection once the requests under way have been
// answered.
func (c *clientConn) drain() {
	c.mu.Lock()
	c.state = max(c.state, connDraining)
	for id, w := range c.waiting {
		if cap(w.replies) == subscriberBuffer {
			close(w.replies)
			delete(c.waiting, id)
		}
	}
	idle := len(c.waiting) == 0
	c.mu.Unlock()
	if idle {
		c.fail(net.ErrClosed)
	}
}

// ask sends a request under a new number. Up to room replies are buffered. An error says that
// the connection is closed, or that the request is longer than a frame.
func (c *clientConn) send(q *request, room int) (*replyWaiter, error) {
	c.mu.Lock()
	if c.state == connClosed {
		defer c.mu.Unlock()
		return nil, c.err
	}
	c.lastID++
	q.ID = c.lastID
	w := &replyWaiter{q.ID, make(chan *reply, room)}
	c.waiting[q.ID] = w
	c.mu.Unlock()
	frame, err := encodeFrame(q)
	if err != nil {
		c.forget(w)
		return nil, err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(c.cfg.RequestTimeout))
	if _, err := c.conn.Write(frame); err != nil {
		c.fail(err)
		return nil, err
	}
	return w, nil
}

// drop ends the wait for replies; later ones are discarded.
func (c *clientConn) forget(w *replyWaiter) {
	c.mu.Lock()
	delete(c.waiting, w.id)
	idle := c.state == connDraining && len(c.waiting) == 0
	c.mu.Unlock()
	if idle {
		c.fail(net.ErrClosed)
	}
}

// read delivers replies until the connection fails or is silent for too long.
func (c *clientConn) read() {
	in := bufio.NewReaderSize(c.conn, 4096)
	for {
		// Pings are answered, so silence is the peer's or the net's.
		c.conn.SetReadDeadline(time.Now().Add(2*c.cfg.PingInterval + c.cfg.RequestTimeout))
		r := &reply{}
		err := readFrame(in, r, func() { c.conn.SetReadDeadline(time.Now().Add(c.cfg.RequestTimeout)) })
		if err != nil {
			c.fail(err)
			return
		}
		c.deliver(r)
	}
}

// deliver hands a reply over. A waiter that is behind by all its room is told
// that there will be no more; it asks again from where it is.
func (c *clientConn) deliver(r *reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiting[r.ID]
	if w == nil {
		return
	}
	select {
	case w.replies <- r:
		if r.Code == codeEffect {
			return
		}
	default:
		close(w.replies)
	}
	delete(c.waiting, r.ID)
}

// ping sends a request each ClientConfig.Ping, so that a silent connection is found out.
func (c *clientConn) ping() {
	t := time.NewTicker(c.cfg.PingInterval)
	defer t.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-t.C:
			// The answer is dropped when it comes; none at all ends the reader's wait.
			c.send(&request{Kind: requestPing}, 1)
		}
	}
}
