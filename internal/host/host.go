// Package host runs many instances of the decision module in one process, each
// on its own: it turns the wire's events into the module's and the module's
// actions into the wire's. It decides nothing.
package host

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"oxbowloft/internal/settings"
	"oxbowloft/internal/wire"
	"oxbowloft/logic"
)

// Host holds the instances of one process.
type Host struct {
	instances map[int]*instance
	pools     map[int][]wire.PoolEntry
	actions   []wire.Action
}

// instance is one balancer with its Actions.
type instance struct {
	number   int
	host     *Host
	balancer *logic.Balancer
	classes  map[string]int
	lists    *listCalls // nil: lists are pushed
}

// New returns a host without instances.
func New() *Host {
	return &Host{instances: map[int]*instance{}, pools: map[int][]wire.PoolEntry{}}
}

// Run answers batches from r on w until r ends.
func Run(r io.Reader, w io.Writer) error {
	in, out, h := wire.NewReader(r), wire.NewWriter(w), New()
	for {
		batch, err := in.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		actions, err := h.HandleBatch(batch)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch.Serial, err)
		}
		if err := out.Write(batch.Serial, actions); err != nil {
			return err
		}
	}
}

// HandleBatch handles the events of b in order and returns the actions they led to,
// good until the next call.
func (h *Host) HandleBatch(b *wire.Batch) ([]wire.Action, error) {
	h.actions = h.actions[:0]
	now := settings.Duration(b.TimeMs)
	for i := range b.Events {
		if err := h.event(now, &b.Events[i]); err != nil {
			return nil, fmt.Errorf("%s: %w", b.Events[i].Type, err)
		}
	}
	return h.actions, nil
}

func (h *Host) event(now logic.Time, e *wire.Event) error {
	switch e.Type {
	case "pool":
		h.pools[*e.PoolID] = e.Entries
		return nil
	case "enlist":
		return h.enlist(now, e)
	}
	in := h.instances[*e.Instance]
	if in == nil {
		return fmt.Errorf("unknown instance %d", *e.Instance)
	}
	switch e.Type {
	case "retire":
		delete(h.instances, in.number)
	case "backends-changed":
		return in.list(now, e)
	case "job-in":
		class, ok := in.classes[*e.Kind]
		if !ok {
			return fmt.Errorf("unknown class %q", *e.Kind)
		}
		in.balancer.StartRequest(now, logic.Request{ID: *e.RequestID, Class: class, Budget: settings.Duration(*e.BudgetMs),
			ClientRetry: e.StateBits&wire.RetryBit != 0})
	case "resolved":
		return in.resolved(now, e)
	case "lapsed":
		in.balancer.ClientGone(now, *e.RequestID)
	case "elapsed":
		if *e.TimerToken >= listNonces {
			in.listDue(now, *e.TimerToken)
		} else {
			in.balancer.TimerFired(now, *e.TimerToken)
		}
	case "status-back", "neighbour-says", "first":
		// The module probes nobody, talks to no peer, and waits for an answer's
		// end whether or not it has begun.
	}
	return nil
}

func (h *Host) enlist(now logic.Time, e *wire.Event) error {
	set, err := e.Settings.LogicSettings(*e.Seed)
	if err != nil {
		return err
	}
	in := &instance{number: *e.Instance, host: h, classes: map[string]int{}}
	for i, c := range set.Classes {
		in.classes[c.Name] = i
	}
	h.instances[in.number] = in
	in.balancer = logic.New(now, set, in)
	if within, asked := e.Settings.ListsOnRequest(); asked {
		in.lists = newListCalls(within, set.Seed)
		in.callForList(in.lists.pacer.FirstWait())
	}
	return nil
}

func (in *instance) list(now logic.Time, e *wire.Event) error {
	if *e.Kind == "FAILED" {
		in.listFailed(now)
		return nil
	}
	if !slices.Contains([]string{"SAVED", "FULL", "INCREMENTAL"}, *e.Kind) {
		return fmt.Errorf("unknown kind %q", *e.Kind)
	}
	if e.PoolID == nil {
		return errors.New("no ref")
	}
	elements, ok := in.host.pools[*e.PoolID]
	if !ok {
		return fmt.Errorf("unknown pool %d", *e.PoolID)
	}
	states := map[string]logic.State{"up": logic.Up, "draining": logic.Draining, "removed": logic.Removed}
	lines := make([]logic.Backend, 0, len(elements))
	for _, l := range elements {
		state, ok := states[l.Health]
		if !ok {
			return fmt.Errorf("backend %s: unknown health %q", l.Backend, l.Health)
		}
		line := logic.Backend{ID: l.Backend, Zone: l.Zone, Cell: l.Cell, State: state, StartedAt: settings.Duration(l.ReadyAtMs)}
		if l.CapacityUnits != nil {
			line.Capacity = *l.CapacityUnits
		}
		lines = append(lines, line)
	}
	in.listTold()
	in.balancer.UpdateList(now, *e.Kind != "INCREMENTAL", lines)
	return nil
}

func (in *instance) resolved(now logic.Time, e *wire.Event) error {
	results := [...]logic.Result{1: logic.OK, 2: logic.Error, 3: logic.Rejected, 4: logic.TimedOut,
		5: logic.ConnectFailed, 6: logic.ConnectionLost, 7: logic.Cancelled, 8: logic.NotSent}
	if *e.Code < 1 || *e.Code >= len(results) {
		return fmt.Errorf("unknown code %d", *e.Code)
	}
	in.balancer.AttemptDone(now, logic.Outcome{
		Request: *e.RequestID,
		Attempt: e.Attempt,
		Result:  results[*e.Code],
		Latency: settings.Duration(e.LatencyMs),
		Final:   e.Terminal,
	})
	return nil
}

func (in *instance) act(a wire.Action) {
	a.Instance = in.number
	in.host.actions = append(in.host.actions, a)
}

// Send implements logic.Actions.
func (in *instance) Send(request, backend string, timeout time.Duration) {
	in.act(wire.Action{Type: "pass-on", RequestID: request, Backend: backend, TimeoutMs: settings.Milliseconds(timeout)})
}

// Refuse implements logic.Actions.
func (in *instance) Refuse(request string, comeBack time.Duration, _ logic.Cause) {
	in.act(wire.Action{Type: "reject", RequestID: request, RetryAfterMs: settings.Milliseconds(comeBack)})
}

// Fail implements logic.Actions.
func (in *instance) Fail(request string, _ logic.Cause) {
	in.act(wire.Action{Type: "fail", RequestID: request})
}

// Cancel implements logic.Actions.
func (in *instance) Cancel(request string, attempt int) {
	in.act(wire.Action{Type: "stop-attempt", RequestID: request, Attempt: &attempt})
}

// StartTimer implements logic.Actions.
func (in *instance) StartTimer(token uint64, after time.Duration) {
	in.act(wire.Action{Type: "schedule", TimerToken: &token, WaitMs: settings.Milliseconds(after)})
}

// CloseIdle implements logic.Actions.
func (in *instance) CloseIdle(backend string) {
	in.act(wire.Action{Type: "free-links", Backend: backend})
}
