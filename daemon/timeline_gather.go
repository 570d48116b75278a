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

// maxEvents bounds the events of one answer, about 12 MB of memory.
const maxEvents = 50_000

// ringView is what one host holds in memory.
type ringView struct {
	host   host.Identity
	events []timeline.Event
	// oldest is the oldest event that the host holds, whether selected or not.
	oldest    timeline.Stamp
	truncated bool
	err       error
}

// gather merges the events of this host, of its peers and of the object store.
func (d *Daemon) gather(ctx context.Context, f timeline.Filter) wire.Timeline {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	views := append(d.askPeers(ctx, f), d.ownView(f))
	var out wire.Timeline
	var lists [][]timeline.Event
	for _, v := range views {
		lists = append(lists, v.events)
		out.Truncated = out.Truncated || v.truncated
		if v.err != nil {
			out.Missing = append(out.Missing, wire.MissingSource{Source: string(v.host.ID), Error: v.err.Error()})
		}
	}
	stored, err := d.archive.read(ctx, f, covered(views))
	if err != nil {
		out.Missing = append(out.Missing, wire.MissingSource{Source: "object store", Error: err.Error()})
	}
	events, truncated := timeline.Newest(timeline.Merge(append(lists, stored.lists...)...), maxEvents)
	out.Truncated = out.Truncated || stored.truncated || truncated
	out.Events = append([]timeline.Event{}, events...)
	return out
}

func (d *Daemon) ownView(f timeline.Filter) ringView {
	events, _ := d.ring.After(wire.After(f))
	return ringView{host: d.self, events: f.Select(events), oldest: d.ring.Oldest()}
}

// covered returns the test for a batch whose events a host still holds in
// memory: the host's oldest event is earlier than the batch's first.
func covered(views []ringView) func(wire.BatchName) bool {
	type incarnation struct {
		host   string
		number uint64
	}
	oldest := make(map[incarnation]int64)
	for _, v := range views {
		if v.err == nil && v.oldest.Wall > 0 {
			oldest[incarnation{string(v.host.ID), v.host.Incarnation}] = v.oldest.Wall
		}
	}
	return func(b wire.BatchName) bool {
		wall, ok := oldest[incarnation{b.Host, b.Incarnation}]
		return ok && wall < b.First
	}
}

// askPeers asks all peers for their events.
func (d *Daemon) askPeers(ctx context.Context, f timeline.Filter) []ringView {
	peers := d.control.snapshot.Load().Peers
	views := make([]ringView, 0, len(peers))
	for _, id := range peers {
		views = append(views, ringView{host: id})
	}
	req := wire.FilterToProto(f)
	req.Limit = uint32(maxEvents/(len(peers)+1) + 1)
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for i := range views {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			v := &views[i]
			v.err = d.peerEvents(ctx, v.host, req, func(resp *fleetv1.TimelineResponse) error {
				return v.take(resp)
			})
			return nil
		})
	}
	_ = group.Wait()
	return views
}

// take adds one message of a peer.
func (v *ringView) take(resp *fleetv1.TimelineResponse) error {
	if len(resp.GetEvent()) == 0 {
		v.oldest = wire.StampFromProto(resp.GetOldest())
		v.truncated = resp.GetTruncated()
		return nil
	}
	e, err := wire.DecodeEvent(resp.GetEvent())
	if err != nil {
		return err
	}
	v.events = append(v.events, e)
	return nil
}

// peerEvents hands the messages of a peer over as they arrive, to the end of
// its stream.
func (d *Daemon) peerEvents(ctx context.Context, peer host.Identity, req *fleetv1.TimelineRequest, f func(*fleetv1.TimelineResponse) error) error {
	stream, err := d.peers.to(peer.FleetAddress).Timeline(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrapf(err, "time line of host %s", peer.ID)
	}
	defer stream.Close()
	for stream.Receive() {
		if err := f(stream.Msg()); err != nil {
			return err
		}
	}
	return errors.Wrapf(stream.Err(), "time line of host %s", peer.ID)
}
