// Package discovery follows the list of backends. It starts with a known list and keeps a
// watch open, which it resumes after each break.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"oxbowloft/internal/neterror"
)

const (
	dialTimeout = 2 * time.Second
	// heartbeatInterval is the protocol's interval between heartbeats on a watch that has
	// nothing to announce.
	heartbeatInterval = 2 * time.Second
	// heartbeatTimeout is how long a call or a watch may receive nothing. It allows a
	// heartbeat to be late by half an interval, and leaves the other half of MaxAnnounceDelay
	// for another call.
	heartbeatTimeout = heartbeatInterval * 3 / 2
	maxListBytes     = 8 << 20

	// maxOlderStarts is how many watches in a row may begin with a complete list older than
	// the one in use before that list is accepted. A single one may come from a lagging
	// replica of discovery, whose list would bring back drained backends. If it keeps
	// happening, discovery has restarted its revisions.
	maxOlderStarts = 3
)

// CallEnd describes how a call or a watch came to its end.
type CallEnd struct {
	Reason    Failure
	Rev       int64 // of the newest list by then
	Err       error
	Waited    time.Duration // since the call began
	Freshness Freshness     // how long the list may be used from then on
}

// Pacer decides how long to wait before a call. Only Run calls it.
type Pacer interface {
	// FirstWait returns the wait before the first call.
	FirstWait() time.Duration
	// Succeeded records that a call has brought a list.
	Succeeded()
	// SourceChanged records that lists come from another source, which is called at once.
	SourceChanged()
	// Failed records that a call failed after waiting for the given time, or with 0 that a
	// watch which had brought a list has ended, and returns the wait before the next call.
	Failed(waited time.Duration, unresponsive bool) time.Duration
}

// Client watches the list at one address. Run is the only place that makes watch calls: it
// waits until the next one is due, makes it, or follows the watch. The timer of a wait ends with
// the wait, so that it can't trigger a later call.
type Client struct {
	OnList func(*List)
	// OnEnd is called when a call has failed or a watch has ended.
	OnEnd func(CallEnd)
	// OnFreshness is called with how long the list may be used, at the start and at each
	// change. It must not call any method of the client except CallNow.
	OnFreshness func(Freshness)
	// Dial, if set, is used in place of the net package's. It is set before Run.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// MinCheckInterval is the least time between two checks; 0 disables checks. It is set
	// before Run.
	MinCheckInterval time.Duration

	callNow        chan struct{}
	checkRequested chan struct{}
	pacer          Pacer
	applyMu        sync.Mutex // held while a list is handed to OnList

	mu          sync.Mutex
	source      source
	olderStarts int // watches in a row that began with an older complete list
	freshness   freshnessTracker
}

// source is where lists come from. Each SetSource makes a new one, also for an address that
// was used before.
type source struct {
	addr     string
	rev      int64         // of the newest list from there
	replaced chan struct{} // closed when another source replaces this one; also its identity
}

func (s source) is(other source) bool { return s.replaced == other.replaced }

// New returns a client that has the list of revision rev and makes its calls when pacer says
// so.
func New(addr string, rev int64, pacer Pacer) *Client {
	return &Client{
		pacer:          pacer,
		callNow:        make(chan struct{}, 1),
		checkRequested: make(chan struct{}, 1),
		source:         source{addr: addr, rev: rev, replaced: make(chan struct{})},
		freshness:      freshnessTracker{unwatchedFor: MaxAnnounceDelay, servingWindow: MaxAnnounceDelay},
	}
}

// SetPushed declares, before Run, that a local agent pushes lists. Changes then count as
// announced at once, also while no watch is open and from the start on, so that without a watch
// the list stays fresh for no more than slack. While the agent is unreachable, backends that
// have served a call sent within grace can still be used.
func (c *Client) SetPushed(slack, grace time.Duration) {
	c.freshness.pushed, c.freshness.unwatchedFor, c.freshness.servingWindow = true, slack, grace
}

// CallNow ends the wait before the next call. It does nothing while a call is under way or a
// watch is open.
func (c *Client) CallNow() {
	select {
	case c.callNow <- struct{}{}:
	default:
	}
}

