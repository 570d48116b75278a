package caller

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// QueueLimits bound the queue of a Gate.
type QueueLimits struct {
	// Length is the maximum number of queued requests.
	Length int
	// Wait is the maximum time that a request is queued.
	Wait time.Duration
}

// AdmissionRequest is a request that asks a Gate for a slot.
type AdmissionRequest struct {
	Account string
	// Now is the time of the call of Enter.
	Now time.Time
	// Deadline is when the caller stops waiting for its response.
	Deadline time.Time
	Limits   QueueLimits
	// TryAcquire tries to take a slot without blocking. While the request is queued,
	// other goroutines may call it, with the Gate's lock held.
	TryAcquire func() bool
}

// RefusalReason is why a Gate refused a request.
type RefusalReason int

// The reasons for a refusal.
const (
	// QueueFull means that the maximum number of requests is queued.
	QueueFull RefusalReason = iota
	// QueueTooSlow means that the response would come after the deadline, or
	// that the wait would be longer than allowed.
	QueueTooSlow
	// Displaced means that the request was removed from a full queue to make
	// room for one of an account with fewer queued requests.
	Displaced
)

var reasonTexts = [...]string{"the queue is full", "the queue is too slow", "the account's share of the queue is used up"}

// Refusal is the error of a request that a Gate refused. The request was not run.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the estimated wait for a slot.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no target has a free slot and %s", reasonTexts[r.Reason])
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	entry    AdmissionRequest
	enqueued time.Time
	// done is closed once the request has a slot or is refused.
	done chan struct{}
	// refusal is nil if the request got a slot. It is set before done is closed.
	refusal *Refusal
}

// accountQueue holds the queued requests of one account, oldest first.
type accountQueue struct {
	account  string
	requests []*queuedRequest
}

// AdmissionQueue admits the requests of one service on one host: at once while slots are
// free, and else from a bounded queue. The queue serves the accounts round-robin,
// so that an account that floods the service delays only itself. A freed slot is
// given to a queued request by the goroutine that frees it. Gate is safe for
// concurrent use.
type AdmissionQueue struct {
	// mu guards the fields below. The methods that don't lock it are called with
	// it held.
	mu sync.Mutex
	// queues holds a queue for each account with queued requests. The first is
	// served next.
	queues []*accountQueue
	// queued is the number of requests in all queues.
	queuedCount int
	// inFlight is the number of slots held.
	inFlight int
	// averageHold is the moving average of the time that a slot is held, and
	// holdDeviation the moving average of the absolute deviation from it.
	averageHold, holdDeviation time.Duration
	// limiter adapts how many slots may be used at the same time.
	limiter concurrencyLimiter
}

// Acquire waits for a slot until ctx ends, the deadline passes or the maximum wait is
// over. Its error is always a *Refusal, in which case no slot is held. A slot must
// be freed with Leave.
func (g *AdmissionQueue) Acquire(ctx context.Context, e AdmissionRequest) error {
	r, refusal := g.acquireOrQueue(e)
	if refusal != nil {
		return refusal
	}
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.waitDeadline())
	defer cancel()
	select {
	case <-r.done:
	case <-ctx.Done():
		g.abandon(r)
	}
	if r.refusal != nil {
		return r.refusal
	}
	return nil
}

// acquireOrQueue takes a slot or else queues the request. The result is nil when it
// took a slot.
func (g *AdmissionQueue) acquireOrQueue(e AdmissionRequest) (*queuedRequest, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queuedCount == 0 && g.tryAcquire(e) {
		return nil, nil
	}
	r := &queuedRequest{entry: e, enqueued: e.Now, done: make(chan struct{})}
	if wait := g.expectedWait(e.Account); e.Now.Add(wait).After(r.waitDeadline()) {
		return nil, &Refusal{Reason: QueueTooSlow, RetryAfter: wait}
	}
	if g.queuedCount >= e.Limits.Length && !g.displaceFor(e.Account) {
		return nil, &Refusal{Reason: QueueFull, RetryAfter: g.expectedWait(e.Account)}
	}
	q := g.queueOf(e.Account)
	q.requests = append(q.requests, r)
	g.queuedCount++
	g.grantSlotsLocked(e.Now)
	return r, nil
}

// waitDeadline returns when the request stops waiting for a slot.
func (r *queuedRequest) waitDeadline() time.Time {
	latest := r.enqueued.Add(r.entry.Limits.Wait)
	if r.entry.Deadline.Before(latest) {
		return r.entry.Deadline
	}
	return latest
}

// tryAcquire takes a slot for a request if one is free.
func (g *AdmissionQueue) tryAcquire(e AdmissionRequest) bool {
	if g.limiter.atLimit(g.inFlight) || !e.TryAcquire() {
		g.limiter.lastSaturated = e.Now
		return false
	}
	g.inFlight++
	return true
}

