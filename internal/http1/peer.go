package http1

import (
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oxbowloft/internal/neterror"
)

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
	controlErr := c.rawConn.Control(func(fd uintptr) { n, err = peekDescriptor(fd) })
	if controlErr != nil {
		return 0, controlErr
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(0, n), err
}

// peekDescriptor reads a byte without consuming it and without waiting.
func peekDescriptor(fd uintptr) (n int, err error) {
	var peeked [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
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
	if c.watchDone != nil || c.Buffered() >= maxBufferBytes { // active already, or no room to read into
		return
	}
	c.watchDone = make(chan struct{})
	go func() {
		defer close(c.watchDone)
		for c.Buffered() == 0 {
			err := c.AwaitReadable()
			if err == nil {
				err = c.fill()
			}
			if err != nil {
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

// AwaitReadable waits until a read would not wait, without a buffer. It returns at once if bytes are
// buffered, or if readability can't be determined; its error is that of the deadline, or of a
// connection that was closed here.
func (c *Conn) AwaitReadable() error {
	if c.rawConn == nil || c.Buffered() > 0 || c.deferredErr != nil || c.readErr != nil {
		return nil
	}
	c.dropBuffer()
	return c.rawConn.Read(func(fd uintptr) bool {
		_, err := peekDescriptor(fd)
		return err != syscall.EAGAIN
	})
}

// discardBytes is how many bytes are dropped at a time.
const discardBytes = 64 << 10

// discarded stands for the bytes that are dropped: for a TCP connection, MSG_TRUNC copies nothing.
var discarded [discardBytes]byte

// Discard reads and drops up to limit bytes until the end of the connection or the read deadline. It
// takes no memory.
func (c *Conn) Discard(limit int) {
	if c.rawConn == nil {
		io.CopyN(io.Discard, c.Conn, int64(limit))
		return
	}
	c.rawConn.Read(func(fd uintptr) bool {
		for limit > 0 {
			n, _, err := syscall.Recvfrom(int(fd), discarded[:min(limit, discardBytes)], syscall.MSG_TRUNC|syscall.MSG_DONTWAIT)
			switch {
			case err == syscall.EINTR:
			case err == syscall.EAGAIN:
				return false
			case err != nil || n == 0:
				return true
			default:
				limit -= n
			}
		}
		return true
	})
}
