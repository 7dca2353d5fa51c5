package model

import (
	"oxbowloft/logic"
	"time"
)

// Policy is who decides what is admitted.
type Policy int

// The policies compared.
const (
	Alone  Policy = iota // each balancer by itself, as it is
	Fleet                // the same, behind what the digests make each shed
	Seeing               // one that knows all rates, queues and capacity
)

func (p Policy) String() string { return [...]string{"alone", "fleet", "seeing"}[p] }

// Class is one class of request and what it costs a backend.
type Class struct {
	logic.Class
	Mix     float64       // share of first tries
	Service time.Duration // mean; service times are exponential
}

// Spell is a span of time and what is offered in it, as a multiple of the backends' capacity.
type Spell struct {
	For     time.Duration
	Offered float64
}

// Config is one run.
type Config struct {
	Seed     uint64
	Policy   Policy
	Members  int
	Zones    int
	Backends int
	Cores    int // of each backend
	Queue    int // calls that wait at a backend at most; more are turned away
	Classes  []Class
	Spells   []Spell
	Sigma    float64 // of the lognormal shares of traffic; 0: even
	Uneven   bool    // the balancers are told that traffic is unlike
	Tries    int     // of a client, the first one counted
	Obey     float64 // share of clients that keep to the come-back time
	Margin   float64 // Seeing: the share of the capacity that is planned with

	Fanout  int           // members that a digest is sent to
	Every   time.Duration // between digests; 0: a second
	Loss    float64       // of digests
	Delay   time.Duration // mean, exponential
	CutOff  int           // the last so many members hear nobody and are heard by nobody
	Compact bool
}

// Result is what a run came to.
type Result struct {
	Offered, Worth []float64 // by second of the first try
	Repeats, First []float64
	Refused        float64 // first tries that ended without an answer
	Level          []float64
	Messages, Size int    // of digests sent, bytes of one
	Hash           uint64 // of everything that happened, in order
}
