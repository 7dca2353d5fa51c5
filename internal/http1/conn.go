// Package http1 reads HTTP/1.1 messages from a connection, for both sides of a
// proxy: whole up to MaxBody, longer ones as a first part and a Rest that is still to
// come. A Conn has one buffer, which grows as a message needs and is compacted in
// place; http.ReadRequest and http.ReadResponse parse from it.
package http1

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oxbowloft/internal/neterror"
)

// Sizes of a message. What is larger ends as ErrHeadTooLarge or ErrBodyTooLarge.
const (
	MaxHeaderBytes       = 16 << 10
	MaxBufferedBodyBytes = 64 << 10 // that is read whole
	MaxStreamedBodyBytes = 32 << 20 // that passes through

	// maxMessage leaves a chunked body room for its framing, and bounds what a
	// crowd of large messages, each nearly whole, can hold in buffers.
	maxMessage = MaxHeaderBytes + MaxBufferedBodyBytes + 16<<10
	firstBuf   = 2 << 10
	keptBuf    = 16 << 10 // a larger buffer is dropped when its messages are done
)

// ExpiredDeadline is a deadline that is over, whatever the clock says: it ends a wait at once.
var ExpiredDeadline = time.Unix(1, 0)

// Errors of a message; what else a read returns is the connection's own error.
var (
	ErrMalformed      = errors.New("malformed message")
	ErrHeaderTooLarge = errors.New("head too large")
	ErrBodyTooLarge   = errors.New("body too large")
	ErrInterrupted    = errors.New("interrupted")
)

// Conn is a connection with its buffer. Its methods are for one goroutine,
// but for those of net.Conn.
type Conn struct {
	net.Conn
	raw   syscall.RawConn
	buf   []byte
	start int   // of what is not used up
	pos   int   // how far the parser has read
	end   int   // of what has come
	late  error // came with bytes, and is told behind them
	empty int   // bytes of empty lines since the last message

	carried bool
	err     error
	watch   chan struct{} // closed when the watch is over

	// BeforeBodyRead, if set, is called before each read of a body with what has come of it, to
	// set the time that the read may take.
	BeforeBodyRead func(body int64)
	body           int64 // below zero: none is under way

	interrupted atomic.Bool
}

// NewConn returns a Conn on nc.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, body: -1}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// HasReadMessage tells whether a message has been read from the connection.
func (c *Conn) HasReadMessage() bool { return c.carried }

// Buffered is the number of bytes that have come and are not used up.
func (c *Conn) Buffered() int { return c.end - c.start }

