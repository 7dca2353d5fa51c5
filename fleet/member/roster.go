package member

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Limits bounds what a Roster remembers and waits for.
type Limits struct {
	StopAfter   time.Duration // longest time between ticks after which nobody can have taken one for dead
	DepartedFor time.Duration // how long a departed life is remembered
	MaxDeparted int           // how many departed names are remembered; the longest departed goes first
}

// Verdict is what to make of a message.
type Verdict uint8

// The verdicts on a sender.
const (
	Take    Verdict = iota
	Older           // from a life, or an incarnation, that is over
	Unknown         // from one that is not among the members
)

// Roster is one member's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	limits      Limits
	actions     Actions
	self        Member
	phase       Phase
	names       map[string]Record // all but one's own
	highestTold uint64            // the highest incarnation heard of for one's own name
	lastTick    Time
	notices     map[string]notice

	// Who has said to have found this life dead in incarnation accused. What was said of
	// those before fresh, the one taken at the last Resumed, is dealt with.
	resumedIncarnation uint64
	accusedIncarnation uint64
	accusers           map[string]bool
}

// notice is something to be told again. A lost one would leave a living member out.
type notice struct {
	to        Member
	about     Record
	remaining int // -1: until it has helped
}

// NewRoster returns the view of a process that starts. The incarnation of self is not
// used: it is known once all have been asked, see Settled.
func NewRoster(now Time, limits Limits, self Member, act Actions) *Roster {
	self.Incarnation = 0
	return &Roster{
		limits:   limits,
		actions:  act,
		self:     self,
		names:    map[string]Record{},
		lastTick: now,
		notices:  map[string]notice{},
		accusers: map[string]bool{},
	}
}

// Self returns oneself.
func (r *Roster) Self() Member { return r.self }

// Phase returns how far one's own membership has come.
func (r *Roster) Phase() Phase { return r.phase }

