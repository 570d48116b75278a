package traffic

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
)

// maxWaiting is the number of requests of a service that may wait at one host. Their bodies count
// against the memory for bodies.
const maxWaiting = 128

// serviceQueue holds the requests of a service that wait at this host.
type serviceQueue struct {
	service string
	queue   *caller.AdmissionQueue
	// publishing orders the publications of the counts of waiting requests.
	publishing sync.Mutex
}

// waitingRequests holds the requests of all services that wait for a free slot. They are looked
// through when a request of this host ends, when a report of another host has arrived, and at an
// interval while any of them waits.
type waitingRequests struct {
	// queues maps the name of a service to its *serviceQueue.
	queues sync.Map
	// count is the number of waiting requests of all services.
	count atomic.Int64
	// news holds a token if the control thread has news for waiting requests.
	news chan struct{}
	// mu guards running, which is set while a goroutine looks through the queues.
	mu      sync.Mutex
	running bool
}

// Intervals of looking through the queues. Reports arrive up to some hundred times a second; a look
// at 100 targets and 128 waiting requests takes tens of microseconds.
const (
	reviewInterval    = 20 * time.Millisecond
	minReviewInterval = 10 * time.Millisecond
)

// ReportsArrived tells waiting requests that the control thread has news of the targets' slots. It
// does not block.
func (g *Gateway) ReportsArrived() {
	if g.waiting.count.Load() == 0 {
		return
	}
	select {
	case g.waiting.news <- struct{}{}:
	default:
	}
}

// serviceQueue returns the queue of a service and creates it on the first call.
func (g *Gateway) serviceQueue(service string) *serviceQueue {
	if q, ok := g.waiting.queues.Load(service); ok {
		return q.(*serviceQueue)
	}
	q, _ := g.waiting.queues.LoadOrStore(service, g.newServiceQueue(service))
	return q.(*serviceQueue)
}

func (g *Gateway) newServiceQueue(service string) *serviceQueue {
	return &serviceQueue{
		service: service,
		queue: caller.NewAdmissionQueue(caller.Policy{
			Order:   caller.CostOfDelay,
			Outlook: func(now time.Time) caller.Outlook { return g.outlook(service, now) },
			Random:  random.Float64,
		}),
	}
}

// outlook returns the outlook of a service. A request has nothing to wait for if the service is gone,
// has no trusted target, or has become so fast that new requests do not wait.
func (g *Gateway) outlook(service string, now time.Time) caller.Outlook {
	snap := g.cfg.Snapshot()
	routing := snap.Services[service]
	if routing == nil {
		return caller.Outlook{Room: math.MaxInt32}
	}
	o := routing.Outlook(now, pool.Overcommit)
	o.Hosts = snap.LiveHosts
	if !routing.Queues(now) {
		// Without a trusted target, requests are sent to suspects; with throttled ones only, they wait.
		if _, ok := routing.ExpectedWait(now); ok {
			o.Room = math.MaxInt32
		}
	}
	return o
}

// acquire waits for a slot of a trusted target and chooses the target. Without an error, the
// request must be sent to it, unless it is nil because the service is gone.
func (q *serviceQueue) acquire(ctx context.Context, g *Gateway, req *gatewayRequest) (choice pool.Choice, err error) {
	now := time.Now()
	w, refused := q.queue.Offer(caller.AdmissionRequest{
		Account: req.accountName(), Now: now, Deadline: req.deadline,
		Limits:    caller.QueueLimits{Length: maxWaiting, Wait: req.deadline.Sub(now)},
		Objective: req.route.Objective, Priority: req.priority(), Late: req.late,
		SendBy: func() time.Time { return g.shutdown.sendBy(req.service, req.deadline) },
		TryAcquire: func() (ok bool) {
			choice, ok = g.pickFree(req)
			return ok
		},
	})
	if refused != nil {
		return choice, refused
	}
	select {
	case <-w.Done():
	default:
		defer g.waits(q)()
	}
	if err := q.queue.Wait(ctx, w); err != nil {
		return choice, err
	}
	if choice.Target != nil && ctx.Err() == nil {
		return choice, nil
	}
	q.free(choice)
	return choice, ctx.Err()
}

// free frees the slot of a request that is not sent.
func (q *serviceQueue) free(choice pool.Choice) {
	if choice.Target != nil {
		choice.Target.End()
	}
	q.queue.Release(time.Now(), 0, caller.SlotAccepted)
}

// freeSlot frees the slot that the request waited for, if it holds one.
func (d *dispatcher) freeSlot() {
	if d.slot != nil {
		d.slot.free(d.first)
		d.slot = nil
	}
}

