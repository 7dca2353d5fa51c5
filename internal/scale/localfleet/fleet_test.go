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
	// convergenceTimeout is how long a test waits for views; they take a second or two.
	convergenceTimeout = 2 * time.Minute
)

// parsePlan reads an experiment of members with short times. faults is the list of its faults.
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

// expectConvergence waits until all views are as they should be.
func expectConvergence(t *testing.T, fleet *Fleet, what string, up int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), convergenceTimeout)
	defer cancel()
	observation := fleet.Observe(ctx, time.Now())
	if observation.Unconverged > 0 {
		t.Fatalf("%s: %d views are not as they should be after %v", what, observation.Unconverged, convergenceTimeout)
	}
	if len(observation.ConvergedAfter) != up {
		t.Fatalf("%s: %d views were looked at, want %d", what, len(observation.ConvergedAfter), up)
	}
}

// A dozen members live through a kill, a restart, a cut and its heal. Only outcomes count.
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

// Without relays members reach each other, too, and what one sends another receives: the
// sums differ by what is under way and by what the dead did not take.
func TestDirectLinks(t *testing.T) {
	plan := parsePlan(t, `[]`)
	fleet := startFleet(t, plan)
	if fleet.links != nil {
		t.Error("there are relays, and nothing is cut")
	}
	expectConvergence(t, fleet, "start", fleetSize)
	fleet.Close()
	var sent, received uint64
	for _, each := range fleet.Members() {
		sent += each.Counter.Sent().Datagrams
		received += each.Counter.Received().Datagrams
	}
	if received == 0 || received > sent {
		t.Errorf("%d datagrams were received of %d sent", received, sent)
	}
}

// Views of all members are not whole for a fleet of which one zone should be cut off, and is
// not: Observe must see the difference.
func TestObserveDetectsWrongViews(t *testing.T) {
	fleet := startFleet(t, parsePlan(t, `[]`))
	expectConvergence(t, fleet, "start", fleetSize)
	fleet.partitionedZone = 1
	over, cancel := context.WithCancel(t.Context())
	cancel()
	observation := fleet.Observe(over, time.Now())
	if observation.Unconverged != fleetSize || len(observation.ConvergedAfter) != 0 || observation.AllConvergedAfter != 0 {
		t.Errorf("%+v, want all views missing", observation)
	}
}

// An interrupted start leaves nothing behind.
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

// A closed fleet leaves nothing behind.
func TestCloseStopsEverything(t *testing.T) {
	before := runtime.NumGoroutine()
	plan := parsePlan(t, `[{"at": "3s", "kind": "cut", "zone": 2}]`)
	fleet := startFleet(t, plan)
	expectConvergence(t, fleet, "start", fleetSize)
	fleet.Close()
	expectGoroutines(t, before)
}

// expectGoroutines waits until there are no more goroutines than there were before:
// memberlist's end within a probe.
func expectGoroutines(t *testing.T, before int) {
	t.Helper()
	for end := time.Now().Add(convergenceTimeout); runtime.NumGoroutine() > before; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("%d goroutines, %d before:\n%s", runtime.NumGoroutine(), before, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// No two members of the largest fleet have one address.
func TestAddresses(t *testing.T) {
	const largest = 1500
	given := newAddresses()
	seen := map[string]bool{}
	for index := range largest {
		bind := given.endpoint(index).Bind
		if seen[bind] {
			t.Fatalf("%s is given twice", bind)
		}
		seen[bind] = true
	}
}
