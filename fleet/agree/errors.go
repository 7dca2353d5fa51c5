package agree

import (
	"errors"
	"fmt"
	"time"
)

// Size limits, in bytes.
const (
	// MaxEntry is the maximum size of an entry, of a query and of an answer.
	MaxEntry = 96 << 10
)

var (
	// ErrOutcomeUnknown is returned for a proposal that may have been committed
	// or may still be. To learn the outcome, retry it with the same session and
	// sequence number.
	ErrOutcomeUnknown = errors.New("agree: outcome unknown, ask again with the same sequence")
	// ErrShutdown is returned by a voter that is stopping or has stopped. The
	// entry was not proposed.
	ErrShutdown = errors.New("agree: voter shut down")
	// ErrUnknownSession is returned if the session was never opened or has been
	// evicted as the least recently used one. This attempt was not applied; an
	// earlier one may have been.
	ErrUnknownSession = errors.New("agree: session not known")
	// ErrConfirmed is returned for a sequence number whose answer the client has
	// confirmed.
	ErrConfirmed = errors.New("agree: sequence confirmed before")
	// ErrTooManyUnconfirmed is returned if a session has too many unconfirmed
	// answers. The entry was not applied.
	ErrTooManyUnconfirmed = errors.New("agree: too many unconfirmed answers in the session")
	// ErrTooLong is returned for an entry or a query of more than MaxEntry bytes.
	ErrTooLong = fmt.Errorf("agree: longer than %d bytes", MaxEntry)
)

// notLeaderError is returned by a voter that is not the leader. The entry was not proposed.
type notLeaderError struct {
	Leader string // the leader's address for clients; empty if not known
}

func (e *notLeaderError) Error() string {
	if e.Leader == "" {
		return "agree: not the leader, none known"
	}
	return "agree: not the leader, which is at " + e.Leader
}

// busyError is returned when the proposal queue is full. The entry was not proposed.
type busyError struct {
	RetryAfter time.Duration // delay before the next attempt
}

func (e *busyError) Error() string { return fmt.Sprintf("agree: busy, come back in %v", e.RetryAfter) }

// compactedError is returned for effects that have been dropped from the buffer.
// The subscriber has to read the state and subscribe from the index after that of
// the read.
type compactedError struct {
	Oldest uint64 // index from which all effects are available
}

func (e *compactedError) Error() string {
	return fmt.Sprintf("agree: effects before %d are not kept", e.Oldest)
}

// resultCode is a result code on the wire.
type resultCode uint8

const (
	codeOK resultCode = iota
	codeNotLeader
	codeBusy
	codeOutcomeUnknown
	codeShutdown
	codeUnknownSession
	codeConfirmed
	codeTooManyUnconfirmed
	codeTooLong
	codeCompacted
	codeBadRequest // malformed frame or refused request; Text has the reason
	codeEffect     // an effect; the subscription goes on
)

var errorsByCode = map[resultCode]error{
	codeOutcomeUnknown: ErrOutcomeUnknown, codeShutdown: ErrShutdown, codeUnknownSession: ErrUnknownSession, codeConfirmed: ErrConfirmed,
	codeTooManyUnconfirmed: ErrTooManyUnconfirmed, codeTooLong: ErrTooLong,
}

// setError encodes err in the fields of r.
func (r *reply) setError(err error) {
	var (
		notLeader *notLeaderError
		busy      *busyError
		compacted *compactedError
	)
	switch {
	case err == nil:
		r.Code = codeOK
	case errors.As(err, &notLeader):
		r.Code, r.Text = codeNotLeader, notLeader.Leader
	case errors.As(err, &busy):
		r.Code, r.RetryAfter = codeBusy, busy.RetryAfter.Milliseconds()
	case errors.As(err, &compacted):
		r.Code, r.Index = codeCompacted, compacted.Oldest
	default:
		r.Code, r.Text = codeBadRequest, err.Error()
		for c, e := range errorsByCode {
			if errors.Is(err, e) {
				r.Code, r.Text = c, ""
			}
		}
	}
}

// err decodes the error in r; nil if there is none.
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
