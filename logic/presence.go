// Presence: what calls prove of a backend while the list may lack news of it.
//
// A change that discovery has and has not told counts some time after it was made, so that what matters is
// since when a backend may have been drained or gone. One that serves a call was neither when the call was
// sent. One that was away for a while, or may have been, can have been listed as gone meanwhile: that it
// serves again proves nothing of that, only a list does.

package logic

// presence is when a backend was seen to be there.
type presence struct {
	lastServed Time // when the newest call that it served was sent: its answer proves no more
	failed     Time // last call since then that found it away, or was turned away; 0: none
	broken     bool // a connection to it broke since then
	away       bool // a connection to it did not come up since then
	full       bool // it has turned a call away since then
	gap        gap  // any
	absence    gap  // those in which it was found away
}

// gap is a time through which a backend was not seen.
type gap struct {
	from Time // seen last before the first gap since the list
	at   Time // seen again after the last one; 0: there was none
}

// widen takes another gap. What came before the list that is known is forgotten.
func (g *gap) widen(known, from, at Time) {
	if g.at <= known {
		g.from = max(from, known)
	}
	g.at = at
}

// served takes that a call sent at some time has been served, and tells whether the backend was away
// before. A backend that drains finishes what it has, so that an answer proves nothing of the time behind
// its call's send, and takes back no failure of a call that ended since.
func (p *presence) served(f *ListFreshness, now, sent Time) (wasAway bool) {
	if p.failed > 0 && sent <= p.failed {
		p.lastServed = max(p.lastServed, sent)
		return false
	}
	wasAway = p.away || p.broken && sent > p.lastServed+f.MaxUnobserved
	if wasAway {
		p.absence.widen(f.ReceivedAt, p.lastServed, now)
	}
	if last := max(p.lastServed, f.ConfirmedAt); p.away || sent > last+f.MaxUnobserved {
		p.gap.widen(f.ConfirmedAt, last, now)
	}
	p.lastServed, p.failed = max(p.lastServed, sent), 0
	p.broken, p.away, p.full = false, false, false
	return wasAway
}

// missed takes that a call was not served: no connection came up, one broke, or it was turned away.
func (p *presence) missed(now Time, why Result) {
	p.failed = now
	p.away = p.away || why == ConnectFailed
	p.broken = p.broken || why == ConnectionLost
	p.full = p.full || why == Rejected
}

// here tells whether the backend was there all the time since the list was known to be whole, up to now, or
// was seen so lately that a change of it can't count yet. One that drains may answer on for some seconds and
// then turn calls away. What it served proves nothing any more once it has turned one away, or was not seen
// for a while in which it may have begun to.
func (p *presence) here(f *ListFreshness, now Time) bool {
	if p.full || now >= p.lastServed+min(f.MaxUnobserved, f.EvidenceWindow) {
		return false
	}
	return p.gap.at <= f.ConfirmedAt || now < p.gap.from+f.EvidenceWindow
}

// doubtful tells whether a backend may have been listed as gone since the last list that was told, so long
// ago that it counts: a watch that stands proves no more than that it stands.
func (p *presence) doubtful(f *ListFreshness, now Time) bool {
	if p.failed > f.ReceivedAt && now >= max(p.lastServed, f.ReceivedAt)+f.EvidenceWindow {
		return true
	}
	return p.absence.at > f.ReceivedAt && now >= p.absence.from+f.EvidenceWindow
}