// Members returns all that are alive, oneself among them, by name.
func (r *Roster) Members() []Member {
	out := []Member{r.self}
	for _, rec := range r.names {
		if rec.State == Alive {
			out = append(out, rec.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Departed returns the departed lives that are remembered, by name, for the memory of others.
func (r *Roster) Departed() []Record {
	var out []Record
	for _, rec := range r.names {
		if rec.departed() {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Settled reports that all that could be asked have been: the process takes one more than
// any incarnation it was told of.
func (r *Roster) Settled(now Time) {
	if r.phase != Starting {
		return
	}
	r.phase = Serving
	r.lastTick = now
	r.setIncarnation(r.highestTold + 1)
}

// Alive reports that the failure detector has m among the living.
func (r *Roster) Alive(now Time, m Member) {
	r.detectStop(now)
	// A process that is still asking is nobody yet.
	if m.Incarnation == 0 || m.Incarnation > maxIncarnation || r.phase == Aside {
		return
	}
	if m.Name == r.self.Name {
		r.Claim(now, m)
		return
	}
	r.merge(now, Record{Member: m, State: Alive})
}

// Died reports that the failure detector has found m dead.
func (r *Roster) Died(now Time, m Member) {
	r.detectStop(now)
	r.mergeDeparted(now, Record{Member: m, State: Dead, Since: now})
	r.expireDeparted(now)
}

// Left reports that m has said that it leaves.
func (r *Roster) Left(now Time, m Member) {
	r.detectStop(now)
	r.mergeDeparted(now, Record{Member: m, State: Gone, Since: now})
	r.expireDeparted(now)
}

// Hearsay reports what the member named from remembers as departed. The Since of its
// records is on the clock of this Roster.
func (r *Roster) Hearsay(now Time, from string, records []Record) {
	r.detectStop(now)
	for _, rec := range records {
		if rec.Name == r.self.Name {
			r.Told(now, from, rec)
			continue
		}
		if rec.State != Gone {
			rec.State = Heard
		}
		rec.Since = min(rec.Since, now)
		r.mergeDeparted(now, rec)
	}
	r.expireDeparted(now)
}

func (r *Roster) mergeDeparted(now Time, rec Record) {
	if rec.Incarnation == 0 || rec.Incarnation > maxIncarnation || r.phase == Aside ||
		rec.Name == r.self.Name || now-rec.Since > r.limits.DepartedFor {
		return
	}
	r.merge(now, rec)
}

// merge takes in news of another name.
func (r *Roster) merge(now Time, rec Record) {
	old, known := r.names[rec.Name]
	switch {
	case !known || rec.supersedes(old):
		r.names[rec.Name] = rec
		delete(r.notices, rec.Name)
		r.reportChange(old, known, rec)
	case rec.State == Alive && old.departed():
		// It lives and does not know how it is remembered. As long as it does not, its
		// words are dropped here.
		r.sendNotice(notice{rec.Member, old, -1})
	case rec.departed() && old.departed():
		if compareLives(rec.Member, old.Member) == 0 && rec.Since < old.Since {
			old.Since = rec.Since
			r.names[rec.Name] = old
		}
		delete(r.notices, rec.Name)
	}
}

// reportChange reports the step from one record of a name to a higher one.
func (r *Roster) reportChange(old Record, known bool, rec Record) {
	seen := known && old.State != Heard
	sameLife := old.Life == rec.Life
	e := Event{Member: rec.Member, Old: old.Member}
	switch {
	case rec.State == Alive && !seen:
		e = Event{Kind: Joined, Member: rec.Member}
	case rec.State == Alive && sameLife:
		e.Kind = Returned
	case rec.State == Alive:
		e.Kind = Restarted
	case seen && sameLife && rec.State == Gone && old.State != Gone:
		e = Event{Kind: Left, Member: rec.Member}
	case known && old.State == Alive:
		// Also where a later life is known to have come and gone meanwhile.
		e = Event{Kind: Died, Member: old.Member}
	default:
		return
	}
	r.actions.Happened(e)
	if e.Kind == Returned && old.State == Dead {
		// Each that had it dead says so once: it must know whether most had.
		r.sendNotice(notice{rec.Member, old, 2})
	}
}

func (r *Roster) sendNotice(t notice) {
	r.notices[t.to.Name] = t
	r.actions.Tell(t.to, t.about)
}

// Claim reports that m is said to be alive, by a word that the failure detector does not
// follow: another life under one's own name, or a second address of another's.
func (r *Roster) Claim(now Time, m Member) {
	r.detectStop(now)
	if m.Incarnation > maxIncarnation || r.phase == Aside {
		return
	}
	if m.Name == r.self.Name {
		r.Told(now, "", Record{Member: m, State: Alive})
		return
	}
	cur, known := r.names[m.Name]
	if !known || cur.departed() || m.Incarnation == 0 || m.Life == cur.Life || m.Addr == cur.Addr {
		return
	}
	if compareLives(m, cur.Member) < 0 {
		r.actions.Tell(m, cur)
		return
	}
	// Said once a claim: the tell stays until the record changes.
	if t := r.notices[m.Name]; t.about.Member != m {
		r.actions.Happened(Event{Kind: Displaced, Member: m, Old: cur.Member})
	}
	r.sendNotice(notice{cur.Member, Record{Member: m, State: Alive}, -1})
}

// Leave reports that the process leaves the fleet.
func (r *Roster) Leave(now Time) {
	r.detectStop(now)
	if r.phase > Serving {
		return
	}
	if r.phase == Starting {
		r.self.Incarnation = r.highestTold + 1
	}
	r.phase = Leaving
	r.actions.Announce(r.self)
}

// Tick reports that time has passed. It is to come several times in Limits.StopAfter.
func (r *Roster) Tick(now Time) {
	r.detectStop(now)
	r.lastTick = now
	r.expireDeparted(now)
	names := make([]string, 0, len(r.notices))
	for name := range r.notices {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := r.notices[name]
		if t.remaining == 0 {
			delete(r.notices, name)
			continue
		}
		if t.remaining > 0 {
			t.remaining--
			r.notices[name] = t
		}
		r.actions.Tell(t.to, t.about)
	}
}

// Accept tells what to make of a message that is said to come from a life of name.
func (r *Roster) Accept(name string, incarnation, life uint64) Verdict {
	rec, ok := r.names[name]
	switch {
	case !ok || name == r.self.Name:
		return Unknown
	case compareLives(Member{Incarnation: incarnation, Life: life}, rec.Member) < 0:
		return Older
	case rec.departed() && incarnation == rec.Incarnation && life == rec.Life:
		return Older
	case rec.departed() || life != rec.Life:
		return Unknown
	}
	// Its next incarnation may be a little ahead of the news of it.
	return Take
}

// expireDeparted keeps the memory of departed lives within its bounds.
func (r *Roster) expireDeparted(now Time) {
	var departed []Record
	for name, rec := range r.names {
		switch {
		case !rec.departed():
		case now-rec.Since > r.limits.DepartedFor:
			delete(r.names, name)
			delete(r.notices, name)
		default:
			departed = append(departed, rec)
		}
	}
	if len(departed) <= r.limits.MaxDeparted {
		return
	}
	slices.SortFunc(departed, func(a, b Record) int {
		if c := cmp.Compare(a.Since, b.Since); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, rec := range departed[:len(departed)-r.limits.MaxDeparted] {
		delete(r.names, rec.Name)
		delete(r.notices, rec.Name)
	}
}
