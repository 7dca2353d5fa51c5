// Package logging bounds how much is logged.
package logging

import (
	"sync"
	"time"
)

// RateLimiter lets lines through at one for each span of Every, and counts the others: a flood of
// events must not cost a line each. Up to Burst lines that were not used earlier may come at
// once; zero stands for one.
type RateLimiter struct {
	Interval time.Duration
	Burst    int

	mu      sync.Mutex
	last    time.Time // from when on lines have been earned; zero: no line yet
	leftOut int64     // since the last line
}

// Allow tells whether a line may be written now, and how many were left out before it.
func (l *RateLimiter) Allow() (leftOut int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	saved := time.Duration(max(1, l.Burst)) * l.Interval
	if oldest := now.Add(-saved); l.last.Before(oldest) {
		l.last = oldest
	}
	if now.Sub(l.last) < l.Interval {
		l.leftOut++
		return 0, false
	}
	leftOut, l.leftOut = l.leftOut, 0
	l.last = l.last.Add(l.Interval)
	return leftOut, true
}
