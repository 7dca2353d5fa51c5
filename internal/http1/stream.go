package http1

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// StreamPool bounds the number of messages that are streamed at a time over all
// connections of a process, and holds the buffers for copying them.
type StreamPool struct {
	buffers chan []byte
}

const (
	// copyBufferBytes is the size of a stream's copy buffer. Together with the buffers of
	// its two connections and the first part of the body, it is the memory of a stream.
	copyBufferBytes   = 16 << 10
	streamMemoryBytes = copyBufferBytes + 2*maxIdleBufferBytes + initialBufferBytes
	crlf              = "\r\n"
	// chunkHeaderRoom is the number of bytes that are left free before the data of a chunk,
	// for its size line.
	chunkHeaderRoom = 16
)

// MinTransferRate is the slowest allowed progress of a message.
type MinTransferRate struct {
	InitialAllowance time.Duration // granted in addition to the time that the rate allows
	BytesPerSecond   int64         // average over the whole message
	StallTimeout     time.Duration // longest time without progress, however far ahead of the rate
}

// Deadline returns when the next bytes have to be transferred, for a message that began at
// start and of which transferred bytes are done.
func (m MinTransferRate) Deadline(start time.Time, transferred int64) time.Time {
	deadline := start.Add(m.InitialAllowance + time.Duration(transferred)*time.Second/time.Duration(m.BytesPerSecond))
	if stalled := time.Now().Add(m.StallTimeout); stalled.Before(deadline) {
		return stalled
	}
	return deadline
}

// NewStreamPool returns a pool for as many streams as fit into memoryBytes, at least one.
func NewStreamPool(memoryBytes int64) *StreamPool {
	pool := &StreamPool{buffers: make(chan []byte, max(1, memoryBytes/streamMemoryBytes))}
	for range cap(pool.buffers) {
		pool.buffers <- nil // allocated on first use
	}
	return pool
}

// ErrStreamPoolExhausted is returned if no buffer became free in time.
var ErrStreamPoolExhausted = errors.New("too many concurrent streamed messages")

// acquireBuffer waits up to timeout for a free buffer.
func (p *StreamPool) acquireBuffer(timeout time.Duration) ([]byte, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case buf := <-p.buffers:
		if buf == nil {
			buf = make([]byte, copyBufferBytes)
		}
		return buf, nil
	case <-timer.C:
		return nil, ErrStreamPoolExhausted
	}
}

// acquireTimeout is how long a stream waits for its buffer.
const acquireTimeout = time.Second

// ErrDestination marks the errors of the connection that a message is forwarded to.
var ErrDestination = errors.New("write to the destination failed")

// ForwardOptions are the options of Forward.
type ForwardOptions struct {
	// CloseDelimited says that the end of the connection ends a body of unknown size, which
	// is then sent unframed.
	CloseDelimited bool
	// BeforeWrite is called before each write, with the number of bytes forwarded so far. It
	// sets the write deadline, and an error of it aborts the transfer.
	BeforeWrite func(forwarded int64) error
	// BeforeLastByte, if set, is called immediately before the last byte of the message is
	// written. It is not called for a message that the end of the connection ends.
	BeforeLastByte func()
}

// Forward writes the remaining body to dst as it arrives. A body of unknown size is sent in
// chunks unless it is delimited by the close. Errors of writing to dst are marked with
// ErrDestination.
func (p *StreamPool) Forward(dst *Conn, body *RemainingBody, opt ForwardOptions) error {
	buf, err := p.acquireBuffer(acquireTimeout)
	if err != nil {
		return err
	}
	defer func() { p.buffers <- buf }()
	chunked := body.TotalSize < 0 && !opt.CloseDelimited
	forwarded := int64(0)
	write := func(b []byte) error {
		if err := opt.BeforeWrite(forwarded); err != nil {
			return err
		}
		if _, err := dst.Write(b); err != nil {
			return fmt.Errorf("%w: %w", ErrDestination, err)
		}
		forwarded += int64(len(b))
		return nil
	}
	// A write may block for long until the receiver takes its bytes, so that the last byte is
	// written by itself.
	writeEnd := func(b []byte) error {
		if opt.BeforeLastByte == nil {
			return write(b)
		}
		if err := write(b[:len(b)-1]); err != nil {
			return err
		}
		opt.BeforeLastByte()
		return write(b[len(b)-1:])
	}
	for {
		n, readErr := body.Read(buf[chunkHeaderRoom : len(buf)-len(crlf)])
		if n > 0 {
			b := buf[chunkHeaderRoom : chunkHeaderRoom+n]
			writePart := write
			switch {
			case chunked:
				b = frameChunk(buf, n)
			case body.bytesRead == body.TotalSize:
				writePart = writeEnd
			}
			if err := writePart(b); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			if chunked {
				return writeEnd([]byte("0\r\n\r\n"))
			}
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// Discard reads the remaining body to its end, with a buffer of pool, and drops it.
func (r *RemainingBody) Discard(pool *StreamPool) error {
	buf, err := pool.acquireBuffer(acquireTimeout)
	if err != nil {
		return err
	}
	defer func() { pool.buffers <- buf }()
	for {
		if _, err := r.Read(buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Abandon releases a remaining body that is not read to its end. Its connection can't carry
// another message.
func (r *RemainingBody) Abandon() {
	if r.br != nil {
		r.conn.finishMessage(r.br, ErrBodyTooLarge)
		r.br, r.err = nil, io.ErrUnexpectedEOF
	}
}

// EncodeChunk returns b framed as one chunk. It returns nil for an empty b, since an empty
// chunk would end the body.
func EncodeChunk(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	buf := make([]byte, chunkHeaderRoom+len(b)+len(crlf))
	return frameChunk(buf, copy(buf[chunkHeaderRoom:], b))
}

// frameChunk frames the n bytes of buf that follow chunkHeaderRoom as one chunk, in place.
func frameChunk(buf []byte, n int) []byte {
	size := append(strconv.AppendInt(nil, int64(n), 16), crlf...)
	start := chunkHeaderRoom - len(size)
	copy(buf[start:], size)
	return append(buf[start:chunkHeaderRoom+n], crlf...)
}
