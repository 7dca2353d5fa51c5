package discovery

import "oxbowloft/internal/neterror"

// Failure says how a call or a watch came to its end.
type Failure int

// The failures. Only Rejected shows that discovery is overloaded: by the protocol a call that
// waits too long ends with an answer or a reset, so a call that gets neither has met an
// unresponsive machine or network.
const (
	Rejected     Failure = iota // answered, but with no list
	Unreachable                 // no connection, or it ended before an answer
	Unresponsive                // no answer in time, or no heartbeat on a watch
	WatchEnded                  // an established watch ended, or brought something unusable
	LocalFailure                // this machine could not make the call, which says nothing about discovery
)

// String returns the failure's name in the log.
func (f Failure) String() string {
	return [...]string{"turned_away", "unreached", "silent", "ended", "local"}[f]
}

// dialFailure classifies the error of a call that got no connection.
func dialFailure(err error) Failure {
	if neterror.Classify(neterror.Dial, err) == neterror.LocalFailure {
		return LocalFailure
	}
	return Unreachable
}

// failure returns Unresponsive for an error by which time ran out here or in the network, and
// otherwise the failure given.
func failure(err error, otherwise Failure) Failure {
	switch neterror.Classify(neterror.Read, err) {
	case neterror.Deadline, neterror.NetworkFailure:
		return Unresponsive
	}
	return otherwise
}
