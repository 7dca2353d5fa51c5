package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/scale/experiment"
	"oxbowloft/internal/scale/fit"
)

// parsePlan returns an experiment whose members use short intervals.
func parsePlan(t *testing.T, sizes string, memoryMiB int, faults string) experiment.Experiment {
	t.Helper()
	plan, err := experiment.Parse(fmt.Appendf(nil, `{
		"name": "test", "seed": 3, "sizes": %s, "zones": 2,
		"settle": "100ms", "rest": "1s", "time_limit": "5m", "memory_limit_mib": %d,
		"member": {
			"probe_interval": "100ms", "probe_timeout": "40ms", "suspicion_mult": 3,
			"gossip_interval": "20ms", "push_pull_interval": "400ms"
		},
		"faults": %s
	}`, sizes, memoryMiB, faults))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

var quiet = slog.New(slog.DiscardHandler)

// Two small fleets are measured, and in each all views converge without the killed member.
func TestRun(t *testing.T) {
	plan := parsePlan(t, `[4, 6]`, 4096, `[{"at": "1200ms", "kind": "kill"}]`)
	result, err := Run(t.Context(), plan, Environment{}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Sizes) != 2 || len(result.NotRun) != 0 {
		t.Fatalf("sizes %+v, not run %v", result.Sizes, result.NotRun)
	}
	for _, size := range result.Sizes {
		if size.Failure != "" {
			t.Fatalf("%d members: %s", size.Size, size.Failure)
		}
		if steady := size.SteadyState; steady.BytesOut.Mean <= 0 || steady.MessagesIn.Mean <= 0 || steady.KindsOut["ping"] <= 0 || steady.ExchangeBytes <= 0 {
			t.Errorf("%d members: steady state %+v", size.Size, steady)
		}
		if len(size.Faults) != 1 || size.Faults[0].Unconverged != 0 || size.Faults[0].ConvergenceSeconds.Count != int64(size.Size-1) {
			t.Errorf("%d members: faults %+v", size.Size, size.Faults)
		}
	}
	if len(result.Fits) == 0 {
		t.Error("nothing was fitted")
	}
}

// A size that exceeds the memory limit fails, and larger sizes are skipped.
func TestMemoryLimit(t *testing.T) {
	result, err := Run(t.Context(), parsePlan(t, `[4, 5, 6]`, 1, `[]`), Environment{}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Sizes) != 1 || !strings.Contains(result.Sizes[0].Failure, "memory_limit_mib") {
		t.Errorf("sizes %+v, want one with a failure that names memory_limit_mib", result.Sizes)
	}
	if want := []int{5, 6}; !reflect.DeepEqual(result.NotRun, want) {
		t.Errorf("not run: %v, want %v", result.NotRun, want)
	}
}

// A fault that the views do not reflect by the time limit is in the result, with the number of
// unconverged views. Detecting the killed member takes longer than the limit allows.
func TestTimeLimit(t *testing.T) {
	plan := parsePlan(t, `[4, 5]`, 4096, `[{"at": "4s", "kind": "kill"}]`)
	plan.Member = experiment.Member{} // detecting a failure takes at least 4 s
	plan.TimeLimit.Duration = 6 * time.Second
	result, err := Run(t.Context(), plan, Environment{}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	first := result.Sizes[0]
	if len(result.Sizes) != 1 || !strings.Contains(first.Failure, ErrTimeLimit.Error()) {
		t.Errorf("sizes %+v, want one with a failure that names the time limit", result.Sizes)
	}
	if first.SteadyState != nil && len(first.Faults) == 1 && (first.Faults[0].Unconverged == 0 || first.Faults[0].AllConvergedSeconds != 0) {
		t.Errorf("fault %+v, want unconverged views", first.Faults[0])
	}
}

// An interrupted run stops what it started and returns no result.
func TestInterrupted(t *testing.T) {
	before := runtime.NumGoroutine()
	interrupted := errors.New("interrupted")
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(time.Second, func() { cancel(interrupted) })
	result, err := Run(ctx, parsePlan(t, `[4, 6]`, 4096, `[{"at": "1m", "kind": "kill"}]`), Environment{}, quiet)
	if !errors.Is(err, interrupted) || result != nil {
		t.Errorf("result %+v, error %v", result, err)
	}
	for end := time.Now().Add(time.Minute); runtime.NumGoroutine() > before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines remain, %d before the run", runtime.NumGoroutine(), before)
		}
	}
}

func TestDistribution(t *testing.T) {
	var values []float64
	for index := range 1000 {
		values = append(values, float64(index+1)/10)
	}
	spread := distributionOf(values)
	near := func(got, want float64) bool { return math.Abs(got-want) <= 0.002*want }
	if spread.Count != 1000 || !near(spread.Mean, 50.05) || !near(spread.Median, 50) || !near(spread.P99, 99) || !near(spread.Max, 100) {
		t.Errorf("%+v", spread)
	}
	if empty := distributionOf(nil); empty != (Distribution{}) {
		t.Errorf("distribution of no values: %+v", empty)
	}
}

// A measure is fitted over the sizes that have it. A fault after which some views did not converge
// has no time.
func TestFits(t *testing.T) {
	var sizes []SizeResult
	for _, size := range []int{100, 200, 300, 400} {
		value := float64(size)
		sizes = append(sizes, SizeResult{
			Size:         size,
			StartSeconds: 1,
			SteadyState:  &SteadyState{BytesOut: Distribution{Mean: 5 + 2*value}, BytesIn: Distribution{Mean: value * value}},
			Faults:       []FaultResult{{Kind: experiment.Kill, At: 1, AllConvergedSeconds: value / 100}},
		})
	}
	sizes[3].Faults[0].Unconverged = 2
	lines := map[string]fit.Line{}
	for _, each := range fitAll(sizes) {
		lines[each.Measure] = each.Line
	}
	if line := lines["bytes out"]; math.Abs(line.Slope-2) > 1e-6 || line.Curvature != fit.CurvatureNone {
		t.Errorf("bytes out: %+v", line)
	}
	if line := lines["bytes in"]; line.Curvature != fit.CurvatureUp {
		t.Errorf("bytes in: %+v", line)
	}
	if line := lines["kill at 1 s, last member"]; line.Points != 3 || math.Abs(line.Slope-0.01) > 1e-6 {
		t.Errorf("kill: %+v", line)
	}
}
