package track

import (
	"encoding/binary"
	"time"
)

// The messages have a fixed big-endian layout instead of CBOR: there are about a dozen
// record kinds of a few numbers each, a member writes and reads some ten thousand per
// second, a record's size must be known before it is added to a message of limited size,
// and decoding fixed fields needs no allocation.
//
// A message is a header and any number of records. Any change of a record's layout needs
// a new version. Members drop and count messages of other versions, so during an upgrade
// members of different versions track calls as if they were two separate fleets.
const version = 1 // of the message format

// headerSize is the encoded size of the header in bytes, version included.
const headerSize = 58

// Flags in the header.
const (
	flagReplyWanted = 1 << iota // the sender wants a message in reply, to get an echo
	flagEcho                    // echoedTimestamp and echoHoldTime are set
)

type header struct {
	flags                                  byte
	senderHash                             uint64 // hash of the sender's name
	senderIncarnation, receiverIncarnation uint32
	epoch                                  uint64
	timestamp                              uint64 // by the sender's clock, ns
	// The receiver's latest timestamp as seen by the sender, and the time since its arrival, in ns.
	echoedTimestamp, echoHoldTime uint64
	// The sender's logical clock (Lamport, CACM 1978), not below any generation it knows.
	logicalClock uint64
}

// Record kinds.
const (
	recPrepare byte = iota + 1
	recVote
	recWithdraw
	recQueryPrepared
	recEntry
	recAck
	recEndProposal
	recEndAgreement
	recEnd
	recDigest
	recRangeDigests
	recEntrySummary
	recRequestEntry
	recPullRanges
	recRangePart
)

// generationID identifies one use of a key: its generation number and who opened it.
type generationID struct {
	number, ownerID  uint64
	ownerIncarnation uint32
}

func (a generationID) compare(b generationID) int {
	switch {
	case a == b:
		return 0
	case a.number < b.number, a.number == b.number && a.ownerID < b.ownerID,
		a.number == b.number && a.ownerID == b.ownerID && a.ownerIncarnation < b.ownerIncarnation:
		return -1
	}
	return 1
}

// Decisions of a vote.
const (
	voteNone byte = iota
	voteYes
	voteExisting
	voteNo // for the vote's reason
)

type vote struct {
	key          Key
	requested    uint64 // generation number that the vote answers
	decision     byte
	reason       Reason
	retryAfter   time.Duration
	existing     generationID // of the entry in use
	target       string       // of the entry in use
	replicaCount int
	incarnations [maxReplicas]uint32 // of the replicas, as known to the voter
}

// entryRecord is an entry as sent in a message.
type entryRecord struct {
	key        Key
	generation generationID
	class      byte
	state      State
	retried    bool
	wantAck    bool
	round      uint16
	idle, age  time.Duration
	target     string
}

const bitRetried, bitWantAck = 1, 2

func appendKey(b []byte, k Key) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, k.hi), k.lo)
}

func appendGeneration(b []byte, id generationID) []byte {
	b = binary.BigEndian.AppendUint64(b, id.number)
	b = binary.BigEndian.AppendUint64(b, id.ownerID)
	return binary.BigEndian.AppendUint32(b, id.ownerIncarnation)
}

// appendDuration encodes whole milliseconds, rounded up and capped at the maximum of a
// uint32: 49 days, longer than every timeout.
func appendDuration(b []byte, d time.Duration) []byte {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return binary.BigEndian.AppendUint32(b, uint32(min(ms, 1<<32-1)))
}

func appendString(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendEntry(b []byte, r *entryRecord) []byte {
	b = appendGeneration(appendKey(append(b, recEntry), r.key), r.generation)
	flags := byte(0)
	if r.retried {
		flags |= bitRetried
	}
	if r.wantAck {
		flags |= bitWantAck
	}
	b = append(b, r.class, byte(r.state), flags)
	b = binary.BigEndian.AppendUint16(b, r.round)
	return appendString(appendDuration(appendDuration(b, r.idle), r.age), r.target)
}

func appendVote(b []byte, v *vote) []byte {
	b = binary.BigEndian.AppendUint64(appendKey(append(b, recVote), v.key), v.requested)
	b = appendDuration(append(b, v.decision, byte(v.reason)), v.retryAfter)
	b = appendString(appendGeneration(b, v.existing), v.target)
	b = append(b, byte(v.replicaCount))
	for _, inc := range v.incarnations[:v.replicaCount] {
		b = binary.BigEndian.AppendUint32(b, inc)
	}
	return b
}

func appendHeader(b []byte, h *header) []byte {
	b = append(b, version, h.flags)
	b = binary.BigEndian.AppendUint64(b, h.senderHash)
	b = binary.BigEndian.AppendUint32(b, h.senderIncarnation)
	b = binary.BigEndian.AppendUint32(b, h.receiverIncarnation)
	for _, v := range [...]uint64{h.epoch, h.timestamp, h.echoedTimestamp, h.echoHoldTime, h.logicalClock} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return b
}

// reader decodes values from the front of a message. When data is missing it sets
// malformed and returns zeros.
type reader struct {
	remaining []byte
	malformed bool
}

func (r *reader) take(n int) []byte {
	if r.malformed || len(r.remaining) < n {
		r.malformed = true
		return make([]byte, n)
	}
	out := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return out
}

func (r *reader) u8() byte                 { return r.take(1)[0] }
func (r *reader) u16() uint16              { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32              { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64              { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reader) key() Key                 { return Key{r.u64(), r.u64()} }
func (r *reader) generation() generationID { return generationID{r.u64(), r.u64(), r.u32()} }

func (r *reader) duration() time.Duration { return time.Duration(r.u32()) * time.Millisecond }

func (r *reader) text() string {
	n := int(r.u8())
	if n > MaxTarget {
		r.malformed = true
	}
	if r.malformed {
		return ""
	}
	return string(r.take(n))
}

func (r *reader) header() (h header) {
	h.flags = r.u8()
	h.senderHash, h.senderIncarnation, h.receiverIncarnation = r.u64(), r.u32(), r.u32()
	h.epoch, h.timestamp, h.echoedTimestamp, h.echoHoldTime, h.logicalClock = r.u64(), r.u64(), r.u64(),
		r.u64(), r.u64()
	return h
}

func (r *reader) entry() (e entryRecord) {
	e.key, e.generation = r.key(), r.generation()
	e.class, e.state = r.u8(), State(r.u8())
	flags := r.u8()
	e.retried, e.wantAck = flags&bitRetried != 0, flags&bitWantAck != 0
	e.round = r.u16()
	e.idle, e.age = r.duration(), r.duration()
	e.target = r.text()
	if e.state == stateFree || e.state > stateTombstone {
		r.malformed = true
	}
	return e
}

func (r *reader) vote() (v vote) {
	v.key, v.requested, v.decision, v.reason = r.key(), r.u64(), r.u8(), Reason(r.u8())
	v.retryAfter, v.existing, v.target = r.duration(), r.generation(), r.text()
	v.replicaCount = int(r.u8())
	if v.replicaCount > maxReplicas || v.decision == voteNone || v.decision > voteNo || v.reason > BadRequest {
		r.malformed = true
		return v
	}
	for i := range v.incarnations[:v.replicaCount] {
		v.incarnations[i] = r.u32()
	}
	return v
}
