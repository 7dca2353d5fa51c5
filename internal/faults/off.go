//go:build !faults

// Package faults is the seam by which a program that is built with the tag "faults" meets
// failing system calls and a stepped wall clock, as its environment says. In all other
// builds, the one that runs included, it does nothing and reads nothing.
package faults

import "time"

// WallClockOffset is how far the wall clock has been stepped, for a process that starts now.
func WallClockOffset() time.Duration { return 0 }

// Inject is the error that the next call of a kind ("accept", "dial", "write") ends with; nil:
// it is made.
func Inject(string) error { return nil }
