package member

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Wire format: a version in the first byte, then one CBOR array (RFC 8949). Decoders limit
// everything that they accept, since anyone with the key, or anyone at all if there is no
// key, can send.
const (
	wireVersion = 1

	maxNameBytes  = 64   // of a name or a zone
	maxAddrBytes  = 64   // of an address
	maxRecords    = 1536 // departed members in one exchanged state: enough for all members of a fleet of over a thousand
	maxStateBytes = 256 << 10
	// MaxPayload is the maximum payload of a message in bytes: with its own and memberlist's
	// headers, the message fits in one Ethernet frame.
	MaxPayload = 1024
)

// meta is the metadata that memberlist gossips with each member, at most 512 bytes.
type meta struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	RunID       uint64
	Zone        string
	Version     uint8
	Leaving     bool
}

// wireRecord is the wire form of a memberRecord. It carries an age instead of a time, since the clocks
// of two members can't be compared.
type wireRecord struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	RunID       uint64
	Addr        string
	State       memberState
	Age         uint64 // in milliseconds
}

// departedState holds the departed members that a member sends in a full exchange.
type departedState struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Records []wireRecord
}

type messageKind uint8

const (
	kindData   messageKind = iota // application message
	kindNotice                    // a record of the receiver's name
	messageKindCount
)

// message is one datagram.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	From        string
	Incarnation uint64
	RunID       uint64
	Payload     []byte      // kindData
	About       *wireRecord // kindTold
}

var (
	encoder = mustMode(cbor.EncOptions{}.EncMode())
	decoder = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: maxRecords,
		MaxMapPairs:      16,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

func mustMode[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}

var errEmpty = errors.New("empty")

func encode(v any) ([]byte, error) {
	body, err := encoder.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append([]byte{wireVersion}, body...), nil
}

func decode(buf []byte, limit int, v any) error {
	switch {
	case len(buf) == 0:
		return errEmpty
	case buf[0] != wireVersion:
		return fmt.Errorf("version %d is not supported", buf[0])
	case len(buf) > limit:
		return fmt.Errorf("%d bytes, %d at most", len(buf), limit)
	}
	return decoder.Unmarshal(buf[1:], v)
}

func readMeta(buf []byte) (m meta, err error) {
	if err = decode(buf, 512, &m); err == nil {
		switch {
		case m.Incarnation > maxIncarnation:
			err = fmt.Errorf("incarnation: %d is too high", m.Incarnation)
		case len(m.Zone) > maxNameBytes:
			err = fmt.Errorf("zone: %d bytes, %d at most", len(m.Zone), maxNameBytes)
		}
	}
	if err != nil {
		return meta{}, fmt.Errorf("member: meta: %w", err)
	}
	return m, nil
}

func (r *wireRecord) check() error {
	switch {
	case r.Name == "" || len(r.Name) > maxNameBytes:
		return fmt.Errorf("name: %d bytes, 1 to %d allowed", len(r.Name), maxNameBytes)
	case len(r.Addr) > maxAddrBytes:
		return fmt.Errorf("addr: %d bytes, %d at most", len(r.Addr), maxAddrBytes)
	case r.Incarnation > maxIncarnation:
		return fmt.Errorf("incarnation: %d is too high", r.Incarnation)
	case r.State > stateLeft:
		return fmt.Errorf("state: %d is not known", r.State)
	}
	return nil
}

// toRecord converts a wire record to a memberRecord on the receiver's clock.
func (r *wireRecord) toRecord(now clockTime) memberRecord {
	m := Member{Name: r.Name, Incarnation: r.Incarnation, RunID: r.RunID, Addr: r.Addr}
	age := time.Duration(min(r.Age, uint64(1<<40))) * time.Millisecond
	return memberRecord{Member: m, State: r.State, Since: now - age}
}

func toWireRecord(now clockTime, r memberRecord) wireRecord {
	wire := wireRecord{Name: r.Name, Incarnation: r.Incarnation, RunID: r.RunID, Addr: r.Addr, State: r.State}
	if r.departed() {
		wire.Age = uint64(max(0, now-r.Since) / time.Millisecond)
	}
	return wire
}

func readDepartedState(buf []byte) (m departedState, err error) {
	if err = decode(buf, maxStateBytes, &m); err == nil && len(m.From) > maxNameBytes {
		err = fmt.Errorf("from: %d bytes, %d at most", len(m.From), maxNameBytes)
	}
	for i := range m.Records {
		if err == nil {
			err = m.Records[i].check()
		}
		if err == nil && m.Records[i].State == stateAlive {
			err = errors.New("state: alive among the departed")
		}
	}
	if err != nil {
		return departedState{}, fmt.Errorf("member: state: %w", err)
	}
	return m, nil
}

func readMessage(buf []byte) (m message, err error) {
	if err = decode(buf, 1400, &m); err == nil {
		switch {
		case m.Kind >= messageKindCount:
			err = fmt.Errorf("kind: %d is not known", m.Kind)
		case m.From == "" || len(m.From) > maxNameBytes:
			err = fmt.Errorf("from: %d bytes, 1 to %d allowed", len(m.From), maxNameBytes)
		case len(m.Payload) > MaxPayload:
			err = fmt.Errorf("payload: %d bytes, %d at most", len(m.Payload), MaxPayload)
		case m.Kind == kindNotice && m.About == nil:
			err = errors.New("about: missing")
		case m.Kind == kindNotice:
			err = m.About.check()
		}
	}
	if err != nil {
		return message{}, fmt.Errorf("member: message: %w", err)
	}
	return m, nil
}
