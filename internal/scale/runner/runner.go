// Package runner runs an experiment: for each size it starts a fleet of hollow members,
// measures it at rest, carries out the faults and measures what follows, and ends the fleet.
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

// ErrTimeLimit ends a size that takes longer than the experiment allows.
var ErrTimeLimit = errors.New("the time limit of a size has passed")

// MemoryError ends a size that needs more memory than the experiment allows.
type MemoryError struct {
	ResidentMiB int64
	LimitMiB    int
}

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("%d MiB are resident, memory_limit_mib is %d", e.ResidentMiB, e.LimitMiB)
}

const (
	mebibyte               = 1 << 20
	memoryCheckInterval    = 250 * time.Millisecond
	goroutineCheckInterval = 20 * time.Millisecond
	goroutineExitTimeout   = 10 * time.Second // memberlist's goroutines end within a probe
)

// Run runs an experiment. When ctx ends it ends what it started and returns ctx's cause. A size
// that fails for another reason says so in its result, and no larger one is run.
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

// sizeRun is the run of one size.
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
	empty, err := resources.Read()
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
		awaitGoroutines(ctx, empty.Goroutines)
	}()
	if err := r.awaitConvergence(ctx, fleet, startedAt); err != nil {
		return err
	}
	origin := time.Now()
	if err := localfleet.Sleep(ctx, r.plan.Settle.Duration); err != nil {
		return err
	}
	if r.result.SteadyState, err = measureSteadyState(ctx, fleet, r.plan.SteadyState.Duration, empty); err != nil {
		return err
	}
	r.log.Info("measured at rest", "bytes_out_per_second", r.result.SteadyState.BytesOut.Mean)
	return r.runFaults(ctx, fleet, origin)
}

// awaitConvergence waits until the fleet that was begun at a time is in one view.
func (r *sizeRun) awaitConvergence(ctx context.Context, fleet *localfleet.Fleet, startedAt time.Time) error {
	observation := fleet.Observe(ctx, startedAt)
	if observation.Unconverged > 0 {
		return fmt.Errorf("start: %d members have no whole view: %w", observation.Unconverged, context.Cause(ctx))
	}
	r.result.StartSeconds = observation.AllConvergedAfter.Seconds()
	r.log.Info("all are in one view", "seconds", r.result.StartSeconds)
	return nil
}

// faults carries out the schedule, whose times count from origin. Each fault is observed until
// all views are as it makes them, until the next fault, or until the time limit.
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
	r.log.Info("fault", "kind", action.Kind, "last_seconds", observation.AllConvergedAfter.Seconds(), "missing", observation.Unconverged)
	return nil
}

// awaitGoroutines waits, for a bounded time, until there are no more goroutines than before a
// fleet, so that the next one is not measured with the remains of this one.
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

// watchMemory returns a context that ends with a MemoryError once more is resident than the
// limit, and a function that ends the watch.
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
