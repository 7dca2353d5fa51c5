// Package experiment reads and validates the file that describes a scale experiment: the fleet
// sizes, the number of zones, the measurement times and the schedule of faults.
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

// Bounds of the values in an experiment file.
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

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault.
const (
	Kill      FaultKind = "kill"    // members stop without a leave message
	Restart   FaultKind = "restart" // all stopped members start again with their names
	Partition FaultKind = "cut"     // one zone is partitioned from all others
	Heal      FaultKind = "heal"    // the partition ends
)

// Fault is one entry of the fault schedule.
type Fault struct {
	At    Duration  `json:"at"` // counted from when all members have the same view
	Kind  FaultKind `json:"kind"`
	Count int       `json:"count,omitempty"` // Kill: number of members; 0 means one
	Zone  int       `json:"zone,omitempty"`  // Partition: the zone's number, from 1
}

// Member holds the protocol settings of the members. Zero means the default of fleet/member.
type Member struct {
	ProbeInterval    Duration `json:"probe_interval,omitzero"`
	ProbeTimeout     Duration `json:"probe_timeout,omitzero"`
	SuspicionMult    int      `json:"suspicion_mult,omitempty"`
	GossipInterval   Duration `json:"gossip_interval,omitzero"`
	PushPullInterval Duration `json:"push_pull_interval,omitzero"`
	RejoinMin        Duration `json:"rejoin_min,omitzero"`
	RejoinMax        Duration `json:"rejoin_max,omitzero"`
}

// Experiment is the content of an experiment file.
type Experiment struct {
	Name           string   `json:"name"`
	Seed           uint64   `json:"seed"`
	Sizes          []int    `json:"sizes"` // fleet sizes in members, measured one after another
	Zones          int      `json:"zones"`
	Settle         Duration `json:"settle"`           // from the convergence of all views to the steady state measurement
	SteadyState    Duration `json:"rest"`             // length of the steady state measurement
	TimeLimit      Duration `json:"time_limit"`       // of one size, including the start of its fleet
	MemoryLimitMiB int      `json:"memory_limit_mib"` // resident memory above which a run is aborted
	Member         Member   `json:"member,omitzero"`
	Faults         []Fault  `json:"faults"`
}

// KeyError reports an invalid value and names its key in the file.
type KeyError struct {
	Key     string
	Problem string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// Load reads and validates a file.
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

// Parse decodes and validates the content of a file.
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

// decodeError converts an error of encoding/json into a KeyError if it names the key.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return &KeyError{wrongType.Field, "a JSON " + wrongType.Value + " is not allowed"}
	}
	return err
}

// NeedsRelays reports whether the links between members have to go through relays, since a fault
// partitions the network.
func (e *Experiment) NeedsRelays() bool {
	for _, fault := range e.Faults {
		if fault.Kind == Partition {
			return true
		}
	}
	return false
}

// EarliestFault returns the earliest allowed time of a fault: the end of the steady state
// measurement.
func (e *Experiment) EarliestFault() time.Duration {
	return e.Settle.Duration + e.SteadyState.Duration
}
