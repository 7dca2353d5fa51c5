package track

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry takes 80 bytes, seven of them padding. A sweep over all entries finds expired
// ones, which takes less memory than a list of timers.
type entry struct {
	key          Key
	generation   generationID  // as received: number, owner and owner's incarnation are unique together
	lastActivity time.Duration // by the local clock, never too late; for a tombstone, when the entry ended
	firstSent    time.Duration // by the local clock, never too late
	target       uint32        // index in Table.targets
	replicas     [maxReplicas]uint16
	state        State
	class        uint8
	retried      bool // a retry was sent after the first attempt
}

// replicaCount returns how many replicas the entry has.
func (e *entry) replicaCount() int {
	for n, s := range e.replicas {
		if s == noReplica {
			return n
		}
	}
	return maxReplicas
}

// tombstone records an ended generation while its slot holds the next one.
type tombstone struct {
	generation generationID
	endedAt    time.Duration
}

// pendingEnd is a proposed end of an entry that waits for the other replicas' agreement.
type pendingEnd struct {
	proposedAt time.Duration
	asked      uint8 // bit set by index in replicas; one that becomes unreachable meanwhile has not agreed
	agreed     uint8
}

// targetTable numbers the backends and scopes that entries refer to.
type targetTable struct {
	byName      map[string]uint32
	uses        []targetUse
	freeIndexes []uint32
}

type targetUse struct {
	name    string
	entries int
	active  int // entries that may be running
}

func (p *targetTable) acquire(name string) uint32 {
	i, ok := p.byName[name]
	if !ok {
		if n := len(p.freeIndexes); n > 0 {
			i, p.freeIndexes = p.freeIndexes[n-1], p.freeIndexes[:n-1]
		} else {
			i = uint32(len(p.uses))
			p.uses = append(p.uses, targetUse{})
		}
		p.uses[i] = targetUse{name: name}
		p.byName[name] = i
	}
	p.uses[i].entries++
	return i
}

func (p *targetTable) release(i uint32) {
	u := &p.uses[i]
	if u.entries--; u.entries == 0 {
		delete(p.byName, u.name)
		*u = targetUse{}
		p.freeIndexes = append(p.freeIndexes, i)
	}
}

// slabBits is the binary logarithm of the number of entries per slab.
const slabBits = 10

func (t *Table) entryAt(i uint32) *entry { return &t.slabs[i>>slabBits][i&(1<<slabBits-1)] }

func (t *Table) find(k Key) (uint32, *entry) {
	i, ok := t.index[k]
	if !ok {
		return 0, nil
	}
	return i, t.entryAt(i)
}

// replicaIndex returns this member's index among the entry's replicas, or -1.
func (t *Table) replicaIndex(e *entry) int {
	if t.selfIndex < 0 {
		return -1
	}
	return slices.Index(e.replicas[:], uint16(t.selfIndex))
}

// toggleDigest adds an entry to the range digests shared with its other replicas, or
// removes it again. Call it before and after each change of an entry.
func (t *Table) toggleDigest(e *entry) {
	if e.state < Open || e.state == stateTombstone || t.replicaIndex(e) < 0 {
		return
	}
	var b [40]byte
	binary.LittleEndian.PutUint64(b[0:], e.key.hi)
	binary.LittleEndian.PutUint64(b[8:], e.key.lo)
	binary.LittleEndian.PutUint64(b[16:], e.generation.number)
	binary.LittleEndian.PutUint64(b[24:], e.generation.ownerID)
	binary.LittleEndian.PutUint32(b[32:], e.generation.ownerIncarnation)
	b[36] = digestState(e)
	h := xxhash.Sum64(b[:])
	for _, i := range e.replicas[:e.replicaCount()] {
		if int(i) != t.selfIndex {
			t.peers[i].digests[e.key.rangeIndex()] ^= h
		}
	}
}

// digestState encodes the part of an entry's state that replicas compare.
func digestState(e *entry) byte {
	b := byte(e.state) << 1
	if e.retried {
		b |= 1
	}
	return b
}

// update applies f to an entry and keeps the counts and digests consistent.
func (t *Table) update(e *entry, f func()) {
	t.count(e, -1)
	t.toggleDigest(e)
	f()
	t.toggleDigest(e)
	t.count(e, 1)
}

