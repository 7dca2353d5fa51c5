package model

import (
	"oxbowloft/logic"
	"time"
)

// Policy is who decides what is admitted.
type Policy int

// The policies compared.
const (
	Independent Policy = iota // each balancer by itself, as it is
	Coordinated               // the same, behind what the digests make each shed
	Oracle                    // one that knows all rates, queues and capacity
)

func (p Policy) String() string { return [...]string{"alone", "fleet", "seeing"}[p] }

// Class is one class of request and what it costs a backend.
type Class struct {
	logic.Class
	Mix     float64       // share of first tries
	Service time.Duration // mean; service times are exponential
}

// Phase is a span of time and what is offered in it, as a multiple of the backends' capacity.
type Phase struct {
	Duration time.Duration
	Load     float64
}

// Config is one run.
type Config struct {
	Seed               uint64
	Policy             Policy
	Members            int
	Zones              int
	Backends           int
	Cores              int // of each backend
	QueueLimit         int // calls that wait at a backend at most; more are turned away
	Classes            []Class
	Phases             []Phase
	TrafficSigma       float64 // of the lognormal shares of traffic; 0: even
	UnevenTraffic      bool    // the balancers are told that traffic is unlike
	MaxTries           int     // of a client, the first one counted
	ObeyRetryAfter     float64 // share of clients that keep to the come-back time
	PlannedUtilization float64 // Seeing: the share of the capacity that is planned with

	GossipFanout    int           // members that a digest is sent to
	GossipInterval  time.Duration // between digests; 0: a second
	DigestLoss      float64       // of digests
	DigestDelay     time.Duration // mean, exponential
	IsolatedMembers int           // the last so many members hear nobody and are heard by nobody
	CompactDigests  bool
}

// Result is what a run came to.
type Result struct {
	OfferedValue, ServedValue []float64 // by second of the first try
	Retries, FirstTries       []float64
	Unanswered                float64 // first tries that ended without an answer
	ShedShare                 []float64
	DigestsSent, DigestBytes  int    // of digests sent, bytes of one
	TraceHash                 uint64 // of everything that happened, in order
}
