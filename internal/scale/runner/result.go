package runner

import (
	"time"

	"oxbowloft/internal/scale/experiment"
	"oxbowloft/internal/scale/fit"
)

// Result is what a run of an experiment gave.
type Result struct {
	Experiment  experiment.Experiment `json:"experiment"`
	Environment Environment           `json:"environment"`
	Relayed     bool                  `json:"relayed"` // links pass through relays of this process
	Sizes       []SizeResult          `json:"sizes"`
	NotRun      []int                 `json:"not_run"` // sizes behind one that failed
	Fits        []NamedFit            `json:"fits"`
}

// Environment is what a run was made with.
type Environment struct {
	Command    []string  `json:"command"`
	GoVersion  string    `json:"go_version"`
	Cores      int       `json:"cores"`      // of the machine
	GoMaxProcs int       `json:"gomaxprocs"` // cores that the process may use at a time
	StartedAt  time.Time `json:"started_at"`
}

// SizeResult is what a fleet of one size gave.
type SizeResult struct {
	Size         int           `json:"size"`
	StartSeconds float64       `json:"start_seconds"` // from nothing until all are in one view
	SteadyState  *SteadyState  `json:"rest"`          // nil: not reached
	Faults       []FaultResult `json:"faults"`
	Failure      string        `json:"failure,omitempty"` // what ended it early
}

// Rest is what the members used at rest.
type SteadyState struct {
	Seconds     float64      `json:"seconds"`
	BytesOut    Distribution `json:"bytes_out_per_second"`
	BytesIn     Distribution `json:"bytes_in_per_second"`
	MessagesOut Distribution `json:"messages_out_per_second"`
	MessagesIn  Distribution `json:"messages_in_per_second"`
	StreamOut   Distribution `json:"stream_bytes_out_per_second"` // part of BytesOut that is on connections
	// ExchangeBytes is how long one side of a full exchange of state was, in the mean; 0 if
	// there was none.
	ExchangeBytes float64            `json:"exchange_bytes"`
	KindsOut      map[string]float64 `json:"messages_out_per_second_by_kind"`
	PerMember     PerMember          `json:"per_member"`
}

// PerMember is what the process used, divided by the number of members.
type PerMember struct {
	CPUMillisPerSecond float64 `json:"processor_ms_per_second"`
	ResidentKiB        float64 `json:"resident_kib"`
	Goroutines         float64 `json:"goroutines"`
	Descriptors        float64 `json:"descriptors"`
}

// FaultResult is what followed from one fault.
type FaultResult struct {
	Kind    experiment.FaultKind `json:"kind"`
	At      float64              `json:"at_seconds"`
	Members []int                `json:"members,omitempty"` // killed or restarted
	Zone    int                  `json:"zone,omitempty"`    // cut off
	// Seconds is how long each member took until its view was as the fault makes it.
	ConvergenceSeconds Distribution `json:"seconds"`
	// AllConvergedSeconds is when all views were so at once; 0 if some were not when the next fault
	// or the time limit came.
	AllConvergedSeconds float64 `json:"last_seconds"`
	Unconverged         int     `json:"missing"` // members whose view was not
}

// Spread is how a measure is spread over the members.
type Distribution struct {
	Count  int64   `json:"count"`
	Mean   float64 `json:"mean"`
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// NamedFit is a line fitted to one measure over the sizes.
type NamedFit struct {
	Measure string   `json:"measure"`
	Unit    string   `json:"unit"`
	Line    fit.Line `json:"line"`
}
