// Command crocushinged runs one host of a fleet.
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/daemon"
	"github.com/crocushinge/crocushinge/sample"
	"github.com/crocushinge/crocushinge/storage/open"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
	exitForced   = 3
)

func main() {
	cmd := &cli.Command{
		Name:  "crocushinged",
		Usage: "run one host of the proxy fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in YAML", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "sample", Usage: "run the sample targets in this process too"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	// Before anything else: without a handler, the signal of a planned stop ends the process.
	ctx, stop := withShutdownSignals(ctx)
	defer stop()
	settings, err := daemon.ReadSettings(cmd.String("settings"))
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	platformServices, err := open.Open(settings.Platform)
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	if cmd.Bool("check") {
		fmt.Printf("%s: no findings\n", cmd.String("settings"))
		return nil
	}
	configureGC()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	// net/http logs protocol errors of targets and callers to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.Level(zerolog.WarnLevel))
	d, err := daemon.New(settings, daemon.Platform(platformServices), log)
	if err != nil {
		return err
	}
	if cmd.Bool("sample") {
		for _, address := range sample.Addresses {
			go func() {
				if err := sample.Serve(ctx, address); err != nil {
					log.Error().Err(err).Msg("sample target failed")
				}
			}()
		}
	}
	return d.Run(ctx)
}

// withShutdownSignals returns a context that the first SIGINT or SIGTERM cancels.
// The second one exits the process immediately, even during a graceful shutdown.
func withShutdownSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
		<-signals
		os.Exit(exitForced)
	}()
	return ctx, stop
}
