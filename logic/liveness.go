// Liveness evidence: what calls prove about a backend while the list may be out of date.
//
// Whether or not discovery has announced a change, it counts only some time after it was made. So what
// matters is since when a backend may have been draining or removed. A backend that serves a call was
// neither when the call was sent. A backend that was or may have been unreachable for a while can have
// been removed from the list in that time: serving calls again does not disprove this, only a list does.

package logic

// liveness records when calls proved that a backend was in service.
type liveness struct {
	// Send time of the newest call that it served: the answer proves nothing later.
	lastServed     Time
	lastFailed     Time           // last call since then that did not reach it or was rejected; 0: none
	connectionLost bool           // a connection to it was lost since then
	unreachable    bool           // a connection to it was not established since then
	rejected       bool           // it has rejected a call since then
	anyGap         observationGap // time unobserved for any reason
	unreachableGap observationGap // time unobserved in which it was found unreachable
}

// observationGap is a time in which a backend was not observed.
type observationGap struct {
	start Time // last observation before the first gap since the list
	end   Time // first observation after the last gap; 0: there was no gap
}

// extend adds a gap. Anything before confirmedAt, when the list was complete, is dropped.
func (g *observationGap) extend(confirmedAt, start, end Time) {
	if g.end <= confirmedAt {
		g.start = max(start, confirmedAt)
	}
	g.end = end
}

// recordServed records that a call sent at the given time was served, and reports whether the backend had
// been unreachable before. A draining backend finishes outstanding calls, so an answer proves nothing of
// the time after its call was sent, and does not cancel the failure of a call that ended since then.
func (l *liveness) recordServed(f *ListFreshness, now, sent Time) (wasUnreachable bool) {
	if l.lastFailed > 0 && sent <= l.lastFailed {
		l.lastServed = max(l.lastServed, sent)
		return false
	}
	wasUnreachable = l.unreachable || l.connectionLost && sent > l.lastServed+f.MaxUnobserved
	if wasUnreachable {
		l.unreachableGap.extend(f.ReceivedAt, l.lastServed, now)
	}
	if lastSeen := max(l.lastServed, f.ConfirmedAt); l.unreachable || sent > lastSeen+f.MaxUnobserved {
		l.anyGap.extend(f.ConfirmedAt, lastSeen, now)
	}
	l.lastServed, l.lastFailed = max(l.lastServed, sent), 0
	l.connectionLost, l.unreachable, l.rejected = false, false, false
	return wasUnreachable
}

// recordFailure records that a call was not served: the connection was not established or was lost, or
// the call was rejected.
func (l *liveness) recordFailure(now Time, result Result) {
	l.lastFailed = now
	l.unreachable = l.unreachable || result == ConnectFailed
	l.connectionLost = l.connectionLost || result == ConnectionLost
	l.rejected = l.rejected || result == Rejected
}

// provenInService reports whether the backend was in service without interruption since the list was
// confirmed, or was observed so recently that a change can't count as announced yet. A draining backend
// may answer for some seconds and then reject calls: once it has rejected one, or was unobserved long
// enough to have begun draining, the calls it served prove nothing.
func (l *liveness) provenInService(f *ListFreshness, now Time) bool {
	if l.rejected || now >= l.lastServed+min(f.MaxUnobserved, f.EvidenceWindow) {
		return false
	}
	return l.anyGap.end <= f.ConfirmedAt || now < l.anyGap.start+f.EvidenceWindow
}

// mayHaveBeenRemoved reports whether the backend may have been removed from the list after the last one
// received, so long ago that the removal counts as announced. A watch that is connected does not prove
// that it has delivered all changes.
func (l *liveness) mayHaveBeenRemoved(f *ListFreshness, now Time) bool {
	if l.lastFailed > f.ReceivedAt && now >= max(l.lastServed, f.ReceivedAt)+f.EvidenceWindow {
		return true
	}
	return l.unreachableGap.end > f.ReceivedAt && now >= l.unreachableGap.start+f.EvidenceWindow
}
