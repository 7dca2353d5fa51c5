package member

// Kind is the kind of an Event.
type Kind uint8

// The kinds of Event.
const (
	Joined    Kind = iota // a name that was not known before
	Left                  // it announced its departure
	Died                  // the failure detector declared it dead; a Left may follow, if its announcement arrives later
	Returned              // the same process run with a higher incarnation, whether or not it was believed dead
	Restarted             // another process run; Old is the previous one
	Displaced             // Old has lost its name to Member; if Old is this node, it no longer sees other members
	Resumed               // this node, after the fleet may have continued without it: it must discard the state it holds
	Resync                // events were lost; see Node.Events
)

var kindNames = [...]string{
	"joined", "left", "died", "returned", "restarted", "displaced", "resumed", "resync",
}

// String returns the lower-case word for the kind, such as "joined".
func (k Kind) String() string { return kindNames[k] }

// Event is a change of the view.
type Event struct {
	Kind   Kind
	Member Member
	Old    Member // Returned, Restarted, Displaced

	View        []Member // Resync: all members that are alive
	LostResumed bool     // Resync: a Resumed was among the lost events
}

// Phase is the state of the node's own membership.
type Phase uint8

// The phases. The last two are final.
const (
	Starting   Phase = iota // contacting the seeds; no incarnation yet
	Serving                 // a member
	Superseded              // displaced: another process run keeps the name
	Leaving                 // has announced that it leaves
)

// String returns the lower-case word for the phase; that of Superseded is "aside".
func (p Phase) String() string { return [...]string{"starting", "serving", "aside", "leaving"}[p] }

// rosterActions carries out the decisions of a roster, in the order of the calls.
type rosterActions interface {
	// EmitEvent reports a change of the view.
	EmitEvent(Event)
	// Announce publishes the current state of the node itself to the other members.
	Announce(self Member)
	// Withdraw ends this process run's membership: the winner keeps the name.
	Withdraw(winner Member)
	// SendRecord sends to one member what is known of its name, best effort. The roster repeats
	// records that have to arrive.
	SendRecord(to Member, about memberRecord)
}
