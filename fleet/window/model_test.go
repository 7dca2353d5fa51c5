package window

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// This file is a model of capacity, small and of its own, that watches a machine
// from outside: entries and answers, and the list where it says so. It keeps no
// plan and knows nothing of the planner.

type activeWindow struct {
	request    Request
	fence      Fence
	start, end time.Duration
	returned   time.Duration // -1: not yet
	recalled   bool
	drained    map[string]bool
}

type acceptedPlan struct {
	request           Request
	index             uint64 // of the entry that took it
	requestedAt       time.Duration
	announcedStart    time.Duration // last told
	state             State
	dependsOnRecovery bool // it was told that it counts on what is out by itself to come back
}

type model struct {
	settings        Settings
	now             time.Duration
	index           uint64
	backends        map[string]Backend
	failed          map[string]bool
	warmUpStart     map[string]time.Duration // start of a warm-up of its own
	requestedFloors map[Scope][]Step         // asked last
	activeFloors    map[Scope][]Step
	serving         map[string]bool
	active          map[string]*activeWindow
	accepted        map[string]*acceptedPlan
	lastFence       map[string]Fence
	lastDisturbance uint64 // index of the last entry after which less may be there than was known
	lastGrantIndex  map[Scope]uint64
}

func newModel(settings Settings) *model {
	return &model{settings: settings, backends: map[string]Backend{}, failed: map[string]bool{},
		warmUpStart: map[string]time.Duration{}, requestedFloors: map[Scope][]Step{}, activeFloors: map[Scope][]Step{},
		serving: map[string]bool{}, active: map[string]*activeWindow{}, accepted: map[string]*acceptedPlan{},
		lastFence: map[string]Fence{}, lastGrantIndex: map[Scope]uint64{}}
}

func scopeContains(sc Scope, region, zone string) bool {
	return sc == Scope{} || sc == Scope{Region: region} || sc == Scope{region, zone}
}

// lacks is the part of the whole that is missing into a warm-up.
func warmUpLoss(cold int64, warm, into time.Duration) float64 {
	if into >= warm {
		return 0
	}
	return (1 - float64(cold)/1000) * (1 - float64(into)/float64(warm))
}

// have is what a scope has at t (now or later) as far as is known: windows end at
// their end, those past it and what failed do not come back.
func (o *model) available(sc Scope, t time.Duration, without func(*activeWindow) bool) float64 {
	var sum float64
	taken := map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(o.active)) {
		h := o.active[id]
		if without != nil && without(h) {
			continue
		}
		ids, cold, warm := h.request.Backends, int64(1000), time.Duration(0)
		if h.request.Amount > 0 {
			for _, b := range o.backends {
				if b.Region == h.request.Region && b.Zone == h.request.Zone {
					cold, warm = min(cold, b.InitialPermille), max(warm, b.WarmUpTime)
				}
			}
			if scopeContains(sc, h.request.Region, h.request.Zone) {
				sum -= float64(h.request.Amount) * o.unavailableShare(h, t, cold, warm)
			}
		}
		for _, b := range ids {
			taken[b] = max(taken[b], o.unavailableShare(h, t, o.backends[b].InitialPermille, o.backends[b].WarmUpTime))
		}
	}
	for id, b := range o.backends {
		if !scopeContains(sc, b.Region, b.Zone) {
			continue
		}
		lack := taken[id]
		if o.failed[id] {
			lack = 1
		} else if since, ok := o.warmUpStart[id]; ok {
			lack = max(lack, warmUpLoss(b.InitialPermille, b.WarmUpTime, t-since))
		}
		sum += float64(b.Size) * (1 - lack)
	}
	return sum
}

func (o *model) unavailableShare(h *activeWindow, t time.Duration, cold int64, warm time.Duration) float64 {
	switch {
	case h.returned >= 0:
		return warmUpLoss(cold, warm, t-h.returned)
	case t < h.end || o.now >= h.end:
		return 1
	}
	return warmUpLoss(cold, warm, t-h.end)
}

func modelFloorAt(steps []Step, t time.Duration) float64 {
	v := 0.0
	for pass := range 2 { // the day before, then this day
		for _, s := range steps {
			if pass == 0 || s.From <= t%(24*time.Hour) {
				v = float64(s.Capacity)
			}
		}
	}
	return v
}

