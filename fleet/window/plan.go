package window

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// at is what steps ask for at time t.
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

// required is what grants must leave in a scope at t: the floor in force, and the
// one that is pending.
func (f *floor) required(t time.Duration) int64 {
	if f == nil {
		return 0
	}
	return max(requiredAt(f.Steps, t), requiredAt(f.Pending, t))
}

// eachStep calls do for each step of the floors over (from, to), until it says no.
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

// missing is what a backend of this size lacks for a time into its warm-up: linear,
// rounded up so that a sum never promises more than there is.
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

// span is a window on the planner's time line: its parts are wholly out from start
// to end, and missing what their warm-up lacks until finish.
type reservation struct {
	plan          *plan
	start, end    time.Duration
	finish        time.Duration
	longestWarmUp time.Duration // the longest of its parts
	backends      []*backend    // for an amount: one that stands for it
	namesBackends bool
	scopes        []Scope
	fullSizes     []int64 // by scope, while it is wholly out
	hasImpaired   bool    // some part is out by itself as well
}

// span lays out a plan as it stands; strict is about windows past their end.
func (m *Machine) reservationOf(p *plan, strict bool) *reservation {
	r := &reservation{plan: p, namesBackends: p.Amount == 0, scopes: []Scope{{}, {Region: p.Region}}}
	if r.namesBackends {
		for _, id := range p.Backends {
			r.backends = append(r.backends, m.findBackend(id))
		}
	} else {
		b := &backend{Backend: Backend{Region: p.Region, Zone: p.Zone, Size: p.Amount, InitialPermille: 1000}}
		for _, zoneBackend := range m.backends {
			if zoneBackend.Region == p.Region && zoneBackend.Zone == p.Zone {
				b.WarmUpTime, b.InitialPermille = max(b.WarmUpTime, zoneBackend.WarmUpTime), min(b.InitialPermille, zoneBackend.InitialPermille)
			}
		}
		r.backends = []*backend{b}
	}
	for _, b := range r.backends {
		r.longestWarmUp = max(r.longestWarmUp, b.WarmUpTime)
		r.hasImpaired = r.hasImpaired || b.Failed || b.WarmingUp
		if sc := (Scope{b.Region, b.Zone}); !slices.Contains(r.scopes, sc) {
			r.scopes = append(r.scopes, sc)
		}
	}
	r.fullSizes = make([]int64, len(r.scopes))
	for i, sc := range r.scopes {
		for _, b := range r.backends {
			if sc.contains(b.Region, b.Zone) {
				r.fullSizes[i] += b.Size
			}
		}
	}
	switch {
	case p.State <= Planned:
		r.setInterval(p.Start, p.Duration+m.settings.MaxTick)
	case p.State == WarmingUp:
		r.setInterval(p.Start, p.Returned-p.Start)
	case m.now < p.End, m.now == p.End && !strict: // by the last entry at its end it may be back in time
		r.setInterval(p.Start, p.End-p.Start)
	case strict: // not back, and nobody knows when it will be
		r.start, r.end, r.finish = p.Start, unboundedTime, unboundedTime
	default: // as long again as it is late
		r.setInterval(p.Start, m.now+max(m.settings.Overrun, m.now-p.End)-p.Start)
	}
	return r
}

func (s *reservation) setInterval(start, length time.Duration) {
	s.start, s.end = start, start+length
	s.finish = s.end + s.longestWarmUp
}

// all is what the window takes from a scope while it is wholly out.
func (s *reservation) fullSize(sc Scope) int64 {
	if i := slices.Index(s.scopes, sc); i >= 0 {
		return s.fullSizes[i]
	}
	return 0
}

// out is what the window takes from a scope at t, beyond what is out by itself.
func (s *reservation) capacityOut(forecast *forecast, sc Scope, t time.Duration) int64 {
	if t < s.start || t >= s.finish {
		return 0
	}
	if t < s.end && !s.hasImpaired {
		return s.fullSize(sc)
	}
	var sum int64
	for _, b := range s.backends {
		if !sc.contains(b.Region, b.Zone) {
			continue
		}
		deficit := b.Size
		if t >= s.end {
			deficit = warmUpDeficit(b.Size, b.InitialPermille, b.WarmUpTime, t-s.end)
		}
		sum += max(0, deficit-forecast.impairment(b, t))
	}
	return sum
}

