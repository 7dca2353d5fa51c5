package window

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the first byte of each entry and each snapshot.
const Version = 1

// Entry is a log entry: one of the types below.
type Entry interface {
	kind() byte
	// apply changes the machine. If it returns Invalid, it has changed nothing.
	apply(m *Machine) (*plan, Result, error)
}

// Tick advances log time by a duration of the leader's monotonic clock.
type Tick struct {
	Elapsed time.Duration `cbor:"1,keyasint"` // positive, at most Settings.MaxTick
}

// Backend describes a backend for scheduling.
type Backend struct {
	ID         string        `cbor:"1,keyasint"`
	Region     string        `cbor:"2,keyasint"`
	Zone       string        `cbor:"3,keyasint"`
	Size       int64         `cbor:"4,keyasint"`           // capacity, in a unit common to all backends
	WarmUpTime time.Duration `cbor:"5,keyasint,omitempty"` // duration of the slow start, at most 24 h
	// Thousandths of Size available when the warm-up starts.
	InitialPermille int64 `cbor:"6,keyasint,omitempty"`
	// A newly registered backend counts at full Size at once.
	SkipWarmUp bool `cbor:"7,keyasint,omitempty"`
}

// PutBackends registers or updates backends. The region and zone of a backend can't
// change while an open plan names it.
type PutBackends struct {
	Put []Backend `cbor:"1,keyasint"`
}

// RemoveBackends unregisters backends. It is rejected while an open plan names one of
// them; until then a backend that no longer exists is reported with BackendsFailed.
type RemoveBackends struct {
	IDs []string `cbor:"1,keyasint"`
}

// BackendsFailed reports unplanned failures of backends.
type BackendsFailed struct {
	IDs []string `cbor:"1,keyasint"`
}

// BackendsRecovered reports that failed backends serve again; their warm-up starts.
type BackendsRecovered struct {
	IDs []string `cbor:"1,keyasint"`
}

// SetServing replaces the list of members that must confirm each drain: those that send
// traffic to backends. While the list is empty no drain completes.
type SetServing struct {
	Members []string `cbor:"1,keyasint"`
}

// Step is one step of a floor: the capacity required from this time of day until the
// next step.
type Step struct {
	From     time.Duration `cbor:"1,keyasint,omitempty"` // time of day, 0 to less than 24 h
	Capacity int64         `cbor:"2,keyasint,omitempty"`
}

