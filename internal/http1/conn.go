// Package http1 reads HTTP/1.1 messages from a connection, for both the client and the
// backend side of a proxy. Bodies of up to MaxBufferedBodyBytes are read whole; of longer
// ones the first part is read and the caller streams the RemainingBody. A Conn has one
// buffer, which grows as a message needs and is compacted in place. All memory that a
// message takes beyond a small buffer is charged to a memory.Budget before it is allocated.
package http1

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"oxbowloft/internal/memory"
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
	maxBufferBytes = MaxHeaderBytes + MaxBufferedBodyBytes + 16<<10
	// initialBufferBytes is the size of the first buffer, which is charged with the connection.
	initialBufferBytes = 2 << 10
	bufferGrowth       = 4
	// memoryTimeout is how long a message waits for memory.
	memoryTimeout = 100 * time.Millisecond
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
	ErrNoMemory       = errors.New("no memory for the message")
)

// Conn is a connection with a read buffer. Unless stated otherwise, its methods must be
// called from one goroutine; those of net.Conn may be called from any.
type Conn struct {
	net.Conn
	// Memory, if set, is what the memory of messages is charged to.
	Memory *memory.Budget
	// KeepFields, if not nil, are the header fields that the http.Header of a message contains,
	// beside those that determine its framing. A header of very many fields is costly otherwise.
	KeepFields FieldNames

	rawConn        syscall.RawConn
	buf            []byte
	bufCharged     bool         // buf is charged by itself, and not with the connection
	chargedBytes   atomic.Int64 // for buf and hold
	bufStart       int          // start of the unconsumed bytes in buf
	parsePos       int          // end of the bytes that the parser has read
	bufEnd         int          // end of the received bytes
	messageBytes   int          // size of the current message, if it is read whole; 0: unknown
	fields         Fields       // of the last request
	hold           memory.Hold  // memory of the last message
	deferredErr    error        // returned by a read together with bytes; reported after them
	emptyLineBytes int          // bytes of empty lines since the last message

	hasReadMessage bool
	readErr        error
	watchDone      chan struct{} // closed when the goroutine of WatchPeer has ended

	// BeforeBodyRead, if set, is called before each read from the connection inside a
	// body, with the number of body bytes received so far. It sets the read deadline.
	BeforeBodyRead func(bodyBytes int64)
	// AfterBodyRead, if set, is called after each such read.
	AfterBodyRead func()
	// OnReceive, if set, is called whenever bytes have been received.
	OnReceive func()
	bodyBytes int64 // received of the current body; negative: no body is being read

	arrival     arrival
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

// Close closes the connection and releases its memory. No other method may be running, except
// those of net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.ReleaseMemory()
	return err
}

// ReleaseMemory releases the memory of the last message and of what has been received after it,
// which is lost.
func (c *Conn) ReleaseMemory() {
	c.hold.Release()
	c.dropBuffer()
}

// HasReadMessage reports whether any message has been read from the connection.
func (c *Conn) HasReadMessage() bool { return c.hasReadMessage }

// Buffered returns the number of received bytes that are not consumed yet.
func (c *Conn) Buffered() int { return c.bufEnd - c.bufStart }

// ChargedBytes returns the memory that is charged, beside the connection, for what has been received and
// not been handed over. It may be called from any goroutine.
func (c *Conn) ChargedBytes() int64 { return c.chargedBytes.Load() }

// TakeHold hands over the memory of the last message: its body and its Fields are valid until
// it is released.
func (c *Conn) TakeHold() memory.Hold {
	hold := c.hold
	c.hold = memory.NewHold(c.Memory)
	c.recordCharged()
	return hold
}

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
	if c.bufStart == c.bufEnd {
		c.bufStart, c.parsePos, c.bufEnd = 0, 0, 0
	}
	if c.bufEnd == len(c.buf) {
		if c.bufStart > 0 {
			copy(c.buf, c.buf[c.bufStart:c.bufEnd])
			c.parsePos, c.bufEnd, c.bufStart = c.parsePos-c.bufStart, c.bufEnd-c.bufStart, 0
		} else if err := c.growBuffer(); err != nil {
			return err
		}
	}
	n, err := c.receive(c.buf[c.bufEnd:])
	c.bufEnd += n
	return err
}

