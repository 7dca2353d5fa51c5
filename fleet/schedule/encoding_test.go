package schedule_test

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowloft/fleet/schedule"
	"oxbowloft/fleet/window"
)

// fullAnswer returns an answer in which every field is set.
func fullAnswer() schedule.Answer {
	plan := window.Window{
		Request: window.Request{ID: "p1", Region: "r", Zone: "z", Amount: 5, Duration: time.Hour, EarliestStart: time.Minute,
			LatestEnd: 50 * time.Hour, Priority: 2, Notice: time.Second, Recallable: true},
		State: window.Refused, FirstStart: 1, Start: 2, End: 3, Fence: 4, Drained: 5, Serving: 6, Reason: "no room", EarliestFeasible: 7,
	}
	moved := plan
	moved.Request.Backends = []string{"b0", "b1"}
	return schedule.Answer{
		Answer: window.Answer{
			Index: 11, Now: time.Minute, Result: window.Invalid, Err: "window: ask", HasWindow: true, Window: plan,
			Events: []window.Event{{Kind: window.EventStartMoved, Window: moved,
				Scope: window.Scope{Region: "r", Zone: "z"}, Required: 30, Available: 29}},
		},
		OmittedEvents: 8,
	}
}

// fullAnswerBytes is fullAnswer as earlier builds encode it. Answers are stored, and
// voters of different builds read each other's, so a field encoded under another name
// would be lost.
const fullAnswerBytes = "a865496e6465780b634e6f771b0000000df847580066526573756c7405634572726b77696e646f773a2061736b654b6e6f77" +
	"6ef56657696e646f77aa6341736baa0162703102617204617a0505061b0000034630b8a000071b0000000df8475800081b00" +
	"00a3b5840f400009020a1a3b9aca000ef56553746174650b654669727374016553746172740263456e64036546656e636504" +
	"67447261696e6564056753657276696e670663576879676e6f20726f6f6d65436f756c6407664576656e747381a5644b696e" +
	"64016657696e646f77aa6341736bab01627031026172038262623062623104617a0505061b0000034630b8a000071b000000" +
	"0df8475800081b0000a3b5840f400009020a1a3b9aca000ef56553746174650b654669727374016553746172740263456e64" +
	"036546656e63650467447261696e6564056753657276696e670663576879676e6f20726f6f6d65436f756c64076553636f70" +
	"65a201617202617a65466c6f6f72181e6448617665181d644c65667408"

func TestAnswerKeepsItsEncoding(t *testing.T) {
	text, err := cbor.Marshal(fullAnswer())
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(text); got != fullAnswerBytes {
		t.Errorf("encoded as\n%s, want\n%s", got, fullAnswerBytes)
	}
	stored, err := hex.DecodeString(fullAnswerBytes)
	if err != nil {
		t.Fatal(err)
	}
	const version = 1
	got, err := schedule.Parse(append([]byte{version}, stored...))
	if err != nil || !reflect.DeepEqual(got, fullAnswer()) {
		t.Errorf("decoded as %+v, %v, want %+v", got, err, fullAnswer())
	}
}
