package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"oxbowloft/internal/memory"
	"oxbowloft/internal/neterror"
)

var bufioReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// tinyReaderBytes is the size of the parser's buffer for a body of known length, of which nothing has to
// be parsed.
const tinyReaderBytes = 16

// releaseReader keeps a parser's buffer for reuse; nil: none.
func releaseReader(br *bufio.Reader) {
	if br != nil && br.Size() > tinyReaderBytes {
		br.Reset(nil)
		bufioReaders.Put(br)
	}
}

// parsedBody is the body of a message as far as it has been read.
type parsedBody struct {
	data      []byte
	complete  bool
	reader    io.Reader // of the remaining body, if not complete
	totalSize int64     // of the body, in bytes; negative if unknown
	ended     bool      // nothing remains, but data is longer than MaxBufferedBodyBytes
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

// readHeader waits until the start line and all header fields of a message are in the
// buffer, validates them, and returns their length.
func (c *Conn) readHeader(isRequest bool) (length int, err error) {
	if err := c.AwaitMessage(); err != nil {
		return 0, err
	}
	for validator := (headerValidator{isRequest: isRequest}); ; {
		if complete, err := validator.validate(c.buf[c.bufStart:c.bufEnd]); complete || err != nil {
			return validator.validated, err
		}
		if err := c.fill(); err != nil {
			return 0, asUnexpectedEOF(err)
		}
	}
}

const (
	// parsedBytesPerByte is the memory that a parsed header takes for each byte of its text.
	parsedBytesPerByte = 4
	// usualHeaderBytes is the size up to which a parsed header is charged with its request.
	usualHeaderBytes = 2 << 10
	// parserBytes is the memory that the parser of a body takes beside the body's bytes.
	parserBytes = 4 << 10
)

// takeHeader consumes a header of the given length and returns the text that is to be parsed. It
// keeps the fields of a request.
func (c *Conn) takeHeader(isRequest bool, length int) (selected []byte, err error) {
	text := c.buf[c.bufStart : c.bufStart+length]
	selected = selectFields(text, c.KeepFields)
	if len(selected) > usualHeaderBytes && !c.hold.Charge(int64(parsedBytesPerByte*len(selected)), memoryTimeout) {
		return nil, ErrNoMemory
	}
	if isRequest {
		_, fields := splitHeader(text)
		kept, err := c.holdBuffer(len(fields))
		if err != nil {
			return nil, err
		}
		copy(kept, fields)
		c.fields = kept
	}
	c.parsePos = c.bufStart + length
	return selected, nil
}

// Fields returns the header fields of the last request. They are valid until its memory is released.
func (c *Conn) Fields() Fields { return c.fields }

// messageParser parses the header of a message with parseHeader, and reads its body, or the first part
// of a long one, with readBody.
type messageParser struct {
	isRequest   bool
	parseHeader func(*bufio.Reader) error
	readBody    func(*bufio.Reader) (parsedBody, error)
}

// parseMessage parses the message at the start of the buffer and consumes it. If the body is not
// complete, the returned RemainingBody continues where the parser stopped.
func (c *Conn) parseMessage(parser messageParser) ([]byte, *RemainingBody, error) {
	length, err := c.readHeader(parser.isRequest)
	if err != nil {
		return nil, nil, err
	}
	c.hold.Release()
	c.hold = memory.NewHold(c.Memory)
	c.bodyBytes, c.emptyLineBytes, c.arrival.windowLimited = 0, 0, false
	selected, err := c.takeHeader(parser.isRequest, length)
	if err != nil {
		c.readErr = err
		return nil, nil, c.finishMessage(nil, err)
	}
	br := bufioReaders.Get().(*bufio.Reader)
	br.Reset(bytes.NewReader(selected))
	if err = parser.parseHeader(br); err != nil {
		return nil, nil, c.finishMessage(br, err)
	}
	br.Reset(bufferReader{c})
	parsed, err := parser.readBody(br)
	c.hasReadMessage = c.hasReadMessage || err == nil
	if err == nil && !parsed.complete {
		c.bodyBytes = int64(len(parsed.data))
		if known, ok := parsed.reader.(*knownLengthReader); ok {
			releaseReader(br)
			br = bufio.NewReaderSize(bufferReader{c}, tinyReaderBytes)
			known.source = br
		}
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
	case !errors.Is(err, ErrBodyTooLarge) && !errors.Is(err, ErrNoMemory):
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	releaseReader(br)
	c.bodyBytes, c.messageBytes = -1, 0
	if c.bufStart == c.bufEnd {
		c.dropBuffer()
	}
	return err
}

// ReadRequest reads a request with its body, or with the first part of a long body, whose
// remainder it returns. The error is io.EOF if the connection ended between messages.
func (c *Conn) ReadRequest() (req *http.Request, body []byte, remaining *RemainingBody, err error) {
	body, remaining, err = c.parseMessage(messageParser{
		isRequest: true,
		parseHeader: func(br *bufio.Reader) (err error) {
			req, err = http.ReadRequest(br)
			return err
		},
		readBody: func(br *bufio.Reader) (parsedBody, error) {
			waitsForContinue := req.Header.Get("Expect") == "100-continue" && c.parsePos == c.bufEnd
			if waitsForContinue && req.ContentLength <= MaxStreamedBodyBytes {
				if _, c.readErr = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); c.readErr != nil {
					return parsedBody{}, c.readErr
				}
			}
			return c.readBody(context.Background(), br, c.bodyReader(br, req.Body, req.TransferEncoding, req.ContentLength), req.ContentLength, time.Time{})
		},
	})
	return req, body, remaining, err
}

// bodyReader returns the reader of a body that net/http has parsed up to its first byte. A body
// in chunks gets one that does not wait for the end of a chunk.
func (c *Conn) bodyReader(br *bufio.Reader, body io.Reader, transferEncoding []string, length int64) io.Reader {
	switch {
	case len(transferEncoding) > 0:
		return &chunkedReader{conn: c, br: br}
	case length >= 0:
		return &knownLengthReader{source: br, left: length}
	}
	return body
}

// knownLengthReader reads a body of known length. It returns io.EOF with the last bytes.
type knownLengthReader struct {
	source io.Reader
	left   int64
}

func (r *knownLengthReader) Read(p []byte) (n int, err error) {
	if r.left > 0 {
		n, err = r.source.Read(p[:min(int64(len(p)), r.left)])
		r.left -= int64(n)
	}
	if r.left == 0 {
		return n, io.EOF
	}
	return n, asUnexpectedEOF(err)
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
		body, remaining, err = c.parseMessage(messageParser{
			parseHeader: func(br *bufio.Reader) (err error) {
				resp, err = http.ReadResponse(br, nil)
				return err
			},
			readBody: func(br *bufio.Reader) (parsedBody, error) { return c.readResponseBody(ctx, br, resp, deadline) },
		})
		if err != nil || resp.StatusCode >= 200 {
			return resp, body, remaining, err
		}
	}
	return nil, nil, nil, malformed("too many interim responses")
}

