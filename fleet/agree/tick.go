package agree

import (
	"time"

	"github.com/hashicorp/raft"
)

// leaderClock measures the time during which this voter leads.
type leaderClock struct {
	newTick  func(time.Duration) []byte
	term     uint64
	lastTick time.Time // end of the time that has been proposed in term
}

// tick returns the encoded command of the next tick, or nil if this voter doesn't lead or has just
// become leader in this term.
func (t *leaderClock) tick(r *raft.Raft, now time.Time) []byte {
	if r.State() != raft.Leader {
		t.term = 0
		return nil
	}
	elapsed, term := now.Sub(t.lastTick), r.CurrentTerm()
	t.lastTick = now
	if term != t.term {
		t.term = term
		return nil
	}
	return (&command{kind: kindTick, term: term, entry: sessionEntry{Data: t.newTick(elapsed)}}).encode()
}
