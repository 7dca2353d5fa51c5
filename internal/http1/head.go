package http1

import (
	"bytes"
	"fmt"
)

// headCheck judges the head of a message line by line as it comes, before a parser
// sees it that forgives, joins or repairs: what two readers could read differently
// is malformed. It is the one place that does so, for both sides of the proxy.
type headCheck struct {
	request bool
	old     bool // HTTP/1.0
	done    int  // bytes of whole lines, judged
	seen    int  // bytes in which no further line ends
	lines   int
	method  int // bytes of the first line's method, judged

	hosts, lengths, codings int
}

// take judges the whole lines of text that are new, and tells whether the head is
// whole. Of a first line that still comes it judges the beginning, so that noise is
// not waited on.
func (h *headCheck) take(text []byte) (whole bool, err error) {
	for {
		i := bytes.IndexByte(text[h.seen:], '\n')
		if i < 0 {
			h.seen = len(text)
			break
		}
		line := text[h.done : h.seen+i]
		h.done = h.seen + i + 1
		h.seen = h.done
		if h.done > MaxHeaderBytes {
			return false, ErrHeaderTooLarge
		}
		end := len(line) - 1
		if end < 0 || line[end] != '\r' {
			return false, malformed("a line that ends without a carriage return")
		}
		line = line[:end]
		switch {
		case h.lines == 0:
			err = h.start(line)
		case len(line) == 0:
			return true, h.end()
		default:
			err = h.field(line)
		}
		if err != nil {
			return false, err
		}
		h.lines++
	}
	if len(text) > MaxHeaderBytes {
		return false, ErrHeaderTooLarge
	}
	if h.lines == 0 {
		return false, h.beginning(text)
	}
	return false, nil
}

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

const answerStart = "HTTP/1."

// beginning judges the part of a first line that has come.
func (h *headCheck) beginning(text []byte) error {
	if !h.request {
		if n := min(len(text), len(answerStart)); string(text[:n]) != answerStart[:n] {
			return malformed("no status line")
		}
		return nil
	}
	for ; h.method < len(text); h.method++ { // each byte once, however small the pieces
		b := text[h.method]
		if b == ' ' && h.method > 0 {
			return nil
		}
		if !tokenByte(b) {
			return malformed("no request line")
		}
	}
	return nil
}

func (h *headCheck) start(line []byte) error {
	if !h.request {
		// HTTP/1.1 200, with or without a reason.
		n := len(answerStart)
		if len(line) < n+5 || string(line[:n]) != answerStart || line[n] != '0' && line[n] != '1' ||
			line[n+1] != ' ' || !digits(line[n+2:n+5]) || len(line) > n+5 && line[n+5] != ' ' || !text(line) {
			return malformed("bad status line")
		}
		h.old = line[n] == '0'
		return nil
	}
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !token(method) || len(target) == 0 {
		return malformed("bad request line")
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f || b == '#' {
			return malformed("bad target")
		}
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.old = true
	default:
		return malformed("bad version")
	}
	return nil
}

func (h *headCheck) field(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !token(name) {
		return malformed("bad header name")
	}
	if !text(value) {
		return malformed("control character in a header")
	}
	value = bytes.Trim(value, " \t")
	switch {
	case is(name, "host"):
		h.hosts++
	case is(name, "content-length"):
		h.lengths++
		if len(value) > 18 || !digits(value) {
			return malformed("bad content length")
		}
	case is(name, "transfer-encoding"):
		h.codings++
		if !is(value, "chunked") {
			return malformed("unknown transfer encoding")
		}
	case IsUnderscoreVariant(string(name), "content-length"), IsUnderscoreVariant(string(name), "transfer-encoding"):
		return malformed("a header that could be read as one of framing")
	}
	return nil
}

func (h *headCheck) end() error {
	switch {
	case h.lengths+h.codings > 1:
		return malformed("more than one length")
	case h.old && h.codings > 0:
		return malformed("transfer encoding before HTTP/1.1")
	case h.request && (h.hosts > 1 || h.hosts == 0 && !h.old):
		return malformed("not one host")
	}
	return nil
}

// IsUnderscoreVariant tells whether a reader that takes _ for - could take name for the
// header like, which it is not.
func IsUnderscoreVariant(name, like string) bool {
	return len(name) == len(like) && bytes.IndexByte([]byte(name), '_') >= 0 &&
		is(bytes.ReplaceAll([]byte(name), []byte("_"), []byte("-")), like)
}

func is(name []byte, other string) bool { return bytes.EqualFold(name, []byte(other)) }

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// text tells whether b holds no control characters but tabs.
func text(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func token(b []byte) bool {
	for _, c := range b {
		if !tokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

func tokenByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
		bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}
