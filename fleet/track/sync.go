package track

import (
	"encoding/binary"
	"math/bits"
	"time"
)

// takeRecord handles one record of a message from p.
func (t *Table) takeRecord(now time.Duration, p *peer, r *reader) {
	switch kind := r.u8(); kind {
	case recAsk:
		t.takeAsk(now, p, r)
	case recVote:
		t.takeVote(now, p, r)
	case recWithdraw:
		if k, gen := r.key(), r.u64(); !r.bad {
			t.withdraw(k, ident{gen, p.id, p.Incarnation})
		}
	case recCheck:
		if k, gen := r.key(), r.u64(); !r.bad {
			t.takeCheck(now, p, k, gen)
		}
	case recEntry:
		if e := r.entry(); t.legal(r, &e) {
			t.takeEntry(now, p, &e)
		}
	case recAck:
		t.takeAck(p, r)
	case recEndAsk:
		if k, id := r.key(), r.id(); !r.bad {
			t.endAsked(now, p, k, id)
		}
	case recEndYes:
		if k, id := r.key(), r.id(); !r.bad {
			t.endAgreed(now, p, k, id)
		}
	case recEnd:
		if k, id := r.key(), r.id(); !r.bad {
			t.join(now, &record{key: k, id: id, state: ended})
		}
	case recSum:
		if sum := r.u64(); !r.bad && sum != sumOf(p) && p.same {
			t.sendRanges(p, 0)
		}
	case recRanges:
		t.takeRanges(p, r)
	case recLine:
		t.takeLine(now, p, r)
	case recWant:
		if _, e := t.find(r.key()); !r.bad && e != nil && e.state > Prepared && e.state < ended {
			t.sendEntry(now, p, e)
		}
	case recPull:
		if mask, nonce := r.u64(), r.u32(); !r.bad && p.same {
			t.servePull(now, p, mask, nonce)
		}
	case recPart:
		t.takePart(now, p, r)
	default:
		r.bad = true
	}
}

// legal says whether a record can be one of ours, and adds Lag to its durations.
func (t *Table) legal(r *reader, e *record) bool {
	if int(e.class) >= len(t.set.Classes) || e.where == "" && e.state != ended ||
		e.id.gen >= 1<<62 {
		r.bad = true
	}
	e.idle += t.set.Lag
	e.age += t.set.Lag
	return !r.bad
}

func (t *Table) takeAsk(now time.Duration, p *peer, r *reader) {
	e := record{key: r.key(), id: ident{r.u64(), p.id, p.Incarnation}, state: Prepared}
	e.class, e.where = r.u8(), r.text()
	if !t.legal(r, &e) {
		return
	}
	// The asker may send as late as its bound allows after this; Lag is in already.
	e.idle = 0
	v := vote{key: e.key, gen: e.id.gen, says: voteNo, reason: Recovering, comeBack: t.set.AskWithin}
	if p.same {
		v = t.note(now, &e)
	}
	t.add(p, putVote(t.scratch[:0], &v))
}

func (t *Table) takeVote(now time.Duration, p *peer, r *reader) {
	v := r.vote()
	if r.bad || v.id.gen >= 1<<62 {
		r.bad = true
		return
	}
	a := t.asks[v.key]
	if a == nil || a.id.gen != v.gen {
		if v.says == voteYes && t.refused.has[use{v.key, v.gen}] {
			t.add(p, binary.BigEndian.AppendUint64(putKey([]byte{recWithdraw}, v.key), v.gen))
		}
		return
	}
	for j, s := range a.reps[:a.n] {
		if t.peers[s] == p && p.same {
			t.voted(now, a, j, p.Incarnation, &v)
			return
		}
	}
}

// takeCheck tells a replica what became of a note.
func (t *Table) takeCheck(now time.Duration, p *peer, k Key, gen uint64) {
	if c := t.calls[k]; c != nil && c.id.gen == gen && c.id.owner == t.id {
		if !t.lapsed(now, c) && !c.busy {
			t.tell(now, c)
		}
	} else if t.refused.has[use{k, gen}] {
		t.add(p, binary.BigEndian.AppendUint64(putKey([]byte{recWithdraw}, k), gen))
	}
}

