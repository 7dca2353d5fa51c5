package hollow

import (
	"fmt"

	"oxbowloft/internal/scale/experiment"
)

// Apply carries out a fault of the schedule.
func (f *Fleet) Apply(action experiment.Action) error {
	switch action.Kind {
	case experiment.Kill:
		f.closeEach(f.numbered(action.Members))
	case experiment.Restart:
		return f.restart(f.numbered(action.Members))
	case experiment.Cut:
		f.cut(action.Zone)
	case experiment.Heal:
		f.heal()
	default:
		return fmt.Errorf("hollow: fault %q is not known", action.Kind)
	}
	return nil
}

func (f *Fleet) numbered(numbers []int) []*Member {
	var members []*Member
	for _, number := range numbers {
		members = append(members, f.members[number])
	}
	return members
}

// restart starts members again under their names and at their addresses.
func (f *Fleet) restart(members []*Member) error {
	for _, each := range members {
		if err := f.start(each); err != nil {
			return err
		}
	}
	return nil
}

// cut separates a zone from all others.
func (f *Fleet) cut(zone int) {
	f.cutZone = zone
	var inside, outside []string
	for _, each := range f.members {
		if each.Place.Zone == zone {
			inside = append(inside, each.Place.Name)
		} else {
			outside = append(outside, each.Place.Name)
		}
	}
	f.links.Partition(inside, outside)
}

func (f *Fleet) heal() {
	f.cutZone = 0
	f.links.Heal()
}
