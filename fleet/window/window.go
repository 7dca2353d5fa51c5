package window

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits on single entries. Longer ones are refused with an error.
const (
	MaxIDBytes      = 64      // bytes of an id or a name
	MaxSize         = 1 << 30 // of a backend, an amount or a floor's step
	MaxEntryBytes   = 1 << 17 // bytes of an encoded entry
	MaxPlanBackends = 1280    // backends in one plan; with the longest ids they fit in an entry of agree
	MaxFloorSteps   = 24      // steps of one floor
	MaxFloors       = 2048    // scopes with a floor
	MaxPriority     = 9

	day           = 24 * time.Hour
	unboundedTime = time.Duration(1) << 62
	maxLogTime    = time.Duration(1) << 60 // of log time: 36 years
)

// DefaultMaxTick is the longest time that one Tick tells where the settings name none.
const DefaultMaxTick = 10 * time.Second

// Settings are the same at all voters for the life of the log; a snapshot carries
// them. A zero field takes its default.
type Settings struct {
	MaxTick     time.Duration `cbor:"MaxTick"`     // longest Tick taken; default 10 s, at most 1 h
	Overrun     time.Duration `cbor:"Overrun"`     // plans count on what is overdue or failed after this; default 10 min
	Horizon     time.Duration `cbor:"Horizon"`     // a latest end is at most this far ahead; default 14 d, at most 60 d
	MaxPlans    int           `cbor:"MaxPlans"`    // open plans; default 128, at most 512
	MaxBackends int           `cbor:"MaxBackends"` // default 4096, at most 8192
	MaxServing  int           `cbor:"MaxServing"`  // members that serve; default 1024, at most 8192
	History     int           `cbor:"History"`     // ended plans kept; default 256, at most 8192
}

func (s *Settings) check() error {
	var err error
	applyLimit := func(key string, value *int64, fallback, lowest, highest int64) {
		if *value == 0 {
			*value = fallback
		}
		if *value < lowest || *value > highest {
			err = cmp.Or(err, fmt.Errorf("window: settings: %s: %d is not in %d to %d", key, *value, lowest, highest))
		}
	}
	applyCount := func(key string, value *int, fallback, highest int64) {
		n := int64(*value)
		applyLimit(key, &n, fallback, 1, highest)
		*value = int(n)
	}
	applyLimit("max tick", (*int64)(&s.MaxTick), int64(DefaultMaxTick), int64(time.Millisecond), int64(time.Hour))
	applyLimit("overrun", (*int64)(&s.Overrun), int64(10*time.Minute), int64(time.Millisecond), int64(day))
	applyLimit("horizon", (*int64)(&s.Horizon), int64(14*day), int64(time.Hour), int64(60*day))
	applyCount("max plans", &s.MaxPlans, 128, 512)
	applyCount("max backends", &s.MaxBackends, 4096, 8192)
	applyCount("max serving", &s.MaxServing, 1024, 8192)
	applyCount("history", &s.History, 256, 8192)
	return err
}

// Scope is what a floor is for: the whole (both names empty), a region (zone
// empty), or a zone of a region.
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

// State is where a plan stands; the package comment has the table.
type State uint8

// The states of a plan.
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

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Ended says whether the plan is over.
func (s State) Ended() bool { return s >= Done }

// holding says whether all of the plan's capacity counts as out.
func (s State) holdsCapacity() bool { return s >= Granted && s <= Overdue }

// Fence is the fencing token of a grant (as in Chubby: Burrows, OSDI 2006): the
// index of the log entry that granted, and a number among that entry's grants. It
// only grows, so a member keeps the highest seen for each backend and ignores what
// carries less. Zero is no grant.
type Fence uint64

const (
	fenceGrantBits = 10 // over the most open plans, so over the most grants of one entry
	maxIndex       = 1<<(64-fenceGrantBits) - 1
)

