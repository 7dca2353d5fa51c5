package discovery

import "oxbowloft/internal/neterror"

// Failure says how a call or a watch came to its end.
type Failure int

// The failures. Only a call that is turned away tells that discovery has too much to do:
// by the protocol one that waits too long ends with an answer or a reset, so that one with
// neither has met a machine or a network that is silent.
const (
	Rejected     Failure = iota // answered, but with no list
	Unreachable                 // no connection, or it ended before an answer
	Unresponsive                // no answer, or no sign of life on a watch, in time
	WatchEnded                  // a watch that stood ended, or brought what can't be used
	LocalFailure                // this machine could not make the call, which says nothing of discovery
)

// String is the failure's word in the log.
func (f Failure) String() string {
	return [...]string{"turned_away", "unreached", "silent", "ended", "local"}[f]
}

// dialFailure is how a call failed that got no connection.
func dialFailure(err error) Failure {
	if neterror.Classify(neterror.Dial, err) == neterror.LocalFailure {
		return LocalFailure
	}
	return Unreachable
}

// failure is Silent for what ran out of time here or in the network, and else other.
func failure(err error, other Failure) Failure {
	switch neterror.Classify(neterror.Read, err) {
	case neterror.Deadline, neterror.NetworkFailure:
		return Unresponsive
	}
	return other
}
