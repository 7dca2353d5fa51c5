package window

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// requiredAt returns the capacity that steps require at logTime.
func requiredAt(steps []Step, logTime time.Duration) int64 {
	if len(steps) == 0 {
		return 0
	}
	logTime %= day
	required := steps[len(steps)-1].Capacity
	for _, s := range steps {
		if s.From > logTime {
			break
		}
		required = s.Capacity
	}
	return required
}

// required returns the capacity that grants must leave in a scope at t: the higher one
// of the floor in force and the pending floor.
func (f *floor) required(t time.Duration) int64 {
	if f == nil {
		return 0
	}
	return max(requiredAt(f.Steps, t), requiredAt(f.Pending, t))
}

// eachStep calls visit with the time of each floor step between from and to, both
// exclusive, until visit returns false.
func (f *floor) eachStep(from, to time.Duration, visit func(time.Duration) bool) {
	if f == nil {
		return
	}
	for midnight := from - from%day; midnight < to; midnight += day {
		for _, steps := range [2][]Step{f.Steps, f.Pending} {
			for _, s := range steps {
				if t := midnight + s.From; t > from && t < to && !visit(t) {
					return
				}
			}
		}
	}
}

// warmUpDeficit returns the capacity that a backend of this size lacks when elapsed of
// its warm-up has passed. The deficit falls linearly and is rounded up, so that a sum of
// capacities never exceeds what is available.
func warmUpDeficit(size, initialPermille int64, warmUp, elapsed time.Duration) int64 {
	if elapsed >= warmUp {
		return 0
	}
	high, low := bits.Mul64(uint64(size*(1000-initialPermille)), uint64(warmUp-max(elapsed, 0)))
	deficit, remainder := bits.Div64(high, low, uint64(1000*warmUp))
	if remainder > 0 {
		deficit++
	}
	return int64(deficit)
}

// reservation is a window on the planner's time line: its backends are out of service
// from start to end, and then warm up until finish.
type reservation struct {
	plan          *plan
	start, end    time.Duration
	finish        time.Duration
	longestWarmUp time.Duration // longest warm-up of its backends
	backends      []*backend    // for an amount: a single synthetic backend of that size
	namesBackends bool
	scopes        []Scope
	fullSizes     []int64 // per scope: capacity taken between start and end
	hasImpaired   bool    // some backend has failed or warms up for another reason
}

// reservation returns the reservation of a plan in its present state. With strict set,
// a window past its end does not end; otherwise it is assumed to end later.
func (m *Machine) reservation(p *plan, strict bool) *reservation {
	reserved := &reservation{plan: p, namesBackends: p.Amount == 0, scopes: []Scope{{}, {Region: p.Region}}}
	if reserved.namesBackends {
		for _, id := range p.Backends {
			reserved.backends = append(reserved.backends, m.findBackend(id))
		}
	} else {
		b := &backend{Backend: Backend{Region: p.Region, Zone: p.Zone, Size: p.Amount, InitialPermille: 1000}}
		for _, zoneBackend := range m.backends {
			if zoneBackend.Region == p.Region && zoneBackend.Zone == p.Zone {
				b.WarmUpTime, b.InitialPermille = max(b.WarmUpTime, zoneBackend.WarmUpTime),
					min(b.InitialPermille, zoneBackend.InitialPermille)
			}
		}
		reserved.backends = []*backend{b}
	}
	for _, b := range reserved.backends {
		reserved.longestWarmUp = max(reserved.longestWarmUp, b.WarmUpTime)
		reserved.hasImpaired = reserved.hasImpaired || b.Failed || b.WarmingUp
		if sc := (Scope{b.Region, b.Zone}); !slices.Contains(reserved.scopes, sc) {
			reserved.scopes = append(reserved.scopes, sc)
		}
	}
	reserved.fullSizes = make([]int64, len(reserved.scopes))
	for i, sc := range reserved.scopes {
		for _, b := range reserved.backends {
			if sc.contains(b.Region, b.Zone) {
				reserved.fullSizes[i] += b.Size
			}
		}
	}
	switch {
	case p.State <= Planned:
		reserved.setInterval(p.Start, p.Duration+m.settings.MaxTick)
	case p.State == WarmingUp:
		reserved.setInterval(p.Start, p.Returned-p.Start)
	case m.now < p.End, m.now == p.End && !strict: // an entry at exactly the end may still confirm the return
		reserved.setInterval(p.Start, p.End-p.Start)
	case strict: // not returned: the end is unknown
		reserved.start, reserved.end, reserved.finish = p.Start, unboundedTime, unboundedTime
	default: // assume that it stays overdue for as long again, or for Overrun
		reserved.setInterval(p.Start, m.now+max(m.settings.Overrun, m.now-p.End)-p.Start)
	}
	return reserved
}

