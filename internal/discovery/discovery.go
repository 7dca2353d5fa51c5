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
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// List is a whole list, or the entries that changed.
type List struct {
	Rev     int64
	All     bool
	Targets []Target
}

// Target is one entry of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"` // Unix time in milliseconds; 0: long ago
}

// The states of a target.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Parse reads one list and makes sure that it can be used as a whole.
func Parse(line []byte) (*List, error) {
	var l struct {
		Rev     *int64    `json:"rev"`
		All     bool      `json:"all"`
		Targets *[]Target `json:"targets"`
	}
	if err := json.Unmarshal(line, &l); err != nil {
		return nil, err
	}
	if l.Rev == nil || l.Targets == nil {
		return nil, errors.New("no rev or no targets")
	}
	for i, t := range *l.Targets {
		if err := t.check(); err != nil {
			return nil, fmt.Errorf("target %d: %w", i, err)
		}
	}
	return &List{Rev: *l.Rev, All: l.All, Targets: *l.Targets}, nil
}

func (t *Target) check() error {
	if t.UID == "" {
		return errors.New("no uid")
	}
	switch t.State {
	case InService, Terminating:
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil {
			return fmt.Errorf("endpoint: %w", err)
		}
	case Terminated:
	default:
		return fmt.Errorf("unknown state %q", t.State)
	}
	return nil
}

// Failure says how a call or a watch came to its end.
type Failure int

// The failures. Only a call that is turned away tells that discovery has too much to do:
// by the protocol one that waits too long ends with an answer or a reset, so that one with
// neither has met a machine or a network that is silent.
const (
	TurnedAway Failure = iota // answered, but with no list
	Unreached                 // no connection, or it ended before an answer
	Silent                    // no answer, or no sign of life on a watch, in time
	Ended                     // a watch that stood ended, or brought what can't be used
)

// String is the failure's word in the log.
func (f Failure) String() string {
	return [...]string{"turned_away", "unreached", "silent", "ended"}[f]
}

const (
	// TellWithin is how long after discovery had a change and could be reached, by the
	// protocol, the change counts as told, whatever became of watches and calls.
	TellWithin = 6 * time.Second
	// tellMoved is the same after a new configuration has named another address.
	tellMoved = 4 * time.Second

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

	// Between calls that fail, where the client asks by itself: lists are pushed there, and
	// what can be had counts as told at once.
	firstWait   = 250 * time.Millisecond
	longestWait = time.Second
)

// Client watches the list at one address.
type Client struct {
	OnList func(*List)
	// OnFailed is told that a call failed or a watch ended.
	OnFailed func(why Failure)
	// OnFresh is told until when the list holds all that counts as told, and how long after
	// a change is made it counts as told from then on: at the start, and whenever either
	// changes. It must not call the client, but for Ask.
	OnFresh func(until time.Time, lag time.Duration)
	// Dial, if set, is used in place of the net package's. It is set before Run.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	ask    chan struct{}
	always bool
	slack  time.Duration // where lists are pushed: for which one may be used that is not followed

	mu     sync.Mutex
	addr   string
	rev    int64         // of the newest list from addr
	behind int           // watches in a row that began with an older whole list
	moved  chan struct{} // closed when addr is another
	fresh  time.Time     // until then the list holds all that counts as told
	silent bool          // nothing is heard, since a call or watch fell silent or the source moved
}

// New returns a client that has the list of version rev.
func New(addr string, rev int64) *Client {
	return &Client{addr: addr, rev: rev, ask: make(chan struct{}, 1), moved: make(chan struct{})}
}

// Always makes the client ask by itself, at once and after each failure. It is for lists
// that are pushed: what there is counts as told at once, also while no watch is open and
// from the start, so that the list is fresh for no more than slack without one. It is
// called before Run.
func (c *Client) Always(slack time.Duration) {
	c.always, c.slack = true, slack
	c.Ask()
}

// Ask asks for a watch; where there is one, it is not needed and does nothing.
func (c *Client) Ask() {
	select {
	case c.ask <- struct{}{}:
	default:
	}
}

// Move makes addr the source, if it is not yet: the watch of the old one ends, and
// the new one is asked at once, for all that it has, since its revisions need not
// follow on the old one's. It tells whether the source is another.
func (c *Client) Move(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return false
	}
	c.addr, c.rev, c.behind, c.silent = addr, 0, 0, true
	close(c.moved)
	c.moved = make(chan struct{})
	c.freshUntil(earlier(c.fresh, time.Now().Add(tellMoved)))
	return true
}

// freshUntil keeps the one clock of the list, and tells of it. The lock is held, so that
// what is told last is what holds.
func (c *Client) freshUntil(t time.Time) {
	c.fresh = t
	lag := TellWithin
	if c.always || c.silent { // what is made counts at once
		lag = 0
	}
	c.OnFresh(t, lag)
}

// confirm notes that at a time nothing was missing from the list, as addr has shown: it has
// told all that it had, or it could not be reached. Nothing else puts the clock forward: a
// call that is turned away, cut off or left without an answer may have missed a change.
// heard says that addr has told, which ends a silence.
func (c *Client) confirm(addr string, at time.Time, within time.Duration, heard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		return
	}
	if heard {
		c.silent = false
	}
	if until := at.Add(within); until.After(c.fresh) {
		c.freshUntil(until)
	}
}

