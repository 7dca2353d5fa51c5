package agree

import (
	"context"
	"errors"
)

// Ask proposes an entry, of MaxEntry bytes at most, in the client's session, so that it is
// applied once however often it is sent, and returns the machine's answer and the index of the
// log at which it was applied. ErrUnknown says that it may have been applied or may yet be,
// ErrSession that it may have been and that nobody can tell any more; after any other error it
// was not applied and won't be.
func (c *Client) Propose(ctx context.Context, entry []byte) (answer []byte, index uint64, err error) {
	a := c.newProposal(entry)
	defer a.release()
	return a.submit(ctx)
}

// clientAsk is one ask, which may be asked any number of times. It is for one goroutine.
type clientProposal struct {
	client       *Client
	entry        []byte
	session      uint64 // 0: not asked yet
	seq          uint64
	maybeApplied bool // a try may have been applied
}

// prepare returns an ask that has not been sent. It must be dropped at the end.
func (c *Client) newProposal(entry []byte) *clientProposal {
	return &clientProposal{client: c, entry: entry}
}

// do asks, again and again under the same sequence, until it knows or ctx is
// over, and returns the machine's answer and the index at which the entry was
// applied. ErrUnknown says that it may be applied, now or later: only another do
// tells. ErrSession says that it may have been and that nobody can tell any more.
// After any other error it isn't and won't be applied by the tries so far.
func (a *clientProposal) submit(ctx context.Context) (answer []byte, index uint64, err error) {
	if len(a.entry) > MaxEntry {
		return nil, 0, ErrTooLong
	}
	select {
	case a.client.slots <- struct{}{}:
		defer func() { <-a.client.slots }()
	case <-ctx.Done():
		return nil, 0, a.orOutcomeUnknown(ctx.Err())
	}
	for {
		if a.session == 0 {
			if a.session, err = a.client.ensureSession(ctx); err != nil {
				return nil, 0, err
			}
			a.seq = a.client.nextSeq()
		}
		r, err := a.client.retry(ctx, func() *request {
			return &request{
				Kind: requestPropose, Session: a.session, Seq: a.seq, Confirmed: a.client.confirmedSeq(), Body: a.entry,
			}
		}, &a.maybeApplied)
		if err == nil {
			a.maybeApplied = false
			return r.Body, r.Index, nil
		}
		if !errors.Is(err, ErrUnknownSession) {
			return nil, 0, a.orOutcomeUnknown(err)
		}
		a.client.forgetSession(a.session)
		if a.maybeApplied {
			return nil, 0, ErrUnknownSession
		}
		a.release()
	}
}

// orUnknown is err, or ErrUnknown if a try may have been applied.
func (a *clientProposal) orOutcomeUnknown(err error) error {
	if a.maybeApplied {
		return ErrOutcomeUnknown
	}
	return err
}

// drop gives up the sequence of the ask: its answer need not be kept any more.
func (a *clientProposal) release() {
	if a.session != 0 {
		a.client.releaseSeq(a.seq)
		a.session = 0
	}
}

// ensureSession returns the session, which it opens if there is none.
func (c *Client) ensureSession(ctx context.Context) (uint64, error) {
	select {
	case c.sessionOpening <- struct{}{}:
		defer func() { <-c.sessionOpening }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	c.mu.Lock()
	session := c.session
	c.mu.Unlock()
	if session != 0 {
		return session, nil
	}
	r, err := c.retry(ctx, func() *request { return &request{Kind: requestOpenSession} }, nil)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = r.Index
	return r.Index, nil
}

// forgetSession drops a session that the voters don't know.
func (c *Client) forgetSession(session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == session {
		c.session = 0
	}
}

// nextSeq gives out the next sequence of the session, as outstanding.
func (c *Client) nextSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	c.outstanding[c.seq] = true
	return c.seq
}

// releaseSeq ends the wait for the answer to a sequence.
func (c *Client) releaseSeq(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.outstanding, seq)
}

// confirmedSeq is the highest sequence up to which no answer is waited for.
func (c *Client) confirmedSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := c.seq
	for seq := range c.outstanding {
		done = min(done, seq-1)
	}
	return done
}
