package window

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// at is what steps ask for at time t.
func at(steps []Step, t time.Duration) int64 {
	if len(steps) == 0 {
		return 0
	}
	t %= day
	v := steps[len(steps)-1].Capacity
	for _, s := range steps {
		if s.From > t {
			break
		}
		v = s.Capacity
	}
	return v
}

// required is what grants must leave in a scope at t: the floor in force, and the
// one that is pending.
func (f *floor) required(t time.Duration) int64 {
	if f == nil {
		return 0
	}
	return max(at(f.Steps, t), at(f.Next, t))
}

// eachStep calls do for each step of the floors over (from, to), until it says no.
func (f *floor) eachStep(from, to time.Duration, do func(time.Duration) bool) {
	if f == nil {
		return
	}
	for midnight := from - from%day; midnight < to; midnight += day {
		for _, steps := range [2][]Step{f.Steps, f.Next} {
			for _, s := range steps {
				if t := midnight + s.From; t > from && t < to && !do(t) {
					return
				}
			}
		}
	}
}

// missing is what a backend of this size lacks for a time into its warm-up: linear,
// rounded up so that a sum never promises more than there is.
func missing(size, cold int64, warm, into time.Duration) int64 {
	if into >= warm {
		return 0
	}
	hi, lo := bits.Mul64(uint64(size*(1000-cold)), uint64(warm-max(into, 0)))
	q, r := bits.Div64(hi, lo, uint64(1000*warm))
	if r > 0 {
		q++
	}
	return int64(q)
}

// span is a window on the planner's time line: its parts are wholly out from start
// to end, and missing what their warm-up lacks until finish.
type span struct {
	p          *plan
	start, end time.Duration
	finish     time.Duration
	warm       time.Duration // the longest of its parts
	parts      []*backend    // for an amount: one that stands for it
	named      bool
	scopes     []Scope
	whole      []int64 // by scope, while it is wholly out
	ails       bool    // some part is out by itself as well
}

// span lays out a plan as it stands; strict is about windows past their end.
func (m *Machine) span(p *plan, strict bool) *span {
	s := &span{p: p, named: p.Amount == 0, scopes: []Scope{{}, {Region: p.Region}}}
	if s.named {
		for _, id := range p.Backends {
			s.parts = append(s.parts, m.backend(id))
		}
	} else {
		b := &backend{Backend: Backend{Region: p.Region, Zone: p.Zone, Size: p.Amount, InitialPermille: 1000}}
		for _, o := range m.backends {
			if o.Region == p.Region && o.Zone == p.Zone {
				b.WarmUpTime, b.InitialPermille = max(b.WarmUpTime, o.WarmUpTime), min(b.InitialPermille, o.InitialPermille)
			}
		}
		s.parts = []*backend{b}
	}
	for _, b := range s.parts {
		s.warm = max(s.warm, b.WarmUpTime)
		s.ails = s.ails || b.Failed || b.Ramp
		if sc := (Scope{b.Region, b.Zone}); !slices.Contains(s.scopes, sc) {
			s.scopes = append(s.scopes, sc)
		}
	}
	s.whole = make([]int64, len(s.scopes))
	for i, sc := range s.scopes {
		for _, b := range s.parts {
			if sc.contains(b.Region, b.Zone) {
				s.whole[i] += b.Size
			}
		}
	}
	switch {
	case p.State <= Planned:
		s.move(p.Start, p.Duration+m.set.MaxTick)
	case p.State == WarmingUp:
		s.move(p.Start, p.Returned-p.Start)
	case m.now < p.End, m.now == p.End && !strict: // by the last entry at its end it may be back in time
		s.move(p.Start, p.End-p.Start)
	case strict: // not back, and nobody knows when it will be
		s.start, s.end, s.finish = p.Start, never, never
	default: // as long again as it is late
		s.move(p.Start, m.now+max(m.set.Overrun, m.now-p.End)-p.Start)
	}
	return s
}

func (s *span) move(start, length time.Duration) {
	s.start, s.end = start, start+length
	s.finish = s.end + s.warm
}

// all is what the window takes from a scope while it is wholly out.
func (s *span) all(sc Scope) int64 {
	if i := slices.Index(s.scopes, sc); i >= 0 {
		return s.whole[i]
	}
	return 0
}

