// Command oxbowscale measures the resource cost of fleet membership at several fleet sizes. It is a
// tool for maintainers and not part of the balancer.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowloft/internal/scale/experiment"
	"oxbowloft/internal/scale/report"
	"oxbowloft/internal/scale/runner"
)

// errIncomplete reports that the written results lack a part of the experiment.
var errIncomplete = errors.New("a fleet size failed; partial results have been written")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "oxbowscale:", err)
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "oxbowscale",
		Short:         "Measure what a fleet's membership costs at several sizes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand())
	return root
}

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "run experiment.json folder",
		Short: "Run an experiment and write its results into a folder, as JSON and Markdown",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd.Context(), args[0], args[1])
		},
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check experiment.json",
		Short: "Check an experiment and print its schedule of faults",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			printSchedule(cmd, &plan)
			return nil
		},
	}
}

func printSchedule(cmd *cobra.Command, plan *experiment.Experiment) {
	for _, size := range plan.Sizes {
		actions := plan.Schedule(size)
		if len(actions) == 0 {
			cmd.Printf("%d members: no fault\n", size)
		}
		for _, action := range actions {
			cmd.Printf("%d members, %v: %s", size, action.At, action.Kind)
			if len(action.Members) > 0 {
				cmd.Printf(" members %v", action.Members)
			}
			if action.Zone > 0 {
				cmd.Printf(" zone %d", action.Zone)
			}
			cmd.Println()
		}
	}
}

func run(ctx context.Context, file, folder string) error {
	plan, err := experiment.Load(file)
	if err != nil {
		return err
	}
	if err := report.MakeDirectory(folder); err != nil {
		return err
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	result, err := runner.Run(ctx, plan, environment(), logger)
	if err != nil {
		return err
	}
	paths, err := report.Write(folder, result)
	if err != nil {
		return err
	}
	logger.Info("results written", "json", paths.JSON, "markdown", paths.Markdown)
	if result.Sizes[len(result.Sizes)-1].Failure != "" {
		return errIncomplete
	}
	return nil
}

func environment() runner.Environment {
	return runner.Environment{
		Command:    append([]string{"oxbowscale"}, os.Args[1:]...),
		GoVersion:  runtime.Version(),
		Cores:      runtime.NumCPU(),
		GoMaxProcs: runtime.GOMAXPROCS(0),
		StartedAt:  time.Now(),
	}
}
