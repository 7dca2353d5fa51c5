// Package runner runs an experiment: for each size it starts a fleet in this process, measures
// its steady state, injects the faults, measures how long the views take to converge after each,
// and stops the fleet.
package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"oxbowloft/internal/scale/experiment"
	"oxbowloft/internal/scale/localfleet"
	"oxbowloft/internal/scale/resources"
)

// ErrTimeLimit ends the run of a size that takes longer than the experiment allows.
var ErrTimeLimit = errors.New("time limit of a size exceeded")

// MemoryError ends the run of a size that uses more resident memory than the experiment allows.
type MemoryError struct {
	ResidentMiB int64
	LimitMiB    int
}

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("resident memory is %d MiB, memory_limit_mib is %d", e.ResidentMiB, e.LimitMiB)
}

const (
	mebibyte               = 1 << 20
	memoryCheckInterval    = 250 * time.Millisecond
	goroutineCheckInterval = 20 * time.Millisecond
	goroutineExitTimeout   = 10 * time.Second // memberlist's goroutines end within a probe interval
)

// Run runs an experiment. If ctx ends, it stops what it started and returns the cause. If a size
// fails for another reason, its result records the failure and larger sizes are skipped.
func Run(ctx context.Context, plan experiment.Experiment, environment Environment, logger *slog.Logger) (*Result, error) {
	result := &Result{Experiment: plan, Environment: environment, Relayed: plan.NeedsRelays()}
	for index, size := range plan.Sizes {
		run := sizeRun{plan: &plan, size: size, log: logger.With("members", size)}
		outcome := run.run(ctx)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		result.Sizes = append(result.Sizes, outcome)
		if outcome.Failure != "" {
			result.NotRun = plan.Sizes[index+1:]
			break
		}
	}
	result.Fits = fitAll(result.Sizes)
	return result, nil
}

// sizeRun runs the experiment for one fleet size.
type sizeRun struct {
	plan   *experiment.Experiment
	size   int
	log    *slog.Logger
	result SizeResult
}

func (r *sizeRun) run(ctx context.Context) SizeResult {
	r.result = SizeResult{Size: r.size}
	ctx, cancel := context.WithTimeoutCause(ctx, r.plan.TimeLimit.Duration, ErrTimeLimit)
	defer cancel()
	ctx, stopWatch := watchMemory(ctx, r.plan.MemoryLimitMiB)
	defer stopWatch()
	if err := r.measure(ctx); err != nil {
		r.log.Error("size failed", "error", err)
		r.result.Failure = err.Error()
	}
	return r.result
}

func (r *sizeRun) measure(ctx context.Context) error {
	resources.ReleaseMemory()
	baseline, err := resources.Read()
	if err != nil {
		return err
	}
	startedAt := time.Now()
	fleet, err := localfleet.Start(ctx, r.plan, r.size)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer func() {
		fleet.Close()
		awaitGoroutines(ctx, baseline.Goroutines)
	}()
	if err := r.awaitConvergence(ctx, fleet, startedAt); err != nil {
		return err
	}
	origin := time.Now()
	if err := localfleet.Sleep(ctx, r.plan.Settle.Duration); err != nil {
		return err
	}
	if r.result.SteadyState, err = measureSteadyState(ctx, fleet, r.plan.SteadyState.Duration, baseline); err != nil {
		return err
	}
	r.log.Info("steady state measured", "bytes_out_per_second", r.result.SteadyState.BytesOut.Mean)
	return r.runFaults(ctx, fleet, origin)
}

// awaitConvergence waits until all members of a fleet started at startedAt have the same view.
func (r *sizeRun) awaitConvergence(ctx context.Context, fleet *localfleet.Fleet, startedAt time.Time) error {
	observation := fleet.Observe(ctx, startedAt)
	if observation.Unconverged > 0 {
		return fmt.Errorf("start: %d members have an incomplete view: %w", observation.Unconverged, context.Cause(ctx))
	}
	r.result.StartSeconds = observation.AllConvergedAfter.Seconds()
	r.log.Info("all members have the same view", "seconds", r.result.StartSeconds)
	return nil
}

// runFaults injects the scheduled faults, whose times count from origin. It observes each fault
// until all views reflect it, until the next fault, or until the time limit.
func (r *sizeRun) runFaults(ctx context.Context, fleet *localfleet.Fleet, origin time.Time) error {
	actions := r.plan.Schedule(r.size)
	for index, action := range actions {
		if err := localfleet.Sleep(ctx, time.Until(origin.Add(action.At))); err != nil {
			return err
		}
		observed, cancel := ctx, func() {}
		if index+1 < len(actions) {
			observed, cancel = context.WithDeadline(ctx, origin.Add(actions[index+1].At))
		}
		err := r.runFault(observed, fleet, action)
		cancel()
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

func (r *sizeRun) runFault(ctx context.Context, fleet *localfleet.Fleet, action experiment.Action) error {
	startedAt := time.Now()
	if err := fleet.Apply(action); err != nil {
		return fmt.Errorf("%s: %w", action.Kind, err)
	}
	observation := fleet.Observe(ctx, startedAt)
	r.result.Faults = append(r.result.Faults, FaultResult{
		Kind:                action.Kind,
		At:                  action.At.Seconds(),
		Members:             action.Members,
		Zone:                action.Zone,
		ConvergenceSeconds:  distributionOf(inSeconds(observation.ConvergedAfter)),
		AllConvergedSeconds: observation.AllConvergedAfter.Seconds(),
		Unconverged:         observation.Unconverged,
	})
	r.log.Info("fault observed", "kind", action.Kind, "last_seconds", observation.AllConvergedAfter.Seconds(), "missing", observation.Unconverged)
	return nil
}

// awaitGoroutines waits, for a bounded time, until the goroutines of a closed fleet have ended, so
// that they are not counted in the measurements of the next fleet.
func awaitGoroutines(ctx context.Context, before int) {
	for end := time.Now().Add(goroutineExitTimeout); runtime.NumGoroutine() > before && time.Now().Before(end); {
		if localfleet.Sleep(ctx, goroutineCheckInterval) != nil {
			return
		}
	}
}

func inSeconds(times []time.Duration) []float64 {
	seconds := make([]float64, len(times))
	for index, length := range times {
		seconds[index] = length.Seconds()
	}
	return seconds
}

// watchMemory returns a context that ends with a MemoryError once resident memory exceeds the
// limit, and a function that stops the monitoring.
func watchMemory(ctx context.Context, limitMiB int) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for localfleet.Sleep(ctx, memoryCheckInterval) == nil {
			resident, err := resources.ResidentBytes()
			if err != nil {
				cancel(err)
			} else if resident > int64(limitMiB)*mebibyte {
				cancel(&MemoryError{resident / mebibyte, limitMiB})
			}
		}
	}()
	return ctx, func() {
		cancel(nil)
		<-stopped
	}
}
