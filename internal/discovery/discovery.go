// Package discovery follows the list of backends: the known list at the start,
// and a watch that is resumed where it broke.
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
	dialLimit = 2 * time.Second
	// lifeEvery is how often, by the protocol, a watch that has nothing to tell shows
	// that it stands.
	lifeEvery = 2 * time.Second
	// silence is how long a call or a watch may say nothing. A sign of life that is late
	// by half is not yet missing, and the other half of TellWithin is left for asking anew.
	silence = lifeEvery * 3 / 2
	maxList = 8 << 20

	// mostBehind is how often in a row a whole list older than ours may begin a watch.
	// Once may be a copy of discovery that lags, whose list would bring back what has
	// been drained; one that stays behind has begun to count anew.
	mostBehind = 3
)

// CallEnd is how a call or a watch came to its end.
type CallEnd struct {
	Reason    Failure
	Rev       int64 // of the newest list by then
	Err       error
	Waited    time.Duration // since the call began
	Freshness Freshness     // for how long the list may be used from then on
}

// Pacer says how long to wait before a call. It is called by Run alone.
type Pacer interface {
	// FirstWait is the wait before the first call.
	FirstWait() time.Duration
	// Succeeded takes that a call has brought a list.
	Succeeded()
	// SourceChanged takes that the list comes from another source, which is called at once.
	SourceChanged()
	// Failed takes that a call failed after it waited for so long, or with 0 that a watch
	// which had told a list has ended, and returns the wait before the next call.
	Failed(waited time.Duration, silent bool) time.Duration
}

// Client watches the list at one address. Its Run is the one place that makes calls: it is
// waiting for the next one to be due, making one, or following a watch, and a wait has no
// timer that outlives it.
type Client struct {
	OnList func(*List)
	// OnEnd is told that a call failed or a watch ended.
	OnEnd func(CallEnd)
	// OnFreshness is told for how long the list may be used: at the start, and whenever that
	// changes. It must not call the client, but for Ask.
	OnFreshness func(Freshness)
	// Dial, if set, is used in place of the net package's. It is set before Run.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// MinCheckInterval is the least time between two checks; 0: there are none. It is set before Run.
	MinCheckInterval time.Duration

	ask      chan struct{}
	doubted  chan struct{} // a check is wanted
	pacer    Pacer
	applying sync.Mutex // held while a list is handed on

	mu     sync.Mutex
	from   source
	behind int // watches in a row that began with an older whole list
	fresh  freshnessTracker
}

// source is where lists come from. Each Move makes another one, also back to an address
// that was one before.
type source struct {
	addr  string
	rev   int64         // of the newest list from there
	moved chan struct{} // closed when lists come from another; it tells sources apart
}

func (s source) same(as source) bool { return s.moved == as.moved }

// New returns a client that has the list of version rev, and makes its calls when pacer
// says so.
func New(addr string, rev int64, pacer Pacer) *Client {
	return &Client{
		pacer:   pacer,
		ask:     make(chan struct{}, 1),
		doubted: make(chan struct{}, 1),
		from:    source{addr: addr, rev: rev, moved: make(chan struct{})},
		fresh:   freshnessTracker{unfollowed: MaxAnnounceDelay, serving: MaxAnnounceDelay},
	}
}

// SetPushed tells, before Run, that lists are pushed: what there is counts as told at once,
// also while no watch is open and from the start, so that the list is fresh for no more
// than slack without one. What has served a call that was sent within grace can still be used
// while the agent cannot be reached.
func (c *Client) SetPushed(slack, grace time.Duration) {
	c.fresh.pushed, c.fresh.unfollowed, c.fresh.serving = true, slack, grace
}

// CallNow makes the call that is due next now; while one is under way, or a watch stands, it
// does nothing.
func (c *Client) CallNow() {
	select {
	case c.ask <- struct{}{}:
	default:
	}
}

// Age is how long ago the list was last known to be whole, by a list or a sign of life of
// discovery, and whether it is stale: it may lack what counts as told.
func (c *Client) Age() (age time.Duration, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return now.Sub(c.fresh.word), !now.Before(c.fresh.now().Until)
}

// SetSource makes addr the source, if it is not yet: the watch of the old one ends, and
// the new one is asked at once, for all that it has, since its revisions need not
// follow on the old one's. It tells whether the source is another.
func (c *Client) SetSource(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.from.addr {
		return false
	}
	close(c.from.moved)
	c.from, c.behind = source{addr: addr, moved: make(chan struct{})}, 0
	c.fresh.moved(time.Now())
	c.OnFreshness(c.fresh.now())
	return true
}

// note keeps the clock of the list by what has happened at a source, and tells of it if
// that moved it. What an old source did says nothing of the new one's list. The lock is
// held meanwhile, so that what is told last is what holds.
func (c *Client) note(at source, happened func(f *freshnessTracker, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.same(c.from) {
		return
	}
	before := c.fresh.now()
	happened(&c.fresh, time.Now())
	if fresh := c.fresh.now(); fresh != before {
		c.OnFreshness(fresh)
	}
}

// freshNow is for how long the list may be used.
func (c *Client) freshNow() Freshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.now()
}

// lost notes how a call or a watch of a source came to its end.
func (c *Client) lost(at source, end CallEnd) {
	if end.Reason == Unresponsive || end.Reason == LocalFailure { // discovery may have told others of changes
		c.note(at, (*freshnessTracker).silent)
		return
	}
	broken := neterror.Classify(neterror.Read, end.Err).Broken()
	if end.Reason == WatchEnded && !broken && !errors.Is(end.Err, errBehind) {
		c.note(at, (*freshnessTracker).watchEnded)
	}
	if neterror.Classify(neterror.Dial, end.Err) == neterror.Refused {
		c.note(at, (*freshnessTracker).refused)
		return
	}
	c.note(at, (*freshnessTracker).callFailed)
}

