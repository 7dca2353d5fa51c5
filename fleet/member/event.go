package member

// Kind is the kind of an Event.
type Kind uint8

// The kinds of Event.
const (
	Joined    Kind = iota // a name that was not known
	Left                  // it has said so
	Died                  // it was found dead; a Left may follow, if that is heard later
	Returned              // the same life with its next incarnation, believed dead or not
	Restarted             // another life; Old is the one before
	Displaced             // Old has lost its name to Member; of oneself: the others are not seen any more
	Resumed               // oneself, after the fleet went on without: drop what is held
	Resync                // events were lost; see Node.Events
)

var kindNames = [...]string{
	"joined", "left", "died", "returned", "restarted", "displaced", "resumed", "resync",
}

func (k Kind) String() string { return kindNames[k] }

// Event is a change of the view.
type Event struct {
	Kind   Kind
	Member Member
	Old    Member // Returned, Restarted, Displaced

	View        []Member // Resync: all that are alive
	LostResumed bool     // Resync: a Resumed was among the events lost
}

// Phase is the state of one's own membership.
type Phase uint8

// The phases. The last two are final.
const (
	Starting   Phase = iota // asking; no incarnation yet
	Serving                 // a member
	Superseded              // displaced: another life keeps the name
	Leaving                 // has said that it leaves
)

func (p Phase) String() string { return [...]string{"starting", "serving", "aside", "leaving"}[p] }

// rosterActions carries out what a roster decides, in the order of the calls.
type rosterActions interface {
	// Happened reports a change.
	EmitEvent(Event)
	// Announce makes one's own member known to the others as it is now.
	Announce(self Member)
	// StepAside ends one's own part in the fleet: the winner keeps the name.
	Withdraw(winner Member)
	// Tell sends to one member, as well as may be, what is known of its name. It may be
	// lost: what has to arrive is told again.
	SendRecord(to Member, about memberRecord)
}
