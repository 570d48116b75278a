package caller

import (
	"context"
	"sync"
	"time"
)

// QueueLimits bound an AdmissionQueue.
type QueueLimits struct {
	// Length is the maximum number of queued requests.
	Length int
	// Wait is the maximum time that a request is queued.
	Wait time.Duration
}

// AdmissionRequest is a request that asks an AdmissionQueue for a slot.
type AdmissionRequest struct {
	Account string
	// Now is the time of the call of Acquire.
	Now time.Time
	// Deadline is when the caller stops waiting for its response.
	Deadline time.Time
	Limits   QueueLimits
	// TryAcquire tries to take a slot without blocking. While the request is
	// queued, other goroutines may call it, with the queue's lock held.
	TryAcquire func() bool
}

// RefusalReason is why an AdmissionQueue refused a request.
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
	// NotAccepted means that each target has asked for no request at present.
	NotAccepted
)

var reasonTexts = [...]string{
	QueueFull:    "no target has a free slot and the queue is full",
	QueueTooSlow: "no target has a free slot and the queue is too slow",
	Displaced:    "no target has a free slot and the account's share of the queue is used up",
	NotAccepted:  "every target has asked for fewer requests",
}

// Refusal is the error of a request that was refused before it was sent, for lack of a slot. The
// request was not run.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the estimated wait for a slot; 0 if it is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return reasonTexts[r.Reason]
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	request  AdmissionRequest
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

// AdmissionQueue admits the requests of one service on one host: at once while slots
// are free, and otherwise from a bounded queue. The queue serves the accounts
// round-robin, so that an account that floods the service delays only itself. A freed
// slot is given to a queued request by the goroutine that frees it. AdmissionQueue is
// safe for concurrent use.
type AdmissionQueue struct {
	// mu guards the fields below. Methods that don't lock mu expect the caller to hold
	// it.
	mu sync.Mutex
	// queues holds a queue for each account with queued requests. The first is
	// served next.
	queues []*accountQueue
	// queuedCount is the number of requests in all queues.
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
// over. After success the slot must be freed with Release. An error is always a
// *Refusal and means that no slot is held.
func (a *AdmissionQueue) Acquire(ctx context.Context, request AdmissionRequest) error {
	r, refusal := a.acquireOrQueue(request)
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
		a.abandon(r)
	}
	if r.refusal != nil {
		return r.refusal
	}
	return nil
}

// acquireOrQueue takes a slot or else queues the request. The queued request is nil if
// it took a slot or refused the request.
func (a *AdmissionQueue) acquireOrQueue(request AdmissionRequest) (*queuedRequest, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queuedCount == 0 && a.tryAcquire(request) {
		return nil, nil
	}
	r := &queuedRequest{request: request, enqueued: request.Now, done: make(chan struct{})}
	if wait := a.expectedWait(request.Account); request.Now.Add(wait).After(r.waitDeadline()) {
		return nil, &Refusal{Reason: QueueTooSlow, RetryAfter: wait}
	}
	if a.queuedCount >= request.Limits.Length && !a.displaceFor(request.Account) {
		return nil, &Refusal{Reason: QueueFull, RetryAfter: a.expectedWait(request.Account)}
	}
	q := a.queueOf(request.Account)
	q.requests = append(q.requests, r)
	a.queuedCount++
	a.grantSlotsLocked(request.Now)
	return r, nil
}

// waitDeadline returns when the request stops waiting for a slot.
func (r *queuedRequest) waitDeadline() time.Time {
	latest := r.enqueued.Add(r.request.Limits.Wait)
	if r.request.Deadline.Before(latest) {
		return r.request.Deadline
	}
	return latest
}

// tryAcquire takes a slot for a request if one is free.
func (a *AdmissionQueue) tryAcquire(request AdmissionRequest) bool {
	if a.limiter.atLimit(a.inFlight) || !request.TryAcquire() {
		a.limiter.lastSaturated = request.Now
		return false
	}
	a.inFlight++
	return true
}

// expectedWait estimates how long a new request of an account would wait. Accounts are
// served round-robin. If this account has n queued requests, at most n+1 requests of
// each other account are served before the new one; further ones don't delay it.
func (a *AdmissionQueue) expectedWait(account string) time.Duration {
	own := 0
	for _, q := range a.queues {
		if q.account == account {
			own = len(q.requests)
		}
	}
	ahead := own
	for _, q := range a.queues {
		if q.account != account {
			ahead += min(len(q.requests), own+1)
		}
	}
	return a.averageHold * time.Duration(ahead) / time.Duration(max(1, a.inFlight))
}

