package http1

import (
	"bytes"
	"fmt"
)

// headerValidator validates the start line and the header fields of a message line by line
// as they arrive, before a more lenient parser reads them. Whatever two implementations
// could interpret differently is malformed, which prevents request smuggling. It is the only
// place that checks this, for both the client and the backend side of the proxy.
type headerValidator struct {
	isRequest   bool
	isHTTP10    bool
	validated   int // bytes of the complete lines, which are validated
	scanned     int // bytes that have been searched for line ends
	lineCount   int
	methodBytes int // validated bytes of the request method

	// Number of fields of each name.
	hostFields, contentLengthFields, transferEncodingFields int
}

// validate checks the lines of text that are new since the last call and reports whether
// the header is complete; text starts with the message and grows from call to call. It
// also checks an incomplete start line, so that bytes that are no HTTP fail at once and not
// after a timeout.
func (h *headerValidator) validate(text []byte) (complete bool, err error) {
	for {
		i := bytes.IndexByte(text[h.scanned:], '\n')
		if i < 0 {
			h.scanned = len(text)
			break
		}
		line := text[h.validated : h.scanned+i]
		h.validated = h.scanned + i + 1
		h.scanned = h.validated
		if h.validated > MaxHeaderBytes {
			return false, ErrHeaderTooLarge
		}
		end := len(line) - 1
		if end < 0 || line[end] != '\r' {
			return false, malformed("header line ends without a carriage return")
		}
		line = line[:end]
		switch {
		case h.lineCount == 0:
			err = h.checkStartLine(line)
		case len(line) == 0:
			return true, h.checkFraming()
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return false, err
		}
		h.lineCount++
	}
	if len(text) > MaxHeaderBytes {
		return false, ErrHeaderTooLarge
	}
	if h.lineCount == 0 {
		return false, h.checkPartialStartLine(text)
	}
	return false, nil
}

func malformed(reason string) error { return fmt.Errorf("%w: %s", ErrMalformed, reason) }

const statusLinePrefix = "HTTP/1."

// checkPartialStartLine checks the beginning of a start line that is not complete yet.
func (h *headerValidator) checkPartialStartLine(text []byte) error {
	if !h.isRequest {
		if n := min(len(text), len(statusLinePrefix)); string(text[:n]) != statusLinePrefix[:n] {
			return malformed("does not start with a status line")
		}
		return nil
	}
	for ; h.methodBytes < len(text); h.methodBytes++ { // each byte is checked once, however small the reads
		b := text[h.methodBytes]
		if b == ' ' && h.methodBytes > 0 {
			return nil
		}
		if !isTokenByte(b) {
			return malformed("does not start with a request line")
		}
	}
	return nil
}

// checkStartLine checks a complete request line or status line.
func (h *headerValidator) checkStartLine(line []byte) error {
	if !h.isRequest {
		// HTTP/1.0 or HTTP/1.1 and a status code, with or without a reason phrase.
		n := len(statusLinePrefix)
		if len(line) < n+5 || string(line[:n]) != statusLinePrefix || line[n] != '0' && line[n] != '1' ||
			line[n+1] != ' ' || !isDigits(line[n+2:n+5]) || len(line) > n+5 && line[n+5] != ' ' || !isFieldText(line) {
			return malformed("invalid status line")
		}
		h.isHTTP10 = line[n] == '0'
		return nil
	}
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(method) || len(target) == 0 {
		return malformed("invalid request line")
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f || b == '#' {
			return malformed("invalid character in the request target")
		}
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.isHTTP10 = true
	default:
		return malformed("HTTP version is neither 1.0 nor 1.1")
	}
	return nil
}

// checkField checks a header field, and counts it if it determines the host or the framing.
func (h *headerValidator) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return malformed("invalid header field name")
	}
	if !isFieldText(value) {
		return malformed("control character in a header field value")
	}
	value = bytes.Trim(value, " \t")
	switch {
	case equalFold(name, "host"):
		h.hostFields++
	case equalFold(name, "content-length"):
		h.contentLengthFields++
		if len(value) > 18 || !isDigits(value) {
			return malformed("invalid Content-Length")
		}
	case equalFold(name, "transfer-encoding"):
		h.transferEncodingFields++
		if !equalFold(value, "chunked") {
			return malformed("Transfer-Encoding is not chunked")
		}
	case IsUnderscoreVariant(string(name), "content-length"), IsUnderscoreVariant(string(name), "transfer-encoding"):
		return malformed("header field name is a variant of Content-Length or Transfer-Encoding with an underscore")
	}
	return nil
}

// checkFraming checks, at the end of the header, that the length of the message and its
// host are unambiguous.
func (h *headerValidator) checkFraming() error {
	switch {
	case h.contentLengthFields+h.transferEncodingFields > 1:
		return malformed("more than one Content-Length or Transfer-Encoding field")
	case h.isHTTP10 && h.transferEncodingFields > 0:
		return malformed("Transfer-Encoding in an HTTP/1.0 message")
	case h.isRequest && (h.hostFields > 1 || h.hostFields == 0 && !h.isHTTP10):
		return malformed("missing or repeated Host field")
	}
	return nil
}

// IsUnderscoreVariant reports whether name differs from the header field name header by
// underscores in place of hyphens. Some implementations treat the two as the same name.
func IsUnderscoreVariant(name, header string) bool {
	return len(name) == len(header) && bytes.IndexByte([]byte(name), '_') >= 0 &&
		equalFold(bytes.ReplaceAll([]byte(name), []byte("_"), []byte("-")), header)
}

func equalFold(name []byte, other string) bool { return bytes.EqualFold(name, []byte(other)) }

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// isFieldText reports whether b contains no control characters other than tabs.
func isFieldText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether b is a token as RFC 9110 defines it.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

func isTokenByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
		bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}
