package soak

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Class is a class of requests in the proxies' configuration.
type Class struct {
	Name       string
	Deadline   time.Duration
	Idempotent bool // may run any number of times
}

// baseClasses are the classes of a run before the deadlines are scaled: one that is idempotent, one
// that must not run twice, and one with a short deadline.
var baseClasses = []Class{
	{Name: "get", Deadline: 1500 * time.Millisecond, Idempotent: true},
	{Name: "pay", Deadline: 1200 * time.Millisecond},
	{Name: "quick", Deadline: 200 * time.Millisecond, Idempotent: true},
}

// classesForSeed returns the classes for a seed, with normal, short or long deadlines.
func classesForSeed(seed uint64) []Class {
	scales := [...]float64{1, 0.4, 2.4}
	drawn := slices.Clone(baseClasses)
	for i := range drawn {
		drawn[i].Deadline = time.Duration(scales[seed%uint64(len(scales))] * float64(drawn[i].Deadline))
	}
	return drawn
}

const (
	// By the protocol, the platform kills a process after the longest deadline plus killDelay,
	// where a deadline counts for maxCountedDeadline at most.
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
)

// killAfter returns the time from SIGTERM to SIGKILL.
func killAfter(classes []Class) time.Duration {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxCountedDeadline) + killDelay
}

// Plan is the configuration of a run.
type Plan struct {
	Program  string // the built proxy
	Dir      string // for configurations and logs
	Proxies  int
	Backends int
	Clients  int           // for each proxy
	Length   time.Duration // of the traffic
	Faults   bool          // make system calls fail and step clocks; needs a program built with the tag "faults"
	Pushed   bool          // lists are pushed: changes count as announced at once
}

// Limits of a plan, so that a run fits on one machine.
const (
	maxProxies  = 100
	maxBackends = 100
	maxLength   = 10 * time.Minute
)

// Check returns an error that names the flag with an invalid value.
func (p *Plan) Check() error {
	switch {
	case p.Program == "":
		return errors.New("program: missing")
	case p.Proxies < 1 || p.Proxies > maxProxies:
		return fmt.Errorf("proxies: %d, not from 1 to %d", p.Proxies, maxProxies)
	case p.Backends < 2 || p.Backends > maxBackends:
		return fmt.Errorf("backends: %d, not from 2 to %d", p.Backends, maxBackends)
	case p.Clients < 1 || p.Clients > 20:
		return fmt.Errorf("clients: %d, not from 1 to 20", p.Clients)
	case p.Length < 3*time.Second || p.Length > maxLength:
		return fmt.Errorf("length: %v, not from 3s to %v", p.Length, maxLength)
	}
	return nil
}

// Settings of all proxies.
const (
	grace          = 400 * time.Millisecond // after an announced drain, in which attempts are still allowed
	warmUpTime     = 4 * time.Second
	warmUpFraction = 0.2
	announceWithin = 6 * time.Second // by the protocol, a change counts as announced after that time at the latest
)
