package window

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits on a single entry. An entry that exceeds one gets an error.
const (
	MaxIDBytes    = 64      // bytes of an id or a name
	MaxSize       = 1 << 30 // capacity units of a backend, an amount or a floor step
	MaxEntryBytes = 1 << 17 // bytes of an encoded entry
	// Backends in one plan; with the longest ids they still fit in an entry of fleet/agree.
	MaxPlanBackends = 1280
	MaxFloorSteps   = 24   // steps of one floor
	MaxFloors       = 2048 // scopes with a floor
	MaxPriority     = 9

	day           = 24 * time.Hour
	unboundedTime = time.Duration(1) << 62 // after any log time
	maxLogTime    = time.Duration(1) << 60 // end of log time: 36 years
)

// DefaultMaxTick is the longest time that one Tick can add when Settings.MaxTick is
// zero.
const DefaultMaxTick = 10 * time.Second

// Settings are the same on all voters for the life of the log; snapshots carry them. A
// zero field takes its default.
type Settings struct {
	MaxTick time.Duration `cbor:"MaxTick"` // longest Tick accepted; default 10 s, at most 1 h
	// Plans assume that overdue or failed capacity is back after this time, or after as
	// long again as it has been missing if that is longer; default 10 min.
	Overrun time.Duration `cbor:"Overrun"`
	// How far ahead LatestEnd may lie; default 14 d, at most 60 d.
	Horizon     time.Duration `cbor:"Horizon"`
	MaxPlans    int           `cbor:"MaxPlans"`    // open plans; default 128, at most 512
	MaxBackends int           `cbor:"MaxBackends"` // registered backends; default 4096, at most 8192
	MaxServing  int           `cbor:"MaxServing"`  // members that confirm drains; default 1024, at most 8192
	History     int           `cbor:"History"`     // ended plans that are kept; default 256, at most 8192
}

func (s *Settings) check() error {
	var err error
	applyLimit := func(key string, value *int64, fallback, lowest, highest int64) {
		if *value == 0 {
			*value = fallback
		}
		if *value < lowest || *value > highest {
			err = cmp.Or(err, fmt.Errorf("window: settings: %s: %d is not in %d to %d", key, *value, lowest,
				highest))
		}
	}
	applyCount := func(key string, value *int, fallback, highest int64) {
		n := int64(*value)
		applyLimit(key, &n, fallback, 1, highest)
		*value = int(n)
	}
	applyLimit("max tick", (*int64)(&s.MaxTick), int64(DefaultMaxTick), int64(time.Millisecond),
		int64(time.Hour))
	applyLimit("overrun", (*int64)(&s.Overrun), int64(10*time.Minute), int64(time.Millisecond), int64(day))
	applyLimit("horizon", (*int64)(&s.Horizon), int64(14*day), int64(time.Hour), int64(60*day))
	applyCount("max plans", &s.MaxPlans, 128, 512)
	applyCount("max backends", &s.MaxBackends, 4096, 8192)
	applyCount("max serving", &s.MaxServing, 1024, 8192)
	applyCount("history", &s.History, 256, 8192)
	return err
}

// Scope is the part of the fleet that a floor applies to: all of it (both names empty),
// a region (Zone empty), or one zone of a region.
type Scope struct {
	Region string `cbor:"1,keyasint,omitempty"`
	Zone   string `cbor:"2,keyasint,omitempty"`
}

func (s Scope) contains(region, zone string) bool {
	return (s.Region == "" || s.Region == region) && (s.Zone == "" || s.Zone == zone)
}

func (s Scope) compare(o Scope) int {
	return cmp.Or(cmp.Compare(s.Region, o.Region), cmp.Compare(s.Zone, o.Zone))
}

// State is the state of a plan; the package comment has the transition table.
type State uint8

// The states of a plan. Their numbers are part of the encoding.
const (
	Requested State = iota
	Planned
	Granted
	Draining
	OutOfService
	Returning
	Recalled
	Overdue
	WarmingUp
	Done
	Cancelled
	Refused
)

var stateNames = [...]string{"asked", "planned", "granted", "draining", "out", "returning",
	"recalled", "overdue", "warm", "done", "cancelled", "refused"}

