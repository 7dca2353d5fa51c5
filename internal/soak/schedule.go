package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// EventKind is a kind of event.
type EventKind string

// The troubles.
const (
	Terminate          EventKind = "terminate"        // SIGTERM to a proxy, which is started again once it has ended
	Kill               EventKind = "kill"             // SIGKILL, started again at once
	Pause              EventKind = "pause"            // SIGSTOP, and SIGCONT after Span
	Reload             EventKind = "reload"           // SIGHUP with a configuration that moves discovery, twice in a row
	DiscoveryDown      EventKind = "discovery_down"   // calls are refused, watches reset
	DiscoverySilent    EventKind = "discovery_silent" // watches and calls say nothing
	DiscoverySlow      EventKind = "discovery_slow"   // each call waits
	DiscoveryOverload  EventKind = "discovery_crowd"  // calls wait and fail, watches tell late
	WatchesEnd         EventKind = "watches_end"      // all watches end in order
	BackendOutage      EventKind = "away"             // a backend is away, told to be gone, and comes back cold under its id
	SignalSeries       EventKind = "signals"          // SIGHUP, SIGTERM, SIGHUP to one proxy after another
	IdleFlood          EventKind = "crowd"            // idle clients fill a proxy's descriptors
	Drain              EventKind = "drain"            // a backend is told to be leaving, then gone, then another comes
	Hang               EventKind = "hang"             // a backend reads and does not answer
	Restart            EventKind = "restart"          // a backend's connections are reset, it comes back cold
	Reset              EventKind = "reset"            // connections to a backend are reset under requests
	Errors             EventKind = "errors"           // a backend answers 500
	Full               EventKind = "full"             // a backend turns calls away
	TruncatedResponses EventKind = "half_answers"     // a backend breaks its answers off
	IdleCloses         EventKind = "idle_closes"      // a backend closes connections right after answers
	ClientsLeave       EventKind = "leavers"          // clients that leave after some milliseconds
	BadClients         EventKind = "bad_clients"      // clients that stop midway, send on, or send nonsense
)

var eventKinds = []EventKind{
	Terminate, Kill, Pause, Reload, DiscoveryDown, DiscoverySilent, DiscoverySlow, WatchesEnd, Drain, Drain, Hang,
	Restart, Reset, Errors, Full, TruncatedResponses, IdleCloses, ClientsLeave, BadClients, Terminate,
	DiscoveryOverload, DiscoveryOverload, BackendOutage, BackendOutage, SignalSeries, IdleFlood,
}

// Event is one trouble.
type Event struct {
	At     time.Duration // since the run's start
	Kind   EventKind
	Target int // a proxy or a backend, by number
	Span   time.Duration
}

// String is the event as the report has it.
func (e Event) String() string {
	return fmt.Sprintf("%.2fs %s %d for %.2fs", e.At.Seconds(), e.Kind, e.Target, e.Span.Seconds())
}

// quietMargin is the time at both ends of a run in which no trouble begins.
const quietMargin = 800 * time.Millisecond

// Schedule draws the troubles of a run: in groups of two or three that overlap, some of the
// groups after a quiet time.
func Schedule(seed uint64, plan *Plan) []Event {
	rng := rand.New(rand.NewPCG(seed, 1))
	var events []Event
	at := quietMargin
	for at < plan.Length-2*quietMargin {
		for range 2 + rng.IntN(2) {
			e := Event{
				At:     at + time.Duration(rng.Int64N(int64(600*time.Millisecond))),
				Kind:   eventKinds[rng.IntN(len(eventKinds))],
				Target: rng.IntN(1 << 16),
				Span:   200*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond))),
			}
			if e.Kind == Pause { // most are of the length that all rules hold through
				e.Span = 50*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
				if rng.IntN(4) == 0 {
					e.Span = 2 * time.Second
				}
			}
			if e.Kind == DiscoveryOverload { // long enough for what it does not tell to count
				e.Span += 5 * time.Second
			}
			events = append(events, e)
		}
		at += 400*time.Millisecond + time.Duration(rng.Int64N(int64(1800*time.Millisecond)))
	}
	if plan.Length >= staleListSpan+2*quietMargin && rng.IntN(2) == 0 {
		events = append(events, staleListEvents(rng, plan)...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// staleListSpan is how long discovery tells nothing in a group of staleLists: longer than it
// takes for what it does not tell to count.
const staleListSpan = announceWithin + 4*time.Second

// servesWhileDraining is for how long a backend that drains in such a group answers on.
const servesWhileDraining = 2500 * time.Millisecond

// staleListEvents is a group of troubles in which lists get old: discovery is crowded, backends are
// away and come back, others drain and answer on before they turn calls away, watches are reset
// or stand, and processes start with the list that they had last.
func staleListEvents(rng *rand.Rand, plan *Plan) []Event {
	begin := quietMargin + time.Duration(rng.Int64N(int64(plan.Length-staleListSpan-2*quietMargin)+1))
	after := func(least, most time.Duration) time.Duration {
		return begin + least + time.Duration(rng.Int64N(int64(most-least)))
	}
	events := []Event{{At: begin, Kind: DiscoveryOverload, Span: staleListSpan}}
	if rng.IntN(2) == 0 {
		events = append(events, Event{At: begin + 100*time.Millisecond, Kind: DiscoveryDown, Span: 200 * time.Millisecond})
	}
	for range 2 {
		events = append(events, Event{At: after(200*time.Millisecond, 800*time.Millisecond), Kind: BackendOutage,
			Target: rng.IntN(1 << 16), Span: 1500 * time.Millisecond})
	}
	for range 3 {
		events = append(events, Event{At: after(2*time.Second, 5*time.Second), Kind: Kill, Target: rng.IntN(1 << 16)})
	}
	for range 2 {
		events = append(events, Event{At: after(200*time.Millisecond, 800*time.Millisecond), Kind: Drain,
			Target: rng.IntN(1 << 16), Span: servesWhileDraining})
	}
	return events
}
