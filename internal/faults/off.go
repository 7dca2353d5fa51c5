//go:build !faults

// Package faults injects failing system calls and a stepped wall clock, as set in the
// environment, into programs built with the tag "faults". In all other builds, including the
// production one, it does nothing and reads nothing.
package faults

import "time"

// WallClockOffset returns 0: the wall clock is not stepped in this build.
func WallClockOffset() time.Duration { return 0 }

// Inject returns nil: calls are not made to fail in this build. The kind of call is "accept",
// "dial" or "write".
func Inject(string) error { return nil }
