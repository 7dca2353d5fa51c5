package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// EventKind is a kind of fault or operation that a run injects.
type EventKind string

// The event kinds.
const (
	Terminate          EventKind = "terminate"        // SIGTERM to a proxy, which is restarted once it has exited
	Kill               EventKind = "kill"             // SIGKILL to a proxy, which is restarted at once
	Pause              EventKind = "pause"            // SIGSTOP, and SIGCONT after Span
	Reload             EventKind = "reload"           // SIGHUP with another discovery address, twice in a row
	DiscoveryDown      EventKind = "discovery_down"   // connections are refused, watches reset
	DiscoverySilent    EventKind = "discovery_silent" // watches and requests get no data
	DiscoverySlow      EventKind = "discovery_slow"   // each request is delayed
	DiscoveryOverload  EventKind = "discovery_crowd"  // requests wait and fail, watches get changes late
	WatchesEnd         EventKind = "watches_end"      // all watches end cleanly
	BackendOutage      EventKind = "away"             // a backend goes offline, is removed, and returns under its ID in slow start
	SignalSeries       EventKind = "signals"          // SIGHUP, SIGTERM, SIGHUP to one proxy after another
	IdleFlood          EventKind = "crowd"            // idle connections use up a proxy's descriptors
	Drain              EventKind = "drain"            // a backend drains, is removed, and is replaced by another
	Hang               EventKind = "hang"             // a backend reads requests and does not respond
	Restart            EventKind = "restart"          // a backend restarts: its connections are reset, and its slow start begins
	Reset              EventKind = "reset"            // connections to a backend are reset during requests
	Errors             EventKind = "errors"           // a backend responds with 500
	Full               EventKind = "full"             // a backend rejects requests
	TruncatedResponses EventKind = "half_answers"     // a backend truncates its responses
	IdleCloses         EventKind = "idle_closes"      // a backend closes each connection after a response
	ClientsLeave       EventKind = "leavers"          // clients disconnect after some milliseconds
	BadClients         EventKind = "bad_clients"      // clients send incomplete, pipelined or malformed requests
)

var eventKinds = []EventKind{
	Terminate, Kill, Pause, Reload, DiscoveryDown, DiscoverySilent, DiscoverySlow, WatchesEnd, Drain, Drain, Hang,
	Restart, Reset, Errors, Full, TruncatedResponses, IdleCloses, ClientsLeave, BadClients, Terminate,
	DiscoveryOverload, DiscoveryOverload, BackendOutage, BackendOutage, SignalSeries, IdleFlood,
}

// Event is one scheduled fault or operation.
type Event struct {
	At     time.Duration // since the run's start
	Kind   EventKind
	Target int // number of a proxy or a backend
	Span   time.Duration
}

// String returns the event in the form used in reports.
func (e Event) String() string {
	return fmt.Sprintf("%.2fs %s %d for %.2fs", e.At.Seconds(), e.Kind, e.Target, e.Span.Seconds())
}

// quietMargin is the time at both ends of a run in which no event starts.
const quietMargin = 800 * time.Millisecond

// Schedule draws the events of a run, in groups of two or three that overlap. Between some groups
// there is a pause.
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
			if e.Kind == Pause { // most are short enough that all rules still apply
				e.Span = 50*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
				if rng.IntN(4) == 0 {
					e.Span = 2 * time.Second
				}
			}
			if e.Kind == DiscoveryOverload { // long enough for unsent changes to count as announced
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

// staleListSpan is how long discovery announces nothing in a group of staleListEvents: longer than
// it takes for a change to count as announced.
const staleListSpan = announceWithin + 4*time.Second

// servesWhileDraining is how long a draining backend in such a group still serves.
const servesWhileDraining = 2500 * time.Millisecond

// staleListEvents returns a group of events that makes lists stale: discovery is overloaded,
// backends go offline and return, others drain and still serve before they reject requests, watches
// are reset or stay open, and processes restart with their last list.
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