// SetFloor sets the floor of a scope: one step for the whole day, or several in
// ascending order; before the first step of a day the last one applies. Without steps
// the floor is removed.
type SetFloor struct {
	Scope Scope  `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
}

// Request asks for a maintenance window. Times are log time.
type Request struct {
	// Chosen by the requester; repeating it requests the same plan.
	ID       string   `cbor:"1,keyasint"`
	Region   string   `cbor:"2,keyasint"`
	Backends []string `cbor:"3,keyasint,omitempty"` // backends of the region, or instead:
	// A zone of the region, from which Amount is taken.
	Zone          string        `cbor:"4,keyasint,omitempty"`
	Amount        int64         `cbor:"5,keyasint,omitempty"`
	Duration      time.Duration `cbor:"6,keyasint"` // from the grant to the return, without the warm-up
	EarliestStart time.Duration `cbor:"7,keyasint,omitempty"`
	// The window has to end by this; its warm-up may end later.
	LatestEnd time.Duration `cbor:"8,keyasint"`
	Priority  int           `cbor:"9,keyasint,omitempty"` // 0 to MaxPriority, the highest first
	// A start is announced at least this long ahead.
	Notice time.Duration `cbor:"10,keyasint,omitempty"`
	// May be recalled even after its drain has completed.
	Recallable bool `cbor:"14,keyasint,omitempty"`
}

// Cancel ends a plan that is not granted yet, and recalls a granted one.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

// Drained is a member's confirmation that it no longer sends traffic to the backends of
// the window.
type Drained struct {
	ID     string `cbor:"1,keyasint"`
	Fence  Fence  `cbor:"2,keyasint"`
	Member string `cbor:"3,keyasint"`
}

// Return reports that the requester's work is done and that the backends are coming
// back.
type Return struct {
	ID    string `cbor:"1,keyasint"`
	Fence Fence  `cbor:"2,keyasint"`
}

// Returned confirms that the backends of the window serve again; their warm-up starts.
type Returned struct {
	ID    string `cbor:"1,keyasint"`
	Fence Fence  `cbor:"2,keyasint"`
}

func (Tick) kind() byte              { return 1 }
func (PutBackends) kind() byte       { return 2 }
func (RemoveBackends) kind() byte    { return 3 }
func (BackendsFailed) kind() byte    { return 4 }
func (BackendsRecovered) kind() byte { return 5 }
func (SetServing) kind() byte        { return 6 }
func (SetFloor) kind() byte          { return 7 }
func (Request) kind() byte           { return 8 }
func (Cancel) kind() byte            { return 9 }
func (Drained) kind() byte           { return 10 }
func (Return) kind() byte            { return 11 }
func (Returned) kind() byte          { return 12 }

// cborModes returns CBOR (RFC 8949) in its core deterministic form, with limits that
// bound the memory which the decoder takes for a malformed input.
func cborModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	dec, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8,
		MaxArrayElements: 16384, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Encode returns the encoded entry: the version, the kind, and a CBOR map.
func Encode(e Entry) ([]byte, error) {
	enc, _ := cborModes()
	body, err := enc.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("window: encode: %w", err)
	}
	if len(body)+2 > MaxEntryBytes {
		return nil, fmt.Errorf("window: encode: %d bytes are over %d", len(body)+2, MaxEntryBytes)
	}
	return append([]byte{Version, e.kind()}, body...), nil
}

// IsTick reports whether data is an encoded Tick.
func IsTick(data []byte) bool { return len(data) > 1 && data[1] == Tick{}.kind() }

// Decode decodes an entry. It does not check the entry against the state of a machine.
func Decode(data []byte) (Entry, error) {
	if len(data) < 2 || len(data) > MaxEntryBytes {
		return nil, fmt.Errorf("window: entry of %d bytes: not in 2 to %d", len(data), MaxEntryBytes)
	}
	if data[0] != Version {
		return nil, fmt.Errorf("window: entry: unknown version %d", data[0])
	}
	switch kind, body := data[1], data[2:]; kind {
	case 1:
		return decode[Tick](body)
	case 2:
		return decode[PutBackends](body)
	case 3:
		return decode[RemoveBackends](body)
	case 4:
		return decode[BackendsFailed](body)
	case 5:
		return decode[BackendsRecovered](body)
	case 6:
		return decode[SetServing](body)
	case 7:
		return decode[SetFloor](body)
	case 8:
		return decode[Request](body)
	case 9:
		return decode[Cancel](body)
	case 10:
		return decode[Drained](body)
	case 11:
		return decode[Return](body)
	case 12:
		return decode[Returned](body)
	default:
		return nil, fmt.Errorf("window: entry: unknown kind %d", kind)
	}
}

func decode[E Entry](body []byte) (Entry, error) {
	var e E
	_, dec := cborModes()
	if err := dec.Unmarshal(body, &e); err != nil {
		return nil, fmt.Errorf("window: entry of kind %d: %w", e.kind(), err)
	}
	return e, nil
}

// allowedNameBytes describes, for error messages, the bytes that checkName accepts.
const allowedNameBytes = "letters, digits and ._-/:"

// checkName checks that an id or a name can be written unquoted in a line of the admin
// endpoint.
func checkName(what, key, s string) error {
	if s == "" || len(s) > MaxIDBytes {
		return fmt.Errorf("window: %s: %s: %d bytes, not 1 to %d", what, key, len(s), MaxIDBytes)
	}
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '.' || c == '_' || c == '-' || c == '/' || c == ':') {
			return fmt.Errorf("window: %s: %s: %q has other signs than %s", what, key, s, allowedNameBytes)
		}
	}
	return nil
}

func (e Tick) apply(m *Machine) (*plan, Result, error) {
	if e.Elapsed <= 0 || e.Elapsed > m.settings.MaxTick || m.now+e.Elapsed > maxLogTime {
		return nil, Invalid, fmt.Errorf("window: tick: elapsed: %v is not over 0 and at most %v",
			e.Elapsed, m.settings.MaxTick)
	}
	m.now += e.Elapsed
	return nil, OK, nil
}

func (b *Backend) check() error {
	what := "backend " + b.ID
	return cmp.Or(
		checkName("backend", "id", b.ID),
		checkName(what, "region", b.Region),
		checkName(what, "zone", b.Zone),
		checkRange(what, "size", b.Size, 1, MaxSize),
		checkRange(what, "warm", int64(b.WarmUpTime), 0, int64(day)),
		checkRange(what, "cold", b.InitialPermille, 0, 1000))
}

func checkRange(what, key string, value, lowest, highest int64) error {
	if value < lowest || value > highest {
		return fmt.Errorf("window: %s: %s: %d is not in %d to %d", what, key, value, lowest, highest)
	}
	return nil
}

func (e PutBackends) apply(m *Machine) (*plan, Result, error) {
	added, seen := 0, map[string]bool{}
	for i := range e.Put {
		b := &e.Put[i]
		if err := b.check(); err != nil {
			return nil, Invalid, err
		}
		if seen[b.ID] {
			return nil, Invalid, fmt.Errorf("window: backend %s: id: twice in one entry", b.ID)
		}
		seen[b.ID] = true
		old := m.findBackend(b.ID)
		if old == nil {
			added++
		} else if p := m.planNaming(b.ID); p != nil && (old.Region != b.Region || old.Zone != b.Zone) {
			return nil, Invalid, fmt.Errorf("window: backend %s: zone: can't change while plan %s names it",
				b.ID, p.ID)
		}
	}
	if len(m.backends)+added > m.settings.MaxBackends {
		return nil, Invalid, fmt.Errorf("window: backends: %d more would be over %d", added,
			m.settings.MaxBackends)
	}
	for _, b := range e.Put {
		if old := m.findBackend(b.ID); old != nil {
			old.Backend = b
			continue
		}
		i, _ := slices.BinarySearchFunc(m.backends, b.ID,
			func(o *backend, id string) int { return cmp.Compare(o.ID, id) })
		m.backends = slices.Insert(m.backends, i, &backend{Backend: b, WarmingUp: !b.SkipWarmUp,
			Since: m.now})
	}
	m.recomputeTotals()
	return nil, OK, nil
}

// planNaming returns the open plan that names the backend, or nil.
func (m *Machine) planNaming(id string) *plan {
	for _, p := range m.openPlans {
		if _, ok := slices.BinarySearch(p.Backends, id); ok {
			return p
		}
	}
	return nil
}

// recomputeTotals recomputes the total size of each scope.
func (m *Machine) recomputeTotals() {
	clear(m.totalSizes)
	for _, b := range m.backends {
		for _, sc := range scopesOf(b.Region, b.Zone) {
			m.totalSizes[sc] += b.Size
		}
	}
	m.needsReplan = true
}

func scopesOf(region, zone string) [3]Scope {
	return [3]Scope{{}, {Region: region}, {Region: region, Zone: zone}}
}

func (e RemoveBackends) apply(m *Machine) (*plan, Result, error) {
	if err := m.checkBackendsKnown("remove", e.IDs); err != nil {
		return nil, Invalid, err
	}
	for _, id := range e.IDs {
		if p := m.planNaming(id); p != nil {
			return nil, Invalid, fmt.Errorf("window: remove: backend %s: plan %s names it", id, p.ID)
		}
	}
	m.backends = slices.DeleteFunc(m.backends, func(b *backend) bool { return slices.Contains(e.IDs, b.ID) })
	m.recomputeTotals()
	return nil, OK, nil
}

func (m *Machine) checkBackendsKnown(what string, ids []string) error {
	for _, id := range ids {
		if m.findBackend(id) == nil {
			return fmt.Errorf("window: %s: backend %q is not known", what, id)
		}
	}
	return nil
}

func (e BackendsFailed) apply(m *Machine) (*plan, Result, error) {
	if err := m.checkBackendsKnown("failed", e.IDs); err != nil {
		return nil, Invalid, err
	}
	result := Duplicate
	for _, id := range e.IDs {
		if b := m.findBackend(id); !b.Failed {
			b.Failed, b.WarmingUp, b.Since = true, false, m.now
			m.needsReplan, result = true, OK
		}
	}
	return nil, result, nil
}

func (e BackendsRecovered) apply(m *Machine) (*plan, Result, error) {
	if err := m.checkBackendsKnown("recovered", e.IDs); err != nil {
		return nil, Invalid, err
	}
	result := Duplicate
	for _, id := range e.IDs {
		if b := m.findBackend(id); b.Failed {
			b.Failed, b.WarmingUp, b.Since = false, true, m.now
			m.needsReplan, result = true, OK
		}
	}
	return nil, result, nil
}

func (e SetServing) apply(m *Machine) (*plan, Result, error) {
	if len(e.Members) > m.settings.MaxServing {
		return nil, Invalid, fmt.Errorf("window: serving: %d members are over %d", len(e.Members),
			m.settings.MaxServing)
	}
	for _, s := range e.Members {
		if err := checkName("serving", "member", s); err != nil {
			return nil, Invalid, err
		}
	}
	m.servingMembers = slices.Compact(slices.Sorted(slices.Values(e.Members)))
	for _, p := range m.openPlans {
		p.Drained = slices.DeleteFunc(p.Drained,
			func(s string) bool { return !slices.Contains(m.servingMembers, s) })
		m.completeDrain(p)
	}
	return nil, OK, nil
}

// completeDrain moves a plan to OutOfService once all serving members have confirmed.
func (m *Machine) completeDrain(p *plan) {
	if (p.State == Granted || p.State == Draining) && len(m.servingMembers) > 0 &&
		len(p.Drained) == len(m.servingMembers) {
		m.setState(p, OutOfService, "")
	}
}

func (s Scope) check(what string) error {
	if s.Region == "" && s.Zone != "" {
		return fmt.Errorf("window: %s: zone: %q without a region", what, s.Zone)
	}
	for _, n := range []string{s.Region, s.Zone} {
		if n != "" {
			if err := checkName(what, "scope", n); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkSteps(steps []Step) error {
	if len(steps) > MaxFloorSteps {
		return fmt.Errorf("window: floor: %d steps are over %d", len(steps), MaxFloorSteps)
	}
	for i, s := range steps {
		if err := cmp.Or(checkRange("floor", "from", int64(s.From), 0, int64(day)-1),
			checkRange("floor", "floor", s.Capacity, 0, MaxSize*8192)); err != nil {
			return err
		}
		if i > 0 && s.From <= steps[i-1].From {
			return fmt.Errorf("window: floor: from: %v is not after %v", s.From, steps[i-1].From)
		}
	}
	return nil
}

func (e SetFloor) apply(m *Machine) (*plan, Result, error) {
	if err := cmp.Or(e.Scope.check("floor"), checkSteps(e.Steps)); err != nil {
		return nil, Invalid, err
	}
	f := m.findFloor(e.Scope)
	if f == nil {
		if len(m.floors) >= MaxFloors {
			return nil, Invalid, fmt.Errorf("window: floor: %d scopes have one already", MaxFloors)
		}
		f = &floor{Scope: e.Scope}
		m.floors = append(m.floors, f)
		slices.SortFunc(m.floors, func(a, b *floor) int { return a.Scope.compare(b.Scope) })
	}
	m.needsReplan = true
	if raisesFloor(f.Steps, e.Steps) && !m.floorWouldHold(e.Scope, e.Steps) {
		f.Pending = e.Steps
		return nil, Pending, fmt.Errorf(
			"window: floor: %s: pending: what is out would breach it; grants wait for it",
			scopeName(e.Scope))
	}
	f.Steps, f.Pending = e.Steps, nil
	if len(f.Steps) == 0 {
		m.floors = slices.DeleteFunc(m.floors, func(o *floor) bool { return o == f })
	}
	return nil, OK, nil
}

// raisesFloor reports whether proposed is above current at some time of day.
func raisesFloor(current, proposed []Step) bool {
	for _, s := range slices.Concat(current, proposed) {
		if requiredAt(proposed, s.From) > requiredAt(current, s.From) {
			return true
		}
	}
	return false
}

// check validates a request on its own and sorts its backends.
func (e *Request) check(m *Machine) error {
	if err := checkName("ask", "id", e.ID); err != nil {
		return err
	}
	what := "plan " + e.ID
	if err := cmp.Or(checkName(what, "region", e.Region),
		checkRange(what, "duration", int64(e.Duration), 1, int64(day)),
		checkRange(what, "earliest", int64(e.EarliestStart), 0, int64(maxLogTime)),
		checkRange(what, "latest", int64(e.LatestEnd), 0, int64(maxLogTime)),
		checkRange(what, "priority", int64(e.Priority), 0, MaxPriority),
		checkRange(what, "notice", int64(e.Notice), 0, int64(m.settings.Horizon))); err != nil {
		return err
	}
	if e.LatestEnd < e.EarliestStart {
		return fmt.Errorf("window: %s: end before start", what)
	}
	if len(e.Backends) > MaxPlanBackends {
		return fmt.Errorf("window: %s: backends: %d are over %d", what, len(e.Backends), MaxPlanBackends)
	}
	if (len(e.Backends) == 0) == (e.Amount == 0) || (e.Zone == "") != (e.Amount == 0) {
		return fmt.Errorf("window: %s: backends: either these, or zone and amount", what)
	}
	if e.Amount != 0 {
		return cmp.Or(checkRange(what, "amount", e.Amount, 1, MaxSize), checkName(what, "zone", e.Zone))
	}
	for _, id := range e.Backends {
		if err := checkName(what, "backends", id); err != nil {
			return err
		}
	}
	slices.Sort(e.Backends)
	if len(slices.Compact(slices.Clone(e.Backends))) < len(e.Backends) {
		return fmt.Errorf("window: %s: backends: one is named twice", what)
	}
	return nil
}

// firstDifference returns the name of the first field in which two requests with the
// same id differ, or "".
func (e *Request) firstDifference(o *Request) string {
	switch {
	case e.Region != o.Region:
		return "region"
	case !slices.Equal(e.Backends, o.Backends):
		return "backends"
	case e.Zone != o.Zone:
		return "zone"
	case e.Amount != o.Amount:
		return "amount"
	case e.Duration != o.Duration:
		return "duration"
	case e.EarliestStart != o.EarliestStart:
		return "earliest"
	case e.LatestEnd != o.LatestEnd:
		return "latest"
	case e.Priority != o.Priority:
		return "priority"
	case e.Notice != o.Notice:
		return "notice"
	case e.Recallable != o.Recallable:
		return "recall"
	}
	return ""
}

// checkAgainst validates a request against the state of the machine.
func (e *Request) checkAgainst(m *Machine) error {
	what := "plan " + e.ID
	for _, id := range e.Backends {
		b := m.findBackend(id)
		if b == nil {
			return fmt.Errorf("window: %s: backends: %s is not known", what, id)
		}
		if b.Region != e.Region {
			return fmt.Errorf("window: %s: backends: %s is in region %s", what, id, b.Region)
		}
	}
	if e.Amount > 0 && m.totalSizes[Scope{e.Region, e.Zone}] == 0 {
		return fmt.Errorf("window: %s: zone: %s/%s has no backends", what, e.Region, e.Zone)
	}
	if e.LatestEnd > m.now+m.settings.Horizon {
		return fmt.Errorf("window: %s: latest: over %v ahead", what, m.settings.Horizon)
	}
	first := max(e.EarliestStart, m.now+e.Notice)
	if need := first + e.Duration + m.settings.MaxTick; need > e.LatestEnd {
		return fmt.Errorf("window: %s: latest: needs to be %s at least (start %s, duration, and %v "+
			"since a grant falls on an entry)", what, formatLogTime(need), formatLogTime(first),
			m.settings.MaxTick)
	}
	return nil
}

func (e Request) apply(m *Machine) (*plan, Result, error) {
	if err := e.check(m); err != nil {
		return nil, Invalid, err
	}
	if old := m.findPlan(e.ID); old != nil {
		if key := e.firstDifference(&old.Request); key != "" {
			return old, Invalid, fmt.Errorf("window: plan %s: %s: differs from the plan that has this id",
				e.ID, key)
		}
		if old.Seq == 0 { // refused when requested
			return old, Rejected, fmt.Errorf("window: plan %s: %s", e.ID, old.Reason)
		}
		return old, Duplicate, nil
	}
	if err := e.checkAgainst(m); err != nil {
		return nil, Invalid, err
	}
	p := &plan{Request: e}
	if len(m.openPlans) >= m.settings.MaxPlans {
		p.State, p.Reason = Refused, fmt.Sprintf("busy: %d plans are open", len(m.openPlans))
		p.EarliestFeasible, p.HasFeasible = m.earliestRelease(), true
		return p, Rejected, fmt.Errorf("window: plan %s: %s", e.ID, p.Reason)
	}
	if reason := m.admit(p); reason != "" {
		m.findEarliestFeasible(p)
		m.setState(p, Refused, reason)
		return p, Rejected, fmt.Errorf("window: plan %s: %s", e.ID, reason)
	}
	return p, OK, nil
}

func (e Cancel) apply(m *Machine) (*plan, Result, error) {
	p := m.findPlan(e.ID)
	switch {
	case p == nil:
		return nil, Invalid, fmt.Errorf("window: cancel: plan %q is not known", e.ID)
	case p.State <= Planned:
		m.setState(p, Cancelled, "cancelled by its asker")
		m.needsReplan = true
	case p.State == Granted || p.State == Draining || p.State == OutOfService:
		p.WasRecalled = true
		m.setState(p, Recalled, "recalled: cancelled by its asker")
	default:
		return p, Duplicate, nil
	}
	return p, OK, nil
}

// planWithFence returns the plan that a confirmation refers to, and checks its fencing
// token.
func (m *Machine) planWithFence(what, id string, f Fence) (*plan, Result, error) {
	p := m.findPlan(id)
	if p == nil {
		return nil, Invalid, fmt.Errorf("window: %s: plan %q is not known", what, id)
	}
	if f == 0 || p.Fence != f {
		return p, Stale, fmt.Errorf("window: %s: plan %s: fence: %v is not that of the grant", what, id, f)
	}
	return p, OK, nil
}

func (e Drained) apply(m *Machine) (*plan, Result, error) {
	p, result, err := m.planWithFence("drained", e.ID, e.Fence)
	if err != nil {
		return p, result, err
	}
	if !slices.Contains(m.servingMembers, e.Member) {
		return p, Invalid, fmt.Errorf("window: drained: plan %s: member: %q is not among those that serve",
			e.ID, e.Member)
	}
	i, was := slices.BinarySearch(p.Drained, e.Member)
	if was || !p.State.holdsCapacity() {
		return p, Duplicate, nil
	}
	p.Drained = slices.Insert(p.Drained, i, e.Member)
	if p.State == Granted {
		m.setState(p, Draining, "")
	}
	m.completeDrain(p)
	return p, OK, nil
}

func (e Return) apply(m *Machine) (*plan, Result, error) {
	p, result, err := m.planWithFence("return", e.ID, e.Fence)
	switch {
	case err != nil:
		return p, result, err
	case !p.State.holdsCapacity() || p.State == Returning || p.State == Overdue:
		return p, Duplicate, nil
	}
	m.setState(p, Returning, "")
	return p, OK, nil
}

func (e Returned) apply(m *Machine) (*plan, Result, error) {
	p, result, err := m.planWithFence("returned", e.ID, e.Fence)
	switch {
	case err != nil:
		return p, result, err
	case !p.State.holdsCapacity():
		return p, Duplicate, nil
	}
	p.Returned = m.now
	m.needsReplan = m.needsReplan || m.now != p.End // an exact return is what the plans already assume
	m.setState(p, WarmingUp, "")
	return p, OK, nil
}
