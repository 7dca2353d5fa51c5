// Package logging bounds how much is logged.
package logging

import (
	"sync"
	"time"
)

// Limit lets one line through in each span of Every, and counts the others: a flood of
// events must not cost a line each. Its zero value is not usable without Every.
type Limit struct {
	Every time.Duration

	mu      sync.Mutex
	last    time.Time // of the line let through last; zero: none
	leftOut int64     // since then
}

// Allow tells whether a line may be written now, and how many were left out before it.
func (l *Limit) Allow() (leftOut int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.last.IsZero() && now.Sub(l.last) < l.Every {
		l.leftOut++
		return 0, false
	}
	leftOut, l.last, l.leftOut = l.leftOut, now, 0
	return leftOut, true
}