func (r *reservation) setInterval(start, length time.Duration) {
	r.start, r.end = start, start+length
	r.finish = r.end + r.longestWarmUp
}

// fullSize returns the capacity that the window takes from a scope between start and
// end.
func (r *reservation) fullSize(sc Scope) int64 {
	if i := slices.Index(r.scopes, sc); i >= 0 {
		return r.fullSizes[i]
	}
	return 0
}

// capacityOut returns the capacity that the window takes from a scope at t, not counting
// what its backends lack at that time for other reasons.
func (r *reservation) capacityOut(fc *forecast, sc Scope, t time.Duration) int64 {
	if t < r.start || t >= r.finish {
		return 0
	}
	if t < r.end && !r.hasImpaired {
		return r.fullSize(sc)
	}
	var sum int64
	for _, b := range r.backends {
		if !sc.contains(b.Region, b.Zone) {
			continue
		}
		deficit := b.Size
		if t >= r.end {
			deficit = warmUpDeficit(b.Size, b.InitialPermille, b.WarmUpTime, t-r.end)
		}
		sum += max(0, deficit-fc.impairment(b, t))
	}
	return sum
}

// sharesBackend reports whether both windows name a common backend.
func (r *reservation) sharesBackend(other *reservation) bool {
	if !r.namesBackends || !other.namesBackends {
		return false
	}
	a, b := r.plan.Backends, other.plan.Backends
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch c := cmp.Compare(a[i], b[j]); {
		case c == 0:
			return true
		case c < 0:
			i++
		default:
			j++
		}
	}
	return false
}

// forecast is the known capacity from now on. If strict, overdue windows and failed
// backends stay out; grants are decided on this. Otherwise they are assumed to come back
// after a while; plans are made on that.
type forecast struct {
	machine      *Machine
	strict       bool
	reservations []*reservation
	byScope      map[Scope][]scopeReservation // the reservations by scope
	impaired     []*backend                   // failed, or warming up after a failure or registration
}

// scopeReservation is a reservation with its full size in one scope.
type scopeReservation struct {
	*reservation
	size int64
}

func (fc *forecast) add(reserved *reservation) {
	fc.reservations = append(fc.reservations, reserved)
	for i, sc := range reserved.scopes {
		fc.byScope[sc] = append(fc.byScope[sc], scopeReservation{reserved, reserved.fullSizes[i]})
	}
}

// forecast returns a forecast that holds the granted windows.
func (m *Machine) forecast(strict bool) *forecast {
	fc := &forecast{machine: m, strict: strict, byScope: map[Scope][]scopeReservation{}}
	for _, p := range m.openPlans {
		if p.State > Planned {
			fc.add(m.reservation(p, strict))
		}
	}
	for _, b := range m.backends {
		if b.Failed || b.WarmingUp {
			fc.impaired = append(fc.impaired, b)
		}
	}
	return fc
}

// assumedRecovery returns the time at which a failed backend is assumed to be back:
// after it has been down for as long again, and no sooner than Overrun from now.
func (fc *forecast) assumedRecovery(b *backend) time.Duration {
	return fc.machine.now + max(fc.machine.settings.Overrun, fc.machine.now-b.Since)
}

