package member

// SelfReported handles a record of the roster's own name that the member named from holds; from is
// "" if the reporter is unknown.
func (r *roster) SelfReported(now clockTime, from string, rec memberRecord) {
	r.detectPause(now)
	if rec.Name != r.self.Name || rec.Incarnation > maxIncarnation || r.phase > Serving {
		return
	}
	r.highestReported = max(r.highestReported, rec.Incarnation)
	switch {
	case r.phase == Starting:
	case rec.RunID == r.self.RunID && rec.State == stateAlive:
		// The roster's own announcement. With a higher incarnation it is corrupt or forged.
	case rec.RunID == r.self.RunID:
		r.countDeathReport(from, rec)
	case rec.departed() || rec.Addr == r.self.Addr:
		// A process run at the same address can't be running at the same time.
	case compareRuns(rec.Member, r.self) > 0:
		r.withdraw(rec.Member)
		return
	default:
		return // the other process withdraws
	}
	if r.phase == Serving && r.highestReported >= r.self.Incarnation && r.highestReported < maxIncarnation {
		if rec.RunID != r.self.RunID || rec.departed() {
			r.setIncarnation(r.highestReported + 1)
		}
	}
}

// countDeathReport counts the members that declared this process run dead. Once a majority has, its
// responsibilities may have moved to others, and it must discard its state. Fewer reports don't
// suffice: a single partitioned member believes all others dead, and must not make all of them
// discard their state when it returns.
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

// fleetSize returns the number of recent members: those that died count, those that left don't.
func (r *roster) fleetSize() int {
	n := 1
	for _, rec := range r.names {
		if rec.State == stateAlive || rec.State == stateDead {
			n++
		}
	}
	return n
}

// withdraw permanently ends this process's membership: winner keeps the name.
func (r *roster) withdraw(winner Member) {
	old := r.self
	r.phase = Superseded
	clear(r.names)
	clear(r.notices)
	r.actions.EmitEvent(Event{Kind: Displaced, Member: winner, Old: old})
	r.actions.Withdraw(winner)
}

// detectPause detects, at the first event after a pause of the process, that it was paused for longer
// than the others wait before they declare a member dead.
func (r *roster) detectPause(now clockTime) {
	if r.phase == Serving && now-r.lastTick > r.limits.PauseThreshold {
		r.lastTick = now
		r.resume()
	}
}

// resume takes an incarnation above all that others may have declared dead, and emits Resumed.
func (r *roster) resume() {
	r.setIncarnation(max(r.highestReported, r.self.Incarnation) + 1)
	r.resumedIncarnation = r.self.Incarnation
	r.actions.EmitEvent(Event{Kind: Resumed, Member: r.self})
}

// setIncarnation sets the roster's own incarnation and announces it.
func (r *roster) setIncarnation(incarnation uint64) {
	r.self.Incarnation = incarnation
	r.actions.Announce(r.self)
}