// Index is the index of the log entry that granted.
func (f Fence) Index() uint64 { return uint64(f) >> fenceGrantBits }

func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Index(), uint64(f)&(1<<fenceGrantBits-1))
}

// backend is a backend and how it fares.
type backend struct {
	Backend
	Failed    bool          `cbor:"11,keyasint,omitempty"`
	WarmingUp bool          `cbor:"12,keyasint,omitempty"` // warms up by itself, after a failure or as new
	Since     time.Duration `cbor:"13,keyasint,omitempty"` // of the failure or the warm-up
}

// plan is an Ask and where it stands.
type plan struct {
	Request
	State            State         `cbor:"21,keyasint,omitempty"`
	Seq              uint64        `cbor:"22,keyasint,omitempty"` // order of asking
	FirstStart       time.Duration `cbor:"23,keyasint,omitempty"` // the start first told
	Start            time.Duration `cbor:"24,keyasint,omitempty"` // last told; of a granted one, its grant
	End              time.Duration `cbor:"25,keyasint,omitempty"` // of a granted one: overdue after this
	Fence            Fence         `cbor:"26,keyasint,omitempty"`
	Drained          []string      `cbor:"27,keyasint,omitempty"` // members that have confirmed, sorted
	Returned         time.Duration `cbor:"28,keyasint,omitempty"`
	WasRecalled      bool          `cbor:"29,keyasint,omitempty"` // was recalled
	Reason           string        `cbor:"30,keyasint,omitempty"`
	EarliestFeasible time.Duration `cbor:"31,keyasint,omitempty"` // of a refused one: the earliest start that would do
	HasFeasible      bool          `cbor:"32,keyasint,omitempty"` // Could is known
}

// floor is what is agreed for a scope.
type floor struct {
	Scope      Scope  `cbor:"1,keyasint"`
	Steps      []Step `cbor:"2,keyasint,omitempty"` // in force
	Pending    []Step `cbor:"3,keyasint,omitempty"` // pending
	BelowFloor bool   `cbor:"4,keyasint,omitempty"` // what is there is less
}

// Machine is the state machine. It is not safe for concurrent use: the task that
// applies the log owns it. All of state is slices in a stated order, so that a
// snapshot is the same everywhere.
type Machine struct {
	settings       Settings
	index          uint64
	now            time.Duration
	lastSeq        uint64
	backends       []*backend // by id
	servingMembers []string   // sorted
	floors         []*floor   // by scope
	openPlans      []*plan    // by order of asking
	endedPlans     []*plan    // by time of their end

	totalSizes    map[Scope]int64 // derived from backends
	needsReplan   bool            // plans are to be placed anew; false between entries
	grantsInEntry uint64          // grants of this entry
	events        []Event
}

// New returns an empty machine, or an error that names the setting that is wrong.
func New(settings Settings) (*Machine, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Machine{settings: settings, totalSizes: map[Scope]int64{}}, nil
}

// Result is the kind of an Answer.
type Result uint8

// The results of an entry.
const (
	OK        Result = iota // done; with an Ask: the plan was taken
	Duplicate               // was done before: a repeated id, cancel or confirmation
	Pending                 // a floor that is not in force yet
	Stale                   // a confirmation with another fencing number: nothing was done
	Rejected                // a plan that was not taken, with the reason and the earliest start
	Invalid                 // the entry is wrong: nothing was done
)

var resultNames = [...]string{"ok", "repeat", "pending", "stale", "refused", "error"}

func (r Result) String() string { return resultNames[r] }

// EventKind is what an applied entry brought about.
type EventKind uint8

// The kinds of events.
const (
	EventState         EventKind = iota // a plan has another state: its row tells which, and why
	EventStartMoved                     // a planned start has moved
	EventBelowFloor                     // a scope has less than its floor
	EventFloorRestored                  // and has it again
	EventFloorInForce                   // a pending floor is in force
)

