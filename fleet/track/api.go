// Package track is a replicated table of the keyed calls and long-lived flows in
// progress in a fleet of proxies. Each entry has a few replicas, selected by
// rendezvous hashing over the roster and spread over zones. The package does no
// I/O and has no clock, goroutines or globals: the caller passes in events with
// their times, sends the OutMessages and acts on the Answers.
//
// # Safety of keyed calls
//
// The member that receives a call asks all replicas of its key to prepare it, and
// admits it only once a majority has (quorum intersection: Gifford, SOSP 1979). A
// retry that reaches any other member meets at least one replica of that majority.
// It is sent to the target of the first attempt only if a majority reports that
// target, and is refused at once in every other case, including when no majority
// can be reached.
//
// Replicas store nothing on disk. A restarted replica does not vote on a key until
// it has read that key's range from all other replicas, or until the longest entry
// it can have known has expired. Votes carry the incarnations of the replicas that
// the voter knows, and a vote from an older incarnation is ignored
// (crash-consistent quorums: Michael et al., DISC 2017).
//
// # Safety of expiry
//
// Idle time is sent as a duration, and the receiver adds Lag, the maximum age of a
// message. That maximum is enforced, not assumed: each message echoes the
// receiver's latest timestamp and states how long the sender held it, as TCP
// timestamps do (RFC 7323), so the receiver has an upper bound on the message's age
// without comparing clocks. A message that may be older than Lag is dropped and
// counted. An entry ends once all reachable replicas agree, and leaves a tombstone
// with its generation.
package track

import "time"

// Limits on messages and on the names in them, in bytes.
const (
	MaxMessage = 1200 // below the minimum IPv6 MTU of 1280 less headers
	MaxKey     = 64
	MaxTarget  = 64
	MaxName    = 64
)

// Class describes a class of tracked calls or flows.
type Class struct {
	// Keyed marks calls that must not take effect twice. Other classes are flows:
	// losing a flow's entry loses only its affinity to a backend.
	Keyed bool
	// MaxCallTime is the longest that a keyed call may run after it was admitted.
	MaxCallTime time.Duration
	// DedupWindow is how long a backend or deduplication scope drops retries,
	// counted from the first send.
	DedupWindow time.Duration
	// IdleTimeout is how long an open flow is kept without activity.
	IdleTimeout time.Duration
	// ClosedRetention is how long a closing or closed flow is remembered.
	ClosedRetention time.Duration
}

// Settings configures a Table. All fields but Self must be the same at all members.
// Zero durations and numbers take the defaults given here.
type Settings struct {
	Self       string
	Seed       uint64 // of the key hash; must not be known to clients, see Key
	Replicas   int    // per entry, 1 to 5; default 3
	MaxEntries int    // maximum entries held by this member, and as many tombstones; default 1<<20
	Classes    []Class

	Lag         time.Duration // maximum age of an accepted message; default 1 s
	AskWithin   time.Duration // timeout of an Open; default 300 ms
	Sweep       time.Duration // duration of one expiry pass over the table; default 1 s
	Sync        time.Duration // interval between digest exchanges with each peer; default 5 s
	TouchEvery  time.Duration // minimum interval between activity updates for one flow; default 5 s
	Bound       time.Duration // how much longer an entry is kept while a replica is unreachable; default 60 s
	Lease       time.Duration // how long a roster stays valid after UpdateRoster; default 10 s
	MaxComeBack time.Duration // upper limit of RetryAfter; default 5 s
}

// Member is one process of the fleet, as reported by the membership service.
type Member struct {
	Name        string // set by the operator; survives restarts of the process
	Zone        string
	Incarnation uint32 // increases with each restart under the same name, starting at 1
	Alive       bool   // from failure detection; a hint on which no safety property depends
}

// Roster is the agreed list of members. Two rosters of the same Epoch have the same
// names and zones; Alive and Incarnation are as the local member observes them.
type Roster struct {
	Epoch   uint64
	Members []Member
	// Previous is the member list of Epoch-1, empty in the first epoch.
	Previous []Member
}

