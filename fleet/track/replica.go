package track

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is 80 bytes, of which padding has seven; its time-outs are found by a sweep over all entries, which
// costs less memory than a list of timers would.
type entry struct {
	key    Key
	id     ident         // as received: owner and incarnation make a generation unique
	seen   time.Duration // last activity, or the end of what has ended; own clock, never too late
	born   time.Duration // first send, own clock, never too late
	where  uint32        // index in places
	reps   [maxReplicas]uint16
	state  State
	class  uint8
	shared bool // a repeat was sent after it
}

// n is how many replicas the entry has.
func (e *entry) n() int {
	for n, s := range e.reps {
		if s == none {
			return n
		}
	}
	return maxReplicas
}

// tomb remembers an end while its slot is in use for the next generation.
type tomb struct {
	id ident
	at time.Duration
}

// proposal is an end that this replica has asked the others to agree to.
type proposal struct {
	at   time.Duration
	need uint8 // who was asked, by position in reps: one that falls silent meanwhile has not agreed
	yes  uint8
}

// places gives each backend or scope a small number while entries name it.
type places struct {
	byName map[string]uint32
	list   []placeUse
	free   []uint32
}

type placeUse struct {
	name string
	uses int
	open int // entries that may run
}

func (p *places) use(name string) uint32 {
	i, ok := p.byName[name]
	if !ok {
		if n := len(p.free); n > 0 {
			i, p.free = p.free[n-1], p.free[:n-1]
		} else {
			i = uint32(len(p.list))
			p.list = append(p.list, placeUse{})
		}
		p.list[i] = placeUse{name: name}
		p.byName[name] = i
	}
	p.list[i].uses++
	return i
}

func (p *places) drop(i uint32) {
	u := &p.list[i]
	if u.uses--; u.uses == 0 {
		delete(p.byName, u.name)
		*u = placeUse{}
		p.free = append(p.free, i)
	}
}

const slabBits = 10

func (t *Table) slot(i uint32) *entry { return &t.slabs[i>>slabBits][i&(1<<slabBits-1)] }

func (t *Table) find(k Key) (uint32, *entry) {
	i, ok := t.index[k]
	if !ok {
		return 0, nil
	}
	return i, t.slot(i)
}

// rank is this member's position among the entry's replicas, or -1.
func (t *Table) rank(e *entry) int {
	if t.me < 0 {
		return -1
	}
	return slices.Index(e.reps[:], uint16(t.me))
}

// toggle puts an entry into the sums of the ranges that it shares with its other
// replicas, or takes it out again: call it before and after each change.
func (t *Table) toggle(e *entry) {
	if e.state < Open || e.state == ended || t.rank(e) < 0 {
		return
	}
	var b [40]byte
	binary.LittleEndian.PutUint64(b[0:], e.key.hi)
	binary.LittleEndian.PutUint64(b[8:], e.key.lo)
	binary.LittleEndian.PutUint64(b[16:], e.id.gen)
	binary.LittleEndian.PutUint64(b[24:], e.id.owner)
	binary.LittleEndian.PutUint32(b[32:], e.id.inc)
	b[36] = stateByte(e)
	h := xxhash.Sum64(b[:])
	for _, i := range e.reps[:e.n()] {
		if int(i) != t.me {
			t.peers[i].sums[e.key.rng()] ^= h
		}
	}
}

// stateByte is what replicas compare of an entry's state.
func stateByte(e *entry) byte {
	b := byte(e.state) << 1
	if e.shared {
		b |= 1
	}
	return b
}

// change lets f change an entry and keeps the counts and sums right.
func (t *Table) change(e *entry, f func()) {
	t.count(e, -1)
	t.toggle(e)
	f()
	t.toggle(e)
	t.count(e, 1)
}

func (t *Table) count(e *entry, n int) {
	switch e.state {
	case free:
		return
	case ended:
		t.tombs += n
		return
	}
	t.live += n
	if e.state < Closed {
		t.places.list[e.where].open += n
	}
}

