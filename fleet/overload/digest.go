package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Limits of the two encoded forms of a digest: sizes in bytes and numbers of classes.
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

// Errors of ParseDigest, which wraps them with the details.
var (
	ErrVersion   = errors.New("unknown version")
	ErrMalformed = errors.New("malformed")
)

// Vector holds the rates, per second, of one member or the mean over the peers that a member hears.
// All values are finite and not negative.
type Vector struct {
	FirstAttempts    [MaxClasses]float64 // first attempts from clients, by class
	ServedCost       float64             // responses within the deadline, weighted by the cost of their class
	WeightedLatency  float64             // mean latency ratio (1: at the target) times ServedCost
	RefusedCost      float64             // first attempts refused by the own limit, weighted by cost
	Retries          float64             // retries of attempts that may have taken effect
	LimitShare       float64             // share of the concurrency limit that is held, in N-ths
	AdmittedFraction float64             // of the offered work that the fleet can serve, by estimate
}

// Digest is a message from one member to others: its own vector, the mean over the peers that it hears, and,
// in the long form only, values for operators and for the majority's agreement on unreachable members.
type Digest struct {
	Compact       bool
	Classes       int
	Sender        uint64 // hash of the sender's name
	Incarnation   uint64
	Sequence      uint32 // the sender's clock since its start, in units of 10 ms (tens of ms); only grows
	Episode       uint8  // number of the overload episode, in serial arithmetic (RFC 1982)
	Own, PeerMean Vector
	Recovered     []uint16 // hashes of backends whose half-open probe just succeeded

	Served, Refused             [MaxClasses]float64 // long form only, from here on
	Probes, SlowStart, InFlight float64
	UnreachableHash             uint64 // XOR of the hashes of the members that the sender sees as unreachable
}

// encodeValue encodes a value in 16 bits: 0, or its logarithm in steps of 0.04% from 1e-4 to 1e8. Values that
// no correct member sends have no code: NaN and negative values become 0, and too large ones the maximum.
func encodeValue(v float64) uint16 {
	if !(v >= minEncodable) {
		return 0
	}
	return uint16(min(math.MaxUint16, 1+math.Round(math.Log2(v/minEncodable)*stepsPerDoubling)))
}

const (
	minEncodable     = 1e-4
	stepsPerDoubling = 65534 / 40.0
)

func decodeValue(c uint16) float64 {
	if c == 0 {
		return 0
	}
	return minEncodable * math.Exp2(float64(c-1)/stepsPerDoubling)
}

// encodedFields returns the fields of a vector in the order of the encoding.
func (v *Vector) encodedFields(classes int) []*float64 {
	var all []*float64
	for c := range classes {
		all = append(all, &v.FirstAttempts[c])
	}
	return append(all,
		&v.ServedCost, &v.WeightedLatency, &v.RefusedCost, &v.Retries, &v.LimitShare, &v.AdmittedFraction)
}

// encodedValues returns all values of d that encodeValue encodes, in order.
func (d *Digest) encodedValues() []*float64 {
	all := append(d.Own.encodedFields(d.Classes), d.PeerMean.encodedFields(d.Classes)...)
	// The admitted fraction is agreed on between members that hear each other directly.
	all = all[:len(all)-1]
	if d.Compact {
		return all
	}
	for c := range d.Classes {
		all = append(all, &d.Served[c], &d.Refused[c])
	}
	return append(all, &d.Probes, &d.SlowStart, &d.InFlight)
}

// recoveredCapacity returns how many hashes of backends the form holds.
func (d *Digest) recoveredCapacity() int {
	if d.Compact {
		return 1
	}
	return maxRecovered
}

// Append appends the encoding of d to b. It panics on more classes than the form holds, which is a
// programming error.
func (d *Digest) Append(b []byte) []byte {
	if d.Classes < 1 || d.Classes > MaxClasses || d.Compact && d.Classes > MaxCompactClasses {
		panic(fmt.Sprintf("overload: a digest can't hold %d classes", d.Classes))
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
		var hash uint16
		if i < len(d.Recovered) {
			hash = d.Recovered[i]
		}
		b = binary.BigEndian.AppendUint16(b, hash)
	}
	if !d.Compact {
		b = binary.BigEndian.AppendUint64(b, d.UnreachableHash)
	}
	return b
}

// ParseDigest decodes a digest. Its values are finite and not negative, whatever the input is.
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
		return nil, fmt.Errorf("digest: %d bytes, expected %d: %w", len(b), want, ErrMalformed)
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
		if hash := binary.BigEndian.Uint16(b); hash != 0 {
			d.Recovered = append(d.Recovered, hash)
		}
		b = b[2:]
	}
	if !d.Compact {
		d.UnreachableHash = binary.BigEndian.Uint64(b)
	}
	return d, nil
}
