// Command oxbowvoter runs one of the three or five voters that replicate the
// maintenance schedule of a fleet of load balancers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowloft/fleet/agree"
	"oxbowloft/fleet/schedule"
	"oxbowloft/fleet/window"
)

var version = "0.1.0"

// newMachine returns the replicated state machine and the function that makes its tick
// entries. It always uses the default settings: with others, voters would derive
// another state from the same log.
func newMachine() (agree.Machine, func(time.Duration) []byte, error) {
	m, err := schedule.New(window.Settings{})
	return m, schedule.Tick, err
}

func main() {
	root := &cobra.Command{
		Use:           "oxbowvoter",
		Short:         "Run and administer the voters of a fleet of load balancers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), addCommand(), removeCommand(), &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(*cobra.Command, []string) { fmt.Println("oxbowvoter", version) },
	})
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "oxbowvoter:", err)
		os.Exit(1)
	}
}

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve config.json",
		Short: "Run the voter until SIGTERM, then transfer leadership and stop",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := loadConfig(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			context.AfterFunc(ctx, stop) // a second signal ends the process
			return runVoter(ctx, c, newLogger())
		},
	}
}

func runVoter(ctx context.Context, c *config, log *slog.Logger) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	m, tick, err := newMachine()
	if err != nil {
		ln.Close()
		return err
	}
	cfg := c.voterConfig()
	cfg.NewTick = tick
	v, err := agree.Start(*cfg, m, log)
	if err != nil {
		ln.Close()
		return err
	}
	s := agree.Serve(ln, v, agree.ServerLimits{}, log)
	defer s.Close()
	select {
	case <-ctx.Done():
	case <-v.Done():
	}
	return v.Stop(true)
}

// newLogger returns a logger whose lines begin with the time and the event, like those of oxbowloft.
func newLogger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if len(groups) == 0 && a.Key == slog.MessageKey {
				a.Key = "event"
			}
			return a
		},
	}))
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check config.json",
		Short: "Validate a configuration file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := loadConfig(args[0])
			if err == nil {
				fmt.Println("ok")
			}
			return err
		},
	}
}

func addCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "add config.json name address",
		Short: "Add a voter that was started with \"join\"; address is the one for other voters",
		Args:  cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			return changeVoters(args[0], func(ctx context.Context, c *agree.Client) error {
				return c.AddVoter(ctx, args[1], args[2])
			})
		},
	}
}

func removeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove config.json name",
		Short: "Remove a voter; its name must not be used again",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return changeVoters(args[0], func(ctx context.Context, c *agree.Client) error {
				return c.RemoveVoter(ctx, args[1])
			})
		},
	}
}

// changeVoters calls f with a client of the voters in a configuration file.
func changeVoters(path string, f func(context.Context, *agree.Client) error) error {
	c, err := loadConfig(path)
	if err != nil {
		return err
	}
	var cfg agree.ClientConfig
	for _, p := range c.Voters {
		cfg.Voters = append(cfg.Voters, p.ClientAddress)
	}
	client, err := agree.NewClient(cfg, newLogger())
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	return f(ctx, client)
}
