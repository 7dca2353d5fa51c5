// Package host runs many independent instances of the decision module in one process for
// the simulator. It converts the events of the wire protocol into calls of the module, and
// the module's actions into actions of the protocol. It takes no decisions of its own.
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

// Host holds the instances of a process.
type Host struct {
	instances map[int]*instance
	pools     map[int][]wire.PoolEntry
	actions   []wire.Action
}

// instance is a balancer and the implementation of its logic.Actions.
type instance struct {
	id           int
	host         *Host
	balancer     *logic.Balancer
	classes      map[string]int
	listRequests *listRequests // nil if lists are pushed
}

// New returns a Host without instances.
func New() *Host {
	return &Host{instances: map[int]*instance{}, pools: map[int][]wire.PoolEntry{}}
}

// Run reads batches from r and writes the replies to w until r ends.
func Run(r io.Reader, w io.Writer) error {
	reader, writer, h := wire.NewReader(r), wire.NewWriter(w), New()
	for {
		batch, err := reader.Read()
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
		if err := writer.Write(batch.Serial, actions); err != nil {
			return err
		}
	}
}

// HandleBatch handles the events of b in order and returns the resulting actions, which are
// valid until the next call.
func (h *Host) HandleBatch(b *wire.Batch) ([]wire.Action, error) {
	h.actions = h.actions[:0]
	now := settings.Duration(b.TimeMs)
	for i := range b.Events {
		if err := h.handleEvent(now, &b.Events[i]); err != nil {
			return nil, fmt.Errorf("%s: %w", b.Events[i].Type, err)
		}
	}
	return h.actions, nil
}

// handleEvent passes an event to the instance that it belongs to.
func (h *Host) handleEvent(now logic.Time, e *wire.Event) error {
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
		delete(h.instances, in.id)
	case "backends-changed":
		return in.backendsChanged(now, e)
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
		if *e.TimerToken >= firstListToken {
			in.listTimerFired(now, *e.TimerToken)
		} else {
			in.balancer.TimerFired(now, *e.TimerToken)
		}
	case "status-back", "neighbour-says", "first":
		// Ignored: the module sends no probes, does not communicate with peers and does not
		// use the start of a response.
	}
	return nil
}

// enlist starts an instance. It replaces one of the same number.
func (h *Host) enlist(now logic.Time, e *wire.Event) error {
	set, err := e.Settings.LogicSettings(*e.Seed)
	if err != nil {
		return err
	}
	in := &instance{id: *e.Instance, host: h, classes: map[string]int{}}
	for i, c := range set.Classes {
		in.classes[c.Name] = i
	}
	h.instances[in.id] = in
	in.balancer = logic.New(now, set, in)
	if within, onRequest := e.Settings.ListsOnRequest(); onRequest {
		in.listRequests = newListRequests(within, set.Seed)
		in.scheduleListRequest(in.listRequests.pacer.FirstWait())
	}
	return nil
}

// backendsChanged passes a new list of backends to the module, or handles the failure of a
// list request.
func (in *instance) backendsChanged(now logic.Time, e *wire.Event) error {
	if *e.Kind == "FAILED" {
		in.listRequestFailed(now)
		return nil
	}
	if !slices.Contains([]string{"SAVED", "FULL", "INCREMENTAL"}, *e.Kind) {
		return fmt.Errorf("unknown kind %q", *e.Kind)
	}
	if e.PoolID == nil {
		return errors.New("no ref")
	}
	entries, ok := in.host.pools[*e.PoolID]
	if !ok {
		return fmt.Errorf("unknown pool %d", *e.PoolID)
	}
	states := map[string]logic.State{"up": logic.Up, "draining": logic.Draining, "removed": logic.Removed}
	backends := make([]logic.Backend, 0, len(entries))
	for _, entry := range entries {
		state, ok := states[entry.Health]
		if !ok {
			return fmt.Errorf("backend %s: unknown health %q", entry.Backend, entry.Health)
		}
		backend := logic.Backend{ID: entry.Backend, Zone: entry.Zone, Cell: entry.Cell, State: state,
			StartedAt: settings.Duration(entry.ReadyAtMs)}
		if entry.CapacityUnits != nil {
			backend.Capacity = *entry.CapacityUnits
		}
		backends = append(backends, backend)
	}
	in.listReceived()
	in.balancer.UpdateList(now, *e.Kind != "INCREMENTAL", backends)
	return nil
}

// resolved reports the outcome of an attempt to the module.
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

// emit adds an action of the instance to the reply.
func (in *instance) emit(action wire.Action) {
	action.Instance = in.id
	in.host.actions = append(in.host.actions, action)
}

// Send implements logic.Actions.
func (in *instance) Send(request, backend string, timeout time.Duration) {
	in.emit(wire.Action{Type: "pass-on", RequestID: request, Backend: backend, TimeoutMs: settings.Milliseconds(timeout)})
}

// Refuse implements logic.Actions.
func (in *instance) Refuse(request string, retryAfter time.Duration, _ logic.Cause) {
	in.emit(wire.Action{Type: "reject", RequestID: request, RetryAfterMs: settings.Milliseconds(retryAfter)})
}

// Fail implements logic.Actions.
func (in *instance) Fail(request string, _ logic.Cause) {
	in.emit(wire.Action{Type: "fail", RequestID: request})
}

// Cancel implements logic.Actions.
func (in *instance) Cancel(request string, attempt int) {
	in.emit(wire.Action{Type: "stop-attempt", RequestID: request, Attempt: &attempt})
}

// StartTimer implements logic.Actions.
func (in *instance) StartTimer(token uint64, after time.Duration) {
	in.emit(wire.Action{Type: "schedule", TimerToken: &token, WaitMs: settings.Milliseconds(after)})
}

// CloseIdle implements logic.Actions.
func (in *instance) CloseIdle(backend string) {
	in.emit(wire.Action{Type: "free-links", Backend: backend})
}
