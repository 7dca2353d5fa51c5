package member

import (
	"cmp"
	"time"
)

// clockTime is a point on the caller's monotonic clock. Only differences matter.
type clockTime = time.Duration

// maxIncarnation bounds what is believed: one that is forged or damaged must not
// bring a name near the end of its numbers.
const maxIncarnation = 1 << 48

// Member is one name of the fleet in one of its lives.
type Member struct {
	Name string
	// Incarnation orders the lives of a name. It counts from 1; 0 is a process that
	// has started and has not yet asked which incarnations there were before it.
	Incarnation uint64
	RunID       uint64 // random, drawn at the start of the process
	Zone        string
	Addr        string // host:port where the others reach it
	Version     uint8  // of the messages that it understands
}

// lifeState is what is known of a life.
type memberState uint8

// The states of a life, each stronger than the one before: of the same incarnation and
// life the stronger is kept, in whichever order they are heard.
const (
	// stateHeard is departed by the word of another member alone. It is weaker than stateAlive: a
	// member that was cut off believes all others dead, and its return must not kill
	// those that the rest can see.
	stateReportedDead memberState = iota
	stateAlive
	stateDead // found dead by this member's own failure detector
	stateLeft // has said that it leaves
)

func (s memberState) String() string { return [...]string{"heard", "alive", "dead", "gone"}[s] }

// lifeRecord is one life and what is known of it.
type memberRecord struct {
	Member
	State memberState
	Since clockTime // when it departed, as far as is known
}

// compareLives orders two lives of a name.
func compareRuns(a, b Member) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.RunID, b.RunID)
}

// supersedes tells whether r replaces o. Records of a name are in one total order and the
// highest is kept, so that views depend neither on the order nor on the doubling of news.
func (r memberRecord) supersedes(o memberRecord) bool {
	if c := compareRuns(r.Member, o.Member); c != 0 {
		return c > 0
	}
	return r.State > o.State
}

func (r memberRecord) departed() bool { return r.State != stateAlive }
