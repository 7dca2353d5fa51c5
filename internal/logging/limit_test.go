package logging

import (
	"testing"
	"testing/synctest"
	"time"
)

// allowed is how many of n lines that come at once are let through, and how many the first
// of them tells to have been left out.
func allowed(l *RateLimiter, n int) (lines int, leftOut int64) {
	for range n {
		if left, ok := l.Allow(); ok {
			if lines++; lines == 1 {
				leftOut = left
			}
		}
	}
	return lines, leftOut
}

func TestLimit(t *testing.T) {
	for _, c := range []struct{ burst, first int }{{0, 1}, {1, 1}, {5, 5}} {
		synctest.Test(t, func(t *testing.T) {
			l := RateLimiter{Interval: time.Second, Burst: c.burst}
			if lines, left := allowed(&l, 20); lines != c.first || left != 0 {
				t.Errorf("burst %d: %d lines at first, %d told as left out; want %d", c.burst, lines, left, c.first)
			}
			time.Sleep(time.Second)
			if lines, left := allowed(&l, 20); lines != 1 || left != int64(20-c.first) {
				t.Errorf("burst %d: %d lines a second later, %d told as left out; want 1 and %d", c.burst, lines, left, 20-c.first)
			}
			time.Sleep(time.Hour)
			if lines, _ := allowed(&l, 20); lines != c.first {
				t.Errorf("burst %d: %d lines after an hour, want %d", c.burst, lines, c.first)
			}
		})
	}
}