// shares says whether two windows want the same backend.
func (s *reservation) sharesBackend(other *reservation) bool {
	if !s.namesBackends || !other.namesBackends {
		return false
	}
	a, b := s.plan.Backends, other.plan.Backends
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

// view is what is known of the time from now on. Strict, what is overdue or failed
// stays so: that is what a grant rests on. Else it comes back after a while, which
// is what a plan is made on.
type forecast struct {
	machine      *Machine
	strict       bool
	reservations []*reservation
	byScope      map[Scope][]scopeReservation // of spans, by scope
	impaired     []*backend                   // out by themselves, wholly or by warm-up
}

// take is a window as one scope sees it.
type scopeReservation struct {
	*reservation
	size int64
}

func (v *forecast) add(s *reservation) {
	v.reservations = append(v.reservations, s)
	for i, sc := range s.scopes {
		v.byScope[sc] = append(v.byScope[sc], scopeReservation{s, s.fullSizes[i]})
	}
}

// view has the windows that are running.
func (m *Machine) forecastWith(strict bool) *forecast {
	v := &forecast{machine: m, strict: strict, byScope: map[Scope][]scopeReservation{}}
	for _, p := range m.openPlans {
		if p.State > Planned {
			v.add(m.reservationOf(p, strict))
		}
	}
	for _, b := range m.backends {
		if b.Failed || b.WarmingUp {
			v.impaired = append(v.impaired, b)
		}
	}
	return v
}

// back is when a failed backend is taken to come back.
func (v *forecast) assumedRecovery(b *backend) time.Duration {
	return v.machine.now + max(v.machine.settings.Overrun, v.machine.now-b.Since)
}

// ailing is what a backend lacks by itself at t.
func (v *forecast) impairment(b *backend, t time.Duration) int64 {
	switch {
	case b.Failed && (v.strict || t < v.assumedRecovery(b)):
		return b.Size
	case b.Failed:
		return warmUpDeficit(b.Size, b.InitialPermille, b.WarmUpTime, t-v.assumedRecovery(b))
	case b.WarmingUp:
		return warmUpDeficit(b.Size, b.InitialPermille, b.WarmUpTime, t-b.Since)
	}
	return 0
}

// room is what a scope has at t.
func (v *forecast) available(sc Scope, t time.Duration) int64 {
	available := v.machine.totalSizes[sc]
	for _, b := range v.impaired {
		if sc.contains(b.Region, b.Zone) {
			available -= v.impairment(b, t)
		}
	}
	for _, s := range v.byScope[sc] {
		switch {
		case t < s.start || t >= s.finish:
		case t < s.end && !s.hasImpaired:
			available -= s.size
		default:
			available -= s.capacityOut(v, sc, t)
		}
	}
	return available
}

// clash is why a window can't be at a place.
type conflict struct {
	time                time.Duration // any start from the one tried to this clashes as well
	plan                string        // that has a backend of it; or:
	scope               Scope
	available, required int64
}

func (c conflict) String() string {
	if c.plan != "" {
		return "plan " + c.plan + " has a backend of it"
	}
	return fmt.Sprintf("%s would have %d at %s and its floor is %d", scopeName(c.scope), c.available, formatLogTime(c.time), c.required)
}

// clash looks for a moment at which s leaves too little. What is out only grows at
// the starts of windows and what is asked for only at steps, so these are all the
// moments to look at.
func (v *forecast) findConflict(s *reservation) (conflict, bool) {
	for _, other := range v.reservations {
		if s.start < other.finish && other.start < s.finish && s.sharesBackend(other) {
			return conflict{time: other.finish - 1, plan: other.plan.ID}, true
		}
	}
	var found conflict
	for _, sc := range s.scopes {
		floor := v.machine.findFloor(sc)
		violatesAt := func(t time.Duration) bool {
			available, required := v.available(sc, t)-s.capacityOut(v, sc, t), floor.required(t)
			if available < required {
				found = conflict{time: t, scope: sc, available: available, required: required}
			}
			return available < required
		}
		if violatesAt(s.start) {
			return found, true
		}
		for _, other := range v.byScope[sc] {
			if other.start > s.start && other.start < s.finish && violatesAt(other.start) {
				return found, true
			}
		}
		violated := false
		floor.eachStep(s.start, s.finish, func(t time.Duration) bool {
			violated = violatesAt(t)
			return !violated
		})
		if violated {
			return found, true
		}
	}
	return conflict{}, false
}

// place moves s to the earliest start from first to last, and returns why not.
// Room only grows when something comes back or a floor falls, so these are the
// starts to try (with some moments of each warm-up). Where one clashes at a moment,
// each start up to that moment does.
func (v *forecast) placeEarliest(s *reservation, length, first, last time.Duration) (reason conflict, ok bool) {
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
	for _, o := range v.reservations {
		addWarmUp(o.end, o.finish)
	}
	for _, b := range v.impaired {
		if b.Failed {
			addWarmUp(v.assumedRecovery(b), v.assumedRecovery(b)+b.WarmUpTime)
		} else {
			addWarmUp(b.Since, b.Since+b.WarmUpTime)
		}
	}
	for _, sc := range s.scopes {
		v.machine.findFloor(sc).eachStep(first, last+1, func(t time.Duration) bool { addStart(t); return true })
	}
	slices.Sort(starts)
	for notBefore, i := first, 0; i < len(starts) && starts[i] <= last; i++ {
		if starts[i] < notBefore {
			continue
		}
		s.setInterval(starts[i], length)
		conflicts := false
		if reason, conflicts = v.findConflict(s); !conflicts {
			return reason, true
		}
		notBefore = reason.time + 1
	}
	return reason, false
}

// byList is the order of list scheduling.
func byPriority(a, b *plan) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(a.LatestEnd, b.LatestEnd), cmp.Compare(a.Seq, b.Seq))
}

