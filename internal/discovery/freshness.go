package discovery

import "time"

const (
	// MaxAnnounceDelay is how long after discovery had a change and could be reached, by the
	// protocol, the change counts as told, whatever became of watches and calls.
	MaxAnnounceDelay = 6 * time.Second
	// tellEnded is how long after the end of a watch, by the protocol, what it has not
	// told counts as told: a watch is a call that may wait, and may end instead of telling.
	tellEnded = 2 * time.Second
	// tellMoved is the same after a new configuration has named another address.
	tellMoved = 4 * time.Second
)

// Freshness is for how long a list may be used.
type Freshness struct {
	// Until then it holds all that counts as told.
	Until time.Time
	// UntilIfServing is as far as it may be used, from Until on for those backends alone that
	// have served a call that was sent within Serving.
	UntilIfServing time.Time
	ServingWindow  time.Duration
	// ConfirmedAt is when discovery last told, by a list or a sign of life, that the list was whole,
	// and Told when the last list came; zero: not since the start.
	ConfirmedAt time.Time
	ReceivedAt  time.Time
	// MayAnnounceLate says that changes may wait to be told: there has been a list, and somebody who
	// may have more to tell.
	MayAnnounceLate bool
}

// MaxUnobservedGap is how long a backend may go unseen, with no call that found it away, and still be taken
// for there all the time: as long as a watch goes without a sign of life. One that is away for
// less and gets no call meanwhile passes for one that was not; with a shorter gap, those that
// get a call now and then would pass for having been away.
const MaxUnobservedGap = lifeEvery

// freshnessTracker keeps for how long a list may be used. docs/design.md has a table of the bounds
// with their sources.
//
// Past the time until which the list holds all that counts as told, a backend that serves
// calls is likely not drained, as one that drains turns calls away, but that is no proof:
// some answer on. It is relied on only while discovery could not be reached, and never
// after a watch was closed, a silence or a move, until there is a list.
type freshnessTracker struct {
	// unfollowed is for how long a list may be used that no watch follows: TellWithin, or
	// less where lists are pushed, since what there is counts as told at once there.
	unfollowed time.Duration
	pushed     bool
	serving    time.Duration // what drains by now was in service so long ago

	word    time.Time // last list or sign of life; at first the start
	heard   time.Time // the same; at first zero
	listed  time.Time // last list; at first zero
	until   time.Time // by the last word of discovery
	ended   time.Time // bound by a watch that ended and may not have told all; zero: none
	cut     time.Time // last time that discovery could not be reached; zero: never
	deaf    bool      // discovery has been silent, or has moved: it may have told others of changes
	reached bool      // something of discovery has met a call in this life: it may have told others
	nobody  bool      // the last call was refused: nobody is there who could have something to tell
}

// now is for how long the list may be used.
func (f *freshnessTracker) now() Freshness {
	now := Freshness{Until: f.until, UntilIfServing: f.until, ServingWindow: f.serving,
		ConfirmedAt: f.heard, ReceivedAt: f.listed, MayAnnounceLate: !f.pushed && !f.nobody && !f.listed.IsZero()}
	if reached := f.cut.Add(MaxAnnounceDelay); !f.cut.IsZero() && !f.deaf && reached.After(f.until) {
		now.UntilIfServing = reached
	}
	if !f.ended.IsZero() {
		now.Until = earlier(now.Until, f.ended)
		now.UntilIfServing = earlier(now.UntilIfServing, f.ended)
	}
	return now
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// extend puts the clock forward to a time, never back.
func (f *freshnessTracker) extend(until time.Time) {
	if until.After(f.until) {
		f.until = until
	}
}

// limit puts the clock back to a time, never forward.
func (f *freshnessTracker) limit(until time.Time) {
	if until.Before(f.until) {
		f.until = until
	}
}

// followed tells whether a watch stands that has told a list.
func (f *freshnessTracker) followed() bool {
	return !f.listed.IsZero() && f.ended.IsZero() && f.cut.IsZero() && !f.deaf
}

// started takes that the list known at the start is in use. It is what this proxy had last,
// in an earlier life that may be long over, and nothing tells how old it is: what it lacks may
// count as told already. Where lists are pushed all counts from the start on.
func (f *freshnessTracker) started(now time.Time) {
	f.word = now
	f.extend(now)
	if f.pushed {
		f.extend(now.Add(f.unfollowed))
	}
}

// list takes that a list has come that is in use.
func (f *freshnessTracker) list(now time.Time) {
	f.listed = now
	f.told(now)
}

// checked takes that a list has come by a check beside a watch. Where the watch has ended
// meanwhile, the list may be from before that, and moves nothing.
func (f *freshnessTracker) checked(now time.Time) {
	if f.followed() {
		f.list(now)
	}
}

// told takes that a watch stands: a list that is in use, or a sign of life behind it. A sign
// of life proves that discovery goes on telling, not that no change waits its turn.
func (f *freshnessTracker) told(now time.Time) {
	f.word, f.heard, f.ended, f.cut, f.deaf, f.reached = now, now, time.Time{}, time.Time{}, false, true
	f.nobody = false
	f.extend(now.Add(MaxAnnounceDelay))
}

// refused takes that a connection was refused: nobody was there who could have told of a
// change. What does not count as told by now counts TellWithin later at the earliest; what
// does so already goes on doing so, so that a list that is stale stays it. The list of the
// start is taken for whole where there has been nobody from the start on.
func (f *freshnessTracker) refused(now time.Time) {
	f.cut, f.nobody = now, true
	if f.pushed {
		f.limit(now.Add(f.unfollowed))
	}
	if !f.reached || now.Before(f.until) {
		f.extend(now.Add(f.unfollowed))
	}
}

// watchEnded takes that a watch was closed, in order, by discovery: it may have had
// something to tell.
func (f *freshnessTracker) watchEnded(now time.Time) {
	bound := now.Add(tellEnded)
	if f.ended.IsZero() || bound.Before(f.ended) {
		f.ended = bound
	}
}

// callFailed takes that a call was turned away or failed, or that a watch broke, since
// discovery could not be reached or had too much to do. What it may have missed counts as
// told by the clock as it is; where lists are pushed, what there is counts at once.
func (f *freshnessTracker) callFailed(now time.Time) {
	f.cut, f.reached, f.nobody = now, true, false
	if f.pushed {
		f.limit(now.Add(f.unfollowed))
	}
}

// silent takes that a call or a watch fell silent, which moves nothing: what it misses counts
// as told by the last word before it, also where lists are pushed.
func (f *freshnessTracker) silent(time.Time) { f.deaf, f.reached, f.nobody = true, true, false }

// moved takes that a new configuration has named another source.
func (f *freshnessTracker) moved(now time.Time) {
	f.deaf = true
	f.limit(now.Add(tellMoved))
}
