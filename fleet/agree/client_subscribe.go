package agree

import (
	"context"
	"errors"
)

// subscribe calls f once for each effect from an index on, in order, until f returns
// an error or ctx ends. After a *compactedError the caller has to read the state and
// subscribe from the index after that of the read.
func (c *Client) subscribe(ctx context.Context, from uint64, f func(effect) error) error {
	retryDelay := backoff{cfg: &c.cfg}
	for {
		start := from
		err := c.subscribeOnce(ctx, &from, f)
		var compacted *compactedError
		var callback *callbackError
		switch {
		case errors.As(err, &callback):
			return callback.error
		case errors.As(err, &compacted), errors.Is(err, ErrShutdown) && c.isClosed():
			return err
		}
		if from > start {
			retryDelay.attempts = 0
		}
		if err := retryDelay.sleep(ctx, err); err != nil {
			return err
		}
	}
}

// callbackError is an error of the subscriber's callback or context, which is not retried.
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