// expectedWait estimates how long a new request of an account would wait. Since
// accounts are served round-robin, each other account is served at most as many
// requests before it as this account has queued, plus one; the rest of the other
// account's requests don't delay it.
func (g *AdmissionQueue) expectedWait(account string) time.Duration {
	own := 0
	for _, q := range g.queues {
		if q.account == account {
			own = len(q.requests)
		}
	}
	ahead := own
	for _, q := range g.queues {
		if q.account != account {
			ahead += min(len(q.requests), own+1)
		}
	}
	return g.averageHold * time.Duration(ahead) / time.Duration(max(1, g.inFlight))
}

// displaceFor makes room for a request of the given account: it refuses the newest
// request of the account with the longest queue. It does nothing and returns false
// unless that queue has at least two requests more than the given account's.
func (g *AdmissionQueue) displaceFor(account string) bool {
	longest, own := &accountQueue{}, 0
	for _, q := range g.queues {
		if q.account == account {
			own = len(q.requests)
		}
		if len(q.requests) > len(longest.requests) {
			longest = q
		}
	}
	if len(longest.requests) <= own+1 {
		return false
	}
	newest := longest.requests[len(longest.requests)-1]
	g.refuse(newest, Displaced)
	return true
}

// queueOf returns the queue of an account, and adds it if there is none.
func (g *AdmissionQueue) queueOf(account string) *accountQueue {
	for _, q := range g.queues {
		if q.account == account {
			return q
		}
	}
	q := &accountQueue{account: account}
	g.queues = append(g.queues, q)
	return q
}

// abandon refuses a request that stopped waiting, unless it has got a slot or was
// refused meanwhile.
func (g *AdmissionQueue) abandon(r *queuedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-r.done:
	default:
		g.refuse(r, QueueTooSlow)
	}
}

// refuse refuses a queued request and wakes its goroutine.
func (g *AdmissionQueue) refuse(r *queuedRequest, reason RefusalReason) {
	r.refusal = &Refusal{Reason: reason, RetryAfter: g.expectedWait(r.entry.Account)}
	g.remove(r)
}

// remove removes a request from its account's queue and wakes its goroutine.
func (g *AdmissionQueue) remove(r *queuedRequest) {
	for i, q := range g.queues {
		if q.account != r.entry.Account {
			continue
		}
		for j, other := range q.requests {
			if other == r {
				q.requests = append(q.requests[:j], q.requests[j+1:]...)
				break
			}
		}
		if len(q.requests) == 0 {
			g.queues = append(g.queues[:i], g.queues[i+1:]...)
		}
		break
	}
	g.queuedCount--
	close(r.done)
}

// Release frees a slot and gives it to a queued request. held is how long the slot
// was held.
func (g *AdmissionQueue) Release(now time.Time, held time.Duration, end SlotOutcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.observe(now, g.inFlight, g.averageHold, held, end)
	g.inFlight--
	g.holdDeviation += ((held - g.averageHold).Abs() - g.holdDeviation) / holdAverageRequests
	g.averageHold += (held - g.averageHold) / holdAverageRequests
	g.grantSlotsLocked(now)
}

const (
	// holdAverageRequests is the number of requests over which the moving
	// averages of the hold time extend.
	holdAverageRequests = 16
	// holdDeviations is the number of mean deviations above the average below
	// which the hold times of most requests lie.
	holdDeviations = 2
)

// typicalMaxHold returns the time within which most requests free their slot.
func (g *AdmissionQueue) typicalMaxHold() time.Duration {
	return g.averageHold + holdDeviations*g.holdDeviation
}

// GrantSlots gives free slots to queued requests. It is to be called after slots were
// added or enabled.
func (g *AdmissionQueue) GrantSlots(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantSlotsLocked(now)
}

// grantSlots gives free slots to queued requests, round-robin over the accounts. It
// refuses requests that would probably not end before their deadline.
func (g *AdmissionQueue) grantSlotsLocked(now time.Time) {
	// blocked counts the accounts in a row that got no slot.
	for blocked := 0; blocked < len(g.queues); {
		q := g.queues[0]
		r := q.requests[0]
		if now.Add(g.typicalMaxHold()).After(r.entry.Deadline) {
			g.refuse(r, QueueTooSlow)
			continue
		}
		if g.tryAcquire(r.entry) {
			g.remove(r)
			blocked = 0
		} else {
			blocked++
		}
		g.moveToBack(q)
	}
}

// moveToBack moves the first queue behind the others. It does nothing if q has been
// removed because it is empty.
func (g *AdmissionQueue) moveToBack(q *accountQueue) {
	if len(g.queues) == 0 || g.queues[0] != q {
		return
	}
	g.queues = append(g.queues[1:], q)
}

// Queued returns the number of requests in the queue.
func (g *AdmissionQueue) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queuedCount
}

// InFlight returns the number of slots held.
func (g *AdmissionQueue) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}
