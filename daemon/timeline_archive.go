package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
)

const (
	// archiveInterval is the time between two batches of a host. If all hosts of a
	// fleet of 890 have events, the object store gets 30 writes per second.
	archiveInterval = 30 * time.Second
	// archiveWriteTimeout limits the write of a batch.
	archiveWriteTimeout = 5 * time.Second
	// outboxCapacity is the maximum number of events that wait while the object
	// store is unavailable. They take about 5 MB of memory.
	outboxCapacity = 20_000
)

// archive writes the timeline events of this host to the object store, so that they
// remain available after the host has been replaced.
type archive struct {
	objects storage.Objects
	self    host.Identity
	outbox  *timeline.Outbox
	log     zerolog.Logger

	lastBatchNumber uint64
	// failedBatch is the batch whose write failed or may have failed. It is written
	// again under the same name and with the same contents, so that there is no
	// duplicate if the first write did succeed.
	failedBatch    *batch
	writtenBatches atomic.Int64
	failedWrites   atomic.Int64
}

// batch is an object to be written to the object store.
type batch struct {
	name string
	data []byte
	// events is the number of events in the batch.
	events int
}

func newArchive(objects storage.Objects, self host.Identity, log zerolog.Logger) *archive {
	return &archive{
		objects: objects, self: self, log: log, outbox: timeline.NewOutbox(outboxCapacity),
	}
}

// run writes a batch per interval until ctx ends, and then the remaining events.
func (a *archive) run(ctx context.Context) {
	// The random first delay spreads the writes of hosts that were started together.
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(archiveInterval))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			a.flushRemaining()
			return
		case <-timer.C:
			a.flush(ctx)
			timer.Reset(archiveInterval)
		}
	}
}

// flushRemaining writes all waiting events. If the last write failed, it writes two
// batches: the failed batch, and a batch of the events recorded since.
func (a *archive) flushRemaining() {
	ctx := context.Background()
	retry := a.failedBatch != nil
	a.flush(ctx)
	if retry && a.failedBatch == nil {
		a.flush(ctx)
	}
}

// flush writes one batch: failedBatch if there is one, otherwise a batch of all
// waiting events.
func (a *archive) flush(ctx context.Context) {
	b := a.failedBatch
	if b == nil {
		var err error
		if b, err = a.nextBatch(); err != nil {
			a.log.Error().Err(err).Msg("failed to encode timeline events")
			return
		}
	}
	if b == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, archiveWriteTimeout)
	defer cancel()
	if err := a.objects.PutObject(ctx, b.name, b.data); err != nil {
		a.failedWrites.Add(1)
		if a.failedBatch == nil {
			a.log.Warn().Err(err).Msg("object store unavailable; timeline events are kept in memory")
		}
		a.failedBatch = b
		return
	}
	a.outbox.Remove(b.events)
	a.writtenBatches.Add(1)
	if a.failedBatch != nil {
		a.log.Info().Msg("object store available again; timeline events written")
	}
	a.failedBatch = nil
}

// nextBatch returns a batch of all waiting events, or nil when there are none.
func (a *archive) nextBatch() (*batch, error) {
	events := a.outbox.Peek()
	if len(events) == 0 {
		return nil, nil
	}
	data, err := wire.EncodeBatch(events)
	if err != nil {
		return nil, err
	}
	a.lastBatchNumber++
	name := wire.BatchName{
		LastMillis: events[len(events)-1].Stamp.Wall, FirstMillis: events[0].Stamp.Wall,
		Host: string(a.self.ID), Incarnation: a.self.Incarnation, Number: a.lastBatchNumber,
	}
	return &batch{name: name.String(), data: data, events: len(events)}, nil
}

const (
	// listPageSize is the number of names requested per listing.
	listPageSize = 1000
	// maxBatchesRead limits the batches read for one query of the timeline.
	maxBatchesRead = 2000
)

// errUnreadableBatch is the cause of errors about batches that cannot be decoded.
var errUnreadableBatch = errors.New("unreadable batch")

// archivedEvents are the events read from the object store.
type archivedEvents struct {
	// lists holds one list of events per batch.
	lists [][]timeline.Event
	// truncated is set when maxBatchesRead was reached.
	truncated bool
}

// readEvents reads the batches that may have events between the Since and Until times
// of a filter. It leaves out the batches for which skip returns true. When some
// batches can't be read, it returns the events of the other batches and the first
// error.
func (a *archive) readEvents(ctx context.Context, filter timeline.Filter, skip func(wire.BatchName) bool) (archivedEvents, error) {
	var out archivedEvents
	since := int64(0)
	if !filter.Since.IsZero() {
		since = filter.Since.UnixMilli()
	}
	var firstErr error
	for after := wire.BatchListStart(since); ; {
		names, err := a.objects.ListObjects(ctx, wire.BatchPrefix, after, listPageSize)
		if err != nil {
			return out, err
		}
		for _, name := range names {
			after = name
			b, err := wire.ParseBatchName(name)
			if err != nil || skip(b) || !filter.Until.IsZero() && b.FirstMillis > filter.Until.UnixMilli() {
				continue
			}
			if len(out.lists) == maxBatchesRead {
				out.truncated = true
				return out, firstErr
			}
			events, err := a.readBatch(ctx, name)
			if err != nil && firstErr == nil {
				firstErr = err
			}
			out.lists = append(out.lists, filter.Select(events))
		}
		if len(names) < listPageSize {
			return out, firstErr
		}
	}
}

// readBatch reads and decodes a batch.
func (a *archive) readBatch(ctx context.Context, name string) ([]timeline.Event, error) {
	data, err := a.objects.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	events, err := wire.DecodeBatch(data)
	if err != nil {
		return events, errors.Wrapf(errUnreadableBatch, "%s: %v", name, err)
	}
	return events, nil
}