const tolerance = 1e-6

// watch checks one entry and its answer, and the list after it.
func (o *model) check(e Entry, a Answer, list []Window) error {
	o.index = a.Index
	if err := o.applyEntry(e, a); err != nil {
		return err
	}
	for _, ev := range a.Events {
		switch ev.Kind {
		case EventState:
			if err := o.checkTransition(ev.Window); err != nil {
				return err
			}
		case EventStartMoved:
			p := o.accepted[ev.Window.Request.ID]
			if s := ev.Window.Start; s < min(p.announcedStart, o.now+p.request.Notice) {
				return fmt.Errorf("notice: %s moved from %v to %v at %v", p.request.ID, p.announcedStart, s, o.now)
			} else if _, isAsk := e.(Request); isAsk && p.announcedStart > o.now && p.announcedStart-o.now < p.request.Notice &&
				!o.hasUnplannedLoss() {
				return fmt.Errorf("notice: %s moved within its notice by another plan", p.request.ID)
			}
			p.announcedStart = ev.Window.Start
		case EventFloorInForce:
			o.activeFloors[ev.Scope] = o.requestedFloors[ev.Scope]
		}
	}
	return firstError(o.checkActiveFloors(), o.checkRecalls(), o.checkListed(list))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// troubled says whether something is out that is not as planned.
func (o *model) hasUnplannedLoss() bool {
	for _, h := range o.active {
		if h.returned < 0 && o.now >= h.end {
			return true
		}
	}
	return len(o.failed) > 0 || len(o.warmUpStart) > 0
}

// facts takes in what the entry says, judging by itself what it does.
func (o *model) applyEntry(e Entry, a Answer) error {
	if t, ok := e.(Tick); ok && a.Result == OK {
		o.now += t.Elapsed
	}
	if a.Now != o.now {
		return fmt.Errorf("time: %v, not %v", a.Now, o.now)
	}
	for _, h := range o.active {
		if h.returned < 0 && o.now > h.end {
			o.lastDisturbance = o.index
		}
	}
	for id, since := range o.warmUpStart {
		if o.now-since >= o.backends[id].WarmUpTime {
			delete(o.warmUpStart, id)
		}
	}
	if c, ok := confirmation(e); ok {
		return o.checkConfirmation(e, c, a)
	}
	if a.Result == Invalid {
		return nil
	}
	switch e := e.(type) {
	case PutBackends:
		o.lastDisturbance = o.index
		for _, b := range e.Put {
			if _, known := o.backends[b.ID]; !known && !b.SkipWarmUp {
				o.warmUpStart[b.ID] = o.now
			}
			o.backends[b.ID] = b
		}
	case RemoveBackends:
		o.lastDisturbance = o.index
		for _, id := range e.IDs {
			delete(o.backends, id)
			delete(o.failed, id)
			delete(o.warmUpStart, id)
		}
	case BackendsFailed:
		o.lastDisturbance = o.index
		for _, id := range e.IDs {
			o.failed[id] = true
			delete(o.warmUpStart, id)
		}
	case BackendsRecovered:
		o.lastDisturbance = o.index
		for _, id := range e.IDs {
			if o.failed[id] {
				delete(o.failed, id)
				o.warmUpStart[id] = o.now
			}
		}
	case SetServing:
		o.serving = map[string]bool{}
		for _, s := range e.Members {
			o.serving[s] = true
		}
	case SetFloor:
		o.lastDisturbance = o.index
		o.requestedFloors[e.Scope] = e.Steps
		want := modelFloorAt(e.Steps, o.now)
		if a.Result == OK && o.available(e.Scope, o.now, nil) < want-tolerance && want > modelFloorAt(o.activeFloors[e.Scope], o.now) {
			return fmt.Errorf("pending: floor %v of %v in force, and there is %v", want, e.Scope, o.available(e.Scope, o.now, nil))
		}
		if a.Result == OK {
			o.activeFloors[e.Scope] = e.Steps
		}
	case Request:
		return o.checkRequest(e, a)
	}
	return nil
}

func confirmation(e Entry) (Returned, bool) {
	switch e := e.(type) {
	case Drained:
		return Returned{e.ID, e.Fence}, true
	case Return:
		return Returned(e), true
	case Returned:
		return e, true
	}
	return Returned{}, false
}

func (o *model) checkConfirmation(e Entry, c Returned, a Answer) error {
	h := o.active[c.ID]
	if h == nil || h.fence != c.Fence {
		if a.Result == OK {
			return fmt.Errorf("stale: a confirmation of %s with fence %v was taken", c.ID, c.Fence)
		}
		return nil
	}
	switch e := e.(type) {
	case Drained:
		if o.serving[e.Member] {
			h.drained[e.Member] = true
		}
	case Returned:
		if h.returned < 0 {
			h.returned = o.now
		}
	}
	return nil
}

func (o *model) checkRequest(e Request, a Answer) error {
	p := o.accepted[e.ID]
	slices.Sort(e.Backends)
	if p != nil && (a.Result == OK || a.Result == Rejected) {
		return fmt.Errorf("id: %s was taken once and is answered %v", e.ID, a.Result)
	}
	if p != nil && fmt.Sprint(e) != fmt.Sprint(p.request) {
		return fmt.Errorf("id: %s with other content is answered %v", e.ID, a.Result)
	}
	if a.Result == OK {
		o.accepted[e.ID] = &acceptedPlan{request: e, index: o.index, requestedAt: o.now, announcedStart: a.Window.FirstStart,
			dependsOnRecovery: strings.HasPrefix(a.Window.Reason, "counts on")}
	}
	return nil
}

// follows is the table of states in doc.go.
var allowedTransitions = map[State][]State{
	Requested:    {Planned, Cancelled, Refused},
	Planned:      {Granted, Requested, Cancelled, Refused},
	Granted:      {Draining, Returning, WarmingUp, Recalled, Overdue, OutOfService},
	Draining:     {OutOfService, Returning, WarmingUp, Recalled, Overdue},
	OutOfService: {Returning, WarmingUp, Recalled, Overdue},
	Recalled:     {Returning, WarmingUp, Overdue},
	Returning:    {WarmingUp, Overdue},
	Overdue:      {WarmingUp},
	WarmingUp:    {Done},
}

// turns checks one change of a plan's state.
func (o *model) checkTransition(w Window) error {
	id := w.Request.ID
	p := o.accepted[id]
	if p == nil {
		if w.State == Refused {
			return nil // when asked
		}
		return fmt.Errorf("kept: %s is %v and was never taken", id, w.State)
	}
	if w.State == Granted {
		if err := o.checkGrant(w, p); err != nil {
			return err
		}
	}
	if !slices.Contains(allowedTransitions[p.state], w.State) {
		return fmt.Errorf("states: %s from %v to %v", id, p.state, w.State)
	}
	p.state = w.State
	h := o.active[id]
	if w.State == Done {
		defer delete(o.active, id)
	}
	switch w.State {
	case Planned:
		p.announcedStart = w.Start
	case OutOfService:
		for s := range o.serving {
			if !h.drained[s] {
				return fmt.Errorf("drained: %s is out and %s has not confirmed", id, s)
			}
		}
	case Recalled:
		h.recalled = true
	case WarmingUp, Done:
		if h != nil && h.returned < 0 {
			return fmt.Errorf("return: %s is %v and did not return", id, w.State)
		}
	case Refused:
		if o.lastDisturbance <= p.index && !p.dependsOnRecovery {
			return fmt.Errorf("kept: %s was taken and is refused, and nothing happened: %s", id, w.Reason)
		}
	}
	return nil
}

func (o *model) checkGrant(w Window, p *acceptedPlan) error {
	id := w.Request.ID
	if _, twice := o.active[id]; twice || p.state > Planned {
		return fmt.Errorf("once: %s is granted twice", id)
	}
	if w.Fence.Index() != o.index {
		return fmt.Errorf("fence: %s has %v at entry %d", id, w.Fence, o.index)
	}
	for _, b := range w.Request.Backends {
		if o.lastFence[b] >= w.Fence {
			return fmt.Errorf("fence: of backend %s is %v after %v", b, w.Fence, o.lastFence[b])
		}
		o.lastFence[b] = w.Fence
		for _, other := range slices.Sorted(maps.Keys(o.active)) {
			if h := o.active[other]; h.returned < 0 && slices.Contains(h.request.Backends, b) {
				return fmt.Errorf("once: backend %s is out by %s and %s", b, other, id)
			}
		}
	}
	if o.now < p.requestedAt+p.request.Notice || o.now < p.request.EarliestStart || o.now < p.announcedStart {
		return fmt.Errorf("notice: %s, asked at %v for %v, is granted at %v", id, p.requestedAt, p.announcedStart, o.now)
	}
	if o.now+p.request.Duration > p.request.LatestEnd {
		return fmt.Errorf("end: %s is granted too late", id)
	}
	o.active[id] = &activeWindow{request: p.request, fence: w.Fence, start: o.now, end: o.now + p.request.Duration, returned: -1,
		drained: map[string]bool{}}
	return o.checkFloorsAfterGrant(id)
}

// leaves looks over a new window, moment by moment, for what it leaves.
func (o *model) checkFloorsAfterGrant(id string) error {
	h := o.active[id]
	regions := map[Scope]bool{{}: true, {Region: h.request.Region}: true}
	last := h.end
	for _, b := range o.backends {
		if slices.Contains(h.request.Backends, b.ID) || h.request.Amount > 0 && h.request.Zone == b.Zone && h.request.Region == b.Region {
			regions[Scope{b.Region, b.Zone}] = true
			last = max(last, h.end+b.WarmUpTime)
		}
	}
	times := []time.Duration{o.now}
	for k := range time.Duration(12) {
		times = append(times, o.now+(last-o.now)/12*k)
	}
	for sc := range regions {
		o.lastGrantIndex[sc] = o.index
		for _, steps := range [][]Step{o.requestedFloors[sc], o.activeFloors[sc]} {
			for _, s := range steps {
				for d := o.now - o.now%day; d < last; d += day {
					if t := d + s.From; t > o.now && t < last {
						times = append(times, t)
					}
				}
			}
			for _, t := range times {
				if have, want := o.available(sc, t, nil), modelFloorAt(steps, t); have < want-tolerance {
					return fmt.Errorf("floor: %s granted at %v leaves %v of %v at %v, floor %v", id, o.now, have, sc, t, want)
				}
			}
		}
	}
	return nil
}

// floorsHeld: a floor in force is breached only by what came after the last grant.
func (o *model) checkActiveFloors() error {
	for sc, steps := range o.activeFloors {
		if have, want := o.available(sc, o.now, nil), modelFloorAt(steps, o.now); have < want-tolerance &&
			o.lastDisturbance < o.lastGrantIndex[sc] {
			return fmt.Errorf("floor: %v has %v at %v, floor %v, and nothing happened", sc, have, o.now, want)
		}
	}
	return nil
}

// recalls: where a floor is short, what can be called back is, as far as it takes.
func (o *model) checkRecalls() error {
	for sc, steps := range o.activeFloors {
		want := modelFloorAt(steps, o.now)
		if o.available(sc, o.now, nil) >= want-tolerance {
			continue
		}
		coming := func(h *activeWindow) bool {
			s := o.accepted[h.request.ID].state
			return h.recalled || s == Returning || s == Overdue
		}
		if o.available(sc, o.now, coming) >= want-1 { // sums are rounded in the machine
			continue
		}
		for id, h := range o.active {
			s := o.accepted[id].state
			can := s == Granted || s == Draining || s == OutOfService && h.request.Recallable
			without := func(x *activeWindow) bool { return coming(x) || x == h }
			if can && o.available(sc, o.now, without) > o.available(sc, o.now, coming)+1 {
				return fmt.Errorf("recall: %v is short of %v and %s is %v", sc, want, id, s)
			}
		}
	}
	return nil
}

// kept: what was taken is in the list, in the state that was told.
func (o *model) checkListed(list []Window) error {
	rows, ended := map[string]Window{}, 0
	for _, w := range list {
		if _, twice := rows[w.Request.ID]; twice {
			return fmt.Errorf("id: %s is two plans", w.Request.ID)
		}
		rows[w.Request.ID] = w
		if w.State.Ended() {
			ended++
		}
	}
	if ended > o.settings.History || len(list)-ended > o.settings.MaxPlans {
		return fmt.Errorf("bounds: %d open and %d ended plans", len(list)-ended, ended)
	}
	for id, p := range o.accepted {
		w, ok := rows[id]
		if !ok && p.state.Ended() {
			delete(o.accepted, id) // compacted
			continue
		}
		if !ok || w.State != p.state {
			return fmt.Errorf("kept: %s is listed as %v (%v), told %v", id, w.State, ok, p.state)
		}
		if h := o.active[id]; h != nil && h.returned < 0 && o.now > h.end && w.State != Overdue {
			return fmt.Errorf("overdue: %s is %v", id, w.State)
		}
	}
	return nil
}

// breaker is a planted violation: it meddles with entries, state or answers.
type faultInjection struct {
	beforeApply     func(m *Machine, e Entry) Entry
	afterApply      func(m *Machine, e Entry, a *Answer)
	onSecondReplica func(m *Machine) // with the second replica only, now and then
}

// run is one schedule over two replicas, the second now and then restored.
type scheduleRun struct {
	draw          func(n int) int
	fault         faultInjection
	first, second *Machine
	model         *model
	index         uint64
	requests      []Request
	log           []string
	verbose       bool
	stats         map[string]int
}

var testSettings = Settings{MaxTick: 5 * time.Minute, History: 8, MaxPlans: 12}

const minute = time.Minute

func newRun(draw func(n int) int, br faultInjection) *scheduleRun {
	r := &scheduleRun{draw: draw, fault: br, stats: map[string]int{}}
	r.first, _ = New(testSettings)
	r.second, _ = New(testSettings)
	settings := testSettings
	_ = settings.check()
	r.model = newModel(settings)
	return r
}

func (r *scheduleRun) apply(e Entry) error {
	data, err := Encode(e)
	if err != nil {
		return err
	}
	r.index += 1 + uint64(r.draw(2))
	var answers [2]string
	for i, m := range []*Machine{r.first, r.second} {
		x, d := e, data
		if r.fault.beforeApply != nil {
			if x = r.fault.beforeApply(m, e); x != nil {
				d, _ = Encode(x)
			}
		}
		ans := m.Apply(r.index, d)
		if r.fault.afterApply != nil {
			r.fault.afterApply(m, e, &ans)
		}
		if i == 1 && r.fault.onSecondReplica != nil && r.draw(10) == 0 {
			r.fault.onSecondReplica(m)
		}
		answers[i] = fmt.Sprintf("%+v", ans)
		if i == 0 {
			if r.verbose {
				r.log = append(r.log, fmt.Sprintf("%T%+v", e, e), "  "+ans.Describe())
				for _, ev := range ans.Events {
					r.log = append(r.log, "  "+ev.Describe())
				}
			}
			r.countStats(e, ans)
			if err := r.model.check(e, ans, m.List()); err != nil {
				return err
			}
		}
	}
	if answers[0] != answers[1] {
		return fmt.Errorf("same: answers differ:\n%s\n%s", answers[0], answers[1])
	}
	sa, err := r.first.Snapshot()
	if err != nil {
		return err
	}
	sb, _ := r.second.Snapshot()
	if !bytes.Equal(sa, sb) {
		return fmt.Errorf("same: states differ")
	}
	if r.draw(12) == 0 {
		if r.second, err = Restore(sb); err != nil {
			return err
		}
	}
	return nil
}

func (r *scheduleRun) countStats(e Entry, a Answer) {
	r.stats[strings.TrimPrefix(fmt.Sprintf("%T ", e), "window.")+a.Result.String()]++
	for _, ev := range a.Events {
		if ev.Kind == EventState {
			r.stats["-> "+ev.Window.State.String()]++
		}
	}
}

func (r *scheduleRun) minutes(least, most int) time.Duration {
	return time.Duration(least+r.draw(most-least+1)) * minute
}

var testScopes = []Scope{{}, {Region: "r0"}, {Region: "r1"}, {"r0", "z0"}, {"r0", "z1"}, {"r1", "z0"}, {"r1", "z1"}}

func (r *scheduleRun) steps(total int64) []Step {
	var steps []Step
	from := r.minutes(0, 100)
	for range 1 + r.draw(3) {
		steps = append(steps, Step{from, total * int64(30+r.draw(50)) / 100})
		from += r.minutes(1, 440)
	}
	return steps
}

func (r *scheduleRun) total(sc Scope) (sum int64) {
	for _, b := range r.model.backends {
		if scopeContains(sc, b.Region, b.Zone) {
			sum += b.Size
		}
	}
	return sum
}

func (r *scheduleRun) backend(i int, ready bool) Backend {
	return Backend{ID: fmt.Sprintf("b%02d", i), Region: fmt.Sprintf("r%d", i%2), Zone: fmt.Sprintf("z%d", i/2%2),
		Size: int64(5 + r.draw(16)), WarmUpTime: r.minutes(0, 20), InitialPermille: int64(r.draw(600)), SkipWarmUp: ready}
}

func (r *scheduleRun) request() Request {
	e := Request{ID: fmt.Sprintf("p%d", len(r.requests)), Region: fmt.Sprintf("r%d", r.draw(2)),
		Duration: r.minutes(3, 90), EarliestStart: r.model.now + r.minutes(0, 60), Priority: r.draw(3),
		Notice: r.minutes(0, 2) * time.Duration(r.draw(10)), Recallable: r.draw(2) == 0}
	e.LatestEnd = max(e.EarliestStart, r.model.now+e.Notice) + e.Duration + r.minutes(5, 400)
	if r.draw(4) == 0 {
		e.Zone, e.Amount = fmt.Sprintf("z%d", r.draw(2)), int64(1+r.draw(25))
		return e
	}
	for _, id := range slices.Sorted(maps.Keys(r.model.backends)) {
		if b := r.model.backends[id]; b.Region == e.Region && r.draw(4) == 0 && len(e.Backends) < 3 {
			e.Backends = append(e.Backends, b.ID)
		}
	}
	return e
}

// pick is a window that is not back: mostly one of those that have to come back.
func (r *scheduleRun) pickConfirmation() (string, Fence) {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(r.model.active)) {
		if r.model.active[id].returned < 0 || r.draw(20) == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "p0", 1024
	}
	id := ids[r.draw(len(ids))]
	f := r.model.active[id].fence
	if r.draw(8) == 0 {
		f -= Fence(1 + r.draw(2000))
	}
	return id, f
}

