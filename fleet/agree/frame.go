package agree

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Clients and voters exchange frames over TCP:
//
//	length of the rest (4 bytes, big-endian), version (1 byte), CBOR of a request or reply
//
// A client sends requests, each with its own ID. The voter replies in any order; each
// reply has the ID of its request.
const (
	wireVersion     = 1
	maxFrame        = 128 << 10 // bytes after the length field: MaxEntry and room for the other fields
	frameHeaderSize = 4
)

// requestKind is the type of a request on the wire.
type requestKind uint8

const (
	requestPing requestKind = iota + 1
	requestHello
	requestOpenSession
	requestPropose
	requestRead
	requestSubscribe   // replaces the connection's previous subscription
	requestAddVoter    // uses Name and Address
	requestRemoveVoter // uses Name
)

// request is a message from a client to a voter.
type request struct {
	Kind      requestKind `cbor:"1,keyasint"`
	ID        uint64      `cbor:"2,keyasint"`
	Session   uint64      `cbor:"3,keyasint,omitempty"`
	Seq       uint64      `cbor:"4,keyasint,omitempty"`
	Confirmed uint64      `cbor:"5,keyasint,omitempty"`
	From      uint64      `cbor:"6,keyasint,omitempty"` // first index of a subscription
	Timeout   int64       `cbor:"7,keyasint,omitempty"` // of the client, in ms; 0: none
	Body      []byte      `cbor:"8,keyasint,omitempty"` // the entry or the query
	Name      string      `cbor:"9,keyasint,omitempty"`
	Address   string      `cbor:"10,keyasint,omitempty"`
}

// reply is a message from a voter to a client.
type reply struct {
	ID         uint64     `cbor:"1,keyasint"`
	Code       resultCode `cbor:"2,keyasint,omitempty"`
	Index      uint64     `cbor:"3,keyasint,omitempty"`
	Body       []byte     `cbor:"4,keyasint,omitempty"`
	Text       string     `cbor:"5,keyasint,omitempty"` // the leader's address, or the reason of codeBadRequest
	RetryAfter int64      `cbor:"6,keyasint,omitempty"` // delay before the next attempt, in ms
	Hello      *hello     `cbor:"7,keyasint,omitempty"`
}

var (
	encMode         = mustMode(cbor.CoreDetEncOptions().EncMode())
	decMode         = mustMode(decOptions(16).DecMode())
	snapshotDecMode = mustMode(decOptions(1 << 20).DecMode())
)

// decOptions returns strict options: no indefinite lengths, tags, duplicate keys or unknown
// fields, and limits on nesting and on the number of elements.
func decOptions(maxArrayElements int) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  max(maxArrayElements, 16),
		MaxMapPairs:       16,
	}
}

func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(err) // the options are constant, so this can't happen
	}
	return m
}

// encodeFrame encodes m as a frame.
func encodeFrame(m any) ([]byte, error) {
	b := bytes.NewBuffer(make([]byte, frameHeaderSize, 256))
	b.WriteByte(wireVersion)
	if err := encMode.NewEncoder(b).Encode(m); err != nil {
		return nil, fmt.Errorf("agree: message: %w", err)
	}
	frame := b.Bytes()
	if len(frame)-frameHeaderSize > maxFrame {
		return nil, ErrTooLong
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderSize))
	return frame, nil
}

// errMalformedFrame is wrapped by errors of malformed frames, as opposed to errors of the connection.
var errMalformedFrame = errors.New("agree: bad frame")

// readFrame reads a frame into m, a *request or *reply. Memory is allocated for the
// bytes received, not for the length announced. An error that wraps errMalformedFrame means
// that the sender sent a malformed frame. onFirstByte is called after the first byte.
func readFrame(r io.Reader, m any, onFirstByte func()) error {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:1]); err != nil {
		return err
	}
	onFirstByte()
	if _, err := io.ReadFull(r, head[1:]); err != nil {
		return toUnexpectedEOF(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 2 || size > maxFrame {
		return fmt.Errorf("%w: %d bytes", errMalformedFrame, size)
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, int64(size)); err != nil {
		return toUnexpectedEOF(err)
	}
	if version := b.Bytes()[0]; version != wireVersion {
		return fmt.Errorf("%w: version %d, not %d", errMalformedFrame, version, wireVersion)
	}
	if err := decMode.Unmarshal(b.Bytes()[1:], m); err != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return nil
}

func toUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
