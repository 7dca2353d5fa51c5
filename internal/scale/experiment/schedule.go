package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Placement is the name and the zone of a member.
type Placement struct {
	Name string
	Zone int // from 1
}

// Action is a scheduled fault with its randomly drawn members.
type Action struct {
	At      time.Duration
	Kind    FaultKind
	Members []int // Kill, Restart: indexes of the members, from 0
	Zone    int   // Partition: the zone's number, from 1
}

// Placements returns the members of a fleet of the given size, assigned to zones round-robin.
func (e *Experiment) Placements(size int) []Placement {
	places := make([]Placement, size)
	for index := range places {
		places[index] = Placement{
			Name: fmt.Sprintf("member-%04d", index),
			Zone: index%e.Zones + 1,
		}
	}
	return places
}

// Schedule returns the faults for a fleet of the given size. It is deterministic: it depends only on
// the experiment and the size.
func (e *Experiment) Schedule(size int) []Action {
	random := rand.New(rand.NewPCG(e.Seed, uint64(size)))
	down := make(map[int]bool)
	var downInKillOrder []int
	actions := make([]Action, 0, len(e.Faults))
	for _, fault := range e.Faults {
		action := Action{At: fault.At.Duration, Kind: fault.Kind, Zone: fault.Zone}
		switch fault.Kind {
		case Kill:
			action.Members = drawLive(random, size, down, fault.killCount())
			downInKillOrder = append(downInKillOrder, action.Members...)
		case Restart:
			action.Members = downInKillOrder
			downInKillOrder = nil
			clear(down)
		}
		actions = append(actions, action)
	}
	return actions
}

// drawLive draws running members at random and records them as down. The first member is never
// drawn, since the others join through it.
func drawLive(random *rand.Rand, size int, down map[int]bool, count int) []int {
	var drawn []int
	for _, index := range random.Perm(size) {
		if len(drawn) == count {
			break
		}
		if index == 0 || down[index] {
			continue
		}
		down[index] = true
		drawn = append(drawn, index)
	}
	return drawn
}
