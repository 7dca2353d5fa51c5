package agree

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// TestDecideFormation checks the decisions of a voter with an empty store.
func TestDecideFormation(t *testing.T) {
	voters := []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	self := hello{Name: "a", VoterSetHash: 1, Incarnation: 10}
	unformed := func(name string, life uint64) hello { return hello{Name: name, VoterSetHash: 1, Incarnation: life} }
	incarnations := map[string]uint64{"a": 10, "b": 20, "c": 30}
	formed := func(name string, incarnations map[string]uint64) hello {
		return hello{Name: name, VoterSetHash: 1, Incarnation: incarnations[name], Incarnations: incarnations, HasFormed: true}
	}
	for _, x := range []struct {
		name         string
		found        map[string]hello
		incarnations map[string]uint64
		formed       bool
		err          string
	}{
		{name: "no replies"},
		{name: "one reply missing", found: map[string]hello{"b": unformed("b", 20)}},
		{"all new", map[string]hello{"b": unformed("b", 20), "c": unformed("c", 30)}, incarnations, false, ""},
		{"one formed", map[string]hello{"b": formed("b", incarnations)}, incarnations, true, ""},
		{"store lost", map[string]hello{"b": formed("b", map[string]uint64{"a": 9, "b": 20, "c": 30})}, nil, false,
			"agree: a: " + errStoreLost.Error()},
		{"formed by being added", map[string]hello{"b": {Name: "b", VoterSetHash: 1, Incarnation: 5, HasFormed: true}}, nil, false,
			"agree: a: " + errStoreLost.Error()},
		{"another set", map[string]hello{"b": {Name: "b", VoterSetHash: 2}}, nil, false,
			"agree: voters: b is configured with another set"},
		{"another voter", map[string]hello{"b": unformed("c", 30)}, nil, false,
			"agree: voters: c is at the address of b"},
	} {
		got, f, err := decideFormation(self, voters, x.found)
		if !maps.Equal(got, x.incarnations) || f != x.formed || fmt.Sprint(err) != fmt.Sprint(errorOrNil(x.err)) {
			t.Errorf("%s: %v, %v, %v", x.name, got, f, err)
		}
	}
}

func errorOrNil(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}

// simulateFormation runs three voters with queries and losses of disks in random
// order. It returns an error if an incarnation participates although an earlier one
// of the same name has participated together with another voter, for which it may
// have acknowledged something. At most one of the formed voters loses its disk,
// because the loss of a majority can't be detected. rounds is the number of equal
// rounds of queries required to form.
func simulateFormation(t *rapid.T, rounds int) error {
	voters := []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	current := map[string]*hello{}
	replies := map[string]map[string]hello{} // replies in the current round
	previous := map[string]map[string]uint64{}
	equalRounds := map[string]int{}
	formedTogether := map[string]uint64{} // incarnation that participated together with others
	var lastIncarnation uint64
	storeLost := false
	restart := func(name string) {
		lastIncarnation++
		current[name] = &hello{Name: name, Incarnation: lastIncarnation}
		replies[name], previous[name], equalRounds[name] = map[string]hello{}, nil, 0
	}
	for _, p := range voters {
		restart(p.Name)
	}
	for range 120 {
		me := rapid.SampledFrom(voters).Draw(t, "who").Name
		switch step := rapid.IntRange(0, 19).Draw(t, "step"); {
		case step == 0:
			if current[me].Incarnations == nil || !storeLost {
				storeLost = storeLost || current[me].Incarnations != nil
				restart(me)
			}
		case step < 15: // one reply arrives
			if other := rapid.SampledFrom(voters).Draw(t, "of").Name; other != me {
				if _, ok := replies[me][other]; !ok {
					replies[me][other] = *current[other]
				}
			}
		default: // the round ends
			if current[me].Incarnations != nil {
				continue
			}
			incarnations, formed, err := decideFormation(*current[me], voters, replies[me])
			replies[me] = map[string]hello{}
			if err != nil {
				continue // the voter has stopped; a restart may follow
			}
			if incarnations != nil && maps.Equal(incarnations, previous[me]) {
				equalRounds[me]++
			} else {
				equalRounds[me] = 1
			}
			previous[me] = incarnations
			if incarnations == nil || !formed && equalRounds[me] < rounds {
				continue
			}
			current[me].Incarnations, current[me].HasFormed = incarnations, true
			if old, ok := formedTogether[me]; ok {
				return fmt.Errorf("%s: incarnations %d and %d both participated", me, old, current[me].Incarnation)
			}
			for name, h := range current {
				if name != me && h.Incarnations != nil {
					formedTogether[me], formedTogether[name] = current[me].Incarnation, h.Incarnation
				}
			}
		}
	}
	return nil
}

func TestFormationIsSafe(t *testing.T) {
	formed := 0
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateFormation(t, 2); err != nil {
			t.Fatal(err)
		}
		formed++
	})
}

// With one round of queries instead of two, a voter that lost its disk can vote again;
// the simulation has to detect that.
func TestFormationWithOneRoundIsUnsafe(t *testing.T) {
	detected := false
	for seed := 0; seed < 20000 && !detected; seed++ {
		rapid.Custom(func(t *rapid.T) int {
			detected = detected || simulateFormation(t, 1) != nil
			return 0
		}).Example(seed)
	}
	if !detected {
		t.Fatal("violation not detected")
	}
}
