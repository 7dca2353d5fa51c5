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

// This file is a small independent model of capacity that checks a machine from outside,
// by its entries, its answers and, where noted, its list of windows. It keeps no
// schedule and does not know the planner.

type activeWindow struct {
	request    Request
	fence      Fence
	start, end time.Duration
	returned   time.Duration // -1: not returned yet
	recalled   bool
	drained    map[string]bool
}

type acceptedPlan struct {
	request           Request
	index             uint64 // of the entry that accepted it
	requestedAt       time.Duration
	announcedStart    time.Duration
	state             State
	dependsOnRecovery bool // the answer said that it relies on failed or overdue capacity to come back
}

type model struct {
	settings        Settings
	now             time.Duration
	index           uint64
	backends        map[string]Backend
	failed          map[string]bool
	warmUpStart     map[string]time.Duration // start of a warm-up outside windows
	requestedFloors map[Scope][]Step         // last accepted
	activeFloors    map[Scope][]Step
	serving         map[string]bool
	active          map[string]*activeWindow
	accepted        map[string]*acceptedPlan
	lastFence       map[string]Fence
	lastDisturbance uint64 // index of the last entry that may have left less capacity than was known before
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

// warmUpLoss returns the missing fraction of a backend's size when elapsed of its
// warm-up has passed.
func warmUpLoss(initialPermille int64, warmUp, elapsed time.Duration) float64 {
	if elapsed >= warmUp {
		return 0
	}
	return (1 - float64(initialPermille)/1000) * (1 - float64(elapsed)/float64(warmUp))
}

// available returns the capacity of a scope at t (now or later) as far as is known:
// windows end at their end, while overdue windows and failed backends do not come back.
// Windows for which exclude returns true are left out.
func (m *model) available(sc Scope, t time.Duration, exclude func(*activeWindow) bool) float64 {
	var sum float64
	inWindow := map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(m.active)) {
		active := m.active[id]
		if exclude != nil && exclude(active) {
			continue
		}
		ids, initialPermille, warmUp := active.request.Backends, int64(1000), time.Duration(0)
		if active.request.Amount > 0 {
			for _, b := range m.backends {
				if b.Region == active.request.Region && b.Zone == active.request.Zone {
					initialPermille, warmUp = min(initialPermille, b.InitialPermille), max(warmUp, b.WarmUpTime)
				}
			}
			if scopeContains(sc, active.request.Region, active.request.Zone) {
				sum -= float64(active.request.Amount) * m.unavailableShare(active, t, initialPermille, warmUp)
			}
		}
		for _, b := range ids {
			inWindow[b] = max(inWindow[b], m.unavailableShare(active, t, m.backends[b].InitialPermille, m.backends[b].WarmUpTime))
		}
	}
	for id, b := range m.backends {
		if !scopeContains(sc, b.Region, b.Zone) {
			continue
		}
		lost := inWindow[id]
		if m.failed[id] {
			lost = 1
		} else if since, ok := m.warmUpStart[id]; ok {
			lost = max(lost, warmUpLoss(b.InitialPermille, b.WarmUpTime, t-since))
		}
		sum += float64(b.Size) * (1 - lost)
	}
	return sum
}

func (m *model) unavailableShare(active *activeWindow, t time.Duration, initialPermille int64, warmUp time.Duration) float64 {
	switch {
	case active.returned >= 0:
		return warmUpLoss(initialPermille, warmUp, t-active.returned)
	case t < active.end || m.now >= active.end:
		return 1
	}
	return warmUpLoss(initialPermille, warmUp, t-active.end)
}

func modelFloorAt(steps []Step, t time.Duration) float64 {
	v := 0.0
	for pass := range 2 { // the previous day, then this day
		for _, s := range steps {
			if pass == 0 || s.From <= t%(24*time.Hour) {
				v = float64(s.Capacity)
			}
		}
	}
	return v
}

const tolerance = 1e-6

