package http1

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"oxbowloft/internal/memory"
	"oxbowloft/internal/neterror"
)

// StreamPool bounds the number of messages that are streamed at a time over all
// connections of a process, by the memory that they may use.
type StreamPool struct {
	memory *memory.Budget
	use    memory.Use
}

// Stream is the memory to stream one message.
type Stream struct {
	pool *StreamPool
	buf  []byte // for copying
}

const (
	// StreamBytes is the memory that each stream is charged, and the size of its copy buffer.
	StreamBytes = 4 << 10
	// largeCopyBytes is the size of the copy buffer while there is plenty of memory.
	largeCopyBytes = 16 << 10
	crlf           = "\r\n"
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

// ProgressTimer times the transfer of a message by what its peer makes it wait. What others make it wait
// does not count.
type ProgressTimer struct {
	MinTransferRate
	waited time.Duration // for the peer
	began  time.Time     // of the current step
}

// Begin begins a step of the transfer, which may make it wait for the peer, and returns the deadline of
// the step. transferred is the number of bytes that are done.
func (t *ProgressTimer) Begin(transferred int64) time.Time {
	t.began = time.Now()
	left := t.InitialAllowance + time.Duration(transferred)*time.Second/time.Duration(t.BytesPerSecond) - t.waited
	return t.began.Add(min(left, t.StallTimeout))
}

// End ends a step.
func (t *ProgressTimer) End() { t.waited += time.Since(t.began) }

// NewStreamPool returns a pool of streams whose memory is charged to budget for a use; without a budget
// they are not bounded.
func NewStreamPool(budget *memory.Budget, use memory.Use) *StreamPool {
	return &StreamPool{budget, use}
}

// ErrStreamPoolExhausted is returned if no memory for a stream became free in time.
var ErrStreamPoolExhausted = errors.New("too many concurrent streamed messages")

// Acquire waits up to timeout for the memory of a stream.
func (p *StreamPool) Acquire(timeout time.Duration) (*Stream, error) {
	if !p.memory.Charge(p.use, StreamBytes, timeout) {
		return nil, ErrStreamPoolExhausted
	}
	s := &Stream{pool: p}
	if p.memory.Plenty() {
		s.buf = p.memory.GetBuffer(largeCopyBytes, 0)
	}
	if s.buf == nil {
		s.buf = make([]byte, StreamBytes)
	}
	return s, nil
}

// Release gives the memory back.
func (s *Stream) Release() {
	if len(s.buf) > StreamBytes {
		s.pool.memory.PutBuffer(s.buf)
	}
	s.buf = nil
	s.pool.memory.Release(s.pool.use, StreamBytes)
}

// AcquireTimeout is how long a stream waits for its memory at most.
const AcquireTimeout = time.Second

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
	// AfterWrite, if set, is called after each write.
	AfterWrite func()
	// OnWriteDeadline, if set, is called when a write has reached its deadline. It reports whether
	// the rest is to be written after another call of BeforeWrite.
	OnWriteDeadline func() bool
	// BeforeLastByte, if set, is called immediately before the last byte of the message is
	// written. It is not called for a message that the end of the connection ends.
	BeforeLastByte func()
}

// forwardWriter writes the parts of a message that is forwarded.
type forwardWriter struct {
	dst       *Conn
	opt       *ForwardOptions
	forwarded int64
}

// write writes b. Where a deadline interrupts it and OnWriteDeadline allows that, it goes on.
func (w *forwardWriter) write(b []byte) error {
	for {
		if err := w.opt.BeforeWrite(w.forwarded); err != nil {
			return err
		}
		n, err := w.dst.Write(b)
		w.forwarded += int64(n)
		if w.opt.AfterWrite != nil {
			w.opt.AfterWrite()
		}
		if err == nil {
			return nil
		}
		if !neterror.IsDeadline(err) || w.opt.OnWriteDeadline == nil || !w.opt.OnWriteDeadline() {
			return fmt.Errorf("%w: %w", ErrDestination, err)
		}
		b = b[n:]
	}
}

// Forward writes the remaining body to dst as it arrives. A body of unknown size is sent in
// chunks unless it is delimited by the close. Errors of writing to dst are marked with
// ErrDestination.
func (s *Stream) Forward(dst *Conn, body *RemainingBody, opt ForwardOptions) error {
	buf, chunked := s.buf, body.TotalSize < 0 && !opt.CloseDelimited
	writer := &forwardWriter{dst: dst, opt: &opt}
	write := writer.write
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

// Discard reads the remaining body to its end and drops it.
func (s *Stream) Discard(body *RemainingBody) error {
	for {
		if _, err := body.Read(s.buf); errors.Is(err, io.EOF) {
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

// AppendChunk appends b, framed as one chunk, to pieces. It adds nothing for an empty b, since an empty
// chunk would end the body.
func AppendChunk(pieces [][]byte, b []byte) [][]byte {
	if len(b) == 0 {
		return pieces
	}
	return append(pieces, chunkSizeLine(len(b)), b, []byte(crlf))
}

// chunkSizeLine returns the line before the n bytes of a chunk.
func chunkSizeLine(n int) []byte { return append(strconv.AppendInt(nil, int64(n), 16), crlf...) }

// frameChunk frames the n bytes of buf that follow chunkHeaderRoom as one chunk, in place.
func frameChunk(buf []byte, n int) []byte {
	size := chunkSizeLine(n)
	start := chunkHeaderRoom - len(size)
	copy(buf[start:], size)
	return append(buf[start:chunkHeaderRoom+n], crlf...)
}
