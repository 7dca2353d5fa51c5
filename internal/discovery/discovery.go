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

const (
	dialLimit = 2 * time.Second
	// silence is how long a watch may say nothing. A sign of life comes every
	// 2 s; one that is late is not yet a dead connection.
	silence = 5 * time.Second
	maxLine = 8 << 20

	// Between calls that fail, where the client asks by itself.
	firstWait   = 250 * time.Millisecond
	longestWait = 4 * time.Second
)

// Client watches the list at one address.
type Client struct {
	OnList   func(*List)
	OnFailed func() // a call failed, or a watch ended

	addr   string
	rev    int64 // of the newest list so far
	ask    chan struct{}
	always bool
}

// New returns a client that has the list of version rev.
func New(addr string, rev int64) *Client {
	return &Client{addr: addr, rev: rev, ask: make(chan struct{}, 1)}
}

// Always makes the client ask by itself, at once and after each failure. It is
// called before Run.
func (c *Client) Always() {
	c.always = true
	c.Ask()
}

// Ask asks for a watch; where there is one, it is not needed and does nothing.
func (c *Client) Ask() {
	select {
	case c.ask <- struct{}{}:
	default:
	}
}

// Run makes one watch after another, each when asked, until ctx is over.
func (c *Client) Run(ctx context.Context) {
	wait := firstWait
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.ask:
		}
		before := c.rev
		err := c.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		log.Printf("event=watch_ended rev=%d err=%q", c.rev, err)
		select {
		case <-c.ask: // asked while the watch stood
		default:
		}
		c.OnFailed()
		if !c.always {
			continue
		}
		if c.rev != before {
			wait = firstWait
		}
		time.AfterFunc(time.Duration((0.5+rand.Float64())*float64(wait)), c.Ask)
		wait = min(2*wait, longestWait)
	}
}

// watch makes a single watch and reads it to its end.
func (c *Client) watch(ctx context.Context) error {
	d := net.Dialer{Timeout: dialLimit}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(time.Now().Add(silence))
	_, err = fmt.Fprintf(nc, "GET /v1/servers?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", c.rev, c.addr)
	if err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answer: %s", resp.Status)
	}
	return c.follow(resp.Body, func() { nc.SetDeadline(time.Now().Add(silence)) })
}

// follow reads the lines of a watch; alive is called with each.
func (c *Client) follow(r io.Reader, alive func()) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	for lines.Scan() {
		alive()
		if len(lines.Bytes()) == 0 {
			continue
		}
		l, err := Parse(lines.Bytes())
		if err != nil {
			return fmt.Errorf("line: %w", err)
		}
		c.rev = l.Rev
		c.OnList(l)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return io.EOF
}
