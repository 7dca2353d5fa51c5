package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Trouble is a kind of event.
type Trouble string

// The troubles.
const (
	Terminate       Trouble = "terminate"        // SIGTERM to a proxy, which is started again once it has ended
	Kill            Trouble = "kill"             // SIGKILL, started again at once
	Pause           Trouble = "pause"            // SIGSTOP, and SIGCONT after Span
	Reload          Trouble = "reload"           // SIGHUP with a configuration that moves discovery, twice in a row
	DiscoveryDown   Trouble = "discovery_down"   // calls are refused, watches reset
	DiscoverySilent Trouble = "discovery_silent" // watches and calls say nothing
	DiscoverySlow   Trouble = "discovery_slow"   // each call waits
	DiscoveryCrowd  Trouble = "discovery_crowd"  // calls wait and fail, watches tell late
	WatchesEnd      Trouble = "watches_end"      // all watches end in order
	Away            Trouble = "away"             // a backend is away, told to be gone, and comes back cold under its id
	Signals         Trouble = "signals"          // SIGHUP, SIGTERM, SIGHUP to one proxy after another
	Crowd           Trouble = "crowd"            // idle clients fill a proxy's descriptors
	Drain           Trouble = "drain"            // a backend is told to be leaving, then gone, then another comes
	Hang            Trouble = "hang"             // a backend reads and does not answer
	Restart         Trouble = "restart"          // a backend's connections are reset, it comes back cold
	Reset           Trouble = "reset"            // connections to a backend are reset under requests
	Errors          Trouble = "errors"           // a backend answers 500
	Full            Trouble = "full"             // a backend turns calls away
	HalfAnswers     Trouble = "half_answers"     // a backend breaks its answers off
	IdleCloses      Trouble = "idle_closes"      // a backend closes connections right after answers
	Leavers         Trouble = "leavers"          // clients that leave after some milliseconds
	BadClients      Trouble = "bad_clients"      // clients that stop midway, send on, or send nonsense
)

var troubles = []Trouble{
	Terminate, Kill, Pause, Reload, DiscoveryDown, DiscoverySilent, DiscoverySlow, WatchesEnd, Drain, Drain, Hang,
	Restart, Reset, Errors, Full, HalfAnswers, IdleCloses, Leavers, BadClients, Terminate,
	DiscoveryCrowd, DiscoveryCrowd, Away, Away, Signals, Crowd,
}

// Event is one trouble.
type Event struct {
	At     time.Duration // since the run's start
	Kind   Trouble
	Target int // a proxy or a backend, by number
	Span   time.Duration
}

// String is the event as the report has it.
func (e Event) String() string {
	return fmt.Sprintf("%.2fs %s %d for %.2fs", e.At.Seconds(), e.Kind, e.Target, e.Span.Seconds())
}

// quiet is the time at both ends of a run in which no trouble begins.
const quiet = 800 * time.Millisecond

// Schedule draws the troubles of a run: in groups of two or three that overlap, some of the
// groups after a quiet time.
func Schedule(seed uint64, plan *Plan) []Event {
	rng := rand.New(rand.NewPCG(seed, 1))
	var events []Event
	at := quiet
	for at < plan.Length-2*quiet {
		for range 2 + rng.IntN(2) {
			e := Event{
				At:     at + time.Duration(rng.Int64N(int64(600*time.Millisecond))),
				Kind:   troubles[rng.IntN(len(troubles))],
				Target: rng.IntN(1 << 16),
				Span:   200*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond))),
			}
			if e.Kind == Pause { // most are of the length that all rules hold through
				e.Span = 50*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
				if rng.IntN(4) == 0 {
					e.Span = 2 * time.Second
				}
			}
			if e.Kind == DiscoveryCrowd { // long enough for what it does not tell to count
				e.Span += 5 * time.Second
			}
			events = append(events, e)
		}
		at += 400*time.Millisecond + time.Duration(rng.Int64N(int64(1800*time.Millisecond)))
	}
	if plan.Length >= staleListSpan+2*quiet && rng.IntN(2) == 0 {
		events = append(events, staleLists(rng, plan)...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// staleListSpan is how long discovery tells nothing in a group of staleLists: longer than it
// takes for what it does not tell to count.
const staleListSpan = tellWithin + 4*time.Second

// drainAnswersOn is for how long a backend that drains in such a group answers on.
const drainAnswersOn = 2500 * time.Millisecond

// staleLists is a group of troubles in which lists get old: discovery is crowded, backends are
// away and come back, others drain and answer on before they turn calls away, watches are reset
// or stand, and processes start with the list that they had last.
func staleLists(rng *rand.Rand, plan *Plan) []Event {
	begin := quiet + time.Duration(rng.Int64N(int64(plan.Length-staleListSpan-2*quiet)+1))
	after := func(least, most time.Duration) time.Duration {
		return begin + least + time.Duration(rng.Int64N(int64(most-least)))
	}
	events := []Event{{At: begin, Kind: DiscoveryCrowd, Span: staleListSpan}}
	if rng.IntN(2) == 0 {
		events = append(events, Event{At: begin + 100*time.Millisecond, Kind: DiscoveryDown, Span: 200 * time.Millisecond})
	}
	for range 2 {
		events = append(events, Event{At: after(200*time.Millisecond, 800*time.Millisecond), Kind: Away,
			Target: rng.IntN(1 << 16), Span: 1500 * time.Millisecond})
	}
	for range 3 {
		events = append(events, Event{At: after(2*time.Second, 5*time.Second), Kind: Kill, Target: rng.IntN(1 << 16)})
	}
	for range 2 {
		events = append(events, Event{At: after(200*time.Millisecond, 800*time.Millisecond), Kind: Drain,
			Target: rng.IntN(1 << 16), Span: drainAnswersOn})
	}
	return events
}
