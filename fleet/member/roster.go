package member

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// rosterLimits bounds what a roster remembers and waits for.
type rosterLimits struct {
	PauseThreshold    time.Duration // longest time between ticks after which nobody can have taken one for dead
	DepartedRetention time.Duration // how long a departed life is remembered
	MaxDeparted       int           // how many departed names are remembered; the longest departed goes first
}

// verdict is what to make of a message.
type senderStatus uint8

// The verdicts on a sender.
const (
	senderAccepted senderStatus = iota
	senderStale                 // from a life, or an incarnation, that is over
	senderUnknown               // from one that is not among the members
)

func (v senderStatus) String() string { return [...]string{"take", "older", "unknown"}[v] }

// roster is one member's view of the fleet. It is not safe for concurrent use.
type roster struct {
	limits          rosterLimits
	actions         rosterActions
	self            Member
	phase           Phase
	names           map[string]memberRecord // all but one's own
	highestReported uint64                  // the highest incarnation heard of for one's own name
	lastTick        clockTime
	notices         map[string]notice

	// Who has said to have found this life dead in incarnation accused. What was said of
	// those before fresh, the one taken at the last Resumed, is dealt with.
	resumedIncarnation      uint64
	reportedDeadIncarnation uint64
	deathReporters          map[string]bool
}

// notice is something to be told again. A lost one would leave a living member out.
type notice struct {
	to        Member
	about     memberRecord
	remaining int // -1: until it has helped
}

// newRoster returns the view of a process that starts. The incarnation of self is not
// used: it is known once all have been asked, see Settled.
func newRoster(now clockTime, limits rosterLimits, self Member, act rosterActions) *roster {
	self.Incarnation = 0
	return &roster{
		limits:         limits,
		actions:        act,
		self:           self,
		names:          map[string]memberRecord{},
		lastTick:       now,
		notices:        map[string]notice{},
		deathReporters: map[string]bool{},
	}
}

// Self returns oneself.
func (r *roster) Self() Member { return r.self }

// Phase returns how far one's own membership has come.
func (r *roster) Phase() Phase { return r.phase }

