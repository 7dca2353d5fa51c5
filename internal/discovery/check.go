package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"time"
)

// A check is a call beside a watch that stands, for the list as it is now. A watch may be late
// with what it has to tell, and shows signs of life all the same; the answer to a call holds
// all that discovery had when the call was made.

// checkSpread is the part of CheckEvery over which callers spread a check: what one doubts
// many doubt, and all at once they would keep discovery from telling anything.
const checkSpread = 0.5

// RequestCheck asks for a check of the list. While none is due, or no watch stands, it does nothing.
func (c *Client) RequestCheck() {
	select {
	case c.doubted <- struct{}{}:
	default:
	}
}

// runChecks makes the checks that are asked for until ctx is over.
func (c *Client) runChecks(ctx context.Context) {
	if c.MinCheckInterval <= 0 {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.doubted:
		}
		spread := time.Duration(rand.Float64() * checkSpread * float64(c.MinCheckInterval))
		if !sleep(ctx, spread) {
			return
		}
		if at := c.current(); c.followed(at) {
			began := time.Now()
			rev, err := c.check(ctx, at)
			log.Printf("event=list_checked rev=%d waited_ms=%d err=%q", rev, time.Since(began).Milliseconds(), fmt.Sprint(err))
		}
		if !sleep(ctx, c.MinCheckInterval-spread) {
			return
		}
	}
}

// followed tells whether a watch of a source stands that has told a list.
func (c *Client) followed(at source) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.same(c.from) && c.fresh.followed()
}

// sleep waits for a time, and tells whether ctx is not over.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// check makes one call, takes the list that its answer begins with, and ends it.
func (c *Client) check(ctx context.Context, at source) (rev int64, err error) {
	_, err = c.open(ctx, at, func(body io.Reader, alive func()) error {
		lists := json.NewDecoder(&stream{r: body, alive: alive, idle: func() {}, left: maxList})
		l, err := next(lists)
		if err != nil {
			return err
		}
		rev = l.Rev
		use, err := c.apply(at, l, false, (*freshnessTracker).checked)
		if err == nil && !use {
			err = errors.New("not used")
		}
		return err
	})
	return rev, err
}
