package localfleet

import (
	"context"
	"time"

	"oxbowloft/fleet/member"
)

// Observation tells when the members' views had become what they should be.
type Observation struct {
	ConvergedAfter    []time.Duration // of each member whose view is as it should be: since when
	Unconverged       int             // members whose view is not
	AllConvergedAfter time.Duration   // until all views were so at once; known if none is missing
}

// identity is what a view has to hold of a member: its life and its incarnation as it is now.
type identity struct {
	name        string
	life        uint64
	incarnation uint64
}

func identityOf(m member.Member) identity {
	return identity{m.Name, m.Life, m.Incarnation}
}

// Observe waits until the view of each member that is up holds all that are up and that it
// can reach, and nobody else. It counts from start and ends early when ctx does. Times are
// exact to the interval of looking, 20 ms.
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

// watch is one Observe.
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

// look looks at the views that were not whole, and once there are none at all of them: a view
// may be whole and then not. It tells whether all were whole at once.
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

// sides returns who should see each other, by name, on each side of the cut: inside the zone
// that is cut off, and outside.
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

// whole tells whether a member's view is what it should be. Both are in the order of names.
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
