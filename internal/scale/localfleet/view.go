package localfleet

import (
	"context"
	"time"

	"oxbowloft/fleet/member"
)

// Observation reports when the members' views converged on the expected membership.
type Observation struct {
	ConvergedAfter    []time.Duration // one per member whose view is correct: time until it was
	Unconverged       int             // number of members whose view is not correct
	AllConvergedAfter time.Duration   // time until all views were correct at once; 0 unless Unconverged is 0
}

// identity is what a view must record of a member: its current run ID and incarnation.
type identity struct {
	name        string
	runID       uint64
	incarnation uint64
}

func identityOf(m member.Member) identity {
	return identity{m.Name, m.RunID, m.Incarnation}
}

// Observe waits until the view of every running member consists of exactly the running members
// that it can reach. Times count from start and have the resolution of the poll interval, 20 ms.
// Observe returns early when ctx ends.
func (f *Fleet) Observe(ctx context.Context, start time.Time) Observation {
	convergence := f.newConvergence()
	for {
		if convergence.poll(time.Since(start)) {
			return convergence.observation()
		}
		if Sleep(ctx, pollInterval) != nil {
			return convergence.observation()
		}
	}
}

// convergence is the state of one call of Observe.
type convergence struct {
	fleet             *Fleet
	up                []*Member
	convergedAfter    map[*Member]time.Duration
	allConvergedAfter time.Duration
}

func (f *Fleet) newConvergence() *convergence {
	c := &convergence{fleet: f, convergedAfter: map[*Member]time.Duration{}}
	for _, each := range f.members {
		if each.node != nil {
			c.up = append(c.up, each)
		}
	}
	return c
}

// poll checks the views that have not converged yet. Once all have, it checks every view again,
// since a view may be correct and later change. It reports whether all were correct at once.
func (c *convergence) poll(now time.Duration) bool {
	expected := c.expectedViews()
	for _, each := range c.up {
		if _, converged := c.convergedAfter[each]; !converged && c.hasExpectedView(each, expected) {
			c.convergedAfter[each] = now
		}
	}
	if len(c.convergedAfter) < len(c.up) {
		return false
	}
	for _, each := range c.up {
		if !c.hasExpectedView(each, expected) {
			delete(c.convergedAfter, each)
		}
	}
	c.allConvergedAfter = now
	return len(c.convergedAfter) == len(c.up)
}

// expectedViews returns the members that should see each other, in the order of their names, on
// each side of the partition: true for the partitioned zone, false for all other zones.
func (c *convergence) expectedViews() map[bool][]identity {
	expected := map[bool][]identity{}
	for _, each := range c.up {
		inside := c.inPartitionedZone(each)
		expected[inside] = append(expected[inside], identityOf(each.node.Self()))
	}
	return expected
}

func (c *convergence) inPartitionedZone(each *Member) bool {
	return each.Placement.Zone == c.fleet.partitionedZone
}

// hasExpectedView reports whether a member's view is correct. The view and the expected members
// are both sorted by name.
func (c *convergence) hasExpectedView(each *Member, expected map[bool][]identity) bool {
	want := expected[c.inPartitionedZone(each)]
	view := each.node.Members()
	if len(view) != len(want) {
		return false
	}
	for index := range view {
		if identityOf(view[index]) != want[index] {
			return false
		}
	}
	return true
}

func (c *convergence) observation() Observation {
	observation := Observation{Unconverged: len(c.up) - len(c.convergedAfter)}
	for _, each := range c.up {
		if at, converged := c.convergedAfter[each]; converged {
			observation.ConvergedAfter = append(observation.ConvergedAfter, at)
		}
	}
	if observation.Unconverged == 0 {
		observation.AllConvergedAfter = c.allConvergedAfter
	}
	return observation
}
