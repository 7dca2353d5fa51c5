package agree

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// TestJudge tables what a voter with an empty store does.
func TestDecideFormation(t *testing.T) {
	voters := []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	self := hello{Name: "a", VoterSetHash: 1, Incarnation: 10}
	fresh := func(name string, life uint64) hello { return hello{Name: name, VoterSetHash: 1, Incarnation: life} }
	lives := map[string]uint64{"a": 10, "b": 20, "c": 30}
	formed := func(name string, lives map[string]uint64) hello {
		return hello{Name: name, VoterSetHash: 1, Incarnation: lives[name], Incarnations: lives, HasFormed: true}
	}
	for _, x := range []struct {
		name   string
		found  map[string]hello
		lives  map[string]uint64
		formed bool
		err    string
	}{
		{name: "alone"},
		{name: "one silent", found: map[string]hello{"b": fresh("b", 20)}},
		{"all new", map[string]hello{"b": fresh("b", 20), "c": fresh("c", 30)}, lives, false, ""},
		{"one formed", map[string]hello{"b": formed("b", lives)}, lives, true, ""},
		{"lost", map[string]hello{"b": formed("b", map[string]uint64{"a": 9, "b": 20, "c": 30})}, nil, false,
			"agree: a: " + errStoreLost.Error()},
		{"a member that joined", map[string]hello{"b": {Name: "b", VoterSetHash: 1, Incarnation: 5, HasFormed: true}}, nil, false,
			"agree: a: " + errStoreLost.Error()},
		{"another set", map[string]hello{"b": {Name: "b", VoterSetHash: 2}}, nil, false,
			"agree: voters: b is configured with another set"},
		{"another voter", map[string]hello{"b": fresh("c", 30)}, nil, false,
			"agree: voters: c is at the address of b"},
	} {
		got, f, err := decideFormation(self, voters, x.found)
		if !maps.Equal(got, x.lives) || f != x.formed || fmt.Sprint(err) != fmt.Sprint(errorOrNil(x.err)) {
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

// runForming starts three voters whose looks at each other and disks' losses are
// in random order. It returns an error if a life takes part although an earlier
// one of its name has taken part together with another voter, to which it may
// have promised something. Of those that take part one loses its disk: with a
// majority of disks nothing is left to know it by. rounds is how many equal looks
// it takes.
func simulateFormation(t *rapid.T, rounds int) error {
	voters := []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	now := map[string]*hello{}
	looks := map[string]map[string]hello{} // under way
	before := map[string]map[string]uint64{}
	equal := map[string]int{}
	together := map[string]uint64{} // the life that took part with others
	var life uint64
	lost := false
	restart := func(name string) {
		life++
		now[name] = &hello{Name: name, Incarnation: life}
		looks[name], before[name], equal[name] = map[string]hello{}, nil, 0
	}
	for _, p := range voters {
		restart(p.Name)
	}
	for range 120 {
		me := rapid.SampledFrom(voters).Draw(t, "who").Name
		switch step := rapid.IntRange(0, 19).Draw(t, "step"); {
		case step == 0:
			if now[me].Incarnations == nil || !lost {
				lost = lost || now[me].Incarnations != nil
				restart(me)
			}
		case step < 15: // one answer comes
			if other := rapid.SampledFrom(voters).Draw(t, "of").Name; other != me {
				if _, ok := looks[me][other]; !ok {
					looks[me][other] = *now[other]
				}
			}
		default: // the round ends
			if now[me].Incarnations != nil {
				continue
			}
			lives, formed, err := decideFormation(*now[me], voters, looks[me])
			looks[me] = map[string]hello{}
			if err != nil {
				continue // it has ended; a restart may follow
			}
			if lives != nil && maps.Equal(lives, before[me]) {
				equal[me]++
			} else {
				equal[me] = 1
			}
			before[me] = lives
			if lives == nil || !formed && equal[me] < rounds {
				continue
			}
			now[me].Incarnations, now[me].HasFormed = lives, true
			if old, ok := together[me]; ok {
				return fmt.Errorf("%s: lives %d and %d took part", me, old, now[me].Incarnation)
			}
			for name, h := range now {
				if name != me && h.Incarnations != nil {
					together[me], together[name] = now[me].Incarnation, h.Incarnation
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

// One look at all, in place of two, lets a voter that lost its disk vote again.
func TestFormationWithOneRoundIsUnsafe(t *testing.T) {
	caught := false
	for seed := 0; seed < 20000 && !caught; seed++ {
		rapid.Custom(func(t *rapid.T) int {
			caught = caught || simulateFormation(t, 1) != nil
			return 0
		}).Example(seed)
	}
	if !caught {
		t.Fatal("not caught")
	}
}
