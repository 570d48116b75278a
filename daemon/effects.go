package daemon

import (
	"context"

	"connectrpc.com/connect"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
)

var _ effector = (*Daemon)(nil)

// start runs an effect's I/O on a goroutine of its own, under callTimeout.
func (d *Daemon) start(f func(context.Context)) {
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		f(ctx)
	})
}

func (d *Daemon) readConfiguration(e host.ReadConfiguration) {
	d.start(func(ctx context.Context) {
		changes, revision, err := d.store.ChangesAfter(ctx, e.After)
		d.control.send(d.ctx, host.ConfigurationRead{
			Changes: changes, Revision: revision, FromStore: true, Err: err,
		})
	})
}

func (d *Daemon) fetchChanges(e host.FetchChanges) {
	d.start(func(ctx context.Context) {
		req := connect.NewRequest(&fleetv1.ChangesRequest{After: e.After})
		resp, err := d.peers.to(e.Peer.FleetAddress).Changes(ctx, req)
		if err != nil {
			d.control.send(d.ctx, host.ConfigurationRead{Err: err})
			return
		}
		ev := host.ConfigurationRead{Revision: resp.Msg.GetRevision()}
		for _, p := range resp.Msg.GetChanges() {
			var ch contract.Change
			if ch, ev.Err = wire.ChangeFromProto(p); ev.Err != nil {
				break
			}
			ev.Changes = append(ev.Changes, ch)
		}
		d.control.send(d.ctx, ev)
	})
}

func (d *Daemon) sendHeartbeat(e host.SendHeartbeat) {
	d.start(func(ctx context.Context) {
		req := connect.NewRequest(&fleetv1.HeartbeatRequest{
			From:     wire.PeerToProto(e.From),
			Revision: e.Revision,
			Stamp:    wire.StampToProto(e.Stamp),
		})
		resp, err := d.peers.to(e.FleetAddress).Heartbeat(ctx, req)
		if err != nil {
			return
		}
		d.control.send(d.ctx, host.HeartbeatHeard{
			From:     wire.PeerFromProto(resp.Msg.GetFrom()),
			Revision: resp.Msg.GetRevision(),
			Stamp:    wire.StampFromProto(resp.Msg.GetStamp()),
			Peers:    wire.PeersFromProto(resp.Msg.GetPeers()),
		})
	})
}

func (d *Daemon) readHostList() {
	d.start(func(ctx context.Context) {
		listing, err := d.hostList.Hosts(ctx)
		d.control.send(d.ctx, host.HostListRead{Hosts: listing.Hosts, Err: err})
	})
}

func (d *Daemon) recorded(e timeline.Event) {
	d.log.Info().
		Str("kind", string(e.Kind)).
		Str("service", e.Service).
		Str("target", e.Target).
		Str("to", e.To).
		Uint64("revision", e.Revision).
		Msg("state changed")
}
