package experiment

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

// valid is a valid file with every kind of fault.
const valid = `{
	"name": "valid", "seed": 7, "sizes": [12, 30], "zones": 3,
	"settle": "1s", "rest": "2s", "time_limit": "60s", "memory_limit_mib": 1024,
	"member": {"probe_interval": "200ms", "probe_timeout": "60ms"},
	"faults": [
		{"at": "3s", "kind": "kill", "count": 2},
		{"at": "4s", "kind": "kill"},
		{"at": "5s", "kind": "restart"},
		{"at": "6s", "kind": "cut", "zone": 2},
		{"at": "7s", "kind": "heal"}
	]
}`

func TestValidFile(t *testing.T) {
	parsed, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if parsed.Settle.Duration != time.Second || parsed.Member.ProbeTimeout.Duration != 60*time.Millisecond {
		t.Errorf("durations decoded as %v and %v", parsed.Settle, parsed.Member.ProbeTimeout)
	}
	if !parsed.NeedsRelays() {
		t.Error("NeedsRelays is false for a file with a cut")
	}
}

// Each file has one error, and the error message names its key in a single line.
func TestInvalidFiles(t *testing.T) {
	cases := []struct{ old, new, key string }{
		{`"name": "valid"`, `"name": "../valid"`, "name"},
		{`"name": "valid"`, `"name": ""`, "name"},
		{`"name": "valid"`, `"name": 3`, "name"},
		{`"seed": 7`, `"seed": -7`, "seed"},
		{`"seed": 7`, `"sead": 7`, "sead"},
		{`[12, 30]`, `[]`, "sizes"},
		{`[12, 30]`, `[2, 30]`, "sizes[0]"},
		{`[12, 30]`, `[12, 1501]`, "sizes[1]"},
		{`[12, 30]`, `[30, 12]`, "sizes[1]"},
		{`[12, 30]`, `[30, 30]`, "sizes[1]"},
		{`[12, 30]`, `["a"]`, "sizes"},
		{`"zones": 3`, `"zones": 0`, "zones"},
		{`"zones": 3`, `"zones": 13`, "zones"},
		{`"settle": "1s"`, `"settle": 1`, "settle"},
		{`"settle": "1s"`, `"settle": "-1s"`, "settle"},
		{`"rest": "2s"`, `"rest": "two\nseconds"`, "rest"},
		{`"rest": "2s"`, `"rest": "0s"`, "rest"},
		{`"time_limit": "60s"`, `"time_limit": "3s"`, "time_limit"},
		{`"time_limit": "60s"`, `"time_limit": "11m"`, "time_limit"},
		{`"memory_limit_mib": 1024`, `"memory_limit_mib": 0`, "memory_limit_mib"},
		{`"memory_limit_mib": 1024`, `"memory_limit_mib": 8193`, "memory_limit_mib"},
		{`"probe_timeout": "60ms"`, `"probe_timeout": "300ms"`, "member.probe_timeout"},
		{`"probe_timeout": "60ms"`, `"probe_timeout": "1ns"`, "member.probe_timeout"},
		{`, "probe_timeout": "60ms"`, ``, "member.probe_timeout"},
		{`"probe_timeout": "60ms"`, `"probe_timeout": "60ms", "suspicion_mult": -1`, "member.suspicion_mult"},
		{`"probe_timeout": "60ms"`, `"probe_timeout": "60ms", "rejoin_min": "1s"`, "member.rejoin_max"},
		{`"probe_timeout": "60ms"`, `"probe_timeout": "60ms", "rejoin_min": "2s", "rejoin_max": "1s"`, "member.rejoin_max"},
		{`"at": "3s"`, `"at": "2s"`, "faults[0].at"},
		{`"at": "3s"`, `"at": "x"`, "faults[0].at"},
		{`"at": "4s"`, `"at": "3s"`, "faults[1].at"},
		{`"at": "7s"`, `"at": "60s"`, "faults[4].at"},
		{`"count": 2`, `"count": -2`, "faults[0].count"},
		{`"count": 2`, `"count": 11`, "faults[0].count"},
		{`"kind": "restart"`, `"kind": "restart", "count": 1`, "faults[2].count"},
		{`"kind": "restart"`, `"kind": "restart", "zone": 1`, "faults[2].zone"},
		{`"kind": "restart"`, `"kind": "stop"`, "faults[2].kind"},
		{`"kind": "restart"`, `"kind": "heal"`, "faults[2].kind"},
		{`"kind": "heal"`, `"kind": "restart"`, "faults[4].kind"},
		{`"kind": "heal"`, `"kind": "cut", "zone": 1`, "faults[4].kind"},
		{`"zone": 2`, `"zone": 4`, "faults[3].zone"},
		{`, "zone": 2`, ``, "faults[3].zone"},
	}
	for _, c := range cases {
		content := strings.Replace(valid, c.old, c.new, 1)
		if content == valid {
			t.Fatalf("valid file does not contain %s", c.old)
		}
		_, err := Parse([]byte(content))
		if err == nil {
			t.Errorf("%s in place of %s: no error", c.new, c.old)
			continue
		}
		if text := err.Error(); !strings.Contains(text, c.key) || strings.Contains(text, "\n") {
			t.Errorf("%s in place of %s: error %q, want a single line that names %s", c.new, c.old, text, c.key)
		}
	}
}

