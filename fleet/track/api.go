// Package track is the table of keyed calls and long-lived flows that the
// proxies of a fleet hold together. Each entry has a few replicas, found by
// rendezvous hashing over the roster and spread over zones. The package does no
// I/O, has no clock, no goroutine and no globals: the program round it tells
// what happened and when, sends the Outs and acts on the Answers.
//
// # What makes a keyed call safe
//
// The member that gets a call asks all replicas of its key to note it, and lets
// it go only once a majority has (quorum intersection: Gifford, SOSP 1979). A
// repeat that reaches any other member meets at least one of that majority. It
// goes to where the first went only if a majority says so, and is refused at
// once in every other case, a lost majority among them.
//
// Replicas keep nothing on disk. A replica that has restarted says nothing about
// a key until it has read that key's range from all other replicas, or until the
// longest entry it can have known is over; answers carry the incarnations of the
// replicas that the answerer knows, and an answer of an older life counts no more
// (crash-consistent quorums: Michael et al., DISC 2017).
//
// # What makes ageing safe
//
// Idle travels as a duration, and the receiver adds Lag, the longest time that a
// message may have taken. That bound is not only assumed: each message echoes the
// receiver's latest time stamp and says how long it was held, as in TCP's
// time stamps (RFC 7323), so the receiver knows a bound on its age without comparing
// clocks. One that may be older than Lag is dropped and counted. An entry ends once
// all replicas in touch agree, and leaves a tombstone with its generation.
package track

import "time"

// Limits of the messages and the names in them, in bytes.
const (
	MaxMessage = 1200 // below the least IPv6 MTU of 1280 less headers
	MaxKey     = 64
	MaxTarget  = 64
	MaxName    = 64
)

// Class describes one class of what is tracked.
type Class struct {
	// Keyed marks calls that may not take effect twice. Others are flows: losing
	// one costs its place at a backend, nothing else.
	Keyed bool
	// Call is the longest that a keyed call may run once it was let go.
	MaxCallTime time.Duration
	// Memory is how long a backend or scope drops repeats, from the first send.
	DedupWindow time.Duration
	// Idle is how long an open flow lives without activity.
	IdleTimeout time.Duration
	// Closed is how long a closing or closed flow is remembered.
	ClosedRetention time.Duration
}

// Settings is what a Table is told at its start. All but Me must be the same at
// all members. Zero durations and numbers take the defaults named here.
type Settings struct {
	Self       string
	Seed       uint64 // of the key hash; keep it from clients, see Key
	Replicas   int    // of an entry, 1 to 5; default 3
	MaxEntries int    // entries held here, and as many tombstones; default 1<<20
	Classes    []Class

	Lag         time.Duration // longest age of a message that is taken; default 1 s
	AskWithin   time.Duration // time bound of an Open; default 300 ms
	Sweep       time.Duration // one pass of ageing over the table; default 1 s
	Sync        time.Duration // between comparisons with each peer; default 5 s
	TouchEvery  time.Duration // activity of one flow is told at most this often; default 5 s
	Bound       time.Duration // how much longer an entry is kept while a replica is out of touch; default 60 s
	Lease       time.Duration // how long a View holds; default 10 s
	MaxComeBack time.Duration // longest come-back time given; default 5 s
}

// Member is one process of the fleet, as membership tells.
type Member struct {
	Name        string // the operator's, outlasts the process
	Zone        string
	Incarnation uint32 // orders the lives of a name; the first is 1
	Alive       bool   // by failure detection; hints only, nothing safe rests on it
}

// Roster is the agreed list of members. Two rosters of the same Epoch have the
// same names and zones; Alive and Incarnation are each member's own sight.
type Roster struct {
	Epoch   uint64
	Members []Member
	// Before is the roster of Epoch-1, empty in the first.
	Previous []Member
}

// Kind is what a Verdict says.
type Kind uint8

// The verdicts.
const (
	Pending       Kind = iota // an Answer with this Ticket follows within AskWithin
	New                       // go on; report Done with this Gen
	OpenHere                  // open at this member already: go only to Where
	OpenElsewhere             // open by another member: go only to Where
	Refused                   // don't send; ComeBack says when to try again
	FlowEnded                 // a flow of this Gen ended for the fleet: Open it anew
)

func (k Kind) String() string {
	return [...]string{"pending", "new", "mine", "elsewhere", "refused", "gone"}[k]
}

// Reason says why an Open was refused.
type Reason uint8

// The reasons, in rising order of how much they tell.
const (
	NoReason        Reason = iota
	NoQuorum               // no majority of the replicas answered in time
	Recovering             // a replica does not yet know what it has to
	StaleGeneration        // the generation asked for is over
	Busy                   // another member is opening it, or it is just ending
	RetryTooLate           // a repeat could reach its scope after the scope forgot
	TableFull              // no room, and nothing that may be given up
	BadRequest             // key, class or place is not legal
)

func (r Reason) String() string {
	return [...]string{"", "no quorum", "learning", "stale", "busy", "too late", "full", "bad request"}[r]
}

// Verdict answers an Open.
type Verdict struct {
	Kind       Kind
	Ticket     uint64
	Target     string
	Generation uint64
	RetryAfter time.Duration
	Reason     Reason
	// Alone marks a flow that is New though no majority noted it.
	Unconfirmed bool
}

// Answer is a Verdict that came later, for the Ticket that its Open got.
type Answer struct {
	Verdict
	Key Key
}

// Outcome is how a tracked call or flow ended.
type Outcome uint8

// The outcomes.
const (
	Finished    Outcome = iota // it ran, or was turned away; nothing of it runs any more
	MayStillRun                // given up, it may still run
)

// OutMessage is a message for a peer.
type OutMessage struct {
	To      string
	Payload []byte
}

// State is an entry's.
type State uint8

// The states. An entry goes through them in this order and may skip some; a
// keyed one that a repeat has been sent for stays Open until it has aged out.
const (
	stateFree      State = iota
	Prepared             // "new": a replica has noted it, its majority is not known here
	Open                 // a majority noted it: it may run
	Closing              // given up, may still run
	Closed               // over; a keyed one is still in its scope's memory
	stateTombstone       // a tombstone
)

func (s State) String() string {
	return [...]string{"free", "new", "open", "closing", "closed", "ended"}[s]
}

// Info describes one entry held here.
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

// Stats counts what a Table has seen since its start.
type Stats struct {
	Entries, Tombstones int

	Sent, Received                                            uint64 // messages
	Malformed, VersionMismatch, UnknownSender, OldIncarnation uint64 // dropped: form, version, sender, incarnation
	TooOld, WrongIncarnation, BadTimestamp                    uint64 // dropped: age over Lag or not known, not for me, clock
	Opened, OpenedElsewhere, Refusals, Unconfirmed            uint64 // verdicts
	Expired, Dropped, Evicted, Withdrawn, OwnLost             uint64 // ends
}
