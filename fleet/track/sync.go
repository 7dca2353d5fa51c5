package track

import (
	"encoding/binary"
	"math/bits"
	"time"
)

// handleRecord processes one record of a message from p.
func (t *Table) handleRecord(now time.Duration, p *peer, r *reader) {
	switch kind := r.u8(); kind {
	case recPrepare:
		t.handlePrepare(now, p, r)
	case recVote:
		t.handleVote(now, p, r)
	case recWithdraw:
		if k, gen := r.key(), r.u64(); !r.malformed {
			t.withdraw(k, generationID{gen, p.nameHash, p.Incarnation})
		}
	case recQueryPrepared:
		if k, gen := r.key(), r.u64(); !r.malformed {
			t.handlePreparedQuery(now, p, k, gen)
		}
	case recEntry:
		if e := r.entry(); t.validateEntry(r, &e) {
			t.handleEntry(now, p, &e)
		}
	case recAck:
		t.handleAck(p, r)
	case recEndProposal:
		if k, id := r.key(), r.generation(); !r.malformed {
			t.handleEndProposal(now, p, k, id)
		}
	case recEndAgreement:
		if k, id := r.key(), r.generation(); !r.malformed {
			t.handleEndAgreement(now, p, k, id)
		}
	case recEnd:
		if k, id := r.key(), r.generation(); !r.malformed {
			t.merge(now, &entryRecord{key: k, generation: id, state: stateTombstone})
		}
	case recDigest:
		if sum := r.u64(); !r.malformed && sum != combinedDigest(p) && p.sameEpoch {
			t.sendRangeDigests(p, 0)
		}
	case recRangeDigests:
		t.handleRangeDigests(p, r)
	case recEntrySummary:
		t.handleEntrySummary(now, p, r)
	case recRequestEntry:
		if _, e := t.find(r.key()); !r.malformed && e != nil && e.state > Prepared && e.state < stateTombstone {
			t.sendEntry(now, p, e)
		}
	case recPullRanges:
		if mask, nonce := r.u64(), r.u32(); !r.malformed && p.sameEpoch {
			t.servePull(now, p, mask, nonce)
		}
	case recRangePart:
		t.handlePart(now, p, r)
	default:
		r.malformed = true
	}
}

// validateEntry checks a received entry against the settings and adds Lag to its durations.
func (t *Table) validateEntry(r *reader, e *entryRecord) bool {
	if int(e.class) >= len(t.settings.Classes) || e.target == "" && e.state != stateTombstone ||
		e.generation.number >= 1<<62 {
		r.malformed = true
	}
	e.idle += t.settings.Lag
	e.age += t.settings.Lag
	return !r.malformed
}

func (t *Table) handlePrepare(now time.Duration, p *peer, r *reader) {
	e := entryRecord{key: r.key(), generation: generationID{r.u64(), p.nameHash, p.Incarnation},
		state: Prepared}
	e.class, e.target = r.u8(), r.text()
	if !t.validateEntry(r, &e) {
		return
	}
	// The sender may admit the call at any time until its Open times out, so the activity
	// has yet to come and idle starts at zero. age already includes Lag.
	e.idle = 0
	v := vote{key: e.key, requested: e.generation.number, decision: voteNo, reason: Recovering,
		retryAfter: t.settings.AskWithin}
	if p.sameEpoch {
		v = t.prepare(now, &e)
	}
	t.enqueue(p, appendVote(t.scratch[:0], &v))
}

func (t *Table) handleVote(now time.Duration, p *peer, r *reader) {
	v := r.vote()
	if r.malformed || v.existing.number >= 1<<62 {
		r.malformed = true
		return
	}
	pending := t.pendingOpens[v.key]
	if pending == nil || pending.generation.number != v.requested {
		if v.decision == voteYes && t.withdrawn.members[keyUse{v.key, v.requested}] {
			t.enqueue(p, binary.BigEndian.AppendUint64(appendKey([]byte{recWithdraw}, v.key), v.requested))
		}
		return
	}
	for j, s := range pending.replicas[:pending.replicaCount] {
		if t.peers[s] == p && p.sameEpoch {
			t.handleReplicaVote(now, pending, j, p.Incarnation, &v)
			return
		}
	}
}

// handlePreparedQuery tells a replica whether a call that it prepared was admitted.
func (t *Table) handlePreparedQuery(now time.Duration, p *peer, k Key, gen uint64) {
	if c := t.calls[k]; c != nil && c.generation.number == gen && c.generation.ownerID == t.selfID {
		if !t.mayHaveExpired(now, c) && !c.unacked {
			t.startRound(now, c)
		}
	} else if t.withdrawn.members[keyUse{k, gen}] {
		t.enqueue(p, binary.BigEndian.AppendUint64(appendKey([]byte{recWithdraw}, k), gen))
	}
}

