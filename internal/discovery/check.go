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

// A check is a call beside an open watch for the list as it is now. A watch may announce changes
// late although it sends heartbeats; the answer to a call holds everything that discovery had
// when the call was made.

// checkSpread is the fraction of MinCheckInterval over which callers spread a check. Many callers
// doubt their list for the same reason, and simultaneous checks would delay discovery's
// announcements.
const checkSpread = 0.5

// RequestCheck requests a check of the list. A request within MinCheckInterval of the last check
// is kept until the interval is over. If no watch is open then, the check is skipped.
func (c *Client) RequestCheck() {
	select {
	case c.checkRequested <- struct{}{}:
	default:
	}
}

// runChecks makes the requested checks until ctx is done.
func (c *Client) runChecks(ctx context.Context) {
	if c.MinCheckInterval <= 0 {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.checkRequested:
		}
		spread := time.Duration(rand.Float64() * checkSpread * float64(c.MinCheckInterval))
		if !sleep(ctx, spread) {
			return
		}
		if from := c.currentSource(); c.watched(from) {
			began := time.Now()
			rev, err := c.check(ctx, from)
			log.Printf("event=list_checked rev=%d waited_ms=%d err=%q", rev, time.Since(began).Milliseconds(), fmt.Sprint(err))
		}
		if !sleep(ctx, c.MinCheckInterval-spread) {
			return
		}
	}
}

// watched reports whether a watch of a source is open that has brought a list.
func (c *Client) watched(from source) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from.is(c.source) && c.freshness.watched()
}

// sleep waits for the given time, and reports whether it ended before ctx was done.
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

// check makes one call, applies the first list of the answer, and ends the call.
func (c *Client) check(ctx context.Context, from source) (rev int64, err error) {
	_, err = c.open(ctx, from, func(body io.Reader, onData func()) error {
		lists := json.NewDecoder(&stream{r: body, onData: onData, onHeartbeat: func() {}, bytesLeft: maxListBytes})
		l, err := nextList(lists)
		if err != nil {
			return err
		}
		rev = l.Rev
		used, err := c.apply(from, l, false, (*freshnessTracker).checkReceived)
		if err == nil && !used {
			err = errors.New("the list was not used")
		}
		return err
	})
	return rev, err
}
