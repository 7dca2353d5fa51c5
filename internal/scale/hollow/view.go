package hollow

import (
	"context"
	"time"

	"oxbowloft/fleet/member"
)

// Observation tells when the members' views had become what they should be.
type Observation struct {
	Seen    []time.Duration // of each member whose view is as it should be: since when
	Missing int             // members whose view is not
	Last    time.Duration   // until all views were so at once; known if none is missing
}

// identity is what a view has to hold of a member: its life and its incarnation as it is now.
type identity struct {
	name        string
	life        uint64
	incarnation uint64
}

func identityOf(m member.Member) identity {
	return identity{m.Name, m.RunID, m.Incarnation}
}

// Observe waits until the view of each member that is up holds all that are up and that it
// can reach, and nobody else. It counts from start and ends early when ctx does. Times are
// exact to the interval of looking, 20 ms.
func (f *Fleet) Observe(ctx context.Context, start time.Time) Observation {
	watch := f.newWatch()
	for {
		if watch.look(time.Since(start)) {
			return watch.observation()
		}
		if Sleep(ctx, pollInterval) != nil {
			return watch.observation()
		}
	}
}

// watch is one Observe.
type watch struct {
	fleet *Fleet
	up    []*Member
	seen  map[*Member]time.Duration
	last  time.Duration
}

func (f *Fleet) newWatch() *watch {
	w := &watch{fleet: f, seen: map[*Member]time.Duration{}}
	for _, each := range f.members {
		if each.node != nil {
			w.up = append(w.up, each)
		}
	}
	return w
}

// look looks at the views that were not whole, and once there are none at all of them: a view
// may be whole and then not. It tells whether all were whole at once.
func (w *watch) look(now time.Duration) bool {
	sides := w.sides()
	for _, each := range w.up {
		if _, seen := w.seen[each]; !seen && w.whole(each, sides) {
			w.seen[each] = now
		}
	}
	if len(w.seen) < len(w.up) {
		return false
	}
	for _, each := range w.up {
		if !w.whole(each, sides) {
			delete(w.seen, each)
		}
	}
	w.last = now
	return len(w.seen) == len(w.up)
}

// sides returns who should see each other, by name, on each side of the cut: inside the zone
// that is cut off, and outside.
func (w *watch) sides() map[bool][]identity {
	sides := map[bool][]identity{}
	for _, each := range w.up {
		inside := w.inside(each)
		sides[inside] = append(sides[inside], identityOf(each.node.Self()))
	}
	return sides
}

func (w *watch) inside(each *Member) bool { return each.Place.Zone == w.fleet.cutZone }

// whole tells whether a member's view is what it should be. Both are in the order of names.
func (w *watch) whole(each *Member, sides map[bool][]identity) bool {
	want := sides[w.inside(each)]
	view := each.node.Members()
	if len(view) != len(want) {
		return false
	}
	for number := range view {
		if identityOf(view[number]) != want[number] {
			return false
		}
	}
	return true
}

func (w *watch) observation() Observation {
	observation := Observation{Missing: len(w.up) - len(w.seen)}
	for _, each := range w.up {
		if at, seen := w.seen[each]; seen {
			observation.Seen = append(observation.Seen, at)
		}
	}
	if observation.Missing == 0 {
		observation.Last = w.last
	}
	return observation
}
