// Command oxbowsoak is a tool for maintainers. It runs soak tests with real processes of a built
// proxy on loopback, one for each seed, and prints which guarantee was violated and how. See
// docs/soak.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowloft/internal/soak"
)

func main() {
	// A run that is interrupted still stops everything that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "oxbowsoak:", err)
		os.Exit(1)
	}
}

// command returns the root command.
func command() *cobra.Command {
	plan := &soak.Plan{}
	var first uint64
	var seeds, shrink int
	cmd := &cobra.Command{
		Use:           "oxbowsoak PROGRAM",
		Short:         "Run soak tests with overlapping faults against real proxies, and check them from outside",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			plan.Program = args[0]
			return runSeeds(cmd.Context(), plan, first, seeds, shrink)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&first, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, run one after another")
	flags.IntVar(&shrink, "shrink", 0, "number of runs in which to look for a shorter schedule after a violation")
	flags.IntVar(&plan.Proxies, "proxies", 24, "number of proxy processes")
	flags.IntVar(&plan.Backends, "backends", 8, "number of backends at the start")
	flags.IntVar(&plan.Clients, "clients", 2, "number of clients per proxy")
	flags.DurationVar(&plan.Length, "length", 10*time.Second, "duration of the traffic of one seed")
	flags.BoolVar(&plan.Faults, "faults", false, "make system calls fail and step clocks: PROGRAM is built with -tags faults")
	flags.BoolVar(&plan.Pushed, "pushed", false, "discovery pushes the lists")
	flags.StringVar(&plan.Dir, "dir", "", "directory for configurations and logs (default: a temporary directory)")
	return cmd
}

// runSeeds runs the seeds, prints a line for each, and returns an error if one failed.
func runSeeds(ctx context.Context, plan *soak.Plan, first uint64, seeds, shrink int) error {
	failed, void := 0, 0
	for seed := first; seed < first+uint64(seeds); seed++ {
		report, err := soak.Run(ctx, plan, seed, soak.Schedule(seed, plan))
		if err != nil {
			return err
		}
		switch {
		case report.Void != "":
			void++
			fmt.Printf("seed %d void: %s; %s\n", seed, report.Void, report.Summary)
		case report.Passed():
			fmt.Printf("seed %d passed: %s\n", seed, report.Summary)
		default:
			failed++
			fmt.Printf("seed %d FAILED: %s\n", seed, report.Summary)
			printFailure(ctx, plan, report, shrink)
		}
	}
	fmt.Printf("%d seeds: %d passed, %d failed, %d void\n", seeds, seeds-failed-void, failed, void)
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, seeds)
	}
	return nil
}

// maxShown is how many violations of each rule are printed.
const maxShown = 3

// printFailure prints the violations, the schedule, and the command that repeats the run.
func printFailure(ctx context.Context, plan *soak.Plan, report *soak.Report, shrink int) {
	shown := map[soak.Rule]int{}
	for _, v := range report.Violations {
		if shown[v.Rule]++; shown[v.Rule] > maxShown {
			continue
		}
		fmt.Printf("  %.3fs %s: %s\n", v.At.Seconds(), v.Rule, v.Detail)
		for _, line := range v.Trace {
			fmt.Println("    ", line)
		}
	}
	events := report.Events
	if shrink > 0 {
		events = soak.Shrink(ctx, plan, report.Seed, events, report.Violations[0].Rule, shrink)
	}
	fmt.Printf("  schedule (%d of %d events):\n", len(events), len(report.Events))
	for _, e := range events {
		fmt.Println("    ", e)
	}
	fmt.Printf("  again: oxbowsoak %s --seed %d --proxies %d --backends %d --clients %d --length %v --faults=%t --pushed=%t\n",
		plan.Program, report.Seed, plan.Proxies, plan.Backends, plan.Clients, plan.Length, plan.Faults, plan.Pushed)
}
