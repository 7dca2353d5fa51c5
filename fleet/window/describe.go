package window

import (
	"fmt"
	"strings"
	"time"
)

// formatLogTime formats log time as days and time of day, with milliseconds if there are
// any.
func formatLogTime(t time.Duration) string {
	if t >= unboundedTime-maxLogTime {
		return "never"
	}
	s := fmt.Sprintf("%dd%02d:%02d:%02d",
		t/day, t%day/time.Hour, t%time.Hour/time.Minute, t%time.Minute/time.Second)
	if ms := t % time.Second / time.Millisecond; ms != 0 {
		s += fmt.Sprintf(".%03d", ms)
	}
	return s
}

// scopeName returns the name of a scope in output lines: all, region, or region/zone.
func scopeName(s Scope) string {
	switch {
	case s.Region == "":
		return "all"
	case s.Zone == "":
		return s.Region
	}
	return s.Region + "/" + s.Zone
}

// Describe formats a window as one line of the admin endpoint.
func (w Window) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "WINDOW %s state=%v region=%s", w.Request.ID, w.State, w.Request.Region)
	if w.Request.Amount > 0 {
		fmt.Fprintf(&b, " zone=%s amount=%d", w.Request.Zone, w.Request.Amount)
	} else {
		fmt.Fprintf(&b, " backends=%s", strings.Join(w.Request.Backends, ","))
	}
	fmt.Fprintf(&b, " priority=%d", w.Request.Priority)
	switch {
	case w.State == Refused && w.EarliestFeasible >= 0:
		fmt.Fprintf(&b, " earliest=%s", formatLogTime(w.EarliestFeasible))
	case w.State == Refused:
		b.WriteString(" earliest=none")
	case w.State != Requested && w.State != Cancelled:
		fmt.Fprintf(&b, " start=%s end=%s", formatLogTime(w.Start), formatLogTime(w.End))
	}
	if w.Fence != 0 {
		fmt.Fprintf(&b, " fence=%v", w.Fence)
	}
	if w.State == Granted || w.State == Draining {
		fmt.Fprintf(&b, " drained=%d/%d", w.Drained, w.Serving)
	}
	if w.Reason != "" {
		fmt.Fprintf(&b, " why=%q", w.Reason)
	}
	return b.String()
}

// Describe formats an event as one line.
func (e Event) Describe() string {
	switch e.Kind {
	case EventState:
		return e.Window.Describe()
	case EventStartMoved:
		return e.Window.Describe() + " moved=yes"
	case EventBelowFloor:
		return fmt.Sprintf("FLOOR %s state=short floor=%d have=%d", scopeName(e.Scope), e.Required,
			e.Available)
	case EventFloorRestored:
		return fmt.Sprintf("FLOOR %s state=held floor=%d have=%d", scopeName(e.Scope), e.Required,
			e.Available)
	default:
		return fmt.Sprintf("FLOOR %s state=in-force floor=%d", scopeName(e.Scope), e.Required)
	}
}

// Describe formats an answer as one line: the result, the log time, then the window or
// the reason.
func (a Answer) Describe() string {
	s := fmt.Sprintf("%s now=%s index=%d", strings.ToUpper(a.Result.String()), formatLogTime(a.Now), a.Index)
	if a.HasWindow {
		s += " " + a.Window.Describe()
	}
	if a.Err != "" {
		s += fmt.Sprintf(" reason=%q", a.Err)
	}
	return s
}

// Floor is the view of a scope's floor that operators get. Sizes are capacity units.
type Floor struct {
	Scope     Scope
	Steps     []Step // in force
	Pending   []Step // not in force yet, but already binding for grants
	Total     int64  // size of all backends of the scope
	Available int64  // part of Total that is neither failed, warming up nor in a window
	Required  int64  // capacity required by Steps now
}

// Floors returns the floors in order of scope.
func (m *Machine) Floors() []Floor {
	var floors []Floor
	fc := m.forecast(true)
	for _, f := range m.floors {
		floors = append(floors, Floor{Scope: f.Scope, Steps: append([]Step(nil), f.Steps...),
			Pending: append([]Step(nil), f.Pending...), Total: m.totalSizes[f.Scope],
			Available: fc.available(f.Scope, m.now),
			Required:  requiredAt(f.Steps, m.now)})
	}
	return floors
}

// Describe formats a floor as one line of the admin endpoint.
func (f Floor) Describe() string {
	state := "held"
	if f.Available < f.Required {
		state = "short"
	}
	s := fmt.Sprintf("FLOOR %s state=%s floor=%d have=%d total=%d steps=%s",
		scopeName(f.Scope), state, f.Required, f.Available, f.Total, formatSteps(f.Steps))
	if len(f.Pending) > 0 {
		s += " pending=" + formatSteps(f.Pending)
	}
	return s
}

func formatSteps(steps []Step) string {
	var parts []string
	for _, s := range steps {
		from := s.From
		parts = append(parts, fmt.Sprintf("%02d:%02d=%d", from/time.Hour, from%time.Hour/time.Minute,
			s.Capacity))
	}
	if parts == nil {
		return "none"
	}
	return strings.Join(parts, ",")
}

// Status formats a summary of the machine as one line of the admin endpoint.
func (m *Machine) Status() string {
	return fmt.Sprintf("STATUS now=%s index=%d backends=%d serving=%d open=%d ended=%d",
		formatLogTime(m.now), m.index, len(m.backends), len(m.servingMembers), len(m.openPlans),
		len(m.endedPlans))
}
