// Command oxbowloft is the load balancer. "serve" runs the proxy until SIGTERM, "check" validates a
// configuration, and "version" prints the version.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowloft/proxy"
)

// version is what the version command prints.
var version = "0.1.0"

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	root := &cobra.Command{
		Use:           "oxbowloft",
		Short:         "A load balancer for services that call services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(*cobra.Command, []string) { fmt.Println("oxbowloft", version) },
	})
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "oxbowloft:", err)
		os.Exit(1)
	}
}

// serveCommand returns the command that runs the proxy. SIGTERM starts a drain, a second signal
// ends the process at once, and SIGHUP reloads the configuration.
func serveCommand() *cobra.Command {
	var grace time.Duration
	cmd := &cobra.Command{
		Use:   "serve [config.json]",
		Short: "Run the proxy until SIGTERM, with the configuration at the path or in $BALANCER_CONFIG",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			// From here on the signals don't have their default action of ending the process, however
			// early they come. That holds for SIGHUP during a drain too.
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			context.AfterFunc(ctx, stop) // a second signal ends the process
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			cfg, err := loadConfig(args)
			if err != nil {
				return err
			}
			cfg.Grace = grace
			p, err := proxy.New(cfg)
			if err != nil {
				return err
			}
			p.OnLimits = proxy.Limits.Tune
			go func() {
				for range hangups {
					reloadConfig(p, args)
				}
			}()
			return p.Run(ctx)
		},
	}
	cmd.Flags().DurationVar(&grace, "grace", proxy.DefaultGrace, "how long new connections are accepted during a drain")
	return cmd
}

// reloadConfig reads the configuration again. An invalid one is logged, and the proxy keeps the
// one it has.
func reloadConfig(p *proxy.Proxy, args []string) {
	cfg, err := loadConfig(args)
	if err == nil {
		err = p.Reload(cfg)
	}
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
	}
}

// checkCommand returns the command that validates the configuration without serving.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [config.json]",
		Short: "Validate the configuration and report what is wrong with it",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := loadConfig(args)
			if err == nil {
				fmt.Println("ok")
			}
			return err
		},
	}
}

// loadConfig reads the configuration from the path in args, or else from $BALANCER_CONFIG.
// Environment variables supply values that the configuration leaves out.
func loadConfig(args []string) (*proxy.Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if len(args) > 0 {
		path = args[0]
	}
	return proxy.Load(path, os.Getenv)
}
