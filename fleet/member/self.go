package member

// Told reports what the member named from knows of one's own name; "" is a word without a
// known teller.
func (r *roster) SelfReported(now clockTime, from string, rec memberRecord) {
	r.detectPause(now)
	if rec.Name != r.self.Name || rec.Incarnation > maxIncarnation || r.phase > Serving {
		return
	}
	r.highestReported = max(r.highestReported, rec.Incarnation)
	switch {
	case r.phase == Starting:
	case rec.RunID == r.self.RunID && rec.State == stateAlive:
		// One's own echo. Above one's own incarnation it is damaged or forged.
	case rec.RunID == r.self.RunID:
		r.countDeathReport(from, rec)
	case rec.departed() || rec.Addr == r.self.Addr:
		// Who has one's own address can't be running beside.
	case compareRuns(rec.Member, r.self) > 0:
		r.withdraw(rec.Member)
		return
	default:
		return // the other steps aside
	}
	if r.phase == Serving && r.highestReported >= r.self.Incarnation && r.highestReported < maxIncarnation {
		if rec.RunID != r.self.RunID || rec.departed() {
			r.setIncarnation(r.highestReported + 1)
		}
	}
}

// countAccuser counts those that have found this life dead. When a majority has, its parts may
// have gone to others, and it must not act on what it holds; one that was cut off alone
// takes the rest for dead, and must not make all of them drop all.
func (r *roster) countDeathReport(from string, rec memberRecord) {
	if rec.State != stateDead || from == "" || rec.Incarnation < max(r.reportedDeadIncarnation, r.resumedIncarnation) {
		return
	}
	if rec.Incarnation > r.reportedDeadIncarnation {
		r.reportedDeadIncarnation = rec.Incarnation
		clear(r.deathReporters)
	}
	if r.deathReporters[from] || 2*len(r.deathReporters) > r.fleetSize() {
		return
	}
	r.deathReporters[from] = true
	if 2*len(r.deathReporters) > r.fleetSize() {
		r.resume()
	}
}

// fleetSize is how many members the fleet has had of late: those that left don't count, those
// that died do.
func (r *roster) fleetSize() int {
	n := 1
	for _, rec := range r.names {
		if rec.State == stateAlive || rec.State == stateDead {
			n++
		}
	}
	return n
}

// stepAside ends this process's part in the fleet, for good: winner keeps the name.
func (r *roster) withdraw(winner Member) {
	old := r.self
	r.phase = Superseded
	clear(r.names)
	clear(r.notices)
	r.actions.EmitEvent(Event{Kind: Displaced, Member: winner, Old: old})
	r.actions.Withdraw(winner)
}

// detectStop notices at the first event after a stop that the process was stopped for longer
// than the others wait before they take a member for dead.
func (r *roster) detectPause(now clockTime) {
	if r.phase == Serving && now-r.lastTick > r.limits.PauseThreshold {
		r.lastTick = now
		r.resume()
	}
}

// resume takes an incarnation above all that others may have accused.
func (r *roster) resume() {
	r.setIncarnation(max(r.highestReported, r.self.Incarnation) + 1)
	r.resumedIncarnation = r.self.Incarnation
	r.actions.EmitEvent(Event{Kind: Resumed, Member: r.self})
}

// setIncarnation takes an incarnation and announces it.
func (r *roster) setIncarnation(incarnation uint64) {
	r.self.Incarnation = incarnation
	r.actions.Announce(r.self)
}
