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
		return showFleetStatus(ctx, cmd, c)
	}
	host, err := c.status(ctx)
	if err != nil {
		return err
	}
	return printOutput(cmd, host, func() {
		out := cmd.Root().Writer
		printHost(out, host)
		fmt.Fprintf(out, "hosts in the directory: %s\n", strings.Join(host.DirectoryHosts, ", "))
		for _, svc := range host.Services {
			printService(out, svc)
		}
	})
}

func (c *client) status(ctx context.Context) (wire.Status, error) {
	var s wire.Status
	err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/status"}, &s)
	return s, err
}

func printHost(out io.Writer, host wire.Status) {
	fmt.Fprintf(out, "host %s, incarnation %d, revision %d, ready %t, %s\n", host.Host, host.Incarnation, host.Revision, host.Ready, pluralize(host.Accounts, "account"))
}

// printService prints the state of a service and of its degraded targets, which
// get less than their full share of its requests.
func printService(out io.Writer, service wire.ServiceStatus) {
	panicNote := ""
	if service.Panic {
		panicNote = ", panic routing"
	}
	fmt.Fprintf(out, "%s: %d of %d targets take work%s", service.Service, service.RoutedTargets, service.Targets, panicNote)
	if !service.IsEntryHost {
		fmt.Fprintln(out, "; not in the entry set")
		return
	}
	fmt.Fprintf(out, "; %d slots healthy, floor %d\n", service.HealthySlots, service.FloorSlots)
	for _, target := range service.Degraded {
		pathCut := ""
		if target.LinkCut {
			pathCut = ", path cut"
		}
		fmt.Fprintf(out, "  %s: %s since %s%s\n", target.Target, target.State, target.Since.Format(time.RFC3339), pathCut)
	}
}

// statusConcurrency is the maximum number of concurrent status requests.
const statusConcurrency = 32

// hostStatus is the status of one host, or the error of the request for it.
type hostStatus struct {
	ID     string      `json:"id"`
	Status wire.Status `json:"status"`
	Error  string      `json:"error,omitempty"`
}

// fleetStatus is the output of the command status with --fleet.
type fleetStatus struct {
	// NewestRevision is the newest revision in force on any host.
	NewestRevision uint64       `json:"newest"`
	Hosts          []hostStatus `json:"hosts"`
	// HostsInForce is the number of hosts that have the newest revision in force.
	HostsInForce int `json:"in_force"`
}

// fleetStatus requests the status of one host, and of all hosts that this host
// considers alive.
func (c *client) fleetStatus(ctx context.Context) (fleetStatus, error) {
	first, err := c.status(ctx)
	if err != nil {
		return fleetStatus{}, err
	}
	fleet := fleetStatus{Hosts: []hostStatus{{ID: first.Host, Status: first}}}
	for _, peer := range first.Peers {
		fleet.Hosts = append(fleet.Hosts, hostStatus{ID: peer.ID})
	}
	var group errgroup.Group
	group.SetLimit(statusConcurrency)
	for i, peer := range first.Peers {
		host := &fleet.Hosts[i+1]
		peerClient := &client{addresses: []string{peer.APIAddress}, scheme: c.scheme, token: c.token, http: c.http, errOut: c.errOut}
		group.Go(func() error {
			s, err := peerClient.status(ctx)
			if err != nil {
				host.Error = err.Error()
			}
			host.Status = s
			return nil
		})
	}
	_ = group.Wait()
	for _, host := range fleet.Hosts {
		fleet.NewestRevision = max(fleet.NewestRevision, host.Status.Revision)
	}
	for _, host := range fleet.Hosts {
		if host.Error == "" && host.Status.Revision == fleet.NewestRevision {
			fleet.HostsInForce++
		}
	}
	return fleet, nil
}

// showFleetStatus prints on how many hosts the newest revision is in force.
func showFleetStatus(ctx context.Context, cmd *cli.Command, c *client) error {
	fleet, err := c.fleetStatus(ctx)
	if err != nil {
		return err
	}
	err = printOutput(cmd, fleet, func() {
		out := cmd.Root().Writer
		for _, host := range fleet.Hosts {
			if host.Error != "" {
				fmt.Fprintf(out, "host %s: %s\n", host.ID, host.Error)
				continue
			}
			printHost(out, host.Status)
		}
		fmt.Fprintf(out, "revision %d is in force on %d of %s\n", fleet.NewestRevision, fleet.HostsInForce, pluralize(len(fleet.Hosts), "host"))
	})
	if err == nil && fleet.HostsInForce < len(fleet.Hosts) {
		return exitError{code: exitDifferent, err: errors.New("the newest revision is not in force on every host that was asked")}
	}
	return err
}
