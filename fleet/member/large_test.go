package member

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// manyMembers is over a thousand, as a large fleet has.
const manyMembers = 1100

// longestLife is a departed life whose fields take as many bytes as they may.
func longestRecord(number int) wireRecord {
	name := fmt.Sprintf("%04d", number)
	return wireRecord{
		Name:        name + strings.Repeat("n", maxNameBytes-len(name)),
		Incarnation: maxIncarnation,
		RunID:       math.MaxUint64,
		Addr:        strings.Repeat("a", maxAddrBytes),
		State:       stateLeft,
		Age:         math.MaxUint64,
	}
}

// The departed lives of a large fleet go in one state, in all forms that their fields may
// have. Guards against a state that its readers refuse, by which nobody hears of any.
func TestManyDepartedInOneExchange(t *testing.T) {
	for name, count := range map[string]int{"a large fleet": manyMembers, "the bound": maxRecords} {
		all := departedState{From: strings.Repeat("f", maxNameBytes)}
		for number := range count {
			all.Records = append(all.Records, longestRecord(number))
		}
		buf := wire(t, all)
		got, err := readDepartedState(buf)
		if err != nil || !reflect.DeepEqual(got, all) {
			t.Errorf("%s: %d records in %d bytes: read %d, %v", name, count, len(buf), len(got.Records), err)
		}
	}
}

// A roster knows all members of a large fleet, and remembers each of them once all have gone.
// Guards against a life that comes back unnoticed because its end was forgotten for others'.
func TestRosterOfManyMembers(t *testing.T) {
	limits := rosterLimits{PauseThreshold: time.Hour, DepartedRetention: departedRetention, MaxDeparted: maxRecords}
	r := newRoster(0, limits, mem("self", 0, 1), &actionRecorder{})
	r.JoinFinished(0)
	var others []Member
	for number := range manyMembers {
		others = append(others, mem(fmt.Sprintf("member-%04d", number), 1, uint64(number)))
	}
	for _, m := range others {
		r.Alive(sec, m)
	}
	if got := len(r.Members()); got != manyMembers+1 {
		t.Errorf("%d members, want %d with oneself", got, manyMembers+1)
	}
	for number, m := range others {
		r.Died(sec+clockTime(number), m)
	}
	if got := len(r.Departed()); got != manyMembers {
		t.Errorf("%d departed lives are remembered, want %d", got, manyMembers)
	}
	if got := r.CheckSender(others[0].Name, 1, others[0].RunID); got != senderStale {
		t.Errorf("a message of the first that departed: verdict %d, want %d", got, senderStale)
	}
}
