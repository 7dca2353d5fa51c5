package track

import (
	"encoding/binary"
	"time"
)

// learning is what a replica has to find out before it may note calls: after a
// change of the roster from the replicas of before, after a restart from the other
// replicas of now. It does so by pulling ranges of keys. Or it waits until
// whatever it may have missed is over.
type learning struct {
	on       bool
	amnesia  bool   // own notes are lost
	blind    bool   // it is not known who the replicas of before are: only time helps
	wasWhole bool   // knew all before the roster changed
	before   []seat // the roster before
	since    time.Duration
}

// pull is what this replica has got from one peer.
type pull struct {
	got    uint64 // ranges got whole
	asked  uint64 // ranges asked for now
	nonce  uint32
	at     time.Duration // last ask or part
	parts  [ranges][]bool
	failed uint64 // ranges with an entry that found no room
}

// Bits of a part's flags: what the sender knows.
const (
	partBefore = 1 << iota // all that it had to know in the roster before
	partNow                // all that it has to know in this one
)

// pullsAtOnce is how many ranges are asked for in one go; it bounds the burst.
const pullsAtOnce = 8

func (t *Table) startLearning(now time.Duration, r Roster, step, wasWhole bool) {
	t.learn = learning{since: now, wasWhole: wasWhole, before: seatsOf(r.Previous)}
	t.learn.on = len(r.Previous) > 0 || r.Epoch > 1
	t.learn.blind = t.learn.on && (!step || len(r.Previous) == 0)
	t.forgetPulls()
}

func (t *Table) forgetPulls() {
	for _, p := range t.peers {
		p.pull = pull{nonce: p.pull.nonce}
	}
}

// waited says that all that was noted before learning began is over: others may
// have noted by the old roster for a Lease more.
func (t *Table) waited(now time.Duration) bool {
	return now-t.learn.since > t.set.Lease+t.longest()+2*t.set.Lag
}

// ready says whether this replica knows all it has to about the key.
func (t *Table) ready(now time.Duration, k Key) bool {
	l := &t.learn
	switch {
	case t.me < 0 || now-t.viewed > t.set.Lease:
		return false
	case !l.on || t.waited(now):
		return true
	case l.blind:
		return false
	}
	seats := l.before
	if l.amnesia {
		seats = t.seats
	}
	var reps [maxReplicas]uint16
	n, have := place(seats, k, t.set.Replicas, &reps), 0
	for _, s := range reps[:n] {
		id := seats[s].id
		switch p := t.byID[id]; {
		case id == t.id && (l.amnesia || !l.wasWhole):
		case id == t.id, p != nil && p.pull.got&(1<<k.rng()) != 0:
			have++
		}
	}
	if l.amnesia {
		// Of a majority that noted a call one, this one, has forgotten. Only a set
		// that meets every majority less one will do.
		return have >= n-majority(n)+1
	}
	return have >= majority(n)
}

// whole says whether it is ready for all keys.
func (t *Table) whole(now time.Duration) bool {
	if !t.learn.on || t.waited(now) {
		return true
	}
	if t.learn.blind {
		return false
	}
	for _, p := range t.peers {
		if p.id != t.id && p.pull.got != allRanges {
			return false
		}
	}
	if t.learn.amnesia {
		return min(t.set.Replicas, len(t.seats)) > 1 // else there is nobody to ask
	}
	return t.learn.wasWhole || !t.wasSeated()
}

func (t *Table) wasSeated() bool {
	for _, s := range t.learn.before {
		if s.id == t.id {
			return true
		}
	}
	return false
}

func (t *Table) tickLearning(now time.Duration) {
	if !t.learn.on {
		return
	}
	if t.waited(now) {
		t.learn.on = false
		return
	}
	for _, p := range t.peers {
		q := &p.pull
		if p.id == t.id || q.got == allRanges || q.asked != 0 && now-q.at <= 2*t.set.Lag {
			continue
		}
		t.sendPull(now, p)
	}
}

func (t *Table) sendPull(now time.Duration, p *peer) {
	q := &p.pull
	q.asked, q.failed = 0, 0
	q.parts = [ranges][]bool{}
	for i, n := 0, 0; i < ranges && n < pullsAtOnce; i++ {
		if q.got&(1<<i) == 0 {
			q.asked |= 1 << i
			n++
		}
	}
	if q.asked == 0 {
		return
	}
	q.nonce++
	q.at = now
	b := binary.BigEndian.AppendUint64([]byte{recPull}, q.asked)
	t.add(p, binary.BigEndian.AppendUint32(b, q.nonce))
}

