package traffic

import (
	"encoding/binary"
)

// Message types of memberlist 0.7.0 (messageType in its net.go): the first byte of each message.
const (
	wirePing         = 0
	wireIndirectPing = 1
	wireAck          = 2
	wireSuspect      = 3
	wireAlive        = 4
	wireDead         = 5
	wirePushPull     = 6
	wireCompound     = 7
	wireUser         = 8
	wireNack         = 11
	wireChecksum     = 12
)

const (
	checksumHeaderBytes = 1 + 4 // type and CRC-32, before the message
	compoundHeaderBytes = 1 + 1 // type and number of messages
	lengthFieldBytes    = 2     // one length for each message, all before the first message
)

var kindByWireType = map[byte]Kind{
	wirePing:         Ping,
	wireIndirectPing: IndirectPing,
	wireAck:          Ack,
	wireNack:         Nack,
	wireSuspect:      Suspect,
	wireAlive:        Alive,
	wireDead:         Dead,
	wireUser:         User,
	wirePushPull:     PushPull,
}

// kindOf returns the kind of the message that starts with this byte.
func kindOf(first byte) Kind {
	if kind, known := kindByWireType[first]; known {
		return kind
	}
	return Other
}

// eachMessage calls visit for each message in a datagram. Malformed data counts as one message of
// kind Other.
func eachMessage(payload []byte, visit func(Kind)) {
	if len(payload) > checksumHeaderBytes && payload[0] == wireChecksum {
		payload = payload[checksumHeaderBytes:]
	}
	switch {
	case len(payload) == 0:
		visit(Other)
	case payload[0] == wireCompound:
		eachCompoundMessage(payload, visit)
	default:
		visit(kindOf(payload[0]))
	}
}

// eachCompoundMessage calls visit for each message inside a compound message.
func eachCompoundMessage(payload []byte, visit func(Kind)) {
	if len(payload) < compoundHeaderBytes {
		visit(Other)
		return
	}
	count := int(payload[1])
	lengths := payload[compoundHeaderBytes:]
	if count == 0 || len(lengths) < count*lengthFieldBytes {
		visit(Other)
		return
	}
	body := lengths[count*lengthFieldBytes:]
	for index := range count {
		length := int(binary.BigEndian.Uint16(lengths[index*lengthFieldBytes:]))
		if length == 0 || length > len(body) {
			visit(Other)
			return
		}
		visit(kindOf(body[0]))
		body = body[length:]
	}
}
