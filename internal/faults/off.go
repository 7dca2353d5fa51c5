//go:build !faults

// Package faults is the seam by which a program that is built with the tag "faults" meets
// failing system calls and a stepped wall clock, as its environment says. In all other
// builds, the one that runs included, it does nothing and reads nothing.
package faults

import "time"

// WallOffset is how far the wall clock has been stepped, for a process that starts now.
func WallOffset() time.Duration { return 0 }

// Fail is the error that the next call of a kind ("accept", "dial", "write") ends with; nil:
// it is made.
func Fail(string) error { return nil }
