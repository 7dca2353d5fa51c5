package track

import (
	"encoding/binary"
	"time"
)

// recoveryState describes what a replica must learn before it may prepare calls. After
// a roster change it reads from the replicas of the previous roster, after a restart
// from the other replicas of the current one, by pulling ranges of keys. Alternatively
// it waits until everything it may have missed has expired.
type recoveryState struct {
	active        bool
	restarted     bool        // this replica has lost the entries it had prepared
	sourceUnknown bool        // the previous replicas are unknown: only waiting helps
	wasCaughtUp   bool        // had recovered all state before the roster changed
	previous      []candidate // candidates of the previous roster
	since         time.Duration
}

// rangePull is the progress of pulling ranges from one peer.
type rangePull struct {
	received     uint64 // ranges received completely
	requested    uint64 // ranges requested and outstanding
	nonce        uint32
	lastProgress time.Duration // time of the last request or part
	parts        [rangeCount][]bool
	incomplete   uint64 // ranges with an entry that could not be stored
}

// Flags of a part: which state the sender holds completely.
const (
	partPreviousEpoch = 1 << iota // its share of the previous epoch's entries
	partCurrentEpoch              // its share of the current epoch's entries
)

// maxRangesPerPull limits the ranges requested at once, and so the size of the burst.
const maxRangesPerPull = 8

func (t *Table) startRecovery(now time.Duration, roster Roster, consecutive, wasCaughtUp bool) {
	t.recovery = recoveryState{since: now, wasCaughtUp: wasCaughtUp, previous: candidatesOf(roster.Previous)}
	t.recovery.active = len(roster.Previous) > 0 || roster.Epoch > 1
	t.recovery.sourceUnknown = t.recovery.active && (!consecutive || len(roster.Previous) == 0)
	t.resetPulls()
}

func (t *Table) resetPulls() {
	for _, p := range t.peers {
		p.pull = rangePull{nonce: p.pull.nonce}
	}
}

// recoveryTimeElapsed reports whether everything prepared before recovery began has
// expired. Other members may have prepared calls under the old roster for one more Lease.
func (t *Table) recoveryTimeElapsed(now time.Duration) bool {
	return now-t.recovery.since > t.settings.Lease+t.longestTimeout()+2*t.settings.Lag
}

// canAnswer reports whether this replica knows enough to vote on the key.
func (t *Table) canAnswer(now time.Duration, k Key) bool {
	recovery := &t.recovery
	switch {
	case t.selfIndex < 0 || now-t.rosterAt > t.settings.Lease:
		return false
	case !recovery.active || t.recoveryTimeElapsed(now):
		return true
	case recovery.sourceUnknown:
		return false
	}
	candidates := recovery.previous
	if recovery.restarted {
		candidates = t.candidates
	}
	var replicas [maxReplicas]uint16
	n, known := selectReplicas(candidates, k, t.settings.Replicas, &replicas), 0
	for _, s := range replicas[:n] {
		id := candidates[s].nameHash
		switch p := t.byNameHash[id]; {
		case id == t.selfID && (recovery.restarted || !recovery.wasCaughtUp):
		case id == t.selfID, p != nil && p.pull.received&(1<<k.rangeIndex()) != 0:
			known++
		}
	}
	if recovery.restarted {
		// A majority that prepared a call may include this replica, which has lost its
		// entry. Only a set that intersects every majority minus this replica is enough.
		return known >= n-majority(n)+1
	}
	return known >= majority(n)
}

// caughtUp reports whether this replica can vote on all keys.
func (t *Table) caughtUp(now time.Duration) bool {
	if !t.recovery.active || t.recoveryTimeElapsed(now) {
		return true
	}
	if t.recovery.sourceUnknown {
		return false
	}
	for _, p := range t.peers {
		if p.nameHash != t.selfID && p.pull.received != allRangesMask {
			return false
		}
	}
	if t.recovery.restarted {
		return min(t.settings.Replicas, len(t.candidates)) > 1 // a sole replica has no peer to pull from
	}
	return t.recovery.wasCaughtUp || !t.wasCandidate()
}

func (t *Table) wasCandidate() bool {
	for _, s := range t.recovery.previous {
		if s.nameHash == t.selfID {
			return true
		}
	}
	return false
}

func (t *Table) tickRecovery(now time.Duration) {
	if !t.recovery.active {
		return
	}
	if t.recoveryTimeElapsed(now) {
		t.recovery.active = false
		return
	}
	for _, p := range t.peers {
		pull := &p.pull
		if p.nameHash == t.selfID || pull.received == allRangesMask || pull.requested != 0 &&
			now-pull.lastProgress <= 2*t.settings.Lag {
			continue
		}
		t.sendPull(now, p)
	}
}

func (t *Table) sendPull(now time.Duration, p *peer) {
	pull := &p.pull
	pull.requested, pull.incomplete = 0, 0
	pull.parts = [rangeCount][]bool{}
	for i, n := 0, 0; i < rangeCount && n < maxRangesPerPull; i++ {
		if pull.received&(1<<i) == 0 {
			pull.requested |= 1 << i
			n++
		}
	}
	if pull.requested == 0 {
		return
	}
	pull.nonce++
	pull.lastProgress = now
	b := binary.BigEndian.AppendUint64([]byte{recPullRanges}, pull.requested)
	t.enqueue(p, binary.BigEndian.AppendUint32(b, pull.nonce))
}

