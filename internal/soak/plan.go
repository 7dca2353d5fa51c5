package soak

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Class is a class of requests, as the proxies' configuration has it.
type Class struct {
	Name       string
	Deadline   time.Duration
	Idempotent bool // may run any number of times
}

// baseClasses are the classes of a run, before its seed says how long the deadlines are: one
// that may be repeated, one that must not run twice, and one with little time.
var baseClasses = []Class{
	{Name: "get", Deadline: 1500 * time.Millisecond, Idempotent: true},
	{Name: "pay", Deadline: 1200 * time.Millisecond},
	{Name: "quick", Deadline: 200 * time.Millisecond, Idempotent: true},
}

// classesForSeed is the classes of a seed: with usual deadlines, short and long ones.
func classesForSeed(seed uint64) []Class {
	scales := [...]float64{1, 0.4, 2.4}
	drawn := slices.Clone(baseClasses)
	for i := range drawn {
		drawn[i].Deadline = time.Duration(scales[seed%uint64(len(scales))] * float64(drawn[i].Deadline))
	}
	return drawn
}

const (
	// maxCountedDeadline is the most that counts of the longest deadline where a process is told
	// to end, and killBehind when after that the platform kills it, by the protocol.
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
)

// killAfter is how long after SIGTERM the platform kills a process, at the earliest.
func killAfter(classes []Class) time.Duration {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxCountedDeadline) + killDelay
}

// Plan is what a run has.
type Plan struct {
	Program  string // the built proxy
	Dir      string // for configurations and logs
	Proxies  int
	Backends int
	Clients  int           // for each proxy
	Length   time.Duration // of the traffic
	Faults   bool          // the program is built with the tag "faults": its calls fail, its clock is stepped
	Pushed   bool          // lists are pushed: what there is counts as told at once
}

// The most that a plan may ask for, so that a run stays within a machine.
const (
	maxProxies  = 100
	maxBackends = 100
	maxLength   = 10 * time.Minute
)

// Check tells what is wrong with a plan, naming the flag.
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

// Settings of all proxies of a run.
const (
	grace          = 400 * time.Millisecond // in which a told drain may still get sends
	warmUpTime     = 4 * time.Second
	warmUpFraction = 0.2
	announceWithin = 6 * time.Second // of the protocol: a change counts as told then at the latest
)
