package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/timeline"
)

// Capacities of the queues into the control thread.
const (
	eventQueue       = 1024
	observationQueue = 4096
	observationBatch = 256
)

// control is the control thread: the one goroutine that owns all control state
// of the process.
type control struct {
	core     *fleet.Core
	snapshot atomic.Pointer[fleet.Snapshot]
	events   chan fleet.Event
	calls    chan func(*fleet.Core)
	observed chan fleet.Observation
	// begun holds a token after requests have begun.
	begun chan struct{}
	// dropped counts observations and datagrams that did not fit a queue.
	dropped atomic.Int64
	effects effector
}

// effector carries out the effects of the core. Its methods return at once and
// send the answer back as an event.
type effector interface {
	send(fleet.Send)
	readTargets(fleet.ReadTargets)
	readConfiguration(fleet.ReadConfiguration)
	readPeers()
	register(fleet.Register)
	fetch(fleet.Fetch)
	record(timeline.Event)
}

func newControl(core *fleet.Core, effects effector) *control {
	c := &control{
		core:     core,
		events:   make(chan fleet.Event, eventQueue),
		calls:    make(chan func(*fleet.Core)),
		observed: make(chan fleet.Observation, observationQueue),
		begun:    make(chan struct{}, 1),
		effects:  effects,
	}
	c.snapshot.Store(core.Snapshot())
	return c
}

// observe hands an observation over without blocking.
func (c *control) observe(o fleet.Observation) {
	select {
	case c.observed <- o:
	default:
		c.dropped.Add(1)
	}
}

// started tells that a request has begun, without blocking.
func (c *control) started() {
	select {
	case c.begun <- struct{}{}:
	default:
	}
}

// offer hands an event over unless the queue is full.
func (c *control) offer(ev fleet.Event) {
	select {
	case c.events <- ev:
	default:
		c.dropped.Add(1)
	}
}

// send hands an event over. It gives up when the control thread has stopped.
func (c *control) send(ctx context.Context, ev fleet.Event) {
	select {
	case c.events <- ev:
	case <-ctx.Done():
	}
}

// call runs f on the control thread and waits for its end.
func (c *control) call(ctx context.Context, f func(*fleet.Core)) error {
	done := make(chan struct{})
	select {
	case c.calls <- func(core *fleet.Core) { f(core); close(done) }:
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

// run is the control thread.
func (c *control) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			c.handle(fleet.Tick{})
		case ev := <-c.events:
			c.handle(ev)
		case f := <-c.calls:
			f(c.core)
		case o := <-c.observed:
			c.handle(fleet.Observed{Observations: c.batch(o)})
		case <-c.begun:
			c.handle(fleet.Started{})
		}
		timer.Reset(time.Until(c.core.Wake()))
	}
}

// batch gathers the observations that already wait behind the first.
func (c *control) batch(first fleet.Observation) []fleet.Observation {
	list := []fleet.Observation{first}
	for len(list) < observationBatch {
		select {
		case o := <-c.observed:
			list = append(list, o)
		default:
			return list
		}
	}
	return list
}

func (c *control) handle(ev fleet.Event) {
	for _, e := range c.core.Handle(time.Now(), ev) {
		switch e := e.(type) {
		case fleet.Publish:
			c.snapshot.Store(e.Snapshot)
		case fleet.Send:
			c.effects.send(e)
		case fleet.ReadTargets:
			c.effects.readTargets(e)
		case fleet.ReadConfiguration:
			c.effects.readConfiguration(e)
		case fleet.ReadPeers:
			c.effects.readPeers()
		case fleet.Register:
			c.effects.register(e)
		case fleet.Fetch:
			c.effects.fetch(e)
		case fleet.Record:
			c.effects.record(e.Event)
		}
	}
}
