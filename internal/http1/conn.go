// Package http1 reads HTTP/1.1 messages from a connection, for both the client and the
// backend side of a proxy. Bodies of up to MaxBufferedBodyBytes are read whole; of longer
// ones the first part is read and the caller streams the RemainingBody. A Conn has one
// buffer, which grows as a message needs and is compacted in place; http.ReadRequest and
// http.ReadResponse parse from it.
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

// Size limits of a message, in bytes. Reading a larger one fails with ErrHeaderTooLarge or
// ErrBodyTooLarge.
const (
	MaxHeaderBytes       = 16 << 10
	MaxBufferedBodyBytes = 64 << 10 // bodies up to this size are read whole
	MaxStreamedBodyBytes = 32 << 20 // bodies up to this size are streamed

	// maxBufferBytes leaves room for the framing of a chunked body. It bounds the memory
	// held by many large messages that are all nearly complete.
	maxBufferBytes     = MaxHeaderBytes + MaxBufferedBodyBytes + 16<<10
	initialBufferBytes = 2 << 10
	maxIdleBufferBytes = 16 << 10 // a larger buffer is released once its messages are consumed
)

// ExpiredDeadline is a deadline in the past, whatever the clock says. Setting it ends a
// blocked read or write at once.
var ExpiredDeadline = time.Unix(1, 0)

// Errors of a message. Any other error of a read is the connection's own.
var (
	ErrMalformed      = errors.New("malformed message")
	ErrHeaderTooLarge = errors.New("message header too large")
	ErrBodyTooLarge   = errors.New("message body too large")
	ErrInterrupted    = errors.New("body read interrupted")
)

// Conn is a connection with a read buffer. Unless stated otherwise, its methods must be
// called from one goroutine; those of net.Conn may be called from any.
type Conn struct {
	net.Conn
	rawConn        syscall.RawConn
	buf            []byte
	bufStart       int   // start of the unconsumed bytes in buf
	parsePos       int   // end of the bytes that the parser has read
	bufEnd         int   // end of the received bytes
	deferredErr    error // returned by a read together with bytes; reported after them
	emptyLineBytes int   // bytes of empty lines since the last message

	hasReadMessage bool
	readErr        error
	watchDone      chan struct{} // closed when the goroutine of WatchPeer has ended

	// BeforeBodyRead, if set, is called before each read from the connection inside a
	// body, with the number of body bytes received so far. It sets the read deadline.
	BeforeBodyRead func(bodyBytes int64)
	bodyBytes      int64 // received of the current body; negative: no body is being read

	interrupted atomic.Bool
}

// NewConn returns a Conn on nc.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, bodyBytes: -1}
	if sc, ok := nc.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn()
	}
	return c
}

// HasReadMessage reports whether any message has been read from the connection.
func (c *Conn) HasReadMessage() bool { return c.hasReadMessage }

// Buffered returns the number of received bytes that are not consumed yet.
func (c *Conn) Buffered() int { return c.bufEnd - c.bufStart }

