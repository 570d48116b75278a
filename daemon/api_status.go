package daemon

import (
	"net/http"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/wire"
)

func (d *Daemon) getStatus(ctx iris.Context) {
	var health []service.Health
	err := d.control.Call(ctx.Request().Context(), func(core *host.Core) { health = core.Health() })
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, errors.Wrap(err, "control thread"))
		return
	}
	snap := d.control.snapshot.Load()
	status := wire.Status{
		Host:        string(snap.Self.ID),
		Incarnation: snap.Self.Incarnation,
		Revision:    snap.Revision,
		Ready:       snap.Ready,
		Accounts:    snap.Accounts.Len(),
		Peers:       peerStatus(snap),
		Services:    serviceStatus(snap, health),
	}
	for _, h := range snap.Directory {
		status.DirectoryHosts = append(status.DirectoryHosts, string(h.ID))
	}
	respondJSON(ctx, status)
}

// peerStatus lists the peers of a snapshot, sorted by id.
func peerStatus(snap *host.Snapshot) []wire.DirectoryHost {
	var out []wire.DirectoryHost
	for _, p := range snap.Peers {
		out = append(out, wire.DirectoryHost{
			ID: string(p.ID), Zone: string(p.Zone), Address: p.Address, APIAddress: p.APIAddress,
		})
	}
	slices.SortFunc(out, func(a, b wire.DirectoryHost) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// serviceStatus lists the services of a snapshot, sorted by name. Those that
// this host is an entry host for include their health.
func serviceStatus(snap *host.Snapshot, health []service.Health) []wire.ServiceStatus {
	byName := make(map[string]service.Health, len(health))
	for _, h := range health {
		byName[h.Service] = h
	}
	var out []wire.ServiceStatus
	for name, routing := range snap.Services {
		s := wire.ServiceStatus{
			Service: name, Targets: len(routing.Contract.Targets), RoutedTargets: len(routing.Links), Panic: routing.Panic,
		}
		if h, ok := byName[name]; ok {
			s.IsEntryHost, s.HealthySlots, s.FloorSlots = true, h.HealthySlots, h.FloorSlots
			s.Degraded = degradedTargets(h)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b wire.ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// degradedTargets lists the targets that receive less than their full share of
// requests.
func degradedTargets(h service.Health) []wire.TargetStatus {
	var out []wire.TargetStatus
	for _, t := range h.Targets {
		if t.State != target.Active || t.LinkCut {
			out = append(out, wire.TargetStatus{Target: t.Name, State: t.State.String(), Since: t.Since.UTC(), LinkCut: t.LinkCut})
		}
	}
	return out
}
