package traffic

import (
	"reflect"
	"testing"
)

func messagesOf(payload []byte) map[Kind]int {
	found := map[Kind]int{}
	eachMessage(payload, func(kind Kind) { found[kind]++ })
	return found
}

func TestMessagesOfDatagrams(t *testing.T) {
	checksum := []byte{wireChecksum, 1, 2, 3, 4}
	compound := []byte{wireCompound, 3, 0, 2, 0, 1, 0, 3, wirePing, 9, wireAlive, wireAlive, 9, 9}
	cases := map[string]struct {
		payload []byte
		want    map[Kind]int
	}{
		"ping":               {[]byte{wirePing, 9}, map[Kind]int{Ping: 1}},
		"nack":               {[]byte{wireNack}, map[Kind]int{Nack: 1}},
		"checksum":           {append(checksum, wireAck, 9), map[Kind]int{Ack: 1}},
		"compound":           {compound, map[Kind]int{Ping: 1, Alive: 2}},
		"checksum, compound": {append(checksum, compound...), map[Kind]int{Ping: 1, Alive: 2}},
		"empty":              {nil, map[Kind]int{Other: 1}},
		"checksum only":      {checksum, map[Kind]int{Other: 1}},
		"no count":           {[]byte{wireCompound}, map[Kind]int{Other: 1}},
		"no messages":        {[]byte{wireCompound, 0}, map[Kind]int{Other: 1}},
		"no lengths":         {[]byte{wireCompound, 2, 0, 1}, map[Kind]int{Other: 1}},
		"truncated part":     {[]byte{wireCompound, 2, 0, 1, 0, 2, wireDead, wireDead}, map[Kind]int{Dead: 1, Other: 1}},
		"empty part":         {[]byte{wireCompound, 1, 0, 0}, map[Kind]int{Other: 1}},
		"unknown":            {[]byte{200}, map[Kind]int{Other: 1}},
	}
	for name, c := range cases {
		if got := messagesOf(c.payload); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func FuzzEachMessage(f *testing.F) {
	f.Add([]byte{wireCompound, 1, 0, 1, wirePing})
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(messagesOf(payload)) == 0 {
			t.Errorf("no message counted in %v", payload)
		}
	})
}

func TestCountsSince(t *testing.T) {
	var counter direction
	counter.addDatagram([]byte{wirePing, 9})
	earlier := counter.read()
	counter.addDatagram([]byte{wireAck, 9, 9})
	counter.addStream(wirePushPull)
	counter.streamBytes.Add(10)

	since := counter.read().Sub(earlier)
	want := Counts{Datagrams: 1, DatagramBytes: 3, Streams: 1, StreamBytes: 10}
	want.Messages[Ack] = 1
	want.Messages[PushPull] = 1
	if since != want {
		t.Errorf("%+v, want %+v", since, want)
	}
	if since.Bytes() != 13 || since.TotalMessages() != 2 {
		t.Errorf("%d bytes and %d messages, want 13 and 2", since.Bytes(), since.TotalMessages())
	}
}
