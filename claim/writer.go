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

// Bounds of a Writer.
const (
	// writerQueue is how many outcomes wait for the table at most. An outcome
	// that does not fit stays with its home host alone.
	writerQueue = 10_000
	// settleTimeout limits one try.
	settleTimeout = 2 * time.Second
	// firstPause and longestPause bound the pause after a failed try.
	firstPause   = 100 * time.Millisecond
	longestPause = 30 * time.Second
)

// settlement is an outcome on its way to the table.
type settlement struct {
	key   Key
	claim caller.Claim
	done  chan struct{}
}

// Writer writes the outcomes of claims, in order, until the table takes them.
type Writer struct {
	store *Store
	queue chan settlement
	// open counts the outcomes that the table has not decided on.
	open atomic.Int64
	// Dropped counts the outcomes for which the queue had no room.
	Dropped atomic.Int64
	// Refused counts the outcomes that the table refused for good.
	Refused atomic.Int64
}

// NewWriter returns a writer into a store. Run carries it out.
func NewWriter(store *Store) *Writer {
	return &Writer{store: store, queue: make(chan settlement, writerQueue)}
}

// Settle hands an outcome over without blocking. The channel is closed when
// the table holds the outcome; it is nil when the queue is full.
func (w *Writer) Settle(key Key, settled caller.Claim) <-chan struct{} {
	s := settlement{key: key, claim: settled, done: make(chan struct{})}
	// Counted before Run can take it, so that Drain does not miss it.
	w.open.Add(1)
	select {
	case w.queue <- s:
		return s.done
	default:
		w.open.Add(-1)
		w.Dropped.Add(1)
		return nil
	}
}

// Len returns the number of outcomes that wait for the table.
func (w *Writer) Len() int { return int(w.open.Load()) }

// drainPoll is the time between two looks of Drain.
const drainPoll = 20 * time.Millisecond

// Drain waits up to limit until no outcome waits for the table.
func (w *Writer) Drain(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for w.Len() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPoll)
	}
}

// Run writes outcomes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-w.queue:
			w.settle(ctx, s)
			w.open.Add(-1)
		}
	}
}

// settle tries until the table has taken or refused the outcome.
func (w *Writer) settle(ctx context.Context, s settlement) {
	pause := firstPause
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, settleTimeout)
		err := w.store.Settle(try, s.key, s.claim)
		cancel()
		switch {
		case err == nil:
			close(s.done)
			return
		case !errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrAmbiguous):
			w.Refused.Add(1)
			return
		}
		wait.For(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, longestPause)
	}
}
