package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxChunkOverhead bounds the bytes of a chunked body that are no content, beyond those
	// that chunks of a reasonable size have: chunkOverhead for each, and twice its size.
	maxChunkOverhead = 16 << 10
	chunkOverhead    = 16
	// maxTrailerBytes bounds the trailer of a chunked body.
	maxTrailerBytes = 4 << 10
	// maxChunkSizeDigits is the number of hexadecimal digits that fit into 63 bits.
	maxChunkSizeDigits = 15
)

// chunkedReader reads a chunked body. Unlike that of net/http, its Read returns as soon as there
// are bytes: a sender may pause inside a chunk, and what came before is not held back.
type chunkedReader struct {
	conn     *Conn
	br       *bufio.Reader // of conn
	left     int64         // unread bytes of the chunk
	inChunk  bool          // a chunk has begun, whose end has not been read
	overhead int64         // see maxChunkOverhead
	err      error
}

// Read returns io.EOF after the trailer.
func (r *chunkedReader) Read(p []byte) (n int, err error) {
	for r.err == nil && n < len(p) {
		switch {
		case n > 0 && !r.ready():
			return n, nil
		case r.left == 0:
			r.err = r.nextChunk()
		default:
			part := p[n:min(int64(len(p)), int64(n)+r.left)]
			var read int
			read, r.err = r.br.Read(part)
			n, r.left, r.err = n+read, r.left-int64(read), asUnexpectedEOF(r.err)
		}
	}
	if n > 0 && !errors.Is(r.err, io.EOF) {
		return n, nil // an error is returned by the next call
	}
	return n, r.err
}

// ready reports whether the next step of Read does not wait for the connection.
func (r *chunkedReader) ready() bool {
	switch {
	case r.err != nil:
		return true
	case r.left > 0:
		return r.br.Buffered() > 0 || r.conn.parsePos < r.conn.bufEnd
	}
	text := r.received()
	if len(text) == r.br.Size() { // a line that long is rejected
		return true
	}
	if r.inChunk {
		if !bytes.HasPrefix(text, []byte(crlf)) { // something else is rejected
			return len(text) > 0 && string(text) != crlf[:1]
		}
		text = text[len(crlf):]
	}
	end := bytes.IndexByte(text, '\n')
	if end < 0 {
		return false
	}
	if end == 0 || text[end-1] != '\r' {
		return true
	}
	size, err := parseChunkSize(text[:end-1])
	return err != nil || size > 0 || bytes.Contains(text[end-1:], []byte(crlf+crlf))
}

// received returns the bytes that have been received and not read, as far as br has room.
func (r *chunkedReader) received() []byte {
	for r.conn.parsePos < r.conn.bufEnd && r.br.Buffered() < r.br.Size() {
		if _, err := r.br.Peek(r.br.Buffered() + 1); err != nil {
			break
		}
	}
	text, _ := r.br.Peek(r.br.Buffered())
	return text
}

// nextChunk reads up to the first byte of the next chunk. It returns io.EOF at the end of the
// body.
func (r *chunkedReader) nextChunk() error {
	if r.inChunk {
		if err := r.readChunkEnd(); err != nil {
			return err
		}
		r.inChunk = false
	}
	line, err := r.readLine()
	if err != nil {
		return err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	if size == 0 {
		return r.readTrailer()
	}
	r.overhead = max(0, r.overhead+int64(len(line)+2*len(crlf))-chunkOverhead-2*size)
	if r.overhead > maxChunkOverhead {
		return errors.New("chunked encoding has too much that is no content")
	}
	r.left, r.inChunk = size, true
	return nil
}

// readChunkEnd reads the line end after a chunk. It does not wait for more if something else is
// there.
func (r *chunkedReader) readChunkEnd() error {
	for _, want := range []byte(crlf) {
		switch got, err := r.br.ReadByte(); {
		case err != nil:
			return asUnexpectedEOF(err)
		case got != want:
			return errors.New("chunk is longer than its size")
		}
	}
	return nil
}

// parseChunkSize returns the size in the first line of a chunk, which may have extensions.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte(";"))
	for _, c := range digits {
		if !isHexDigit(c) {
			return 0, fmt.Errorf("bad chunk size %.20q", line)
		}
	}
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, fmt.Errorf("bad chunk size %.20q", line)
	}
	return strconv.ParseInt(string(digits), 16, 64)
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// readTrailer reads and drops the trailer up to the end of the body. It returns io.EOF if it is
// well-formed.
func (r *chunkedReader) readTrailer() error {
	for total := 0; total <= maxTrailerBytes; {
		line, err := r.readLine()
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return io.EOF
		case bytes.IndexByte(line, ':') <= 0 || bytes.ContainsAny(line[:bytes.IndexByte(line, ':')], " \t"):
			return fmt.Errorf("malformed trailer line %.20q", line)
		}
		total += len(line) + len(crlf)
	}
	return errors.New("trailer too long")
}

// readLine returns a line without its end, which must be CR LF. It is valid up to the next read.
func (r *chunkedReader) readLine() ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errors.New("line too long")
	case err != nil:
		return nil, asUnexpectedEOF(err)
	case len(line) < len(crlf) || bytes.IndexByte(line, '\r') != len(line)-len(crlf):
		return nil, errors.New("line does not end with CR LF")
	}
	return line[:len(line)-len(crlf)], nil
}
