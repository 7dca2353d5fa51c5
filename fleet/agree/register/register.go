// Package register is a small agree.Machine for tests. It has numbered registers
// that can be set, added to and read, and the sum of the time in its ticks.
package register

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Operations, the first byte of an entry or a query.
const (
	opGet byte = iota
	opSet
	opAdd
	opTick
)

const (
	entrySize = 1 + 1 + 8 // operation, register, operand
	registers = 256
)

// Set returns the entry that sets a register; the answer is its previous value.
func Set(register byte, value uint64) []byte { return entry(opSet, register, value) }

// Add returns the entry that adds to a register; the answer is its new value.
func Add(register byte, n uint64) []byte { return entry(opAdd, register, n) }

// Get returns the entry, or the query, whose answer is the value of a register.
func Get(register byte) []byte { return entry(opGet, register, 0) }

// Tick returns the entry that adds to the elapsed time; it has no answer.
func Tick(passed time.Duration) []byte { return entry(opTick, 0, uint64(max(passed, 0))) }

// Elapsed returns the query whose answer is the sum of the time in all ticks, in ns.
func Elapsed() []byte { return entry(opTick, 0, 0) }

func entry(op, register byte, n uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{op, register}, n)
}

// Value decodes an answer.
func Value(answer []byte) (uint64, error) {
	if len(answer) != 8 {
		return 0, fmt.Errorf("register: answer of %d bytes", len(answer))
	}
	return binary.BigEndian.Uint64(answer), nil
}

// Machine holds the registers and the elapsed time.
type Machine struct {
	values  [registers]uint64
	elapsed uint64 // ns
}

// New returns a machine with all registers 0.
func New() *Machine { return &Machine{} }

// Apply applies an entry. The answer to a malformed entry is empty.
func (m *Machine) Apply(_ uint64, e []byte) []byte {
	if len(e) != entrySize {
		return nil
	}
	r, n := &m.values[e[1]], binary.BigEndian.Uint64(e[2:])
	answer := *r
	switch e[0] {
	case opGet:
	case opSet:
		*r = n
	case opAdd:
		*r += n
		answer = *r
	case opTick:
		m.elapsed += n
		return nil
	default:
		return nil
	}
	return binary.BigEndian.AppendUint64(nil, answer)
}

// Query answers Get and Elapsed. The answer to a malformed query is empty.
func (m *Machine) Query(q []byte) []byte {
	if len(q) != entrySize {
		return nil
	}
	value := m.values[q[1]]
	if q[0] == opTick {
		value = m.elapsed
	}
	return binary.BigEndian.AppendUint64(nil, value)
}

// Snapshot encodes all registers and the elapsed time.
func (m *Machine) Snapshot() []byte {
	b := make([]byte, 0, 8*(registers+1))
	for _, v := range m.values {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return binary.BigEndian.AppendUint64(b, m.elapsed)
}

// Restore replaces the state by one that Snapshot encoded.
func (m *Machine) Restore(b []byte) error {
	if len(b) != 8*(registers+1) {
		return errors.New("register: snapshot of the wrong length")
	}
	for i := range m.values {
		m.values[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	m.elapsed = binary.BigEndian.Uint64(b[8*registers:])
	return nil
}