// out is what the window takes from a scope at t, beyond what is out by itself.
func (s *span) out(v *view, sc Scope, t time.Duration) int64 {
	if t < s.start || t >= s.finish {
		return 0
	}
	if t < s.end && !s.ails {
		return s.all(sc)
	}
	var sum int64
	for _, b := range s.parts {
		if !sc.contains(b.Region, b.Zone) {
			continue
		}
		lack := b.Size
		if t >= s.end {
			lack = missing(b.Size, b.InitialPermille, b.WarmUpTime, t-s.end)
		}
		sum += max(0, lack-v.ailing(b, t))
	}
	return sum
}

// shares says whether two windows want the same backend.
func (s *span) shares(o *span) bool {
	if !s.named || !o.named {
		return false
	}
	a, b := s.p.Backends, o.p.Backends
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
type view struct {
	m      *Machine
	strict bool
	spans  []*span
	takes  map[Scope][]take // of spans, by scope
	sick   []*backend       // out by themselves, wholly or by warm-up
}

// take is a window as one scope sees it.
type take struct {
	*span
	whole int64
}

func (v *view) add(s *span) {
	v.spans = append(v.spans, s)
	for i, sc := range s.scopes {
		v.takes[sc] = append(v.takes[sc], take{s, s.whole[i]})
	}
}

// view has the windows that are running.
func (m *Machine) view(strict bool) *view {
	v := &view{m: m, strict: strict, takes: map[Scope][]take{}}
	for _, p := range m.open {
		if p.State > Planned {
			v.add(m.span(p, strict))
		}
	}
	for _, b := range m.backends {
		if b.Failed || b.Ramp {
			v.sick = append(v.sick, b)
		}
	}
	return v
}

// back is when a failed backend is taken to come back.
func (v *view) back(b *backend) time.Duration {
	return v.m.now + max(v.m.set.Overrun, v.m.now-b.Since)
}

// ailing is what a backend lacks by itself at t.
func (v *view) ailing(b *backend, t time.Duration) int64 {
	switch {
	case b.Failed && (v.strict || t < v.back(b)):
		return b.Size
	case b.Failed:
		return missing(b.Size, b.InitialPermille, b.WarmUpTime, t-v.back(b))
	case b.Ramp:
		return missing(b.Size, b.InitialPermille, b.WarmUpTime, t-b.Since)
	}
	return 0
}

// room is what a scope has at t.
func (v *view) room(sc Scope, t time.Duration) int64 {
	have := v.m.totals[sc]
	for _, b := range v.sick {
		if sc.contains(b.Region, b.Zone) {
			have -= v.ailing(b, t)
		}
	}
	for _, s := range v.takes[sc] {
		switch {
		case t < s.start || t >= s.finish:
		case t < s.end && !s.ails:
			have -= s.whole
		default:
			have -= s.out(v, sc, t)
		}
	}
	return have
}

// clash is why a window can't be at a place.
type clash struct {
	at         time.Duration // any start from the one tried to this clashes as well
	plan       string        // that has a backend of it; or:
	scope      Scope
	have, want int64
}

func (c clash) String() string {
	if c.plan != "" {
		return "plan " + c.plan + " has a backend of it"
	}
	return fmt.Sprintf("%s would have %d at %s and its floor is %d", name(c.scope), c.have, stamp(c.at), c.want)
}

// clash looks for a moment at which s leaves too little. What is out only grows at
// the starts of windows and what is asked for only at steps, so these are all the
// moments to look at.
func (v *view) clash(s *span) (clash, bool) {
	for _, o := range v.spans {
		if s.start < o.finish && o.start < s.finish && s.shares(o) {
			return clash{at: o.finish - 1, plan: o.p.ID}, true
		}
	}
	var found clash
	for _, sc := range s.scopes {
		f := v.m.floor(sc)
		fails := func(t time.Duration) bool {
			have, want := v.room(sc, t)-s.out(v, sc, t), f.required(t)
			if have < want {
				found = clash{at: t, scope: sc, have: have, want: want}
			}
			return have < want
		}
		if fails(s.start) {
			return found, true
		}
		for _, o := range v.takes[sc] {
			if o.start > s.start && o.start < s.finish && fails(o.start) {
				return found, true
			}
		}
		bad := false
		f.eachStep(s.start, s.finish, func(t time.Duration) bool {
			bad = fails(t)
			return !bad
		})
		if bad {
			return found, true
		}
	}
	return clash{}, false
}

// place moves s to the earliest start from first to last, and returns why not.
// Room only grows when something comes back or a floor falls, so these are the
// starts to try (with some moments of each warm-up). Where one clashes at a moment,
// each start up to that moment does.
func (v *view) place(s *span, length, first, last time.Duration) (c clash, ok bool) {
	starts := []time.Duration{first}
	add := func(t time.Duration) {
		if t > first && t <= last {
			starts = append(starts, t)
		}
	}
	ramp := func(from, to time.Duration) {
		const parts = 8
		for k := range time.Duration(parts) {
			add(from + (to-from)/parts*k)
		}
		add(to)
	}
	for _, o := range v.spans {
		ramp(o.end, o.finish)
	}
	for _, b := range v.sick {
		if b.Failed {
			ramp(v.back(b), v.back(b)+b.WarmUpTime)
		} else {
			ramp(b.Since, b.Since+b.WarmUpTime)
		}
	}
	for _, sc := range s.scopes {
		v.m.floor(sc).eachStep(first, last+1, func(t time.Duration) bool { add(t); return true })
	}
	slices.Sort(starts)
	for skip, i := first, 0; i < len(starts) && starts[i] <= last; i++ {
		if starts[i] < skip {
			continue
		}
		s.move(starts[i], length)
		bad := false
		if c, bad = v.clash(s); !bad {
			return c, true
		}
		skip = c.at + 1
	}
	return c, false
}

// byList is the order of list scheduling.
func byList(a, b *plan) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(a.LatestEnd, b.LatestEnd), cmp.Compare(a.Seq, b.Seq))
}