// impairment returns the capacity that a backend lacks at t through a failure or a
// warm-up that is not part of a window.
func (fc *forecast) impairment(b *backend, t time.Duration) int64 {
	switch {
	case b.Failed && (fc.strict || t < fc.assumedRecovery(b)):
		return b.Size
	case b.Failed:
		return warmUpDeficit(b.Size, b.InitialPermille, b.WarmUpTime, t-fc.assumedRecovery(b))
	case b.WarmingUp:
		return warmUpDeficit(b.Size, b.InitialPermille, b.WarmUpTime, t-b.Since)
	}
	return 0
}

// available returns the capacity that a scope has at t.
func (fc *forecast) available(sc Scope, t time.Duration) int64 {
	capacity := fc.machine.totalSizes[sc]
	for _, b := range fc.impaired {
		if sc.contains(b.Region, b.Zone) {
			capacity -= fc.impairment(b, t)
		}
	}
	for _, reserved := range fc.byScope[sc] {
		switch {
		case t < reserved.start || t >= reserved.finish:
		case t < reserved.end && !reserved.hasImpaired:
			capacity -= reserved.size
		default:
			capacity -= reserved.capacityOut(fc, sc, t)
		}
	}
	return capacity
}

// conflict is the reason why a window can't have a certain start.
type conflict struct {
	time                time.Duration // every start from the tried one up to this time conflicts too
	plan                string        // the plan that shares a backend; or, if empty, the floor:
	scope               Scope
	available, required int64
}

func (c conflict) String() string {
	if c.plan != "" {
		return "plan " + c.plan + " has a backend of it"
	}
	return fmt.Sprintf("%s would have %d at %s and its floor is %d", scopeName(c.scope), c.available,
		formatLogTime(c.time), c.required)
}

// findConflict returns the first conflict of candidate with the other reservations or a floor.
// Capacity out of service only grows when a window starts, and requirements only change
// at floor steps, so checking those times is enough.
func (fc *forecast) findConflict(candidate *reservation) (conflict, bool) {
	for _, other := range fc.reservations {
		if candidate.start < other.finish && other.start < candidate.finish &&
			candidate.sharesBackend(other) {
			return conflict{time: other.finish - 1, plan: other.plan.ID}, true
		}
	}
	var found conflict
	for _, sc := range candidate.scopes {
		f := fc.machine.findFloor(sc)
		violatesAt := func(t time.Duration) bool {
			available, required := fc.available(sc, t)-candidate.capacityOut(fc, sc, t), f.required(t)
			if available < required {
				found = conflict{time: t, scope: sc, available: available, required: required}
			}
			return available < required
		}
		if violatesAt(candidate.start) {
			return found, true
		}
		for _, other := range fc.byScope[sc] {
			if other.start > candidate.start && other.start < candidate.finish && violatesAt(other.start) {
				return found, true
			}
		}
		violated := false
		f.eachStep(candidate.start, candidate.finish, func(t time.Duration) bool {
			violated = violatesAt(t)
			return !violated
		})
		if violated {
			return found, true
		}
	}
	return conflict{}, false
}

// placeEarliest moves candidate to the earliest start between first and last that has no
// conflict. If there is none, it returns false with a conflict. Available capacity only
// grows when something comes back or a floor falls, so those times are the candidates
// (with some samples within each warm-up). A conflict at some time rules out all starts
// up to that time.
func (fc *forecast) placeEarliest(
	candidate *reservation, length, first, last time.Duration,
) (reason conflict, ok bool) {
	starts := []time.Duration{first}
	addStart := func(t time.Duration) {
		if t > first && t <= last {
			starts = append(starts, t)
		}
	}
	addWarmUp := func(from, to time.Duration) {
		const samples = 8
		for k := range time.Duration(samples) {
			addStart(from + (to-from)/samples*k)
		}
		addStart(to)
	}
	for _, reserved := range fc.reservations {
		addWarmUp(reserved.end, reserved.finish)
	}
	for _, b := range fc.impaired {
		if b.Failed {
			addWarmUp(fc.assumedRecovery(b), fc.assumedRecovery(b)+b.WarmUpTime)
		} else {
			addWarmUp(b.Since, b.Since+b.WarmUpTime)
		}
	}
	for _, sc := range candidate.scopes {
		fc.machine.findFloor(sc).eachStep(first, last+1,
			func(t time.Duration) bool { addStart(t); return true })
	}
	slices.Sort(starts)
	for notBefore, i := first, 0; i < len(starts) && starts[i] <= last; i++ {
		if starts[i] < notBefore {
			continue
		}
		candidate.setInterval(starts[i], length)
		conflicts := false
		if reason, conflicts = fc.findConflict(candidate); !conflicts {
			return reason, true
		}
		notBefore = reason.time + 1
	}
	return reason, false
}