// AwaitMessage waits until a part of a message is in the buffer. The empty lines that
// some senders put between messages are passed over.
func (c *Conn) AwaitMessage() error {
	for {
		c.skipEmpty()
		if c.start < c.end {
			return nil
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// fill reads once from the connection into the buffer, which holds no more than
// the largest message.
func (c *Conn) fill() error {
	if err := cmp.Or(c.err, c.late); err != nil {
		return err
	}
	if c.start == c.end {
		c.start, c.pos, c.end = 0, 0, 0
	}
	if c.end == len(c.buf) {
		if c.start > 0 {
			copy(c.buf, c.buf[c.start:c.end])
			c.pos, c.end, c.start = c.pos-c.start, c.end-c.start, 0
		} else {
			if len(c.buf) > maxMessage {
				return ErrBodyTooLarge
			}
			grown := make([]byte, min(max(firstBuf, 2*len(c.buf)), maxMessage+1))
			copy(grown, c.buf[:c.end])
			c.buf = grown
		}
	}
	if c.BeforeBodyRead != nil && c.body >= 0 {
		c.BeforeBodyRead(c.body)
	}
	if c.interrupted.Load() { // after Pace, which may have set another time
		return ErrInterrupted
	}
	n, err := c.Conn.Read(c.buf[c.end:])
	c.end += n
	if n > 0 {
		// A reset may come with the last bytes and be told this once.
		if err != nil && !neterror.IsDeadline(err) {
			c.late = err
		}
		return nil
	}
	return err
}

// head waits until the whole head of a message is in the buffer, and judges it.
func (c *Conn) head(request bool) error {
	if err := c.AwaitMessage(); err != nil {
		return err
	}
	for h := (headCheck{request: request}); ; {
		if whole, err := h.take(c.buf[c.start:c.end]); whole || err != nil {
			return err
		}
		if err := c.fill(); err != nil {
			return inside(err)
		}
	}
}

// inside is the error of a read inside a message, where an end is no clean end.
func inside(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// source feeds the parser from the buffer, and the buffer from the connection. What
// the parser has read makes room: a body in many small chunks is far longer than what
// it carries.
type source struct{ c *Conn }

func (s source) Read(p []byte) (int, error) {
	c := s.c
	if c.pos == c.end {
		c.start = c.pos
		if c.err = c.fill(); c.err != nil {
			return 0, c.err
		}
	}
	n := copy(p, c.buf[c.pos:c.end])
	c.pos += n
	return n, nil
}

var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// part is what parse has read of a message: its body so far, and whether that is all.
type part struct {
	body  []byte
	whole bool
	from  io.Reader // the body
	size  int64     // of the body; below zero where nobody says
	over  bool      // all of it is in body, which is too long to be kept whole
}

// parse runs read over the message at the start of the buffer, then uses it up. Where
// more is to come, the rest goes on from there.
func (c *Conn) parse(request bool, read func(*bufio.Reader) (part, error)) ([]byte, *RemainingBody, error) {
	if err := c.head(request); err != nil {
		return nil, nil, err
	}
	c.pos, c.body, c.empty = c.start, 0, 0
	br := readers.Get().(*bufio.Reader)
	br.Reset(source{c})
	p, err := read(br)
	c.carried = c.carried || err == nil
	if err == nil && !p.whole {
		c.body = int64(len(p.body))
		return p.body, &RemainingBody{c: c, br: br, from: p.from, TotalSize: p.size, came: c.body, over: p.over}, nil
	}
	return p.body, nil, c.used(br, err)
}

// used lets go of a message that has been read to its end, or as far as it can be.
func (c *Conn) used(br *bufio.Reader, err error) error {
	switch {
	case err == nil:
		// What the parser has read ahead is given back. All of it came with the last
		// read: had the message's end come before, there would have been no other.
		c.start = c.pos - br.Buffered()
	case c.err != nil:
		err = inside(c.err)
	case !errors.Is(err, ErrBodyTooLarge):
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	br.Reset(nil)
	readers.Put(br)
	c.body = -1
	if c.start == c.end && len(c.buf) > keptBuf {
		c.buf, c.start, c.pos, c.end = nil, 0, 0, 0
	}
	return err
}

// RemainingBody is what is still to come of a message whose first part has been read.
type RemainingBody struct {
	TotalSize int64 // of the whole body; below zero where nobody says

	c     *Conn
	br    *bufio.Reader // nil once the message is over
	from  io.Reader
	came  int64
	begun bool
	over  bool // nothing more comes
	err   error
}

// ReadStarted tells whether anything has been read of the rest.
func (r *RemainingBody) ReadStarted() bool { return r.begun }

// Read reads what comes next, without waiting for more than something. Its error is
// io.EOF at the message's end, after which the connection can carry another.
func (r *RemainingBody) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	// The wait is outside of the parser, which could not go on after an interruption.
	if c := r.c; !r.over && r.br.Buffered() == 0 && c.pos == c.end {
		c.start = c.pos
		switch err := c.fill(); {
		case c.interrupted.Load() && (err == ErrInterrupted || neterror.IsDeadline(err)):
			return 0, ErrInterrupted
		case err != nil && !errors.Is(err, io.EOF):
			c.err = err
			r.err, r.br = c.used(r.br, err), nil
			return 0, r.err
		}
	}
	r.begun = true
	n, err := r.from.Read(p)
	r.came += int64(n)
	r.c.body = r.came
	if r.came > MaxStreamedBodyBytes && err == nil {
		err = ErrBodyTooLarge
	}
	if err == nil {
		return n, nil
	}
	r.err = io.EOF
	if !errors.Is(err, io.EOF) {
		r.err = r.c.used(r.br, err)
	} else {
		r.c.used(r.br, nil)
	}
	r.br = nil
	return n, r.err
}

// Interrupt ends the wait of a Read, now or the next one's, with ErrInterrupted, until
// Resume. It may come from any goroutine.
func (r *RemainingBody) Interrupt() {
	r.c.interrupted.Store(true)
	r.c.SetReadDeadline(ExpiredDeadline)
}

// Resume lets Read wait again.
func (r *RemainingBody) Resume() {
	r.c.interrupted.Store(false)
	r.c.SetReadDeadline(time.Time{})
}

// ReadRequest reads a request and its body, the first part of a long one. The error is
// io.EOF where the connection ended between messages.
func (c *Conn) ReadRequest() (req *http.Request, body []byte, rest *RemainingBody, err error) {
	body, rest, err = c.parse(true, func(br *bufio.Reader) (part, error) {
		if req, err = http.ReadRequest(br); err != nil {
			return part{}, err
		}
		waits := req.Header.Get("Expect") == "100-continue" && c.pos == c.end && br.Buffered() == 0
		if waits && req.ContentLength <= MaxStreamedBodyBytes {
			if _, c.err = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); c.err != nil {
				return part{}, c.err
			}
		}
		return c.readBody(context.Background(), br, req.Body, req.ContentLength, time.Time{})
	})
	return req, body, rest, err
}

// mostInterim is how many 1xx answers may come ahead of the final one.
const mostInterim = 16

// partWait is how long a body without a length may take until it is whole. One that
// takes longer is passed on as it comes: guards against an answer that is held back
// while its backend gives it bit by bit.
const partWait = 100 * time.Millisecond

// ReadResponse reads the final answer to a request and its body, the first part of a
// long one, before deadline. One that says no length lasts as long as its connection: a
// clean end is its end, a reset is not; with nothing in it, it was cut off.
//
// What is to end it early closes ctx first, then sets the connection a deadline that has
// passed: that one may be overwritten here or just before, ctx can't.
func (c *Conn) ReadResponse(ctx context.Context, deadline time.Time) (resp *http.Response, body []byte, rest *RemainingBody, err error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, nil, err
	}
	for range mostInterim {
		body, rest, err = c.parse(false, func(br *bufio.Reader) (part, error) {
			if resp, err = http.ReadResponse(br, nil); err != nil {
				return part{}, err
			}
			switch code := resp.StatusCode; {
			case code == http.StatusSwitchingProtocols:
				return part{}, errors.New("switches to another protocol")
			case code < 200 || code == http.StatusNoContent || code == http.StatusNotModified:
				return part{whole: true}, nil
			}
			if resp.StatusCode != http.StatusOK { // not worth passing on in parts
				deadline = time.Time{}
			}
			p, err := c.readBody(ctx, br, resp.Body, resp.ContentLength, deadline)
			if err == nil && len(p.body) == 0 && IsCloseDelimited(resp) {
				return part{}, errors.New("neither length nor body")
			}
			return p, err
		})
		if err != nil || resp.StatusCode >= 200 {
			return resp, body, rest, err
		}
	}
	return nil, nil, nil, malformed("no final answer")
}

// IsCloseDelimited tells whether an answer says no length, and ends with its connection.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readBody reads the body that r parses from br: whole up to MaxBody, else its first
// part. One of known length gets its memory once all of it is in the buffer: a crowd
// may tell a length and send little. One without a length ends its first part early
// where a deadline is given and it takes long; the deadline is in force on return.
func (c *Conn) readBody(ctx context.Context, br *bufio.Reader, r io.Reader, length int64, deadline time.Time) (part, error) {
	switch {
	case length > MaxStreamedBodyBytes:
		return part{}, ErrBodyTooLarge
	case length > MaxBufferedBodyBytes:
		body := make([]byte, min(length, int64(br.Buffered()+c.end-c.pos)))
		_, err := io.ReadFull(r, body)
		return part{body: body, from: r, size: length}, err
	case length >= 0:
		message := c.pos - br.Buffered() - c.start + int(length)
		for c.end-c.start < message {
			c.body = length - int64(message-(c.end-c.start))
			if c.err = c.fill(); c.err != nil {
				return part{}, c.err
			}
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return part{body: body, whole: true}, err
	}
	body, until := make([]byte, 0, 512), time.Now().Add(partWait)
	for len(body) <= MaxBufferedBodyBytes {
		if !deadline.IsZero() && br.Buffered() == 0 && c.pos == c.end && until.Before(deadline) {
			c.start = c.pos
			c.SetReadDeadline(until)
			var err error
			if ctx.Err() == nil {
				err = c.fill()
			}
			c.SetReadDeadline(deadline)
			if ctx.Err() != nil {
				c.err = ctx.Err()
				return part{}, c.err
			}
			// Where its end is here already, it is no first part: a reset must not be
			// found out only once a part has been passed on.
			if neterror.IsDeadline(err) && !time.Now().Before(until) && len(body) > 0 && !c.PeerClosed() {
				return part{body: body, from: r, size: -1}, nil
			}
			// A reset is told once, and then looks like an end.
			if err != nil && !neterror.IsDeadline(err) && !errors.Is(err, io.EOF) {
				c.err = err
				return part{}, err
			}
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		c.body = int64(len(body))
		switch {
		case errors.Is(err, io.EOF) && len(body) <= MaxBufferedBodyBytes:
			return part{body: body, whole: true}, nil
		case errors.Is(err, io.EOF):
			return part{body: body, from: r, size: -1, over: true}, nil
		case err != nil:
			return part{}, err
		}
	}
	return part{body: body, from: r, size: -1}, nil
}

// IsIdle tells whether an idle connection is still open with nothing to read, as
// far as can be seen without waiting.
func (c *Conn) IsIdle() bool {
	if c.Buffered() > 0 {
		return false
	}
	n, err := c.peek()
	return n == 0 && (err == nil || errors.Is(err, syscall.EAGAIN))
}

// HasPipelinedData tells whether something has come behind the message that was read, but for
// the empty lines that some senders put there, in the buffer or not read yet.
func (c *Conn) HasPipelinedData() bool {
	for {
		c.skipEmpty()
		if c.Buffered() > 0 {
			return true
		}
		if n, err := c.peek(); n == 0 || err != nil {
			return false
		}
		if c.fill() != nil { // what is there can't be read any more
			return true
		}
	}
}

// mostEmpty is how many bytes of empty lines may come between messages. What comes
// beyond counts as a message, and is malformed: guards against reading them without end.
const mostEmpty = 1 << 10

// skipEmpty passes over what has come of empty lines.
func (c *Conn) skipEmpty() {
	for c.start < c.end && c.empty < mostEmpty && (c.buf[c.start] == '\r' || c.buf[c.start] == '\n') {
		c.start++
		c.empty++
	}
}

// peek looks for a byte to read without waiting or taking it. At the peer's end it
// returns io.EOF.
func (c *Conn) peek() (n int, err error) {
	if c.raw == nil {
		return 0, nil
	}
	failed := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		for {
			n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if err != syscall.EINTR {
				return
			}
		}
	})
	if failed != nil {
		return 0, failed
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(0, n), err
}

// PeerClosed tells whether the peer has ended or reset the connection, as far as can be
// seen without waiting, also behind bytes that have not been read: a read tells of an end
// only once all ahead of it is gone. What can't be seen counts as open. It may be called
// from any goroutine, and takes nothing.
func (c *Conn) PeerClosed() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	failed := c.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(p, 0)
		}
		closed = err == nil && n > 0 && p[0].Revents&unix.POLLNVAL == 0 &&
			p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return failed == nil && closed
}

// WatchPeer calls gone from a goroutine of its own if the peer ends the connection
// before Unwatch, or ahead if it sends on. What comes stays in the buffer, and
// nothing is noticed after it. Where a watch stands, it goes on.
func (c *Conn) WatchPeer(gone, ahead func()) {
	if c.watch != nil || c.Buffered() > maxMessage { // no room to read into
		return
	}
	c.watch = make(chan struct{})
	go func() {
		defer close(c.watch)
		for c.Buffered() == 0 {
			if err := c.fill(); err != nil {
				if !neterror.IsDeadline(err) {
					c.err = err
					gone()
				}
				return
			}
			c.skipEmpty()
		}
		ahead()
	}()
}

// UnwatchPeer ends a watch, if there is one. gone is not called after it.
func (c *Conn) UnwatchPeer() {
	if c.watch == nil {
		return
	}
	c.SetReadDeadline(ExpiredDeadline)
	<-c.watch
	c.watch = nil
	c.SetReadDeadline(time.Time{})
}
