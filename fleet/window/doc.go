// Package window is the replicated state machine that schedules maintenance
// windows, so that overlapping drains never take capacity below the agreed floors.
//
// All voters apply the same entries in the order of the replicated log (Raft:
// Ongaro, Ousterhout, ATC 2014). The package does no I/O and has no clock, no
// goroutine and no global state, and no result depends on map iteration order. The
// same entries give the same answers and byte-identical snapshots.
//
// # Time
//
// Log time is the sum of all Tick entries. The leader creates them from durations of
// its monotonic clock. Without a leader log time stands still, and capacity that is
// out of service stays counted as out. The time of day is log time modulo 24 h. A
// grant is issued by an entry, so it may come up to Settings.MaxTick after the
// planned start; the planner reserves each window for that much longer than
// requested, so a late grant never delays the windows after it.
//
// # Capacity
//
// Sizes are integers, so that sums are exact. A window's capacity counts as out of
// service from its grant to the confirmed return. A returned backend then starts at
// its initial fraction and rises linearly to its full size over its warm-up time.
// Capacity lost by failures counts as out as well; a backend that is both failed and
// in a window is counted once. A window for an amount of capacity without named
// backends is added to all other losses; its warm-up is the longest one, from the
// lowest initial fraction, among the backends of its zone.
//
// A floor can be set for each scope: the whole fleet, a region or a zone. It may
// vary by time of day. A grant requires that the capacity of each of its scopes
// stays at or above the floor from now to the end of its warm-up, as far as is known:
// running windows end at their end, overdue windows do not end, and failed backends
// stay failed.
//
// A new floor that would be breached by what is out of service, now or with the
// running windows during the next 24 h, is pending: the answer says so and the old
// floor stays in force. Until the new floor is met, and so comes into force, grants
// have to respect both. A time-of-day step can raise a floor above the available
// capacity only after a failure, a reduced backend size or an overdue window; such a
// floor is reported as short, blocks grants and causes recalls like any other breach.
//
// # States
//
//	state      capacity     transitions
//	asked      -            a start found -> planned; Cancel -> cancelled; too late -> refused
//	planned    -            start reached, capacity available -> granted; start lost -> asked;
//	                        Cancel -> cancelled; too late -> refused
//	granted    out          first Drained -> draining; Return -> returning; Returned -> warm;
//	                        floor breached, or Cancel -> recalled; past its end -> overdue
//	draining   out          Drained by all serving members -> out; otherwise as granted
//	out        out          as granted; recalled for a floor only if the request allows it
//	recalled   out          Return -> returning; Returned -> warm; past its end -> overdue
//	returning  out          Returned -> warm; past its end -> overdue
//	overdue    out          Return -> no change; Returned -> warm
//	warm       warming up   warm-up complete -> done
//	done       -            final; keeps the reason if it was recalled or cancelled
//	cancelled  -            final
//	refused    -            final, with the reason and the earliest feasible start
//
// A plan is granted at most once. An accepted plan is open until it reaches a final
// state, and then stays in a history of Settings.History plans, so that a repeated id
// gets the stored answer. An accepted plan is granted in time unless a failure, an
// overdue window, a floor or a changed backend prevents it: a new plan is accepted
// only if every plan that was planned before keeps a start.
//
// # Planner
//
// The planner is a list scheduler (Graham, 1969) over the remaining capacity, ordered
// by priority, latest end and order of acceptance. Each plan takes the earliest start
// that delays none of the plans before it: conservative backfilling (Mu'alem,
// Feitelson, TPDS 2001), the strict form of EASY (Lifka, 1995). If that order leaves a
// planned plan without a start, the planner tries the order by latest end, and then
// keeps all current starts and places the new plan around them. Other plans can't
// move a plan whose start is nearer than its notice, and no plan is moved to a start
// nearer than its notice.
package window