func TestInvalidFilesReturnKeyError(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(valid, `"zones": 3`, `"zones": 0`, 1)))
	var keyError *KeyError
	if !errors.As(err, &keyError) || keyError.Key != "zones" {
		t.Errorf("error %v, want a KeyError for zones", err)
	}
}

func TestMalformedJSON(t *testing.T) {
	for _, content := range []string{"", "{", "[]", "null", valid + "{}", valid + "x"} {
		if _, err := Parse([]byte(content)); err == nil {
			t.Errorf("%q: no error", content)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse(content)
		if err != nil {
			return
		}
		for _, size := range parsed.Sizes {
			parsed.Schedule(size)
		}
	})
}

// The schedule is the same each time for the same file, and differs for another seed.
func TestScheduleIsDeterministic(t *testing.T) {
	first := scheduleOf(t, valid, 30)
	if again := scheduleOf(t, valid, 30); !reflect.DeepEqual(first, again) {
		t.Errorf("the same file gave\n%v\nand\n%v", first, again)
	}
	other := strings.Replace(valid, `"seed": 7`, `"seed": 8`, 1)
	if reflect.DeepEqual(first, scheduleOf(t, other, 30)) {
		t.Errorf("another seed gave the same schedule %v", first)
	}
}

func scheduleOf(t *testing.T, content string, size int) []Action {
	t.Helper()
	parsed, err := Parse([]byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return parsed.Schedule(size)
}

// A kill stops running members, and a restart starts all stopped members.
func TestScheduleOfKillsAndRestarts(t *testing.T) {
	for _, size := range []int{12, 30} {
		actions := scheduleOf(t, valid, size)
		if len(actions) != 5 {
			t.Fatalf("%d actions, want 5", len(actions))
		}
		down := append(append([]int{}, actions[0].Members...), actions[1].Members...)
		seen := map[int]bool{0: true} // the first member is never killed
		for _, index := range down {
			if index < 0 || index >= size || seen[index] {
				t.Errorf("killed members %v are out of range, repeated or include the first member", down)
			}
			seen[index] = true
		}
		if !reflect.DeepEqual(actions[2].Members, down) {
			t.Errorf("restarted members %v, want %v", actions[2].Members, down)
		}
	}
}

func TestPlaces(t *testing.T) {
	parsed, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	places := parsed.Placements(7)
	perZone := map[int]int{}
	names := map[string]bool{}
	for _, place := range places {
		perZone[place.Zone]++
		names[place.Name] = true
	}
	if want := map[int]int{1: 3, 2: 2, 3: 2}; !reflect.DeepEqual(perZone, want) {
		t.Errorf("members by zone %v, want %v", perZone, want)
	}
	if len(names) != len(places) {
		t.Errorf("%d names for %d members", len(names), len(places))
	}
}