// servePull sends p the entries of the requested ranges that both replicate.
func (t *Table) servePull(now time.Duration, p *peer, mask uint64, nonce uint32) {
	peerIndex := -1
	for i, s := range t.candidates {
		if s.nameHash == p.nameHash {
			peerIndex = i
		}
	}
	var knowledge byte
	if !t.recovery.active || t.recovery.wasCaughtUp && !t.recovery.restarted || t.recoveryTimeElapsed(now) {
		knowledge |= partPreviousEpoch
	}
	if t.caughtUp(now) {
		knowledge |= partCurrentEpoch
	}
	var records [rangeCount][][]byte // records by range, split into messages
	var counts [rangeCount][]byte
	for i := range t.slotCount {
		e := t.entryAt(uint32(i))
		rangeIndex := e.key.rangeIndex()
		if e.state == stateFree || mask&(1<<rangeIndex) == 0 || peerIndex < 0 ||
			!e.hasReplica(uint16(peerIndex)) {
			continue
		}
		rec := appendEntry(t.scratch[:0], t.recordOf(now, e))
		n := len(records[rangeIndex])
		if n == 0 || len(records[rangeIndex][n-1])+len(rec) > MaxMessage-headerSize-partHeaderSize ||
			counts[rangeIndex][n-1] == 255 {
			records[rangeIndex] = append(records[rangeIndex], nil)
			counts[rangeIndex] = append(counts[rangeIndex], 0)
			n++
		}
		records[rangeIndex][n-1] = append(records[rangeIndex][n-1], rec...)
		counts[rangeIndex][n-1]++
	}
	for rangeIndex := range rangeCount {
		if mask&(1<<rangeIndex) == 0 {
			continue
		}
		n := max(1, len(records[rangeIndex]))
		for seq := range n {
			b := append([]byte{recRangePart}, byte(rangeIndex), knowledge)
			b = binary.BigEndian.AppendUint32(b, nonce)
			b = binary.BigEndian.AppendUint16(b, uint16(seq))
			b = binary.BigEndian.AppendUint16(b, uint16(min(n, 1<<16-1)))
			if len(records[rangeIndex]) == 0 {
				t.enqueue(p, append(b, 0))
				continue
			}
			t.enqueue(p, append(append(b, counts[rangeIndex][seq]), records[rangeIndex][seq]...))
		}
	}
}

// partHeaderSize is the size in bytes of a range part without its entries.
const partHeaderSize = 12

func (e *entry) hasReplica(index uint16) bool {
	for _, s := range e.replicas[:e.replicaCount()] {
		if s == index {
			return true
		}
	}
	return false
}

// mergePulledEntry merges an entry of a range part. It returns false if the table then
// lacks what the entry states: there is no room, or a prepared entry and a live one of
// different generations conflict, of which a replica can hold only one. The range is
// then pulled again until the outcome of the prepared entry is known.
func (t *Table) mergePulledEntry(now time.Duration, e *entryRecord) bool {
	_, existing := t.find(e.key)
	if existing != nil && existing.state != stateTombstone && existing.generation != e.generation &&
		e.state != stateTombstone &&
		(existing.state == Prepared || e.state == Prepared) {
		return false
	}
	notExpiring := e.idle <= t.timeout(e.class, e.state)-2*t.settings.Lag
	return t.merge(now, e) != mergeRejected || existing != nil || !notExpiring
}

// handlePart processes one part of a pulled range.
func (t *Table) handlePart(now time.Duration, p *peer, r *reader) {
	rangeIndex, knowledge, nonce := int(r.u8()), r.u8(), r.u32()
	part, parts, count := int(r.u16()), int(r.u16()), int(r.u8())
	if rangeIndex >= rangeCount || part >= parts {
		r.malformed = true
	}
	bit := uint64(1) << (rangeIndex & 63)
	pull := &p.pull
	// Entries are merged from any pull; only completeness is tracked per pull.
	for range count {
		if r.malformed || len(r.remaining) == 0 || r.u8() != recEntry {
			r.malformed = true
			return
		}
		e := r.entry()
		if !t.validateEntry(r, &e) {
			return
		}
		if !t.mergePulledEntry(now, &e) {
			pull.incomplete |= bit
		}
	}
	required := byte(partPreviousEpoch)
	if t.recovery.restarted {
		required = partCurrentEpoch
	}
	if r.malformed || !t.recovery.active || !p.sameEpoch || nonce != pull.nonce ||
		pull.requested&bit == 0 || knowledge&required == 0 {
		return
	}
	pull.lastProgress = now
	if pull.parts[rangeIndex] == nil {
		pull.parts[rangeIndex] = make([]bool, parts)
	}
	if len(pull.parts[rangeIndex]) != parts {
		return
	}
	pull.parts[rangeIndex][part] = true
	for _, ok := range pull.parts[rangeIndex] {
		if !ok {
			return
		}
	}
	if pull.incomplete&bit == 0 {
		pull.received |= bit
	}
	if pull.requested&^pull.received == 0 {
		t.sendPull(now, p)
		if pull.requested == 0 {
			pull.parts = [rangeCount][]bool{}
		}
	}
}
