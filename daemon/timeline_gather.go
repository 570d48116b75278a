package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
)

const (
	// gatherConcurrency is how many peers are asked at once.
	gatherConcurrency = 32
	// gatherTimeout limits the answer to one question for the time line.
	gatherTimeout = 20 * time.Second
)

// ringView is what one host holds in memory.
type ringView struct {
	host   host.Identity
	events []timeline.Event
	err    error
}

// gather merges the events of this host, of its peers and of the object store.
func (d *Daemon) gather(ctx context.Context, f timeline.Filter) wire.Timeline {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	views := d.askPeers(ctx, after(f))
	own, _ := d.ring.After(after(f))
	views = append(views, ringView{host: d.self, events: own})
	var out wire.Timeline
	var lists [][]timeline.Event
	for _, v := range views {
		lists = append(lists, f.Select(v.events))
		if v.err != nil {
			out.Missing = append(out.Missing, wire.MissingSource{Source: string(v.host.ID), Error: v.err.Error()})
		}
	}
	stored, err := d.archive.read(ctx, f, covered(views))
	if err != nil {
		out.Missing = append(out.Missing, wire.MissingSource{Source: "object store", Error: err.Error()})
	}
	out.Truncated = stored.truncated
	out.Events = timeline.Merge(append(lists, stored.lists...)...)
	if out.Events == nil {
		out.Events = []timeline.Event{}
	}
	return out
}

// after returns the stamp before the first that the filter selects.
func after(f timeline.Filter) timeline.Stamp {
	if f.Since.IsZero() {
		return timeline.Stamp{}
	}
	return timeline.Stamp{Wall: f.Since.UnixMilli() - 1, Logical: ^uint32(0)}
}

// covered returns the test for a batch whose events a host still holds in
// memory: the host's oldest event is no later than the batch's first.
func covered(views []ringView) func(wire.BatchName) bool {
	type incarnation struct {
		host   string
		number uint64
	}
	oldest := make(map[incarnation]int64)
	for _, v := range views {
		if len(v.events) > 0 {
			oldest[incarnation{string(v.host.ID), v.host.Incarnation}] = v.events[0].Stamp.Wall
		}
	}
	return func(b wire.BatchName) bool {
		wall, ok := oldest[incarnation{b.Host, b.Incarnation}]
		return ok && wall < b.First
	}
}

// askPeers asks all peers for their events.
func (d *Daemon) askPeers(ctx context.Context, after timeline.Stamp) []ringView {
	peers := d.control.snapshot.Load().Peers
	views := make([]ringView, 0, len(peers))
	for _, id := range peers {
		views = append(views, ringView{host: id})
	}
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for i := range views {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			v := &views[i]
			v.err = d.peerEvents(ctx, v.host, after, false, func(e timeline.Event) { v.events = append(v.events, e) })
			return nil
		})
	}
	_ = group.Wait()
	return views
}

// peerEvents hands the events of a peer over as they arrive. With follow it
// goes on until ctx ends or the peer does.
func (d *Daemon) peerEvents(ctx context.Context, peer host.Identity, after timeline.Stamp, follow bool, f func(timeline.Event)) error {
	req := connect.NewRequest(&fleetv1.TimelineRequest{After: wire.StampToProto(after), Follow: follow})
	stream, err := d.peers.to(peer.FleetAddress).Timeline(ctx, req)
	if err != nil {
		return errors.Wrapf(err, "time line of host %s", peer.ID)
	}
	defer stream.Close()
	for stream.Receive() {
		e, err := wire.DecodeEvent(stream.Msg().GetEvent())
		if err != nil {
			return err
		}
		f(e)
	}
	return errors.Wrapf(stream.Err(), "time line of host %s", peer.ID)
}
