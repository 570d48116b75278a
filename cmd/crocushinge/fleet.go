package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/wire"
)

func drain(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return usageError("crocushinge drain takes two arguments: a service and a target")
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var answer wire.Drain
	path := "/v1/drain/" + url.PathEscape(cmd.Args().Get(0)) + "/" + url.PathEscape(cmd.Args().Get(1))
	if err := c.ask(ctx, question{method: http.MethodPost, path: path}, &answer); err != nil {
		return err
	}
	return show(cmd, answer, func() { fmt.Fprintf(cmd.Root().Writer, "%s gets no more work\n", answer.Target) })
}

func status(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var s wire.Status
	if err := c.ask(ctx, question{method: http.MethodGet, path: "/v1/status"}, &s); err != nil {
		return err
	}
	return show(cmd, s, func() {
		out := cmd.Root().Writer
		fmt.Fprintf(out, "host %s, incarnation %d, revision %d, ready %t, %s\n", s.Host, s.Incarnation, s.Revision, s.Ready, count(s.Accounts, "account"))
		fmt.Fprintf(out, "hosts in the directory: %s\n", strings.Join(s.Hosts, ", "))
		for _, svc := range s.Services {
			state := ""
			if svc.Panic {
				state = ", panic routing"
			}
			fmt.Fprintf(out, "%s: %d of %d targets take work%s\n", svc.Service, svc.Routed, svc.Targets, state)
		}
	})
}