// lost notes how a call or a watch of addr came to its end at now. Silence is told apart by
// the protocol: also where lists are pushed, what it misses counts as told later.
func (c *Client) lost(addr string, why Failure, err error) {
	now := time.Now()
	within := TellWithin
	if c.always {
		within = c.slack
	}
	c.mu.Lock()
	switch {
	case why == Silent:
		c.silent = true
		c.freshUntil(c.fresh)
	case c.always:
		c.freshUntil(earlier(c.fresh, now.Add(within)))
	}
	c.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) { // nobody is there who could have told
		c.confirm(addr, now, within, false)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// source is where the list comes from now, until moved is closed.
func (c *Client) source() (addr string, rev int64, moved <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.rev, c.moved
}

var (
	errMoved  = errors.New("the source has moved")
	errBehind = errors.New("the whole list is older than ours")
)

// take tells whether a list from addr is to be used, and notes it. What an old source
// says late must not come after the new one's, nor an older list after a newer: it would
// bring back what has been drained since. first says that the list begins a watch.
func (c *Client) take(addr string, l *List, first bool) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case addr != c.addr:
		return false, errMoved
	case l.Rev >= c.rev:
	case !first || !l.All:
		log.Printf("event=list_old rev=%d have=%d", l.Rev, c.rev)
		return false, nil
	default:
		if c.behind++; c.behind < mostBehind {
			return false, errBehind
		}
	}
	c.rev, c.behind = l.Rev, 0
	return true, nil
}

// Run makes one watch after another, each when asked or when the source has
// moved, until ctx is over.
func (c *Client) Run(ctx context.Context) {
	wait := firstWait
	addr, rev, moved := c.source()
	if c.always {
		c.confirm(addr, time.Now(), c.slack, false)
	} else {
		c.confirm(addr, time.Now(), TellWithin, false)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.ask:
		case <-moved:
		}
		addr, rev, moved = c.source()
		why, err := c.watch(ctx, addr, rev, moved)
		if ctx.Err() != nil {
			return
		}
		select {
		case <-moved: // the new source is asked at once, and nothing has failed
			log.Printf("event=watch_moved from=%s", addr)
			wait = firstWait
			continue
		default:
		}
		_, now, _ := c.source()
		log.Printf("event=watch_ended why=%s rev=%d err=%q", why, now, err)
		select {
		case <-c.ask: // asked while the watch stood
		default:
		}
		c.lost(addr, why, err)
		c.OnFailed(why)
		if !c.always {
			continue
		}
		if now != rev {
			wait = firstWait
		}
		time.AfterFunc(time.Duration((0.5+rand.Float64())*float64(wait)), c.Ask)
		wait = min(2*wait, longestWait)
	}
}

// watch makes a single watch and reads it to its end. It returns how it ended.
func (c *Client) watch(ctx context.Context, addr string, rev int64, moved <-chan struct{}) (Failure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-moved:
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
	nc, err := dial(dialing, "tcp", addr)
	if err != nil {
		return Unreached, fmt.Errorf("dial: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(time.Now().Add(silence))
	_, err = fmt.Fprintf(nc, "GET /v1/servers?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", rev, addr)
	if err != nil {
		return failure(err, Unreached), fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return failure(err, Unreached), fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return TurnedAway, fmt.Errorf("answer: %s", resp.Status)
	}
	err = c.follow(resp.Body, addr, func() { nc.SetDeadline(time.Now().Add(silence)) })
	return failure(err, Ended), err
}

// failure is Silent for what ran out of time, and else other.
func failure(err error, other Failure) Failure {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Silent
	}
	return other
}

// follow reads the lists of a watch of addr, however they are laid out; alive is called
// with whatever comes.
func (c *Client) follow(r io.Reader, addr string, alive func()) error {
	current := false // this watch has brought a list that is in use
	confirm := func() {
		if current {
			c.confirm(addr, time.Now(), TellWithin, true)
		}
	}
	body := &stream{r: r, alive: alive, idle: confirm}
	lists := json.NewDecoder(body)
	for first := true; ; first = false {
		var text json.RawMessage
		begun, _ := lists.Buffered().Read(make([]byte, 1)) // of the next one, read ahead
		body.left, body.begun = maxList, begun > 0
		if err := lists.Decode(&text); err != nil {
			return fmt.Errorf("list: %w", err)
		}
		l, err := Parse(text)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		use, err := c.take(addr, l, first)
		if err != nil {
			return err
		}
		if use {
			c.OnList(l)
		}
		if use { // one that is older says nothing, and takes nothing back
			current = true
			confirm()
		}
	}
}

// stream is the body of a watch without its line ends. JSON has none inside of strings and
// needs none between values, and the empty lines of a watch that stands for months would
// pile up in the decoder until the next list.
type stream struct {
	r     io.Reader
	alive func()
	idle  func() // called with a line end alone where no list has begun: a sign of life
	left  int    // bytes that the list may still have
	begun bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	for {
		n, err := s.r.Read(p)
		if n > 0 {
			s.alive()
		}
		kept := p[:0]
		for _, c := range p[:n] {
			if c != '\n' && c != '\r' {
				kept = append(kept, c)
			}
		}
		if s.left -= len(kept); s.left < 0 {
			return 0, fmt.Errorf("over %d bytes", maxList)
		}
		if len(kept) > 0 {
			s.begun = true
		} else if n > 0 && !s.begun {
			s.idle()
		}
		if len(kept) > 0 || err != nil {
			return len(kept), err
		}
	}
}
