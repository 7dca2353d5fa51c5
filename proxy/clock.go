package proxy

import (
	"time"

	"golang.org/x/sys/unix"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/faults"
	"oxbowloft/logic"
)

// clock converts times to the balancing logic's time. It runs on the monotonic clock from
// the start of the process, so it never goes back. Its zero is the Unix epoch according
// to the wall clock at start, so that start times announced by discovery are comparable.
// The wall clock is not read again.
type clock struct {
	start     time.Time
	unixStart logic.Time // of start
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, unixStart: logic.Time(now.UnixNano()) + faults.WallClockOffset()}
}

func (c clock) now() logic.Time { return c.at(time.Now()) }

func (c clock) at(t time.Time) logic.Time { return c.unixStart + t.Sub(c.start) }

// atOrZero is at, with 0 (never) for the zero time.
func (c clock) atOrZero(t time.Time) logic.Time {
	if t.IsZero() {
		return 0
	}
	return c.at(t)
}

// monotonicNow returns the time of a clock that all processes on this machine share and that
// is not stepped. It begins anew with the machine.
func monotonicNow() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// startTime returns when a backend started, from the timestamp that discovery announces
// and from what this process knows itself; 0 means long ago. Clocks of machines may have
// been stepped, so a timestamp is accepted only if it is possible: the start is not later
// than now, when the process learns of it, and, for a running proxy, not earlier than the
// last list known to be complete without it, less the delay that a list may have. An
// impossible timestamp counts as a start right now, so the backend is in slow start no
// longer than the warm-up time.
func (c clock) startTime(now logic.Time, stampMs int64, listBefore time.Time) logic.Time {
	if stampMs == 0 {
		return 0
	}
	earliest := logic.Time(0)
	if !listBefore.IsZero() {
		earliest = c.at(listBefore) - discovery.MaxAnnounceDelay
	}
	// Compared in milliseconds: the timestamp may overflow logic.Time.
	if stampMs > now.Milliseconds() || stampMs < earliest.Milliseconds() {
		return now
	}
	return logic.Time(stampMs) * time.Millisecond
}
