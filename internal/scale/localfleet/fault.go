package localfleet

import (
	"fmt"

	"oxbowloft/internal/scale/experiment"
)

// Apply injects a scheduled fault.
func (f *Fleet) Apply(action experiment.Action) error {
	switch action.Kind {
	case experiment.Kill:
		f.closeEach(f.membersByIndex(action.Members))
	case experiment.Restart:
		return f.restart(f.membersByIndex(action.Members))
	case experiment.Partition:
		f.partition(action.Zone)
	case experiment.Heal:
		f.heal()
	default:
		return fmt.Errorf("localfleet: unknown fault %q", action.Kind)
	}
	return nil
}

func (f *Fleet) membersByIndex(numbers []int) []*Member {
	var members []*Member
	for _, index := range numbers {
		members = append(members, f.members[index])
	}
	return members
}

// restart starts members again with their previous names and addresses.
func (f *Fleet) restart(members []*Member) error {
	for _, each := range members {
		if err := f.start(each); err != nil {
			return err
		}
	}
	return nil
}

// partition separates a zone from all others.
func (f *Fleet) partition(zone int) {
	f.partitionedZone = zone
	var inside, outside []string
	for _, each := range f.members {
		if each.Placement.Zone == zone {
			inside = append(inside, each.Placement.Name)
		} else {
			outside = append(outside, each.Placement.Name)
		}
	}
	f.links.Partition(inside, outside)
}

func (f *Fleet) heal() {
	f.partitionedZone = 0
	f.links.Heal()
}
