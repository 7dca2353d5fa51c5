package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Sizes of an encoded digest, in bytes, and the classes that each form holds.
const (
	MaxDigestSize     = 256
	MaxCompactSize    = 64
	MaxClasses        = 8
	MaxCompactClasses = 4
	maxRecovered      = 4

	digestVersion = 1
	compactBit    = 0x80
	headerSize    = 23
)

// Errors of reading a digest. What is wrong with which part is wrapped round them.
var (
	ErrVersion   = errors.New("unknown version")
	ErrMalformed = errors.New("malformed")
)

// Vector is what a member says of itself, or of the mean of those that it hears, a second.
// All parts are finite and not negative.
type Vector struct {
	FirstAttempts    [MaxClasses]float64 // first tries that clients offered, by class
	ServedCost       float64             // answers in time, each counted at its class's cost
	WeightedLatency  float64             // mean strain, 1 at its target, times Work
	RefusedCost      float64             // first tries that the own limit turned away, at their class's cost
	Retries          float64             // attempts made again though the one before may have run
	LimitShare       float64             // part of the shared limit that is held, in N-ths
	AdmittedFraction float64             // share of the work offered that the sender takes the fleet to bear
}

// Digest is one message of a member to others: its own vector, the mean over those it hears, and, in the
// long form alone, what operators and the count of a majority want.
type Digest struct {
	Compact       bool
	Classes       int
	Sender        uint64 // hash of the name
	Incarnation   uint64
	Sequence      uint32 // tens of ms of the sender's own clock since its start; only grows
	Episode       uint8  // number of the spell of overload, by serial arithmetic (RFC 1982)
	Own, PeerMean Vector
	Recovered     []uint16 // hashes of backends whose trial just served

	Served, Refused             [MaxClasses]float64 // long form from here on
	Probes, SlowStart, InFlight float64
	UnreachableHash             uint64 // of the members that the sender sees gone: their hashes, xor
}

// code is a value on 16 bits: 0, or its logarithm in steps of 0.04% from 1e-4 to 1e8. What no honest
// member says has no code: not a number and below nothing become 0, and too much becomes the most.
func encodeValue(v float64) uint16 {
	if !(v >= minEncodable) {
		return 0
	}
	return uint16(min(math.MaxUint16, 1+math.Round(math.Log2(v/minEncodable)*stepsPerDoubling)))
}

const (
	minEncodable     = 1e-4
	stepsPerDoubling = 65534 / 40.0 // to a doubling
)

func decodeValue(c uint16) float64 {
	if c == 0 {
		return 0
	}
	return minEncodable * math.Exp2(float64(c-1)/stepsPerDoubling)
}

// fields are the parts of a vector that travel, in order.
func (v *Vector) encodedFields(classes int) []*float64 {
	var all []*float64
	for c := range classes {
		all = append(all, &v.FirstAttempts[c])
	}
	return append(all, &v.ServedCost, &v.WeightedLatency, &v.RefusedCost, &v.Retries, &v.LimitShare, &v.AdmittedFraction)
}

// values are all coded parts of d, in order, but for the hashes.
func (d *Digest) encodedValues() []*float64 {
	all := append(d.Own.encodedFields(d.Classes), d.PeerMean.encodedFields(d.Classes)...)
	all = all[:len(all)-1] // a level is agreed on by those heard alone
	if d.Compact {
		return all
	}
	for c := range d.Classes {
		all = append(all, &d.Served[c], &d.Refused[c])
	}
	return append(all, &d.Probes, &d.SlowStart, &d.InFlight)
}

// backs is how many hashes of backends the form holds.
func (d *Digest) recoveredCapacity() int {
	if d.Compact {
		return 1
	}
	return maxRecovered
}

// Append appends the encoding of d to b. It panics on more classes than the form holds, which only a
// programming error makes.
func (d *Digest) Append(b []byte) []byte {
	if d.Classes < 1 || d.Classes > MaxClasses || d.Compact && d.Classes > MaxCompactClasses {
		panic(fmt.Sprintf("overload: a digest of %d classes", d.Classes))
	}
	form := byte(d.Classes)
	if d.Compact {
		form |= compactBit
	}
	b = append(b, digestVersion, form)
	b = binary.BigEndian.AppendUint64(b, d.Sender)
	b = binary.BigEndian.AppendUint64(b, d.Incarnation)
	b = binary.BigEndian.AppendUint32(b, d.Sequence)
	b = append(b, d.Episode)
	for _, v := range d.encodedValues() {
		b = binary.BigEndian.AppendUint16(b, encodeValue(*v))
	}
	for i := range d.recoveredCapacity() {
		var back uint16
		if i < len(d.Recovered) {
			back = d.Recovered[i]
		}
		b = binary.BigEndian.AppendUint16(b, back)
	}
	if !d.Compact {
		b = binary.BigEndian.AppendUint64(b, d.UnreachableHash)
	}
	return b
}

// ParseDigest reads an encoded digest. Its values are finite and not negative, whatever the bytes are.
func ParseDigest(b []byte) (*Digest, error) {
	if len(b) < headerSize {
		return nil, fmt.Errorf("digest: %d bytes: %w", len(b), ErrMalformed)
	}
	if b[0] != digestVersion {
		return nil, fmt.Errorf("digest: version %d: %w", b[0], ErrVersion)
	}
	d := &Digest{Compact: b[1]&compactBit != 0, Classes: int(b[1] &^ compactBit)}
	if d.Classes < 1 || d.Classes > MaxClasses || d.Compact && d.Classes > MaxCompactClasses {
		return nil, fmt.Errorf("digest: %d classes: %w", d.Classes, ErrMalformed)
	}
	values := d.encodedValues()
	want := headerSize + 2*len(values) + 2*d.recoveredCapacity()
	if !d.Compact {
		want += 8
	}
	if len(b) != want {
		return nil, fmt.Errorf("digest: %d bytes where %d are due: %w", len(b), want, ErrMalformed)
	}
	d.Sender = binary.BigEndian.Uint64(b[2:])
	d.Incarnation = binary.BigEndian.Uint64(b[10:])
	d.Sequence = binary.BigEndian.Uint32(b[18:])
	d.Episode = b[22]
	b = b[headerSize:]
	for _, v := range values {
		*v, b = decodeValue(binary.BigEndian.Uint16(b)), b[2:]
	}
	for range d.recoveredCapacity() {
		if back := binary.BigEndian.Uint16(b); back != 0 {
			d.Recovered = append(d.Recovered, back)
		}
		b = b[2:]
	}
	if !d.Compact {
		d.UnreachableHash = binary.BigEndian.Uint64(b)
	}
	return d, nil
}
