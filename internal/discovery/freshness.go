package discovery

import "time"

const (
	// MaxAnnounceDelay is the protocol's bound on announcements: a change counts as announced
	// this long after discovery had it and could be reached, whatever became of watches and
	// calls.
	MaxAnnounceDelay = 6 * time.Second
	// announceDelayAfterClose is the bound after discovery has closed a watch: what the watch
	// did not announce counts as announced then. A watch is a call that may wait, and may end
	// instead of announcing a change.
	announceDelayAfterClose = 2 * time.Second
	// announceDelayAfterMove is the bound after a new configuration has named another address.
	announceDelayAfterMove = 4 * time.Second
)

// Freshness is how long a list may be used.
type Freshness struct {
	// Until is the staleness bound: up to then the list holds every change that counts as
	// announced.
	Until time.Time
	// UntilIfServing is the end of all use. Between Until and this time the list may only be
	// used for backends that have served a call sent within the last ServingWindow.
	UntilIfServing time.Time
	ServingWindow  time.Duration
	// ConfirmedAt is when a list or a heartbeat of discovery last confirmed that the list was
	// complete, and ReceivedAt when the last list came. Both are zero if that has not happened
	// since the start.
	ConfirmedAt time.Time
	ReceivedAt  time.Time
	// MayAnnounceLate reports whether discovery may still hold back changes. That is so if lists
	// are not pushed, one has come, and the last connection was not refused.
	MayAnnounceLate bool
}

// MaxUnobservedGap is the longest time for which a backend may go unobserved, with no call that
// found it unreachable, and still count as continuously present. It is the heartbeat interval
// of a watch. A backend that is away for less and gets no call in that time counts as never
// having been away; a shorter gap would report backends as having been away that are only
// called now and then.
const MaxUnobservedGap = heartbeatInterval

// freshnessTracker computes how long the list may be used.
//
// Past the staleness bound, a backend that serves calls is probably not drained, as a draining
// backend rejects calls. That is no proof, since some keep answering. It is relied on only
// while discovery is unreachable, and not after discovery has closed a watch, has been
// unresponsive or has moved, until the next list.
type freshnessTracker struct {
	// unwatchedFor is how long a list stays fresh without a watch: MaxAnnounceDelay, or less
	// where lists are pushed, since every change counts as announced at once there.
	unwatchedFor time.Duration
	pushed       bool
	// servingWindow is how recently a backend must have served a call to be used past the
	// staleness bound: one that drains by now was still in service that long ago.
	servingWindow time.Duration

	lastContact     time.Time // last list or heartbeat; at first the start
	lastConfirmed   time.Time // last list or heartbeat; zero: none
	lastList        time.Time // zero: none
	freshUntil      time.Time // by the last contact with discovery
	closeBound      time.Time // staleness bound of a closed watch that may have withheld changes; zero: none
	lastUnreachable time.Time // last time that discovery could not be reached; zero: never
	unresponsive    bool      // discovery gave no response or has moved; other callers may have received changes
	everReached     bool      // discovery has met a call since the start; other callers may have received changes
	lastRefused     bool      // the last connection was refused: no discovery process holds back changes
}

