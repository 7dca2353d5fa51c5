package experiment

import (
	"fmt"
	"regexp"
	"time"
)

// namePattern restricts an experiment's name, since the files of its results are named after it.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// check returns a KeyError for the first invalid value.
func (e *Experiment) check() error {
	checks := []func() error{
		e.checkDurations, e.checkName, e.checkSizes, e.checkZones, e.checkLimits, e.checkMember, e.checkFaults,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkDurations rejects invalid and negative durations. The value is quoted and truncated, so that
// the error message is always a single short line.
func (e *Experiment) checkDurations() error {
	type entry struct {
		key   string
		value Duration
	}
	entries := []entry{
		{"settle", e.Settle},
		{"rest", e.SteadyState},
		{"time_limit", e.TimeLimit},
		{"member.probe_interval", e.Member.ProbeInterval},
		{"member.probe_timeout", e.Member.ProbeTimeout},
		{"member.gossip_interval", e.Member.GossipInterval},
		{"member.push_pull_interval", e.Member.PushPullInterval},
		{"member.rejoin_min", e.Member.RejoinMin},
		{"member.rejoin_max", e.Member.RejoinMax},
	}
	for index, fault := range e.Faults {
		entries = append(entries, entry{faultKey(index, "at"), fault.At})
	}
	for _, entry := range entries {
		if text := entry.value.invalid; text != "" {
			return &KeyError{entry.key, fmt.Sprintf(`%.40q is not a duration; want a string such as "1.5s"`, text)}
		}
		if entry.value.Duration < 0 {
			return &KeyError{entry.key, fmt.Sprintf("%v is negative", entry.value)}
		}
	}
	return nil
}

func (e *Experiment) checkName() error {
	if len(e.Name) > maxNameBytes || !namePattern.MatchString(e.Name) {
		return &KeyError{"name", fmt.Sprintf("%.70q: must be 1 to %d lower-case letters, digits and hyphens", e.Name, maxNameBytes)}
	}
	return nil
}

func (e *Experiment) checkSizes() error {
	if len(e.Sizes) == 0 || len(e.Sizes) > maxSizes {
		return &KeyError{"sizes", fmt.Sprintf("%d sizes, 1 to %d allowed", len(e.Sizes), maxSizes)}
	}
	for index, size := range e.Sizes {
		key := fmt.Sprintf("sizes[%d]", index)
		if size < minSize || size > maxSize {
			return &KeyError{key, fmt.Sprintf("%d members, %d to %d allowed", size, minSize, maxSize)}
		}
		if index > 0 && size <= e.Sizes[index-1] {
			return &KeyError{key, fmt.Sprintf("%d after %d; sizes must be in ascending order", size, e.Sizes[index-1])}
		}
	}
	return nil
}

func (e *Experiment) checkZones() error {
	if most := min(maxZones, e.Sizes[0]); e.Zones < 1 || e.Zones > most {
		return &KeyError{"zones", fmt.Sprintf("%d zones, 1 to %d allowed (at most the smallest size)", e.Zones, most)}
	}
	return nil
}

func (e *Experiment) checkLimits() error {
	switch {
	case e.SteadyState.Duration < minSteadyState:
		return &KeyError{"rest", fmt.Sprintf("%v; must be at least %v", e.SteadyState, minSteadyState)}
	case e.TimeLimit.Duration <= e.EarliestFault() || e.TimeLimit.Duration > maxTimeLimit:
		return &KeyError{"time_limit", fmt.Sprintf("%v; must exceed settle plus rest (%v) and be at most %v", e.TimeLimit, e.EarliestFault(), maxTimeLimit)}
	case e.MemoryLimitMiB < 1 || e.MemoryLimitMiB > maxMemoryLimit:
		return &KeyError{"memory_limit_mib", fmt.Sprintf("%d, 1 to %d allowed", e.MemoryLimitMiB, maxMemoryLimit)}
	}
	return nil
}

// checkMember rejects settings that fleet/member would reject, and intervals so short that a run
// would measure only its own load.
func (e *Experiment) checkMember() error {
	intervals := []struct {
		key   string
		value time.Duration
	}{
		{"member.probe_interval", e.Member.ProbeInterval.Duration},
		{"member.probe_timeout", e.Member.ProbeTimeout.Duration},
		{"member.gossip_interval", e.Member.GossipInterval.Duration},
		{"member.push_pull_interval", e.Member.PushPullInterval.Duration},
		{"member.rejoin_min", e.Member.RejoinMin.Duration},
		{"member.rejoin_max", e.Member.RejoinMax.Duration},
	}
	for _, interval := range intervals {
		if interval.value != 0 && interval.value < minInterval {
			return &KeyError{interval.key, fmt.Sprintf("%v; must be at least %v", interval.value, minInterval)}
		}
	}
	switch member := &e.Member; {
	case (member.ProbeInterval.Duration == 0) != (member.ProbeTimeout.Duration == 0):
		return &KeyError{"member.probe_timeout", "probe_interval and probe_timeout must be set together"}
	case member.ProbeTimeout.Duration > member.ProbeInterval.Duration:
		return &KeyError{"member.probe_timeout", fmt.Sprintf("%v exceeds probe_interval (%v)", member.ProbeTimeout, member.ProbeInterval)}
	case member.SuspicionMult < 0:
		return &KeyError{"member.suspicion_mult", fmt.Sprintf("%d is negative", member.SuspicionMult)}
	case (member.RejoinMin.Duration == 0) != (member.RejoinMax.Duration == 0):
		return &KeyError{"member.rejoin_max", "rejoin_min and rejoin_max must be set together"}
	case member.RejoinMax.Duration < member.RejoinMin.Duration:
		return &KeyError{"member.rejoin_max", fmt.Sprintf("%v is less than rejoin_min (%v)", member.RejoinMax, member.RejoinMin)}
	}
	return nil
}

// checkFaults validates each fault and their sequence: a restart needs stopped members, a partition
// needs an unpartitioned network, and a heal needs a partition.
func (e *Experiment) checkFaults() error {
	if len(e.Faults) > maxFaults {
		return &KeyError{"faults", fmt.Sprintf("%d faults, at most %d allowed", len(e.Faults), maxFaults)}
	}
	var state faultState
	previous := e.EarliestFault()
	for index, fault := range e.Faults {
		at := fault.At.Duration
		if at < previous || index > 0 && at == previous {
			return &KeyError{faultKey(index, "at"), fmt.Sprintf("%v; must be after the steady state measurement and the previous fault (%v)", at, previous)}
		}
		if at >= e.TimeLimit.Duration {
			return &KeyError{faultKey(index, "at"), fmt.Sprintf("%v; must be less than time_limit (%v)", at, e.TimeLimit)}
		}
		if err := e.checkFault(index, fault, &state); err != nil {
			return err
		}
		previous = at
	}
	return nil
}

// faultState is the state of the fleet after the faults checked so far.
type faultState struct {
	down        int
	partitioned bool
}

func (e *Experiment) checkFault(index int, fault Fault, state *faultState) error {
	if fault.Kind != Kill && fault.Count != 0 {
		return &KeyError{faultKey(index, "count"), "only allowed for a kill"}
	}
	if fault.Kind != Partition && fault.Zone != 0 {
		return &KeyError{faultKey(index, "zone"), "only allowed for a cut"}
	}
	switch fault.Kind {
	case Kill:
		return e.checkKill(index, fault, state)
	case Restart:
		if state.down == 0 {
			return &KeyError{faultKey(index, "kind"), "restart, but no member is down"}
		}
		state.down = 0
	case Partition:
		return e.checkPartition(index, fault, state)
	case Heal:
		if !state.partitioned {
			return &KeyError{faultKey(index, "kind"), "heal without a preceding cut"}
		}
		state.partitioned = false
	default:
		return &KeyError{faultKey(index, "kind"), fmt.Sprintf("unknown kind %.40q; want kill, restart, cut or heal", string(fault.Kind))}
	}
	return nil
}

// checkKill requires that at least two members stay up, so that one can detect the failures.
func (e *Experiment) checkKill(index int, fault Fault, state *faultState) error {
	if fault.Count < 0 {
		return &KeyError{faultKey(index, "count"), fmt.Sprintf("%d is negative", fault.Count)}
	}
	const minUp = 2
	most := e.Sizes[0] - minUp - state.down
	if fault.killCount() > most {
		return &KeyError{faultKey(index, "count"), fmt.Sprintf("%d members, at most %d allowed at the smallest size", fault.killCount(), most)}
	}
	state.down += fault.killCount()
	return nil
}

func (e *Experiment) checkPartition(index int, fault Fault, state *faultState) error {
	switch {
	case state.partitioned:
		return &KeyError{faultKey(index, "kind"), "cut, but an earlier cut has not been healed"}
	case e.Zones < 2:
		return &KeyError{faultKey(index, "kind"), "cut, but there is only one zone"}
	case fault.Zone < 1 || fault.Zone > e.Zones:
		return &KeyError{faultKey(index, "zone"), fmt.Sprintf("zone %d, 1 to %d allowed", fault.Zone, e.Zones)}
	}
	state.partitioned = true
	return nil
}

// killCount returns the number of members that a kill stops.
func (f Fault) killCount() int {
	if f.Count == 0 {
		return defaultKillCount
	}
	return f.Count
}

func faultKey(index int, key string) string { return fmt.Sprintf("faults[%d].%s", index, key) }
