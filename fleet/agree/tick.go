package agree

import (
	"time"

	"github.com/hashicorp/raft"
)

// ticker measures the time that this voter leads.
type ticker struct {
	make func(time.Duration) []byte
	term uint64
	last time.Time // up to which time has been proposed in term
}

// tick returns the next tick's command; nil if there is none.
func (t *ticker) tick(r *raft.Raft, now time.Time) []byte {
	if r.State() != raft.Leader {
		t.term = 0
		return nil
	}
	passed, term := now.Sub(t.last), r.CurrentTerm()
	t.last = now
	if term != t.term {
		t.term = term
		return nil
	}
	return (&command{kind: kindTick, term: term, ask: Ask{Entry: t.make(passed)}}).encode()
}