// byPriority is the order of the list scheduler.
func byPriority(a, b *plan) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(a.LatestEnd, b.LatestEnd), cmp.Compare(a.Seq, b.Seq))
}

func byLatestEnd(a, b *plan) int {
	return cmp.Or(cmp.Compare(a.LatestEnd, b.LatestEnd),
		cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Seq, b.Seq))
}

func byStart(a, b *plan) int { return cmp.Or(cmp.Compare(a.Start, b.Start), byPriority(a, b)) }

// placement is the start found for a plan; start is -1 if there is none.
type placement struct {
	plan   *plan
	start  time.Duration
	reason conflict
}

// placeAll places plans. Those for which keep returns true are placed first, at their
// current starts and in order of start. The others, and those whose current start has a
// conflict, follow in the given order.
func (m *Machine) placeAll(plans []*plan, keep func(*plan) bool, order func(a, b *plan) int) []placement {
	fc := m.forecast(false)
	var placements []placement
	var remaining []*plan
	fixed := slices.DeleteFunc(slices.Clone(plans), func(p *plan) bool {
		if !keep(p) {
			remaining = append(remaining, p)
		}
		return !keep(p)
	})
	slices.SortFunc(fixed, byStart)
	for _, p := range fixed {
		candidate := m.reservation(p, false)
		candidate.setInterval(max(p.Start, m.now), p.Duration+m.settings.MaxTick)
		if _, conflicts := fc.findConflict(candidate); conflicts {
			remaining = append(remaining, p)
			continue
		}
		fc.add(candidate)
		placements = append(placements, placement{plan: p, start: candidate.start})
	}
	slices.SortFunc(remaining, order)
	for _, p := range remaining {
		candidate := m.reservation(p, false)
		length := p.Duration + m.settings.MaxTick
		first := max(m.now, p.EarliestStart, min(p.Start, m.now+p.Notice))
		last := p.LatestEnd - length
		if first == m.now && p.Seq > 0 { // a grant by this entry needs no reserve of MaxTick
			last = max(last, min(first, p.LatestEnd-p.Duration))
		}
		why, ok := fc.placeEarliest(candidate, length, first, last)
		if !ok {
			placements = append(placements, placement{plan: p, start: -1, reason: why})
			continue
		}
		fc.add(candidate)
		placements = append(placements, placement{plan: p, start: candidate.start})
	}
	return placements
}

// choosePlacements places plans in list order. If that leaves a planned plan without a
// start, it tries two more strategies, and returns the first result with the fewest such
// plans. The last strategy keeps all current starts, so it can only fail for a plan
// without one, or because the capacity out of service has changed.
func (m *Machine) choosePlacements(plans []*plan) (best []placement, unplaced int) {
	withinNotice := func(p *plan) bool {
		return p.State == Planned && p.Start > m.now && p.Start-m.now < p.Notice
	}
	planned := func(p *plan) bool { return p.State == Planned }
	for i, strategy := range []struct {
		keep  func(*plan) bool
		order func(a, b *plan) int
	}{{withinNotice, byPriority}, {withinNotice, byLatestEnd}, {planned, byPriority}} {
		placements, count := m.placeAll(plans, strategy.keep, strategy.order), 0
		for _, placed := range placements {
			if placed.start < 0 && (placed.plan.State == Planned || placed.plan.Seq == 0) {
				count++
			}
		}
		if i == 0 || count < unplaced {
			best, unplaced = placements, count
		}
		if unplaced == 0 {
			break
		}
	}
	return best, unplaced
}

// ungrantedPlans returns the open plans that are not granted yet.
func (m *Machine) ungrantedPlans() []*plan {
	return slices.DeleteFunc(slices.Clone(m.openPlans), func(p *plan) bool { return p.State > Planned })
}

