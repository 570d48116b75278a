package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/wire"
)

func drain(ctx context.Context, cmd *cli.Command) error {
	response, err := requestDrain(ctx, cmd, http.MethodPost, url.Values{"reason": {cmd.String("reason")}})
	if err != nil {
		return err
	}
	if err := printOutput(cmd, response, func() { printDrain(cmd, response) }); err != nil {
		return err
	}
	return drainError(response)
}

func undrain(ctx context.Context, cmd *cli.Command) error {
	response, err := requestDrain(ctx, cmd, http.MethodDelete, nil)
	if err != nil {
		return err
	}
	if err := printOutput(cmd, response, func() { printUndrain(cmd, response) }); err != nil {
		return err
	}
	return drainError(response)
}

// requestDrain asks a host to drain a target or to undo a drain.
func requestDrain(ctx context.Context, cmd *cli.Command, method string, query url.Values) (wire.Drain, error) {
	var response wire.Drain
	if cmd.Args().Len() != 2 {
		return response, usageError("crocushinge " + cmd.Name + " takes two arguments: a service and a target")
	}
	c, err := newClient(cmd)
	if err != nil {
		return response, err
	}
	path := "/v1/drain/" + url.PathEscape(cmd.Args().Get(0)) + "/" + url.PathEscape(cmd.Args().Get(1))
	err = c.do(ctx, apiRequest{method: method, path: path, query: query}, &response)
	return response, err
}

func printDrain(cmd *cli.Command, d wire.Drain) {
	out := cmd.Root().Writer
	if d.State == wire.DrainRejected {
		fmt.Fprintf(out, "%s is not drained: %s\n", d.Target, d.Error)
		return
	}
	fmt.Fprintf(out, "%s gets no more work\n", d.Target)
	switch d.State {
	case wire.DrainNotStored:
		fmt.Fprintf(out, "not kept yet: %s\nIt holds while the host that took it runs. Repeat the command until it is kept.\n", d.Error)
	case wire.DrainUnknown:
		fmt.Fprintf(out, "perhaps not kept: %s. Decide it with:\n  crocushinge resolve %s\n", d.Error, d.Proposal)
	}
}

func printUndrain(cmd *cli.Command, d wire.Drain) {
	out := cmd.Root().Writer
	switch d.State {
	case wire.DrainStored:
		fmt.Fprintf(out, "%s gets work again\n", d.Target)
	case wire.DrainUnknown:
		fmt.Fprintf(out, "%s: unknown; it may get work again or not. Decide it with:\n  crocushinge resolve %s\n", d.Target, d.Proposal)
	default:
		fmt.Fprintf(out, "%s stays drained: %s\n", d.Target, d.Error)
	}
}

// drainError returns an error unless the change to a drain is stored in the
// table.
func drainError(d wire.Drain) error {
	switch d.State {
	case wire.DrainNotStored:
		return errors.New("the change is not kept")
	case wire.DrainRejected:
		return exitError{code: exitRejected, err: errors.New("the change was rejected")}
	case wire.DrainUnknown:
		return exitError{code: exitUnknown, err: errors.Errorf("the result of proposal %s is unknown", d.Proposal)}
	default:
		return nil
	}
}

func listDrains(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var response wire.Drains
	if err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/drains"}, &response); err != nil {
		return err
	}
	return printOutput(cmd, response, func() {
		out := cmd.Root().Writer
		for _, d := range response.Drains {
			note := ""
			if d.State == wire.DrainNotStored {
				note = " (not kept yet)"
			}
			fmt.Fprintf(out, "%s: drained by %s at %s, reason %q%s\n", d.Target, d.Operator, d.At.Format(time.RFC3339), d.Reason, note)
		}
		fmt.Fprintf(out, "%s\n", pluralize(len(response.Drains), "drain"))
	})
}