// displaceFor makes room for a request of the given account: it refuses the newest
// request of the account with the longest queue. It does nothing and returns false
// unless that queue has at least two requests more than the given account's.
func (a *AdmissionQueue) displaceFor(account string) bool {
	longest, own := &accountQueue{}, 0
	for _, q := range a.queues {
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
	a.refuse(newest, Displaced)
	return true
}

// queueOf returns the queue of an account, and adds it if there is none.
func (a *AdmissionQueue) queueOf(account string) *accountQueue {
	for _, q := range a.queues {
		if q.account == account {
			return q
		}
	}
	q := &accountQueue{account: account}
	a.queues = append(a.queues, q)
	return q
}

// abandon refuses a request that stopped waiting, unless it has got a slot or was
// refused meanwhile.
func (a *AdmissionQueue) abandon(r *queuedRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-r.done:
	default:
		a.refuse(r, QueueTooSlow)
	}
}

// refuse refuses a queued request and wakes its goroutine.
func (a *AdmissionQueue) refuse(r *queuedRequest, reason RefusalReason) {
	r.refusal = &Refusal{Reason: reason, RetryAfter: a.expectedWait(r.request.Account)}
	a.remove(r)
}

// remove removes a request from its account's queue and wakes its goroutine.
func (a *AdmissionQueue) remove(r *queuedRequest) {
	for i, q := range a.queues {
		if q.account != r.request.Account {
			continue
		}
		for j, other := range q.requests {
			if other == r {
				q.requests = append(q.requests[:j], q.requests[j+1:]...)
				break
			}
		}
		if len(q.requests) == 0 {
			a.queues = append(a.queues[:i], a.queues[i+1:]...)
		}
		break
	}
	a.queuedCount--
	close(r.done)
}

// Release frees a slot and gives it to a queued request. held is how long the slot
// was held.
func (a *AdmissionQueue) Release(now time.Time, held time.Duration, outcome SlotOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.observe(now, a.inFlight, a.averageHold, held, outcome)
	a.inFlight--
	a.holdDeviation += ((held - a.averageHold).Abs() - a.holdDeviation) / holdAverageRequests
	a.averageHold += (held - a.averageHold) / holdAverageRequests
	a.grantSlotsLocked(now)
}

const (
	// holdAverageRequests is the length of the moving averages of the hold time, in
	// requests.
	holdAverageRequests = 16
	// holdDeviations is the number of mean deviations that are added to the average
	// hold time to get a time that most hold times don't exceed.
	holdDeviations = 2
)

// typicalMaxHold returns the time within which most requests free their slot.
func (a *AdmissionQueue) typicalMaxHold() time.Duration {
	return a.averageHold + holdDeviations*a.holdDeviation
}

// GrantSlots gives free slots to queued requests. It must be called after slots were
// added or enabled.
func (a *AdmissionQueue) GrantSlots(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantSlotsLocked(now)
}

// grantSlotsLocked gives free slots to queued requests, round-robin over the
// accounts. It refuses requests that would probably not end before their deadline.
// The caller holds mu.
func (a *AdmissionQueue) grantSlotsLocked(now time.Time) {
	// blocked is the number of consecutive accounts that got no slot.
	for blocked := 0; blocked < len(a.queues); {
		q := a.queues[0]
		r := q.requests[0]
		if now.Add(a.typicalMaxHold()).After(r.request.Deadline) {
			a.refuse(r, QueueTooSlow)
			continue
		}
		if a.tryAcquire(r.request) {
			a.remove(r)
			blocked = 0
		} else {
			blocked++
		}
		a.moveToBack(q)
	}
}

// moveToBack moves the first queue behind the others. It does nothing if q has been
// removed because it is empty.
func (a *AdmissionQueue) moveToBack(q *accountQueue) {
	if len(a.queues) == 0 || a.queues[0] != q {
		return
	}
	a.queues = append(a.queues[1:], q)
}

// Queued returns the number of requests in the queue.
func (a *AdmissionQueue) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queuedCount
}

// InFlight returns the number of slots held.
func (a *AdmissionQueue) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}
