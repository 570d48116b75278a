// Command crocushinge-gateway runs one host of a fleet with discovered targets on
// the users' platform.
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

// memoryShare is the part of the process's memory from which the garbage collector
// works harder.
const memoryShare = 0.7

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
	path := cmd.String("settings")
	settings, err := platform.ReadSettings(path)
	if err == nil && cmd.IsSet("metrics") {
		err = settings.ServeMetrics(cmd.String("metrics"))
	}
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	if cmd.Bool("check") {
		fmt.Printf("%s: no findings\n", path)
		return nil
	}
	lines := gateway.NewLogWriter(os.Stdout)
	// A reader that does not read must not hold up the end of the process.
	defer func() { _ = lines.Close() }()
	log := zerolog.New(lines).With().Timestamp().Str("host", settings.Gateway.Host).Logger()
	// net/http reports strange bytes of targets and callers to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.Level(zerolog.WarnLevel))
	store := platform.NewStore(settings.Store, log)
	g, err := gateway.New(settings.Gateway, store, platform.Protocol{}, log)
	if err != nil {
		return err
	}
	if settings.Gateway.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Gateway.Memory)))
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go platform.WatchSettings(ctx, path, hangups, func(s platform.Settings, err error) {
		if err != nil {
			g.RefuseSettings(err)
			return
		}
		g.Reload(s.Gateway)
	})
	return g.Run(ctx)
}
