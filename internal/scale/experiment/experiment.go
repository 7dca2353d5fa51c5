// Package experiment reads and checks the file that describes a scale run: how large the
// fleets are, how they are divided into zones, what is measured and which faults occur when.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Bounds of what a file may ask for.
const (
	maxNameBytes     = 64
	minSize          = 3
	maxSize          = 1500
	maxSizes         = 8
	maxZones         = 26
	maxFaults        = 64
	maxTimeLimit     = 10 * time.Minute
	maxMemoryLimit   = 8192 // in MiB
	minInterval      = time.Millisecond
	minSteadyState   = 100 * time.Millisecond
	defaultKillCount = 1
)

// FaultKind says what a fault does to the fleet.
type FaultKind string

// The kinds of fault.
const (
	Kill      FaultKind = "kill"    // members end without a farewell
	Restart   FaultKind = "restart" // all members that are down start again under their names
	Partition FaultKind = "cut"     // one zone is separated from all others
	Heal      FaultKind = "heal"    // all links are whole again
)

// Fault is one fault of the file.
type Fault struct {
	At    Duration  `json:"at"` // counted from when all members are in one view
	Kind  FaultKind `json:"kind"`
	Count int       `json:"count,omitempty"` // Kill: how many members; 0: one
	Zone  int       `json:"zone,omitempty"`  // Cut: the zone's number, from 1
}

// Member holds the times of the members. A zero stands for the default of fleet/member.
type Member struct {
	ProbeInterval    Duration `json:"probe_interval,omitzero"`
	ProbeTimeout     Duration `json:"probe_timeout,omitzero"`
	SuspicionMult    int      `json:"suspicion_mult,omitempty"`
	GossipInterval   Duration `json:"gossip_interval,omitzero"`
	PushPullInterval Duration `json:"push_pull_interval,omitzero"`
	RejoinMin        Duration `json:"rejoin_min,omitzero"`
	RejoinMax        Duration `json:"rejoin_max,omitzero"`
}

// Experiment is one experiment file.
type Experiment struct {
	Name           string   `json:"name"`
	Seed           uint64   `json:"seed"`
	Sizes          []int    `json:"sizes"` // numbers of members, each measured in a fleet of its own
	Zones          int      `json:"zones"`
	Settle         Duration `json:"settle"`           // from one view to the measurement at rest
	SteadyState    Duration `json:"rest"`             // length of the measurement at rest
	TimeLimit      Duration `json:"time_limit"`       // of one size, its start included
	MemoryLimitMiB int      `json:"memory_limit_mib"` // resident memory at which a run is given up
	Member         Member   `json:"member,omitzero"`
	Faults         []Fault  `json:"faults"`
}

// KeyError names the key of the file that is wrong.
type KeyError struct {
	Key     string
	Problem string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// Load reads and checks a file.
func Load(path string) (Experiment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	parsed, err := Parse(content)
	if err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", path, err)
	}
	return parsed, nil
}

// Parse reads and checks the content of a file.
func Parse(content []byte) (Experiment, error) {
	var parsed Experiment
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return Experiment{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Experiment{}, errors.New("more than one JSON value")
	}
	if err := parsed.check(); err != nil {
		return Experiment{}, err
	}
	return parsed, nil
}

// decodeError turns an error of encoding/json into one that names the key, where it knows it.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return &KeyError{wrongType.Field, "a JSON " + wrongType.Value + " is not allowed"}
	}
	return err
}

// Relayed tells whether the links between members have to pass through relays, since one of
// the faults cuts them.
func (e *Experiment) NeedsRelays() bool {
	for _, fault := range e.Faults {
		if fault.Kind == Partition {
			return true
		}
	}
	return false
}

// EarliestFault is the earliest time of a fault: before it the fleet is measured at rest.
func (e *Experiment) EarliestFault() time.Duration {
	return e.Settle.Duration + e.SteadyState.Duration
}
