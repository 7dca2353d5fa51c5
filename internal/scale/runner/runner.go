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
	"oxbowloft/internal/scale/hollow"
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
	mebibyte            = 1 << 20
	memoryCheckInterval = 250 * time.Millisecond
	endCheckInterval    = 20 * time.Millisecond
	endWait             = 10 * time.Second // memberlist's goroutines end within a probe
)

// Run runs an experiment. When ctx ends it ends what it started and returns ctx's cause. A size
// that fails for another reason says so in its result, and no larger one is run.
func Run(ctx context.Context, plan experiment.Experiment, environment Environment, logger *slog.Logger) (*Result, error) {
	result := &Result{Experiment: plan, Environment: environment, Relayed: plan.Relayed()}
	for number, size := range plan.Sizes {
		run := sizeRun{plan: &plan, size: size, log: logger.With("members", size)}
		outcome := run.run(ctx)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		result.Sizes = append(result.Sizes, outcome)
		if outcome.Failure != "" {
			result.NotRun = plan.Sizes[number+1:]
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
	resources.ReturnMemory()
	empty, err := resources.Read()
	if err != nil {
		return err
	}
	began := time.Now()
	fleet, err := hollow.Start(ctx, r.plan, r.size)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer func() {
		fleet.Close()
		awaitGoroutines(ctx, empty.Goroutines)
	}()
	if err := r.awaitOneView(ctx, fleet, began); err != nil {
		return err
	}
	origin := time.Now()
	if err := hollow.Sleep(ctx, r.plan.Settle.Duration); err != nil {
		return err
	}
	if r.result.Rest, err = measureRest(ctx, fleet, r.plan.Rest.Duration, empty); err != nil {
		return err
	}
	r.log.Info("measured at rest", "bytes_out_per_second", r.result.Rest.BytesOut.Mean)
	return r.faults(ctx, fleet, origin)
}

// awaitOneView waits until the fleet that was begun at a time is in one view.
func (r *sizeRun) awaitOneView(ctx context.Context, fleet *hollow.Fleet, began time.Time) error {
	observation := fleet.Observe(ctx, began)
	if observation.Missing > 0 {
		return fmt.Errorf("start: %d members have no whole view: %w", observation.Missing, context.Cause(ctx))
	}
	r.result.StartSeconds = observation.Last.Seconds()
	r.log.Info("all are in one view", "seconds", r.result.StartSeconds)
	return nil
}

// faults carries out the schedule, whose times count from origin. Each fault is observed until
// all views are as it makes them, until the next fault, or until the time limit.
func (r *sizeRun) faults(ctx context.Context, fleet *hollow.Fleet, origin time.Time) error {
	actions := r.plan.Schedule(r.size)
	for number, action := range actions {
		if err := hollow.Sleep(ctx, time.Until(origin.Add(action.At))); err != nil {
			return err
		}
		observed, cancel := ctx, func() {}
		if number+1 < len(actions) {
			observed, cancel = context.WithDeadline(ctx, origin.Add(actions[number+1].At))
		}
		err := r.fault(observed, fleet, action)
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

func (r *sizeRun) fault(ctx context.Context, fleet *hollow.Fleet, action experiment.Action) error {
	began := time.Now()
	if err := fleet.Apply(action); err != nil {
		return fmt.Errorf("%s: %w", action.Kind, err)
	}
	observation := fleet.Observe(ctx, began)
	r.result.Faults = append(r.result.Faults, FaultResult{
		Kind:        action.Kind,
		At:          action.At.Seconds(),
		Members:     action.Members,
		Zone:        action.Zone,
		Seconds:     spreadOf(inSeconds(observation.Seen)),
		LastSeconds: observation.Last.Seconds(),
		Missing:     observation.Missing,
	})
	r.log.Info("fault", "kind", action.Kind, "last_seconds", observation.Last.Seconds(), "missing", observation.Missing)
	return nil
}

// awaitGoroutines waits, for a bounded time, until there are no more goroutines than before a
// fleet, so that the next one is not measured with the remains of this one.
func awaitGoroutines(ctx context.Context, before int) {
	for end := time.Now().Add(endWait); runtime.NumGoroutine() > before && time.Now().Before(end); {
		if hollow.Sleep(ctx, endCheckInterval) != nil {
			return
		}
	}
}

func inSeconds(times []time.Duration) []float64 {
	seconds := make([]float64, len(times))
	for number, length := range times {
		seconds[number] = length.Seconds()
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
		for hollow.Sleep(ctx, memoryCheckInterval) == nil {
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
