package agree

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

// ClientConfig says whom to ask and how long to wait.
type ClientConfig struct {
	Voters         []string      // addresses at which they answer askers
	RequestTimeout time.Duration // for one voter's answer; 0: 2 s
	InitialBackoff time.Duration // before the second try, doubled for each after it; 0: 20 ms
	MaxBackoff     time.Duration // between two tries at most; 0: 1 s
	PingInterval   time.Duration // between signs of life on a connection; 0: 10 s
	MaxProposals   int           // under way at once, 32 at most; others wait; 0: 8
}

// fill checks the configuration and replaces what is 0 by its default.
func (c *ClientConfig) setDefaults() error {
	if len(c.Voters) == 0 {
		return errors.New("agree: client: no voters")
	}
	for _, d := range []struct {
		to  *time.Duration
		def time.Duration
	}{
		{&c.RequestTimeout, 2 * time.Second}, {&c.InitialBackoff, 20 * time.Millisecond}, {&c.MaxBackoff, time.Second},
		{&c.PingInterval, 10 * time.Second},
	} {
		if *d.to == 0 {
			*d.to = d.def
		}
	}
	if c.MaxProposals == 0 {
		c.MaxProposals = 8
	}
	c.MaxProposals = min(c.MaxProposals, maxUnconfirmed/2)
	return nil
}

// Client proposes entries to the voters and reads from them over one connection, to the one
// that it believes to be the leader. It retries with backoff, at another voter where that may
// help, until ctx is over. Its methods may be called from any goroutine.
type Client struct {
	cfg   ClientConfig
	log   *slog.Logger
	slots chan struct{}

	// Opening a session is done by one at a time.
	sessionOpening chan struct{}

	mu      sync.Mutex
	closed  bool
	target  int // index into cfg.Voters
	conn    *clientConn
	dialing chan struct{} // closed when a dial is over; nil: none

	session     uint64          // 0: none
	seq         uint64          // the last one given out
	outstanding map[uint64]bool // sequences whose answer has not been had
}

// NewClient returns a client, which connects at its first call. It returns an error if
// cfg.Voters is empty.
func NewClient(cfg ClientConfig, log *slog.Logger) (*Client, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	return &Client{
		cfg: cfg, log: log, slots: make(chan struct{}, cfg.MaxProposals), sessionOpening: make(chan struct{}, 1),
		target: rand.IntN(len(cfg.Voters)), outstanding: map[uint64]bool{},
	}, nil
}

// Close closes the connection. Calls under way and later ones return
// ErrShutdown, an Ask whose entry may have been applied ErrUnknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	l := c.conn
	c.mu.Unlock()
	if l != nil {
		l.fail(ErrShutdown)
	}
}

func (c *Client) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read queries the machine and returns its answer with the index of the last command that it
// had applied; the answer reflects all that was agreed before Read was called. It returns
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

// Add adds a voter, which was started with Config.Join, to the set under a name and the address
// at which other voters reach it. It counts for the quorum at once, while the log is still being
// sent to it. It returns an error if raft refuses the change.
func (c *Client) AddVoter(ctx context.Context, name, address string) error {
	_, err := c.retry(ctx, func() *request {
		return &request{Kind: requestAddVoter, Name: name, Address: address}
	}, nil)
	return err
}

// Remove removes the voter with a name from the set. The name must not be used again.
func (c *Client) RemoveVoter(ctx context.Context, name string) error {
	_, err := c.retry(ctx, func() *request { return &request{Kind: requestRemoveVoter, Name: name} }, nil)
	return err
}

// retry sends a request until its reply is final: one that neither another voter nor a later
// try could change. It sets unknown, if not nil, once a try may have been agreed.
func (c *Client) retry(ctx context.Context, newRequest func() *request, unknown *bool) (*reply, error) {
	wait := backoff{cfg: &c.cfg}
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
			if sent && unknown != nil {
				*unknown = true
			}
		case errors.Is(err, ErrTooManyUnconfirmed):
		default:
			return nil, err
		}
		if err := wait.sleep(ctx, err); err != nil {
			return nil, err
		}
	}
}

// try sends a request once and waits for the reply for ClientConfig.Try. The reply is nil if
// there was none; sent tells whether the request may have reached the voter.
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
	patience := time.NewTimer(c.cfg.RequestTimeout)
	defer patience.Stop()
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
	case <-patience.C:
		c.switchVoter(conn, ErrOutcomeUnknown)
		return nil, true, errors.New("agree: no answer")
	}
}
