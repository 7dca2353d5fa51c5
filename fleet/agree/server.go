package agree

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

// ServerLimits limits the resources that clients can use. Zero fields stand for the defaults.
type ServerLimits struct {
	MaxConnections int           // 0: 1024; further connections get a busy reply and are closed
	MaxRequests    int           // concurrent requests per connection; 0: 16
	IdleTimeout    time.Duration // time without a request after which a connection is closed; 0: 30 s
	FrameTimeout   time.Duration // for reading or writing a frame, from its first byte; 0: 5 s
	RequestTimeout time.Duration // maximum time for one request; 0: 10 s
}

func (l *ServerLimits) setDefaults() {
	if l.MaxConnections == 0 {
		l.MaxConnections = 1024
	}
	if l.MaxRequests == 0 {
		l.MaxRequests = 16
	}
	for _, d := range []struct {
		setting *time.Duration
		value   time.Duration
	}{{&l.IdleTimeout, 30 * time.Second}, {&l.FrameTimeout, 5 * time.Second}, {&l.RequestTimeout, 10 * time.Second}} {
		if *d.setting == 0 {
			*d.setting = d.value
		}
	}
}

// Server serves clients of a voter. Its methods may be called from any goroutine.
type Server struct {
	voter  *Voter
	limits ServerLimits
	log    *slog.Logger
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Serve serves clients on ln until Close. A connection holds at most one frame that
// is being read, MaxRequests+1 frames in progress and their goroutines.
func Serve(ln net.Listener, v *Voter, limits ServerLimits, log *slog.Logger) *Server {
	limits.setDefaults()
	s := &Server{voter: v, limits: limits, log: log, ln: ln, conns: map[net.Conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.tasks.Go(s.accept)
	return s
}

// Close closes the listener and all connections and waits for the requests in progress. The
// voter keeps running.
func (s *Server) Close() {
	s.cancel()
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // most likely out of file descriptors
			s.log.Warn("accept", "err", err)
			select {
			case <-time.After(100 * time.Millisecond):
			case <-s.ctx.Done():
				return
			}
			continue
		}
		if !s.register(c) {
			s.rejectBusy(c)
			continue
		}
		s.tasks.Go(func() {
			defer s.unregister(c)
			s.serve(c)
		})
	}
}

func (s *Server) register(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limits.MaxConnections || s.ctx.Err() != nil {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) unregister(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.Close()
}

// rejectBusy sends a busy reply and closes the connection. The send buffer of a new connection
// has room for a small frame, so the write doesn't block.
func (s *Server) rejectBusy(c net.Conn) {
	r := &reply{}
	r.setError(&busyError{s.voter.cfg.RetryAfter})
	if frame, err := encodeFrame(r); err == nil {
		c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
		c.Write(frame)
	}
	c.Close()
}

// serverConn is a client's connection.
type serverConn struct {
	*Server
	conn  net.Conn
	ctx   context.Context
	slots chan struct{}  // one is taken by each request in progress
	tasks sync.WaitGroup // requests and subscriptions

	endSubscription func() // cancels the subscription and waits until it has ended

	writeMu sync.Mutex // serializes writes of frames
}

// serve reads requests until the connection fails or is idle for too long, then cancels the
// requests in progress and waits for them.
func (s *Server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	p := &serverConn{Server: s, conn: c, ctx: ctx, slots: make(chan struct{}, s.limits.MaxRequests), endSubscription: func() {}}
	defer p.tasks.Wait()
	defer cancel()
	in := bufio.NewReaderSize(c, 1024)
	for {
		c.SetReadDeadline(time.Now().Add(s.limits.IdleTimeout))
		var q request
		err := readFrame(in, &q, func() { c.SetReadDeadline(time.Now().Add(s.limits.FrameTimeout)) })
		if errors.Is(err, errMalformedFrame) {
			p.send(&reply{Code: codeBadRequest, Text: err.Error()})
		}
		if err != nil {
			return
		}
		if q.Kind == requestSubscribe {
			p.replaceSubscription(&q)
		} else {
			p.startAnswer(&q)
		}
	}
}

// replaceSubscription ends the connection's subscription and starts another.
func (p *serverConn) replaceSubscription(q *request) {
	p.endSubscription()
	ctx, end := context.WithCancel(p.ctx)
	ended := make(chan struct{})
	p.endSubscription = func() { end(); <-ended }
	p.tasks.Go(func() {
		defer close(ended)
		p.subscribe(ctx, q.ID, q.From)
	})
}

// startAnswer answers a request in a goroutine, or replies busy if too many are in progress.
func (p *serverConn) startAnswer(q *request) {
	select {
	case p.slots <- struct{}{}:
	default:
		r := &reply{ID: q.ID}
		r.setError(&busyError{p.voter.cfg.RetryAfter})
		p.send(r)
		return
	}
	p.tasks.Go(func() {
		defer func() { <-p.slots }()
		p.send(p.answer(q))
	})
}

// send writes a reply. The connection is closed if the write fails or times out.
func (p *serverConn) send(r *reply) {
	frame, err := encodeFrame(r)
	if err != nil {
		frame, _ = encodeFrame(&reply{ID: r.ID, Code: codeBadRequest, Text: "answer longer than a frame"})
	}
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(p.limits.FrameTimeout))
	if _, err := p.conn.Write(frame); err != nil {
		p.conn.Close()
	}
}

// answer executes a request and returns the reply.
func (p *serverConn) answer(q *request) *reply {
	timeout := p.limits.RequestTimeout
	if ms := q.Timeout; ms > 0 && ms < timeout.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	r := &reply{ID: q.ID}
	var err error
	switch q.Kind {
	case requestPing:
	case requestHello:
		ownHello := p.voter.hello()
		r.Hello = &ownHello
	case requestOpenSession:
		r.Index, err = p.voter.openSession(ctx)
	case requestPropose:
		r.Body, r.Index, err = p.voter.propose(ctx, sessionEntry{q.Session, q.Seq, q.Confirmed, q.Body})
	case requestRead:
		r.Body, r.Index, err = p.voter.read(ctx, q.Body)
	case requestAddVoter:
		err = p.voter.addVoter(ctx, q.Name, q.Address)
	case requestRemoveVoter:
		err = p.voter.removeVoter(ctx, q.Name)
	default:
		err = errors.New("agree: kind of request not known")
	}
	r.setError(err)
	return r
}

// subscribe sends the effects from an index on, until another subscription replaces
// this one or this voter has lost contact with the leader.
func (p *serverConn) subscribe(ctx context.Context, id, from uint64) {
	const batch = 64
	check := time.NewTicker(p.voter.cfg.HeartbeatTimeout)
	defer check.Stop()
	for p.voter.hasLeader() {
		effects, more, err := p.voter.effects(from, batch)
		if err != nil {
			r := &reply{ID: id}
			r.setError(err)
			p.send(r)
			return
		}
		for _, e := range effects {
			if ctx.Err() != nil {
				return
			}
			p.send(&reply{ID: id, Code: codeEffect, Index: e.Index, Body: e.Answer})
			from = e.Index + 1
		}
		if len(effects) == batch {
			continue
		}
		select {
		case <-more:
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
	r := &reply{ID: id}
	r.setError(&notLeaderError{})
	p.send(r)
}
