// Presence: what calls prove of a backend while the list may lack news of it.
//
// A change that discovery has and has not told counts some time after it was made, so that what matters is
// since when a backend may have been drained or gone. One that serves a call was neither when the call was
// sent. One that was away for a while, or may have been, can have been listed as gone meanwhile: that it
// serves again proves nothing of that, only a list does.

package logic

// presence is when a backend was seen to be there.
type liveness struct {
	lastServed     Time           // when the newest call that it served was sent: its answer proves no more
	lastFailed     Time           // last call since then that found it away, or was turned away; 0: none
	connectionLost bool           // a connection to it broke since then
	unreachable    bool           // a connection to it did not come up since then
	rejected       bool           // it has turned a call away since then
	anyGap         observationGap // any
	unreachableGap observationGap // those in which it was found away
}

// gap is a time through which a backend was not seen.
type observationGap struct {
	start Time // seen last before the first gap since the list
	end   Time // seen again after the last one; 0: there was none
}

// widen takes another gap. What came before the list that is known is forgotten.
func (g *observationGap) extend(confirmedAt, start, end Time) {
	if g.end <= confirmedAt {
		g.start = max(start, confirmedAt)
	}
	g.end = end
}

// served takes that a call sent at some time has been served, and tells whether the backend was away
// before. A backend that drains finishes what it has, so that an answer proves nothing of the time behind
// its call's send, and takes back no failure of a call that ended since.
func (p *liveness) recordServed(f *ListFreshness, now, sent Time) (wasUnreachable bool) {
	if p.lastFailed > 0 && sent <= p.lastFailed {
		p.lastServed = max(p.lastServed, sent)
		return false
	}
	wasUnreachable = p.unreachable || p.connectionLost && sent > p.lastServed+f.MaxUnobserved
	if wasUnreachable {
		p.unreachableGap.extend(f.ReceivedAt, p.lastServed, now)
	}
	if lastSeen := max(p.lastServed, f.ConfirmedAt); p.unreachable || sent > lastSeen+f.MaxUnobserved {
		p.anyGap.extend(f.ConfirmedAt, lastSeen, now)
	}
	p.lastServed, p.lastFailed = max(p.lastServed, sent), 0
	p.connectionLost, p.unreachable, p.rejected = false, false, false
	return wasUnreachable
}

// missed takes that a call was not served: no connection came up, one broke, or it was turned away.
func (p *liveness) recordFailure(now Time, result Result) {
	p.lastFailed = now
	p.unreachable = p.unreachable || result == ConnectFailed
	p.connectionLost = p.connectionLost || result == ConnectionLost
	p.rejected = p.rejected || result == Rejected
}

// here tells whether the backend was there all the time since the list was known to be whole, up to now, or
// was seen so lately that a change of it can't count yet. One that drains may answer on for some seconds and
// then turn calls away. What it served proves nothing any more once it has turned one away, or was not seen
// for a while in which it may have begun to.
func (p *liveness) provenInService(f *ListFreshness, now Time) bool {
	if p.rejected || now >= p.lastServed+min(f.MaxUnobserved, f.EvidenceWindow) {
		return false
	}
	return p.anyGap.end <= f.ConfirmedAt || now < p.anyGap.start+f.EvidenceWindow
}

// doubtful tells whether a backend may have been listed as gone since the last list that was told, so long
// ago that it counts: a watch that stands proves no more than that it stands.
func (p *liveness) mayHaveBeenRemoved(f *ListFreshness, now Time) bool {
	if p.lastFailed > f.ReceivedAt && now >= max(p.lastServed, f.ReceivedAt)+f.EvidenceWindow {
		return true
	}
	return p.unreachableGap.end > f.ReceivedAt && now >= p.unreachableGap.start+f.EvidenceWindow
}