// receive reads once from the connection into p. It returns either bytes or an error.
func (c *Conn) receive(p []byte) (int, error) {
	if err := cmp.Or(c.readErr, c.deferredErr); err != nil {
		return 0, err
	}
	inBody := c.bodyBytes >= 0
	if c.BeforeBodyRead != nil && inBody {
		c.BeforeBodyRead(c.bodyBytes)
	}
	if c.interrupted.Load() { // after BeforeBodyRead, which may have replaced the deadline set by Interrupt
		return 0, ErrInterrupted
	}
	n, mustWait, err := c.read(p)
	if c.AfterBodyRead != nil && inBody {
		c.AfterBodyRead()
	}
	if n == 0 {
		return 0, err
	}
	if mustWait {
		c.arrival.waited(time.Now())
	}
	if c.OnReceive != nil {
		c.OnReceive()
	}
	// A reset may be returned together with the last bytes, and only this once.
	if err != nil && !neterror.IsDeadline(err) {
		c.deferredErr = err
	}
	return n, nil
}

// read reads once from the connection, and reports whether that had to wait, if that is tracked.
func (c *Conn) read(p []byte) (n int, hadToWait bool, err error) {
	if !c.arrival.tracked || c.rawConn == nil {
		n, err = c.Conn.Read(p)
		return n, false, err
	}
	var readErr error
	err = c.rawConn.Read(func(fd uintptr) bool {
		n, readErr = readDescriptor(fd, p)
		hadToWait = hadToWait || readErr == syscall.EAGAIN
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, hadToWait, err
	case readErr != nil:
		return 0, hadToWait, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, hadToWait, io.EOF
	}
	return n, hadToWait, nil
}

// readDescriptor reads from a descriptor.
func readDescriptor(fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(int(fd), p)
		if err != syscall.EINTR {
			return max(0, n), err
		}
	}
}

// growBuffer replaces the buffer by a larger one, which is charged first.
func (c *Conn) growBuffer() error {
	if len(c.buf) == 0 {
		c.buf = c.Memory.GetPrepaid()
		return nil
	}
	if len(c.buf) >= maxBufferBytes {
		return ErrBodyTooLarge
	}
	size := min(bufferGrowth*len(c.buf), maxBufferBytes)
	if c.messageBytes > len(c.buf) {
		size = min(size, c.messageBytes)
	}
	grown := c.Memory.GetBuffer(size, memoryTimeout)
	if grown == nil {
		return ErrNoMemory
	}
	copy(grown, c.buf[:c.bufEnd])
	c.putBuffer()
	c.buf, c.bufCharged = grown, true
	c.recordCharged()
	return nil
}

// putBuffer gives the buffer back.
func (c *Conn) putBuffer() {
	if c.bufCharged {
		c.Memory.PutBuffer(c.buf)
	} else {
		c.Memory.PutPrepaid(c.buf)
	}
	c.buf, c.bufCharged = nil, false
	c.recordCharged()
}

// recordCharged updates what ChargedBytes returns.
func (c *Conn) recordCharged() {
	bytes := c.hold.Bytes()
	if c.bufCharged {
		bytes += int64(len(c.buf))
	}
	c.chargedBytes.Store(bytes)
}

// dropBuffer gives the buffer back with all that is in it.
func (c *Conn) dropBuffer() {
	c.putBuffer()
	c.bufStart, c.parsePos, c.bufEnd = 0, 0, 0
}

// detach hands over the bytes of the buffer from one position to another, and consumes all bytes up
// to there. The current message holds their memory.
func (c *Conn) detach(from, to int) ([]byte, error) {
	if to == c.bufEnd && c.bufCharged {
		detached := c.buf[from:to]
		c.hold.AddBuffer(c.buf)
		c.buf, c.bufCharged = nil, false
		c.bufStart, c.parsePos, c.bufEnd = 0, 0, 0
		return detached, nil
	}
	copied, err := c.holdBuffer(to - from)
	if err != nil {
		return nil, err
	}
	copy(copied, c.buf[from:to])
	c.parsePos = to
	return copied, nil
}

// holdBuffer returns n bytes that the current message holds. Up to the size of the first buffer they
// are charged with the request.
func (c *Conn) holdBuffer(n int) ([]byte, error) {
	if n <= initialBufferBytes {
		return make([]byte, n), nil
	}
	buf := c.Memory.GetBuffer(n, memoryTimeout)
	if buf == nil {
		return nil, ErrNoMemory
	}
	c.hold.AddBuffer(buf)
	c.recordCharged()
	return buf[:n], nil
}

// asUnexpectedEOF converts the error of a read inside a message, where io.EOF means that
// the message is truncated.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
