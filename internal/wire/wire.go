// Package wire reads and writes the bench's wire: batches of events in, one
// reply of actions a batch out, one JSON value a line. It knows the form of
// the messages and nothing of what they are for.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"oxbowloft/internal/settings"
)

// An Event is one line of a batch. Which fields are set depends on Type; Read
// makes sure that those its type needs are there. Unknown fields are skipped.
type Event struct {
	Type      string   `json:"type"`
	Instance  *int     `json:"i"`
	RequestID *string  `json:"txn"`
	Kind      *string  `json:"kind"`
	Backend   *string  `json:"backend"`
	Attempt   int      `json:"shot"`
	Code      *int     `json:"code"`
	LatencyMs float64  `json:"latency-ms"`
	Terminal  bool     `json:"terminal"`
	BudgetMs  *float64 `json:"budget-ms"`
	StateBits int      `json:"state-bits"`

	TimerToken *uint64          `json:"nonce"`
	PoolID     *int             `json:"ref"`
	Entries    []PoolEntry      `json:"elements"`
	Seed       *uint64          `json:"init-seed"`
	Settings   *settings.Config `json:"setup"`
	TimeMs     *float64         `json:"time-ms"`
	Serial     *int64           `json:"serial"`
}

// RetryBit marks a client's retry in an event's Bits.
const RetryBit = 2

// PoolEntry is one line of a list of backends.
type PoolEntry struct {
	Backend       string   `json:"backend"`
	Zone          string   `json:"dc"`
	Cell          int      `json:"stripe"`
	Health        string   `json:"health"`
	CapacityUnits *float64 `json:"units"`
	ReadyAtMs     float64  `json:"ready-at-ms"`
}

// An Action is one line of a reply.
type Action struct {
	Type         string  `json:"type"`
	Instance     int     `json:"i"`
	RequestID    string  `json:"txn,omitempty"`
	Backend      string  `json:"backend,omitempty"`
	TimeoutMs    float64 `json:"allow-for-ms,omitempty"`
	RetryAfterMs float64 `json:"come-back-ms,omitempty"`
	TimerToken   *uint64 `json:"nonce,omitempty"`
	Attempt      *int    `json:"shot,omitempty"`
	WaitMs       float64 `json:"wait-ms,omitempty"`
	Enable       bool    `json:"enable,omitempty"`
}

// A Batch is what happened at one time.
type Batch struct {
	TimeMs float64 // milliseconds
	Serial int64
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	long []byte
	line int
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16)}
}

// Read returns the next batch, or io.EOF where the input ends between batches.
func (r *Reader) Read() (*Batch, error) {
	head, err := r.event()
	if err != nil {
		return nil, err
	}
	if head.Type != "batch" {
		return nil, fmt.Errorf("line %d: %q outside a batch", r.line, head.Type)
	}
	b := &Batch{TimeMs: *head.TimeMs, Serial: *head.Serial}
	for {
		e, err := r.event()
		switch {
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("line %d: input ends inside a batch", r.line)
		case err != nil:
			return nil, err
		case e.Type == "flush":
			return b, nil
		case e.Type == "batch":
			return nil, fmt.Errorf("line %d: batch inside a batch", r.line)
		}
		b.Events = append(b.Events, e)
	}
}

func (r *Reader) event() (Event, error) {
	var e Event
	text, err := r.next()
	if err != nil {
		return e, err
	}
	if err := json.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("line %d: %w", r.line, err)
	}
	if err := e.check(); err != nil {
		return e, fmt.Errorf("line %d: %w", r.line, err)
	}
	return e, nil
}

// next returns the next line; it is good until the call after.
func (r *Reader) next() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if err == nil && len(r.long) == 0 {
			r.line++
			return part, nil
		}
		r.long = append(r.long, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == nil, errors.Is(err, io.EOF) && len(r.long) > 0:
			r.line++
			return r.long, nil
		default:
			return nil, err
		}
	}
}

// check tells whether the fields that the event's type needs are there.
func (e *Event) check() error {
	type need struct {
		name string
		here bool
	}
	i := need{"i", e.Instance != nil}
	txn := need{"txn", e.RequestID != nil}
	kind := need{"kind", e.Kind != nil}
	code := need{"code", e.Code != nil}
	var needs []need
	switch e.Type {
	case "batch":
		needs = []need{{"time-ms", e.TimeMs != nil}, {"serial", e.Serial != nil}}
	case "flush":
	case "enlist":
		needs = []need{i, {"init-seed", e.Seed != nil}, {"setup", e.Settings != nil}}
	case "pool":
		needs = []need{{"ref", e.PoolID != nil}}
	case "backends-changed":
		needs = []need{i, kind}
	case "job-in":
		needs = []need{i, txn, kind, {"budget-ms", e.BudgetMs != nil}}
	case "resolved":
		needs = []need{i, txn, code}
	case "lapsed", "first":
		needs = []need{i, txn}
	case "elapsed":
		needs = []need{i, {"nonce", e.TimerToken != nil}}
	case "status-back", "retire", "neighbour-says":
		needs = []need{i}
	case "":
		return errors.New("message without a type")
	default:
		return fmt.Errorf("unknown message type %q", e.Type)
	}
	for _, n := range needs {
		if !n.here {
			return fmt.Errorf("%s without %s", e.Type, n.name)
		}
	}
	return nil
}

// Writer writes replies.
type Writer struct {
	out *bufio.Writer
	enc *json.Encoder
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	out := bufio.NewWriterSize(w, 1<<16)
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	return &Writer{out: out, enc: enc}
}

// Write sends the reply to the batch with that serial number.
func (w *Writer) Write(serial int64, actions []Action) error {
	for i := range actions {
		if err := w.enc.Encode(&actions[i]); err != nil {
			return fmt.Errorf("write %s: %w", actions[i].Type, err)
		}
	}
	end := struct {
		Type   string `json:"type"`
		Serial int64  `json:"serial"`
	}{"ok", serial}
	if err := w.enc.Encode(end); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
