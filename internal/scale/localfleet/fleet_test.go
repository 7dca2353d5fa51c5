package localfleet

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"oxbowloft/internal/scale/experiment"
)

const (
	fleetSize = 12
	// convergenceTimeout bounds the wait for views to converge, which takes one or two seconds.
	convergenceTimeout = 2 * time.Minute
)

// parsePlan returns an experiment whose members use short intervals, with a JSON list of faults.
func parsePlan(t *testing.T, faults string) *experiment.Experiment {
	t.Helper()
	plan, err := experiment.Parse(fmt.Appendf(nil, `{
		"name": "test", "seed": 3, "sizes": [%d], "zones": 3,
		"settle": "0s", "rest": "100ms", "time_limit": "10m", "memory_limit_mib": 4096,
		"member": {
			"probe_interval": "100ms", "probe_timeout": "40ms", "suspicion_mult": 3,
			"gossip_interval": "20ms", "push_pull_interval": "400ms",
			"rejoin_min": "100ms", "rejoin_max": "400ms"
		},
		"faults": %s
	}`, fleetSize, faults))
	if err != nil {
		t.Fatal(err)
	}
	return &plan
}

func startFleet(t *testing.T, plan *experiment.Experiment) *Fleet {
	t.Helper()
	fleet, err := Start(t.Context(), plan, fleetSize)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

// expectConvergence waits until all views are correct.
func expectConvergence(t *testing.T, fleet *Fleet, what string, up int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), convergenceTimeout)
	defer cancel()
	observation := fleet.Observe(ctx, time.Now())
	if observation.Unconverged > 0 {
		t.Fatalf("%s: %d views are not correct after %v", what, observation.Unconverged, convergenceTimeout)
	}
	if len(observation.ConvergedAfter) != up {
		t.Fatalf("%s: %d views converged, want %d", what, len(observation.ConvergedAfter), up)
	}
}

// The views of a dozen members converge after a kill, a restart, a partition and its end. The test
// checks only the outcomes, not the times.
func TestViewsAfterEachFault(t *testing.T) {
	plan := parsePlan(t, `[
		{"at": "1s", "kind": "kill"}, {"at": "2s", "kind": "restart"},
		{"at": "3s", "kind": "cut", "zone": 2}, {"at": "4s", "kind": "heal"}
	]`)
	fleet := startFleet(t, plan)
	expectConvergence(t, fleet, "start", fleetSize)
	for _, action := range plan.Schedule(fleetSize) {
		if err := fleet.Apply(action); err != nil {
			t.Fatal(err)
		}
		up := fleetSize
		if action.Kind == experiment.Kill {
			up--
		}
		expectConvergence(t, fleet, string(action.Kind), up)
	}
	for _, each := range fleet.Members() {
		sent, received := each.Counter.Sent(), each.Counter.Received()
		if sent.Bytes() == 0 || sent.TotalMessages() == 0 || received.Bytes() == 0 || received.TotalMessages() == 0 {
			t.Errorf("%s: sent %+v, received %+v", each.Placement.Name, sent, received)
		}
	}
}

// Members also reach each other without relays. No more datagrams are received than sent; fewer
// may be, since some are in flight or addressed to members that have stopped.
func TestDirectLinks(t *testing.T) {
	plan := parsePlan(t, `[]`)
	fleet := startFleet(t, plan)
	if fleet.links != nil {
		t.Error("relays are used although no fault partitions the network")
	}
	expectConvergence(t, fleet, "start", fleetSize)
	fleet.Close()
	var sent, received uint64
	for _, each := range fleet.Members() {
		sent += each.Counter.Sent().Datagrams
		received += each.Counter.Received().Datagrams
	}
	if received == 0 || received > sent {
		t.Errorf("%d datagrams received, %d sent", received, sent)
	}
}

// Observe reports every view as unconverged if it expects a partition that does not exist, since
// each view then holds members that should be unreachable.
func TestObserveDetectsWrongViews(t *testing.T) {
	fleet := startFleet(t, parsePlan(t, `[]`))
	expectConvergence(t, fleet, "start", fleetSize)
	fleet.partitionedZone = 1
	over, cancel := context.WithCancel(t.Context())
	cancel()
	observation := fleet.Observe(over, time.Now())
	if observation.Unconverged != fleetSize || len(observation.ConvergedAfter) != 0 || observation.AllConvergedAfter != 0 {
		t.Errorf("%+v, want all views unconverged", observation)
	}
}

// An interrupted start leaves no goroutines running.
func TestInterruptedStart(t *testing.T) {
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancelCause(t.Context())
	interrupted := errors.New("interrupted")
	cancel(interrupted)
	if _, err := Start(ctx, parsePlan(t, `[]`), fleetSize); !errors.Is(err, interrupted) {
		t.Errorf("error %v, want %v", err, interrupted)
	}
	expectGoroutines(t, before)
}

// A closed fleet leaves no goroutines running.
func TestCloseStopsEverything(t *testing.T) {
	before := runtime.NumGoroutine()
	plan := parsePlan(t, `[{"at": "3s", "kind": "cut", "zone": 2}]`)
	fleet := startFleet(t, plan)
	expectConvergence(t, fleet, "start", fleetSize)
	fleet.Close()
	expectGoroutines(t, before)
}

// expectGoroutines waits until there are no more goroutines than before. Those of memberlist end
// within a probe interval.
func expectGoroutines(t *testing.T, before int) {
	t.Helper()
	for end := time.Now().Add(convergenceTimeout); runtime.NumGoroutine() > before; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("%d goroutines remain, %d before:\n%s", runtime.NumGoroutine(), before, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// All members of the largest fleet have distinct addresses.
func TestAddresses(t *testing.T) {
	const largest = 1500
	addresses := newAddresses()
	seen := map[string]bool{}
	for index := range largest {
		bind := addresses.endpoint(index).Bind
		if seen[bind] {
			t.Fatalf("address %s is assigned twice", bind)
		}
		seen[bind] = true
	}
}