// check checks one entry, its answer, and the list of windows after it.
func (m *model) check(e Entry, a Answer, windows []Window) error {
	m.index = a.Index
	if err := m.applyEntry(e, a); err != nil {
		return err
	}
	for _, ev := range a.Events {
		switch ev.Kind {
		case EventState:
			if err := m.checkTransition(ev.Window); err != nil {
				return err
			}
		case EventStartMoved:
			accepted := m.accepted[ev.Window.Request.ID]
			if newStart := ev.Window.Start; newStart < min(accepted.announcedStart, m.now+accepted.request.Notice) {
				return fmt.Errorf("notice: %s moved from %v to %v at %v", accepted.request.ID, accepted.announcedStart, newStart, m.now)
			} else if _, isRequest := e.(Request); isRequest && accepted.announcedStart > m.now &&
				accepted.announcedStart-m.now < accepted.request.Notice &&
				!m.hasUnplannedLoss() {
				return fmt.Errorf("notice: another plan moved %s within its notice", accepted.request.ID)
			}
			accepted.announcedStart = ev.Window.Start
		case EventFloorInForce:
			m.activeFloors[ev.Scope] = m.requestedFloors[ev.Scope]
		}
	}
	return firstError(m.checkActiveFloors(), m.checkRecalls(), m.checkListed(windows))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// hasUnplannedLoss reports whether an overdue window, a failure or a warm-up outside
// windows reduces capacity.
func (m *model) hasUnplannedLoss() bool {
	for _, active := range m.active {
		if active.returned < 0 && m.now >= active.end {
			return true
		}
	}
	return len(m.failed) > 0 || len(m.warmUpStart) > 0
}

// applyEntry updates the model from an entry, by its own rules.
func (m *model) applyEntry(e Entry, a Answer) error {
	if t, ok := e.(Tick); ok && a.Result == OK {
		m.now += t.Elapsed
	}
	if a.Now != m.now {
		return fmt.Errorf("time: log time is %v, want %v", a.Now, m.now)
	}
	for _, active := range m.active {
		if active.returned < 0 && m.now > active.end {
			m.lastDisturbance = m.index
		}
	}
	for id, since := range m.warmUpStart {
		if m.now-since >= m.backends[id].WarmUpTime {
			delete(m.warmUpStart, id)
		}
	}
	if c, ok := confirmation(e); ok {
		return m.checkConfirmation(e, c, a)
	}
	if a.Result == Invalid {
		return nil
	}
	switch e := e.(type) {
	case PutBackends:
		m.lastDisturbance = m.index
		for _, b := range e.Put {
			if _, known := m.backends[b.ID]; !known && !b.SkipWarmUp {
				m.warmUpStart[b.ID] = m.now
			}
			m.backends[b.ID] = b
		}
	case RemoveBackends:
		m.lastDisturbance = m.index
		for _, id := range e.IDs {
			delete(m.backends, id)
			delete(m.failed, id)
			delete(m.warmUpStart, id)
		}
	case BackendsFailed:
		m.lastDisturbance = m.index
		for _, id := range e.IDs {
			m.failed[id] = true
			delete(m.warmUpStart, id)
		}
	case BackendsRecovered:
		m.lastDisturbance = m.index
		for _, id := range e.IDs {
			if m.failed[id] {
				delete(m.failed, id)
				m.warmUpStart[id] = m.now
			}
		}
	case SetServing:
		m.serving = map[string]bool{}
		for _, s := range e.Members {
			m.serving[s] = true
		}
	case SetFloor:
		m.lastDisturbance = m.index
		m.requestedFloors[e.Scope] = e.Steps
		want := modelFloorAt(e.Steps, m.now)
		if a.Result == OK && m.available(e.Scope, m.now, nil) < want-tolerance && want > modelFloorAt(m.activeFloors[e.Scope], m.now) {
			return fmt.Errorf("pending: floor %v of %v in force, but only %v is available", want, e.Scope, m.available(e.Scope, m.now, nil))
		}
		if a.Result == OK {
			m.activeFloors[e.Scope] = e.Steps
		}
	case Request:
		return m.checkRequest(e, a)
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

func (m *model) checkConfirmation(e Entry, confirmed Returned, a Answer) error {
	active := m.active[confirmed.ID]
	if active == nil || active.fence != confirmed.Fence {
		if a.Result == OK {
			return fmt.Errorf("stale: a confirmation of %s with fence %v was accepted", confirmed.ID, confirmed.Fence)
		}
		return nil
	}
	switch e := e.(type) {
	case Drained:
		if m.serving[e.Member] {
			active.drained[e.Member] = true
		}
	case Returned:
		if active.returned < 0 {
			active.returned = m.now
		}
	}
	return nil
}

func (m *model) checkRequest(e Request, a Answer) error {
	known := m.accepted[e.ID]
	slices.Sort(e.Backends)
	if known != nil && (a.Result == OK || a.Result == Rejected) {
		return fmt.Errorf("id: %s was accepted before, and the repeated request got %v", e.ID, a.Result)
	}
	if known != nil && fmt.Sprint(e) != fmt.Sprint(known.request) {
		return fmt.Errorf("id: a request that reuses %s with other content got %v", e.ID, a.Result)
	}
	if a.Result == OK {
		m.accepted[e.ID] = &acceptedPlan{request: e, index: m.index, requestedAt: m.now, announcedStart: a.Window.FirstStart,
			dependsOnRecovery: strings.HasPrefix(a.Window.Reason, "counts on")}
	}
	return nil
}

// allowedTransitions is the table of states in doc.go.
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

// checkTransition checks one state change of a plan.
func (m *model) checkTransition(w Window) error {
	id := w.Request.ID
	accepted := m.accepted[id]
	if accepted == nil {
		if w.State == Refused {
			return nil // refused when requested
		}
		return fmt.Errorf("kept: %s is %v, but was never accepted", id, w.State)
	}
	if w.State == Granted {
		if err := m.checkGrant(w, accepted); err != nil {
			return err
		}
	}
	if !slices.Contains(allowedTransitions[accepted.state], w.State) {
		return fmt.Errorf("states: %s changed from %v to %v", id, accepted.state, w.State)
	}
	accepted.state = w.State
	active := m.active[id]
	if w.State == Done {
		defer delete(m.active, id)
	}
	switch w.State {
	case Planned:
		accepted.announcedStart = w.Start
	case OutOfService:
		for s := range m.serving {
			if !active.drained[s] {
				return fmt.Errorf("drained: %s is out, but %s has not confirmed", id, s)
			}
		}
	case Recalled:
		active.recalled = true
	case WarmingUp, Done:
		if active != nil && active.returned < 0 {
			return fmt.Errorf("return: %s is %v, but its return was not confirmed", id, w.State)
		}
	case Refused:
		if m.lastDisturbance <= accepted.index && !accepted.dependsOnRecovery {
			return fmt.Errorf("kept: %s was accepted, and refused without a disturbance: %s", id, w.Reason)
		}
	}
	return nil
}

func (m *model) checkGrant(w Window, accepted *acceptedPlan) error {
	id := w.Request.ID
	if _, already := m.active[id]; already || accepted.state > Planned {
		return fmt.Errorf("once: %s is granted twice", id)
	}
	if w.Fence.Index() != m.index {
		return fmt.Errorf("fence: %s was granted with fence %v by entry %d", id, w.Fence, m.index)
	}
	for _, b := range w.Request.Backends {
		if m.lastFence[b] >= w.Fence {
			return fmt.Errorf("fence: backend %s got fence %v after %v", b, w.Fence, m.lastFence[b])
		}
		m.lastFence[b] = w.Fence
		for _, other := range slices.Sorted(maps.Keys(m.active)) {
			if h := m.active[other]; h.returned < 0 && slices.Contains(h.request.Backends, b) {
				return fmt.Errorf("once: backend %s is out for both %s and %s", b, other, id)
			}
		}
	}
	if m.now < accepted.requestedAt+accepted.request.Notice || m.now < accepted.request.EarliestStart || m.now < accepted.announcedStart {
		return fmt.Errorf("notice: %s, requested at %v and planned for %v, was granted at %v", id, accepted.requestedAt,
			accepted.announcedStart, m.now)
	}
	if m.now+accepted.request.Duration > accepted.request.LatestEnd {
		return fmt.Errorf("end: %s was granted too late to end in time", id)
	}
	m.active[id] = &activeWindow{request: accepted.request, fence: w.Fence, start: m.now, end: m.now + accepted.request.Duration,
		returned: -1,
		drained:  map[string]bool{}}
	return m.checkFloorsAfterGrant(id)
}

// checkFloorsAfterGrant checks at sampled times that a newly granted window leaves the
// floors intact.
func (m *model) checkFloorsAfterGrant(id string) error {
	granted := m.active[id]
	scopes := map[Scope]bool{{}: true, {Region: granted.request.Region}: true}
	last := granted.end
	for _, b := range m.backends {
		if slices.Contains(granted.request.Backends, b.ID) || granted.request.Amount > 0 && granted.request.Zone == b.Zone &&
			granted.request.Region == b.Region {
			scopes[Scope{b.Region, b.Zone}] = true
			last = max(last, granted.end+b.WarmUpTime)
		}
	}
	times := []time.Duration{m.now}
	for k := range time.Duration(12) {
		times = append(times, m.now+(last-m.now)/12*k)
	}
	for sc := range scopes {
		m.lastGrantIndex[sc] = m.index
		for _, steps := range [][]Step{m.requestedFloors[sc], m.activeFloors[sc]} {
			for _, s := range steps {
				for d := m.now - m.now%day; d < last; d += day {
					if t := d + s.From; t > m.now && t < last {
						times = append(times, t)
					}
				}
			}
			for _, t := range times {
				if have, want := m.available(sc, t, nil), modelFloorAt(steps, t); have < want-tolerance {
					return fmt.Errorf("floor: granting %s at %v leaves %v in %v at %v, floor %v", id, m.now, have, sc, t, want)
				}
			}
		}
	}
	return nil
}

// checkActiveFloors checks that a floor in force is only breached by what happened after
// the last grant.
func (m *model) checkActiveFloors() error {
	for sc, steps := range m.activeFloors {
		if have, want := m.available(sc, m.now, nil), modelFloorAt(steps, m.now); have < want-tolerance &&
			m.lastDisturbance < m.lastGrantIndex[sc] {
			return fmt.Errorf("floor: %v has %v at %v, floor %v, without a disturbance", sc, have, m.now, want)
		}
	}
	return nil
}

// checkRecalls checks that, while a floor is breached, every window whose recall would
// help is recalled.
func (m *model) checkRecalls() error {
	for sc, steps := range m.activeFloors {
		want := modelFloorAt(steps, m.now)
		if m.available(sc, m.now, nil) >= want-tolerance {
			continue
		}
		returning := func(active *activeWindow) bool {
			s := m.accepted[active.request.ID].state
			return active.recalled || s == Returning || s == Overdue
		}
		if m.available(sc, m.now, returning) >= want-1 { // the machine rounds sums
			continue
		}
		for id, active := range m.active {
			s := m.accepted[id].state
			recallable := s == Granted || s == Draining || s == OutOfService && active.request.Recallable
			without := func(x *activeWindow) bool { return returning(x) || x == active }
			if recallable && m.available(sc, m.now, without) > m.available(sc, m.now, returning)+1 {
				return fmt.Errorf("recall: %v is below its floor %v, and %s is still %v", sc, want, id, s)
			}
		}
	}
	return nil
}

// checkListed checks that every accepted plan is listed, in its last announced state.
func (m *model) checkListed(windows []Window) error {
	byID, ended := map[string]Window{}, 0
	for _, w := range windows {
		if _, duplicate := byID[w.Request.ID]; duplicate {
			return fmt.Errorf("id: two plans have the id %s", w.Request.ID)
		}
		byID[w.Request.ID] = w
		if w.State.Ended() {
			ended++
		}
	}
	if ended > m.settings.History || len(windows)-ended > m.settings.MaxPlans {
		return fmt.Errorf("bounds: %d open and %d ended plans", len(windows)-ended, ended)
	}
	for id, accepted := range m.accepted {
		w, ok := byID[id]
		if !ok && accepted.state.Ended() {
			delete(m.accepted, id) // dropped from the history
			continue
		}
		if !ok || w.State != accepted.state {
			return fmt.Errorf("kept: %s is listed as %v (found: %v), last announced as %v", id, w.State, ok, accepted.state)
		}
		if active := m.active[id]; active != nil && active.returned < 0 && m.now > active.end && w.State != Overdue {
			return fmt.Errorf("overdue: %s is past its end, but %v", id, w.State)
		}
	}
	return nil
}

// faultInjection makes a machine violate an invariant by changing entries, state or
// answers.
type faultInjection struct {
	beforeApply     func(m *Machine, e Entry) Entry
	afterApply      func(m *Machine, e Entry, a *Answer)
	onSecondReplica func(m *Machine) // on the second replica only, at random
}

// scheduleRun is one random schedule on two replicas; the second is sometimes restored
// from a snapshot.
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

func newRun(draw func(n int) int, fault faultInjection) *scheduleRun {
	r := &scheduleRun{draw: draw, fault: fault, stats: map[string]int{}}
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
	for i, replica := range []*Machine{r.first, r.second} {
		applied, encoded := e, data
		if r.fault.beforeApply != nil {
			if applied = r.fault.beforeApply(replica, e); applied != nil {
				encoded, _ = Encode(applied)
			}
		}
		answer := replica.Apply(r.index, encoded)
		if r.fault.afterApply != nil {
			r.fault.afterApply(replica, e, &answer)
		}
		if i == 1 && r.fault.onSecondReplica != nil && r.draw(10) == 0 {
			r.fault.onSecondReplica(replica)
		}
		answers[i] = fmt.Sprintf("%+v", answer)
		if i == 0 {
			if r.verbose {
				r.log = append(r.log, fmt.Sprintf("%T%+v", e, e), "  "+answer.Describe())
				for _, ev := range answer.Events {
					r.log = append(r.log, "  "+ev.Describe())
				}
			}
			r.countStats(e, answer)
			if err := r.model.check(e, answer, replica.List()); err != nil {
				return err
			}
		}
	}
	if answers[0] != answers[1] {
		return fmt.Errorf("same: answers differ:\n%s\n%s", answers[0], answers[1])
	}
	firstSnapshot, err := r.first.Snapshot()
	if err != nil {
		return err
	}
	secondSnapshot, _ := r.second.Snapshot()
	if !bytes.Equal(firstSnapshot, secondSnapshot) {
		return fmt.Errorf("same: snapshots differ")
	}
	if r.draw(12) == 0 {
		if r.second, err = Restore(secondSnapshot); err != nil {
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

func (r *scheduleRun) minutes(lowest, highest int) time.Duration {
	return time.Duration(lowest+r.draw(highest-lowest+1)) * minute
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

// pickConfirmation returns the id and fence of a window, mostly one that has not
// returned yet, and sometimes an outdated fence.
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
	randomBackend := func() []string { return []string{fmt.Sprintf("b%02d", r.draw(12))} }
	switch choice := r.draw(100); {
	case choice < 38:
		return Tick{time.Duration(1+r.draw(5)) * minute}
	case choice < 40:
		return Tick{time.Duration(r.draw(int(6 * minute)))}
	case choice < 56:
		e := r.request()
		r.requests = append(r.requests, e)
		return e
	case choice < 60 && len(r.requests) > 0:
		e := r.requests[r.draw(len(r.requests))]
		if r.draw(2) == 0 {
			e.Duration += minute
		}
		return e
	case choice < 72:
		id, f := r.pickConfirmation()
		return Drained{id, f, fmt.Sprintf("m%d", r.draw(3))}
	case choice < 75:
		id, f := r.pickConfirmation()
		return Return{id, f}
	case choice < 83:
		id, f := r.pickConfirmation()
		return Returned{id, f}
	case choice < 86:
		return BackendsFailed{randomBackend()}
	case choice < 90:
		for _, id := range slices.Sorted(maps.Keys(r.model.failed)) {
			return BackendsRecovered{[]string{id}}
		}
		return BackendsRecovered{randomBackend()}
	case choice < 93:
		sc := testScopes[r.draw(len(testScopes))]
		return SetFloor{sc, r.steps(r.total(sc))}
	case choice < 95:
		return Cancel{fmt.Sprintf("p%d", r.draw(len(r.requests)+1))}
	case choice < 97:
		return SetServing{[]string{"m0", "m1", "m2"}[:r.draw(4)]}
	case choice < 99:
		return PutBackends{[]Backend{r.backend(r.draw(13), r.draw(2) == 0)}}
	default:
		return RemoveBackends{randomBackend()}
	}
}

// play runs a schedule with the given number of random entries and returns the first
// violation.
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
