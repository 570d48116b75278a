package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/crocushinge/crocushinge/wire"
)

func status(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("fleet") {
		return fleetStatus(ctx, cmd, c)
	}
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	return show(cmd, s, func() {
		out := cmd.Root().Writer
		printHost(out, s)
		fmt.Fprintf(out, "hosts in the directory: %s\n", strings.Join(s.DirectoryHosts, ", "))
		for _, svc := range s.Services {
			printService(out, svc)
		}
	})
}

func (c *client) status(ctx context.Context) (wire.Status, error) {
	var s wire.Status
	err := c.ask(ctx, question{method: http.MethodGet, path: "/v1/status"}, &s)
	return s, err
}

func printHost(out io.Writer, s wire.Status) {
	fmt.Fprintf(out, "host %s, incarnation %d, revision %d, ready %t, %s\n", s.Host, s.Incarnation, s.Revision, s.Ready, count(s.Accounts, "account"))
}

// printService shows how a service is, and which of its targets take less than
// their full share.
func printService(out io.Writer, s wire.ServiceStatus) {
	state := ""
	if s.Panic {
		state = ", panic routing"
	}
	fmt.Fprintf(out, "%s: %d of %d targets take work%s", s.Service, s.RoutedTargets, s.Targets, state)
	if !s.IsEntryHost {
		fmt.Fprintln(out, "; not in the entry set")
		return
	}
	fmt.Fprintf(out, "; %d slots healthy, floor %d\n", s.HealthySlots, s.FloorSlots)
	for _, t := range s.Degraded {
		cut := ""
		if t.LinkCut {
			cut = ", path cut"
		}
		fmt.Fprintf(out, "  %s: %s since %s%s\n", t.Target, t.State, t.Since.Format(time.RFC3339), cut)
	}
}

// statusConcurrency is how many hosts are asked at once.
const statusConcurrency = 32

// hostState is what one host answered.
type hostState struct {
	ID     string      `json:"id"`
	Status wire.Status `json:"status"`
	Error  string      `json:"error,omitempty"`
}

// fleetState is the result of the command status with --fleet.
type fleetState struct {
	// Newest is the newest revision that a host has in force.
	Newest uint64      `json:"newest"`
	Hosts  []hostState `json:"hosts"`
	// InForce is how many hosts have the newest revision in force.
	InForce int `json:"in_force"`
}

// askFleet asks a host, and all hosts that it takes to be alive, how they are.
func (c *client) askFleet(ctx context.Context) (fleetState, error) {
	first, err := c.status(ctx)
	if err != nil {
		return fleetState{}, err
	}
	state := fleetState{Hosts: []hostState{{ID: first.Host, Status: first}}}
	for _, p := range first.Peers {
		state.Hosts = append(state.Hosts, hostState{ID: p.ID})
	}
	var group errgroup.Group
	group.SetLimit(statusConcurrency)
	for i, p := range first.Peers {
		h := &state.Hosts[i+1]
		peer := &client{addresses: []string{p.APIAddress}, scheme: c.scheme, token: c.token, http: c.http, notes: c.notes}
		group.Go(func() error {
			s, err := peer.status(ctx)
			if err != nil {
				h.Error = err.Error()
			}
			h.Status = s
			return nil
		})
	}
	_ = group.Wait()
	for _, h := range state.Hosts {
		state.Newest = max(state.Newest, h.Status.Revision)
	}
	for _, h := range state.Hosts {
		if h.Error == "" && h.Status.Revision == state.Newest {
			state.InForce++
		}
	}
	return state, nil
}

// fleetStatus shows on how many hosts the newest revision is in force.
func fleetStatus(ctx context.Context, cmd *cli.Command, c *client) error {
	state, err := c.askFleet(ctx)
	if err != nil {
		return err
	}
	err = show(cmd, state, func() {
		out := cmd.Root().Writer
		for _, h := range state.Hosts {
			if h.Error != "" {
				fmt.Fprintf(out, "host %s: %s\n", h.ID, h.Error)
				continue
			}
			printHost(out, h.Status)
		}
		fmt.Fprintf(out, "revision %d is in force on %d of %s\n", state.Newest, state.InForce, count(len(state.Hosts), "host"))
	})
	if err == nil && state.InForce < len(state.Hosts) {
		return exitError{code: exitDifferent, err: errors.New("the newest revision is not in force on every host that was asked")}
	}
	return err
}
