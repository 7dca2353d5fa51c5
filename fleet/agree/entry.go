package agree

import (
	"encoding/binary"
	"fmt"
)

// entryVersion is the first byte of each command in the log. A voter that meets
// another stops: it can't skip what the others apply.
const entryVersion = 1

// entryKind says what a command in the log is.
type entryKind uint8

const (
	kindOpenSession entryKind = iota // of a session, which is named by the entry's index
	kindPropose                      // for the machine, once for each session and sequence
	kindTick                         // for the machine, if the term is still the one it is of
)

func (k entryKind) String() string { return [...]string{"open", "ask", "tick"}[k] }

// sessionEntry is one entry that an asker wants to be agreed.
type sessionEntry struct {
	Session   uint64 // as Voter.openSession returned it
	Seq       uint64 // of the session, from 1; the same each time this is asked again
	Confirmed uint64 // answers to this and all lower sequences have been had
	Data      []byte // for the machine, MaxEntry bytes at most
}

// command is what the log holds.
type command struct {
	kind  entryKind
	term  uint64       // of a tick
	entry sessionEntry // a tick has its entry alone
}

const commandHeaderSize = 1 + 1 + 4*8

func (c *command) encode() []byte {
	b := append(make([]byte, 0, commandHeaderSize+len(c.entry.Data)), entryVersion, byte(c.kind))
	for _, n := range [...]uint64{c.term, c.entry.Session, c.entry.Seq, c.entry.Confirmed} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return append(b, c.entry.Data...)
}

// decodeCommand reads a command. Its entry shares memory with b.
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
	for i, to := range [...]*uint64{&c.term, &c.entry.Session, &c.entry.Seq, &c.entry.Confirmed} {
		*to = binary.BigEndian.Uint64(b[2+8*i:])
	}
	c.entry.Data = b[commandHeaderSize:]
	return c, nil
}
