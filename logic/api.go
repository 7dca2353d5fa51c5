// Package logic is oxbowloft's decision module: which backend gets a call, for
// how long, whether another attempt follows, and when a request is turned away.
//
// This file is the module's whole interface, types only. The decisions are in the
// files beside it, one for each concern. The module does no I/O, has no clock and
// starts no goroutines: the program around it reports events, each with the time it
// happened, and carries out the Actions that the module asks for while it handles them.
package logic

import "time"

// Time is a point on the caller's clock. Only differences matter.
type Time = time.Duration

// Repeat says what a second run of a request would do.
type Idempotency int

// The repeat rules of a class.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // carries a key; some backends drop repeats for a while
	NonIdempotent                    // must not run twice
)

// Scope is the set of backends that drop repeats of a keyed request.
type DedupScope int

// The scopes of a keyed class.
const (
	ScopeAll  DedupScope = iota // every backend
	ScopeZone                   // the backends of one zone
	ScopeCell                   // the backends of one cell
)

// Class describes one class of request.
type Class struct {
	Name          string
	TargetLatency time.Duration // an answer within this earns the full worth
	Deadline      time.Duration // the client's whole patience, over all its tries
	Value         float64
	Idempotency   Idempotency
	DedupScope    DedupScope    // Keyed only
	DedupWindow   time.Duration // Keyed only: how long repeats are dropped
}

// Settings is all that a balancer is told at its start.
type Settings struct {
	Seed                  uint64
	Zone                  string   // this balancer's zone
	Zones                 []string // all zones, in an order that all balancers share
	Classes               []Class
	Tier                  int  // the tier it sends into; 0 faces the clients
	BalancerCount         int  // how many balancers send into this tier
	BalancerIndex         int  // this balancer's number among them, from 0
	UnevenTraffic         bool // each client process has a balancer of its own: their traffic is unlike
	CancelAbandoned       bool // work that is cancelled stops, and is given up when its client leaves
	EqualClasses          bool // no class is to be worse off than others for its worth
	MaxAttempts           int
	MaxRetryAfter         time.Duration // longest come-back time clients obey; 0: none
	DrainGrace            time.Duration // after being told of a drain, in which sends may still go there
	InitialWarmUpFraction float64       // share of its capacity a backend starts with
	WarmUpTime            time.Duration // it has all of it after this at the latest
}

// State is what the list says of a backend.
type State int

// The states of a backend.
const (
	Up       State = iota
	Draining       // finishes what it has, takes nothing new
	Removed        // gone
)

// Backend is one line of the list.
type Backend struct {
	ID        string
	Zone      string
	Cell      int
	Capacity  float64 // compares with other backends' sizes; 0: unknown
	StartedAt Time    // 0: long ago
	State     State
}

// SetListFreshness is for how long a list may be used.
type ListFreshness struct {
	FreshUntil     Time          // it holds all that counts as told until then; 0: for ever
	StaleUntil     Time          // as far as it may be used, by what has served a call
	EvidenceWindow time.Duration // that was sent within this time
	ConfirmedAt    Time          // a list or a sign of life last told that it was whole; 0: never
	ReceivedAt     Time          // the last list came; 0: never
	ChangesMayLag  bool          // changes may wait while a watch shows signs of life
	MaxUnobserved  time.Duration // a backend not seen for longer may have been listed as gone meanwhile
}

// Request is a client's request, or a call from the tier above.
type Request struct {
	ID          string
	Class       int           // index into Settings.Classes
	Budget      time.Duration // time until its caller gives up
	ClientRetry bool          // the client asks again, where clients tell
	Streamed    bool          // it is sent on as it comes: an attempt begins at its Written
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	OK             Result = iota
	Error                 // the backend answered with an error; it may have run
	Rejected              // turned away unseen
	TimedOut              // may have run, may still run
	ConnectFailed         // never reached the backend
	ConnectionLost        // connection lost under way; it may have run
	Cancelled             // may have run
	NotSent               // not sent at all
	ConnectPending        // not sent: its connection did not come up in time, and still may
)

// Outcome reports the end of one attempt.
type Outcome struct {
	Request       string
	Attempt       int // counts from 0 in the order of sends
	Result        Result
	Latency       time.Duration // since the send
	Final         bool          // the request has had its final answer
	NotReplayable bool          // it can't be sent again: a part of it has passed through
}

// Cause is why a request was given up.
type Cause int

// The causes. Those from Drained on say what kept the request from the backend that was
// nearest to being used.
const (
	OverLimit            Cause = iota // the concurrency limit
	NotEnoughTime                     // the time left does not hold another attempt
	AttemptsExhausted                 // as many attempts as may be made have been
	RetryBudgetExhausted              // too many repeats of what may have run, of all requests
	MayHaveRun                        // an attempt may have run, and must not be repeated, or not there
	BalancerStopping                  // the balancer is about to end
	NoBackend                         // none is listed
	Drained                           // draining, gone, or out by hand
	ListStale                         // the list may lack what counts as told
	SlowStart                         // cold, and has had its part
	Avoided                           // ejected, or full a moment ago
)

var causes = [...]string{
	"over_limit", "no_time", "no_attempts", "retry_budget", "may_have_run", "balancer_ends",
	"no_backend", "drained", "list_stale", "slow_start", "avoided",
}

// String is the cause's word in the log.
func (c Cause) String() string { return causes[c] }

var results = [...]string{
	"ok", "error", "full", "timed_out", "no_connect", "broken", "cancelled", "never_sent", "late",
}

// String is the result's word in the log.
func (r Result) String() string { return results[r] }

// Standing is whether a backend is in use.
type BackendStatus int

// The standings.
const (
	InUse   BackendStatus = iota
	Ejected               // left out for its failures, until a trial succeeds
)

var standings = [...]string{"in_use", "ejected"}

// String is the standing's word in the log.
func (s BackendStatus) String() string { return standings[s] }

// Observer is told of changes that call for nothing to be done. Actions may implement it.
type Observer interface {
	// BackendStatusChanged reports that a backend's standing has changed, and its share of recent failures.
	BackendStatusChanged(backend string, s BackendStatus, failures float64)
}

// Lister gets a list anew. Actions may implement it.
type ListRequester interface {
	// RequestList asks for a list, since one or more backends can't be used without.
	RequestList()
}

// Actions carries out what the module decides, in the order of the calls.
type Actions interface {
	// Send starts an attempt that times out after timeout.
	Send(request, backend string, timeout time.Duration)
	// Refuse answers that the request had no effect and another try is harmless.
	Refuse(request string, comeBack time.Duration, why Cause)
	// Fail answers that the request failed, promising nothing of its effect.
	Fail(request string, why Cause)
	// Cancel gives up one attempt that is out; its outcome follows.
	Cancel(request string, attempt int)
	// StartTimer asks for a TimerFired event with token after the given time.
	StartTimer(token uint64, after time.Duration)
	// CloseIdle closes this balancer's idle connections to a backend.
	CloseIdle(backend string)
}
