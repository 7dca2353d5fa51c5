package agree

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// Bounds on the effects that each voter buffers for subscribers. maxEffectsBytes is in bytes.
const (
	maxEffects      = 4096
	maxEffectsBytes = 4 << 20
)

// effect is an answer of the machine that is published to subscribers. The index
// of the entry that caused it serves as a fencing token: of two effects on the same
// object the one with the higher index is valid.
type effect struct {
	Index  uint64 `cbor:"1,keyasint"`
	Answer []byte `cbor:"2,keyasint"`
}

// decision is what fsm.Apply returns for a command.
type decision struct {
	outcome outcome
	index   uint64
	answer  []byte
}

// fsm adapts a Machine to raft.FSM. Raft calls Apply, Snapshot and Restore from one
// goroutine; mu protects against concurrent reads.
type fsm struct {
	failures chan error // capacity 1: the error of a command that can't be applied

	mu           sync.Mutex
	err          error // of a command that can't be applied; later ones are not applied either
	machine      Machine
	sessions     *sessions
	applied      uint64        // index of the last command
	effects      []effect      // the latest, by ascending index
	effectBytes  int           // total size of effects
	lastDropped  uint64        // effects up to this index have been dropped
	effectsAdded chan struct{} // closed and replaced when effects are added
}

func newFSM(m Machine) *fsm {
	return &fsm{
		failures: make(chan error, 1), machine: m, sessions: newSessions(), effectsAdded: make(chan struct{}),
	}
}

// Apply applies a committed entry and returns a decision. It returns nil for an
// entry that can't be applied and for all later ones, because skipping an entry
// would make the state diverge from that of the other voters.
func (f *fsm) Apply(l *raft.Log) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil
	}
	c, err := decodeCommand(l.Data)
	if err != nil {
		f.err = fmt.Errorf("log %d: %w", l.Index, err)
		f.failures <- f.err
		return nil
	}
	f.applied = l.Index
	apply := func() []byte {
		answer := f.machine.Apply(l.Index, c.entry.Data)
		f.appendEffect(effect{l.Index, answer})
		return answer
	}
	switch c.kind {
	case kindOpenSession:
		f.sessions.open(l.Index)
	case kindPropose:
		h, o := f.sessions.applyOnce(l.Index, &c.entry, apply)
		return decision{o, h.Index, h.Answer}
	case kindTick:
		// A tick that was measured in one term and appended in a later one could
		// cover time that a leader in between has already counted.
		if c.term != l.Term {
			return decision{outcome: outcomeConfirmed, index: l.Index}
		}
		apply()
	}
	return decision{index: l.Index}
}

func (f *fsm) appendEffect(e effect) {
	if len(e.Answer) == 0 {
		return
	}
	f.effects = append(f.effects, e)
	f.effectBytes += len(e.Answer)
	drop := 0
	for len(f.effects)-drop > maxEffects || f.effectBytes > maxEffectsBytes && drop < len(f.effects)-1 {
		f.lastDropped = f.effects[drop].Index
		f.effectBytes -= len(f.effects[drop].Answer)
		f.effects[drop].Answer = nil
		drop++
	}
	f.effects = f.effects[drop:]
	f.notifySubscribers()
}

func (f *fsm) notifySubscribers() {
	close(f.effectsAdded)
	f.effectsAdded = make(chan struct{})
}

// effectsFrom returns up to limit effects with an index of at least from, and a
// channel that is closed when effects are added. It returns a *compactedError if
// some of the effects have been dropped.
func (f *fsm) effectsFrom(from uint64, limit int) ([]effect, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from <= f.lastDropped {
		return nil, nil, &compactedError{Oldest: f.lastDropped + 1}
	}
	var found []effect
	for i := len(f.effects); i > 0 && f.effects[i-1].Index >= from; i-- {
		found = f.effects[i-1:]
	}
	return append([]effect(nil), found[:min(limit, len(found))]...), f.effectsAdded, nil
}

// query queries the machine and returns its answer with the index of the last applied command.
func (f *fsm) query(q []byte) (answer []byte, index uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, 0, ErrOutcomeUnknown
	}
	m, ok := f.machine.(Querier)
	if !ok {
		return nil, 0, errors.New("agree: this machine answers no reads")
	}
	return m.Query(q), f.applied, nil
}

// Snapshot encodes the current state.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	b, err := encMode.Marshal(snapshotImage{f.applied, f.sessions.image(), f.machine.Snapshot()})
	if err != nil {
		return nil, fmt.Errorf("agree: snapshot: %w", err)
	}
	return snapshot(encodeSnapshot(b)), nil
}

// Restore replaces the state by that of a snapshot. On an error the state is unchanged.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	i, err := decodeSnapshot(b)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.machine.Restore(i.Machine); err != nil {
		return fmt.Errorf("snapshot: machine: %w", err)
	}
	f.sessions.restore(i.Sessions)
	f.applied = i.Index
	f.effects, f.effectBytes, f.lastDropped = nil, 0, i.Index
	f.notifySubscribers()
	return nil
}
