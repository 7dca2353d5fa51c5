package http1

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// StreamPool is the bound on messages that pass through at a time, over all connections
// of a process, and the buffers that carry them.
type StreamPool struct {
	free chan []byte
}

const (
	// passBuf carries a transfer. With the buffers of its two connections and its
	// first part it is what a transfer holds.
	passBuf  = 16 << 10
	passHeld = passBuf + 2*keptBuf + firstBuf
	chunkEnd = "\r\n"
	// chunkRoom is left ahead of a chunk for its size.
	chunkRoom = 16
)

// MinTransferRate is how slowly a message may pass.
type MinTransferRate struct {
	InitialAllowance time.Duration // ahead of the rate
	BytesPerSecond   int64         // bytes a second, on the whole
	StallTimeout     time.Duration // without any, however much passed before
}

// Deadline is when the next part must have passed, of a message that began at start and of
// which so much has passed.
func (s MinTransferRate) Deadline(start time.Time, passed int64) time.Time {
	end := start.Add(s.InitialAllowance + time.Duration(passed)*time.Second/time.Duration(s.BytesPerSecond))
	if stall := time.Now().Add(s.StallTimeout); stall.Before(end) {
		return stall
	}
	return end
}

// NewStreamPool returns transfers that hold no more than so much memory, one at least.
func NewStreamPool(memory int64) *StreamPool {
	t := &StreamPool{free: make(chan []byte, max(1, memory/passHeld))}
	for range cap(t.free) {
		t.free <- nil // made when first used
	}
	return t
}

// ErrStreamPoolExhausted is that no transfer could be had in time.
var ErrStreamPoolExhausted = errors.New("too many long messages under way")

// take waits for a buffer.
func (t *StreamPool) take(wait time.Duration) ([]byte, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case b := <-t.free:
		if b == nil {
			b = make([]byte, passBuf)
		}
		return b, nil
	case <-timer.C:
		return nil, ErrStreamPoolExhausted
	}
}

// takeLimit is how long a transfer waits for its buffer.
const takeLimit = time.Second

// ErrDestination marks the errors of the side that a message is passed on to.
var ErrDestination = errors.New("not passed on")

// Forward writes the rest of a message to another connection as it comes, in chunks where
// its size is not known, or as it is with bare, where the connection's end is the
// message's. before is called ahead of each write, to say how long it may take, and may
// end the transfer. An error of the writing side is marked with ErrPassed.
func (t *StreamPool) Forward(to *Conn, r *RemainingBody, bare bool, before func(passed int64) error) error {
	buf, err := t.take(takeLimit)
	if err != nil {
		return err
	}
	defer func() { t.free <- buf }()
	chunked := r.TotalSize < 0 && !bare
	passed := int64(0)
	write := func(b []byte) error {
		if err := before(passed); err != nil {
			return err
		}
		if _, err := to.Write(b); err != nil {
			return fmt.Errorf("%w: %w", ErrDestination, err)
		}
		passed += int64(len(b))
		return nil
	}
	for {
		n, readErr := r.Read(buf[chunkRoom : len(buf)-len(chunkEnd)])
		if n > 0 {
			b := buf[chunkRoom : chunkRoom+n]
			if chunked {
				b = frame(buf, n)
			}
			if err := write(b); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			if chunked {
				return write([]byte("0\r\n\r\n"))
			}
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// Discard reads the rest of a message to its end.
func (r *RemainingBody) Discard(t *StreamPool) error {
	buf, err := t.take(takeLimit)
	if err != nil {
		return err
	}
	defer func() { t.free <- buf }()
	for {
		if _, err := r.Read(buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Abandon lets go of a rest that nobody reads to its end; its connection is of no further
// use.
func (r *RemainingBody) Abandon() {
	if r.br != nil {
		r.c.used(r.br, ErrBodyTooLarge)
		r.br, r.err = nil, io.ErrUnexpectedEOF
	}
}

// EncodeChunk is b as one chunk; nothing for none, which would be the end.
func EncodeChunk(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	buf := make([]byte, chunkRoom+len(b)+len(chunkEnd))
	return frame(buf, copy(buf[chunkRoom:], b))
}

// frame makes the n bytes in buf behind chunkRoom one chunk, in place.
func frame(buf []byte, n int) []byte {
	size := append(strconv.AppendInt(nil, int64(n), 16), chunkEnd...)
	start := chunkRoom - len(size)
	copy(buf[start:], size)
	return append(buf[start:chunkRoom+n], chunkEnd...)
}
