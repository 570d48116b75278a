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
	// reorderWindow is how long events are buffered. Earlier events of other hosts
	// that arrive within this time are sorted before the buffered events.
	reorderWindow = 500 * time.Millisecond
	// peerRefreshInterval is the time between two checks for peers without an open
	// stream: new peers, and peers whose stream has ended.
	peerRefreshInterval = 2 * time.Second
	// followQueueSize is the number of events queued between the streams and the
	// merging goroutine.
	followQueueSize = 1024
)

// follower merges the events of all hosts as they happen.
type follower struct {
	daemon *Daemon
	filter timeline.Filter
	events chan timeline.Event
	// mu guards streaming and lastStamps.
	mu sync.Mutex
	// streaming is true for the peers that have an open stream.
	streaming map[host.ID]bool
	// lastStamps holds the stamp of the last event received from each peer. A
	// reopened stream of the peer starts after that stamp.
	lastStamps map[host.ID]timeline.Stamp
	tasks      sync.WaitGroup
}

// followTimeline passes the selected events to deliver in merged batches, until ctx
// ends, the process shuts down or deliver fails. An event that arrives later than
// reorderWindow is delivered after newer ones.
func (d *Daemon) followTimeline(ctx context.Context, filter timeline.Filter, deliver func([]timeline.Event) error) error {
	after := wire.StampBefore(filter)
	ctx, cancel := context.WithCancel(ctx)
	f := &follower{
		daemon:     d,
		filter:     filter,
		events:     make(chan timeline.Event, followQueueSize),
		streaming:  make(map[host.ID]bool),
		lastStamps: make(map[host.ID]timeline.Stamp),
	}
	defer f.tasks.Wait()
	defer cancel()
	f.tasks.Go(func() { f.followOwnEvents(ctx, after) })
	f.followNewPeers(ctx, after)
	flush := time.NewTicker(reorderWindow)
	defer flush.Stop()
	refresh := time.NewTicker(peerRefreshInterval)
	defer refresh.Stop()
	var buffered []timeline.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.shuttingDown:
			return nil
		case e := <-f.events:
			buffered = append(buffered, e)
		case <-refresh.C:
			f.followNewPeers(ctx, after)
		case <-flush.C:
			if err := deliver(timeline.Merge(buffered)); err != nil {
				return err
			}
			buffered = buffered[:0]
		}
	}
}

// followOwnEvents queues the events of this host until ctx ends.
func (f *follower) followOwnEvents(ctx context.Context, after timeline.Stamp) {
	for {
		events, more := f.daemon.ring.After(after)
		for _, e := range f.filter.Select(events) {
			f.send(ctx, e)
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

// followNewPeers opens a stream from each peer that has none. The first stream of a
// peer starts after the given stamp, a reopened one after the last received event.
func (f *follower) followNewPeers(ctx context.Context, after timeline.Stamp) {
	for id, peer := range f.daemon.control.snapshot.Load().Peers {
		f.mu.Lock()
		alreadyStreaming := f.streaming[id]
		f.streaming[id] = true
		from, known := f.lastStamps[id]
		f.mu.Unlock()
		if alreadyStreaming {
			continue
		}
		if !known {
			from = after
		}
		f.tasks.Go(func() { f.followPeer(ctx, peer, from) })
	}
}

// followPeer queues the events of a peer until its stream ends.
func (f *follower) followPeer(ctx context.Context, peer host.Identity, after timeline.Stamp) {
	// An unavailable peer is retried at the next refresh, so the error is ignored.
	req := wire.FilterToProto(f.filter)
	req.After, req.Follow = wire.StampToProto(after), true
	_ = f.daemon.streamPeerEvents(ctx, peer, req, func(resp *fleetv1.TimelineResponse) error {
		if len(resp.GetEvent()) == 0 {
			return nil
		}
		e, err := wire.DecodeEvent(resp.GetEvent())
		if err != nil {
			return err
		}
		f.send(ctx, e)
		f.mu.Lock()
		f.lastStamps[peer.ID] = e.Stamp
		f.mu.Unlock()
		return nil
	})
	f.mu.Lock()
	f.streaming[peer.ID] = false
	f.mu.Unlock()
}

// send queues an event. It blocks while the queue is full, until ctx ends.
func (f *follower) send(ctx context.Context, e timeline.Event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}
