// Package traffic counts the messages and bytes that a member sends and receives. Its counters
// wrap the transport that memberlist uses.
package traffic

import (
	"sync/atomic"
)

// Kind is the kind of a memberlist message.
type Kind uint8

// The kinds of message.
const (
	Ping Kind = iota
	IndirectPing
	Ack
	Nack
	Suspect
	Alive
	Dead
	User     // user message, sent by fleet/member
	PushPull // one side of a full state exchange, over a connection
	Other    // encrypted, compressed, malformed or of unknown type
	KindCount
)

var kindNames = [KindCount]string{
	"ping", "indirect_ping", "ack", "nack", "suspect", "alive", "dead", "user", "push_pull", "other",
}

// String returns the name used in results.
func (k Kind) String() string { return kindNames[k] }

// Counts is the traffic that one member sent or received.
type Counts struct {
	Datagrams     uint64
	DatagramBytes uint64 // payload only, without UDP and IP headers
	Streams       uint64 // connections, whichever side opened them
	StreamBytes   uint64
	Messages      [KindCount]uint64 // several may share a datagram
}

// Bytes returns the number of bytes in datagrams and on connections.
func (c Counts) Bytes() uint64 { return c.DatagramBytes + c.StreamBytes }

// TotalMessages returns the number of messages of all kinds.
func (c Counts) TotalMessages() uint64 {
	var sum uint64
	for _, count := range c.Messages {
		sum += count
	}
	return sum
}

// Sub returns the difference to earlier counts of the same member.
func (c Counts) Sub(earlier Counts) Counts {
	c.Datagrams -= earlier.Datagrams
	c.DatagramBytes -= earlier.DatagramBytes
	c.Streams -= earlier.Streams
	c.StreamBytes -= earlier.StreamBytes
	for kind := range c.Messages {
		c.Messages[kind] -= earlier.Messages[kind]
	}
	return c
}

// Counter counts the traffic of one member, across restarts of the member. It is safe for
// concurrent use.
type Counter struct {
	sent     direction
	received direction
}

// Sent returns what the member has sent since its first start.
func (c *Counter) Sent() Counts { return c.sent.read() }

// Received returns what the member has received since its first start.
func (c *Counter) Received() Counts { return c.received.read() }

// direction counts the traffic of one direction.
type direction struct {
	datagrams, datagramBytes atomic.Uint64
	streams, streamBytes     atomic.Uint64
	messages                 [KindCount]atomic.Uint64
}

func (d *direction) read() Counts {
	counts := Counts{
		Datagrams:     d.datagrams.Load(),
		DatagramBytes: d.datagramBytes.Load(),
		Streams:       d.streams.Load(),
		StreamBytes:   d.streamBytes.Load(),
	}
	for kind := range counts.Messages {
		counts.Messages[kind] = d.messages[kind].Load()
	}
	return counts
}

// addDatagram counts a datagram and the messages in it.
func (d *direction) addDatagram(payload []byte) {
	d.datagrams.Add(1)
	d.datagramBytes.Add(uint64(len(payload)))
	eachMessage(payload, func(kind Kind) { d.messages[kind].Add(1) })
}
