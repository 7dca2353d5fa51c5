package http1

import (
	"bytes"
	"iter"
	"strings"
)

// Fields are the header fields of a message as they were received, a line each. The lines have been
// validated.
type Fields []byte

// All iterates over the fields' names and values, in their order.
func (f Fields) All() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for rest := []byte(f); len(rest) > 0; {
			end := bytes.IndexByte(rest, '\n') + 1
			if end == 0 {
				end = len(rest)
			}
			line := rest[:end]
			rest = rest[end:]
			colon := bytes.IndexByte(line, ':')
			if colon >= 0 && !yield(line[:colon], bytes.Trim(line[colon+1:], " \t\r\n")) {
				return
			}
		}
	}
}

// FieldNames is a set of names of header fields.
type FieldNames []string

// Contains reports whether a name is in the set, whatever its case.
func (n FieldNames) Contains(name []byte) bool {
	for _, known := range n {
		if len(known) == len(name) && strings.EqualFold(known, string(name)) {
			return true
		}
	}
	return false
}

// framingFields are the fields that determine where a message ends, what it is sent to, and whether
// its connection stays open.
var framingFields = FieldNames{"Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection", "Expect"}

// splitHeader splits the text of a header into its start line, with the line end, and its fields.
func splitHeader(text []byte) (startLine []byte, fields Fields) {
	end := bytes.Index(text, []byte(crlf)) + len(crlf)
	return text[:end], Fields(text[end:])
}

// selectFields returns the text of a header with just the framing fields and those in keep.
// If keep is nil, it returns the text.
func selectFields(text []byte, keep FieldNames) []byte {
	if keep == nil {
		return text
	}
	startLine, fields := splitHeader(text)
	selected := append(make([]byte, 0, 2*len(startLine)), startLine...)
	for name, value := range fields.All() {
		if !framingFields.Contains(name) && !keep.Contains(name) {
			continue
		}
		selected = append(selected, name...)
		selected = append(selected, ": "...)
		selected = append(selected, value...)
		selected = append(selected, crlf...)
	}
	return append(selected, crlf...)
}