// Age returns the time since a list or a heartbeat of discovery last confirmed that the list was
// complete, and whether the list is stale: it may lack changes that count as announced.
func (c *Client) Age() (age time.Duration, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return now.Sub(c.freshness.lastContact), !now.Before(c.freshness.current().Until)
}

// SetSource makes addr the source and reports whether it was not the source already. The watch
// of the old source ends. The new one is called at once for its complete list, as its
// revisions need not continue those of the old one.
func (c *Client) SetSource(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.source.addr {
		return false
	}
	close(c.source.replaced)
	c.source, c.olderStarts = source{addr: addr, replaced: make(chan struct{})}, 0
	c.freshness.sourceChanged(time.Now())
	c.OnFreshness(c.freshness.current())
	return true
}

// updateFreshness applies an event at a source and calls OnFreshness if that changed the
// freshness. Events at a replaced source are ignored, since they say nothing about the list of
// the new one. The lock is held during the callback, so that the last callback has the current
// value.
func (c *Client) updateFreshness(from source, event func(f *freshnessTracker, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !from.is(c.source) {
		return
	}
	before := c.freshness.current()
	event(&c.freshness, time.Now())
	if freshness := c.freshness.current(); freshness != before {
		c.OnFreshness(freshness)
	}
}

// currentFreshness returns how long the list may be used.
func (c *Client) currentFreshness() Freshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.current()
}

// recordEnd updates the freshness after the end of a call or a watch of a source.
func (c *Client) recordEnd(from source, end CallEnd) {
	if end.Reason == Unresponsive || end.Reason == LocalFailure { // other callers may have received changes
		c.updateFreshness(from, (*freshnessTracker).noResponse)
		return
	}
	broken := neterror.Classify(neterror.Read, end.Err).Broken()
	if end.Reason == WatchEnded && !broken && !errors.Is(end.Err, errOlderList) {
		c.updateFreshness(from, (*freshnessTracker).watchClosed)
	}
	if neterror.Classify(neterror.Dial, end.Err) == neterror.Refused {
		c.updateFreshness(from, (*freshnessTracker).connectionRefused)
		return
	}
	c.updateFreshness(from, (*freshnessTracker).callFailed)
}

// currentSource returns the source of lists in use.
func (c *Client) currentSource() source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source
}

var (
	errSourceChanged = errors.New("the source of lists has changed")
	errOlderList     = errors.New("the watch began with a list older than the one in use")
)

// accept decides whether a list from a source is to be used, and records its revision if so. A
// list from a replaced source must not follow one of the new source, nor an older list a newer
// one: it would bring back backends that have been drained since. first says that the list
// begins a watch.
func (c *Client) accept(from source, l *List, first bool) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !from.is(c.source):
		return false, errSourceChanged
	case l.Rev >= c.source.rev:
	case !first || !l.Complete:
		log.Printf("event=list_old rev=%d have=%d", l.Rev, c.source.rev)
		return false, nil
	default:
		if c.olderStarts++; c.olderStarts < maxOlderStarts {
			return false, errOlderList
		}
	}
	c.source.rev, c.olderStarts = l.Rev, 0
	l.PreviousConfirmedAt = c.freshness.lastConfirmed
	return true, nil
}

// apply hands a list from a source to OnList if it is accepted, and then updates the freshness
// by event. Lists of a watch and of a check are handed on in the order in which they are
// accepted.
func (c *Client) apply(from source, l *List, first bool, event func(*freshnessTracker, time.Time)) (used bool, err error) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if used, err = c.accept(from, l, first); used {
		c.OnList(l)
		c.updateFreshness(from, event)
	}
	return used, err
}

// Run makes one watch after another until ctx is done, each when the pacer says so or when the
// source has changed.
func (c *Client) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { c.runChecks(ctx) })
	from := c.currentSource()
	c.updateFreshness(from, (*freshnessTracker).started)
	wait := c.pacer.FirstWait()
	for c.waitUntilDue(ctx, wait, from) {
		before := from
		if from = c.currentSource(); !from.is(before) {
			c.pacer.SourceChanged()
		}
		wait = c.call(ctx, from)
	}
}