// String returns the lower-case word for the state, or "state(N)" for an unknown number N.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Ended reports whether the plan has reached a final state.
func (s State) Ended() bool { return s >= Done }

// holdsCapacity reports whether all of the plan's capacity counts as out of service.
func (s State) holdsCapacity() bool { return s >= Granted && s <= Overdue }

// Fence is the fencing token of a grant (as in Chubby: Burrows, OSDI 2006): the index of
// the log entry that granted it, and the ordinal of the grant within that entry. Tokens
// only grow, so a member keeps the highest one seen for each backend and ignores
// messages with a lower one. Zero means that nothing has been granted.
type Fence uint64

const (
	fenceGrantBits = 10 // 1024 exceeds the largest MaxPlans, and so the grants of one entry
	maxIndex       = 1<<(64-fenceGrantBits) - 1
)

// Index returns the index of the log entry that issued the grant.
func (f Fence) Index() uint64 { return uint64(f) >> fenceGrantBits }

// String returns the token as "index.ordinal": the log entry and the grant within that entry.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Index(), uint64(f)&(1<<fenceGrantBits-1))
}

// backend is a registered backend with its health.
type backend struct {
	Backend
	Failed bool `cbor:"11,keyasint,omitempty"`
	// In a warm-up after a failure or registration, not after a window.
	WarmingUp bool          `cbor:"12,keyasint,omitempty"`
	Since     time.Duration `cbor:"13,keyasint,omitempty"` // start of the failure or the warm-up, in log time
}

// plan is a Request with its scheduling state. Times are log time.
type plan struct {
	Request
	State State `cbor:"21,keyasint,omitempty"`
	// Order of acceptance, from 1; 0: refused at once.
	Seq        uint64        `cbor:"22,keyasint,omitempty"`
	FirstStart time.Duration `cbor:"23,keyasint,omitempty"` // first announced start
	// Announced start; after the grant, the time of the grant.
	Start time.Duration `cbor:"24,keyasint,omitempty"`
	// Set by the grant: after this time the plan is overdue.
	End   time.Duration `cbor:"25,keyasint,omitempty"`
	Fence Fence         `cbor:"26,keyasint,omitempty"`
	// Members that have confirmed the drain, sorted.
	Drained     []string      `cbor:"27,keyasint,omitempty"`
	Returned    time.Duration `cbor:"28,keyasint,omitempty"` // confirmed return
	WasRecalled bool          `cbor:"29,keyasint,omitempty"`
	Reason      string        `cbor:"30,keyasint,omitempty"`
	// Of a refused plan: earliest feasible start.
	EarliestFeasible time.Duration `cbor:"31,keyasint,omitempty"`
	HasFeasible      bool          `cbor:"32,keyasint,omitempty"` // EarliestFeasible is set
}

// floor is the minimum capacity agreed for a scope.
type floor struct {
	Scope      Scope  `cbor:"1,keyasint"`
	Steps      []Step `cbor:"2,keyasint,omitempty"` // in force
	Pending    []Step `cbor:"3,keyasint,omitempty"` // accepted, but not in force yet
	BelowFloor bool   `cbor:"4,keyasint,omitempty"` // available capacity is below the floor
}

// Machine is the state machine. It is not safe for concurrent use: the goroutine that
// applies the log owns it. All replicated state is kept in slices of a defined order, so
// that a snapshot has the same bytes on every voter.
type Machine struct {
	settings       Settings
	index          uint64
	now            time.Duration
	lastSeq        uint64
	backends       []*backend // by id
	servingMembers []string   // sorted
	floors         []*floor   // by scope
	openPlans      []*plan    // in order of acceptance
	endedPlans     []*plan    // in the order in which they ended

	totalSizes    map[Scope]int64 // derived from backends
	needsReplan   bool            // plans have to be placed again; false between entries
	grantsInEntry uint64          // grants issued by the entry being applied
	events        []Event
}

// New returns an empty machine, or an error that names the invalid setting.
func New(settings Settings) (*Machine, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Machine{settings: settings, totalSizes: map[Scope]int64{}}, nil
}

// Result is the outcome of an entry.
type Result uint8