// Event is one thing that an applied entry brought about.
type Event struct {
	Kind      EventKind `cbor:"Kind"`
	Window    Window    `cbor:"Window"` // of EventState and EventMoved
	Scope     Scope     `cbor:"Scope"`  // of the others
	Required  int64     `cbor:"Floor"`
	Available int64     `cbor:"Have"`
}

// Answer is what an entry came to. It is the same at all voters.
type Answer struct {
	Index     uint64        `cbor:"Index"`
	Now       time.Duration `cbor:"Now"` // log time after the entry
	Result    Result        `cbor:"Result"`
	Err       string        `cbor:"Err"`    // of all results but OK: the reason, naming the key
	HasWindow bool          `cbor:"Known"`  // Window is set
	Window    Window        `cbor:"Window"` // the plan that the entry is about, as it stands after the entry
	Events    []Event       `cbor:"Events"`
}

// Window is a plan as operators and members see it. Times are log time.
type Window struct {
	Request          Request       `cbor:"Ask"`
	State            State         `cbor:"State"`
	FirstStart       time.Duration `cbor:"First"`   // the start that the first answer told
	Start            time.Duration `cbor:"Start"`   // planned start; once granted, the time of the grant
	End              time.Duration `cbor:"End"`     // planned end; once granted, it is overdue after this
	Fence            Fence         `cbor:"Fence"`   // 0 before the grant
	Drained          int           `cbor:"Drained"` // members that have confirmed
	Serving          int           `cbor:"Serving"` // members that are to confirm
	Reason           string        `cbor:"Why"`
	EarliestFeasible time.Duration `cbor:"Could"` // of a refused one: the earliest start that would do, as things stood; -1: none
}

func (m *Machine) windowOf(p *plan) Window {
	w := Window{Request: p.Request, State: p.State, FirstStart: p.FirstStart, Start: p.Start, End: p.End, Fence: p.Fence,
		Drained: len(p.Drained), Serving: len(m.servingMembers), Reason: p.Reason, EarliestFeasible: p.EarliestFeasible}
	w.Request.Backends = slices.Clone(p.Backends)
	if p.Fence == 0 {
		w.End = p.Start + p.Duration
	}
	if p.State == Refused && !p.HasFeasible {
		w.EarliestFeasible = -1
	}
	return w
}

// Now is the log time.
func (m *Machine) Now() time.Duration { return m.now }

// Index is the index of the last entry applied.
func (m *Machine) Index() uint64 { return m.index }

// List returns the open windows in the order of asking, then the ended ones that
// are still kept, in the order of their end.
func (m *Machine) List() []Window {
	var windows []Window
	for _, p := range slices.Concat(m.openPlans, m.endedPlans) {
		windows = append(windows, m.windowOf(p))
	}
	return windows
}

// Window returns the window of an id.
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
	i, ok := slices.BinarySearchFunc(m.floors, sc, func(f *floor, sc Scope) int { return f.Scope.compare(sc) })
	if !ok {
		return nil
	}
	return m.floors[i]
}

