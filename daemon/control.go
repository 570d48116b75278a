package daemon

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/internal/mailbox"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/timeline"
)

// Capacities of the queues into the control thread.
const (
	eventQueue       = 1024
	observationQueue = 8192
	observationBatch = 512
)

// observationPause is the least time between two batches of observations.
// Waking the control thread costs more than handling an observation.
const observationPause = 10 * time.Millisecond

// control is the control thread: the one goroutine, on an OS thread of its
// own, that owns all control state of the process.
type control struct {
	mailbox.Mailbox[*host.Core, host.Event, link.Observation]
	core     *host.Core
	snapshot atomic.Pointer[host.Snapshot]
	ring     *timeline.Ring
	// endings are kept apart from events, so that a flood of them holds up
	// nothing else.
	endings chan host.RequestEnded
	// endedLimit and unknownLimit bound the rate of endings.
	endedLimit, unknownLimit *rate.Limiter
	// published holds a token after a snapshot was published.
	published chan struct{}
	// unrecorded counts ended requests that are not on the time line, because
	// there were too many or the control thread was behind.
	unrecorded atomic.Int64
	effects    effector
}

// effector carries out the effects that need I/O. Its methods return at once
// and send the answer back as an event.
type effector interface {
	readConfiguration(host.ReadConfiguration)
	fetchChanges(host.FetchChanges)
	sendPing(host.SendPing)
	sendIndirectPing(host.SendIndirectPing)
	sendSync(host.SendSync)
	sendReports(host.SendReports)
	sendProbe(host.SendProbe)
	readHostList()
	recorded(timeline.Event)
}

func newControl(core *host.Core, ring *timeline.Ring) *control {
	c := &control{
		Mailbox: mailbox.New[*host.Core, host.Event, link.Observation](mailbox.Sizes{
			Events: eventQueue, Observations: observationQueue, Batch: observationBatch,
		}),
		core:      core,
		ring:      ring,
		endings:   make(chan host.RequestEnded, endedBurst),
		published: make(chan struct{}, 1),

		endedLimit:   rate.NewLimiter(endedRate, endedBurst),
		unknownLimit: rate.NewLimiter(endedRate, endedBurst),
	}
	// Traffic and the API may ask before the control thread runs.
	c.snapshot.Store(core.Snapshot())
	return c
}

// endedRate and endedBurst bound the ends of requests on the time line, in
// events a second. Unknown outcomes have the same again for themselves.
const (
	endedRate  = 20
	endedBurst = 200
)

// ended hands the end of a request over without blocking. When there are too
// many, or the control thread is behind, the event is dropped and counted.
func (c *control) ended(e host.RequestEnded) {
	limit := c.endedLimit
	if e.Result == caller.Unknown {
		limit = c.unknownLimit
	}
	if !limit.Allow() {
		c.unrecorded.Add(1)
		return
	}
	select {
	case c.endings <- e:
	default:
		c.unrecorded.Add(1)
	}
}

// wantSigns asks for the signs of a service without blocking. When the control
// thread is behind, the request that needs them waits in vain.
func (c *control) wantSigns(service string) {
	select {
	case c.Events <- host.LeaveSignalsRequested{Service: service}:
	default:
	}
}

// announce wakes the goroutine that tells traffic of a new snapshot.
func (c *control) announce() {
	select {
	case c.published <- struct{}{}:
	default:
	}
}

// deliver hands an event over and waits until it is handled.
func (c *control) deliver(ctx context.Context, ev host.Event) error {
	return c.Call(ctx, func(*host.Core) { c.handle(ev) })
}

// run is the control thread.
func (c *control) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	ticker := time.NewTicker(host.TickInterval)
	defer ticker.Stop()
	c.handle(host.Tick{})
	observed := c.Observed
	pause := time.NewTimer(observationPause)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.handle(host.Tick{})
		case ev := <-c.Events:
			c.handle(ev)
		case ev := <-c.endings:
			c.handle(ev)
		case f := <-c.Calls:
			f(c.core)
		case o := <-observed:
			c.handle(host.Observed{Observations: c.Batch(o)})
			// Receiving from nil waits for ever.
			observed = nil
			pause.Reset(observationPause)
		case <-pause.C:
			observed = c.Observed
		}
	}
}

func (c *control) handle(ev host.Event) {
	for _, e := range c.core.Handle(time.Now(), ev) {
		switch e := e.(type) {
		case host.Publish:
			c.snapshot.Store(e.Snapshot)
			c.announce()
		case host.ReadConfiguration:
			c.effects.readConfiguration(e)
		case host.FetchChanges:
			c.effects.fetchChanges(e)
		case host.SendPing:
			c.effects.sendPing(e)
		case host.SendIndirectPing:
			c.effects.sendIndirectPing(e)
		case host.SendReports:
			c.effects.sendReports(e)
		case host.SendProbe:
			c.effects.sendProbe(e)
		case host.SendSync:
			c.effects.sendSync(e)
		case host.ReadHostList:
			c.effects.readHostList()
		case host.Record:
			c.ring.Add(e.Event)
			c.effects.recorded(e.Event)
		}
	}
}
