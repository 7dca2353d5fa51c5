// Package wire reads and writes the simulator's protocol: it reads batches of events and
// writes one reply with actions per batch, with one JSON value per line. It checks the form
// of the messages only.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"oxbowloft/internal/settings"
)

// Event is one line of a batch. Which fields are set depends on Type; Reader.Read ensures
// that those which the type requires are set. Unknown fields are ignored.
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

// RetryBit is set in an event's StateBits if the request is a client's retry.
const RetryBit = 2

// PoolEntry is one backend of a list.
type PoolEntry struct {
	Backend       string   `json:"backend"`
	Zone          string   `json:"dc"`
	Cell          int      `json:"stripe"`
	Health        string   `json:"health"`
	CapacityUnits *float64 `json:"units"`
	ReadyAtMs     float64  `json:"ready-at-ms"`
}

// Action is one line of a reply.
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

// Batch holds the events that happened at the same time.
type Batch struct {
	TimeMs float64
	Serial int64
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in         *bufio.Reader
	lineBuf    []byte
	lineNumber int
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16)}
}

// Read returns the next batch, or io.EOF if the input ends between batches.
func (r *Reader) Read() (*Batch, error) {
	first, err := r.readEvent()
	if err != nil {
		return nil, err
	}
	if first.Type != "batch" {
		return nil, fmt.Errorf("line %d: %q outside a batch", r.lineNumber, first.Type)
	}
	b := &Batch{TimeMs: *first.TimeMs, Serial: *first.Serial}
	for {
		e, err := r.readEvent()
		switch {
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("line %d: input ends inside a batch", r.lineNumber)
		case err != nil:
			return nil, err
		case e.Type == "flush":
			return b, nil
		case e.Type == "batch":
			return nil, fmt.Errorf("line %d: batch inside a batch", r.lineNumber)
		}
		b.Events = append(b.Events, e)
	}
}

func (r *Reader) readEvent() (Event, error) {
	var e Event
	text, err := r.readLine()
	if err != nil {
		return e, err
	}
	if err := json.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("line %d: %w", r.lineNumber, err)
	}
	if err := e.checkRequired(); err != nil {
		return e, fmt.Errorf("line %d: %w", r.lineNumber, err)
	}
	return e, nil
}

// readLine returns the next line, which is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	r.lineBuf = r.lineBuf[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if err == nil && len(r.lineBuf) == 0 {
			r.lineNumber++
			return part, nil
		}
		r.lineBuf = append(r.lineBuf, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == nil, errors.Is(err, io.EOF) && len(r.lineBuf) > 0:
			r.lineNumber++
			return r.lineBuf, nil
		default:
			return nil, err
		}
	}
}

// checkRequired returns an error if a field is missing that the event's type requires.
func (e *Event) checkRequired() error {
	type field struct {
		name    string
		present bool
	}
	instance := field{"i", e.Instance != nil}
	requestID := field{"txn", e.RequestID != nil}
	kind := field{"kind", e.Kind != nil}
	code := field{"code", e.Code != nil}
	var required []field
	switch e.Type {
	case "batch":
		required = []field{{"time-ms", e.TimeMs != nil}, {"serial", e.Serial != nil}}
	case "flush":
	case "enlist":
		required = []field{instance, {"init-seed", e.Seed != nil}, {"setup", e.Settings != nil}}
	case "pool":
		required = []field{{"ref", e.PoolID != nil}}
	case "backends-changed":
		required = []field{instance, kind}
	case "job-in":
		required = []field{instance, requestID, kind, {"budget-ms", e.BudgetMs != nil}}
	case "resolved":
		required = []field{instance, requestID, code}
	case "lapsed", "first":
		required = []field{instance, requestID}
	case "elapsed":
		required = []field{instance, {"nonce", e.TimerToken != nil}}
	case "status-back", "retire", "neighbour-says":
		required = []field{instance}
	case "":
		return errors.New("message without a type")
	default:
		return fmt.Errorf("unknown message type %q", e.Type)
	}
	for _, f := range required {
		if !f.present {
			return fmt.Errorf("%s without %s", e.Type, f.name)
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

// Write writes the reply to the batch with the given serial number.
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