// readResponseBody reads the body of a response, or the first part of a long one.
func (c *Conn) readResponseBody(ctx context.Context, br *bufio.Reader, resp *http.Response, deadline time.Time) (parsedBody, error) {
	switch code := resp.StatusCode; {
	case code == http.StatusSwitchingProtocols:
		return parsedBody{}, errors.New("response switches protocols")
	case code < 200 || code == http.StatusNoContent || code == http.StatusNotModified:
		return parsedBody{complete: true}, nil
	case code != http.StatusOK: // an error response is not streamed before its end
		deadline = time.Time{}
	}
	parsed, err := c.readBody(ctx, br, c.bodyReader(br, resp.Body, resp.TransferEncoding, resp.ContentLength), resp.ContentLength, deadline)
	if err == nil && len(parsed.data) == 0 && IsCloseDelimited(resp) {
		return parsedBody{}, errors.New("response has neither a length nor a body")
	}
	return parsed, err
}

// IsCloseDelimited reports whether the response has neither a length nor chunked encoding,
// so that its body ends with the connection.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readBody reads the body that r parses from br: whole up to MaxBufferedBodyBytes, else its
// first part. If a deadline is given, a body may be streamed: one of unknown length whose end does not
// arrive within firstPartTimeout, unless it has stopped inside a chunk that is read whole, or one that
// finds no memory. The read deadline is back at deadline on return.
func (c *Conn) readBody(ctx context.Context, br *bufio.Reader, r io.Reader, length int64, deadline time.Time) (parsedBody, error) {
	switch {
	case length > MaxStreamedBodyBytes:
		return parsedBody{}, ErrBodyTooLarge
	case length < 0:
		return c.readUnknownLength(ctx, br, r, deadline)
	}
	known := r.(*knownLengthReader)
	if length > MaxBufferedBodyBytes {
		return c.firstPart(known, length)
	}
	return c.readKnownLength(known, int(length), !deadline.IsZero())
}

