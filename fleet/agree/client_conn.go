package agree

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// connState is the state of a client's connection. It only changes to later states.
type connState uint8

const (
	connOpen     connState = iota // accepts requests
	connDraining                  // the client uses another voter; closed once all replies have arrived
	connClosed                    // failed or closed; err has the reason
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
	waiters map[uint64]*replyWaiter
	state   connState
	err     error // in connClosed: the reason
}

// subscriberBuffer is the number of effects buffered for a subscriber.
const subscriberBuffer = 256

// replyWaiter receives the replies to a request.
type replyWaiter struct {
	id      uint64
	replies chan *reply // closed after the last reply
}

func newClientConn(conn net.Conn, cfg *ClientConfig) *clientConn {
	c := &clientConn{conn: conn, cfg: cfg, closed: make(chan struct{}), waiters: map[uint64]*replyWaiter{}}
	go c.read()
	go c.ping()
	return c
}

// isClosed reports whether the connection is closed. A draining connection isn't.
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
	for id, w := range c.waiters {
		close(w.replies)
		delete(c.waiters, id)
	}
}

// drain ends subscriptions, and closes the connection once the requests in progress have been
// answered.
func (c *clientConn) drain() {
	c.mu.Lock()
	c.state = max(c.state, connDraining)
	for id, w := range c.waiters {
		if cap(w.replies) == subscriberBuffer {
			close(w.replies)
			delete(c.waiters, id)
		}
	}
	idle := len(c.waiters) == 0
	c.mu.Unlock()
	if idle {
		c.fail(net.ErrClosed)
	}
}

// send sends a request under a new ID. Up to buffer replies are buffered. It returns an error if
// the connection is closed or the request doesn't fit into a frame.
func (c *clientConn) send(q *request, buffer int) (*replyWaiter, error) {
	c.mu.Lock()
	if c.state == connClosed {
		defer c.mu.Unlock()
		return nil, c.err
	}
	c.lastID++
	q.ID = c.lastID
	w := &replyWaiter{q.ID, make(chan *reply, buffer)}
	c.waiters[q.ID] = w
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

// forget removes a waiter; its later replies are discarded.
func (c *clientConn) forget(w *replyWaiter) {
	c.mu.Lock()
	delete(c.waiters, w.id)
	idle := c.state == connDraining && len(c.waiters) == 0
	c.mu.Unlock()
	if idle {
		c.fail(net.ErrClosed)
	}
}

// read delivers replies until the connection fails or is idle for too long.
func (c *clientConn) read() {
	in := bufio.NewReaderSize(c.conn, 4096)
	for {
		// Pings are answered, so a missing reply is a fault of the voter or the network.
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

// deliver passes a reply to its waiter. If the waiter's buffer is full, its channel is
// closed; a subscriber then subscribes again from its current index.
func (c *clientConn) deliver(r *reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiters[r.ID]
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
	delete(c.waiters, r.ID)
}

// ping sends a request every ClientConfig.PingInterval, so that a broken connection is detected.
func (c *clientConn) ping() {
	t := time.NewTicker(c.cfg.PingInterval)
	defer t.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-t.C:
			// The reply only has to arrive: without any, the read deadline expires.
			c.send(&request{Kind: requestPing}, 1)
		}
	}
}