// The outcomes of an entry. Their numbers are part of the encoding.
const (
	OK        Result = iota // applied; for a Request: the plan was accepted
	Duplicate               // already applied: a repeated id, cancel or confirmation
	Pending                 // the floor was accepted, but is not in force yet
	Stale                   // a confirmation with the wrong fencing token: nothing changed
	// The plan was not accepted; the answer has the reason and the earliest feasible start.
	Rejected
	Invalid // the entry is invalid: nothing changed
)

var resultNames = [...]string{"ok", "repeat", "pending", "stale", "refused", "error"}

// String returns the lower-case word for the result, such as "repeat" for Duplicate.
func (r Result) String() string { return resultNames[r] }

// EventKind says what an applied entry changed.
type EventKind uint8

// The kinds of events. Their numbers are part of the encoding.
const (
	EventState         EventKind = iota // a plan changed its state; Window has the new state and the reason
	EventStartMoved                     // a planned start was moved
	EventBelowFloor                     // the available capacity of a scope fell below its floor
	EventFloorRestored                  // the scope is at or above its floor again
	EventFloorInForce                   // a pending floor came into force
)

// Event is one change that an applied entry caused.
type Event struct {
	Kind      EventKind `cbor:"Kind"`
	Window    Window    `cbor:"Window"` // set for EventState and EventStartMoved
	Scope     Scope     `cbor:"Scope"`  // set for the other kinds
	Required  int64     `cbor:"Floor"`
	Available int64     `cbor:"Have"`
}

// Answer is the outcome of an entry. It is the same on all voters.
type Answer struct {
	Index  uint64        `cbor:"Index"`
	Now    time.Duration `cbor:"Now"` // log time after the entry
	Result Result        `cbor:"Result"`
	// For every result except OK and Duplicate: the reason, naming the field.
	Err       string  `cbor:"Err"`
	HasWindow bool    `cbor:"Known"`  // Window is set
	Window    Window  `cbor:"Window"` // the plan that the entry refers to, as it is after the entry
	Events    []Event `cbor:"Events"`
}

// Window is the view of a plan that operators and members get. Times are log time.
type Window struct {
	Request    Request       `cbor:"Ask"`
	State      State         `cbor:"State"`
	FirstStart time.Duration `cbor:"First"` // start announced in the first answer
	Start      time.Duration `cbor:"Start"` // planned start; once granted, the time of the grant
	// Planned end; once granted, the plan is overdue after this.
	End     time.Duration `cbor:"End"`
	Fence   Fence         `cbor:"Fence"`   // 0 before the grant
	Drained int           `cbor:"Drained"` // members that have confirmed the drain
	Serving int           `cbor:"Serving"` // members that have to confirm it
	Reason  string        `cbor:"Why"`
	// Of a refused plan: the earliest start that was feasible when it was refused; -1: none.
	EarliestFeasible time.Duration `cbor:"Could"`
}

func (m *Machine) windowOf(p *plan) Window {
	w := Window{Request: p.Request, State: p.State, FirstStart: p.FirstStart, Start: p.Start, End: p.End,
		Fence:   p.Fence,
		Drained: len(p.Drained), Serving: len(m.servingMembers), Reason: p.Reason,
		EarliestFeasible: p.EarliestFeasible}
	w.Request.Backends = slices.Clone(p.Backends)
	if p.Fence == 0 {
		w.End = p.Start + p.Duration
	}
	if p.State == Refused && !p.HasFeasible {
		w.EarliestFeasible = -1
	}
	return w
}

// Now returns the log time.
func (m *Machine) Now() time.Duration { return m.now }

// Index returns the index of the last applied entry.
func (m *Machine) Index() uint64 { return m.index }

// List returns the open windows in order of acceptance, then the ended ones that are
// still kept, in the order in which they ended.
func (m *Machine) List() []Window {
	var windows []Window
	for _, p := range slices.Concat(m.openPlans, m.endedPlans) {
		windows = append(windows, m.windowOf(p))
	}
	return windows
}

// Window returns the window with the given id.
func (m *Machine) Window(id string) (Window, bool) {
	if p := m.findPlan(id); p != nil {
		return m.windowOf(p), true
	}
	return Window{}, false
}