func byLatest(a, b *plan) int {
	return cmp.Or(cmp.Compare(a.LatestEnd, b.LatestEnd),
		cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Seq, b.Seq))
}

func byStart(a, b *plan) int { return cmp.Or(cmp.Compare(a.Start, b.Start), byPriority(a, b)) }

// slot is where a plan may be: place is -1 for nowhere.
type placement struct {
	plan   *plan
	start  time.Duration
	reason conflict
}

// lay places plans. Those that keep says keep their starts are laid first, by
// start; the others, and those of them whose start does not do, by order.
func (m *Machine) placeAll(plans []*plan, keep func(*plan) bool, order func(a, b *plan) int) []placement {
	forecast := m.forecastWith(false)
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
		candidate := m.reservationOf(p, false)
		candidate.setInterval(max(p.Start, m.now), p.Duration+m.settings.MaxTick)
		if _, conflicts := forecast.findConflict(candidate); conflicts {
			remaining = append(remaining, p)
			continue
		}
		forecast.add(candidate)
		placements = append(placements, placement{plan: p, start: candidate.start})
	}
	slices.SortFunc(remaining, order)
	for _, p := range remaining {
		candidate := m.reservationOf(p, false)
		length := p.Duration + m.settings.MaxTick
		first := max(m.now, p.EarliestStart, min(p.Start, m.now+p.Notice))
		last := p.LatestEnd - length
		if first == m.now && p.Seq > 0 { // granted by this entry if at all: it needs no tick more
			last = max(last, min(first, p.LatestEnd-p.Duration))
		}
		reason, ok := forecast.placeEarliest(candidate, length, first, last)
		if !ok {
			placements = append(placements, placement{plan: p, start: -1, reason: reason})
			continue
		}
		forecast.add(candidate)
		placements = append(placements, placement{plan: p, start: candidate.start})
	}
	return placements
}

