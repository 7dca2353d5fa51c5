package agree

import (
	"time"

	"github.com/hashicorp/raft"
)

// leaderClock measures the time that this voter leads.
type leaderClock struct {
	newEntry   func(time.Duration) []byte
	term       uint64
	measuredTo time.Time // up to which time has been proposed in term
}

// tick returns the next tick's command; nil if there is none.
func (t *leaderClock) tick(r *raft.Raft, now time.Time) []byte {
	if r.State() != raft.Leader {
		t.term = 0
		return nil
	}
	passed, term := now.Sub(t.measuredTo), r.CurrentTerm()
	t.measuredTo = now
	if term != t.term {
		t.term = term
		return nil
	}
	return (&command{kind: kindTick, term: term, ask: sessionEntry{Entry: t.newEntry(passed)}}).encode()
}
