// Command crocushinge-gateway runs one host of a fleet on the users' platform. Its
// targets are discovered through the platform's metadata store.
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/gateway"
	"github.com/crocushinge/crocushinge/platform"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

// softMemoryLimitShare is the share of the process's memory limit that is set as the
// runtime's soft limit. The garbage collector runs more often near it.
const softMemoryLimitShare = 0.7

func main() {
	cmd := &cli.Command{
		Name:  "crocushinge-gateway",
		Usage: "run one host of the proxy fleet with discovered targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in TOML", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.StringFlag{Name: "metrics", Usage: "serve metrics at `PORT/PATH`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	// Before anything else: without a handler, the signals of changed settings and of a planned stop end
	// the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	stopCtx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	path := cmd.String("settings")
	settings, err := platform.ReadSettings(path)
	if err == nil && cmd.IsSet("metrics") {
		err = settings.SetMetricsAddress(cmd.String("metrics"))
	}
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	if cmd.Bool("check") {
		fmt.Printf("%s: no findings\n", path)
		return nil
	}
	logWriter := gateway.NewLogWriter(os.Stdout)
	// An error of Close is ignored: the process exits even if the reader of its output
	// has stalled.
	defer func() { _ = logWriter.Close() }()
	log := zerolog.New(logWriter).With().Timestamp().Str("host", settings.Gateway.Host).Logger()
	// net/http logs protocol errors of targets and callers to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.Level(zerolog.WarnLevel))
	store := platform.NewStore(settings.Store, log)
	g, err := gateway.New(settings.Gateway, store, platform.Protocol{}, log)
	if err != nil {
		return err
	}
	if settings.Gateway.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitShare * float64(settings.Gateway.MemoryLimit)))
	}
	// Settings are watched until the end of the process: the grace period may change while it stops.
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go platform.WatchSettings(watchCtx, path, reloadSignals, func(s platform.Settings, err error) {
		if err != nil {
			g.LogRejectedSettings(err)
			return
		}
		g.Reload(s.Gateway)
	})
	return g.Run(stopCtx)
}