// choose lays plans by the list, and only where this leaves a planned one without a
// place, in two more ways; it takes the first that leaves most of them one. The last
// way keeps present starts, and so can only fail a plan that has none, or by a change
// of what is out.
func (m *Machine) choosePlacements(plans []*plan) (best []placement, unplaced int) {
	withinNotice := func(p *plan) bool { return p.State == Planned && p.Start > m.now && p.Start-m.now < p.Notice }
	planned := func(p *plan) bool { return p.State == Planned }
	for i, strategy := range []struct {
		keep  func(*plan) bool
		order func(a, b *plan) int
	}{{withinNotice, byPriority}, {withinNotice, byLatest}, {planned, byPriority}} {
		placements, count := m.placeAll(plans, strategy.keep, strategy.order), 0
		for _, s := range placements {
			if s.start < 0 && (s.plan.State == Planned || s.plan.Seq == 0) {
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

// waiting are the plans that are not granted.
func (m *Machine) ungrantedPlans() []*plan {
	return slices.DeleteFunc(slices.Clone(m.openPlans), func(p *plan) bool { return p.State > Planned })
}

// admit takes a new plan in if it finds a place and takes none from a planned one.
// Else it returns the reason.
func (m *Machine) admit(p *plan) string {
	p.Start = max(p.EarliestStart, m.now+p.Notice)
	unplacedBefore := 0 // planned ones that had lost their place before the new one came
	if m.needsReplan {
		_, unplacedBefore = m.choosePlacements(m.ungrantedPlans())
	}
	placements, unplaced := m.choosePlacements(append(m.ungrantedPlans(), p))
	for _, s := range placements {
		if s.plan == p && s.start < 0 {
			return "no room: " + s.reason.String()
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

// firm says whether all plans would do where they are if what has failed or is
// overdue did not come back.
func (m *Machine) holdsWithoutRecovery(placements []placement) bool {
	forecast := m.forecastWith(true)
	if !slices.ContainsFunc(forecast.impaired, func(b *backend) bool { return b.Failed }) &&
		!slices.ContainsFunc(forecast.reservations, func(s *reservation) bool { return s.finish == unboundedTime }) {
		return true
	}
	for _, s := range placements {
		if s.start < 0 {
			return false
		}
		reserved := m.reservationOf(s.plan, true)
		if _, conflicts := forecast.findConflict(reserved); conflicts {
			return false
		}
		forecast.add(reserved)
	}
	return true
}

// replan lays all plans anew.
func (m *Machine) replan() {
	if plans := m.ungrantedPlans(); len(plans) > 0 {
		placements, _ := m.choosePlacements(plans)
		m.adopt(placements)
	}
}

// take makes slots the plan, and tells what changed in the order of asking.
func (m *Machine) adopt(placements []placement) {
	slices.SortFunc(placements, func(a, b placement) int { return cmp.Compare(a.plan.Seq, b.plan.Seq) })
	for _, s := range placements {
		p, oldStart := s.plan, s.plan.Start
		switch {
		case s.start < 0:
			p.Reason = "no place: " + s.reason.String()
			if p.State == Planned {
				m.setState(p, Requested, "")
			}
			continue
		case p.State == Requested:
			p.Start, p.Reason = s.start, ""
			m.setState(p, Planned, "")
		case s.start != oldStart && (oldStart > m.now || s.start > m.now):
			p.Start = s.start
			m.events = append(m.events, Event{Kind: EventStartMoved, Window: m.windowOf(p)})
		default:
			p.Start = s.start
		}
	}
}

// could finds the earliest start that a refused plan would have had without its
// latest end.
func (m *Machine) findEarliestFeasible(p *plan) {
	forecast := m.forecastWith(false)
	for _, o := range m.ungrantedPlans() {
		if o != p && o.State == Planned {
			forecast.add(m.reservationOf(o, false))
		}
	}
	candidate := m.reservationOf(p, false)
	first := max(m.now+p.Notice, p.EarliestStart)
	_, p.HasFeasible = forecast.placeEarliest(candidate, p.Duration+m.settings.MaxTick, first, max(first, m.now+m.settings.Horizon))
	if p.EarliestFeasible = 0; p.HasFeasible {
		p.EarliestFeasible = candidate.start
	}
}

// firstEnd is when the first of the running windows is due back.
func (m *Machine) earliestRelease() time.Duration {
	first := unboundedTime
	for _, s := range m.forecastWith(false).reservations {
		first = min(first, s.finish)
	}
	for _, p := range m.ungrantedPlans() {
		first = min(first, max(p.Start, m.now)+p.Duration)
	}
	return first
}