// Members returns all that are alive, oneself among them, by name.
func (r *roster) Members() []Member {
	out := []Member{r.self}
	for _, rec := range r.names {
		if rec.State == stateAlive {
			out = append(out, rec.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Departed returns the departed lives that are remembered, by name, for the memory of others.
func (r *roster) Departed() []memberRecord {
	var out []memberRecord
	for _, rec := range r.names {
		if rec.departed() {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b memberRecord) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Settled reports that all that could be asked have been: the process takes one more than
// any incarnation it was told of.
func (r *roster) JoinFinished(now clockTime) {
	if r.phase != Starting {
		return
	}
	r.phase = Serving
	r.lastTick = now
	r.setIncarnation(r.highestReported + 1)
}

// Alive reports that the failure detector has m among the living.
func (r *roster) Alive(now clockTime, m Member) {
	r.detectPause(now)
	// A process that is still asking is nobody yet.
	if m.Incarnation == 0 || m.Incarnation > maxIncarnation || r.phase == Superseded {
		return
	}
	if m.Name == r.self.Name {
		r.NameClaimed(now, m)
		return
	}
	r.merge(now, memberRecord{Member: m, State: stateAlive})
}

// Died reports that the failure detector has found m dead.
func (r *roster) Died(now clockTime, m Member) {
	r.detectPause(now)
	r.mergeDeparted(now, memberRecord{Member: m, State: stateDead, Since: now})
	r.expireDeparted(now)
}

// Left reports that m has said that it leaves.
func (r *roster) Left(now clockTime, m Member) {
	r.detectPause(now)
	r.mergeDeparted(now, memberRecord{Member: m, State: stateLeft, Since: now})
	r.expireDeparted(now)
}

// Hearsay reports what the member named from remembers as departed. The Since of its
// records is on the clock of this roster.
func (r *roster) MergeRemote(now clockTime, from string, records []memberRecord) {
	r.detectPause(now)
	for _, rec := range records {
		if rec.Name == r.self.Name {
			r.SelfReported(now, from, rec)
			continue
		}
		if rec.State != stateLeft {
			rec.State = stateReportedDead
		}
		rec.Since = min(rec.Since, now)
		r.mergeDeparted(now, rec)
	}
	r.expireDeparted(now)
}

// mergeDeparted takes in news of a departed life, unless it is too old or not to be believed.
func (r *roster) mergeDeparted(now clockTime, rec memberRecord) {
	if rec.Incarnation == 0 || rec.Incarnation > maxIncarnation || r.phase == Superseded ||
		rec.Name == r.self.Name || now-rec.Since > r.limits.DepartedRetention {
		return
	}
	r.merge(now, rec)
}

// merge takes in news of another name: the higher of what was known and what is reported is kept.
func (r *roster) merge(now clockTime, rec memberRecord) {
	old, known := r.names[rec.Name]
	switch {
	case !known || rec.supersedes(old):
		r.names[rec.Name] = rec
		delete(r.notices, rec.Name)
		r.reportChange(old, known, rec)
	case rec.State == stateAlive && old.departed():
		// It lives and does not know how it is remembered. As long as it does not, its
		// words are dropped here.
		r.sendNotice(notice{rec.Member, old, -1})
	case rec.departed() && old.departed():
		if compareRuns(rec.Member, old.Member) == 0 && rec.Since < old.Since {
			old.Since = rec.Since
			r.names[rec.Name] = old
		}
		delete(r.notices, rec.Name)
	}
}

// reportChange reports the step from one record of a name to a higher one.
func (r *roster) reportChange(old memberRecord, known bool, rec memberRecord) {
	seen := known && old.State != stateReportedDead
	sameRun := old.RunID == rec.RunID
	e := Event{Member: rec.Member, Old: old.Member}
	switch {
	case rec.State == stateAlive && !seen:
		e = Event{Kind: Joined, Member: rec.Member}
	case rec.State == stateAlive && sameRun:
		e.Kind = Returned
	case rec.State == stateAlive:
		e.Kind = Restarted
	case seen && sameRun && rec.State == stateLeft && old.State != stateLeft:
		e = Event{Kind: Left, Member: rec.Member}
	case known && old.State == stateAlive:
		// Also where a later life is known to have come and gone meanwhile.
		e = Event{Kind: Died, Member: old.Member}
	default:
		return
	}
	r.actions.EmitEvent(e)
	if e.Kind == Returned && old.State == stateDead {
		// Each that had it dead says so once: it must know whether most had.
		r.sendNotice(notice{rec.Member, old, 2})
	}
}

// sendNotice tells a member what is known of its name, and again with later ticks.
func (r *roster) sendNotice(t notice) {
	r.notices[t.to.Name] = t
	r.actions.SendRecord(t.to, t.about)
}

// Claim reports that m is said to be alive, by a word that the failure detector does not
// follow: another life under one's own name, or a second address of another's.
func (r *roster) NameClaimed(now clockTime, m Member) {
	r.detectPause(now)
	if m.Incarnation > maxIncarnation || r.phase == Superseded {
		return
	}
	if m.Name == r.self.Name {
		r.SelfReported(now, "", memberRecord{Member: m, State: stateAlive})
		return
	}
	cur, known := r.names[m.Name]
	if !known || cur.departed() || m.Incarnation == 0 || m.RunID == cur.RunID || m.Addr == cur.Addr {
		return
	}
	if compareRuns(m, cur.Member) < 0 {
		r.actions.SendRecord(m, cur)
		return
	}
	// Said once a claim: the tell stays until the record changes.
	if t := r.notices[m.Name]; t.about.Member != m {
		r.actions.EmitEvent(Event{Kind: Displaced, Member: m, Old: cur.Member})
	}
	r.sendNotice(notice{cur.Member, memberRecord{Member: m, State: stateAlive}, -1})
}

// Leave reports that the process leaves the fleet.
func (r *roster) Leave(now clockTime) {
	r.detectPause(now)
	if r.phase > Serving {
		return
	}
	if r.phase == Starting {
		r.self.Incarnation = r.highestReported + 1
	}
	r.phase = Leaving
	r.actions.Announce(r.self)
}

// Tick reports that time has passed. It is to come several times in rosterLimits.StopAfter.
func (r *roster) Tick(now clockTime) {
	r.detectPause(now)
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
		r.actions.SendRecord(t.to, t.about)
	}
}

// Accept tells what to make of a message that is said to come from a life of name.
func (r *roster) CheckSender(name string, incarnation, runID uint64) senderStatus {
	rec, ok := r.names[name]
	switch {
	case !ok || name == r.self.Name:
		return senderUnknown
	case compareRuns(Member{Incarnation: incarnation, RunID: runID}, rec.Member) < 0:
		return senderStale
	case rec.departed() && incarnation == rec.Incarnation && runID == rec.RunID:
		return senderStale
	case rec.departed() || runID != rec.RunID:
		return senderUnknown
	}
	// Its next incarnation may be a little ahead of the news of it.
	return senderAccepted
}

// expireDeparted keeps the memory of departed lives within its bounds.
func (r *roster) expireDeparted(now clockTime) {
	var departed []memberRecord
	for name, rec := range r.names {
		switch {
		case !rec.departed():
		case now-rec.Since > r.limits.DepartedRetention:
			delete(r.names, name)
			delete(r.notices, name)
		default:
			departed = append(departed, rec)
		}
	}
	if len(departed) <= r.limits.MaxDeparted {
		return
	}
	slices.SortFunc(departed, func(a, b memberRecord) int {
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
