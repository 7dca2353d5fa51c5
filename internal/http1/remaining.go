package http1

import (
	"bufio"
	"errors"
	"io"
	"time"

	"oxbowloft/internal/neterror"
)

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
	if known, ok := r.body.(*knownLengthReader); ok && !r.ended && r.br.Buffered() == 0 && r.conn.parsePos == r.conn.bufEnd {
		return r.readDirectly(known, p)
	}
	// Waits for bytes here and not in the parser, which could not continue after an
	// interrupted read.
	var err error
	for c := r.conn; !r.ended && !errors.Is(err, io.EOF) && !c.bodyReady(r.br, r.body); {
		c.bufStart = c.parsePos
		if err = c.fill(); err != nil && (!errors.Is(err, io.EOF) || r.isInterrupt(err)) {
			return 0, r.fail(err)
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

// isInterrupt reports whether a read ended because of Interrupt.
func (r *RemainingBody) isInterrupt(err error) bool {
	return r.conn.interrupted.Load() && (err == ErrInterrupted || neterror.IsDeadline(err))
}

// fail ends the body with the error of a read, unless that was interrupted, and returns the error to
// report.
func (r *RemainingBody) fail(err error) error {
	if r.isInterrupt(err) {
		return ErrInterrupted
	}
	r.conn.readErr = err
	r.err, r.br = r.conn.finishMessage(r.br, err), nil
	return r.err
}

// readDirectly reads bytes of a body of known length past the buffers, which are empty.
func (r *RemainingBody) readDirectly(body *knownLengthReader, p []byte) (int, error) {
	r.conn.dropBuffer()
	n, err := r.conn.receive(p[:min(int64(len(p)), body.left)])
	if err != nil {
		return 0, r.fail(err)
	}
	body.left -= int64(n)
	r.readStarted = true
	r.bytesRead += int64(n)
	r.conn.bodyBytes = r.bytesRead
	if body.left > 0 {
		return n, nil
	}
	r.conn.finishMessage(r.br, nil)
	r.err, r.br = io.EOF, nil
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

// UnfinishedAt returns the latest time at which the sender had certainly not sent the end of the body,
// as far as is known by now. Conn.TrackArrival has to be called before the message is read.
func (r *RemainingBody) UnfinishedAt() time.Time {
	c := r.conn
	now := time.Now()
	if r.TotalSize >= 0 && r.br != nil && now.Sub(c.arrival.observedAt) >= observeInterval {
		unread := c.unreadBytes()
		received := r.bytesRead + int64(r.br.Buffered()+c.bufEnd-c.parsePos)
		c.arrival.observe(now, r.TotalSize-received-unread, unread)
	}
	return c.arrival.unfinishedAt
}