// Kind is the decision in a Verdict.
type Kind uint8

// The kinds of verdicts.
const (
	Pending       Kind = iota // an Answer with this Ticket follows within AskWithin
	New                       // proceed; report Done with this Generation
	OpenHere                  // already open at this member: send only to Target
	OpenElsewhere             // opened by another member: send only to Target
	Refused                   // don't send; RetryAfter says when to try again
	FlowEnded                 // the fleet has ended this Generation of a flow: call Open again
)

// String returns the short word for the kind of verdict, such as "mine" for OpenHere.
func (k Kind) String() string {
	return [...]string{"pending", "new", "mine", "elsewhere", "refused", "gone"}[k]
}

// Reason says why an Open was refused.
type Reason uint8

// The reasons, from the least to the most specific: of several votes, the highest
// reason is returned.
const (
	NoReason        Reason = iota
	NoQuorum               // no majority of the replicas answered in time
	Recovering             // a replica has not recovered its state yet
	StaleGeneration        // the requested generation has ended
	Busy                   // another member is opening it, or its end is being agreed on
	RetryTooLate           // a retry could arrive after its target's deduplication window has closed
	TableFull              // no room, and nothing that may be evicted
	BadRequest             // invalid key, class or target
)

// String returns the reason in one or two words, and the empty string for NoReason.
func (r Reason) String() string {
	return [...]string{"", "no quorum", "learning", "stale", "busy", "too late", "full", "bad request"}[r]
}

// Verdict is the result of an Open.
type Verdict struct {
	Kind       Kind
	Ticket     uint64
	Target     string
	Generation uint64
	RetryAfter time.Duration
	Reason     Reason
	// Unconfirmed marks a flow that is New although no majority has prepared it.
	Unconfirmed bool
}

// Answer is the Verdict that follows a Pending one with the same Ticket.
type Answer struct {
	Verdict
	Key Key
}

// Outcome says how a tracked call or flow ended.
type Outcome uint8

// The outcomes.
const (
	Finished    Outcome = iota // it completed or was rejected; no part of it is running
	MayStillRun                // abandoned, it may still be running
)

// OutMessage is a message to be sent to a peer.
type OutMessage struct {
	To      string
	Payload []byte
}

// State is the state of an entry.
type State uint8

// The states. An entry passes through them in this order and may skip some; a keyed
// entry for which a retry has been sent stays Open until it expires.
const (
	stateFree State = iota
	Prepared        // "new": prepared by this replica, not known to be prepared by a majority
	Open            // prepared by a majority: it may run
	Closing         // abandoned, may still be running
	Closed          // over; for a keyed entry, the deduplication window is still open
	stateTombstone
)

// String returns the lower-case word for the state; that of Prepared is "new".
func (s State) String() string {
	return [...]string{"free", "new", "open", "closing", "closed", "ended"}[s]
}

// Info describes one entry held by this member.
type Info struct {
	Key         Key
	Generation  uint64
	Class       int
	State       State
	Target      string
	Idle        time.Duration // an upper bound
	Replica     bool          // false: held for others until handed over
	ownerID     uint64
	incarnation uint32
}

// Stats counts what a Table has processed since it was created.
type Stats struct {
	Entries, Tombstones int

	Sent, Received uint64 // messages
	// Dropped messages: malformed, other protocol version, unknown sender, sender restarted since.
	Malformed, VersionMismatch, UnknownSender, OldIncarnation uint64
	// Dropped messages: age above Lag or unknown, addressed to another incarnation of this
	// member, implausible timestamps.
	TooOld, WrongIncarnation, BadTimestamp uint64

	Opened, OpenedElsewhere, Refusals, Unconfirmed uint64 // verdicts
	Expired, Dropped, Evicted, Withdrawn, OwnLost  uint64 // how entries and own calls ended
}