// current is the source of lists now.
func (c *Client) current() source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from
}

var (
	errMoved  = errors.New("the source has moved")
	errBehind = errors.New("the whole list is older than ours")
)

// take tells whether a list from a source is to be used, and notes it. What an old source
// says late must not come after the new one's, nor an older list after a newer: it would
// bring back what has been drained since. first says that the list begins a watch.
func (c *Client) take(at source, l *List, first bool) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !at.same(c.from):
		return false, errMoved
	case l.Rev >= c.from.rev:
	case !first || !l.Complete:
		log.Printf("event=list_old rev=%d have=%d", l.Rev, c.from.rev)
		return false, nil
	default:
		if c.behind++; c.behind < mostBehind {
			return false, errBehind
		}
	}
	c.from.rev, c.behind = l.Rev, 0
	l.PreviousConfirmedAt = c.fresh.heard
	return true, nil
}

// apply takes a list from a source and hands it on, if it is to be used; told says what that
// means for the clock of the list. Lists of a watch and of a check are handed on in the order
// in which they are taken.
func (c *Client) apply(at source, l *List, first bool, told func(*freshnessTracker, time.Time)) (use bool, err error) {
	c.applying.Lock()
	defer c.applying.Unlock()
	if use, err = c.take(at, l, first); use {
		c.OnList(l)
		c.note(at, told)
	}
	return use, err
}

// Run makes one watch after another, each when its pacer says so or when the source has
// moved, until ctx is over.
func (c *Client) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { c.runChecks(ctx) })
	at := c.current()
	c.note(at, (*freshnessTracker).started)
	wait := c.pacer.FirstWait()
	for c.due(ctx, wait, at) {
		before := at
		if at = c.current(); !at.same(before) {
			c.pacer.SourceChanged()
		}
		wait = c.call(ctx, at)
	}
}

// due waits until a call is due: the wait is over, it is asked for, or the source has
// moved. It tells whether there is to be one.
func (c *Client) due(ctx context.Context, wait time.Duration, at source) bool {
	if wait <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.ask:
	case <-at.moved:
	}
	return ctx.Err() == nil
}

// call makes one call, follows its watch to the end, and returns the wait before the next.
func (c *Client) call(ctx context.Context, at source) time.Duration {
	began := time.Now()
	told, why, err := c.watch(ctx, at)
	if ctx.Err() != nil {
		return 0
	}
	select {
	case <-c.ask: // asked for while it was under way
	default:
	}
	select {
	case <-at.moved: // the new source is called at once, and nothing has failed
		log.Printf("event=watch_moved from=%s", at.addr)
		return 0
	default:
	}
	waited := time.Since(began)
	end := CallEnd{Reason: why, Rev: c.current().rev, Err: err, Waited: waited}
	c.lost(at, end)
	end.Freshness = c.freshNow()
	c.OnEnd(end)
	if told {
		waited = 0
	}
	return c.pacer.Failed(waited, why == Unresponsive || why == LocalFailure)
}

// watch makes a single watch and reads it to its end. It returns whether it has told a list
// that is in use, and how it ended.
func (c *Client) watch(ctx context.Context, at source) (told bool, why Failure, err error) {
	why, err = c.open(ctx, at, func(body io.Reader, alive func()) error {
		told, err = c.follow(body, at, alive)
		return err
	})
	return told, why, err
}

// open makes a call to a source and lets read have its answer, which ends when the source is
// no longer in use. alive is to be called with whatever comes.
func (c *Client) open(ctx context.Context, at source, read func(body io.Reader, alive func()) error) (Failure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-at.moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialing, stop := context.WithTimeout(ctx, dialLimit)
	defer stop()
	nc, err := dial(dialing, "tcp", at.addr)
	if err != nil {
		return dialFailure(err), fmt.Errorf("dial: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	alive := func() { nc.SetDeadline(time.Now().Add(silence)) }
	alive()
	_, err = fmt.Fprintf(nc, "GET /v1/servers?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", at.rev, at.addr)
	if err != nil {
		return failure(err, Unreachable), fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return failure(err, Unreachable), fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return Rejected, fmt.Errorf("answer: %s", resp.Status)
	}
	err = read(resp.Body, alive)
	return failure(err, WatchEnded), err
}

// follow reads the lists of a watch of a source, however they are laid out; alive is called
// with whatever comes. It tells whether there was a list that is in use, and how the watch
// ended.
func (c *Client) follow(r io.Reader, at source, alive func()) (told bool, err error) {
	last, signsOfLife := time.Now(), 0 // since the last list, or the answer's head
	confirm := func() {
		if told {
			c.note(at, (*freshnessTracker).told)
		}
	}
	body := &stream{r: r, alive: alive, idle: func() { signsOfLife++; confirm() }}
	lists := json.NewDecoder(body)
	for first := true; ; first = false {
		begun, _ := lists.Buffered().Read(make([]byte, 1)) // of the next one, read ahead
		body.left, body.begun = maxList, begun > 0
		l, err := next(lists)
		if err != nil {
			return told, err
		}
		use, err := c.apply(at, l, first, (*freshnessTracker).list)
		if err != nil {
			return told, err
		}
		if use { // one that is older says nothing, and takes nothing back
			told = true
			c.pacer.Succeeded()
			log.Printf("event=list rev=%d all=%t entries=%d since_ms=%d signs_of_life=%d", l.Rev, l.Complete, len(l.Targets),
				time.Since(last).Milliseconds(), signsOfLife)
			last, signsOfLife = time.Now(), 0
		}
	}
}
