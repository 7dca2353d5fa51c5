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
	ComeBack time.Duration // after which to ask again
}

func (e *busyError) Error() string { return fmt.Sprintf("agree: busy, come back in %v", e.ComeBack) }

// goneError is returned for effects that are not kept any more. Read the state,
// then subscribe from the index after the one that it was read at.
type goneError struct {
	Oldest uint64 // index from which on effects are kept
}

func (e *goneError) Error() string {
	return fmt.Sprintf("agree: effects before %d are not kept", e.Oldest)
}

// code is an error on the wire.
type code uint8

const (
	codeOK code = iota
	codeNotLeader
	codeBusy
	codeUnknown
	codeShutdown
	codeSession
	codeStale
	codeCrowded
	codeTooLong
	codeGone
	codeBad  // the frame or its message; Text says how
	codeMore // an effect, others follow
)

var plainErrors = map[code]error{
	codeUnknown: ErrOutcomeUnknown, codeShutdown: ErrShutdown, codeSession: ErrUnknownSession, codeStale: ErrConfirmed,
	codeCrowded: ErrTooManyUnconfirmed, codeTooLong: ErrTooLong,
}

// setError fills in the fields of r that say err.
func (r *reply) setError(err error) {
	var (
		notLeader *notLeaderError
		busy      *busyError
		gone      *goneError
	)
	switch {
	case err == nil:
		r.Code = codeOK
	case errors.As(err, &notLeader):
		r.Code, r.Text = codeNotLeader, notLeader.Leader
	case errors.As(err, &busy):
		r.Code, r.ComeBack = codeBusy, busy.ComeBack.Milliseconds()
	case errors.As(err, &gone):
		r.Code, r.Index = codeGone, gone.Oldest
	default:
		r.Code, r.Text = codeBad, err.Error()
		for c, e := range plainErrors {
			if errors.Is(err, e) {
				r.Code, r.Text = c, ""
			}
		}
	}
}

// err is the error that r says; nil for none.
func (r *reply) err() error {
	switch r.Code {
	case codeOK, codeMore:
		return nil
	case codeNotLeader:
		return &notLeaderError{Leader: r.Text}
	case codeBusy:
		const longest = int64(time.Hour / time.Millisecond)
		return &busyError{ComeBack: time.Duration(min(max(r.ComeBack, 0), longest)) * time.Millisecond}
	case codeGone:
		return &goneError{Oldest: r.Index}
	case codeBad:
		return fmt.Errorf("agree: refused: %.200q", r.Text)
	}
	if err := plainErrors[r.Code]; err != nil {
		return err
	}
	return fmt.Errorf("agree: answer with code %d", r.Code)
}
