package track

import (
	"encoding/binary"
	"time"
)

// The messages are a fixed layout of our own in big-endian order, not CBOR: there
// are a dozen records of a few numbers each, a member writes and reads some ten thousand
// a second, the size of a record has to be known before it is added to a message
// of bounded size, and a reader of fixed fields has nothing to allocate.
//
// A message is a header and any number of records. A change of a record's
// layout is a new version; members drop and count the versions they don't speak,
// so that a fleet with two versions is for tracking two fleets.
const version = 1

const headerSize = 58

// Bits of the header's flags.
const (
	flagWant = 1 << iota // the sender asks for a message back, to get an echo
	flagEcho             // Echo and Hold are set
)

type header struct {
	flags      byte
	from       uint64 // hash of the sender's name
	inc, toInc uint32 // incarnations of sender and receiver
	epoch      uint64
	stamp      uint64 // sender's clock, ns
	echo, hold uint64 // the receiver's latest stamp seen, and how long ago, ns
	clock      uint64 // the sender's logical clock (Lamport, CACM 1978): above all generations it knows
}

// The kinds of records.
const (
	recAsk byte = iota + 1
	recVote
	recWithdraw
	recCheck
	recEntry
	recAck
	recEndAsk
	recEndYes
	recEnd
	recSum
	recRanges
	recLine
	recWant
	recPull
	recPart
)

// ident is which use of a key is meant: the generation, and who opened it.
type ident struct {
	gen, owner uint64
	inc        uint32
}

func (a ident) compare(b ident) int {
	switch {
	case a == b:
		return 0
	case a.gen < b.gen, a.gen == b.gen && a.owner < b.owner,
		a.gen == b.gen && a.owner == b.owner && a.inc < b.inc:
		return -1
	}
	return 1
}

// What a vote says.
const (
	voteNone byte = iota
	voteYes
	voteKnown
	voteNo // see its reason
)

type vote struct {
	key      Key
	gen      uint64 // that was asked for
	says     byte
	reason   Reason
	comeBack time.Duration
	id       ident  // of the known entry
	where    string // of the known entry
	n        int
	vec      [maxReplicas]uint32 // incarnations of the replicas, as the voter knows them
}

// record is an entry on its way.
type record struct {
	key       Key
	id        ident
	class     byte
	state     State
	shared    bool
	ack       bool
	round     uint16
	idle, age time.Duration
	where     string
}

const bitShared, bitAck = 1, 2

func putKey(b []byte, k Key) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, k.hi), k.lo)
}

func putID(b []byte, id ident) []byte {
	b = binary.BigEndian.AppendUint64(b, id.gen)
	b = binary.BigEndian.AppendUint64(b, id.owner)
	return binary.BigEndian.AppendUint32(b, id.inc)
}

// putDuration writes whole milliseconds, rounded up and held to what fits: an idle
// of 49 days is over every time-out.
func putDuration(b []byte, d time.Duration) []byte {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return binary.BigEndian.AppendUint32(b, uint32(min(ms, 1<<32-1)))
}

func putString(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func putEntry(b []byte, r *record) []byte {
	b = putID(putKey(append(b, recEntry), r.key), r.id)
	flags := byte(0)
	if r.shared {
		flags |= bitShared
	}
	if r.ack {
		flags |= bitAck
	}
	b = append(b, r.class, byte(r.state), flags)
	b = binary.BigEndian.AppendUint16(b, r.round)
	return putString(putDuration(putDuration(b, r.idle), r.age), r.where)
}

func putVote(b []byte, v *vote) []byte {
	b = binary.BigEndian.AppendUint64(putKey(append(b, recVote), v.key), v.gen)
	b = putDuration(append(b, v.says, byte(v.reason)), v.comeBack)
	b = putString(putID(b, v.id), v.where)
	b = append(b, byte(v.n))
	for _, inc := range v.vec[:v.n] {
		b = binary.BigEndian.AppendUint32(b, inc)
	}
	return b
}

func putHeader(b []byte, h *header) []byte {
	b = append(b, version, h.flags)
	b = binary.BigEndian.AppendUint64(b, h.from)
	b = binary.BigEndian.AppendUint32(b, h.inc)
	b = binary.BigEndian.AppendUint32(b, h.toInc)
	for _, v := range [...]uint64{h.epoch, h.stamp, h.echo, h.hold, h.clock} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return b
}

// reader takes numbers off the front of a message. Once one is missing it is bad
// and gives zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || len(r.b) < n {
		r.bad = true
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reader) key() Key    { return Key{r.u64(), r.u64()} }
func (r *reader) id() ident   { return ident{r.u64(), r.u64(), r.u32()} }

func (r *reader) duration() time.Duration { return time.Duration(r.u32()) * time.Millisecond }

func (r *reader) text() string {
	n := int(r.u8())
	if n > MaxTarget {
		r.bad = true
	}
	if r.bad {
		return ""
	}
	return string(r.take(n))
}

func (r *reader) header() (h header) {
	h.flags = r.u8()
	h.from, h.inc, h.toInc = r.u64(), r.u32(), r.u32()
	h.epoch, h.stamp, h.echo, h.hold, h.clock = r.u64(), r.u64(), r.u64(), r.u64(), r.u64()
	return h
}

func (r *reader) entry() (e record) {
	e.key, e.id = r.key(), r.id()
	e.class, e.state = r.u8(), State(r.u8())
	flags := r.u8()
	e.shared, e.ack = flags&bitShared != 0, flags&bitAck != 0
	e.round = r.u16()
	e.idle, e.age = r.duration(), r.duration()
	e.where = r.text()
	if e.state == free || e.state > ended {
		r.bad = true
	}
	return e
}

func (r *reader) vote() (v vote) {
	v.key, v.gen, v.says, v.reason = r.key(), r.u64(), r.u8(), Reason(r.u8())
	v.comeBack, v.id, v.where = r.duration(), r.id(), r.text()
	v.n = int(r.u8())
	if v.n > maxReplicas || v.says == voteNone || v.says > voteNo || v.reason > BadRequest {
		r.bad = true
		return v
	}
	for i := range v.vec[:v.n] {
		v.vec[i] = r.u32()
	}
	return v
}