func (m *Machine) findPlan(id string) *plan {
	for _, list := range [][]*plan{m.openPlans, m.endedPlans} {
		for _, p := range list {
			if p.ID == id {
				return p
			}
		}
	}
	return nil
}

func (m *Machine) findBackend(id string) *backend {
	i, ok := slices.BinarySearchFunc(m.backends, id,
		func(b *backend, id string) int { return cmp.Compare(b.ID, id) })
	if !ok {
		return nil
	}
	return m.backends[i]
}

func (m *Machine) findFloor(sc Scope) *floor {
	i, ok := slices.BinarySearchFunc(m.floors, sc,
		func(f *floor, sc Scope) int { return f.Scope.compare(sc) })
	if !ok {
		return nil
	}
	return m.floors[i]
}

// Apply applies the log entry at index, as encoded by Encode. An entry that can't be
// decoded, has an unknown version or kind, or is invalid gets an error answer and
// changes nothing but the index. An index that is not above the last applied one changes
// nothing at all.
func (m *Machine) Apply(index uint64, data []byte) Answer {
	a := Answer{Index: index, Now: m.now}
	if index <= m.index || index > maxIndex {
		a.Result, a.Err = Invalid, fmt.Sprintf("window: entry %d: not above %d, the last one applied",
			index, m.index)
		return a
	}
	m.index = index
	e, err := Decode(data)
	if err != nil {
		a.Result, a.Err = Invalid, err.Error()
		return a
	}
	m.events, m.grantsInEntry = nil, 0
	p, result, err := e.apply(m)
	m.settle()
	a.Now, a.Result, a.Events = m.now, result, m.events
	if err != nil {
		a.Err = err.Error()
	}
	if p != nil {
		a.HasWindow, a.Window = true, m.windowOf(p)
	}
	m.events = nil
	return a
}

// settle runs after each entry and makes every transition that the new time or the new
// facts call for: it ends warm-ups, activates floors, recalls, grants, refuses and
// replans.
func (m *Machine) settle() {
	m.endWarmUpsAndMarkOverdue()
	m.activatePendingFloors()
	m.recallForFloors()
	m.grantDuePlans()
	m.refuseExpired()
	if m.needsReplan {
		m.needsReplan = false
		m.replan()
		m.grantDuePlans()
		m.needsReplan = false
	}
	m.reportFloorChanges()
}

// setState changes the state of a plan and records the event. An ended plan moves to the
// history, which drops its oldest entries beyond Settings.History.
func (m *Machine) setState(p *plan, state State, reason string) {
	p.State = state
	if reason != "" {
		p.Reason = reason
	}
	if state.Ended() {
		p.Drained = nil
		m.openPlans = slices.DeleteFunc(m.openPlans, func(o *plan) bool { return o == p })
		m.endedPlans = append(m.endedPlans, p)
		if excess := len(m.endedPlans) - m.settings.History; excess > 0 {
			m.endedPlans = slices.Delete(m.endedPlans, 0, excess)
		}
	}
	m.events = append(m.events, Event{Kind: EventState, Window: m.windowOf(p)})
}

// endWarmUpsAndMarkOverdue ends completed warm-ups and marks windows past their end as
// overdue.
func (m *Machine) endWarmUpsAndMarkOverdue() {
	for _, b := range m.backends {
		if b.WarmingUp && m.now-b.Since >= b.WarmUpTime {
			b.WarmingUp = false
		}
	}
	for _, p := range slices.Clone(m.openPlans) {
		switch {
		case p.State == WarmingUp && m.reservation(p, false).finish <= m.now:
			m.setState(p, Done, "")
		case p.State.holdsCapacity() && p.State != Overdue && m.now > p.End:
			m.setState(p, Overdue, "")
			m.needsReplan = true
		}
	}
}

// activatePendingFloors puts each pending floor in force that the available capacity now
// meets.
func (m *Machine) activatePendingFloors() {
	for _, f := range m.floors {
		if f.Pending != nil && m.floorWouldHold(f.Scope, f.Pending) {
			f.Steps, f.Pending = f.Pending, nil
			m.needsReplan = true
			m.events = append(m.events, Event{Kind: EventFloorInForce, Scope: f.Scope,
				Required: requiredAt(f.Steps, m.now)})
		}
	}
}