func (t *Table) count(e *entry, n int) {
	switch e.state {
	case stateFree:
		return
	case stateTombstone:
		t.tombstones += n
		return
	}
	t.live += n
	if e.state < Closed {
		t.targets.uses[e.target].active += n
	}
}

// store creates an entry from r, replacing the key's earlier entry, if any, which must
// be of an older generation. It returns nil if there is no room.
func (t *Table) store(now time.Duration, r *entryRecord) *entry {
	slot, e := t.find(r.key)
	if (e == nil || e.state == stateTombstone) && r.state != stateTombstone && !t.makeRoom(now) {
		return nil
	}
	if e == nil {
		if t.tombstones >= t.settings.MaxEntries {
			return nil
		}
		if n := len(t.freeSlots); n > 0 {
			slot, t.freeSlots = t.freeSlots[n-1], t.freeSlots[:n-1]
		} else {
			if t.slotCount>>slabBits == len(t.slabs) {
				t.slabs = append(t.slabs, make([]entry, 1<<slabBits))
			}
			slot = uint32(t.slotCount)
			t.slotCount++
		}
		e = t.entryAt(slot)
		t.index[r.key] = slot
	}
	delete(t.agreedEnds, slot)
	delete(t.proposals, slot)
	t.update(e, func() {
		delete(t.shadowed, r.key)
		if e.state != stateFree && r.state == Prepared {
			t.shadowed[r.key] = tombstone{e.generation, now}
		}
		if e.state != stateFree && e.state != stateTombstone {
			t.targets.release(e.target)
		}
		*e = entry{key: r.key, generation: r.generation, lastActivity: now - r.idle, firstSent: now - r.age,
			state: r.state, class: r.class, retried: r.retried, replicas: e.replicas}
		if r.state == stateTombstone {
			e.lastActivity = now
		} else {
			e.target = t.targets.acquire(r.target)
		}
		selectReplicas(t.candidates, e.key, t.settings.Replicas, &e.replicas)
	})
	return e
}

// bury turns an entry into a tombstone of generation id, which must not be below its own.
func (t *Table) bury(now time.Duration, i uint32, id generationID) {
	e := t.entryAt(i)
	t.update(e, func() {
		t.targets.release(e.target)
		e.state, e.generation, e.lastActivity = stateTombstone, id, now
	})
	delete(t.shadowed, e.key)
	delete(t.agreedEnds, i)
	delete(t.proposals, i)
}

// remove deletes an entry or a tombstone.
func (t *Table) remove(i uint32) {
	e := t.entryAt(i)
	t.update(e, func() {
		if e.state != stateTombstone {
			t.targets.release(e.target)
		}
		e.state = stateFree
	})
	delete(t.shadowed, e.key)
	delete(t.agreedEnds, i)
	delete(t.proposals, i)
	delete(t.index, e.key)
	*e = entry{}
	t.freeSlots = append(t.freeSlots, i)
}

// makeRoom makes room for one more entry, evicting flows if necessary.
func (t *Table) makeRoom(now time.Duration) bool {
	if t.live >= t.settings.MaxEntries {
		t.evict(now)
	}
	return t.live < t.settings.MaxEntries && t.tombstones < t.settings.MaxEntries
}

// evictionIdleStep is the granularity of idle times in eviction, so that replicas which
// saw the same activity at slightly different times choose the same entries.
const evictionIdleStep = 10 * time.Second

// evict ends the least valuable flows at all their replicas: closing and closed ones
// first, then the longest idle, then by hash. It evicts a 64th of the table at a time
// to amortize the scan. Reachable replicas end the same flows because the ends are
// announced to them.
func (t *Table) evict(now time.Duration) {
	var evictable []uint32
	for i := range t.slotCount {
		e := t.entryAt(uint32(i))
		if e.state != stateFree && e.state != stateTombstone && t.mayEvict(e) {
			evictable = append(evictable, uint32(i))
		}
	}
	slices.SortFunc(evictable, func(a, b uint32) int {
		return t.compareForEviction(now, t.entryAt(a),
			t.entryAt(b))
	})
	for _, i := range evictable[:min(len(evictable), max(1, t.settings.MaxEntries/64))] {
		e := t.entryAt(i)
		t.announceEnd(e, e.generation)
		t.stats.Evicted++
		t.bury(now, i, e.generation)
	}
}

