package schedule_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"oxbowloft/fleet/agree"
	"oxbowloft/fleet/schedule"
	"oxbowloft/fleet/window"
)

// manyNames is over a thousand: the number of backends and members in a large fleet.
const manyNames = 1100

func longNames(kind string, count int) []string {
	var names []string
	for number := range count {
		name := fmt.Sprintf("%s-%04d-", kind, number)
		names = append(names, name+strings.Repeat("x", window.MaxIDBytes-len(name)))
	}
	return names
}

// An entry that names every backend or member of a large fleet fits into an entry of the
// replicated log, and so does the answer with the names in it. Prevents a limit on
// counts that can't be reached because the limit on bytes applies first.
func TestLargeEntriesFit(t *testing.T) {
	ids := longNames("backend", max(window.MaxPlanBackends, manyNames))
	plan := window.Request{ID: "p", Region: "r", Backends: ids, Duration: time.Hour, LatestEnd: 10 * time.Hour}
	for _, c := range []struct {
		name string
		e    window.Entry
	}{
		{"plan with the maximum number of backends", plan},
		{"serving members", window.SetServing{Members: longNames("member", 1024)}},
		{"failed backends", window.BackendsFailed{IDs: ids[:manyNames]}},
		{"recovered backends", window.BackendsRecovered{IDs: ids[:manyNames]}},
		{"removed backends", window.RemoveBackends{IDs: ids[:manyNames]}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t)
			index := uint64(0)
			apply := func(e window.Entry) []byte { index++; return m.Apply(index, encodeEntry(t, e)) }
			for _, id := range ids {
				apply(window.PutBackends{Put: []window.Backend{{ID: id, Region: "r", Zone: "z", Size: 1, SkipWarmUp: true}}})
			}
			if size := len(encodeEntry(t, c.e)); size > agree.MaxEntry {
				t.Errorf("the entry has %d bytes, at most %d allowed", size, agree.MaxEntry)
			}
			text := apply(c.e)
			a, err := schedule.Parse(text)
			if err != nil || len(text) > agree.MaxEntry || a.Result != window.OK && a.Result != window.Duplicate {
				t.Fatalf("answer of %d bytes: %s, %v", len(text), a.Describe(), err)
			}
			if a.HasWindow && len(a.Window.Request.Backends) != len(ids) {
				t.Errorf("the answer names %d backends", len(a.Window.Request.Backends))
			}
			if a.HasWindow && !bytes.Contains(m.Query([]byte("SHOW p")), []byte(ids[len(ids)-1])) {
				t.Error("SHOW does not list the last backend")
			}
		})
	}
}
