package traffic

import (
	"encoding/binary"
)

// The first byte of a message of memberlist 0.7.0 (net.go, messageType).
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
	checksumHead   = 1 + 4 // the type and a CRC-32, ahead of the message
	compoundHead   = 1 + 1 // the type and the number of messages
	compoundLength = 2     // of each message, ahead of all of them
)

var kindsOnWire = map[byte]Kind{
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

// kindOf returns the kind of a message by its first byte.
func kindOf(first byte) Kind {
	if kind, known := kindsOnWire[first]; known {
		return kind
	}
	return Other
}

// eachMessage calls found for each message of a datagram. What can't be read counts as one
// message of the kind Other.
func eachMessage(payload []byte, found func(Kind)) {
	if len(payload) > checksumHead && payload[0] == wireChecksum {
		payload = payload[checksumHead:]
	}
	switch {
	case len(payload) == 0:
		found(Other)
	case payload[0] == wireCompound:
		eachPart(payload, found)
	default:
		found(kindOf(payload[0]))
	}
}

// eachPart calls found for each message of a compound one.
func eachPart(payload []byte, found func(Kind)) {
	if len(payload) < compoundHead {
		found(Other)
		return
	}
	count := int(payload[1])
	lengths := payload[compoundHead:]
	if count == 0 || len(lengths) < count*compoundLength {
		found(Other)
		return
	}
	body := lengths[count*compoundLength:]
	for number := range count {
		length := int(binary.BigEndian.Uint16(lengths[number*compoundLength:]))
		if length == 0 || length > len(body) {
			found(Other)
			return
		}
		found(kindOf(body[0]))
		body = body[length:]
	}
}