// Apply applies the log entry at index, encoded by Encode. An entry that can't be
// read, is of an unknown version or kind, or is wrong in itself gets an answer that
// says so and changes nothing but the index. An index that is not above the last
// one applied changes nothing at all.
func (m *Machine) Apply(index uint64, data []byte) Answer {
	a := Answer{Index: index, Now: m.now}
	if index <= m.index || index > maxIndex {
		a.Result, a.Err = Invalid, fmt.Sprintf("window: entry %d: not above %d, the last one applied", index, m.index)
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

// settle does what time and facts ask for: it runs after each entry.
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

// become puts a plan into a state and tells of it.
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

// age ends warm-ups that are over and marks windows that are late.
func (m *Machine) endWarmUpsAndMarkOverdue() {
	for _, b := range m.backends {
		if b.WarmingUp && m.now-b.Since >= b.WarmUpTime {
			b.WarmingUp = false
		}
	}
	for _, p := range slices.Clone(m.openPlans) {
		switch {
		case p.State == WarmingUp && m.reservationOf(p, false).finish <= m.now:
			m.setState(p, Done, "")
		case p.State.holdsCapacity() && p.State != Overdue && m.now > p.End:
			m.setState(p, Overdue, "")
			m.needsReplan = true
		}
	}
}

// enforce puts pending floors in force that hold by now.
func (m *Machine) activatePendingFloors() {
	for _, f := range m.floors {
		if f.Pending != nil && m.floorWouldHold(f.Scope, f.Pending) {
			f.Steps, f.Pending = f.Pending, nil
			m.needsReplan = true
			m.events = append(m.events, Event{Kind: EventFloorInForce, Scope: f.Scope, Required: requiredAt(f.Steps, m.now)})
		}
	}
}

// wouldHold says whether steps would hold now and by the running windows. As these
// give back and nothing else is known to go, each step need be looked at once.
func (m *Machine) floorWouldHold(sc Scope, steps []Step) bool {
	forecast := m.forecastWith(true)
	if forecast.available(sc, m.now) < requiredAt(steps, m.now) {
		return false
	}
	for _, s := range steps {
		next := m.now - m.now%day + s.From
		if next < m.now {
			next += day
		}
		if forecast.available(sc, next) < s.Capacity {
			return false
		}
	}
	return true
}

// recall calls back windows, the latest grant first, until each floor that is short
// would hold with what is on its way back.
func (m *Machine) recallForFloors() {
	forecast := m.forecastWith(true)
	for _, f := range m.floors {
		required := requiredAt(f.Steps, m.now)
		available := forecast.available(f.Scope, m.now)
		if available >= required {
			continue
		}
		var recallable []*reservation
		for _, s := range forecast.reservations {
			freed := s.capacityOut(forecast, f.Scope, m.now)
			switch {
			case freed == 0:
			case s.plan.WasRecalled || s.plan.State == Returning || s.plan.State == Overdue:
				available += freed
			case s.plan.State == Granted, s.plan.State == Draining, s.plan.State == OutOfService && s.plan.Recallable:
				recallable = append(recallable, s)
			}
		}
		slices.SortFunc(recallable, func(a, b *reservation) int { return cmp.Compare(b.plan.Fence, a.plan.Fence) })
		for _, s := range recallable {
			if available >= required {
				break
			}
			available += s.capacityOut(forecast, f.Scope, m.now)
			s.plan.WasRecalled = true
			m.setState(s.plan, Recalled, fmt.Sprintf("recalled: %s is below its floor %d", scopeName(f.Scope), required))
		}
	}
}

// grantDue grants what is due, as far as the floors allow it now.
func (m *Machine) grantDuePlans() {
	due := slices.DeleteFunc(slices.Clone(m.openPlans), func(p *plan) bool {
		return p.State != Planned || p.Start > m.now || m.now+p.Duration > p.LatestEnd
	})
	slices.SortFunc(due, byPriority)
	for _, p := range due {
		forecast := m.forecastWith(true)
		candidate := m.reservationOf(p, true)
		candidate.setInterval(m.now, p.Duration)
		if conflict, found := forecast.findConflict(candidate); found {
			p.Reason = "waits: " + conflict.String()
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

// expire refuses what can't end in time any more.
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

// report tells of floors that became short, or hold again.
func (m *Machine) reportFloorChanges() {
	forecast := m.forecastWith(true)
	for _, f := range m.floors {
		available, required := forecast.available(f.Scope, m.now), requiredAt(f.Steps, m.now)
		if belowFloor := available < required; belowFloor != f.BelowFloor {
			f.BelowFloor = belowFloor
			kind := EventFloorRestored
			if belowFloor {
				kind = EventBelowFloor
			}
			m.events = append(m.events, Event{Kind: kind, Scope: f.Scope, Required: required, Available: available})
		}
	}
}