// compareForEviction orders entries for eviction, in the same way at all replicas.
func (t *Table) compareForEviction(now time.Duration, a, b *entry) int {
	activeRank := func(e *entry) int {
		if e.state >= Closing {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(activeRank(a), activeRank(b)),
		-cmp.Compare((now-a.lastActivity)/evictionIdleStep, (now-b.lastActivity)/evictionIdleStep),
		cmp.Compare(a.key.hi, b.key.hi), cmp.Compare(a.key.lo, b.key.lo))
}

// prepare votes on a request to admit a call: yes, no, or which generation is in use.
func (t *Table) prepare(now time.Duration, r *entryRecord) vote {
	v := vote{key: r.key, requested: r.generation.number, decision: voteNo, retryAfter: t.settings.AskWithin}
	i, e := t.find(r.key)
	if e == nil {
		var replicas [maxReplicas]uint16
		n := selectReplicas(t.candidates, r.key, t.settings.Replicas, &replicas)
		t.fillIncarnations(&v, replicas[:n])
	} else {
		t.fillIncarnations(&v, e.replicas[:e.replicaCount()])
	}
	switch {
	case !t.canAnswer(now, r.key):
		v.reason = Recovering
	case e == nil, r.generation.compare(e.generation) > 0 && (e.state == stateTombstone || t.reusable(e)):
		if t.store(now, r) == nil {
			v.reason = TableFull
			v.retryAfter = max(t.nextExpiry, t.settings.AskWithin)
			return v
		}
		v.decision = voteYes
	case e.state == stateTombstone:
		v.reason = StaleGeneration
	case e.generation == r.generation:
		v.decision = voteYes
	case e.state == Prepared || t.endAgreedRecently(now, i):
		v.reason = Busy
	default:
		t.voteForExisting(now, e, &v)
	}
	return v
}

// reusable reports whether a flow is over, so that its key may be reused at once.
func (t *Table) reusable(e *entry) bool {
	return e.state >= Closing && !t.settings.Classes[e.class].Keyed
}

// voteForExisting votes on a key that is in use.
func (t *Table) voteForExisting(now time.Duration, e *entry, v *vote) {
	c := t.settings.Classes[e.class]
	// A retry sent now must arrive within its target's deduplication window.
	if c.Keyed && now-e.firstSent+c.MaxCallTime+2*t.settings.Lag > c.DedupWindow {
		v.reason = RetryTooLate
		v.retryAfter = max(0, t.timeout(e.class, e.state)+t.settings.Lag-(now-e.lastActivity))
		return
	}
	v.decision, v.existing, v.target = voteExisting, e.generation, t.targets.uses[e.target].name
	t.update(e, func() {
		e.lastActivity = now
		if c.Keyed {
			// The retry may run after the first attempt is over and be the first to
			// take effect. The entry therefore stays Open until it expires.
			e.retried, e.state = true, Open
		}
	})
}

func (t *Table) fillIncarnations(v *vote, replicas []uint16) {
	v.replicaCount = len(replicas)
	for j, i := range replicas {
		if v.incarnations[j] = t.peers[i].Incarnation; int(i) == t.selfIndex {
			v.incarnations[j] = t.incarnation
		}
	}
}

// endAgreedRecently reports whether this replica has agreed to an end of the entry that
// may still be in progress.
func (t *Table) endAgreedRecently(now time.Duration, i uint32) bool {
	if p := t.proposals[i]; p != nil && now-p.proposedAt <= 4*t.settings.Lag {
		return true
	}
	at, ok := t.agreedEnds[i]
	if ok && now-at > 8*t.settings.Lag {
		delete(t.agreedEnds, i)
		ok = false
	}
	return ok
}

// mergeResult is the result of Table.merge.
type mergeResult int

const (
	mergeRejected mergeResult = iota // not merged: no room, not a replica, or about to expire
	mergeBuried                      // the key has a tombstone that covers it
	mergeStale                       // a newer generation is held
	mergeApplied
)

// merge merges a received state of an entry into the local one. The result is the least
// upper bound of both (a state-based CRDT, Shapiro et al., SSS 2011), so the order and
// number of messages do not matter.
func (t *Table) merge(now time.Duration, r *entryRecord) mergeResult {
	i, e := t.find(r.key)
	limit := t.timeout(r.class, r.state)
	// An entry that is about to expire is not created again. Messages are accepted for
	// up to Lag, so one that passes was sent well before any replica can have ended the entry.
	ending := r.state != stateTombstone && r.idle > limit-2*t.settings.Lag
	if e == nil || e.state == stateTombstone {
		switch {
		case e != nil && r.generation.compare(e.generation) <= 0:
			return mergeBuried
		case ending || !t.isReplica(r.key) || t.store(now, r) == nil:
			return mergeRejected
		}
		return mergeApplied
	}
	switch c := r.generation.compare(e.generation); {
	case r.state == stateTombstone && c >= 0:
		t.bury(now, i, r.generation)
		return mergeApplied
	case r.state == stateTombstone, c < 0:
		return mergeStale
	case c > 0 && (r.state == Prepared || ending):
		return mergeRejected
	case c > 0:
		if t.store(now, r) == nil {
			return mergeRejected
		}
		return mergeApplied
	}
	t.update(e, func() {
		if e.state == Prepared && r.state > Prepared {
			delete(t.shadowed, r.key)
		}
		e.retried = e.retried || r.retried
		if e.state = max(e.state, r.state); e.retried {
			e.state = Open
		}
		e.lastActivity, e.firstSent = max(e.lastActivity, now-r.idle), min(e.firstSent, now-r.age)
	})
	if now-e.lastActivity <= t.timeout(e.class, e.state) {
		delete(t.proposals, i)
	}
	return mergeApplied
}

func (t *Table) isReplica(k Key) bool {
	var replicas [maxReplicas]uint16
	n := selectReplicas(t.candidates, k, t.settings.Replicas, &replicas)
	return t.selfIndex >= 0 && slices.Contains(replicas[:n], uint16(t.selfIndex))
}

// withdraw undoes the preparation of a call that was never admitted.
func (t *Table) withdraw(k Key, id generationID) {
	i, e := t.find(k)
	if e == nil || e.state != Prepared || e.generation != id {
		return
	}
	t.stats.Withdrawn++
	previous, ok := t.shadowed[k]
	if !ok {
		t.remove(i)
		return
	}
	t.bury(previous.endedAt, i, previous.generation)
}

// sweep visits part of the entries on each call, and all of them once per Settings.Sweep.
func (t *Table) sweep(now time.Duration) {
	part := min(1, float64(now-t.sweepStart)/float64(t.settings.Sweep))
	for to := int(part * float64(t.slotCount)); t.sweepCursor < to; t.sweepCursor++ {
		t.expireEntry(now, uint32(t.sweepCursor))
	}
	if part < 1 {
		return
	}
	t.sweepStart, t.sweepCursor = now, 0
	t.nextExpiry, t.sweepNextExpiry = max(t.sweepNextExpiry, 0), t.settings.MaxComeBack
	for _, p := range t.peers {
		p.listedRanges, p.nextListedRanges = p.nextListedRanges, 0
	}
}

// expireEntry checks one entry for expiry and does the other periodic work on it.
func (t *Table) expireEntry(now time.Duration, i uint32) {
	e := t.entryAt(i)
	switch e.state {
	case stateFree:
		return
	case stateTombstone:
		if now-e.lastActivity > t.tombstoneTTL {
			t.remove(i)
		}
		return
	case Prepared:
		t.queryPrepared(now, e)
	default:
		t.sendSummary(e)
	}
	idle, limit := now-e.lastActivity, t.timeout(e.class, e.state)+t.settings.Lag
	t.sweepNextExpiry = min(t.sweepNextExpiry, max(limit-idle, 0))
	if idle <= limit {
		return
	}
	rank, replicaCount, reachablePeers, rankedBefore := t.replicaIndex(e), e.replicaCount(), 0, 0
	if rank < 0 {
		// The current replicas have had the entry's whole lifetime to take it over.
		t.stats.Dropped++
		t.remove(i)
		return
	}
	for j, s := range e.replicas[:replicaCount] {
		if j != rank && t.reachable(t.peers[s]) {
			reachablePeers++
			if j < rank {
				rankedBefore++
			}
		}
	}
	if reachablePeers+1 < replicaCount {
		limit += t.settings.Bound
	}
	switch {
	case idle <= limit:
	case reachablePeers+1 < majority(replicaCount):
		// There is no majority to agree with. Leave no tombstone, because replicas that
		// may have seen later activity take precedence.
		t.stats.Dropped++
		t.remove(i)
	case reachablePeers == 0:
		t.stats.Expired++
		t.bury(now, i, e.generation)
	case idle > limit+time.Duration(2*rankedBefore)*t.settings.Lag:
		t.proposeEnd(now, i, e, rank)
	}
}

// proposeEnd asks the other reachable replicas to agree to the entry's end.
func (t *Table) proposeEnd(now time.Duration, i uint32, e *entry, rank int) {
	if p := t.proposals[i]; p != nil && now-p.proposedAt < 4*t.settings.Lag {
		return
	}
	proposal := &pendingEnd{proposedAt: now, agreed: 1 << rank}
	t.proposals[i] = proposal
	rec := appendGeneration(appendKey([]byte{recEndProposal}, e.key), e.generation)
	for j, s := range e.replicas[:e.replicaCount()] {
		if j != rank && t.reachable(t.peers[s]) {
			proposal.asked |= 1 << j
			t.enqueue(t.peers[s], rec)
		}
	}
}

// handleEndProposal answers another replica's proposal to end an entry.
func (t *Table) handleEndProposal(now time.Duration, p *peer, k Key, id generationID) {
	i, e := t.find(k)
	if e != nil && e.state != stateTombstone && e.generation == id {
		if now-e.lastActivity <= t.timeout(e.class, e.state)+t.settings.Lag {
			if e.state != Prepared {
				t.sendEntry(now, p, e)
			}
			return
		}
		t.agreedEnds[i] = now
	}
	t.enqueue(p, appendGeneration(appendKey([]byte{recEndAgreement}, k), id))
}

// handleEndAgreement counts an agreement. The last one needed ends the entry.
func (t *Table) handleEndAgreement(now time.Duration, p *peer, k Key, id generationID) {
	i, e := t.find(k)
	proposal := t.proposals[i]
	if e == nil || e.state == stateTombstone || e.generation != id || proposal == nil ||
		now-proposal.proposedAt > 3*t.settings.Lag {
		return
	}
	if now-e.lastActivity <= t.timeout(e.class, e.state)+t.settings.Lag {
		delete(t.proposals, i) // there was activity after the proposal
		return
	}
	missingAgreement := false
	for j, s := range e.replicas[:e.replicaCount()] {
		switch {
		case t.peers[s] == p:
			proposal.agreed |= 1 << j
		case t.reachable(t.peers[s]) && proposal.agreed&(1<<j) == 0:
			missingAgreement = true
		}
	}
	if missingAgreement || proposal.asked&^proposal.agreed != 0 ||
		onesCount(proposal.agreed) < majority(e.replicaCount()) {
		return
	}
	t.stats.Expired++
	t.announceEnd(e, id)
	t.bury(now, i, id)
}

// announceEnd sends the end of an entry to its other replicas.
func (t *Table) announceEnd(e *entry, id generationID) {
	rec := appendGeneration(appendKey([]byte{recEnd}, e.key), id)
	for _, s := range e.replicas[:e.replicaCount()] {
		if int(s) != t.selfIndex {
			t.enqueue(t.peers[s], rec)
		}
	}
}

func (t *Table) sendEntry(now time.Duration, p *peer, e *entry) {
	t.enqueue(p, appendEntry(t.scratch[:0], t.recordOf(now, e)))
}

func (t *Table) recordOf(now time.Duration, e *entry) *entryRecord {
	r := &entryRecord{key: e.key, generation: e.generation, class: e.class, state: e.state, retried: e.retried,
		idle: now - e.lastActivity, age: now - e.firstSent}
	if e.state != stateTombstone {
		r.target = t.targets.uses[e.target].name
	}
	return r
}

// queryPrepared asks the owner of an entry that has been Prepared for longer than an Open
// can take whether the call was admitted or withdrawn.
func (t *Table) queryPrepared(now time.Duration, e *entry) {
	owner := t.byNameHash[e.generation.ownerID]
	if now-e.lastActivity < 4*t.settings.Lag || owner == nil ||
		owner.Incarnation != e.generation.ownerIncarnation || !t.reachable(owner) {
		return
	}
	t.enqueue(owner, binary.BigEndian.AppendUint64(appendKey([]byte{recQueryPrepared}, e.key),
		e.generation.number))
}