func (t *Table) takeEntry(now time.Duration, p *peer, e *record) {
	did := t.join(now, e)
	switch {
	case did == over:
		_, tomb := t.find(e.key)
		t.add(p, putID(putKey([]byte{recEnd}, e.key), tomb.id))
		if e.ack {
			t.add(p, putAck(e, bitGone))
		}
	case did == older && e.ack:
		t.add(p, putAck(e, bitGone))
	case did == taken && e.ack:
		t.add(p, putAck(e, 0))
	}
}

const bitGone = 1

func putAck(e *record, flags byte) []byte {
	b := putID(putKey([]byte{recAck}, e.key), e.id)
	return append(binary.BigEndian.AppendUint16(b, e.round), flags)
}

func (t *Table) takeAck(p *peer, r *reader) {
	k, id, round, flags := r.key(), r.id(), r.u16(), r.u8()
	c := t.calls[k]
	if r.bad || c == nil || c.id != id {
		return
	}
	if flags&bitGone != 0 {
		t.gone(c)
		return
	}
	for j, s := range c.reps[:c.n] {
		if t.peers[s] == p && c.round == round {
			t.acknowledged(c, j)
		}
	}
}

func sumOf(p *peer) (sum uint64) {
	for i, s := range p.sums {
		sum ^= bits.RotateLeft64(s, i)
	}
	return sum
}

// tickSync compares with each peer once in Settings.Sync. The message also
// keeps both in touch.
func (t *Table) tickSync(now time.Duration) {
	for _, p := range t.peers {
		if p.id == t.id || now < p.nextSync {
			continue
		}
		p.nextSync = now + t.set.Sync
		t.add(p, binary.BigEndian.AppendUint64([]byte{recSum}, sumOf(p)))
	}
}

func (t *Table) sendRanges(p *peer, reply byte) {
	rec := append(t.scratch[:0], recRanges, reply)
	for _, s := range p.sums {
		rec = binary.BigEndian.AppendUint64(rec, s)
	}
	t.add(p, rec)
}

// rangesAtOnce bounds what a comparison lists while both see changes all the time
// and so never have equal sums.
const rangesAtOnce = 8

func (t *Table) takeRanges(p *peer, r *reader) {
	reply, differ := r.u8(), uint64(0)
	for i := range ranges {
		if r.u64() != p.sums[i] {
			differ |= 1 << i
		}
	}
	if r.bad || !p.same || differ == 0 {
		return
	}
	if !p.back {
		some := uint64(0)
		for i := 0; i < ranges && bits.OnesCount64(some) < rangesAtOnce; i++ {
			p.turn = (p.turn + 1) % ranges
			some |= differ & (1 << p.turn)
		}
		differ = some
	}
	p.back = false
	p.nextLines |= differ
	if reply == 0 {
		t.sendRanges(p, 1)
	}
}

// list1 lists an entry to the peers that this pass of the sweep compares its range with.
func (t *Table) list1(e *entry) {
	for _, s := range e.reps[:e.n()] {
		p := t.peers[s]
		if p.lines&(1<<e.key.rng()) != 0 && int(s) != t.me && t.rank(e) >= 0 {
			t.add(p, append(putID(putKey([]byte{recLine}, e.key), e.id), stateByte(e)))
		}
	}
}

// takeLine finds out which of the two has to tell the other.
func (t *Table) takeLine(now time.Duration, p *peer, r *reader) {
	k, id, state := r.key(), r.id(), r.u8()
	if r.bad {
		return
	}
	_, e := t.find(k)
	c := -1
	if e != nil {
		c = e.id.compare(id)
	}
	switch {
	case e != nil && e.state == ended && c >= 0:
		t.add(p, putID(putKey([]byte{recEnd}, k), e.id))
	case c > 0 && e.state > Prepared:
		t.sendEntry(now, p, e)
	case c < 0, c == 0 && stateByte(e) != state:
		t.add(p, putKey([]byte{recWant}, k))
	}
}