// current returns how long the list may be used.
func (f *freshnessTracker) current() Freshness {
	current := Freshness{Until: f.freshUntil, UntilIfServing: f.freshUntil, ServingWindow: f.servingWindow,
		ConfirmedAt: f.lastConfirmed, ReceivedAt: f.lastList, MayAnnounceLate: !f.pushed && !f.lastRefused && !f.lastList.IsZero()}
	if bound := f.lastUnreachable.Add(MaxAnnounceDelay); !f.lastUnreachable.IsZero() && !f.unresponsive && bound.After(f.freshUntil) {
		current.UntilIfServing = bound
	}
	if !f.closeBound.IsZero() {
		current.Until = earlier(current.Until, f.closeBound)
		current.UntilIfServing = earlier(current.UntilIfServing, f.closeBound)
	}
	return current
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// extend moves the staleness bound to a later time, and never to an earlier one.
func (f *freshnessTracker) extend(until time.Time) {
	if until.After(f.freshUntil) {
		f.freshUntil = until
	}
}

// shorten moves the staleness bound to an earlier time, and never to a later one.
func (f *freshnessTracker) shorten(until time.Time) {
	if until.Before(f.freshUntil) {
		f.freshUntil = until
	}
}

// watched reports whether a watch is open that has brought a list.
func (f *freshnessTracker) watched() bool {
	return !f.lastList.IsZero() && f.closeBound.IsZero() && f.lastUnreachable.IsZero() && !f.unresponsive
}

// started records that the list known at the start is in use. An earlier run of this process
// stored it, possibly long ago, so changes that it lacks may count as announced already.
// Pushed lists count as fresh from the start.
func (f *freshnessTracker) started(now time.Time) {
	f.lastContact = now
	f.extend(now)
	if f.pushed {
		f.extend(now.Add(f.unwatchedFor))
	}
}

// listReceived records that a list has come on a watch and is in use.
func (f *freshnessTracker) listReceived(now time.Time) {
	f.lastList = now
	f.confirmed(now)
}

// checkReceived records that a check beside a watch has brought a list. If the watch has ended
// meanwhile, the list may be older than that end and does not extend the staleness bound.
func (f *freshnessTracker) checkReceived(now time.Time) {
	if f.watched() {
		f.listReceived(now)
	}
}

// confirmed records that a watch is alive: it brought a list that is in use, or a heartbeat
// after one. A heartbeat proves that discovery still announces changes, not that none is
// waiting.
func (f *freshnessTracker) confirmed(now time.Time) {
	f.lastContact, f.lastConfirmed, f.closeBound, f.lastUnreachable, f.unresponsive, f.everReached = now, now, time.Time{}, time.Time{}, false, true
	f.lastRefused = false
	f.extend(now.Add(MaxAnnounceDelay))
}

// connectionRefused records that a connection was refused, so no discovery process was there to
// announce a change. A change that does not count as announced by now does so
// MaxAnnounceDelay later at the earliest. One that already counts goes on counting, so a stale
// list stays stale. The list of the start counts as complete if every connection since the
// start was refused.
func (f *freshnessTracker) connectionRefused(now time.Time) {
	f.lastUnreachable, f.lastRefused = now, true
	if f.pushed {
		f.shorten(now.Add(f.unwatchedFor))
	}
	if !f.everReached || now.Before(f.freshUntil) {
		f.extend(now.Add(f.unwatchedFor))
	}
}

// watchClosed records that discovery closed a watch in order. It may have withheld changes.
func (f *freshnessTracker) watchClosed(now time.Time) {
	bound := now.Add(announceDelayAfterClose)
	if f.closeBound.IsZero() || bound.Before(f.closeBound) {
		f.closeBound = bound
	}
}

// callFailed records that a call was rejected or failed, or that a watch broke, since discovery
// was unreachable or overloaded. Missed changes count as announced by the current staleness
// bound; where lists are pushed, they count at once.
func (f *freshnessTracker) callFailed(now time.Time) {
	f.lastUnreachable, f.everReached, f.lastRefused = now, true, false
	if f.pushed {
		f.shorten(now.Add(f.unwatchedFor))
	}
}

// noResponse records that a call or a watch got no response or heartbeat in time. The staleness
// bound stays, also where lists are pushed: missed changes count as announced by the last
// contact.
func (f *freshnessTracker) noResponse(time.Time) {
	f.unresponsive, f.everReached, f.lastRefused = true, true, false
}

// sourceChanged records that a new configuration has named another source.
func (f *freshnessTracker) sourceChanged(now time.Time) {
	f.unresponsive = true
	f.shorten(now.Add(announceDelayAfterMove))
}
