// Package logic makes the load balancer's decisions: which backend gets a call, how long an attempt may
// take, whether a retry follows, and when a request is refused.
//
// This file is the package's interface and holds types only; the decisions are in the other files, one
// for each concern. The package does no I/O, reads no clock and starts no goroutines. The program around
// it reports events, each with the time at which it happened, and carries out the Actions that the
// package calls while it handles them.
package logic

import "time"

// Time is a point on the caller's clock. Only differences matter.
type Time = time.Duration

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may be executed any number of times
	Deduplicated                     // carries an idempotency key; some backends drop duplicates for a while
	NonIdempotent                    // must not be executed twice
)

// DedupScope is the set of backends that drop duplicates of a request whose class is Deduplicated.
type DedupScope int

// The deduplication scopes.
const (
	ScopeAll  DedupScope = iota // all backends
	ScopeZone                   // the backends of one zone
	ScopeCell                   // the backends of one cell
)

// Class describes a class of requests.
type Class struct {
	Name          string
	TargetLatency time.Duration // an answer within this time earns the full value
	Deadline      time.Duration // client timeout, over all retries by the client
	Value         float64
	Idempotency   Idempotency
	DedupScope    DedupScope    // if Deduplicated
	DedupWindow   time.Duration // if Deduplicated: how long duplicates are dropped
}

// Settings configures a Balancer.
type Settings struct {
	Seed          uint64
	Zone          string   // zone of this balancer
	Zones         []string // all zones, in the same order at all balancers
	Classes       []Class
	Tier          int // tier that the balancer sends to; 0: it receives client requests
	BalancerCount int // number of balancers that send to this tier
	BalancerIndex int // index of this balancer among them, from 0
	// Each client process has its own balancer, so that traffic differs between balancers.
	UnevenTraffic   bool
	CancelAbandoned bool // backends stop cancelled work: cancel attempts whose client has disconnected
	EqualClasses    bool // no class may be served worse than others because of its value
	MaxAttempts     int
	MaxRetryAfter   time.Duration // longest retry-after time that clients obey; 0: none
	// After a drain is announced, during which sends to the backend are still permitted.
	DrainGrace            time.Duration
	InitialWarmUpFraction float64       // share of its capacity that a backend starts with
	WarmUpTime            time.Duration // time after the start by which a backend has its full capacity
}

// State is the state of a backend according to the list.
type State int

// The states of a backend.
const (
	Up       State = iota
	Draining       // finishes outstanding calls, takes no new ones
	Removed        // no longer exists
)

// Backend is one entry of the list of backends.
type Backend struct {
	ID        string
	Zone      string
	Cell      int
	Capacity  float64 // relative to other backends; 0: unknown
	StartedAt Time    // 0: long ago
	State     State
}

// ListFreshness says how long, and for which backends, the list may be used.
type ListFreshness struct {
	FreshUntil Time // until then the list has every change that counts as announced; 0: no bound
	// Until then a stale list may be used for backends that have recently served a call.
	StaleUntil     Time
	EvidenceWindow time.Duration // how recently such a call must have been sent
	// When a list or heartbeat last confirmed that the list was complete; 0: never.
	ConfirmedAt   Time
	ReceivedAt    Time // when the last list was received; 0: never
	ChangesMayLag bool // changes may be delayed although the watch receives heartbeats
	// A backend unobserved for longer may have been removed from the list meanwhile.
	MaxUnobserved time.Duration
}

// Request is a request from a client, or a call from the tier above.
type Request struct {
	ID          string
	Class       int           // index into Settings.Classes
	Budget      time.Duration // time until the caller's timeout, from when the caller sent the request
	Waited      time.Duration // the part of Budget that was over before the request was read
	ClientRetry bool          // the client marks the request as a retry
	Streamed    bool          // forwarded while it is being received: an attempt begins at RequestWritten
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	OK             Result = iota
	Error                 // the backend answered with an error; it may have executed the request
	Rejected              // rejected by the backend without executing it
	TimedOut              // may have been executed, may still be executing
	ConnectFailed         // no connection to the backend
	ConnectionLost        // connection lost during the exchange; may have been executed
	Cancelled             // may have been executed
	NotSent               // the attempt was not sent
	ConnectPending        // not sent: the connection was not established in time, but may still be
)

// Outcome reports the end of one attempt.
type Outcome struct {
	Request string
	Attempt int // index of the attempt in the order of sends, from 0
	Result  Result
	Latency time.Duration // since the send
	Final   bool          // the request has had its final answer
	// Can't be sent again: part of the request or answer was streamed and not kept.
	NotReplayable bool
}

// Cause is why a request was refused or failed.
type Cause int

// The causes. From Drained on they are ordered by how many checks a backend passed: the cause reported is
// that of the backend which passed the most.
const (
	OverLimit         Cause = iota // the concurrency limit was reached
	NotEnoughTime                  // the time left is too short for an attempt
	AttemptsExhausted              // the maximum number of attempts has been made
	// Too many retries, over all requests, of attempts that may have been executed.
	RetryBudgetExhausted
	// An attempt may have been executed and must not be retried, or not on the backends available.
	MayHaveRun
	BalancerStopping // this balancer is shutting down
	NoBackend        // no backend is listed
	Drained          // draining, removed or detached
	ListStale        // the list may lack a change that counts as announced
	SlowStart        // in slow start, and has had its share of calls
	Avoided          // ejected, or has just rejected a call
)

var causeNames = [...]string{
	"over_limit", "no_time", "no_attempts", "retry_budget", "may_have_run", "balancer_ends",
	"no_backend", "drained", "list_stale", "slow_start", "avoided",
}

// String is the cause's name in the log.
func (c Cause) String() string { return causeNames[c] }

var resultNames = [...]string{
	"ok", "error", "full", "timed_out", "no_connect", "broken", "cancelled", "never_sent", "late",
}

// String is the result's name in the log.
func (r Result) String() string { return resultNames[r] }

// BackendStatus says whether a backend is in use.
type BackendStatus int

// The backend statuses.
const (
	InUse   BackendStatus = iota
	Ejected               // not used because of its failures, until a probe succeeds
)

var backendStatusNames = [...]string{"in_use", "ejected"}

// String is the status's name in the log.
func (s BackendStatus) String() string { return backendStatusNames[s] }

// Observer is notified of changes that need no action. Actions may implement it.
type Observer interface {
	// BackendStatusChanged reports a backend's new status and its share of recent failures.
	BackendStatusChanged(backend string, status BackendStatus, failureShare float64)
}

// ListRequester requests the list of backends. Actions may implement it.
type ListRequester interface {
	// RequestList requests a list because one or more backends can't be used without a new one.
	RequestList()
}

// Actions carries out the package's decisions, in the order of the calls.
type Actions interface {
	// Send starts an attempt that times out after timeout.
	Send(request, backend string, timeout time.Duration)
	// Refuse answers that the request had no effect and may be retried.
	Refuse(request string, retryAfter time.Duration, cause Cause)
	// Fail answers that the request failed, without a statement about its effect.
	Fail(request string, cause Cause)
	// Cancel cancels an outstanding attempt; its outcome is still reported.
	Cancel(request string, attempt int)
	// StartTimer requests a TimerFired event with token after the given time.
	StartTimer(token uint64, after time.Duration)
	// CloseIdle closes this balancer's idle connections to a backend.
	CloseIdle(backend string)
}