// put makes an entry of r, in the place of the key's earlier one if there is any,
// which must be older. It returns nil if there is no room.
func (t *Table) put(now time.Duration, r *record) *entry {
	i, e := t.find(r.key)
	if (e == nil || e.state == ended) && r.state != ended && !t.room(now) {
		return nil
	}
	if e == nil {
		if t.tombs >= t.set.MaxEntries {
			return nil
		}
		if n := len(t.free); n > 0 {
			i, t.free = t.free[n-1], t.free[:n-1]
		} else {
			if t.size>>slabBits == len(t.slabs) {
				t.slabs = append(t.slabs, make([]entry, 1<<slabBits))
			}
			i = uint32(t.size)
			t.size++
		}
		e = t.slot(i)
		t.index[r.key] = i
	}
	delete(t.left, i)
	delete(t.props, i)
	t.change(e, func() {
		delete(t.under, r.key)
		if e.state != free && r.state == Prepared {
			t.under[r.key] = tomb{e.id, now}
		}
		if e.state != free && e.state != ended {
			t.places.drop(e.where)
		}
		*e = entry{key: r.key, id: r.id, seen: now - r.idle, born: now - r.age,
			state: r.state, class: r.class, shared: r.shared, reps: e.reps}
		if r.state == ended {
			e.seen = now
		} else {
			e.where = t.places.use(r.where)
		}
		place(t.seats, e.key, t.set.Replicas, &e.reps)
	})
	return e
}

// end makes an entry a tombstone with the generation id, which is not below its own.
func (t *Table) end(now time.Duration, i uint32, id ident) {
	e := t.slot(i)
	t.change(e, func() {
		t.places.drop(e.where)
		e.state, e.id, e.seen = ended, id, now
	})
	delete(t.under, e.key)
	delete(t.left, i)
	delete(t.props, i)
}

// forget drops an entry or a tombstone without a trace.
func (t *Table) forget(i uint32) {
	e := t.slot(i)
	t.change(e, func() {
		if e.state != ended {
			t.places.drop(e.where)
		}
		e.state = free
	})
	delete(t.under, e.key)
	delete(t.left, i)
	delete(t.props, i)
	delete(t.index, e.key)
	*e = entry{}
	t.free = append(t.free, i)
}

// room makes room for one more entry, giving up flows if it must.
func (t *Table) room(now time.Duration) bool {
	if t.live >= t.set.MaxEntries {
		t.evict(now)
	}
	return t.live < t.set.MaxEntries && t.tombs < t.set.MaxEntries
}

// idleSteps coarsens idle, so that replicas which saw the same activity at slightly
// different times order their victims alike.
const idleSteps = 10 * time.Second

// evict ends the least needed flows at all their replicas, a 64th of the table at a
// time so that its scan is paid for by many: those that are over first, then
// the longest idle, then by hash. Replicas in touch end the same ones because
// the end is told to them.
func (t *Table) evict(now time.Duration) {
	var victims []uint32
	for i := range t.size {
		e := t.slot(uint32(i))
		if e.state != free && e.state != ended && t.mayEvict(e) {
			victims = append(victims, uint32(i))
		}
	}
	slices.SortFunc(victims, func(a, b uint32) int { return t.lessNeeded(now, t.slot(a), t.slot(b)) })
	for _, i := range victims[:min(len(victims), max(1, t.set.MaxEntries/64))] {
		e := t.slot(i)
		t.tellEnd(e, e.id)
		t.stats.Evicted++
		t.end(now, i, e.id)
	}
}

