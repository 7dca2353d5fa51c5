package runner

import (
	"time"

	"oxbowloft/internal/scale/experiment"
	"oxbowloft/internal/scale/fit"
)

// Result is the outcome of running an experiment.
type Result struct {
	Experiment  experiment.Experiment `json:"experiment"`
	Environment Environment           `json:"environment"`
	Relayed     bool                  `json:"relayed"` // links go through relays in this process
	Sizes       []SizeResult          `json:"sizes"`
	NotRun      []int                 `json:"not_run"` // sizes skipped after one that failed
	Fits        []NamedFit            `json:"fits"`
}

// Environment describes the host and the command of a run.
type Environment struct {
	Command    []string  `json:"command"`
	GoVersion  string    `json:"go_version"`
	Cores      int       `json:"cores"`      // of the host
	GoMaxProcs int       `json:"gomaxprocs"` // cores that the process may use concurrently
	StartedAt  time.Time `json:"started_at"`
}

// SizeResult is the outcome for a fleet of one size.
type SizeResult struct {
	Size         int           `json:"size"`
	StartSeconds float64       `json:"start_seconds"` // from the start of the first member until all views have converged
	SteadyState  *SteadyState  `json:"rest"`          // nil: the run failed before it was measured
	Faults       []FaultResult `json:"faults"`
	Failure      string        `json:"failure,omitempty"` // why it ended early
}

// SteadyState is what the members used while no fault occurred.
type SteadyState struct {
	Seconds     float64      `json:"seconds"`
	BytesOut    Distribution `json:"bytes_out_per_second"`
	BytesIn     Distribution `json:"bytes_in_per_second"`
	MessagesOut Distribution `json:"messages_out_per_second"`
	MessagesIn  Distribution `json:"messages_in_per_second"`
	StreamOut   Distribution `json:"stream_bytes_out_per_second"` // part of BytesOut sent over connections
	// ExchangeBytes is the mean number of bytes that one side sent in a full state exchange; 0
	// if there was none.
	ExchangeBytes float64            `json:"exchange_bytes"`
	KindsOut      map[string]float64 `json:"messages_out_per_second_by_kind"`
	PerMember     PerMember          `json:"per_member"`
}

// PerMember is the resource usage of the process divided by the number of members.
type PerMember struct {
	CPUMillisPerSecond float64 `json:"processor_ms_per_second"`
	ResidentKiB        float64 `json:"resident_kib"`
	Goroutines         float64 `json:"goroutines"`
	Descriptors        float64 `json:"descriptors"`
}

// FaultResult is the outcome of one fault.
type FaultResult struct {
	Kind    experiment.FaultKind `json:"kind"`
	At      float64              `json:"at_seconds"`
	Members []int                `json:"members,omitempty"` // killed or restarted
	Zone    int                  `json:"zone,omitempty"`    // partitioned
	// ConvergenceSeconds is the time that each member's view took to reflect the fault.
	ConvergenceSeconds Distribution `json:"seconds"`
	// AllConvergedSeconds is the time until all views reflected the fault at once; 0 if some
	// did not before the next fault or the time limit.
	AllConvergedSeconds float64 `json:"last_seconds"`
	Unconverged         int     `json:"missing"` // members whose view did not reflect the fault by then
}

// Distribution summarizes a measure over the members.
type Distribution struct {
	Count  int64   `json:"count"`
	Mean   float64 `json:"mean"`
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// NamedFit is the line fitted to one measure as a function of fleet size.
type NamedFit struct {
	Measure string   `json:"measure"`
	Unit    string   `json:"unit"`
	Line    fit.Line `json:"line"`
}