// servePull sends a peer what both are replicas of in the ranges asked for.
func (t *Table) servePull(now time.Duration, p *peer, mask uint64, nonce uint32) {
	me := -1
	for i, s := range t.seats {
		if s.id == p.id {
			me = i
		}
	}
	var flags byte
	if !t.learn.on || t.learn.wasWhole && !t.learn.amnesia || t.waited(now) {
		flags |= partBefore
	}
	if t.whole(now) {
		flags |= partNow
	}
	var lists [ranges][][]byte // messages' worth of records, by range
	var counts [ranges][]byte
	for i := range t.size {
		e := t.slot(uint32(i))
		rng := e.key.rng()
		if e.state == free || mask&(1<<rng) == 0 || me < 0 || !e.has(uint16(me)) {
			continue
		}
		rec := putEntry(t.scratch[:0], t.recordOf(now, e))
		n := len(lists[rng])
		if n == 0 || len(lists[rng][n-1])+len(rec) > MaxMessage-headerSize-partSize || counts[rng][n-1] == 255 {
			lists[rng] = append(lists[rng], nil)
			counts[rng] = append(counts[rng], 0)
			n++
		}
		lists[rng][n-1] = append(lists[rng][n-1], rec...)
		counts[rng][n-1]++
	}
	for rng := range ranges {
		if mask&(1<<rng) == 0 {
			continue
		}
		n := max(1, len(lists[rng]))
		for seq := range n {
			b := append([]byte{recPart}, byte(rng), flags)
			b = binary.BigEndian.AppendUint32(b, nonce)
			b = binary.BigEndian.AppendUint16(b, uint16(seq))
			b = binary.BigEndian.AppendUint16(b, uint16(min(n, 1<<16-1)))
			if len(lists[rng]) == 0 {
				t.add(p, append(b, 0))
				continue
			}
			t.add(p, append(append(b, counts[rng][seq]), lists[rng][seq]...))
		}
	}
}

const partSize = 12

func (e *entry) has(seat uint16) bool {
	for _, s := range e.reps[:e.n()] {
		if s == seat {
			return true
		}
	}
	return false
}

// learned takes an entry of a part. It returns false if what the entry says is not
// in the table after: there is no room, or a note and a live use of another generation
// meet, of which a replica can hold one only. The range is then asked for again until
// the note's fate is known.
func (t *Table) learned(now time.Duration, e *record) bool {
	_, old := t.find(e.key)
	if old != nil && old.state != ended && old.id != e.id && e.state != ended &&
		(old.state == Prepared || e.state == Prepared) {
		return false
	}
	fresh := e.idle <= t.timeout(e.class, e.state)-2*t.set.Lag
	return t.join(now, e) != dropped || old != nil || !fresh
}

// takePart takes a piece of a range.
func (t *Table) takePart(now time.Duration, p *peer, r *reader) {
	rng, flags, nonce := int(r.u8()), r.u8(), r.u32()
	seq, n, count := int(r.u16()), int(r.u16()), int(r.u8())
	if rng >= ranges || seq >= n {
		r.bad = true
	}
	bit := uint64(1) << (rng & 63)
	q := &p.pull
	// Entries are good whenever they come; only the count is for one pull.
	for range count {
		if r.bad || len(r.b) == 0 || r.u8() != recEntry {
			r.bad = true
			return
		}
		e := r.entry()
		if !t.legal(r, &e) {
			return
		}
		if !t.learned(now, &e) {
			q.failed |= bit
		}
	}
	need := byte(partBefore)
	if t.learn.amnesia {
		need = partNow
	}
	if r.bad || !t.learn.on || !p.same || nonce != q.nonce || q.asked&bit == 0 || flags&need == 0 {
		return
	}
	q.at = now
	if q.parts[rng] == nil {
		q.parts[rng] = make([]bool, n)
	}
	if len(q.parts[rng]) != n {
		return
	}
	q.parts[rng][seq] = true
	for _, ok := range q.parts[rng] {
		if !ok {
			return
		}
	}
	if q.failed&bit == 0 {
		q.got |= bit
	}
	if q.asked&^q.got == 0 {
		t.sendPull(now, p)
		if q.asked == 0 {
			q.parts = [ranges][]bool{}
		}
	}
}