// lessNeeded orders entries for eviction, the same everywhere.
func (t *Table) lessNeeded(now time.Duration, a, b *entry) int {
	over := func(e *entry) int {
		if e.state >= Closing {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(over(a), over(b)),
		-cmp.Compare((now-a.seen)/idleSteps, (now-b.seen)/idleSteps),
		cmp.Compare(a.key.hi, b.key.hi), cmp.Compare(a.key.lo, b.key.lo))
}

// note answers an Ask: may owner let a call with this key go?
func (t *Table) note(now time.Duration, r *record) vote {
	v := vote{key: r.key, gen: r.id.gen, says: voteNo, comeBack: t.set.AskWithin}
	i, e := t.find(r.key)
	if e == nil {
		var reps [maxReplicas]uint16
		n := place(t.seats, r.key, t.set.Replicas, &reps)
		t.vector(&v, reps[:n])
	} else {
		t.vector(&v, e.reps[:e.n()])
	}
	switch {
	case !t.ready(now, r.key):
		v.reason = Recovering
	case e == nil, r.id.compare(e.id) > 0 && (e.state == ended || t.reusable(e)):
		if t.put(now, r) == nil {
			v.reason = TableFull
			v.comeBack = max(t.nextEn, t.set.AskWithin)
			return v
		}
		v.says = voteYes
	case e.state == ended:
		v.reason = StaleGeneration
	case e.id == r.id:
		v.says = voteYes
	case e.state == Prepared || t.agreed(now, i):
		v.reason = Busy
	default:
		t.known(now, e, &v)
	}
	return v
}

// reusable says that a flow is over, so that its key may be used anew at once.
func (t *Table) reusable(e *entry) bool {
	return e.state >= Closing && !t.set.Classes[e.class].Keyed
}

// known answers for a key that is in use.
func (t *Table) known(now time.Duration, e *entry, v *vote) {
	c := t.set.Classes[e.class]
	// A repeat sent now must reach its scope before the scope forgets.
	if c.Keyed && now-e.born+c.MaxCallTime+2*t.set.Lag > c.DedupWindow {
		v.reason = RetryTooLate
		v.comeBack = max(0, t.timeout(e.class, e.state)+t.set.Lag-(now-e.seen))
		return
	}
	v.says, v.id, v.where = voteKnown, e.id, t.places.list[e.where].name
	t.change(e, func() {
		e.seen = now
		if c.Keyed {
			// The repeat may run after the first is over, and be the first to
			// take effect: from now on the entry only ages.
			e.shared, e.state = true, Open
		}
	})
}

func (t *Table) vector(v *vote, reps []uint16) {
	v.n = len(reps)
	for j, i := range reps {
		if v.vec[j] = t.peers[i].Incarnation; int(i) == t.me {
			v.vec[j] = t.inc
		}
	}
}

// agreed says that this replica has agreed to the entry's end, which may be on its way.
func (t *Table) agreed(now time.Duration, i uint32) bool {
	if p := t.props[i]; p != nil && now-p.at <= 4*t.set.Lag {
		return true
	}
	at, ok := t.left[i]
	if ok && now-at > 8*t.set.Lag {
		delete(t.left, i)
		ok = false
	}
	return ok
}

// What join did.
type joined int

const (
	dropped joined = iota // not taken: no room, not ours, about to end
	over                  // the key has a tombstone for it
	older                 // a newer generation is here
	taken
)

// join merges what another says of an entry into ours. Merging is the least upper
// bound of both (a state-based CRDT, Shapiro et al., SSS 2011): the order
// and the number of messages make no difference.
func (t *Table) join(now time.Duration, r *record) joined {
	i, e := t.find(r.key)
	limit := t.timeout(r.class, r.state)
	// What is about to end is not taken anew: a message lives for Lag, so one that
	// passes here was sent well before any replica can have ended the entry.
	ending := r.state != ended && r.idle > limit-2*t.set.Lag
	if e == nil || e.state == ended {
		switch {
		case e != nil && r.id.compare(e.id) <= 0:
			return over
		case ending || !t.isReplica(r.key) || t.put(now, r) == nil:
			return dropped
		}
		return taken
	}
	switch c := r.id.compare(e.id); {
	case r.state == ended && c >= 0:
		t.end(now, i, r.id)
		return taken
	case r.state == ended, c < 0:
		return older
	case c > 0 && (r.state == Prepared || ending):
		return dropped
	case c > 0:
		if t.put(now, r) == nil {
			return dropped
		}
		return taken
	}
	t.change(e, func() {
		if e.state == Prepared && r.state > Prepared {
			delete(t.under, r.key)
		}
		e.shared = e.shared || r.shared
		if e.state = max(e.state, r.state); e.shared {
			e.state = Open
		}
		e.seen, e.born = max(e.seen, now-r.idle), min(e.born, now-r.age)
	})
	if now-e.seen <= t.timeout(e.class, e.state) {
		delete(t.props, i)
	}
	return taken
}

func (t *Table) isReplica(k Key) bool {
	var reps [maxReplicas]uint16
	n := place(t.seats, k, t.set.Replicas, &reps)
	return t.me >= 0 && slices.Contains(reps[:n], uint16(t.me))
}

// withdraw undoes a note whose call was never let go.
func (t *Table) withdraw(k Key, id ident) {
	i, e := t.find(k)
	if e == nil || e.state != Prepared || e.id != id {
		return
	}
	t.stats.Withdrawn++
	b, ok := t.under[k]
	if !ok {
		t.forget(i)
		return
	}
	t.end(b.at, i, b.id)
}

// sweep goes over a part of the entries, all of them once in Settings.Sweep.
func (t *Table) sweep(now time.Duration) {
	part := min(1, float64(now-t.passAt)/float64(t.set.Sweep))
	for to := int(part * float64(t.size)); t.cursor < to; t.cursor++ {
		t.age(now, uint32(t.cursor))
	}
	if part < 1 {
		return
	}
	t.passAt, t.cursor = now, 0
	t.nextEn, t.ending = max(t.ending, 0), t.set.MaxComeBack
	for _, p := range t.peers {
		p.lines, p.nextLines = p.nextLines, 0
	}
}

// age looks after one entry.
func (t *Table) age(now time.Duration, i uint32) {
	e := t.slot(i)
	switch e.state {
	case free:
		return
	case ended:
		if now-e.seen > t.tombKeep {
			t.forget(i)
		}
		return
	case Prepared:
		t.checkNoted(now, e)
	default:
		t.list1(e)
	}
	idle, limit := now-e.seen, t.timeout(e.class, e.state)+t.set.Lag
	t.ending = min(t.ending, max(limit-idle, 0))
	if idle <= limit {
		return
	}
	me, n, up, before := t.rank(e), e.n(), 0, 0
	if me < 0 {
		// Its replicas of now have had all the time of its life to take it over.
		t.stats.Dropped++
		t.forget(i)
		return
	}
	for j, s := range e.reps[:n] {
		if j != me && t.inTouch(t.peers[s]) {
			up++
			if j < me {
				before++
			}
		}
	}
	if up+1 < n {
		limit += t.set.Bound
	}
	switch {
	case idle <= limit:
	case up+1 < majority(n):
		// Alone there is nobody to agree with. No tombstone: those who
		// may have seen activity since are right.
		t.stats.Dropped++
		t.forget(i)
	case up == 0:
		t.stats.Expired++
		t.end(now, i, e.id)
	case idle > limit+time.Duration(2*before)*t.set.Lag:
		t.propose(now, i, e, me)
	}
}

// propose asks the other replicas in touch to agree to an end.
func (t *Table) propose(now time.Duration, i uint32, e *entry, me int) {
	if p := t.props[i]; p != nil && now-p.at < 4*t.set.Lag {
		return
	}
	prop := &proposal{at: now, yes: 1 << me}
	t.props[i] = prop
	rec := putID(putKey([]byte{recEndAsk}, e.key), e.id)
	for j, s := range e.reps[:e.n()] {
		if j != me && t.inTouch(t.peers[s]) {
			prop.need |= 1 << j
			t.add(t.peers[s], rec)
		}
	}
}

// endAsked answers another replica's proposal.
func (t *Table) endAsked(now time.Duration, p *peer, k Key, id ident) {
	i, e := t.find(k)
	if e != nil && e.state != ended && e.id == id {
		if now-e.seen <= t.timeout(e.class, e.state)+t.set.Lag {
			if e.state != Prepared {
				t.sendEntry(now, p, e)
			}
			return
		}
		t.left[i] = now
	}
	t.add(p, putID(putKey([]byte{recEndYes}, k), id))
}

// endAgreed counts an agreement; the last one needed ends the entry.
func (t *Table) endAgreed(now time.Duration, p *peer, k Key, id ident) {
	i, e := t.find(k)
	prop := t.props[i]
	if e == nil || e.state == ended || e.id != id || prop == nil || now-prop.at > 3*t.set.Lag {
		return
	}
	if now-e.seen <= t.timeout(e.class, e.state)+t.set.Lag {
		delete(t.props, i) // activity since
		return
	}
	missing := false
	for j, s := range e.reps[:e.n()] {
		switch {
		case t.peers[s] == p:
			prop.yes |= 1 << j
		case t.inTouch(t.peers[s]) && prop.yes&(1<<j) == 0:
			missing = true
		}
	}
	if missing || prop.need&^prop.yes != 0 || onesCount(prop.yes) < majority(e.n()) {
		return
	}
	t.stats.Expired++
	t.tellEnd(e, id)
	t.end(now, i, id)
}

// tellEnd tells the other replicas of an end.
func (t *Table) tellEnd(e *entry, id ident) {
	rec := putID(putKey([]byte{recEnd}, e.key), id)
	for _, s := range e.reps[:e.n()] {
		if int(s) != t.me {
			t.add(t.peers[s], rec)
		}
	}
}

func (t *Table) sendEntry(now time.Duration, p *peer, e *entry) {
	t.add(p, putEntry(t.scratch[:0], t.recordOf(now, e)))
}

func (t *Table) recordOf(now time.Duration, e *entry) *record {
	r := &record{key: e.key, id: e.id, class: e.class, state: e.state, shared: e.shared,
		idle: now - e.seen, age: now - e.born}
	if e.state != ended {
		r.where = t.places.list[e.where].name
	}
	return r
}

// checkNoted asks the owner of a note that is older than its Open can be what became of it.
func (t *Table) checkNoted(now time.Duration, e *entry) {
	owner := t.byID[e.id.owner]
	if now-e.seen < 4*t.set.Lag || owner == nil || owner.Incarnation != e.id.inc || !t.inTouch(owner) {
		return
	}
	t.add(owner, binary.BigEndian.AppendUint64(putKey([]byte{recCheck}, e.key), e.id.gen))
}
