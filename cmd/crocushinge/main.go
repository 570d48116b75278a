// Command crocushinge is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "crocushinge",
		Usage: "check, publish and watch the contracts of a proxy fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "api", Usage: "`ADDRESS` of a host's API", Value: "127.0.0.1:8081", Sources: cli.EnvVars("CROCUSHINGE_API")},
			&cli.StringFlag{Name: "token", Usage: "operator `TOKEN`", Sources: cli.EnvVars("CROCUSHINGE_TOKEN")},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "check the contracts below DIR", ArgsUsage: "DIR", Action: check},
			{Name: "publish", Usage: "check the contracts below DIR and hand them over", ArgsUsage: "DIR", Action: publishAll},
			{Name: "timeline", Usage: "print the events of the fleet", Action: printTimeline},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
