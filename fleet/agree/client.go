package agree

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

// ClientConfig configures a Client. Zero durations and numbers stand for the defaults.
type ClientConfig struct {
	Voters         []string      // addresses of the voters for clients
	RequestTimeout time.Duration // for connecting, and for one reply; 0: 2 s
	InitialBackoff time.Duration // before the second attempt, doubled for each later one; 0: 20 ms
	MaxBackoff     time.Duration // upper bound of the delay between attempts; 0: 1 s
	PingInterval   time.Duration // between pings on a connection; 0: 10 s
	MaxProposals   int           // concurrent proposals, at most 32; further ones wait; 0: 8
}

// setDefaults validates the configuration and replaces zero values by the defaults.
func (c *ClientConfig) setDefaults() error {
	if len(c.Voters) == 0 {
		return errors.New("agree: client: no voters")
	}
	for _, d := range []struct {
		setting *time.Duration
		value   time.Duration
	}{
		{&c.RequestTimeout, 2 * time.Second}, {&c.InitialBackoff, 20 * time.Millisecond}, {&c.MaxBackoff, time.Second},
		{&c.PingInterval, 10 * time.Second},
	} {
		if *d.setting == 0 {
			*d.setting = d.value
		}
	}
	if c.MaxProposals == 0 {
		c.MaxProposals = 8
	}
	c.MaxProposals = min(c.MaxProposals, maxUnconfirmed/2)
	return nil
}

// Client proposes entries to the voters and reads from them over one connection to the voter
// that it believes to be the leader. Its calls are retried with backoff until their context ends,
// at another voter if this one doesn't lead or doesn't reply. Its methods may be called from any
// goroutine.
type Client struct {
	cfg   ClientConfig
	log   *slog.Logger
	slots chan struct{}

	// sessionOpening is a semaphore: one goroutine at a time opens a session.
	sessionOpening chan struct{}

	mu          sync.Mutex
	closed      bool
	targetIndex int // index into cfg.Voters
	conn        *clientConn
	dialing     chan struct{} // closed at the end of the current dial; nil: none

	session     uint64          // 0: none
	seq         uint64          // the last sequence number assigned
	outstanding map[uint64]bool // sequence numbers whose answer is still needed
}

// NewClient returns a client that connects on its first call. It returns an error if
// cfg.Voters is empty.
func NewClient(cfg ClientConfig, log *slog.Logger) (*Client, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	return &Client{
		cfg: cfg, log: log, slots: make(chan struct{}, cfg.MaxProposals), sessionOpening: make(chan struct{}, 1),
		targetIndex: rand.IntN(len(cfg.Voters)), outstanding: map[uint64]bool{},
	}, nil
}

// Close closes the connection. Calls in progress and later ones return ErrShutdown; a
// Propose whose entry may have been applied returns ErrOutcomeUnknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		conn.fail(ErrShutdown)
	}
}

func (c *Client) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read queries the machine and returns its answer with the index of the last command applied
// before it. The answer reflects all entries committed before the call. It returns
// ErrTooLong for a query of more than MaxEntry bytes, ErrShutdown after Close, the error of
// ctx, and an error if the machine is not a Querier.
func (c *Client) Read(ctx context.Context, query []byte) (answer []byte, index uint64, err error) {
	if len(query) > MaxEntry {
		return nil, 0, ErrTooLong
	}
	r, err := c.retry(ctx, func() *request { return &request{Kind: requestRead, Body: query} }, nil)
	if err != nil {
		return nil, 0, err
	}
	return r.Body, r.Index, nil
}

// AddVoter adds a voter, which was started with Config.Join, to the set under a name and the
// address for raft connections. It counts for the quorum at once, while the log is still being
// sent to it. It returns an error if raft refuses the change.
func (c *Client) AddVoter(ctx context.Context, name, address string) error {
	_, err := c.retry(ctx, func() *request {
		return &request{Kind: requestAddVoter, Name: name, Address: address}
	}, nil)
	return err
}

// RemoveVoter removes the voter with a name from the set. The name must not be used again.
func (c *Client) RemoveVoter(ctx context.Context, name string) error {
	_, err := c.retry(ctx, func() *request { return &request{Kind: requestRemoveVoter, Name: name} }, nil)
	return err
}

// retry sends a request until its reply is final, which means that neither another voter nor a
// later attempt could change it. It sets maybeApplied, if not nil, once an attempt may have been
// applied.
func (c *Client) retry(ctx context.Context, newRequest func() *request, maybeApplied *bool) (*reply, error) {
	retryDelay := backoff{cfg: &c.cfg}
	for {
		r, sent, err := c.attempt(ctx, newRequest)
		if err == nil {
			return r, nil
		}
		var notLeader *notLeaderError
		var busy *busyError
		switch {
		case errors.As(err, &notLeader), errors.As(err, &busy), errors.Is(err, ErrShutdown):
			if c.isClosed() {
				return nil, ErrShutdown
			}
		case r == nil, errors.Is(err, ErrOutcomeUnknown):
			if sent && maybeApplied != nil {
				*maybeApplied = true
			}
		case errors.Is(err, ErrTooManyUnconfirmed):
		default:
			return nil, err
		}
		if err := retryDelay.sleep(ctx, err); err != nil {
			return nil, err
		}
	}
}

// attempt sends a request once and waits for the reply for ClientConfig.RequestTimeout. The reply
// is nil if there was none; sent reports whether the request may have reached the voter.
func (c *Client) attempt(ctx context.Context, newRequest func() *request) (r *reply, sent bool, err error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, false, err
	}
	q := newRequest()
	q.Timeout = c.cfg.RequestTimeout.Milliseconds()
	waiter, err := conn.send(q, 1)
	if err != nil {
		return nil, true, err
	}
	defer conn.forget(waiter)
	timeout := time.NewTimer(c.cfg.RequestTimeout)
	defer timeout.Stop()
	select {
	case r, ok := <-waiter.replies:
		if !ok {
			return nil, true, errors.New("agree: connection lost")
		}
		err := r.err()
		if err != nil {
			c.switchVoter(conn, err)
		}
		return r, true, err
	case <-ctx.Done():
		return nil, true, ctx.Err()
	case <-timeout.C:
		c.switchVoter(conn, ErrOutcomeUnknown)
		return nil, true, errors.New("agree: no answer")
	}
}
