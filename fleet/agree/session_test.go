package agree

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"
)

// These tests apply random logs to two state machines, as two voters would. One of
// them is also restored from snapshots.

// countingMachine answers each entry with the number of entries applied so far.
type countingMachine struct {
	applied map[string]int
	count   uint64
}

func (c *countingMachine) Apply(_ uint64, entry []byte) []byte {
	c.count++
	c.applied[string(entry)]++
	return binary.BigEndian.AppendUint64(nil, c.count)
}

func (c *countingMachine) Snapshot() []byte { return binary.BigEndian.AppendUint64(nil, c.count) }

func (c *countingMachine) Restore(b []byte) error {
	c.count = binary.BigEndian.Uint64(b)
	return nil
}

// runLog applies random proposals, retries and snapshots, and returns an error if the machines
// diverge, a proposal is applied twice, a retry gets another answer, or a bound is exceeded.
func runLog(t *rapid.T, injectFault func(*fsm)) error {
	a, b := &countingMachine{applied: map[string]int{}}, &countingMachine{applied: map[string]int{}}
	fa, fb := newFSM(a), newFSM(b)
	for _, f := range []*fsm{fa, fb} {
		f.sessions.maxSessions, f.sessions.maxBytes = 3, 8*20
		injectFault(f)
	}
	var opened []uint64
	answers := map[string]decision{}
	for index := uint64(1); index <= 60; index++ {
		c := command{}
		if s := rapid.IntRange(0, 9).Draw(t, "kind"); s < 9 && len(opened) > 0 {
			c.kind = kindPropose
			c.entry.Session = rapid.SampledFrom(opened).Draw(t, "session")
			c.entry.Seq = rapid.Uint64Range(1, 12).Draw(t, "seq")
			c.entry.Confirmed = uint64(rapid.IntRange(0, int(c.entry.Seq)-1).Draw(t, "done")) / 2
			c.entry.Data = fmt.Appendf(nil, "%d/%d", c.entry.Session, c.entry.Seq)
		} else {
			opened = append(opened, index)
		}
		l := &raft.Log{Index: index, Data: c.encode()}
		da, db := fa.Apply(l).(decision), fb.Apply(l).(decision)
		if da.outcome != db.outcome || da.index != db.index || !bytes.Equal(da.answer, db.answer) {
			return fmt.Errorf("log %d: %v at one voter, %v at the other", index, da, db)
		}
		id := string(c.entry.Data)
		if old, ok := answers[id]; ok && c.kind == kindPropose && da.outcome == outcomeApplied &&
			(old.index != da.index || !bytes.Equal(old.answer, da.answer)) {
			return fmt.Errorf("%s: decision %v, before %v", id, da, old)
		}
		if c.kind == kindPropose && da.outcome == outcomeApplied {
			answers[id] = da
		}
		if fa.sessions.byLastUse.Len() > 3 || fa.sessions.answerBytes > 8*20 && fa.sessions.byLastUse.Len() > 1 {
			return fmt.Errorf("log %d: %d sessions, %d bytes", index, fa.sessions.byLastUse.Len(), fa.sessions.answerBytes)
		}
		if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
			s, err := fb.Snapshot()
			if err != nil {
				return err
			}
			fb = newFSM(b)
			fb.sessions.maxSessions, fb.sessions.maxBytes = 3, 8*20
			injectFault(fb)
			if err := fb.Restore(io.NopCloser(bytes.NewReader(s.(snapshot)))); err != nil {
				return err
			}
		}
	}
	for _, c := range []*countingMachine{a, b} {
		for _, entry := range slices.Sorted(maps.Keys(c.applied)) {
			if c.applied[entry] > 1 {
				return fmt.Errorf("%s: applied %d times", entry, c.applied[entry])
			}
		}
	}
	return nil
}

func TestSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runLog(t, func(*fsm) {}); err != nil {
			t.Fatal(err)
		}
	})
}

// doubleApplyMachine applies each entry twice.
type doubleApplyMachine struct{ Machine }

func (m doubleApplyMachine) Apply(index uint64, entry []byte) []byte {
	m.Machine.Apply(index, entry)
	return m.Machine.Apply(index, entry)
}

// badSnapshotMachine returns corrupt snapshots, each different from the previous one.
type badSnapshotMachine struct {
	Machine
	snapshots *int
}

