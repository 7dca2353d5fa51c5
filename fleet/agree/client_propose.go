package agree

import (
	"context"
	"errors"
)

// Propose proposes an entry of at most MaxEntry bytes in the client's session, so that it is
// applied once even if it is sent several times. It returns the machine's answer and the log
// index at which the entry was applied. After ErrOutcomeUnknown the entry may have been applied
// or may still be; after ErrUnknownSession it may have been, and the outcome can't be determined
// any more. After any other error it was not and will not be applied.
func (c *Client) Propose(ctx context.Context, entry []byte) (answer []byte, index uint64, err error) {
	a := c.newProposal(entry)
	defer a.release()
	return a.submit(ctx)
}

// clientProposal is a proposal that may be submitted several times. It is not safe for concurrent
// use.
type clientProposal struct {
	client       *Client
	entry        []byte
	session      uint64 // 0: not submitted yet
	seq          uint64
	maybeApplied bool // an attempt may have been applied
}

// newProposal returns a proposal that has not been submitted. The caller must release it.
func (c *Client) newProposal(entry []byte) *clientProposal {
	return &clientProposal{client: c, entry: entry}
}

// submit sends the proposal under the same sequence number until the outcome is known
// or ctx ends, and returns the machine's answer and the index at which the entry was
// applied. After ErrOutcomeUnknown it may have been applied or may still be; calling
// submit again determines the outcome. After ErrUnknownSession it may have been
// applied, and the outcome can't be determined any more. After any other error the
// attempts so far have not been and will not be applied.
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

// orOutcomeUnknown returns err, or ErrOutcomeUnknown if an attempt may have been applied.
func (a *clientProposal) orOutcomeUnknown(err error) error {
	if a.maybeApplied {
		return ErrOutcomeUnknown
	}
	return err
}

// release ends the use of the proposal's sequence number, so the voters may delete its answer.
func (a *clientProposal) release() {
	if a.session != 0 {
		a.client.releaseSeq(a.seq)
		a.session = 0
	}
}

// ensureSession returns the client's session, and opens one if there is none.
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

// forgetSession forgets a session that the voters don't know.
func (c *Client) forgetSession(session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == session {
		c.session = 0
	}
}

// nextSeq assigns the next sequence number and marks it as outstanding.
func (c *Client) nextSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	c.outstanding[c.seq] = true
	return c.seq
}

// releaseSeq marks the answer to a sequence number as no longer needed.
func (c *Client) releaseSeq(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.outstanding, seq)
}

// confirmedSeq returns the highest sequence number up to which no answer is needed.
func (c *Client) confirmedSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := c.seq
	for seq := range c.outstanding {
		done = min(done, seq-1)
	}
	return done
}
