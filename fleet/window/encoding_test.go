package window_test

import (
	"bytes"
	"encoding/hex"
	"testing"
	"time"

	"oxbowloft/fleet/window"
)

// storedSnapshot is a snapshot as earlier builds write it. Snapshots are stored, and
// voters of different builds exchange them, so a field encoded under another name would
// be lost.
const storedSnapshot = "01a801a767486973746f72790667486f72697a6f6e1b00009d29229e0000674d61785469636b1b000000012a05f200674f76" +
	"657272756e1b0000000df8475800684d6178506c616e73076a4d617853657276696e67096b4d61784261636b656e64730802" +
	"05031ab2d05e0004010582a70162623002617203617a040a051b0000000df84758000619012c07f5a7016262310261720361" +
	"7a0414051b0000000df84758000619012c0cf50781a201a10161720282a10205a2011b0000034630b8a00002060881ae0162" +
	"70310261720381626230061b0000034630b8a000081b000082f79cd9000009010a1a3b9aca000ef515021601171a3b9aca00" +
	"18181ab2d05e0018191b00000346e388fe00181a1914000981a80162703202617204617a051903e8061b0000034630b8a000" +
	"081b000082f79cd90000150b181e783d6e6f20726f6f6d3a20616c6c20776f756c642068617665202d393730206174203164" +
	"30313a30303a303020616e642069747320666c6f6f722069732030"

func TestSnapshotKeepsItsEncoding(t *testing.T) {
	m, err := window.New(window.Settings{MaxTick: 5 * time.Second, Overrun: time.Minute, Horizon: 48 * time.Hour,
		MaxPlans: 7, MaxBackends: 8, MaxServing: 9, History: 6})
	if err != nil {
		t.Fatal(err)
	}
	for i, e := range []window.Entry{
		window.PutBackends{Put: []window.Backend{
			{ID: "b0", Region: "r", Zone: "z", Size: 10, WarmUpTime: time.Minute, InitialPermille: 300, SkipWarmUp: true},
			{ID: "b1", Region: "r", Zone: "z", Size: 20, WarmUpTime: time.Minute, InitialPermille: 300},
		}},
		window.SetFloor{Scope: window.Scope{Region: "r"}, Steps: []window.Step{{Capacity: 5}, {From: time.Hour, Capacity: 6}}},
		window.Request{ID: "p1", Region: "r", Backends: []string{"b0"}, Duration: time.Hour, LatestEnd: 40 * time.Hour,
			Priority: 1, Notice: time.Second, Recallable: true},
		window.Request{ID: "p2", Region: "r", Zone: "z", Amount: 1000, Duration: time.Hour, LatestEnd: 40 * time.Hour},
		window.Tick{Elapsed: 3 * time.Second},
	} {
		text, err := window.Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		m.Apply(uint64(i+1), text)
	}
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(text); got != storedSnapshot {
		t.Errorf("encoded as\n%s, want\n%s", got, storedSnapshot)
	}
	stored, err := hex.DecodeString(storedSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := window.Restore(stored)
	if err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(again, stored) {
		t.Errorf("decoded and encoded again as\n%x, %v, want\n%x", again, err, stored)
	}
}
