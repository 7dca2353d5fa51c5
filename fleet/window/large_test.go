package window

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// manyNames is over a thousand: the number of backends, members and scopes in a large
// fleet.
const manyNames = 1100

// longNames returns ids of the maximum length, in ascending order.
func longNames(kind string) []string {
	var names []string
	for number := range manyNames {
		name := fmt.Sprintf("%s-%04d-", kind, number)
		names = append(names, name+strings.Repeat("x", MaxIDBytes-len(name)))
	}
	return names
}

// newLargeHarness returns a harness with the given backends, each in a zone of its own
// of region r.
func newLargeHarness(t *testing.T, ids []string) *harness {
	t.Helper()
	machine, err := New(Settings{MaxServing: manyNames})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, machine: machine}
	for number, id := range ids {
		zone := fmt.Sprintf("zone-%04d", number)
		h.applyWant(PutBackends{[]Backend{{ID: id, Region: "r", Zone: zone, Size: 1, SkipWarmUp: true}}}, OK, "")
	}
	return h
}

// Every list that grows with the fleet can hold over a thousand items and survives a
// snapshot. Prevents a limit that only operators of large fleets run into.
func TestLargeFleet(t *testing.T) {
	ids, members := longNames("backend"), longNames("member")
	zone := func(number int) Scope { return Scope{Region: "r", Zone: fmt.Sprintf("zone-%04d", number)} }
	for _, c := range []struct {
		name    string
		entries func() []Entry
		holds   func(m *Machine) bool
	}{
		{"backends in one plan", func() []Entry {
			return []Entry{Request{ID: "p", Region: "r", Backends: ids, Duration: time.Hour, LatestEnd: 10 * time.Hour}}
		}, func(m *Machine) bool {
			w, ok := m.Window("p")
			return ok && w.State == Granted && len(w.Request.Backends) == manyNames
		}},
		{"serving members", func() []Entry {
			return []Entry{SetServing{members}}
		}, func(m *Machine) bool { return len(m.servingMembers) == manyNames }},
		{"scopes with a floor", func() (floors []Entry) {
			for number := range manyNames {
				floors = append(floors, SetFloor{zone(number), []Step{{Capacity: 1}}})
			}
			return floors
		}, func(m *Machine) bool { return len(m.Floors()) == manyNames }},
		{"backends that fail and recover", func() []Entry {
			return []Entry{BackendsFailed{ids}, BackendsRecovered{ids}}
		}, func(m *Machine) bool { return len(m.backends) == manyNames && !m.backends[0].Failed }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newLargeHarness(t, ids)
			for _, e := range c.entries() {
				h.applyWant(e, OK, "")
			}
			if !c.holds(h.machine) {
				t.Error("the machine does not hold all of them")
			}
			snapshot, err := h.machine.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := Restore(snapshot)
			if err != nil {
				t.Fatal(err)
			}
			if !c.holds(restored) {
				t.Error("the restored machine does not hold all of them")
			}
		})
	}
}