func (r *scheduleRun) nextEntry() Entry {
	some := func() []string { return []string{fmt.Sprintf("b%02d", r.draw(12))} }
	switch k := r.draw(100); {
	case k < 38:
		return Tick{time.Duration(1+r.draw(5)) * minute}
	case k < 40:
		return Tick{time.Duration(r.draw(int(6 * minute)))}
	case k < 56:
		e := r.request()
		r.requests = append(r.requests, e)
		return e
	case k < 60 && len(r.requests) > 0:
		e := r.requests[r.draw(len(r.requests))]
		if r.draw(2) == 0 {
			e.Duration += minute
		}
		return e
	case k < 72:
		id, f := r.pickConfirmation()
		return Drained{id, f, fmt.Sprintf("m%d", r.draw(3))}
	case k < 75:
		id, f := r.pickConfirmation()
		return Return{id, f}
	case k < 83:
		id, f := r.pickConfirmation()
		return Returned{id, f}
	case k < 86:
		return BackendsFailed{some()}
	case k < 90:
		for _, id := range slices.Sorted(maps.Keys(r.model.failed)) {
			return BackendsRecovered{[]string{id}}
		}
		return BackendsRecovered{some()}
	case k < 93:
		sc := testScopes[r.draw(len(testScopes))]
		return SetFloor{sc, r.steps(r.total(sc))}
	case k < 95:
		return Cancel{fmt.Sprintf("p%d", r.draw(len(r.requests)+1))}
	case k < 97:
		return SetServing{[]string{"m0", "m1", "m2"}[:r.draw(4)]}
	case k < 99:
		return PutBackends{[]Backend{r.backend(r.draw(13), r.draw(2) == 0)}}
	default:
		return RemoveBackends{some()}
	}
}

// schedule plays one world and returns the first violation.
func (r *scheduleRun) play(steps int) error {
	var all []Backend
	for i := range 12 {
		all = append(all, r.backend(i, true))
	}
	first := []Entry{PutBackends{all}, SetServing{[]string{"m0", "m1"}}}
	for _, e := range first {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	for _, sc := range testScopes {
		if r.draw(2) == 0 {
			if err := r.apply(SetFloor{sc, r.steps(r.total(sc))}); err != nil {
				return err
			}
		}
	}
	for range steps {
		if err := r.apply(r.nextEntry()); err != nil {
			return err
		}
	}
	return nil
}

func seededDraw(seed uint64) func(int) int {
	return rand.New(rand.NewPCG(seed, 1)).IntN
}
