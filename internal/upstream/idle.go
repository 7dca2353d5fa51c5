package upstream

import (
	"context"
	"net"
	"slices"
	"time"

	"oxbowloft/internal/http1"
	"oxbowloft/internal/memory"
)

// A backend may send more than the answer to a request: a second copy, or noise. HTTP/1.1 does not
// say which request an answer is for, so whatever arrives after the next request has been written
// is taken for its answer. A connection therefore rests after each answer until what comes behind
// it has arrived, and is then used only if nothing has.
const (
	// minRest is how long a connection rests after an answer before it carries another exchange.
	// It has no exceptions: a second answer that arrives up to minRest after the first is noticed,
	// however long the way to the backend is, since both take the same way.
	minRest = 100 * time.Millisecond
	// preferredRest is the rest after which a connection is preferred to those that have rested
	// for less.
	preferredRest = 300 * time.Millisecond

	// maxIdleFraction is the part of the idle timeout after which a connection has expired.
	maxIdleFraction = 0.7
)

// conn is a connection to a backend.
type conn struct {
	*http1.Conn
	idleSince time.Time // the end of its last exchange, or when it was established
}

// connBytes is the memory that an open connection takes, with its first read buffer.
const connBytes = 4 << 10

// newConn returns a connection on nc, whose memory is charged.
func newConn(nc net.Conn, opt *Options) *conn {
	opt.Memory.Charge(memory.Connection, connBytes, 0)
	c := &conn{Conn: http1.NewConn(nc), idleSince: time.Now()}
	c.Memory, c.KeepFields = opt.Memory, opt.KeepFields
	return c
}

// Close closes the connection and releases its memory.
func (c *conn) Close() error {
	c.Memory.Release(memory.Connection, connBytes)
	return c.Conn.Close()
}

// hasRested reports whether the connection has been idle for at least rest, or has carried no
// exchange yet.
func (c *conn) hasRested(now time.Time, rest time.Duration) bool {
	return !c.HasReadMessage() || now.Sub(c.idleSince) >= rest
}

// takeRested takes the idle connection to use next: the newest of those that have rested for
// preferredRest, else the one that has rested longest. It returns nil if none has rested for
// minRest and has not expired.
func (b *Backend) takeRested() *conn {
	for {
		c := b.removeIdle(b.nextRested)
		if c == nil || c.IsIdle() {
			return c
		}
		b.discardUnidle(c)
	}
}

// nextRested returns the index of the connection that takeRested is to take, or -1.
func (b *Backend) nextRested(idle []*conn) int {
	now, next := time.Now(), -1
	for n, c := range idle {
		if b.hasExpired(c, now) {
			continue // the next CloseExpired closes it
		}
		if c.hasRested(now, preferredRest) || next < 0 && c.hasRested(now, minRest) {
			next = n
		}
	}
	return next
}

// longestResting returns the index of the connection whose rest ends first, or -1.
func (b *Backend) longestResting(idle []*conn) int {
	now := time.Now()
	return slices.IndexFunc(idle, func(c *conn) bool { return !b.hasExpired(c, now) })
}

// newestIdle returns the index of the connection that became idle last, or -1.
func newestIdle(idle []*conn) int { return len(idle) - 1 }

// newestResting returns the index of the connection that became idle last, or -1 if it has rested.
func newestResting(idle []*conn) int {
	last := newestIdle(idle)
	if last >= 0 && idle[last].hasRested(time.Now(), minRest) {
		return -1
	}
	return last
}

// removeIdle removes the idle connection whose index choose returns, where they are sorted by the
// time since which they have been idle. It returns nil if the index is negative.
func (b *Backend) removeIdle(choose func(idle []*conn) int) *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := choose(b.idleConns)
	if n < 0 {
		return nil
	}
	c := b.idleConns[n]
	b.idleConns = slices.Delete(b.idleConns, n, n+1)
	return c
}