func byLatest(a, b *plan) int {
	return cmp.Or(cmp.Compare(a.LatestEnd, b.LatestEnd),
		cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Seq, b.Seq))
}

func byStart(a, b *plan) int { return cmp.Or(cmp.Compare(a.Start, b.Start), byList(a, b)) }

// slot is where a plan may be: place is -1 for nowhere.
type slot struct {
	p     *plan
	place time.Duration
	why   clash
}

// lay places plans. Those that keep says keep their starts are laid first, by
// start; the others, and those of them whose start does not do, by order.
func (m *Machine) lay(plans []*plan, keep func(*plan) bool, order func(a, b *plan) int) []slot {
	v := m.view(false)
	var slots []slot
	var rest []*plan
	kept := slices.DeleteFunc(slices.Clone(plans), func(p *plan) bool {
		if !keep(p) {
			rest = append(rest, p)
		}
		return !keep(p)
	})
	slices.SortFunc(kept, byStart)
	for _, p := range kept {
		s := m.span(p, false)
		s.move(max(p.Start, m.now), p.Duration+m.set.MaxTick)
		if _, bad := v.clash(s); bad {
			rest = append(rest, p)
			continue
		}
		v.add(s)
		slots = append(slots, slot{p: p, place: s.start})
	}
	slices.SortFunc(rest, order)
	for _, p := range rest {
		s := m.span(p, false)
		length := p.Duration + m.set.MaxTick
		first := max(m.now, p.EarliestStart, min(p.Start, m.now+p.Notice))
		last := p.LatestEnd - length
		if first == m.now && p.Seq > 0 { // granted by this entry if at all: it needs no tick more
			last = max(last, min(first, p.LatestEnd-p.Duration))
		}
		c, ok := v.place(s, length, first, last)
		if !ok {
			slots = append(slots, slot{p: p, place: -1, why: c})
			continue
		}
		v.add(s)
		slots = append(slots, slot{p: p, place: s.start})
	}
	return slots
}

