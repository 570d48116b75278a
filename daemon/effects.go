package daemon

import (
	"context"

	"connectrpc.com/connect"

	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
)

var _ effectExecutor = (*Daemon)(nil)

// runEffect runs the I/O of an effect in a new goroutine, with callTimeout.
func (d *Daemon) runEffect(f func(context.Context)) {
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		f(ctx)
	})
}

func (d *Daemon) readConfiguration(e host.ReadConfiguration) {
	d.runEffect(func(ctx context.Context) {
		changes, read, err := d.store.ChangesAfter(ctx, e.After)
		d.control.Send(d.ctx, host.ConfigurationRead{
			Changes: changes, Revision: read.Revision, History: read.History, FromStore: true, Err: err,
		})
	})
}

func (d *Daemon) fetchChanges(e host.FetchChanges) {
	d.runEffect(func(ctx context.Context) {
		req := connect.NewRequest(&fleetv1.ChangesRequest{After: e.After.Revision, History: uint64(e.After.History)})
		resp, err := d.peers.clientFor(e.Peer.FleetAddress).Changes(ctx, req)
		if err != nil {
			d.control.Send(d.ctx, host.ConfigurationRead{Err: err})
			return
		}
		ev := host.ConfigurationRead{Revision: resp.Msg.GetRevision(), History: history.ID(resp.Msg.GetHistory())}
		ev.Kept = make(map[string]bool, len(resp.Msg.GetKept()))
		for _, subject := range resp.Msg.GetKept() {
			ev.Kept[subject] = true
		}
		for _, p := range resp.Msg.GetChanges() {
			// When this host can't parse the document, the decoded change has no
			// contract. The core still stores the change for peers that can parse
			// the document.
			change, _ := wire.ChangeFromProto(p)
			ev.Changes = append(ev.Changes, change)
		}
		d.control.Send(d.ctx, ev)
	})
}

func (d *Daemon) sendPing(e host.SendPing) {
	d.runEffect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		m, err := d.peers.ping(ctx, e.To.FleetAddress, e.Message)
		if err != nil || m.From.ID != e.To.ID {
			d.control.Send(d.ctx, host.PingFailed{Subject: e.To.ID})
			return
		}
		d.control.Send(d.ctx, host.PingSucceeded{Message: m})
	})
}

func (d *Daemon) sendIndirectPing(e host.SendIndirectPing) {
	d.runEffect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		req := connect.NewRequest(&fleetv1.IndirectPingRequest{
			Subject:       wire.PeerToProto(e.Subject),
			TimeoutMillis: uint32(e.Timeout.Milliseconds()),
		})
		ev := host.IndirectPingEnded{Subject: e.Subject.ID}
		resp, err := d.peers.clientFor(e.Via.FleetAddress).IndirectPing(ctx, req)
		if err != nil {
			ev.Err = err
		} else {
			ev.Reached = resp.Msg.GetReached()
		}
		d.control.Send(d.ctx, ev)
	})
}

func (d *Daemon) sendSync(e host.SendSync) {
	d.runEffect(func(ctx context.Context) {
		req := connect.NewRequest(&fleetv1.SyncRequest{Message: wire.MessageToProto(e.Message)})
		resp, err := d.peers.clientFor(e.To).Sync(ctx, req)
		if err != nil {
			return
		}
		d.control.Send(d.ctx, host.SyncSucceeded{
			Message: wire.MessageFromProto(resp.Msg.GetMessage()),
			Members: wire.UpdatesFromProto(resp.Msg.GetMembers()),
		})
	})
}

func (d *Daemon) sendReports(e host.SendReports) {
	d.runEffect(func(ctx context.Context) {
		req := connect.NewRequest(&fleetv1.ReportRequest{
			From:    wire.PeerToProto(e.From),
			Reports: wire.ReportsToProto(e.Reports),
			SignsOf: e.LeaveSignalsOf,
		})
		ev := host.SendReportsEnded{From: e.To.ID, Reports: e.Reports, LeaveSignalsOf: e.LeaveSignalsOf}
		resp, err := d.peers.clientFor(e.To.FleetAddress).Report(ctx, req)
		if err != nil {
			ev.Err = err
		} else {
			ev.Leaving = wire.ReportsFromProto(resp.Msg.GetLeaving())
		}
		if ev.Err != nil || len(ev.LeaveSignalsOf) > 0 {
			d.control.Send(d.ctx, ev)
		}
	})
}

func (d *Daemon) sendProbe(e host.SendProbe) {
	d.runEffect(func(ctx context.Context) { d.control.Send(d.ctx, d.prober.probe(ctx, e)) })
}

func (d *Daemon) readHostList() {
	d.runEffect(func(ctx context.Context) {
		listing, err := d.hostList.Hosts(ctx)
		d.control.Send(d.ctx, host.HostListRead{Hosts: listing.Hosts, Err: err})
	})
}

// eventRecorded counts and logs a timeline event and queues it for the object
// store.
func (d *Daemon) eventRecorded(e timeline.Event) {
	d.eventCounts.add(e)
	d.archive.outbox.Add(e)
	if e.Kind == timeline.RequestEnded {
		return // not a state change, and too frequent to log
	}
	d.log.Info().
		Str("kind", string(e.Kind)).
		Str("service", e.Service).
		Str("target", e.Target).
		Str("to", e.To).
		Uint64("revision", e.Revision).
		Msg("state changed")
}
