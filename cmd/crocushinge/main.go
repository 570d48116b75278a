// Command crocushinge is the command-line tool for operators of a fleet.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	cmd := newCommand(out, errOut)
	err := cmd.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, err)
	}
	return exitCode(err)
}

func newCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "crocushinge",
		Usage:          "check and publish the contracts of a proxy fleet, and monitor the fleet",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Flags:          globalFlags(),
		Commands:       commands(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return usageError("there is no command " + name + "; see crocushinge --help")
			}
			return cli.ShowRootCommandHelp(cmd)
		},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return exitError{code: exitUsage, err: err}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "api", Usage: "`ADDRESS` of a host's API; the next one is used when one cannot be reached", Value: []string{"127.0.0.1:8081"}, Sources: cli.EnvVars("CROCUSHINGE_API")},
		&cli.StringFlag{Name: "ca", Usage: "`FILE` of the CAs of the hosts' API certificates, or " + systemCAs + " for those of this machine; turns on TLS", Sources: cli.EnvVars("CROCUSHINGE_CA")},
		&cli.StringFlag{Name: "token", Usage: "operator `TOKEN`; visible in the list of processes, so prefer --token-file", Sources: cli.EnvVars("CROCUSHINGE_TOKEN")},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` that holds the operator token", Sources: cli.EnvVars("CROCUSHINGE_TOKEN_FILE")},
		&cli.StringFlag{Name: "output", Usage: "`FORMAT` of the output: text or json", Value: outputText},
		&cli.DurationFlag{Name: "timeout", Usage: "`TIME` limit for each request to a host", Value: defaultTimeout},
	}
}

func commands() []*cli.Command {
	list := []*cli.Command{
		{Name: "check", Usage: "check the documents below DIR", ArgsUsage: "DIR", Action: check},
		{
			Name: "publish", Usage: "check and publish the documents below DIR", ArgsUsage: "DIR", Action: publishAll,
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: "dry-run", Usage: "show what would change and change nothing"},
				&cli.StringFlag{Name: "proposal", Usage: "`ID` of an earlier publication to repeat"},
			},
		},
		{Name: "list", Usage: "list the documents in force", Action: list},
		{Name: "get", Usage: "print the document of SUBJECT in force", ArgsUsage: "SUBJECT", Action: get, Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "revision", Usage: "print the change of `REVISION` instead"},
		}},
		{Name: "diff", Usage: "compare the documents below DIR with those in force", ArgsUsage: "DIR", Action: diff},
		{Name: "history", Usage: "list the changes of SUBJECT", ArgsUsage: "SUBJECT", Action: history},
		{Name: "remove", Usage: "remove the document of SUBJECT", ArgsUsage: "SUBJECT", Action: remove, Flags: []cli.Flag{
			&cli.StringFlag{Name: "proposal", Usage: "`ID` of an earlier removal to repeat"},
		}},
		{Name: "resolve", Usage: "settle a proposal whose result is unknown", ArgsUsage: "PROPOSAL", Action: resolve},
		{Name: "drain", Usage: "stop sending requests to a target", ArgsUsage: "SERVICE TARGET", Action: drain, Flags: []cli.Flag{
			&cli.StringFlag{Name: "reason", Usage: "`TEXT` that explains the drain to other operators"},
		}},
		{Name: "undrain", Usage: "send requests to a drained target again", ArgsUsage: "SERVICE TARGET", Action: undrain},
		{Name: "drains", Usage: "list the drained targets", Action: listDrains},
		{Name: "status", Usage: "show the status of a host", Action: status, Flags: []cli.Flag{
			&cli.BoolFlag{Name: "fleet", Usage: "show the revision in force on every host"},
		}},
		{Name: "timeline", Usage: "print the events of the whole fleet in order", Action: printTimeline, Flags: timelineFlags()},
		{Name: "where", Usage: "explain where a request would go now, from the view of a running crocushinge-gateway", Action: where, Flags: whereFlags()},
		{Name: "explain", Usage: "explain what happened to the request with ID", ArgsUsage: "ID", Action: explain, Flags: []cli.Flag{
			&cli.StringFlag{Name: "since", Usage: "look at events since `TIME`: RFC 3339, or a time ago such as 90m", Value: "24h"},
		}},
	}
	for _, cmd := range list {
		cmd.OnUsageError = onUsageError
	}
	return list
}