// choose lays plans by the list, and only where this leaves a planned one without a
// place, in two more ways; it takes the first that leaves most of them one. The last
// way keeps present starts, and so can only fail a plan that has none, or by a change
// of what is out.
func (m *Machine) choose(plans []*plan) (best []slot, lost int) {
	frozen := func(p *plan) bool { return p.State == Planned && p.Start > m.now && p.Start-m.now < p.Notice }
	planned := func(p *plan) bool { return p.State == Planned }
	for i, way := range []struct {
		keep  func(*plan) bool
		order func(a, b *plan) int
	}{{frozen, byList}, {frozen, byLatest}, {planned, byList}} {
		slots, n := m.lay(plans, way.keep, way.order), 0
		for _, s := range slots {
			if s.place < 0 && (s.p.State == Planned || s.p.Seq == 0) {
				n++
			}
		}
		if i == 0 || n < lost {
			best, lost = slots, n
		}
		if lost == 0 {
			break
		}
	}
	return best, lost
}

// waiting are the plans that are not granted.
func (m *Machine) waiting() []*plan {
	return slices.DeleteFunc(slices.Clone(m.open), func(p *plan) bool { return p.State > Planned })
}

// admit takes a new plan in if it finds a place and takes none from a planned one.
// Else it returns the reason.
func (m *Machine) admit(p *plan) string {
	p.Start = max(p.EarliestStart, m.now+p.Notice)
	had := 0 // planned ones that had lost their place before the new one came
	if m.dirty {
		_, had = m.choose(m.waiting())
	}
	slots, lost := m.choose(append(m.waiting(), p))
	for _, s := range slots {
		if s.p == p && s.place < 0 {
			return "no room: " + s.why.String()
		}
	}
	if lost > had {
		return "no room: a plan that was taken before would lose its place"
	}
	m.seq++
	p.Seq = m.seq
	m.open = append(m.open, p)
	m.take(slots)
	p.First = p.Start
	if !m.firm(slots) {
		p.Why = "counts on what has failed or is overdue to come back"
	}
	return ""
}

// firm says whether all plans would do where they are if what has failed or is
// overdue did not come back.
func (m *Machine) firm(slots []slot) bool {
	v := m.view(true)
	if !slices.ContainsFunc(v.sick, func(b *backend) bool { return b.Failed }) &&
		!slices.ContainsFunc(v.spans, func(s *span) bool { return s.finish == never }) {
		return true
	}
	for _, s := range slots {
		if s.place < 0 {
			return false
		}
		o := m.span(s.p, true)
		if _, bad := v.clash(o); bad {
			return false
		}
		v.add(o)
	}
	return true
}

// replan lays all plans anew.
func (m *Machine) replan() {
	if plans := m.waiting(); len(plans) > 0 {
		slots, _ := m.choose(plans)
		m.take(slots)
	}
}

// take makes slots the plan, and tells what changed in the order of asking.
func (m *Machine) take(slots []slot) {
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Compare(a.p.Seq, b.p.Seq) })
	for _, s := range slots {
		p, was := s.p, s.p.Start
		switch {
		case s.place < 0:
			p.Why = "no place: " + s.why.String()
			if p.State == Planned {
				m.become(p, Requested, "")
			}
			continue
		case p.State == Requested:
			p.Start, p.Why = s.place, ""
			m.become(p, Planned, "")
		case s.place != was && (was > m.now || s.place > m.now):
			p.Start = s.place
			m.events = append(m.events, Event{Kind: EventStartMoved, Window: m.row(p)})
		default:
			p.Start = s.place
		}
	}
}

// could finds the earliest start that a refused plan would have had without its
// latest end.
func (m *Machine) could(p *plan) {
	v := m.view(false)
	for _, o := range m.waiting() {
		if o != p && o.State == Planned {
			v.add(m.span(o, false))
		}
	}
	s := m.span(p, false)
	first := max(m.now+p.Notice, p.EarliestStart)
	_, p.Placeable = v.place(s, p.Duration+m.set.MaxTick, first, max(first, m.now+m.set.Horizon))
	if p.Could = 0; p.Placeable {
		p.Could = s.start
	}
}

// firstEnd is when the first of the running windows is due back.
func (m *Machine) firstEnd() time.Duration {
	first := never
	for _, s := range m.view(false).spans {
		first = min(first, s.finish)
	}
	for _, p := range m.waiting() {
		first = min(first, max(p.Start, m.now)+p.Duration)
	}
	return first
}
