package member

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// manyMembers is the size of a large fleet, over a thousand.
const manyMembers = 1100

// longestRecord returns the record of a departed member whose fields have their maximum sizes.
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

// The departed members of a large fleet fit in one exchanged state, even with fields of maximum size.
// Prevents a state that receivers reject as too large, so that no departure reaches them.
func TestManyDepartedInOneExchange(t *testing.T) {
	for name, count := range map[string]int{"a large fleet": manyMembers, "the limit": maxRecords} {
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

// A roster holds all members of a large fleet, and remembers each of them after all have departed.
// Prevents an ended process run from being accepted again because its record was evicted for others.
func TestRosterOfManyMembers(t *testing.T) {
	limits := rosterLimits{PauseThreshold: time.Hour, DepartedRetention: departedRetention, MaxDeparted: maxRecords}
	r := newRoster(0, limits, newMember("self", 0, 1), &actionRecorder{})
	r.JoinFinished(0)
	var others []Member
	for number := range manyMembers {
		others = append(others, newMember(fmt.Sprintf("member-%04d", number), 1, uint64(number)))
	}
	for _, m := range others {
		r.Alive(sec, m)
	}
	if got := len(r.Members()); got != manyMembers+1 {
		t.Errorf("%d members, want %d including self", got, manyMembers+1)
	}
	for number, m := range others {
		r.Died(sec+clockTime(number), m)
	}
	if got := len(r.Departed()); got != manyMembers {
		t.Errorf("%d departed members are remembered, want %d", got, manyMembers)
	}
	if got := r.CheckSender(others[0].Name, 1, others[0].RunID); got != senderStale {
		t.Errorf("message from the first departed member: status %d, want %d", got, senderStale)
	}
}
