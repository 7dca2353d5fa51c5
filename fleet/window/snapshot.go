package window

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// state is the encoded form of a machine in a snapshot.
type state struct {
	Settings   Settings      `cbor:"1,keyasint"`
	Index      uint64        `cbor:"2,keyasint"`
	Now        time.Duration `cbor:"3,keyasint"`
	Seq        uint64        `cbor:"4,keyasint"`
	Backends   []*backend    `cbor:"5,keyasint,omitempty"`
	Serving    []string      `cbor:"6,keyasint,omitempty"`
	Floors     []*floor      `cbor:"7,keyasint,omitempty"`
	OpenPlans  []*plan       `cbor:"8,keyasint,omitempty"`
	EndedPlans []*plan       `cbor:"9,keyasint,omitempty"`
}

// Snapshot encodes the whole state: the same bytes wherever the same entries have been
// applied.
func (m *Machine) Snapshot() ([]byte, error) {
	enc, _ := cborModes()
	body, err := enc.Marshal(state{m.settings, m.index, m.now, m.lastSeq,
		m.backends, m.servingMembers, m.floors, m.openPlans, m.endedPlans})
	if err != nil {
		return nil, fmt.Errorf("window: snapshot: %w", err)
	}
	return append([]byte{Version}, body...), nil
}

// Restore returns the machine that a snapshot describes, or an error that says what is
// invalid in it.
func Restore(data []byte) (*Machine, error) {
	if len(data) == 0 || data[0] != Version {
		return nil, fmt.Errorf("window: restore: unknown version")
	}
	var s state
	_, dec := cborModes()
	if err := dec.Unmarshal(data[1:], &s); err != nil {
		return nil, fmt.Errorf("window: restore: %w", err)
	}
	m := &Machine{settings: s.Settings, index: s.Index, now: s.Now, lastSeq: s.Seq, backends: s.Backends,
		servingMembers: s.Serving, floors: s.Floors, openPlans: s.OpenPlans, endedPlans: s.EndedPlans,
		totalSizes: map[Scope]int64{}}
	if err := m.checkRestored(); err != nil {
		return nil, fmt.Errorf("window: restore: %w", err)
	}
	m.recomputeTotals()
	m.needsReplan = false
	return m, nil
}

// checkRestored validates a restored state, so that a snapshot from another program or a
// corrupt one is not used.
func (m *Machine) checkRestored() error {
	if err := cmp.Or(m.settings.check(), checkRange("state", "now", int64(m.now), 0, int64(maxLogTime)),
		checkRange("state", "backends", int64(len(m.backends)), 0, int64(m.settings.MaxBackends)),
		checkRange("state", "serving", int64(len(m.servingMembers)), 0, int64(m.settings.MaxServing)),
		checkRange("state", "floors", int64(len(m.floors)), 0, MaxFloors),
		checkRange("state", "open", int64(len(m.openPlans)), 0, int64(m.settings.MaxPlans)),
		checkRange("state", "ended", int64(len(m.endedPlans)), 0, int64(m.settings.History))); err != nil {
		return err
	}
	if m.index > maxIndex {
		return fmt.Errorf("window: state: index: %d", m.index)
	}
	for i, b := range m.backends {
		if b == nil || i > 0 && m.backends[i-1].ID >= b.ID {
			return fmt.Errorf("window: state: backends: not in order")
		}
		if err := cmp.Or(b.check(), checkRange("backend "+b.ID, "since", int64(b.Since), 0,
			int64(m.now))); err != nil {
			return err
		}
	}
	if !slices.IsSorted(m.servingMembers) {
		return fmt.Errorf("window: state: serving: not in order")
	}
	for i, f := range m.floors {
		if f == nil || i > 0 && m.floors[i-1].Scope.compare(f.Scope) >= 0 {
			return fmt.Errorf("window: state: floors: not in order")
		}
		if err := cmp.Or(f.Scope.check("floor"), checkSteps(f.Steps), checkSteps(f.Pending)); err != nil {
			return err
		}
	}
	ids := map[string]bool{}
	for i, p := range slices.Concat(m.openPlans, m.endedPlans) {
		if p == nil || ids[p.ID] || p.State > Refused || p.State.Ended() == (i < len(m.openPlans)) {
			return fmt.Errorf("window: state: plans: one is missing, twice or misplaced")
		}
		ids[p.ID] = true
		if err := p.checkRestored(m); err != nil {
			return err
		}
	}
	return nil
}

func (p *plan) checkRestored(m *Machine) error {
	if !slices.IsSorted(p.Backends) {
		return fmt.Errorf("window: plan %s: backends: not in order", p.ID)
	}
	what, most := "plan "+p.ID, int64(maxLogTime)
	if err := cmp.Or(p.Request.check(m), checkRange(what, "first", int64(p.FirstStart), 0, most),
		checkRange(what, "start", int64(p.Start), 0, most), checkRange(what, "end", int64(p.End), 0, most),
		checkRange(what, "returned", int64(p.Returned), 0, int64(m.now)),
		checkRange(what, "could", int64(p.EarliestFeasible), 0, int64(unboundedTime))); err != nil {
		return err
	}
	if p.State.Ended() {
		return nil
	}
	if p.State > Planned && (p.Fence == 0 || p.Start > m.now || p.End < p.Start) ||
		p.State == WarmingUp && p.Returned < p.Start {
		return fmt.Errorf("window: %s: granted without a fence, or out of time", what)
	}
	for _, id := range p.Backends {
		if m.findBackend(id) == nil {
			return fmt.Errorf("window: %s: backends: %s is not known", what, id)
		}
	}
	return nil
}