// AwaitMessage waits until the buffer holds the first bytes of a message. It skips the
// empty lines that some senders put between messages.
func (c *Conn) AwaitMessage() error {
	for {
		c.skipEmptyLines()
		if c.bufStart < c.bufEnd {
			return nil
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// fill reads once from the connection into the buffer, which grows no further than the
// largest message needs.
func (c *Conn) fill() error {
	if err := cmp.Or(c.readErr, c.deferredErr); err != nil {
		return err
	}
	if c.bufStart == c.bufEnd {
		c.bufStart, c.parsePos, c.bufEnd = 0, 0, 0
	}
	if c.bufEnd == len(c.buf) {
		if c.bufStart > 0 {
			copy(c.buf, c.buf[c.bufStart:c.bufEnd])
			c.parsePos, c.bufEnd, c.bufStart = c.parsePos-c.bufStart, c.bufEnd-c.bufStart, 0
		} else {
			if len(c.buf) > maxBufferBytes {
				return ErrBodyTooLarge
			}
			grown := make([]byte, min(max(initialBufferBytes, 2*len(c.buf)), maxBufferBytes+1))
			copy(grown, c.buf[:c.bufEnd])
			c.buf = grown
		}
	}
	if c.BeforeBodyRead != nil && c.bodyBytes >= 0 {
		c.BeforeBodyRead(c.bodyBytes)
	}
	if c.interrupted.Load() { // after BeforeBodyRead, which may have replaced the deadline set by Interrupt
		return ErrInterrupted
	}
	n, err := c.Conn.Read(c.buf[c.bufEnd:])
	c.bufEnd += n
	if n > 0 {
		// A reset may be returned together with the last bytes, and only this once.
		if err != nil && !neterror.IsDeadline(err) {
			c.deferredErr = err
		}
		return nil
	}
	return err
}

// readHeader waits until the start line and all header fields of a message are in the
// buffer, and validates them.
func (c *Conn) readHeader(isRequest bool) error {
	if err := c.AwaitMessage(); err != nil {
		return err
	}
	for validator := (headerValidator{isRequest: isRequest}); ; {
		if complete, err := validator.validate(c.buf[c.bufStart:c.bufEnd]); complete || err != nil {
			return err
		}
		if err := c.fill(); err != nil {
			return asUnexpectedEOF(err)
		}
	}
}

// asUnexpectedEOF converts the error of a read inside a message, where io.EOF means that
// the message is truncated.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// bufferReader feeds the parser from the buffer, and fills the buffer from the connection.
// Bytes that the parser has read are released at once: a body in many small chunks takes
// far more bytes on the connection than it has content.
type bufferReader struct{ conn *Conn }

func (r bufferReader) Read(p []byte) (int, error) {
	conn := r.conn
	if conn.parsePos == conn.bufEnd {
		conn.bufStart = conn.parsePos
		if conn.readErr = conn.fill(); conn.readErr != nil {
			return 0, conn.readErr
		}
	}
	n := copy(p, conn.buf[conn.parsePos:conn.bufEnd])
	conn.parsePos += n
	return n, nil
}

var bufioReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parsedBody is the body of a message as far as it has been read.
type parsedBody struct {
	data      []byte
	complete  bool
	reader    io.Reader // of the remaining body, if not complete
	totalSize int64     // of the body, in bytes; negative if unknown
	ended     bool      // nothing remains, but data is longer than MaxBufferedBodyBytes
}

// parseMessage runs read on the message at the start of the buffer and consumes it. If the
// body is not complete, the returned RemainingBody continues where read stopped.
func (c *Conn) parseMessage(isRequest bool, read func(*bufio.Reader) (parsedBody, error)) ([]byte, *RemainingBody, error) {
	if err := c.readHeader(isRequest); err != nil {
		return nil, nil, err
	}
	c.parsePos, c.bodyBytes, c.emptyLineBytes = c.bufStart, 0, 0
	br := bufioReaders.Get().(*bufio.Reader)
	br.Reset(bufferReader{c})
	parsed, err := read(br)
	c.hasReadMessage = c.hasReadMessage || err == nil
	if err == nil && !parsed.complete {
		c.bodyBytes = int64(len(parsed.data))
		return parsed.data, &RemainingBody{conn: c, br: br, body: parsed.reader, TotalSize: parsed.totalSize,
			bytesRead: c.bodyBytes, ended: parsed.ended}, nil
	}
	return parsed.data, nil, c.finishMessage(br, err)
}

// finishMessage consumes a message that has been read to its end or failed with err, and
// returns the error to report.
func (c *Conn) finishMessage(br *bufio.Reader, err error) error {
	switch {
	case err == nil:
		// Returns the bytes that the parser has read ahead to the buffer. They are still
		// there, since they all came with the last read: if the message had ended in an
		// earlier one, there would have been no further read.
		c.bufStart = c.parsePos - br.Buffered()
	case c.readErr != nil:
		err = asUnexpectedEOF(c.readErr)
	case !errors.Is(err, ErrBodyTooLarge):
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	br.Reset(nil)
	bufioReaders.Put(br)
	c.bodyBytes = -1
	if c.bufStart == c.bufEnd && len(c.buf) > maxIdleBufferBytes {
		c.buf, c.bufStart, c.parsePos, c.bufEnd = nil, 0, 0, 0
	}
	return err
}

// RemainingBody is the part of a body that follows the first part, still to be read from
// the connection.
type RemainingBody struct {
	TotalSize int64 // of the whole body, in bytes; negative if unknown

	conn        *Conn
	br          *bufio.Reader // nil once the message is consumed
	body        io.Reader
	bytesRead   int64
	readStarted bool
	ended       bool // all bytes have been received
	err         error
}

// ReadStarted reports whether Read has consumed anything of the remaining body.
func (r *RemainingBody) ReadStarted() bool { return r.readStarted }

// Read returns the next bytes of the body as soon as there are any. It returns io.EOF at
// the end of the message, after which the connection can carry another one.
func (r *RemainingBody) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	// Waits for bytes here and not in the parser, which could not continue after an
	// interrupted read.
	var err error
	for c := r.conn; !r.ended && !errors.Is(err, io.EOF) && !c.bodyReady(r.br, r.body); {
		c.bufStart = c.parsePos
		switch err = c.fill(); {
		case c.interrupted.Load() && (err == ErrInterrupted || neterror.IsDeadline(err)):
			return 0, ErrInterrupted
		case err != nil && !errors.Is(err, io.EOF):
			c.readErr = err
			r.err, r.br = c.finishMessage(r.br, err), nil
			return 0, r.err
		}
	}
	r.readStarted = true
	n, err := r.body.Read(p)
	r.bytesRead += int64(n)
	r.conn.bodyBytes = r.bytesRead
	if r.bytesRead > MaxStreamedBodyBytes && err == nil {
		err = ErrBodyTooLarge
	}
	if err == nil {
		return n, nil
	}
	r.err = io.EOF
	if !errors.Is(err, io.EOF) {
		r.err = r.conn.finishMessage(r.br, err)
	} else {
		r.conn.finishMessage(r.br, nil)
	}
	r.br = nil
	return n, r.err
}

// Interrupt makes the current Read, or the next one that would wait, return ErrInterrupted,
// until Resume is called. It may be called from any goroutine.
func (r *RemainingBody) Interrupt() {
	r.conn.interrupted.Store(true)
	r.conn.SetReadDeadline(ExpiredDeadline)
}

// Resume lets Read wait for bytes again and clears the read deadline.
func (r *RemainingBody) Resume() {
	r.conn.interrupted.Store(false)
	r.conn.SetReadDeadline(time.Time{})
}

// ReadRequest reads a request with its body, or with the first part of a long body, whose
// remainder it returns. The error is io.EOF if the connection ended between messages.
func (c *Conn) ReadRequest() (req *http.Request, body []byte, remaining *RemainingBody, err error) {
	body, remaining, err = c.parseMessage(true, func(br *bufio.Reader) (parsedBody, error) {
		if req, err = http.ReadRequest(br); err != nil {
			return parsedBody{}, err
		}
		waitsForContinue := req.Header.Get("Expect") == "100-continue" && c.parsePos == c.bufEnd && br.Buffered() == 0
		if waitsForContinue && req.ContentLength <= MaxStreamedBodyBytes {
			if _, c.readErr = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); c.readErr != nil {
				return parsedBody{}, c.readErr
			}
		}
		return c.readBody(context.Background(), br, c.bodyReader(br, req.Body, req.TransferEncoding), req.ContentLength, time.Time{})
	})
	return req, body, remaining, err
}

// bodyReader returns the reader of a body that net/http has parsed up to its first byte. A body
// in chunks gets one that does not wait for the end of a chunk.
func (c *Conn) bodyReader(br *bufio.Reader, body io.Reader, transferEncoding []string) io.Reader {
	if len(transferEncoding) > 0 {
		return &chunkedReader{conn: c, br: br}
	}
	return body
}

// endsWithin reports whether body is inside a chunk that has at most n more bytes. Such a chunk is
// waited for, like a body of known length: as long as nothing of it is forwarded, its request can
// be sent to another backend.
func endsWithin(body io.Reader, n int) bool {
	chunked, ok := body.(*chunkedReader)
	return ok && chunked.left > 0 && chunked.left <= int64(n)
}

// bodyReady reports whether a read from body does not wait for the connection.
func (c *Conn) bodyReady(br *bufio.Reader, body io.Reader) bool {
	if chunked, ok := body.(*chunkedReader); ok {
		return chunked.ready()
	}
	return br.Buffered() > 0 || c.parsePos < c.bufEnd
}

// maxInterimResponses is how many 1xx responses may precede the final one.
const maxInterimResponses = 16

// firstPartTimeout is how long ReadResponse waits for the end of a body of unknown length.
// A body that takes longer is streamed, so that a response which its backend generates
// incrementally is not held back.
const firstPartTimeout = 100 * time.Millisecond

// ReadResponse reads the final response to a request before deadline, with its body or with
// the first part of a long body, whose remainder it returns. A body with neither a length
// nor chunked encoding is delimited by the close of the connection: an orderly close
// completes it, a reset does not, and an empty one counts as truncated.
//
// To abort the call, cancel ctx first and then set an expired deadline on the connection:
// ReadResponse or its caller may overwrite the deadline, but not the cancellation.
func (c *Conn) ReadResponse(ctx context.Context, deadline time.Time) (resp *http.Response, body []byte, remaining *RemainingBody, err error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, nil, err
	}
	for range maxInterimResponses {
		body, remaining, err = c.parseMessage(false, func(br *bufio.Reader) (parsedBody, error) {
			if resp, err = http.ReadResponse(br, nil); err != nil {
				return parsedBody{}, err
			}
			switch code := resp.StatusCode; {
			case code == http.StatusSwitchingProtocols:
				return parsedBody{}, errors.New("response switches protocols")
			case code < 200 || code == http.StatusNoContent || code == http.StatusNotModified:
				return parsedBody{complete: true}, nil
			}
			if resp.StatusCode != http.StatusOK { // an error response is not streamed before its end
				deadline = time.Time{}
			}
			parsed, err := c.readBody(ctx, br, c.bodyReader(br, resp.Body, resp.TransferEncoding), resp.ContentLength, deadline)
			if err == nil && len(parsed.data) == 0 && IsCloseDelimited(resp) {
				return parsedBody{}, errors.New("response has neither a length nor a body")
			}
			return parsed, err
		})
		if err != nil || resp.StatusCode >= 200 {
			return resp, body, remaining, err
		}
	}
	return nil, nil, nil, malformed("too many interim responses")
}

// IsCloseDelimited reports whether the response has neither a length nor chunked encoding,
// so that its body ends with the connection.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readBody reads the body that r parses from br: whole up to MaxBufferedBodyBytes, else its
// first part. Memory for a body of known length is allocated only once all of it is in the
// buffer, since many senders may announce a length and send little. If a deadline is given,
// a body of unknown length whose end does not arrive within firstPartTimeout yields its
// first part early, unless it has stopped inside a chunk that is read whole; the read deadline is back at deadline on return.
func (c *Conn) readBody(ctx context.Context, br *bufio.Reader, r io.Reader, length int64, deadline time.Time) (parsedBody, error) {
	switch {
	case length > MaxStreamedBodyBytes:
		return parsedBody{}, ErrBodyTooLarge
	case length > MaxBufferedBodyBytes:
		body := make([]byte, min(length, int64(br.Buffered()+c.bufEnd-c.parsePos)))
		_, err := io.ReadFull(r, body)
		return parsedBody{data: body, reader: r, totalSize: length}, err
	case length >= 0:
		message := c.parsePos - br.Buffered() - c.bufStart + int(length)
		for c.bufEnd-c.bufStart < message {
			c.bodyBytes = length - int64(message-(c.bufEnd-c.bufStart))
			if c.readErr = c.fill(); c.readErr != nil {
				return parsedBody{}, c.readErr
			}
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return parsedBody{data: body, complete: true}, err
	}
	body, partDeadline := make([]byte, 0, 512), time.Now().Add(firstPartTimeout)
	for len(body) <= MaxBufferedBodyBytes {
		if !deadline.IsZero() && !c.bodyReady(br, r) && partDeadline.Before(deadline) && !endsWithin(r, MaxBufferedBodyBytes-len(body)) {
			c.bufStart = c.parsePos
			c.SetReadDeadline(partDeadline)
			var err error
			if ctx.Err() == nil {
				err = c.fill()
			}
			c.SetReadDeadline(deadline)
			if ctx.Err() != nil {
				c.readErr = ctx.Err()
				return parsedBody{}, c.readErr
			}
			// If the peer has closed already, there is no first part: a reset has to be
			// found before any of the body is forwarded.
			if neterror.IsDeadline(err) && !time.Now().Before(partDeadline) && len(body) > 0 && !c.PeerClosed() {
				return parsedBody{data: body, reader: r, totalSize: -1}, nil
			}
			// The kernel reports a reset once; the next read would return io.EOF.
			if err != nil && !neterror.IsDeadline(err) && !errors.Is(err, io.EOF) {
				c.readErr = err
				return parsedBody{}, err
			}
			if err == nil {
				continue // what has come may be less than a line
			}
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		c.bodyBytes = int64(len(body))
		switch {
		case errors.Is(err, io.EOF) && len(body) <= MaxBufferedBodyBytes:
			return parsedBody{data: body, complete: true}, nil
		case errors.Is(err, io.EOF):
			return parsedBody{data: body, reader: r, totalSize: -1, ended: true}, nil
		case err != nil:
			return parsedBody{}, err
		}
	}
	return parsedBody{data: body, reader: r, totalSize: -1}, nil
}

// IsIdle reports whether the connection is open and has no unread bytes, as far as can be
// determined without waiting.
func (c *Conn) IsIdle() bool {
	if c.Buffered() > 0 {
		return false
	}
	n, err := c.peek()
	return n == 0 && (err == nil || errors.Is(err, syscall.EAGAIN))
}

// HasUnreadData reports whether bytes have arrived that are not consumed yet, in the buffer or in
// the kernel, as far as can be determined without waiting.
func (c *Conn) HasUnreadData() bool {
	if c.Buffered() > 0 {
		return true
	}
	n, _ := c.peek()
	return n > 0
}

// HasPipelinedData reports whether bytes have arrived after the message that was read, in
// the buffer or in the kernel. Empty lines, which some senders add, do not count.
func (c *Conn) HasPipelinedData() bool {
	for {
		c.skipEmptyLines()
		if c.Buffered() > 0 {
			return true
		}
		if n, err := c.peek(); n == 0 || err != nil {
			return false
		}
		if c.fill() != nil { // there are bytes, but they can't be read
			return true
		}
	}
}

// maxEmptyLineBytes is how many bytes of empty lines may come between messages. Any beyond
// are parsed as a message and so rejected as malformed, which prevents reading empty lines
// without end.
const maxEmptyLineBytes = 1 << 10

// skipEmptyLines consumes the empty lines at the start of the buffered bytes.
func (c *Conn) skipEmptyLines() {
	for c.bufStart < c.bufEnd && c.emptyLineBytes < maxEmptyLineBytes && (c.buf[c.bufStart] == '\r' || c.buf[c.bufStart] == '\n') {
		c.bufStart++
		c.emptyLineBytes++
	}
}

// peek reports whether a byte can be read, without waiting and without consuming it. It
// returns io.EOF if the peer has closed the connection.
func (c *Conn) peek() (n int, err error) {
	if c.rawConn == nil {
		return 0, nil
	}
	controlErr := c.rawConn.Control(func(fd uintptr) {
		var peeked [1]byte
		for {
			n, _, err = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if err != syscall.EINTR {
				return
			}
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(0, n), err
}

// PeerClosed reports whether the peer has closed, half-closed or reset the connection, as
// far as can be determined without waiting. Unlike a read, it detects this also while there
// are unread bytes. If the state can't be determined, the connection counts as open.
// PeerClosed consumes no bytes and may be called from any goroutine.
func (c *Conn) PeerClosed() bool {
	if c.rawConn == nil {
		return false
	}
	closed := false
	controlErr := c.rawConn.Control(func(fd uintptr) {
		pollFds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(pollFds, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(pollFds, 0)
		}
		closed = err == nil && n > 0 && pollFds[0].Revents&unix.POLLNVAL == 0 &&
			pollFds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return controlErr == nil && closed
}

// WatchPeer starts a goroutine that calls onClose if the connection ends or breaks before
// UnwatchPeer, or onData if the peer sends more bytes. The bytes stay in the buffer, and the
// watch ends with them: a later close is not reported. If a watch is active already, it
// continues and the call has no effect.
func (c *Conn) WatchPeer(onClose, onData func()) {
	if c.watchDone != nil || c.Buffered() > maxBufferBytes { // active already, or no room to read into
		return
	}
	c.watchDone = make(chan struct{})
	go func() {
		defer close(c.watchDone)
		for c.Buffered() == 0 {
			if err := c.fill(); err != nil {
				if !neterror.IsDeadline(err) {
					c.readErr = err
					onClose()
				}
				return
			}
			c.skipEmptyLines()
		}
		onData()
	}()
}

// UnwatchPeer ends the watch, if one is active. Neither callback is called after it returns.
func (c *Conn) UnwatchPeer() {
	if c.watchDone == nil {
		return
	}
	c.SetReadDeadline(ExpiredDeadline)
	<-c.watchDone
	c.watchDone = nil
	c.SetReadDeadline(time.Time{})
}
