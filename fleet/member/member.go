package member

import (
	"cmp"
	"time"
)

// clockTime is a point on the caller's monotonic clock. Only differences matter.
type clockTime = time.Duration

// maxIncarnation is the highest incarnation that is accepted: a forged or corrupt one must not
// bring a name close to overflow.
const maxIncarnation = 1 << 48

// Member is one name of the fleet in one of its process runs.
type Member struct {
	Name string
	// Incarnation orders the process runs of a name. It counts from 1; 0 means that the
	// process has not yet learned which incarnations preceded it.
	Incarnation uint64
	RunID       uint64 // random, chosen at process start
	Zone        string
	Addr        string // host:port at which other members reach it
	Version     uint8  // version of the messages that it understands
}

// memberState is what is known of one process run.
type memberState uint8

// The states of a process run, each taking precedence over the ones before: for the same incarnation
// and run ID the highest is kept, in whichever order the reports arrive.
const (
	// stateReportedDead means dead by the report of another member alone. It ranks below
	// stateAlive: a member that was partitioned believes all others dead, and its return must
	// not make the rest drop members that they can reach.
	stateReportedDead memberState = iota
	stateAlive
	stateDead // declared dead by this member's own failure detector
	stateLeft // announced that it leaves
)

func (s memberState) String() string { return [...]string{"heard", "alive", "dead", "gone"}[s] }

// memberRecord is one process run and what is known of it.
type memberRecord struct {
	Member
	State memberState
	Since clockTime // when it departed, as far as known
}

// compareRuns orders two process runs of a name.
func compareRuns(a, b Member) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.RunID, b.RunID)
}

// supersedes reports whether r replaces o. Records of a name are totally ordered and the highest is
// kept, so that a view depends neither on the order of reports nor on duplicates.
func (r memberRecord) supersedes(o memberRecord) bool {
	if c := compareRuns(r.Member, o.Member); c != 0 {
		return c > 0
	}
	return r.State > o.State
}

func (r memberRecord) departed() bool { return r.State != stateAlive }
