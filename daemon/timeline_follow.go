package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
)

const (
	// followWindow is how long events are held back, so that those of other
	// hosts that stand before them can still arrive.
	followWindow = 500 * time.Millisecond
	// followRefresh is the time between two looks for new or lost peers.
	followRefresh = 2 * time.Second
	// followQueue is how many events wait between the peers and the reader.
	followQueue = 1024
)

// follower merges the live events of all hosts.
type follower struct {
	daemon *Daemon
	filter timeline.Filter
	events chan timeline.Event
	// streams are the peers whose events arrive at present.
	mu      sync.Mutex
	streams map[host.ID]bool
	// last is the newest stamp seen of each peer, to go on from.
	last map[host.ID]timeline.Stamp
	wait sync.WaitGroup
}

// follow hands the selected events over in merged portions until ctx or
// the process ends, or until f fails. An event that reaches this host later
// than the window stands after newer ones.
func (d *Daemon) follow(ctx context.Context, filter timeline.Filter, f func([]timeline.Event) error) error {
	after := wire.After(filter)
	ctx, cancel := context.WithCancel(ctx)
	fo := &follower{
		daemon:  d,
		filter:  filter,
		events:  make(chan timeline.Event, followQueue),
		streams: make(map[host.ID]bool),
		last:    make(map[host.ID]timeline.Stamp),
	}
	defer fo.wait.Wait()
	defer cancel()
	fo.wait.Go(func() { fo.own(ctx, after) })
	fo.connect(ctx, after)
	portion := time.NewTicker(followWindow)
	defer portion.Stop()
	refresh := time.NewTicker(followRefresh)
	defer refresh.Stop()
	var held []timeline.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.closing:
			return nil
		case e := <-fo.events:
			held = append(held, e)
		case <-refresh.C:
			fo.connect(ctx, after)
		case <-portion.C:
			if err := f(timeline.Merge(held)); err != nil {
				return err
			}
			held = held[:0]
		}
	}
}

// own follows the events of this host.
func (fo *follower) own(ctx context.Context, after timeline.Stamp) {
	for {
		events, more := fo.daemon.ring.After(after)
		for _, e := range fo.filter.Select(events) {
			fo.hand(ctx, e)
		}
		if len(events) > 0 {
			after = events[len(events)-1].Stamp
		}
		select {
		case <-more:
		case <-ctx.Done():
			return
		}
	}
}

// connect starts a stream from each peer that has none.
func (fo *follower) connect(ctx context.Context, after timeline.Stamp) {
	for id, peer := range fo.daemon.control.snapshot.Load().Peers {
		fo.mu.Lock()
		running := fo.streams[id]
		fo.streams[id] = true
		from, known := fo.last[id]
		fo.mu.Unlock()
		if running {
			continue
		}
		if !known {
			from = after
		}
		fo.wait.Go(func() { fo.peer(ctx, peer, from) })
	}
}

// peer follows the events of one peer until its stream ends.
func (fo *follower) peer(ctx context.Context, peer host.Identity, after timeline.Stamp) {
	// A peer that is away is tried again at the next refresh.
	req := wire.FilterToProto(fo.filter)
	req.After, req.Follow = wire.StampToProto(after), true
	_ = fo.daemon.peerEvents(ctx, peer, req, func(resp *fleetv1.TimelineResponse) error {
		if len(resp.GetEvent()) == 0 {
			return nil
		}
		e, err := wire.DecodeEvent(resp.GetEvent())
		if err != nil {
			return err
		}
		fo.hand(ctx, e)
		fo.mu.Lock()
		fo.last[peer.ID] = e.Stamp
		fo.mu.Unlock()
		return nil
	})
	fo.mu.Lock()
	fo.streams[peer.ID] = false
	fo.mu.Unlock()
}

func (fo *follower) hand(ctx context.Context, e timeline.Event) {
	select {
	case fo.events <- e:
	case <-ctx.Done():
	}
}
