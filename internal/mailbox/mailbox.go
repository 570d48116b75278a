// Package mailbox is the way into a control thread: one goroutine that owns a core
// of type C and takes events of type E, calls, and observations of type O.
package mailbox

import (
	"context"
	"sync/atomic"
)

// Sizes are the capacities of a mailbox's queues.
type Sizes struct {
	Events, Observations int
	// Batch is how many observations are taken at once at most.
	Batch int
}

// Mailbox hands work to a control thread. The control thread receives from its
// channels; everyone else calls its methods.
type Mailbox[C, E, O any] struct {
	Events   chan E
	Calls    chan func(C)
	Observed chan O

	batch   int
	dropped atomic.Int64
}

// New returns an empty mailbox.
func New[C, E, O any](s Sizes) Mailbox[C, E, O] {
	return Mailbox[C, E, O]{
		Events:   make(chan E, s.Events),
		Calls:    make(chan func(C)),
		Observed: make(chan O, s.Observations),
		batch:    s.Batch,
	}
}

// Observe hands an observation over without blocking. When the control thread is
// behind, the observation is dropped and counted.
func (m *Mailbox[C, E, O]) Observe(o O) {
	select {
	case m.Observed <- o:
	default:
		m.dropped.Add(1)
	}
}

// Offer hands an event over without blocking. When the control thread is behind,
// the event is dropped and counted.
func (m *Mailbox[C, E, O]) Offer(ev E) {
	select {
	case m.Events <- ev:
	default:
		m.dropped.Add(1)
	}
}

// Dropped returns how many observations and events were dropped.
func (m *Mailbox[C, E, O]) Dropped() int64 { return m.dropped.Load() }

// Send hands an event over. It gives up when ctx ends.
func (m *Mailbox[C, E, O]) Send(ctx context.Context, ev E) {
	select {
	case m.Events <- ev:
	case <-ctx.Done():
	}
}

// Call runs f on the control thread and waits for its end.
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

// Batch gathers the observations that already wait behind the first.
func (m *Mailbox[C, E, O]) Batch(first O) []O {
	list := []O{first}
	for len(list) < m.batch {
		select {
		case o := <-m.Observed:
			list = append(list, o)
		default:
			return list
		}
	}
	return list
}
