// Package mailbox passes work to a control thread: one goroutine that owns a core of
// type C and processes events of type E, function calls, and observations of type O.
package mailbox

import (
	"context"
	"sync/atomic"
)

// Sizes are the queue capacities of a mailbox.
type Sizes struct {
	Events, Observations int
	// Batch is the maximum number of observations in a batch.
	Batch int
}

// Mailbox passes work to a control thread. Only the control thread receives from the
// channels and calls Batch; other goroutines use the other methods.
type Mailbox[C, E, O any] struct {
	Events       chan E
	Calls        chan func(C)
	Observations chan O

	batch   int
	dropped atomic.Int64
}

// New returns an empty mailbox.
func New[C, E, O any](s Sizes) Mailbox[C, E, O] {
	return Mailbox[C, E, O]{
		Events:       make(chan E, s.Events),
		Calls:        make(chan func(C)),
		Observations: make(chan O, s.Observations),
		batch:        s.Batch,
	}
}

// Observe queues an observation without blocking. If the queue is full, the
// observation is dropped and counted.
func (m *Mailbox[C, E, O]) Observe(o O) {
	select {
	case m.Observations <- o:
	default:
		m.dropped.Add(1)
	}
}

// TrySend queues an event without blocking. If the queue is full, the event is dropped
// and counted.
func (m *Mailbox[C, E, O]) TrySend(ev E) {
	select {
	case m.Events <- ev:
	default:
		m.dropped.Add(1)
	}
}

// Dropped returns how many observations and events were dropped.
func (m *Mailbox[C, E, O]) Dropped() int64 { return m.dropped.Load() }

// Send queues an event. If the queue is full, it blocks until there is room or ctx
// ends; in the latter case the event is lost.
func (m *Mailbox[C, E, O]) Send(ctx context.Context, ev E) {
	select {
	case m.Events <- ev:
	case <-ctx.Done():
	}
}

// Call runs f on the control thread and waits until it returns. If ctx ends first,
// Call returns the error of ctx; f may still run if the control thread has received it.
func (m *Mailbox[C, E, O]) Call(ctx context.Context, f func(C)) error {
	done := make(chan struct{})
	select {
	case m.Calls <- func(core C) { f(core); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Batch returns the first observation with those already queued after it, up to the
// batch size. It does not block.
func (m *Mailbox[C, E, O]) Batch(first O) []O {
	batch := []O{first}
	for len(batch) < m.batch {
		select {
		case o := <-m.Observations:
			batch = append(batch, o)
		default:
			return batch
		}
	}
	return batch
}
