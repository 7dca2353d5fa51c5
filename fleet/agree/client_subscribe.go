package agree

import (
	"context"
	"errors"
)

// subscribe calls f with each effect from an index on, in order and once, until
// f returns an error or ctx is over. On a *goneError read the state, and subscribe
// from the index after the one that it was read at.
func (c *Client) subscribe(ctx context.Context, from uint64, f func(effect) error) error {
	wait := backoff{cfg: &c.cfg}
	for {
		before := from
		err := c.subscribeOnce(ctx, &from, f)
		var gone *compactedError
		var own *callbackError
		switch {
		case errors.As(err, &own):
			return own.error
		case errors.As(err, &gone), errors.Is(err, ErrShutdown) && c.isClosed():
			return err
		}
		if from > before {
			wait.attempts = 0
		}
		if err := wait.sleep(ctx, err); err != nil {
			return err
		}
	}
}

// callerError is an error of the caller's own function.
type callbackError struct{ error }

func (c *Client) subscribeOnce(ctx context.Context, from *uint64, f func(effect) error) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	waiter, err := conn.send(&request{Kind: requestSubscribe, From: *from}, subscriberBuffer)
	if err != nil {
		return err
	}
	defer conn.forget(waiter)
	for {
		select {
		case r, ok := <-waiter.replies:
			if !ok {
				return errors.New("agree: subscription ended")
			}
			if err := r.err(); err != nil {
				c.switchVoter(conn, err)
				return err
			}
			if r.Index < *from {
				continue
			}
			if err := f(effect{r.Index, r.Body}); err != nil {
				return &callbackError{err}
			}
			*from = r.Index + 1
		case <-ctx.Done():
			return &callbackError{ctx.Err()}
		}
	}
}