func (m badSnapshotMachine) Snapshot() []byte {
	*m.snapshots++
	b := m.Machine.Snapshot()
	b[0] ^= byte(*m.snapshots)
	return b
}

func TestSessionsDetectsFaults(t *testing.T) {
	var n int
	for name, injectFault := range map[string]func(*fsm){
		"applies twice":      func(f *fsm) { f.machine = doubleApplyMachine{f.machine} },
		"corrupts snapshots": func(f *fsm) { f.machine = badSnapshotMachine{f.machine, &n} },
		"evicts no sessions": func(f *fsm) { f.sessions.maxSessions, f.sessions.maxBytes = 100, 1<<20 },
	} {
		detected := false
		for seed := 0; seed < 100 && !detected; seed++ {
			rapid.Custom(func(t *rapid.T) int {
				detected = detected || runLog(t, injectFault) != nil
				return 0
			}).Example(seed)
		}
		if !detected {
			t.Errorf("%s: fault not detected", name)
		}
	}
}

// A tick that is committed in another term than it was measured in is not applied,
// and an entry of an unknown version stops the state machine instead of being skipped.
func TestCommands(t *testing.T) {
	m := &countingMachine{applied: map[string]int{}}
	f := newFSM(m)
	tick := command{kind: kindTick, term: 3, entry: sessionEntry{Data: []byte("t")}}
	f.Apply(&raft.Log{Index: 1, Term: 3, Data: tick.encode()})
	f.Apply(&raft.Log{Index: 2, Term: 5, Data: tick.encode()})
	if m.count != 1 {
		t.Fatalf("%d ticks applied, not 1", m.count)
	}
	b := tick.encode()
	b[0] = 9
	if got := f.Apply(&raft.Log{Index: 3, Term: 3, Data: b}); got != nil {
		t.Fatalf("unknown version: result %v", got)
	}
	if err := <-f.failures; err.Error() != "log 3: entry version 9, not 1" {
		t.Fatal(err)
	}
	f.Apply(&raft.Log{Index: 4, Term: 3, Data: tick.encode()})
	if _, err := f.Snapshot(); m.count != 1 || err == nil {
		t.Fatal("state machine continued after an entry that it could not apply")
	}
}

func TestEffectsBound(t *testing.T) {
	f := newFSM(&countingMachine{applied: map[string]int{}})
	for i := range uint64(maxEffects + 10) {
		f.appendEffect(effect{i + 1, []byte{1}})
	}
	if len(f.effects) != maxEffects || f.lastDropped != 10 {
		t.Fatalf("%d effects, dropped up to %d", len(f.effects), f.lastDropped)
	}
	large := make([]byte, 1<<20)
	for i := range uint64(10) {
		f.appendEffect(effect{maxEffects + 11 + i, large})
	}
	if f.effectBytes > maxEffectsBytes {
		t.Fatalf("effects of %d bytes", f.effectBytes)
	}
	got, _, err := f.effectsFrom(f.lastDropped+1, 2)
	if err != nil || len(got) != 2 || got[0].Index != f.lastDropped+1 {
		t.Fatalf("%v, %v", got, err)
	}
}

func FuzzCommand(f *testing.F) {
	f.Add((&command{kind: kindPropose, entry: sessionEntry{1, 2, 3, []byte("entry")}}).encode())
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := decodeCommand(b); err == nil && !bytes.Equal(c.encode(), b) {
			t.Fatalf("%x decoded and encoded again is %x", b, c.encode())
		}
	})
}

func FuzzSnapshot(f *testing.F) {
	one := newFSM(&countingMachine{applied: map[string]int{}})
	one.Apply(&raft.Log{Index: 1, Data: (&command{}).encode()})
	one.Apply(&raft.Log{Index: 2, Data: (&command{kind: kindPropose, entry: sessionEntry{1, 1, 0, []byte("e")}}).encode()})
	s, _ := one.Snapshot()
	f.Add([]byte(s.(snapshot)[1 : len(s.(snapshot))-4]))
	f.Fuzz(func(t *testing.T, body []byte) {
		decodeSnapshot(body)
		if i, err := decodeSnapshot(encodeSnapshot(body)); err == nil {
			newSessions().restore(i.Sessions)
		}
	})
}
