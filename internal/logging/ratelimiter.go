// Package logging limits the rate of log lines.
package logging

import (
	"sync"
	"time"
)

// RateLimiter is a token bucket that allows one line per Interval and counts the suppressed ones,
// so that a flood of events does not write a line for each. Up to Burst unused lines accumulate
// and may be written at once; 0 means 1.
type RateLimiter struct {
	Interval time.Duration
	Burst    int

	mu          sync.Mutex
	accruedFrom time.Time // start of the time that tokens have accumulated for; zero: no line yet
	suppressed  int64     // since the last line
}

// Allow reports whether a line may be written now, and how many were suppressed since the last
// one.
func (l *RateLimiter) Allow() (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	capacity := time.Duration(max(1, l.Burst)) * l.Interval
	if earliest := now.Add(-capacity); l.accruedFrom.Before(earliest) {
		l.accruedFrom = earliest
	}
	if now.Sub(l.accruedFrom) < l.Interval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	l.accruedFrom = l.accruedFrom.Add(l.Interval)
	return suppressed, true
}