// waitUntilDue returns when the wait is over, CallNow ends it, or the source has changed. It
// reports whether a call is to be made, which is not so once ctx is done.
func (c *Client) waitUntilDue(ctx context.Context, wait time.Duration, from source) bool {
	if wait <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.callNow:
	case <-from.replaced:
	}
	return ctx.Err() == nil
}

// call makes one call, follows its watch to the end, and returns the wait before the next.
func (c *Client) call(ctx context.Context, from source) time.Duration {
	began := time.Now()
	gotList, reason, err := c.watch(ctx, from)
	if ctx.Err() != nil {
		return 0
	}
	select {
	case <-c.callNow: // requested during the call
	default:
	}
	select {
	case <-from.replaced: // the new source is called at once; this is no failure
		log.Printf("event=watch_moved from=%s", from.addr)
		return 0
	default:
	}
	waited := time.Since(began)
	end := CallEnd{Reason: reason, Rev: c.currentSource().rev, Err: err, Waited: waited}
	c.recordEnd(from, end)
	end.Freshness = c.currentFreshness()
	c.OnEnd(end)
	if gotList {
		waited = 0
	}
	return c.pacer.Failed(waited, reason == Unresponsive || reason == LocalFailure)
}

// watch makes a single watch and reads it to its end. It returns whether the watch has brought a
// list that is in use, and how it ended.
func (c *Client) watch(ctx context.Context, from source) (gotList bool, reason Failure, err error) {
	reason, err = c.open(ctx, from, func(body io.Reader, onData func()) error {
		gotList, err = c.follow(body, from, onData)
		return err
	})
	return gotList, reason, err
}

// open makes a call to a source and passes the answer's body to read. The call is cancelled when
// the source is replaced. read has to call onData for whatever it receives.
func (c *Client) open(ctx context.Context, from source, read func(body io.Reader, onData func()) error) (Failure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-from.replaced:
			cancel()
		case <-ctx.Done():
		}
	}()
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialCtx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	conn, err := dial(dialCtx, "tcp", from.addr)
	if err != nil {
		return dialFailure(err), fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	onData := func() { conn.SetDeadline(time.Now().Add(heartbeatTimeout)) }
	onData()
	_, err = fmt.Fprintf(conn, "GET /v1/servers?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", from.rev, from.addr)
	if err != nil {
		return failure(err, Unreachable), fmt.Errorf("request: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return failure(err, Unreachable), fmt.Errorf("response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return Rejected, fmt.Errorf("response: status %s", resp.Status)
	}
	err = read(resp.Body, onData)
	return failure(err, WatchEnded), err
}

// follow reads the lists of a watch of a source, in any JSON layout, and calls onData for
// whatever it receives. It reports whether a list was used, and how the watch ended.
func (c *Client) follow(r io.Reader, from source, onData func()) (gotList bool, err error) {
	last, heartbeats := time.Now(), 0 // since the last list, or the answer's head
	confirm := func() {
		if gotList {
			c.updateFreshness(from, (*freshnessTracker).confirmed)
		}
	}
	body := &stream{r: r, onData: onData, onHeartbeat: func() { heartbeats++; confirm() }}
	lists := json.NewDecoder(body)
	for first := true; ; first = false {
		buffered, _ := lists.Buffered().Read(make([]byte, 1)) // of the next list
		body.bytesLeft, body.begun = maxListBytes, buffered > 0
		l, err := nextList(lists)
		if err != nil {
			return gotList, err
		}
		used, err := c.apply(from, l, first, (*freshnessTracker).listReceived)
		if err != nil {
			return gotList, err
		}
		if used { // an older list confirms nothing, and does not undo a confirmation
			gotList = true
			c.pacer.Succeeded()
			log.Printf("event=list rev=%d all=%t entries=%d since_ms=%d signs_of_life=%d", l.Rev, l.Complete, len(l.Targets),
				time.Since(last).Milliseconds(), heartbeats)
			last, heartbeats = time.Now(), 0
		}
	}
}
