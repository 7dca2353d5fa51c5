package agree

import (
	"encoding/binary"
	"fmt"
)

// entryVersion is the first byte of each command in the log. A voter stops at a
// command of another version, because skipping what other voters apply would make
// its state diverge.
const entryVersion = 1

// entryKind is the type of a command in the log.
type entryKind uint8

const (
	kindOpenSession entryKind = iota // opens a session, whose ID is the index of the entry
	kindPropose                      // machine entry, applied once per session and sequence number
	kindTick                         // machine entry, applied only in the term in which it was proposed
)

func (k entryKind) String() string { return [...]string{"open", "ask", "tick"}[k] }

// sessionEntry is a machine entry proposed in a client's session.
type sessionEntry struct {
	Session   uint64 // ID returned by Voter.openSession
	Seq       uint64 // sequence number in the session, from 1; the same in each retry
	Confirmed uint64 // the client needs no answers up to this sequence number any more
	Data      []byte // entry for the machine, at most MaxEntry bytes
}

// command is the decoded content of a log entry.
type command struct {
	kind  entryKind
	term  uint64       // of a tick: the term in which it was proposed
	entry sessionEntry // a tick uses only Data
}

const commandHeaderSize = 1 + 1 + 4*8

func (c *command) encode() []byte {
	b := append(make([]byte, 0, commandHeaderSize+len(c.entry.Data)), entryVersion, byte(c.kind))
	for _, n := range [...]uint64{c.term, c.entry.Session, c.entry.Seq, c.entry.Confirmed} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return append(b, c.entry.Data...)
}

// decodeCommand decodes a command. Its entry data shares memory with b.
func decodeCommand(b []byte) (c command, err error) {
	if len(b) < commandHeaderSize {
		return c, fmt.Errorf("entry of %d bytes", len(b))
	}
	if b[0] != entryVersion {
		return c, fmt.Errorf("entry version %d, not %d", b[0], entryVersion)
	}
	if c.kind = entryKind(b[1]); c.kind > kindTick {
		return c, fmt.Errorf("entry kind %d", b[1])
	}
	for i, field := range [...]*uint64{&c.term, &c.entry.Session, &c.entry.Seq, &c.entry.Confirmed} {
		*field = binary.BigEndian.Uint64(b[2+8*i:])
	}
	c.entry.Data = b[commandHeaderSize:]
	return c, nil
}
