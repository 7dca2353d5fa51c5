package agree

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// backoff is an exponential backoff with jitter (Brooker, "Exponential Backoff and
// Jitter", 2015).
type backoff struct {
	cfg      *ClientConfig
	attempts int
}

// sleep waits before the next attempt after err; for a busyError, at least the delay that the voter
// requested. It returns the error of ctx if that ends first.
func (b *backoff) sleep(ctx context.Context, err error) error {
	bound := min(b.cfg.InitialBackoff<<min(b.attempts, 16), b.cfg.MaxBackoff)
	b.attempts++
	wait := bound/2 + rand.N(bound/2+1)
	var busy *busyError
	if errors.As(err, &busy) {
		wait = busy.RetryAfter + rand.N(busy.RetryAfter/2+1)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