func (t *Table) handleEntry(now time.Duration, p *peer, e *entryRecord) {
	result := t.merge(now, e)
	switch {
	case result == mergeBuried:
		_, buried := t.find(e.key)
		t.enqueue(p, appendGeneration(appendKey([]byte{recEnd}, e.key), buried.generation))
		if e.wantAck {
			t.enqueue(p, appendAck(e, bitCallDropped))
		}
	case result == mergeStale && e.wantAck:
		t.enqueue(p, appendAck(e, bitCallDropped))
	case result == mergeApplied && e.wantAck:
		t.enqueue(p, appendAck(e, 0))
	}
}

// bitCallDropped is the flag in an acknowledgement that tells the owner to drop its call
// because the replica holds a tombstone or a newer generation.
const bitCallDropped = 1

func appendAck(e *entryRecord, flags byte) []byte {
	b := appendGeneration(appendKey([]byte{recAck}, e.key), e.generation)
	return append(binary.BigEndian.AppendUint16(b, e.round), flags)
}

func (t *Table) handleAck(p *peer, r *reader) {
	k, id, round, flags := r.key(), r.generation(), r.u16(), r.u8()
	c := t.calls[k]
	if r.malformed || c == nil || c.generation != id {
		return
	}
	if flags&bitCallDropped != 0 {
		t.dropCall(c)
		return
	}
	for j, s := range c.replicas[:c.replicaCount] {
		if t.peers[s] == p && c.round == round {
			t.acknowledged(c, j)
		}
	}
}

func combinedDigest(p *peer) (sum uint64) {
	for i, s := range p.digests {
		sum ^= bits.RotateLeft64(s, i)
	}
	return sum
}

// tickSync sends each peer a digest once per Settings.Sync. This message also keeps both
// members reachable for each other.
func (t *Table) tickSync(now time.Duration) {
	for _, p := range t.peers {
		if p.nameHash == t.selfID || now < p.nextSync {
			continue
		}
		p.nextSync = now + t.settings.Sync
		t.enqueue(p, binary.BigEndian.AppendUint64([]byte{recDigest}, combinedDigest(p)))
	}
}

func (t *Table) sendRangeDigests(p *peer, reply byte) {
	rec := append(t.scratch[:0], recRangeDigests, reply)
	for _, s := range p.digests {
		rec = binary.BigEndian.AppendUint64(rec, s)
	}
	t.enqueue(p, rec)
}

// maxRangesPerCompare limits the ranges that are compared entry by entry at once.
// Under steady traffic the digests of two members may never be equal.
const maxRangesPerCompare = 8

func (t *Table) handleRangeDigests(p *peer, r *reader) {
	reply, differ := r.u8(), uint64(0)
	for i := range rangeCount {
		if r.u64() != p.digests[i] {
			differ |= 1 << i
		}
	}
	if r.malformed || !p.sameEpoch || differ == 0 {
		return
	}
	if !p.compareAll {
		chosen := uint64(0)
		for i := 0; i < rangeCount && bits.OnesCount64(chosen) < maxRangesPerCompare; i++ {
			p.lastRange = (p.lastRange + 1) % rangeCount
			chosen |= differ & (1 << p.lastRange)
		}
		differ = chosen
	}
	p.compareAll = false
	p.nextListedRanges |= differ
	if reply == 0 {
		t.sendRangeDigests(p, 1)
	}
}

// sendSummary sends an entry's summary to the peers whose range this sweep pass compares.
func (t *Table) sendSummary(e *entry) {
	for _, s := range e.replicas[:e.replicaCount()] {
		p := t.peers[s]
		if p.listedRanges&(1<<e.key.rangeIndex()) != 0 && int(s) != t.selfIndex && t.replicaIndex(e) >= 0 {
			t.enqueue(p, append(appendGeneration(appendKey([]byte{recEntrySummary}, e.key), e.generation),
				digestState(e)))
		}
	}
}

// handleEntrySummary compares a peer's entry with the local one, and sends or requests
// whichever is newer.
func (t *Table) handleEntrySummary(now time.Duration, p *peer, r *reader) {
	k, id, state := r.key(), r.generation(), r.u8()
	if r.malformed {
		return
	}
	_, e := t.find(k)
	c := -1
	if e != nil {
		c = e.generation.compare(id)
	}
	switch {
	case e != nil && e.state == stateTombstone && c >= 0:
		t.enqueue(p, appendGeneration(appendKey([]byte{recEnd}, k), e.generation))
	case c > 0 && e.state > Prepared:
		t.sendEntry(now, p, e)
	case c < 0, c == 0 && digestState(e) != state:
		t.enqueue(p, appendKey([]byte{recRequestEntry}, k))
	}
}