// pickFree chooses a target with a free slot, if there is one. It also succeeds without a target if
// the service is gone.
func (g *Gateway) pickFree(req *gatewayRequest) (pool.Choice, bool) {
	snap := g.cfg.Snapshot()
	routing := snap.Services[req.service]
	if routing == nil || g.outdated(snap) {
		return pool.Choice{}, true
	}
	request := g.pickRequest(req, nil)
	request.NeedsRoom, request.Overcommit = routing.Queues(request.Now), pool.Overcommit
	choice := routing.Pick(random, request)
	return choice, choice.Target != nil
}

// waits counts a request that waits in a queue, and makes sure that the queues are looked through.
// The returned function must be called once it no longer waits.
func (g *Gateway) waits(q *serviceQueue) (done func()) {
	g.counters.Waited.Add(1)
	g.waiting.count.Add(1)
	g.publishWaiting(q)
	g.waiting.mu.Lock()
	if !g.waiting.running {
		g.waiting.running = true
		go g.reviewQueues()
	}
	g.waiting.mu.Unlock()
	return func() {
		g.waiting.count.Add(-1)
		g.publishWaiting(q)
	}
}

// publishWaiting tells the control thread how many requests wait in a queue, for the other hosts.
func (g *Gateway) publishWaiting(q *serviceQueue) {
	routing := g.cfg.Snapshot().Services[q.service]
	if routing == nil {
		return
	}
	q.publishing.Lock()
	counts, _ := q.queue.Waiting(time.Now())
	changed := routing.SetWaiting(counts)
	q.publishing.Unlock()
	if changed {
		g.cfg.AttemptStarted()
	}
}

// reviewQueues gives free slots to waiting requests and refuses those that wait in vain, until none
// waits.
func (g *Gateway) reviewQueues() {
	timer := time.NewTimer(reviewInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-g.waiting.news:
			time.Sleep(minReviewInterval)
		}
		g.waiting.mu.Lock()
		if g.waiting.count.Load() == 0 {
			g.waiting.running = false
			g.waiting.mu.Unlock()
			return
		}
		g.waiting.mu.Unlock()
		g.waiting.queues.Range(func(_, value any) bool {
			if q := value.(*serviceQueue); q.queue.Queued() > 0 {
				q.queue.GrantSlots(time.Now())
				g.publishWaiting(q)
			}
			return true
		})
		timer.Reset(reviewInterval)
	}
}

// slotFreed gives the slot of an attempt that has ended to a waiting request.
func (g *Gateway) slotFreed(a *gatewayAttempt, now time.Time) {
	if a.slot == nil {
		g.ReportsArrived()
		return
	}
	if a.outcome == link.Refused {
		g.counters.Collisions.Add(1)
	}
	a.slot.queue.Release(now, now.Sub(a.startedAt), caller.SlotAccepted)
}

// Waiting calls observe for each service and class with the number of waiting requests, and for each
// service with the time that the oldest has waited.
func (g *Gateway) Waiting(observe func(service string, counts pool.Waiting, oldest time.Duration)) {
	g.waiting.queues.Range(func(_, value any) bool {
		q := value.(*serviceQueue)
		counts, oldest := q.queue.Waiting(time.Now())
		observe(q.service, counts, oldest)
		return true
	})
}

// admit decides whether the request may be sent, and waits for a free slot if requests wait for those
// of the service. It returns the refusal of a request that must not be sent.
func (d *dispatcher) admit(snap *fleet.Snapshot) *refusal {
	g, req := d.gateway, d.request
	routing := snap.Services[req.service]
	if routing == nil {
		return nil
	}
	if !g.cfg.QueueRequests || !routing.Queues(time.Now()) {
		if !routing.Admit(req.demand()) {
			return req.refuseOverload(routing)
		}
		return nil
	}
	q := g.serviceQueue(req.service)
	choice, err := q.acquire(d.ctx, g, req)
	if err == nil {
		d.first, d.slot = choice, q
		return nil
	}
	return g.refuseWaiting(err)
}

// refuseWaiting returns the refusal of a request that got no slot.
func (g *Gateway) refuseWaiting(err error) *refusal {
	var queueRefusal *caller.Refusal
	if !errors.As(err, &queueRefusal) {
		return refuseFor(defaultRetryAfter, err.Error())
	}
	g.counters.RefusedWaiting[queueRefusal.Reason].Add(1)
	if queueRefusal.Reason == caller.HostStops {
		return refuseShutdown()
	}
	r := refuseFor(caller.SpreadRetryAfter(max(queueRefusal.RetryAfter, defaultRetryAfter), random), err.Error())
	r.wait, r.ahead = queueRefusal.Wait, queueRefusal.Ahead
	return r
}

// accountName returns the name of the request's account; empty without one.
func (req *gatewayRequest) accountName() string {
	if req.account == nil {
		return ""
	}
	return req.account.Name
}