// admit accepts a new plan if a start is found for it and no planned plan loses its own.
// Otherwise it returns the reason.
func (m *Machine) admit(p *plan) string {
	p.Start = max(p.EarliestStart, m.now+p.Notice)
	unplacedBefore := 0 // planned plans that had no start even before the new one
	if m.needsReplan {
		_, unplacedBefore = m.choosePlacements(m.ungrantedPlans())
	}
	placements, unplaced := m.choosePlacements(append(m.ungrantedPlans(), p))
	for _, placed := range placements {
		if placed.plan == p && placed.start < 0 {
			return "no room: " + placed.reason.String()
		}
	}
	if unplaced > unplacedBefore {
		return "no room: a plan that was taken before would lose its place"
	}
	m.lastSeq++
	p.Seq = m.lastSeq
	m.openPlans = append(m.openPlans, p)
	m.adopt(placements)
	p.FirstStart = p.Start
	if !m.holdsWithoutRecovery(placements) {
		p.Reason = "counts on what has failed or is overdue to come back"
	}
	return ""
}

// holdsWithoutRecovery reports whether all placements would stay free of conflicts if
// failed backends and overdue windows never came back.
func (m *Machine) holdsWithoutRecovery(placements []placement) bool {
	fc := m.forecast(true)
	if !slices.ContainsFunc(fc.impaired, func(b *backend) bool { return b.Failed }) &&
		!slices.ContainsFunc(fc.reservations,
			func(planned *reservation) bool { return planned.finish == unboundedTime }) {
		return true
	}
	for _, planned := range placements {
		if planned.start < 0 {
			return false
		}
		reserved := m.reservation(planned.plan, true)
		if _, conflicts := fc.findConflict(reserved); conflicts {
			return false
		}
		fc.add(reserved)
	}
	return true
}

// replan places all plans that are not granted again.
func (m *Machine) replan() {
	if plans := m.ungrantedPlans(); len(plans) > 0 {
		placements, _ := m.choosePlacements(plans)
		m.adopt(placements)
	}
}

// adopt applies placements and records the changes as events, in order of acceptance.
func (m *Machine) adopt(placements []placement) {
	slices.SortFunc(placements, func(a, b placement) int { return cmp.Compare(a.plan.Seq, b.plan.Seq) })
	for _, placed := range placements {
		p, oldStart := placed.plan, placed.plan.Start
		switch {
		case placed.start < 0:
			p.Reason = "no place: " + placed.reason.String()
			if p.State == Planned {
				m.setState(p, Requested, "")
			}
			continue
		case p.State == Requested:
			p.Start, p.Reason = placed.start, ""
			m.setState(p, Planned, "")
		case placed.start != oldStart && (oldStart > m.now || placed.start > m.now):
			p.Start = placed.start
			m.events = append(m.events, Event{Kind: EventStartMoved, Window: m.windowOf(p)})
		default:
			p.Start = placed.start
		}
	}
}

// findEarliestFeasible sets the earliest start that a refused plan could have had
// without its latest end.
func (m *Machine) findEarliestFeasible(p *plan) {
	fc := m.forecast(false)
	for _, other := range m.ungrantedPlans() {
		if other != p && other.State == Planned {
			fc.add(m.reservation(other, false))
		}
	}
	candidate := m.reservation(p, false)
	first := max(m.now+p.Notice, p.EarliestStart)
	_, p.HasFeasible = fc.placeEarliest(candidate, p.Duration+m.settings.MaxTick, first,
		max(first, m.now+m.settings.Horizon))
	if p.EarliestFeasible = 0; p.HasFeasible {
		p.EarliestFeasible = candidate.start
	}
}

// earliestRelease returns the earliest time at which an open plan is due to be finished.
func (m *Machine) earliestRelease() time.Duration {
	first := unboundedTime
	for _, reserved := range m.forecast(false).reservations {
		first = min(first, reserved.finish)
	}
	for _, p := range m.ungrantedPlans() {
		first = min(first, max(p.Start, m.now)+p.Duration)
	}
	return first
}