// awaitRested waits until a connection has rested, and takes it. It returns nil if none has by the
// latest time, or if ctx ends before.
func (b *Backend) awaitRested(ctx context.Context, latest time.Time) *conn {
	if c := b.takeRested(); c != nil {
		return c
	}
	c := b.removeIdle(b.longestResting)
	if c == nil {
		return nil
	}
	restEnd := c.idleSince.Add(minRest)
	if restEnd.After(latest) {
		b.returnIdle(c)
		return nil
	}
	timer := time.NewTimer(time.Until(restEnd))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		b.returnIdle(c)
		return nil
	}
	if !c.IsIdle() {
		b.discardUnidle(c)
		return nil
	}
	return c
}

// beginRest makes a connection idle after an exchange, unless more than the answer has arrived.
func (b *Backend) beginRest(c *conn) {
	if c.Buffered() > 0 {
		b.discardUnidle(c)
		return
	}
	c.idleSince = time.Now()
	b.returnIdle(c)
}

// returnIdle makes a connection available to other exchanges, without a change of its rest, or
// closes it if descriptors are exhausted or the backend is closed.
func (b *Backend) returnIdle(c *conn) {
	exhausted := b.opt.Descriptors.Exhausted()
	b.mu.Lock()
	discard := exhausted || b.closed
	if !discard {
		n, _ := slices.BinarySearchFunc(b.idleConns, c, func(other, c *conn) int { return other.idleSince.Compare(c.idleSince) })
		b.idleConns = slices.Insert(b.idleConns, n, c)
	}
	b.mu.Unlock()
	if discard {
		b.discard(c)
	}
}

// discardUnidleConns closes the idle connections that their peer has closed or on which data has
// arrived, without waiting for the end of their rest.
func (b *Backend) discardUnidleConns() {
	for _, c := range b.takeIdle(func(c *conn) bool { return !c.IsIdle() }) {
		b.discardUnidle(c)
	}
}

// discardUnidle closes a connection that its peer has closed or on which data has arrived that
// answers no request.
func (b *Backend) discardUnidle(c *conn) {
	if c.HasUnreadData() {
		b.opt.UnrequestedData.Add(1)
	}
	b.discard(c)
}

// CloseExpired closes the connections that have expired.
func (b *Backend) CloseExpired(now time.Time) {
	b.closeAll(b.takeIdle(func(c *conn) bool { return b.hasExpired(c, now) }))
}

// hasExpired reports whether a connection has been idle for most of the idle timeout, so that the
// backend may be about to close it.
func (b *Backend) hasExpired(c *conn, now time.Time) bool {
	return float64(now.Sub(c.idleSince)) > maxIdleFraction*float64(b.opt.IdleTimeout)
}

// RemoveIdle takes all idle connections out of use without blocking. The function that it returns
// closes them.
func (b *Backend) RemoveIdle() (closeRemoved func()) {
	removed := b.takeIdle(func(*conn) bool { return true })
	return func() { b.closeAll(removed) }
}

// IdleCount returns the number of idle connections.
func (b *Backend) IdleCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.idleConns)
}

// OldestIdleSince returns when the oldest idle connection became idle; ok is false if none is idle.
func (b *Backend) OldestIdleSince() (since time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idleConns) == 0 {
		return since, false
	}
	return b.idleConns[0].idleSince, true
}

// CloseOldestIdle closes the oldest idle connection and reports whether there was one.
func (b *Backend) CloseOldestIdle() bool {
	first := true
	removed := b.takeIdle(func(*conn) bool { was := first; first = false; return was })
	b.closeAll(removed)
	return len(removed) > 0
}

// CloseResting closes up to most connections that have not rested yet, the newest first, and returns
// how many it has closed.
func (b *Backend) CloseResting(most int) (closed int) {
	for ; closed < most; closed++ {
		c := b.removeIdle(newestResting)
		if c == nil {
			break
		}
		b.discard(c)
	}
	return closed
}

// Close closes the idle connections, closes those in use once they become idle, and cancels the
// dials in progress.
func (b *Backend) Close() {
	b.cancel()
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.RemoveIdle()()
}

// takeIdle removes and returns the idle connections for which match is true.
func (b *Backend) takeIdle(match func(*conn) bool) (removed []*conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.idleConns[:0]
	for _, c := range b.idleConns {
		if match(c) {
			removed = append(removed, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(b.idleConns[len(kept):])
	b.idleConns = kept
	return removed
}

func (b *Backend) closeAll(conns []*conn) {
	for _, c := range conns {
		b.discard(c)
	}
}
