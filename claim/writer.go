package claim

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/storage"
)

// Bounds of an OutcomeWriter.
const (
	// writerQueueLength is the maximum number of outcomes that wait to be written.
	// Further outcomes are dropped, and only the home host knows them.
	writerQueueLength = 10_000
	// writeTimeout is the timeout of one attempt to write to the table.
	writeTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the backoff after a failed attempt.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 30 * time.Second
)

// settlement is an outcome that waits to be written.
type settlement struct {
	key   Key
	claim caller.Claim
	// done is closed when the table holds the outcome.
	done chan struct{}
}

// OutcomeWriter writes the outcomes of claims in order, and retries each until the
// table has stored or rejected it.
type OutcomeWriter struct {
	store *Store
	queue chan settlement
	// pendingCount is the number of outcomes that are neither stored nor rejected.
	pendingCount atomic.Int64
	// Dropped is the number of outcomes that were dropped because the queue was
	// full.
	Dropped atomic.Int64
	// Rejected is the number of outcomes that were given up after an error for which
	// a retry is useless, such as a conflict with another id.
	Rejected atomic.Int64
}

// NewOutcomeWriter returns a writer of outcomes to a store. Run does the writing.
func NewOutcomeWriter(store *Store) *OutcomeWriter {
	return &OutcomeWriter{store: store, queue: make(chan settlement, writerQueueLength)}
}

// Settle queues an outcome without blocking. The returned channel is closed when the
// table holds the outcome, and stays open if the outcome is rejected. It is nil if the
// queue is full.
func (w *OutcomeWriter) Settle(key Key, settled caller.Claim) <-chan struct{} {
	s := settlement{key: key, claim: settled, done: make(chan struct{})}
	// The outcome is counted before it is queued, so that AwaitEmpty doesn't miss an
	// outcome that Run has already received.
	w.pendingCount.Add(1)
	select {
	case w.queue <- s:
		return s.done
	default:
		w.pendingCount.Add(-1)
		w.Dropped.Add(1)
		return nil
	}
}

// Pending returns the number of outcomes that are neither stored nor rejected.
func (w *OutcomeWriter) Pending() int { return int(w.pendingCount.Load()) }

// emptyPollInterval is the time between two checks of AwaitEmpty.
const emptyPollInterval = 20 * time.Millisecond

// AwaitEmpty waits until every outcome is stored or rejected, at most until the time
// limit is over.
func (w *OutcomeWriter) AwaitEmpty(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for w.Pending() > 0 && ctx.Err() == nil {
		wait.For(ctx, emptyPollInterval)
	}
}

// Run writes the queued outcomes until ctx ends.
func (w *OutcomeWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-w.queue:
			w.settle(ctx, s)
			w.pendingCount.Add(-1)
		}
	}
}

// settle writes an outcome, with retries until the table has stored or rejected it or
// ctx ends.
func (w *OutcomeWriter) settle(ctx context.Context, s settlement) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := w.store.Settle(attemptCtx, s.key, s.claim)
		cancel()
		switch {
		case err == nil:
			close(s.done)
			return
		case !errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrAmbiguous):
			w.Rejected.Add(1)
			return
		}
		wait.For(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}
