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

// Capacities of the control thread's queues, and the maximum number of observations
// handled in one batch.
const (
	eventQueueSize       = 1024
	observationQueueSize = 8192
	observationBatchSize = 512
)

// observationBatchInterval is the minimum time between two batches of
// observations. Batching saves CPU time, because waking the control thread costs
// more than handling an observation.
const observationBatchInterval = 10 * time.Millisecond

// controlThread is a single goroutine, locked to its own OS thread, that owns all
// control state of the process.
type controlThread struct {
	mailbox.Mailbox[*host.Core, host.Event, link.Observation]
	core     *host.Core
	snapshot atomic.Pointer[host.Snapshot]
	ring     *timeline.Ring
	// requestEnds is separate from the event queue, so that a flood of ended
	// requests doesn't delay other events.
	requestEnds chan host.RequestEnded
	// requestEndLimiter limits the rate of ended requests on the timeline, except
	// those with an unknown outcome, which unknownOutcomeLimiter limits.
	requestEndLimiter, unknownOutcomeLimiter *rate.Limiter
	// snapshotPublished receives a value when a snapshot is published. Its buffer
	// of one merges notifications that have not been received yet.
	snapshotPublished chan struct{}
	// unrecordedRequests counts ended requests left off the timeline because of
	// the rate limit or because the control thread was behind.
	unrecordedRequests atomic.Int64
	executor           effectExecutor
}

// effectExecutor performs the effects that need I/O. Its methods return
// immediately and send the result back to the control thread as an event.
type effectExecutor interface {
	readConfiguration(host.ReadConfiguration)
	fetchChanges(host.FetchChanges)
	sendPing(host.SendPing)
	sendIndirectPing(host.SendIndirectPing)
	sendSync(host.SendSync)
	sendReports(host.SendReports)
	sendProbe(host.SendProbe)
	readHostList()
	eventRecorded(timeline.Event)
}

func newControlThread(core *host.Core, ring *timeline.Ring) *controlThread {
	c := &controlThread{
		Mailbox: mailbox.New[*host.Core, host.Event, link.Observation](mailbox.Sizes{
			Events: eventQueueSize, Observations: observationQueueSize, Batch: observationBatchSize,
		}),
		core:              core,
		ring:              ring,
		requestEnds:       make(chan host.RequestEnded, requestEndBurst),
		snapshotPublished: make(chan struct{}, 1),

		requestEndLimiter:     rate.NewLimiter(requestEndRate, requestEndBurst),
		unknownOutcomeLimiter: rate.NewLimiter(requestEndRate, requestEndBurst),
	}
	// Traffic and the API may load the snapshot before the control thread runs.
	c.snapshot.Store(core.Snapshot())
	return c
}

// requestEndRate, in events per second, and requestEndBurst limit the ended
// requests on the timeline. Requests with an unknown outcome have a separate limit
// of the same size.
const (
	requestEndRate  = 20
	requestEndBurst = 200
)

// recordRequestEnd queues an ended request for the timeline without blocking. The
// event is dropped and counted when the rate limit is exceeded or the control
// thread is behind.
func (c *controlThread) recordRequestEnd(e host.RequestEnded) {
	limiter := c.requestEndLimiter
	if e.Result == caller.Unknown {
		limiter = c.unknownOutcomeLimiter
	}
	if !limiter.Allow() {
		c.unrecordedRequests.Add(1)
		return
	}
	select {
	case c.requestEnds <- e:
	default:
		c.unrecordedRequests.Add(1)
	}
}

// requestLeaveSignals asks the control thread, without blocking, to fetch the
// leave signals of a service's targets. When the event queue is full, the call has
// no effect, and the caller's request that needs the signals waits until its timeout.
func (c *controlThread) requestLeaveSignals(service string) {
	select {
	case c.Events <- host.LeaveSignalsRequested{Service: service}:
	default:
	}
}

// notifySnapshotPublished wakes the goroutine that notifies traffic of a new
// snapshot.
func (c *controlThread) notifySnapshotPublished() {
	select {
	case c.snapshotPublished <- struct{}{}:
	default:
	}
}

// sendAndWait sends an event to the control thread and waits until it is handled.
func (c *controlThread) sendAndWait(ctx context.Context, ev host.Event) error {
	return c.Call(ctx, func(*host.Core) { c.handle(ev) })
}

// run is the loop of the control thread. It returns when ctx ends.
func (c *controlThread) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	ticker := time.NewTicker(host.TickInterval)
	defer ticker.Stop()
	c.handle(host.Tick{})
	observations := c.Observations
	nextBatch := time.NewTimer(observationBatchInterval)
	defer nextBatch.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.handle(host.Tick{})
		case ev := <-c.Events:
			c.handle(ev)
		case ev := <-c.requestEnds:
			c.handle(ev)
		case call := <-c.Calls:
			call(c.core)
		case o := <-observations:
			c.handle(host.Observed{Observations: c.Batch(o)})
			// A nil channel blocks, which disables this case until the next batch.
			observations = nil
			nextBatch.Reset(observationBatchInterval)
		case <-nextBatch.C:
			observations = c.Observations
		}
	}
}

// handle passes an event to the core and carries out the resulting effects. It
// runs on the control thread only.
func (c *controlThread) handle(ev host.Event) {
	for _, e := range c.core.Handle(time.Now(), ev) {
		switch e := e.(type) {
		case host.Publish:
			c.snapshot.Store(e.Snapshot)
			c.notifySnapshotPublished()
		case host.ReadConfiguration:
			c.executor.readConfiguration(e)
		case host.FetchChanges:
			c.executor.fetchChanges(e)
		case host.SendPing:
			c.executor.sendPing(e)
		case host.SendIndirectPing:
			c.executor.sendIndirectPing(e)
		case host.SendReports:
			c.executor.sendReports(e)
		case host.SendProbe:
			c.executor.sendProbe(e)
		case host.SendSync:
			c.executor.sendSync(e)
		case host.ReadHostList:
			c.executor.readHostList()
		case host.Record:
			c.ring.Add(e.Event)
			c.executor.eventRecorded(e.Event)
		}
	}
}