// floorWouldHold reports whether the available capacity would meet the steps now and at
// each step of the next 24 h. Running windows only give capacity back and no other loss
// is known in advance, so checking each step once is enough.
func (m *Machine) floorWouldHold(sc Scope, steps []Step) bool {
	fc := m.forecast(true)
	if fc.available(sc, m.now) < requiredAt(steps, m.now) {
		return false
	}
	for _, s := range steps {
		next := m.now - m.now%day + s.From
		if next < m.now {
			next += day
		}
		if fc.available(sc, next) < s.Capacity {
			return false
		}
	}
	return true
}

// recallForFloors recalls windows, the latest grant first, until each floor that is
// breached would be met with the capacity that is on its way back.
func (m *Machine) recallForFloors() {
	fc := m.forecast(true)
	for _, f := range m.floors {
		required := requiredAt(f.Steps, m.now)
		capacity := fc.available(f.Scope, m.now)
		if capacity >= required {
			continue
		}
		var recallable []*reservation
		for _, reserved := range fc.reservations {
			freed := reserved.capacityOut(fc, f.Scope, m.now)
			switch {
			case freed == 0:
			case reserved.plan.WasRecalled || reserved.plan.State == Returning ||
				reserved.plan.State == Overdue:
				capacity += freed
			case reserved.plan.State == Granted, reserved.plan.State == Draining,
				reserved.plan.State == OutOfService && reserved.plan.Recallable:
				recallable = append(recallable, reserved)
			}
		}
		slices.SortFunc(recallable,
			func(a, b *reservation) int { return cmp.Compare(b.plan.Fence, a.plan.Fence) })
		for _, reserved := range recallable {
			if capacity >= required {
				break
			}
			capacity += reserved.capacityOut(fc, f.Scope, m.now)
			reserved.plan.WasRecalled = true
			m.setState(reserved.plan, Recalled, fmt.Sprintf("recalled: %s is below its floor %d",
				scopeName(f.Scope), required))
		}
	}
}

// grantDuePlans grants the plans whose start has come, as far as the floors allow it
// now.
func (m *Machine) grantDuePlans() {
	due := slices.DeleteFunc(slices.Clone(m.openPlans), func(p *plan) bool {
		return p.State != Planned || p.Start > m.now || m.now+p.Duration > p.LatestEnd
	})
	slices.SortFunc(due, byPriority)
	for _, p := range due {
		fc := m.forecast(true)
		candidate := m.reservation(p, true)
		candidate.setInterval(m.now, p.Duration)
		if reason, found := fc.findConflict(candidate); found {
			p.Reason = "waits: " + reason.String()
			m.needsReplan = true
			continue
		}
		p.Start, p.End = m.now, m.now+p.Duration
		p.Fence = Fence(m.index<<fenceGrantBits | m.grantsInEntry)
		m.grantsInEntry++
		p.Reason = ""
		m.setState(p, Granted, "")
	}
}

// refuseExpired refuses plans that can no longer end by their latest end.
func (m *Machine) refuseExpired() {
	for _, p := range slices.Clone(m.openPlans) {
		if p.State <= Planned && m.now+p.Duration > p.LatestEnd {
			reason := p.Reason
			m.findEarliestFeasible(p)
			m.setState(p, Refused, "end: no room before the latest end; "+cmp.Or(reason, "its time is over"))
			m.needsReplan = true
		}
	}
}

// reportFloorChanges records an event for each floor that became breached or is met
// again.
func (m *Machine) reportFloorChanges() {
	fc := m.forecast(true)
	for _, f := range m.floors {
		capacity, required := fc.available(f.Scope, m.now), requiredAt(f.Steps, m.now)
		if belowFloor := capacity < required; belowFloor != f.BelowFloor {
			f.BelowFloor = belowFloor
			kind := EventFloorRestored
			if belowFloor {
				kind = EventBelowFloor
			}
			m.events = append(m.events, Event{Kind: kind, Scope: f.Scope, Required: required,
				Available: capacity})
		}
	}
}
