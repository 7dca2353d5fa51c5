package agree

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Askers and voters speak in frames over TCP:
//
//	length of the rest (4 bytes, big-endian), version (1 byte), CBOR of a request or reply
//
// The asker sends requests, each with a number of its own; the voter answers in
// any order, each reply with the number of its request.
const (
	wireVersion     = 1
	maxFrame        = 128 << 10 // bytes after the length: MaxEntry, and room for what goes with it
	frameHeaderSize = 4
)

// ask kinds on the wire.
type requestKind uint8

const (
	requestPing requestKind = iota + 1
	requestHello
	requestOpenSession
	requestPropose
	requestRead
	requestSubscribe   // replaces the connection's earlier one
	requestAddVoter    // a voter: Name at Address
	requestRemoveVoter // the voter Name
)

// request is what an asker sends.
type request struct {
	Kind      requestKind `cbor:"1,keyasint"`
	ID        uint64      `cbor:"2,keyasint"`
	Session   uint64      `cbor:"3,keyasint,omitempty"`
	Seq       uint64      `cbor:"4,keyasint,omitempty"`
	Confirmed uint64      `cbor:"5,keyasint,omitempty"`
	From      uint64      `cbor:"6,keyasint,omitempty"` // first index subscribed to
	Timeout   int64       `cbor:"7,keyasint,omitempty"` // ms for which the asker waits
	Body      []byte      `cbor:"8,keyasint,omitempty"` // entry or query
	Name      string      `cbor:"9,keyasint,omitempty"`
	Address   string      `cbor:"10,keyasint,omitempty"`
}

// reply is what a voter answers.
type reply struct {
	ID         uint64 `cbor:"1,keyasint"`
	Code       code   `cbor:"2,keyasint,omitempty"`
	Index      uint64 `cbor:"3,keyasint,omitempty"`
	Body       []byte `cbor:"4,keyasint,omitempty"`
	Text       string `cbor:"5,keyasint,omitempty"` // the leader's address, or what is wrong
	RetryAfter int64  `cbor:"6,keyasint,omitempty"` // ms
	Hello      *hello `cbor:"7,keyasint,omitempty"`
}

var (
	encMode         = mustMode(cbor.CoreDetEncOptions().EncMode())
	decMode         = mustMode(decOptions(16).DecMode())
	snapshotDecMode = mustMode(decOptions(1 << 20).DecMode())
)

// decOptions are strict: one form for each message, and no deep or wide ones.
func decOptions(most int) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  max(most, 16),
		MaxMapPairs:       16,
	}
}

func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

// encodeFrame returns m in a frame.
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

// errFrame is what is wrong with the bytes of a frame, not with the connection.
var errFrame = errors.New("agree: bad frame")

// readFrame reads one frame into m, a *request or *reply. Memory grows with what
// has come, not with what the length promises. An error that is errFrame is the
// sender's fault. begun is called once the first byte is there.
func readFrame(r io.Reader, m any, begun func()) error {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:1]); err != nil {
		return err
	}
	begun()
	if _, err := io.ReadFull(r, head[1:]); err != nil {
		return toUnexpectedEOF(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 2 || size > maxFrame {
		return fmt.Errorf("%w: %d bytes", errFrame, size)
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, int64(size)); err != nil {
		return toUnexpectedEOF(err)
	}
	if version := b.Bytes()[0]; version != wireVersion {
		return fmt.Errorf("%w: version %d, not %d", errFrame, version, wireVersion)
	}
	if err := decMode.Unmarshal(b.Bytes()[1:], m); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}

func toUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
