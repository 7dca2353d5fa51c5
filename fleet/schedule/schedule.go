// Package schedule runs the maintenance windows of fleet/window as a replicated state
// machine of fleet/agree. Entries are encoded by window.Encode, answers are decoded by
// Parse, and queries are lines of text as operators type them.
package schedule

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowloft/fleet/agree"
	"oxbowloft/fleet/window"
)

// answerVersion is the version of the answer encoding, the first byte of an answer.
const answerVersion = 1

// Answer is the machine's answer to an entry. It is the same on all voters.
type Answer struct {
	window.Answer
	// Number of events that did not fit into the answer; a query for the windows shows their effect.
	OmittedEvents int `cbor:"Left"`
}

// Machine is an agree.Machine and agree.Querier. It is not safe for concurrent use.
type Machine struct {
	windows *window.Machine
}

// New returns a machine without backends, floors and plans, or an error that names the
// invalid setting.
func New(settings window.Settings) (*Machine, error) {
	windows, err := window.New(settings)
	if err != nil {
		return nil, err
	}
	return &Machine{windows}, nil
}

// Tick returns the entry that advances log time by elapsed, limited to
// window.DefaultMaxTick. Time beyond that limit is dropped: log time may stand still,
// but never jumps.
func Tick(elapsed time.Duration) []byte {
	entry, err := window.Encode(window.Tick{Elapsed: max(1, min(elapsed, window.DefaultMaxTick))})
	if err != nil {
		return nil // can't happen: a tick always has an encoding
	}
	return entry
}

// Apply implements agree.Machine. A tick that changes nothing has no answer, so that
// subscribers only hear of changes.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	a := m.windows.Apply(index, entry)
	if a.Result == window.OK && !a.HasWindow && len(a.Events) == 0 && window.IsTick(entry) {
		return nil
	}
	return encodeBounded(Answer{Answer: a})
}

// encodeBounded encodes an answer within the size limit of agree. As far as needed it
// drops the backend lists of the windows in events, then the last events, then the
// backend list of the answer's own window.
func encodeBounded(a Answer) []byte {
	for {
		text, err := cbor.Marshal(a)
		if err == nil && len(text) < agree.MaxEntry {
			return append([]byte{answerVersion}, text...)
		}
		switch n := len(a.Events); {
		case n > 0 && a.OmittedEvents == 0 && dropBackends(a.Events):
		case n > 0:
			a.OmittedEvents += n - n/2
			a.Events = a.Events[:n/2]
		case len(a.Window.Request.Backends) > 0:
			a.Window.Request.Backends = nil
		default:
			// not expected, as the rest has a bounded size; Parse reports it as unreadable
			return []byte{answerVersion}
		}
	}
}

// dropBackends removes the backend lists from the windows of events and reports whether
// there were any.
func dropBackends(events []window.Event) (dropped bool) {
	for i := range events {
		request := &events[i].Window.Request
		dropped = dropped || len(request.Backends) > 0
		request.Backends = nil
	}
	return dropped
}

// Parse decodes an answer of the machine.
func Parse(text []byte) (Answer, error) {
	var a Answer
	if len(text) == 0 || text[0] != answerVersion {
		return a, errors.New("schedule: answer of an unknown version")
	}
	if err := cbor.Unmarshal(text[1:], &a); err != nil {
		return Answer{}, fmt.Errorf("schedule: answer: %w", err)
	}
	return a, nil
}

// Snapshot implements agree.Machine.
func (m *Machine) Snapshot() []byte {
	text, err := m.windows.Snapshot()
	if err != nil {
		return nil // can't happen: every state has an encoding
	}
	return text
}

// Restore implements agree.Machine.
func (m *Machine) Restore(text []byte) error {
	w, err := window.Restore(text)
	if err == nil {
		m.windows = w
	}
	return err
}

// Query implements agree.Querier. It answers a line of the admin endpoint with one or
// more lines: STATUS, LIST, FLOORS, or SHOW and an id. An unknown query or id gets a
// single ERR line.
func (m *Machine) Query(query []byte) []byte {
	words := strings.Fields(string(query))
	var lines []string
	switch {
	case len(words) == 1 && words[0] == "STATUS":
		lines = append(lines, m.windows.Status())
	case len(words) == 1 && words[0] == "LIST":
		for _, w := range m.windows.List() {
			lines = append(lines, w.Describe())
		}
	case len(words) == 1 && words[0] == "FLOORS":
		for _, f := range m.windows.Floors() {
			lines = append(lines, f.Describe())
		}
	case len(words) == 2 && words[0] == "SHOW":
		w, ok := m.windows.Window(words[1])
		if !ok {
			return []byte("ERR no such window\n")
		}
		lines = append(lines, w.Describe())
	default:
		return []byte("ERR not STATUS, LIST, FLOORS or SHOW id\n")
	}
	return joinBounded(lines)
}

// joinBounded joins lines within the size limit of an answer. If lines had to be left
// out, the last line says how many.
func joinBounded(lines []string) []byte {
	const moreLineBytes = 64 // reserved for the line that counts the omitted ones
	var b strings.Builder
	for i, line := range lines {
		if b.Len()+len(line)+moreLineBytes > agree.MaxEntry {
			fmt.Fprintf(&b, "MORE left=%d\n", len(lines)-i)
			break
		}
		b.WriteString(line)
		b.WriteByte('\n')
	}
	return []byte(b.String())
}
