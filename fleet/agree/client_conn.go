package agree

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// clientConn is one connection. Its reader hands replies to who waits for them.
type clientConn struct {
	conn   net.Conn
	cfg    *ClientConfig
	closed chan struct{}

	writeMu sync.Mutex

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]*replyWaiter
	err     error
	retired bool // closed when nobody waits
}

// subscriberBuffer is how many effects wait for a subscriber.
const subscriberBuffer = 256

// replyWaiter is a request whose replies are waited for.
type replyWaiter struct {
	id      uint64
	replies chan *reply // closed when there will be no more
}

func newClientConn(conn net.Conn, cfg *ClientConfig) *clientConn {
	l := &clientConn{conn: conn, cfg: cfg, closed: make(chan struct{}), waiting: map[uint64]*replyWaiter{}}
	go l.read()
	go l.ping()
	return l
}

func (l *clientConn) dead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err != nil
}

// fail ends the connection; all waiters learn of it.
func (l *clientConn) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	l.err = err
	close(l.closed)
	l.conn.Close()
	for id, w := range l.waiting {
		close(w.replies)
		delete(l.waiting, id)
	}
}

// drain ends subscriptions, and the connection once what is under way has been
// answered.
func (l *clientConn) drain() {
	l.mu.Lock()
	l.retired = true
	for id, w := range l.waiting {
		if cap(w.replies) == subscriberBuffer {
			close(w.replies)
			delete(l.waiting, id)
		}
	}
	idle := len(l.waiting) == 0
	l.mu.Unlock()
	if idle {
		l.fail(net.ErrClosed)
	}
}

// ask sends a request; up to room replies wait to be taken.
func (l *clientConn) ask(q *request, room int) (*replyWaiter, error) {
	l.mu.Lock()
	if l.err != nil {
		defer l.mu.Unlock()
		return nil, l.err
	}
	l.lastID++
	q.ID = l.lastID
	w := &replyWaiter{q.ID, make(chan *reply, room)}
	l.waiting[q.ID] = w
	l.mu.Unlock()
	frame, err := encodeFrame(q)
	if err != nil {
		l.drop(w)
		return nil, err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(l.cfg.Try))
	if _, err := l.conn.Write(frame); err != nil {
		l.fail(err)
		return nil, err
	}
	return w, nil
}

// drop stops waiting.
func (l *clientConn) drop(w *replyWaiter) {
	l.mu.Lock()
	delete(l.waiting, w.id)
	idle := l.retired && len(l.waiting) == 0
	l.mu.Unlock()
	if idle {
		l.fail(net.ErrClosed)
	}
}

func (l *clientConn) read() {
	in := bufio.NewReaderSize(l.conn, 4096)
	for {
		// Pings are answered, so silence is the peer's or the net's.
		l.conn.SetReadDeadline(time.Now().Add(2*l.cfg.Ping + l.cfg.Try))
		r := &reply{}
		err := readFrame(in, r, func() { l.conn.SetReadDeadline(time.Now().Add(l.cfg.Try)) })
		if err != nil {
			l.fail(err)
			return
		}
		l.deliver(r)
	}
}

// deliver hands a reply over. A waiter that is behind by all its room is told
// that there will be no more; it asks again from where it is.
func (l *clientConn) deliver(r *reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waiting[r.ID]
	if w == nil {
		return
	}
	select {
	case w.replies <- r:
		if r.Code == codeMore {
			return
		}
	default:
		close(w.replies)
	}
	delete(l.waiting, r.ID)
}

func (l *clientConn) ping() {
	t := time.NewTicker(l.cfg.Ping)
	defer t.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-t.C:
			// The answer is dropped when it comes; none at all ends the reader's wait.
			l.ask(&request{Kind: requestPing}, 1)
		}
	}
}
