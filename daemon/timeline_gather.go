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
	// gatherConcurrency is the maximum number of peers queried at once.
	gatherConcurrency = 32
	// gatherTimeout limits a query of the timeline.
	gatherTimeout = 20 * time.Second
)

// maxTimelineEvents limits the number of events in one response. That many events
// take about 12 MB of memory.
const maxTimelineEvents = 50_000

// hostEvents holds the events in a host's memory that match a filter.
type hostEvents struct {
	host   host.Identity
	events []timeline.Event
	// oldest is the stamp of the oldest event in the host's memory, whether or not
	// that event matches the filter.
	oldest timeline.Stamp
	// truncated is set when more events match than the host returned.
	truncated bool
	err       error
}

// gatherTimeline merges the events of this host, its peers and the object store. A
// source that could not be read is listed in Missing.
func (d *Daemon) gatherTimeline(ctx context.Context, filter timeline.Filter) wire.Timeline {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	perHost := append(d.queryPeers(ctx, filter), d.ownEvents(filter))
	var out wire.Timeline
	var lists [][]timeline.Event
	for _, h := range perHost {
		lists = append(lists, h.events)
		out.Truncated = out.Truncated || h.truncated
		if h.err != nil {
			out.Missing = append(out.Missing, wire.MissingSource{Source: string(h.host.ID), Error: h.err.Error()})
		}
	}
	stored, err := d.archive.readEvents(ctx, filter, heldInMemory(perHost))
	if err != nil {
		out.Missing = append(out.Missing, wire.MissingSource{Source: "object store", Error: err.Error()})
	}
	events, truncated := timeline.Newest(timeline.Merge(append(lists, stored.lists...)...), maxTimelineEvents)
	out.Truncated = out.Truncated || stored.truncated || truncated
	out.Events = append([]timeline.Event{}, events...)
	return out
}

// ownEvents returns the events that this host holds in memory.
func (d *Daemon) ownEvents(filter timeline.Filter) hostEvents {
	events, _ := d.ring.After(wire.StampBefore(filter))
	return hostEvents{host: d.self, events: filter.Select(events), oldest: d.ring.Oldest()}
}

// heldInMemory returns a function that reports whether all events of a batch are
// still in the memory of the process that wrote the batch. That is the case when the
// oldest event in the memory is earlier than the first event of the batch.
func heldInMemory(perHost []hostEvents) func(wire.BatchName) bool {
	type process struct {
		host        string
		incarnation uint64
	}
	oldestByProcess := make(map[process]int64)
	for _, h := range perHost {
		if h.err == nil && h.oldest.Wall > 0 {
			oldestByProcess[process{string(h.host.ID), h.host.Incarnation}] = h.oldest.Wall
		}
	}
	return func(b wire.BatchName) bool {
		wall, ok := oldestByProcess[process{b.Host, b.Incarnation}]
		return ok && wall < b.FirstMillis
	}
}

// queryPeers fetches the events of all peers.
func (d *Daemon) queryPeers(ctx context.Context, filter timeline.Filter) []hostEvents {
	peers := d.control.snapshot.Load().Peers
	perHost := make([]hostEvents, 0, len(peers))
	for _, peer := range peers {
		perHost = append(perHost, hostEvents{host: peer})
	}
	req := wire.FilterToProto(filter)
	req.Limit = uint32(maxTimelineEvents/(len(peers)+1) + 1)
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for i := range perHost {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			h := &perHost[i]
			h.err = d.streamPeerEvents(ctx, h.host, req, func(resp *fleetv1.TimelineResponse) error {
				return h.addResponse(resp)
			})
			return nil
		})
	}
	_ = group.Wait()
	return perHost
}

// addResponse adds a message of a peer's stream. The first message has no event.
func (h *hostEvents) addResponse(resp *fleetv1.TimelineResponse) error {
	if len(resp.GetEvent()) == 0 {
		h.oldest = wire.StampFromProto(resp.GetOldest())
		h.truncated = resp.GetTruncated()
		return nil
	}
	e, err := wire.DecodeEvent(resp.GetEvent())
	if err != nil {
		return err
	}
	h.events = append(h.events, e)
	return nil
}

// streamPeerEvents passes the messages of a peer to handle as they arrive, until the
// stream ends or handle fails.
func (d *Daemon) streamPeerEvents(ctx context.Context, peer host.Identity, req *fleetv1.TimelineRequest, handle func(*fleetv1.TimelineResponse) error) error {
	stream, err := d.peers.clientFor(peer.FleetAddress).Timeline(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrapf(err, "timeline of host %s", peer.ID)
	}
	defer stream.Close()
	for stream.Receive() {
		if err := handle(stream.Msg()); err != nil {
			return err
		}
	}
	return errors.Wrapf(stream.Err(), "timeline of host %s", peer.ID)
}
