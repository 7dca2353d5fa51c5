// Package schedule is what a fleet's voters agree on: the maintenance windows of
// fleet/window as a machine of fleet/agree. Entries are those of window.Encode;
// answers are read by Parse; queries are lines, as operators write them.
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

// version is the form of answers, in their first byte.
const answerVersion = 1

// Answer is what the machine answers to an entry, the same at all voters.
type Answer struct {
	window.Answer
	OmittedEvents int `cbor:"Left"` // events that did not fit into an answer; the windows have what they told
}

// Machine is an agree.Machine and agree.Querier. It is not safe for concurrent use.
type Machine struct {
	windows *window.Machine
}

// New returns a machine without backends, floors and plans. The error names the
// setting that is wrong.
func New(settings window.Settings) (*Machine, error) {
	windows, err := window.New(settings)
	if err != nil {
		return nil, err
	}
	return &Machine{windows}, nil
}

// Tick is the entry that says that time has passed, as much of it as one entry may
// tell. What is over that is lost: log time may stand still, and never jumps.
func Tick(elapsed time.Duration) []byte {
	entry, err := window.Encode(window.Tick{Elapsed: max(1, min(elapsed, window.DefaultMaxTick))})
	if err != nil {
		return nil // a tick is always encoded
	}
	return entry
}

// Apply implements agree.Machine. A tick that brings nothing about has no answer,
// so that subscribers hear of changes alone.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	a := m.windows.Apply(index, entry)
	if a.Result == window.OK && !a.HasWindow && len(a.Events) == 0 && window.IsTick(entry) {
		return nil
	}
	return encodeBounded(Answer{Answer: a})
}

// encode fits an answer into the bound of agree: it leaves out the backends of the
// windows that events tell of, then the last events, then the backends of its own.
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
			return []byte{answerVersion} // it is bounded; Parse says that it can't be read
		}
	}
}

// trim takes the backends out of the windows of events. It tells whether there were any.
func dropBackends(events []window.Event) (dropped bool) {
	for i := range events {
		ask := &events[i].Window.Request
		dropped = dropped || len(ask.Backends) > 0
		ask.Backends = nil
	}
	return dropped
}

// Parse reads an answer of the machine.
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
		return nil // it can't be: the state holds nothing that has no encoding
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

// Query implements agree.Querier. It answers a line of the door with lines: STATUS,
// LIST, FLOORS, or SHOW and an id. What is not known, or not there, is one line ERR.
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

// bounded joins lines within the bound of an answer. The last line says how many
// are left out, where some are.
func joinBounded(lines []string) []byte {
	const moreLineBytes = 64 // for that line
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
