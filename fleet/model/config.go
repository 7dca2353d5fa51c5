package model

import (
	"oxbowloft/logic"
	"time"
)

// Policy selects what decides which requests are admitted.
type Policy int

// The policies compared.
const (
	Independent Policy = iota // each balancer by itself
	Coordinated               // balancers behind the load shedding that the members' digests lead to
	Oracle                    // an ideal policy that knows all rates, queues and the capacity
)

// String returns the short word for the policy: "alone", "fleet" or "seeing".
func (p Policy) String() string { return [...]string{"alone", "fleet", "seeing"}[p] }

// Class is a class of requests with its share of the traffic and its cost.
type Class struct {
	logic.Class
	Mix     float64       // share of the clients' first tries; all shares sum to 1
	Service time.Duration // mean of the exponential service times
}

// Phase is a period of constant offered load.
type Phase struct {
	Duration time.Duration
	Load     float64 // first tries, as a multiple of the backends' capacity
}

// Config describes a run.
type Config struct {
	Seed               uint64
	Policy             Policy
	Members            int
	Zones              int
	Backends           int
	Cores              int // of each backend; a core serves one attempt at a time
	QueueLimit         int // attempts that may wait at a backend; it rejects more
	Classes            []Class
	Phases             []Phase
	TrafficSigma       float64 // of the lognormal traffic shares of the members; 0: even
	UnevenTraffic      bool    // the balancers' setting for uneven traffic
	MaxTries           int     // of a client for a request, including the first
	ObeyRetryAfter     float64 // share of clients that wait as long as Retry-After says
	PlannedUtilization float64 // share of the capacity that Oracle uses

	GossipFanout    int           // members drawn as receivers of each digest
	GossipInterval  time.Duration // between digests; 0: 1 s
	DigestLoss      float64       // probability that a digest is lost
	DigestDelay     time.Duration // mean of the exponential part of the delay
	IsolatedMembers int           // this many members, the last ones, neither send nor receive digests
	CompactDigests  bool
}

// Result holds the measurements of a run. Slices have one element per second.
type Result struct {
	OfferedValue, ServedValue []float64 // by the second of a request's first try
	Retries, FirstTries       []float64 // Retries: attempts after one that may have run, by their own second
	Unanswered                float64   // requests that ended without an answer
	ShedFraction              []float64 // share of the last class that members shed, on average
	DigestsSent, DigestBytes  int       // DigestBytes: size of the latest digest
	TraceHash                 uint64    // of all events in order
}
