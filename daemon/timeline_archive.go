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
	// archiveInterval is the time between two batches of one host. At 890 hosts
	// that all have events it makes 30 writes a second.
	archiveInterval = 30 * time.Second
	// archiveTimeout limits the write of one batch.
	archiveTimeout = 5 * time.Second
	// outboxCapacity is how many events wait while the store is away: about
	// 5 MB of memory.
	outboxCapacity = 20_000
)

// archive writes the events of this host to the object store, so that they
// last when the host is replaced.
type archive struct {
	objects storage.Objects
	self    host.Identity
	outbox  *timeline.Outbox
	log     zerolog.Logger

	number uint64
	// failed is the batch whose write failed or is in doubt; the same object is
	// written again, so that one that did take effect is replaced by itself.
	failed  *batch
	written atomic.Int64
	failure atomic.Int64
}

// batch is one object on its way to the store.
type batch struct {
	name   string
	data   []byte
	events int
}

func newArchive(objects storage.Objects, self host.Identity, log zerolog.Logger) *archive {
	return &archive{
		objects: objects, self: self, log: log, outbox: timeline.NewOutbox(outboxCapacity),
	}
}

// run writes a batch each interval until ctx ends, and a last one then.
func (a *archive) run(ctx context.Context) {
	// A random start keeps hosts that were started together apart.
	next := time.NewTimer(time.Duration(rand.Int64N(int64(archiveInterval))))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			a.finish()
			return
		case <-next.C:
			a.flush(ctx)
			next.Reset(archiveInterval)
		}
	}
}

// finish writes what is left. A batch that failed before is one object, and
// the events since make another.
func (a *archive) finish() {
	ctx := context.Background()
	retry := a.failed != nil
	a.flush(ctx)
	if retry && a.failed == nil {
		a.flush(ctx)
	}
}

// flush writes one batch: the one that failed last time, or all waiting events.
func (a *archive) flush(ctx context.Context) {
	b := a.failed
	if b == nil {
		var err error
		if b, err = a.next(); err != nil {
			a.log.Error().Err(err).Msg("time line not encoded")
			return
		}
	}
	if b == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if err := a.objects.PutObject(ctx, b.name, b.data); err != nil {
		a.failure.Add(1)
		if a.failed == nil {
			a.log.Warn().Err(err).Msg("time line kept in memory: the object store is away")
		}
		a.failed = b
		return
	}
	a.outbox.Remove(b.events)
	a.written.Add(1)
	if a.failed != nil {
		a.log.Info().Msg("time line written: the object store is back")
	}
	a.failed = nil
}

// next builds a batch of all waiting events; nil when there are none.
func (a *archive) next() (*batch, error) {
	events := a.outbox.Peek()
	if len(events) == 0 {
		return nil, nil
	}
	data, err := wire.EncodeBatch(events)
	if err != nil {
		return nil, err
	}
	a.number++
	name := wire.BatchName{
		Last: events[len(events)-1].Stamp.Wall, First: events[0].Stamp.Wall,
		Host: string(a.self.ID), Incarnation: a.self.Incarnation, Number: a.number,
	}
	return &batch{name: name.String(), data: data, events: len(events)}, nil
}

const (
	// listPage is how many names one listing asks for.
	listPage = 1000
	// maxBatches bounds the batches that one answer is built from.
	maxBatches = 2000
)

// errUnreadable wraps the fault of a batch that cannot be decoded.
var errUnreadable = errors.New("unreadable batch")

// archived is what the object store holds of the time line.
type archived struct {
	lists     [][]timeline.Event
	truncated bool
}

// read reads the batches with events between two times. Known tells of a batch
// whose events are at hand already.
func (a *archive) read(ctx context.Context, f timeline.Filter, known func(wire.BatchName) bool) (archived, error) {
	var out archived
	since := int64(0)
	if !f.Since.IsZero() {
		since = f.Since.UnixMilli()
	}
	var first error
	for after := wire.BatchesAfter(since); ; {
		names, err := a.objects.ListObjects(ctx, wire.BatchPrefix, after, listPage)
		if err != nil {
			return out, err
		}
		for _, name := range names {
			after = name
			b, err := wire.ParseBatchName(name)
			if err != nil || known(b) || !f.Until.IsZero() && b.First > f.Until.UnixMilli() {
				continue
			}
			if len(out.lists) == maxBatches {
				out.truncated = true
				return out, first
			}
			events, err := a.get(ctx, name)
			if err != nil && first == nil {
				first = err
			}
			out.lists = append(out.lists, f.Select(events))
		}
		if len(names) < listPage {
			return out, first
		}
	}
}

// get reads one batch.
func (a *archive) get(ctx context.Context, name string) ([]timeline.Event, error) {
	data, err := a.objects.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	events, err := wire.DecodeBatch(data)
	if err != nil {
		return events, errors.Wrapf(errUnreadable, "%s: %v", name, err)
	}
	return events, nil
}
