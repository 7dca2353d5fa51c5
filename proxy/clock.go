package proxy

import (
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/faults"
	"oxbowloft/logic"
)

// clock turns times into the module's. It runs by the monotonic clock from the process's
// start on, and so never goes back. Its zero is that of Unix time as the wall clock had it
// at the start, so that the stamps of starts that discovery gives fit in: the one time that
// the wall clock is read.
type clock struct {
	start     time.Time
	unixStart logic.Time // of start
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, unixStart: logic.Time(now.UnixNano()) + faults.WallOffset()}
}

func (c clock) now() logic.Time { return c.at(time.Now()) }

func (c clock) at(t time.Time) logic.Time { return c.unixStart + t.Sub(c.start) }

// ifEver is at, and 0 for the zero time: never.
func (c clock) atOrZero(t time.Time) logic.Time {
	if t.IsZero() {
		return 0
	}
	return c.at(t)
}

// booted is when a backend has started, by the stamp that discovery gives and by what this
// process knows itself; 0 is long ago. Clocks of machines may have been stepped, so that a
// stamp is believed only as far as it can be true: the start was not later than now, when
// the process is told of it, and, for a process that runs, not before the list last known
// to be whole without it, as far back as a list may be behind. What can't be true is taken
// for a start right now: the backend is cold for no longer than it takes to warm up.
func (c clock) startTime(now logic.Time, stampMs int64, listBefore time.Time) logic.Time {
	if stampMs == 0 {
		return 0
	}
	earliest := logic.Time(0)
	if !listBefore.IsZero() {
		earliest = c.at(listBefore) - discovery.TellWithin
	}
	// Compared in milliseconds: a stamp may be too large for the module's time.
	if stampMs > now.Milliseconds() || stampMs < earliest.Milliseconds() {
		return now
	}
	return logic.Time(stampMs) * time.Millisecond
}
