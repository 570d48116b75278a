package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/internal/clock"
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
	// reportsArrived tells traffic that reports of other hosts have arrived; nil for none. It does
	// not block.
	reportsArrived func()
	// lastTick is when the control thread last ran its periodic work, by clock.SinceBoot: the
	// steady clock stops while the machine is suspended.
	lastTick atomic.Int64
}

// stallThreshold is the age of the last tick above which the control thread counts as stalled.
// The bounds for leaving targets and new configurations are a few seconds.
const stallThreshold = time.Second

// stalled reports whether the control thread has not run for stallThreshold.
func (c *control) stalled() bool {
	return clock.SinceBoot()-time.Duration(c.lastTick.Load()) > stallThreshold
}

// tick runs the periodic work. steady is the time since the last tick by the steady clock.
func (c *control) tick(steady time.Duration) {
	elapsed := clock.SinceBoot() - time.Duration(c.lastTick.Load())
	c.handle(fleet.Tick{Suspended: max(0, elapsed-steady)})
	c.lastTick.Store(int64(clock.SinceBoot()))
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
	c.lastTick.Store(int64(clock.SinceBoot()))
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
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			now := time.Now()
			c.tick(now.Sub(last))
			last = now
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
	if _, ok := ev.(fleet.DatagramReceived); ok && c.reportsArrived != nil {
		defer c.reportsArrived()
	}
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
