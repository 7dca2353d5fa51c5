package logging

import (
	"testing"
	"testing/synctest"
	"time"
)

// countAllowed tries to write n lines at once. It returns how many are allowed, and how many the
// first of them reports as suppressed.
func countAllowed(l *RateLimiter, n int) (lines int, suppressed int64) {
	for range n {
		if before, ok := l.Allow(); ok {
			if lines++; lines == 1 {
				suppressed = before
			}
		}
	}
	return lines, suppressed
}

func TestRateLimiter(t *testing.T) {
	for _, c := range []struct{ burst, first int }{{0, 1}, {1, 1}, {5, 5}} {
		synctest.Test(t, func(t *testing.T) {
			l := RateLimiter{Interval: time.Second, Burst: c.burst}
			if lines, suppressed := countAllowed(&l, 20); lines != c.first || suppressed != 0 {
				t.Errorf("burst %d: %d lines at first, %d reported as suppressed; want %d", c.burst, lines, suppressed, c.first)
			}
			time.Sleep(time.Second)
			if lines, suppressed := countAllowed(&l, 20); lines != 1 || suppressed != int64(20-c.first) {
				t.Errorf("burst %d: %d lines a second later, %d reported as suppressed; want 1 and %d", c.burst, lines, suppressed, 20-c.first)
			}
			time.Sleep(time.Hour)
			if lines, _ := countAllowed(&l, 20); lines != c.first {
				t.Errorf("burst %d: %d lines after an hour, want %d", c.burst, lines, c.first)
			}
		})
	}
}
