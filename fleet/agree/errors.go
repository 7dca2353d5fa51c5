package agree

import (
	"errors"
	"fmt"
	"time"
)

// Bounds on what is agreed, in bytes.
const (
	// MaxEntry bounds an entry, a query and an answer each.
	MaxEntry = 96 << 10
)

var (
	// ErrUnknown is returned for an ask that may have been agreed or may yet
	// be. Only the same ask again, with its session and sequence, tells.
	ErrOutcomeUnknown = errors.New("agree: outcome unknown, ask again with the same sequence")
	// ErrShutdown is returned by a voter that is going or gone. The ask was not
	// proposed.
	ErrShutdown = errors.New("agree: voter shut down")
	// ErrSession is returned if the session is not known: it was never opened,
	// or others have been used since by more askers than are remembered. This
	// try was not applied; an earlier one may have been.
	ErrUnknownSession = errors.New("agree: session not known")
	// ErrStale is returned for a sequence whose answer the asker has confirmed.
	ErrConfirmed = errors.New("agree: sequence confirmed before")
	// ErrCrowded is returned if a session has too many unconfirmed answers. The
	// ask was not applied.
	ErrTooManyUnconfirmed = errors.New("agree: too many unconfirmed answers in the session")
	// ErrTooLong is returned for an entry or query of more than MaxEntry bytes.
	ErrTooLong = fmt.Errorf("agree: longer than %d bytes", MaxEntry)
)

// notLeaderError is returned by a voter that doesn't lead. The ask was not proposed.
type notLeaderError struct {
	Leader string // where the leader is to be asked; empty: not known
}

func (e *notLeaderError) Error() string {
	if e.Leader == "" {
		return "agree: not the leader, none known"
	}
	return "agree: not the leader, which is at " + e.Leader
}

// busyError is returned when the inbox is full. The ask was not proposed.
type busyError struct {
	RetryAfter time.Duration // after which to ask again
}

func (e *busyError) Error() string { return fmt.Sprintf("agree: busy, come back in %v", e.RetryAfter) }

// goneError is returned for effects that are not kept any more. Read the state,
// then subscribe from the index after the one that it was read at.
type compactedError struct {
	Oldest uint64 // index from which on effects are kept
}

func (e *compactedError) Error() string {
	return fmt.Sprintf("agree: effects before %d are not kept", e.Oldest)
}

// code is an error on the wire.
type code uint8

const (
	codeOK code = iota
	codeNotLeader
	codeBusy
	codeOutcomeUnknown
	codeShutdown
	codeUnknownSession
	codeConfirmed
	codeTooManyUnconfirmed
	codeTooLong
	codeCompacted
	codeBadRequest // the frame or its message; Text says how
	codeEffect     // an effect, others follow
)

var errorsByCode = map[code]error{
	codeOutcomeUnknown: ErrOutcomeUnknown, codeShutdown: ErrShutdown, codeUnknownSession: ErrUnknownSession, codeConfirmed: ErrConfirmed,
	codeTooManyUnconfirmed: ErrTooManyUnconfirmed, codeTooLong: ErrTooLong,
}

// setError fills in the fields of r that say err.
func (r *reply) setError(err error) {
	var (
		notLeader *notLeaderError
		busy      *busyError
		gone      *compactedError
	)
	switch {
	case err == nil:
		r.Code = codeOK
	case errors.As(err, &notLeader):
		r.Code, r.Text = codeNotLeader, notLeader.Leader
	case errors.As(err, &busy):
		r.Code, r.RetryAfter = codeBusy, busy.RetryAfter.Milliseconds()
	case errors.As(err, &gone):
		r.Code, r.Index = codeCompacted, gone.Oldest
	default:
		r.Code, r.Text = codeBadRequest, err.Error()
		for c, e := range errorsByCode {
			if errors.Is(err, e) {
				r.Code, r.Text = c, ""
			}
		}
	}
}

// err is the error that r says; nil for none.
func (r *reply) err() error {
	switch r.Code {
	case codeOK, codeEffect:
		return nil
	case codeNotLeader:
		return &notLeaderError{Leader: r.Text}
	case codeBusy:
		const longest = int64(time.Hour / time.Millisecond)
		return &busyError{RetryAfter: time.Duration(min(max(r.RetryAfter, 0), longest)) * time.Millisecond}
	case codeCompacted:
		return &compactedError{Oldest: r.Index}
	case codeBadRequest:
		return fmt.Errorf("agree: refused: %.200q", r.Text)
	}
	if err := errorsByCode[r.Code]; err != nil {
		return err
	}
	return fmt.Errorf("agree: answer with code %d", r.Code)
}
