package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/internal/mailbox"
	"github.com/crocushinge/crocushinge/timeline"
)

// Capacities of the queues into the control thread.
const (
	eventQueue       = 1024
	observationQueue = 4096
	observationBatch = 256
)

// control is the control thread: the only goroutine that reads and changes the
// control state of the process. Other goroutines read the snapshot and hand work
// over through the mailbox.
type control struct {
	mailbox.Mailbox[*fleet.Core, fleet.Event, fleet.Observation]
	core     *fleet.Core
	snapshot atomic.Pointer[fleet.Snapshot]
	// startSignal holds a token if requests have started since the control thread last
	// received from it.
	startSignal chan struct{}
	effects     effector
}

// effector carries out the effects of the core. Its methods do not block. A result that
// the core needs is sent to the control thread as an event.
type effector interface {
	send(fleet.Send)
	readTargets(fleet.ReadTargets)
	readConfiguration(fleet.ReadConfiguration)
	readPeers()
	register(fleet.Register)
	removePeer(fleet.RemovePeer)
	fetch(fleet.Fetch)
	record(timeline.Event)
}

func newControl(core *fleet.Core, effects effector) *control {
	c := &control{
		Mailbox: mailbox.New[*fleet.Core, fleet.Event, fleet.Observation](mailbox.Sizes{
			Events: eventQueue, Observations: observationQueue, Batch: observationBatch,
		}),
		core:        core,
		startSignal: make(chan struct{}, 1),
		effects:     effects,
	}
	c.snapshot.Store(core.Snapshot())
	return c
}

// notifyStarted tells the control thread that a request has started. It never
// blocks.
func (c *control) notifyStarted() {
	select {
	case c.startSignal <- struct{}{}:
	default:
	}
}

// run is the loop of the control thread. It returns when ctx ends.
func (c *control) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			c.handle(fleet.Tick{})
		case ev := <-c.Events:
			c.handle(ev)
		case f := <-c.Calls:
			f(c.core)
		case o := <-c.Observations:
			c.handle(fleet.Observed{Observations: c.Batch(o)})
		case <-c.startSignal:
			c.handle(fleet.RequestsStarted{})
		}
		timer.Reset(time.Until(c.core.NextTick()))
	}
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
		case fleet.RemovePeer:
			c.effects.removePeer(e)
		case fleet.Fetch:
			c.effects.fetch(e)
		case fleet.Record:
			c.effects.record(e.Event)
		}
	}
}
