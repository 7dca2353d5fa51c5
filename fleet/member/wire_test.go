package member

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func wire(t testing.TB, v any) []byte {
	t.Helper()
	buf, err := encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return buf
}

func TestWireRoundTrips(t *testing.T) {
	m := meta{Incarnation: maxIncarnation, RunID: 1<<64 - 1, Zone: strings.Repeat("z", maxNameBytes), Version: 255, Leaving: true}
	buf := wire(t, m)
	if got, err := readMeta(buf); got != m || err != nil || len(buf) > 512 {
		t.Errorf("%+v, %v, %d bytes", got, err, len(buf))
	}
	l := wireRecord{Name: strings.Repeat("n", maxNameBytes), Incarnation: 2, RunID: 3, Addr: strings.Repeat("a", maxAddrBytes), State: stateLeft, Age: 4}
	s := departedState{From: "a"}
	for range maxRecords {
		s.Records = append(s.Records, l)
	}
	buf = wire(t, s)
	if got, err := readDepartedState(buf); !reflect.DeepEqual(got, s) || err != nil || len(buf) > maxStateBytes {
		t.Errorf("%v, %d bytes", err, len(buf))
	}
	for _, d := range []message{
		{From: l.Name, Incarnation: 1 << 47, RunID: 1<<64 - 1, Payload: make([]byte, MaxPayload)},
		{Kind: kindNotice, From: "a", About: &l},
	} {
		buf = wire(t, d)
		// Added by memberlist: type, checksum, version, and the cipher's nonce and tag.
		if got, err := readMessage(buf); !reflect.DeepEqual(got, d) || err != nil || len(buf)+1+5+1+12+16 > 1400 {
			t.Errorf("%v, %d bytes", err, len(buf))
		}
	}
}

func TestWireRejectsMalformed(t *testing.T) {
	long := strings.Repeat("x", 65)
	for want, err := range map[string]error{
		"member: meta: empty":           errorOf(readMeta(nil)),
		"member: meta: version 9":       errorOf(readMeta([]byte{9, 0x80})),
		"member: meta: 600 bytes":       errorOf(readMeta(append([]byte{1}, make([]byte, 599)...))),
		"member: meta: zone":            errorOf(readMeta(wire(t, meta{Zone: long}))),
		"member: meta: incarnation":     errorOf(readMeta(wire(t, meta{Incarnation: 1 << 49}))),
		"member: meta: cbor":            errorOf(readMeta([]byte{1, 0x82, 1, 1})),
		"member: state: from":           errorOf(readDepartedState(wire(t, departedState{From: long}))),
		"member: state: name":           errorOf(readDepartedState(wire(t, departedState{Records: []wireRecord{{}}}))),
		"member: state: state: alive":   errorOf(readDepartedState(wire(t, departedState{Records: []wireRecord{{Name: "a", State: stateAlive}}}))),
		"member: state: state: 9":       errorOf(readDepartedState(wire(t, departedState{Records: []wireRecord{{Name: "a", State: 9}}}))),
		"member: state: addr":           errorOf(readDepartedState(wire(t, departedState{Records: []wireRecord{{Name: "a", Addr: long}}}))),
		"member: state: incarnation":    errorOf(readDepartedState(wire(t, departedState{Records: []wireRecord{{Name: "a", Incarnation: 1 << 60}}}))),
		"member: state: cbor":           errorOf(readDepartedState(wire(t, departedState{Records: make([]wireRecord, maxRecords+1)}))),
		"member: message: from":         errorOf(readMessage(wire(t, message{}))),
		"member: message: kind":         errorOf(readMessage(wire(t, message{Kind: 7, From: "a"}))),
		"member: message: about":        errorOf(readMessage(wire(t, message{Kind: kindNotice, From: "a"}))),
		"member: message: payload":      errorOf(readMessage(wire(t, message{From: "a", Payload: make([]byte, MaxPayload+1)}))),
		"member: message: 1500 bytes":   errorOf(readMessage(append([]byte{1}, make([]byte, 1499)...))),
		"member: message: cbor: 2 byte": errorOf(readMessage(append(wire(t, message{From: "a"}), 0, 0))),
	} {
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

func errorOf[T any](_ T, err error) error { return err }

// checkReencoded checks that a decoded value, once encoded, decodes and encodes to the same bytes.
func checkReencoded[T any](t *testing.T, buf []byte, read func([]byte) (T, error)) {
	v, err := read(buf)
	if err != nil {
		return
	}
	one := wire(t, v)
	w, err := read(one)
	if err != nil {
		t.Fatalf("%x decodes to %+v, whose encoding is rejected: %v", buf, v, err)
	}
	if two := wire(t, w); !bytes.Equal(one, two) {
		t.Fatalf("encoded as %x, and after decoding as %x", one, two)
	}
}

func FuzzMeta(f *testing.F) {
	f.Add([]byte{})
	f.Add(wire(f, meta{Incarnation: 1, RunID: 1 << 63, Zone: "z", Version: 1}))
	f.Fuzz(func(t *testing.T, buf []byte) { checkReencoded(t, buf, readMeta) })
}

func FuzzState(f *testing.F) {
	f.Add(wire(f, departedState{From: "a", Records: []wireRecord{{Name: "b", Incarnation: 2, RunID: 3, State: stateDead, Age: 1 << 60}}}))
	f.Fuzz(func(t *testing.T, buf []byte) {
		checkReencoded(t, buf, readDepartedState)
		if m, err := readDepartedState(buf); err == nil { // and a roster can process it
			r := newRoster(0, testLimits, newMember("me", 0, 7), &actionRecorder{})
			r.JoinFinished(0)
			for i := range m.Records {
				r.MergeRemote(sec, m.From, []memberRecord{m.Records[i].toRecord(sec)})
			}
		}
	})
}

func FuzzMessage(f *testing.F) {
	f.Add(wire(f, message{From: "a", Incarnation: 1, RunID: 2, Payload: []byte("x")}))
	f.Add(wire(f, message{Kind: kindNotice, From: "a", About: &wireRecord{Name: "b"}}))
	f.Fuzz(func(t *testing.T, buf []byte) {
		checkReencoded(t, buf, readMessage)
		if m, err := readMessage(buf); err == nil && m.About != nil {
			r := newRoster(0, testLimits, newMember("me", 0, 7), &actionRecorder{})
			r.JoinFinished(0)
			r.SelfReported(sec, m.From, m.About.toRecord(sec))
		}
	})
}
