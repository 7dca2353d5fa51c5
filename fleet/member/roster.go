package member

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// rosterLimits are the limits of a roster.
type rosterLimits struct {
	PauseThreshold    time.Duration // longest gap between ticks during which no member can have declared this one dead
	DepartedRetention time.Duration // how long a departed process run is remembered
	MaxDeparted       int           // how many departed names are remembered; the earliest departed is evicted first
}

// senderStatus is the result of checking a message's sender.
type senderStatus uint8

// The results of CheckSender.
const (
	senderAccepted senderStatus = iota
	senderStale                 // from a process run or incarnation that has ended
	senderUnknown               // from a process run that is not among the members
)

func (v senderStatus) String() string { return [...]string{"take", "older", "unknown"}[v] }

// roster is one member's view of the fleet. It is not safe for concurrent use.
type roster struct {
	limits          rosterLimits
	actions         rosterActions
	self            Member
	phase           Phase
	names           map[string]memberRecord // all names but the roster's own
	highestReported uint64                  // the highest incarnation reported for the roster's own name
	lastTick        clockTime
	notices         map[string]notice

	// deathReporters are the members that declared this process run dead in incarnation
	// reportedDeadIncarnation. Reports on incarnations before resumedIncarnation, which was
	// taken at the last Resumed, have been dealt with.
	resumedIncarnation      uint64
	reportedDeadIncarnation uint64
	deathReporters          map[string]bool
}

// notice is a record to be sent repeatedly to a member: if it were lost, that member could stay excluded
// though it is alive.
type notice struct {
	to        Member
	about     memberRecord
	remaining int // repetitions left; -1: repeat until the record changes
}

// newRoster returns the roster of a process that starts. The incarnation of self is ignored: it is
// determined once the seeds have been contacted, see JoinFinished.
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

// Self returns the roster's own member.
func (r *roster) Self() Member { return r.self }

// Phase returns the state of the roster's own membership.
func (r *roster) Phase() Phase { return r.phase }

// Members returns all members that are alive, including Self, sorted by name.
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

// Departed returns the remembered departed members, sorted by name, for exchange with other members.
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

// JoinFinished reports that all reachable seeds have been contacted. The process takes an incarnation
// one above the highest that was reported for its name.
func (r *roster) JoinFinished(now clockTime) {
	if r.phase != Starting {
		return
	}
	r.phase = Serving
	r.lastTick = now
	r.setIncarnation(r.highestReported + 1)
}

// Alive reports that the failure detector considers m alive.
func (r *roster) Alive(now clockTime, m Member) {
	r.detectPause(now)
	// Incarnation 0: the process is still joining and not yet a member.
	if m.Incarnation == 0 || m.Incarnation > maxIncarnation || r.phase == Superseded {
		return
	}
	if m.Name == r.self.Name {
		r.NameClaimed(now, m)
		return
	}
	r.merge(now, memberRecord{Member: m, State: stateAlive})
}

// Died reports that the failure detector declared m dead.
func (r *roster) Died(now clockTime, m Member) {
	r.detectPause(now)
	r.mergeDeparted(now, memberRecord{Member: m, State: stateDead, Since: now})
	r.expireDeparted(now)
}

// Left reports that m announced that it leaves.
func (r *roster) Left(now clockTime, m Member) {
	r.detectPause(now)
	r.mergeDeparted(now, memberRecord{Member: m, State: stateLeft, Since: now})
	r.expireDeparted(now)
}

// MergeRemote merges the departed members that the member named from remembers. Since in the records
// is on this roster's clock.
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

// mergeDeparted merges the record of a departed process run, unless it is too old or implausible.
func (r *roster) mergeDeparted(now clockTime, rec memberRecord) {
	if rec.Incarnation == 0 || rec.Incarnation > maxIncarnation || r.phase == Superseded ||
		rec.Name == r.self.Name || now-rec.Since > r.limits.DepartedRetention {
		return
	}
	r.merge(now, rec)
}

// merge merges a record of another name; the higher-ranked of the known and the new record is kept.
func (r *roster) merge(now clockTime, rec memberRecord) {
	old, known := r.names[rec.Name]
	switch {
	case !known || rec.supersedes(old):
		r.names[rec.Name] = rec
		delete(r.notices, rec.Name)
		r.reportChange(old, known, rec)
	case rec.State == stateAlive && old.departed():
		// The member is alive but recorded here as departed. Its messages are dropped until
		// it learns of the record and takes a higher incarnation.
		r.sendNotice(notice{rec.Member, old, -1})
	case rec.departed() && old.departed():
		if compareRuns(rec.Member, old.Member) == 0 && rec.Since < old.Since {
			old.Since = rec.Since
			r.names[rec.Name] = old
		}
		delete(r.notices, rec.Name)
	}
}

// reportChange emits the event for the replacement of a name's record by a higher-ranked one.
func (r *roster) reportChange(old memberRecord, known bool, rec memberRecord) {
	observed := known && old.State != stateReportedDead
	sameRun := old.RunID == rec.RunID
	e := Event{Member: rec.Member, Old: old.Member}
	switch {
	case rec.State == stateAlive && !observed:
		e = Event{Kind: Joined, Member: rec.Member}
	case rec.State == stateAlive && sameRun:
		e.Kind = Returned
	case rec.State == stateAlive:
		e.Kind = Restarted
	case observed && sameRun && rec.State == stateLeft && old.State != stateLeft:
		e = Event{Kind: Left, Member: rec.Member}
	case known && old.State == stateAlive:
		// Also if rec is a later process run that has departed in the meantime.
		e = Event{Kind: Died, Member: old.Member}
	default:
		return
	}
	r.actions.EmitEvent(e)
	if e.Kind == Returned && old.State == stateDead {
		// The member has to learn whether a majority had declared it dead, so each that did reports it.
		r.sendNotice(notice{rec.Member, old, 2})
	}
}

// sendNotice sends a member the record of its name and repeats it on later ticks.
func (r *roster) sendNotice(t notice) {
	r.notices[t.to.Name] = t
	r.actions.SendRecord(t.to, t.about)
}

// NameClaimed reports an alive message from m that the failure detector does not act on: another
// process run under the roster's own name, or a second address for another member's name.
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
	// Emitted once per claim: the notice stays until the record changes.
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

// Tick reports the time. It has to be called several times per rosterLimits.PauseThreshold.
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

// CheckSender reports whether a message from the given process run of name is to be accepted.
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
	// A message in the sender's next incarnation may arrive before the announcement of it.
	return senderAccepted
}

// expireDeparted drops departed members beyond the limits of age and number.
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
