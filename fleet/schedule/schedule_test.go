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

var (
	_ agree.Machine = (*schedule.Machine)(nil)
	_ agree.Querier = (*schedule.Machine)(nil)
)

func encodeEntry(t *testing.T, e window.Entry) []byte {
	t.Helper()
	text, err := window.Encode(e)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func newMachine(t *testing.T) *schedule.Machine {
	t.Helper()
	m, err := schedule.New(window.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newBackends(region string, n int, id string) window.PutBackends {
	var all window.PutBackends
	for i := range n {
		all.Put = append(all.Put, window.Backend{ID: fmt.Sprintf("%s%d", id, i), Region: region, Zone: "z", Size: 10, SkipWarmUp: true})
	}
	return all
}

func TestAnswersAndQueries(t *testing.T) {
	m := newMachine(t)
	index := uint64(0)
	apply := func(e window.Entry) []byte { index++; return m.Apply(index, encodeEntry(t, e)) }
	apply(newBackends("r", 4, "b"))
	apply(window.SetFloor{Steps: []window.Step{{Capacity: 30}}})
	text := apply(window.Request{ID: "p1", Region: "r", Backends: []string{"b0"}, Duration: time.Hour, LatestEnd: 50 * time.Hour})
	a, err := schedule.Parse(text)
	if err != nil || a.Result != window.OK || a.Window.Request.ID != "p1" || a.OmittedEvents != 0 {
		t.Fatalf("%+v, %v", a, err)
	}
	if text := m.Apply(9, schedule.Tick(time.Second)); text != nil {
		t.Errorf("a tick without effect was answered: %q", text)
	}
	if text := m.Apply(10, schedule.Tick(-time.Hour)); text != nil {
		t.Errorf("a tick of a negative duration was answered: %q", text)
	}
	if a, err := schedule.Parse(m.Apply(11, []byte("noise"))); err != nil || a.Result != window.Invalid || a.Err == "" {
		t.Errorf("malformed entry: %+v, %v", a, err)
	}
	for _, c := range []struct{ query, want string }{
		{"STATUS", "STATUS now="},
		{"LIST", "WINDOW p1 "},
		{"SHOW p1", "WINDOW p1 "},
		{"FLOORS", "floor=30"},
		{"SHOW p2", "ERR no such window\n"},
		{"SHOW", "ERR "},
		{"", "ERR "},
		{"LIST all", "ERR "},
		{"\x00\xff", "ERR "},
	} {
		if got := string(m.Query([]byte(c.query))); !strings.Contains(got, c.want) || !strings.HasSuffix(got, "\n") {
			t.Errorf("%q: %q, want %q", c.query, got, c.want)
		}
	}
	for _, bad := range []string{"", "\x02", "\x01", "\x01noise"} {
		if _, err := schedule.Parse([]byte(bad)); err == nil {
			t.Errorf("%q was parsed without an error", bad)
		}
	}
}

// A machine restored from a snapshot gives byte-identical answers to further entries.
func TestRestoredMachineMatchesOriginal(t *testing.T) {
	m, restored := newMachine(t), newMachine(t)
	m.Apply(1, encodeEntry(t, newBackends("r", 4, "b")))
	m.Apply(2, encodeEntry(t, window.SetFloor{Steps: []window.Step{{Capacity: 30}}}))
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	before := restored.Snapshot()
	if restored.Restore([]byte("noise")) == nil || !bytes.Equal(before, restored.Snapshot()) {
		t.Error("a corrupt snapshot was accepted, or changed the state")
	}
	plan := encodeEntry(t, window.Request{ID: "p1", Region: "r", Backends: []string{"b0"}, Duration: time.Hour, LatestEnd: 50 * time.Hour})
	for i, e := range [][]byte{plan, schedule.Tick(time.Second), schedule.Tick(time.Hour)} {
		if original, copied := m.Apply(uint64(3+i), e), restored.Apply(uint64(3+i), e); !bytes.Equal(original, copied) {
			t.Errorf("entry %d: answers %q and %q differ", i, original, copied)
		}
	}
	if !bytes.Equal(m.Snapshot(), restored.Snapshot()) {
		t.Error("the snapshots differ")
	}
}

// One entry can cause more events than an answer holds. Prevents an answer that is too
// large to send, which would stop the voters one after the other.
func TestLongAnswers(t *testing.T) {
	m := newMachine(t)
	index := uint64(0)
	apply := func(e window.Entry) []byte { index++; return m.Apply(index, encodeEntry(t, e)) }
	for i := range 4 {
		apply(newBackends("r", 256, strings.Repeat("long", 10)+fmt.Sprint(i, "-")))
	}
	for i := range 100 {
		plan := window.Request{ID: fmt.Sprint("p", i), Region: "r", Duration: time.Hour, EarliestStart: time.Hour,
			LatestEnd: 300 * time.Hour}
		for j := range 24 {
			plan.Backends = append(plan.Backends, fmt.Sprint(strings.Repeat("long", 10), i%4, "-", (i*24+j)%256))
		}
		if a, err := schedule.Parse(apply(plan)); err != nil || a.Result != window.OK {
			t.Fatalf("%s, %v", a.Describe(), err)
		}
	}
	text := apply(window.SetFloor{Steps: []window.Step{{Capacity: 10240 - 240}}}) // only one window at a time fits: nearly all are moved
	a, err := schedule.Parse(text)
	if err != nil || len(text) > agree.MaxEntry || len(a.Events)+a.OmittedEvents < 90 {
		t.Errorf("%d bytes, %d events and %d omitted, %v", len(text), len(a.Events), a.OmittedEvents, err)
	}
	if list := m.Query([]byte("LIST")); len(list) > agree.MaxEntry || !bytes.Contains(list, []byte("MORE left=")) {
		t.Errorf("LIST gave %d bytes; want a bounded list that ends with MORE", len(list))
	}
}