// firstPart returns what has been received of a body as its first part.
func (c *Conn) firstPart(r *knownLengthReader, totalSize int64) (parsedBody, error) {
	data, err := c.detach(c.parsePos, c.parsePos+int(min(r.left, int64(c.bufEnd-c.parsePos))))
	r.left -= int64(len(data))
	c.messageBytes = 0
	return parsedBody{data: data, reader: r, totalSize: totalSize}, err
}

// readKnownLength reads a body whole. The buffer grows as it arrives, since many senders may announce a
// length and send little.
func (c *Conn) readKnownLength(r *knownLengthReader, length int, mayStream bool) (parsedBody, error) {
	headerBytes := c.parsePos - c.bufStart
	c.messageBytes = headerBytes + length
	for c.bufEnd-c.bufStart < c.messageBytes {
		c.bodyBytes = int64(c.bufEnd - c.bufStart - headerBytes)
		err := c.fill()
		if errors.Is(err, ErrNoMemory) && mayStream {
			return c.firstPart(r, int64(length))
		}
		if c.readErr = err; err != nil {
			return parsedBody{}, err
		}
	}
	if length == 0 {
		return parsedBody{complete: true}, nil
	}
	start := c.bufStart + headerBytes
	body, err := c.detach(start, start+length)
	return parsedBody{data: body, complete: true}, err
}

// initialPartBytes is the size for which memory is first taken for a body of unknown length.
const initialPartBytes = 512

// growPart returns body with room for more, which is charged first. It returns nil if there is no memory.
func (c *Conn) growPart(body []byte) []byte {
	size := 2 * cap(body)
	if size <= initialBufferBytes {
		return append(make([]byte, 0, size), body...)
	}
	grown := c.Memory.GetBuffer(size, memoryTimeout)
	if grown == nil {
		return nil
	}
	grown = append(grown[:0], body...)
	if cap(body) > initialBufferBytes {
		c.Memory.PutBuffer(c.hold.RemoveBuffer())
	}
	c.hold.AddBuffer(grown[:cap(grown)])
	c.recordCharged()
	return grown
}

// fillUntil reads once from the connection with another read deadline than the usual one.
func (c *Conn) fillUntil(ctx context.Context, deadline, usualDeadline time.Time) (err error) {
	c.bufStart = c.parsePos
	c.SetReadDeadline(deadline)
	if ctx.Err() == nil {
		err = c.fill()
	}
	c.SetReadDeadline(usualDeadline)
	return err
}

// readUnknownLength reads a body whole or its first part.
func (c *Conn) readUnknownLength(ctx context.Context, br *bufio.Reader, r io.Reader, deadline time.Time) (parsedBody, error) {
	if !c.hold.Charge(parserBytes, memoryTimeout) {
		return parsedBody{}, ErrNoMemory
	}
	body, partDeadline := make([]byte, 0, initialPartBytes), time.Now().Add(firstPartTimeout)
	for len(body) <= MaxBufferedBodyBytes {
		if !deadline.IsZero() && !c.bodyReady(br, r) && partDeadline.Before(deadline) && !endsWithin(r, MaxBufferedBodyBytes-len(body)) {
			err := c.fillUntil(ctx, partDeadline, deadline)
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
			grown := c.growPart(body)
			if grown == nil && !deadline.IsZero() {
				return parsedBody{data: body, reader: r, totalSize: -1}, nil
			}
			if grown == nil {
				return parsedBody{}, ErrNoMemory
			}
			body = grown
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
