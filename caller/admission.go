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
	// Objective, Priority and Late are used by the orders other than AccountsInTurn. Objective is
	// the latency up to which a response has its full value, priority 0 is the most urgent, and
	// Late is set when the caller had waited for longer than the objective before.
	Objective time.Duration
	Priority  int
	Late      bool
	// SendBy returns when the request must have a slot, so that this host can wait for its end;
	// the zero time unless this host shuts down. Nil stands for a host that does not. While the
	// request is queued, it is called with the queue's lock held.
	SendBy func() time.Time
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
	// WaitTooLong means that a slot would probably be free only after the objective allows.
	WaitTooLong
	// TimeTooShort means that the time left until the deadline is shorter than the service
	// typically takes.
	TimeTooShort
	// HostStops means that this host shuts down, and no slot was free early enough before that.
	HostStops
	// RefusalReasons is the number of reasons.
	RefusalReasons
)

var reasonTexts = [...]string{
	QueueFull:    "no target has a free slot and the queue is full",
	QueueTooSlow: "no target has a free slot and the queue is too slow",
	Displaced:    "no target has a free slot and the account's share of the queue is used up",
	NotAccepted:  "every target has asked for fewer requests",
	WaitTooLong:  "no target has a free slot and the expected wait is too long for the objective",
	TimeTooShort: "no target has a free slot and the time left is too short to run the request",
	HostStops:    "no target has a free slot and this host shuts down",
}

// Refusal is the error of a request that was refused before it was sent, for lack of a slot. The
// request was not run.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the estimated wait for a slot; 0 if it is not known.
	RetryAfter time.Duration
	// Wait is the expected wait for a slot, and Ahead the number of requests that would be
	// served before.
	Wait  time.Duration
	Ahead int
}

// String returns the text of the reason.
func (r RefusalReason) String() string { return reasonTexts[r] }

// Error implements error.
func (r *Refusal) Error() string {
	return reasonTexts[r.Reason]
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	request  AdmissionRequest
	enqueued time.Time
	// standing and countedLate belong to the backlog. countedLate is set once the request was
	// counted as one of LateClass.
	standing    standing
	countedLate bool
	// done is closed once the request has a slot or is refused.
	done chan struct{}
	// refusal is nil if the request got a slot. It is set before done is closed.
	refusal *Refusal
}

// backlog holds the queued requests of an AdmissionQueue and decides on their order and on which
// of them wait in vain. The lock of the queue guards it.
type backlog interface {
	add(r *queuedRequest)
	remove(r *queuedRequest)
	len() int
	// begin starts a round of grants. next returns the next request of the round, or nil at its
	// end. granted records that a request, which is not queued any more, got a slot, and blocked
	// that a queued one did not.
	begin(now time.Time)
	next(now time.Time) *queuedRequest
	granted(r *queuedRequest, now time.Time)
	blocked(r *queuedRequest)
	// eligible reports whether the request may take a slot, if one is free.
	eligible(r *queuedRequest, now time.Time) bool
	// forecast estimates the wait of a request that is queued or about to be.
	forecast(r *queuedRequest, now time.Time, p pace) Forecast
	// refuses returns why a new request must not be queued, and hopeless why a queued one must
	// not wait any longer. Both return false if it may.
	refuses(r *queuedRequest, now time.Time, p pace) (RefusalReason, bool)
	hopeless(r *queuedRequest, now time.Time, p pace) (RefusalReason, bool)
	// displaced returns the queued request that makes room in a full queue for a new one, or nil.
	displaced(r *queuedRequest) *queuedRequest
	// arrived records a new request, and released that a slot of this host was freed.
	arrived(r *queuedRequest, now time.Time)
	released()
}

// pace is how fast an AdmissionQueue's slots are freed.
type pace struct {
	averageHold, typicalMaxHold time.Duration
	inFlight                    int
}

// Forecast is the estimate of how long a request waits for a slot.
type Forecast struct {
	Wait time.Duration
	// Ahead is the number of requests that are served before.
	Ahead int
}

// AdmissionQueue admits the requests of one service on one host: at once while slots
// are free, and otherwise from a bounded queue. The zero value serves the accounts in turn,
// so that an account that floods the service delays only itself; NewAdmissionQueue sets
// another order. A freed slot is given to a queued request by the goroutine that frees it.
// AdmissionQueue is safe for concurrent use.
type AdmissionQueue struct {
	// mu guards the fields below. Methods that don't lock mu expect the caller to hold
	// it.
	mu sync.Mutex
	// queued holds the queued requests; nil until the first use of a zero AdmissionQueue.
	queued backlog
	// inFlight is the number of slots held.
	inFlight int
	// averageHold is the moving average of the time that a slot is held, and
	// holdDeviation the moving average of the absolute deviation from it.
	averageHold, holdDeviation time.Duration
	// limiter adapts how many slots may be used at the same time.
	limiter concurrencyLimiter
}

// NewAdmissionQueue returns a queue that serves requests by the given policy.
func NewAdmissionQueue(p Policy) *AdmissionQueue { return &AdmissionQueue{queued: newRanked(p)} }

// backlog returns the queued requests.
func (a *AdmissionQueue) backlog() backlog {
	if a.queued == nil {
		a.queued = &accountTurns{}
	}
	return a.queued
}

func (a *AdmissionQueue) pace() pace {
	return pace{averageHold: a.averageHold, typicalMaxHold: a.typicalMaxHold(), inFlight: a.inFlight}
}

// Acquire waits for a slot until ctx ends, the deadline passes or the maximum wait is
// over. After success the slot must be freed with Release. An error is always a
// *Refusal and means that no slot is held.
func (a *AdmissionQueue) Acquire(ctx context.Context, request AdmissionRequest) error {
	w, refusal := a.Offer(request)
	if refusal != nil {
		return refusal
	}
	return a.Wait(ctx, w)
}

// Wait waits until a request has a slot, is refused, or ctx or its wait ends. An error is always a
// *Refusal and means that no slot is held.
func (a *AdmissionQueue) Wait(ctx context.Context, w Waiter) error {
	ctx, cancel := context.WithDeadline(ctx, w.request.waitDeadline())
	defer cancel()
	select {
	case <-w.Done():
	case <-ctx.Done():
		a.abandon(w.request)
	}
	if refusal := w.Refusal(); refusal != nil {
		return refusal
	}
	return nil
}

// Waiter is a request that an AdmissionQueue has taken.
type Waiter struct{ request *queuedRequest }

// Done returns a channel that is closed once the request has a slot or is refused.
func (w Waiter) Done() <-chan struct{} { return w.request.done }

// Refusal returns nil if the request got a slot. It must be called after Done is closed.
func (w Waiter) Refusal() *Refusal { return w.request.refusal }

// Offer takes a slot for a request or else queues it. It returns a refusal if the request
// does not wait.
func (a *AdmissionQueue) Offer(request AdmissionRequest) (Waiter, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, queued := request.Now, a.backlog()
	r := &queuedRequest{request: request, enqueued: now, done: make(chan struct{})}
	queued.begin(now)
	queued.arrived(r, now)
	if r.tooLate(now) {
		return Waiter{}, a.refusal(r, HostStops, now)
	}
	if queued.len() == 0 && a.tryStart(r, now) {
		return Waiter{r}, nil
	}
	if reason, refused := queued.refuses(r, now, a.pace()); refused {
		return Waiter{}, a.refusal(r, reason, now)
	}
	if queued.len() >= request.Limits.Length {
		displaced := queued.displaced(r)
		if displaced == nil {
			return Waiter{}, a.refusal(r, QueueFull, now)
		}
		a.refuse(displaced, Displaced, now)
	}
	queued.add(r)
	a.grantSlotsLocked(now)
	return Waiter{r}, nil
}

// tryStart takes a slot for a request that is not queued, if one is free.
func (a *AdmissionQueue) tryStart(r *queuedRequest, now time.Time) bool {
	if !a.backlog().eligible(r, now) || !a.tryAcquire(r.request) {
		return false
	}
	a.backlog().granted(r, now)
	close(r.done)
	return true
}

// waitDeadline returns when the request stops waiting for a slot.
func (r *queuedRequest) waitDeadline() time.Time {
	latest := r.enqueued.Add(r.request.Limits.Wait)
	if r.request.Deadline.Before(latest) {
		return r.request.Deadline
	}
	return latest
}

// tooLate reports whether this host shuts down and a slot is of no use to the request any more. Until
// then it waits, whatever its expected wait: at another host it would lose its turn.
func (r *queuedRequest) tooLate(now time.Time) bool {
	if r.request.SendBy == nil {
		return false
	}
	by := r.request.SendBy()
	return !by.IsZero() && !now.Before(by)
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

// abandon refuses a request that stopped waiting, unless it has got a slot or was
// refused meanwhile.
func (a *AdmissionQueue) abandon(r *queuedRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-r.done:
	default:
		a.refuse(r, QueueTooSlow, r.waitDeadline())
	}
}

// refuse refuses a queued request and wakes its goroutine.
func (a *AdmissionQueue) refuse(r *queuedRequest, reason RefusalReason, now time.Time) {
	r.refusal = a.refusal(r, reason, now)
	a.backlog().remove(r)
	close(r.done)
}

// refusal returns the refusal of a request.
func (a *AdmissionQueue) refusal(r *queuedRequest, reason RefusalReason, now time.Time) *Refusal {
	f := a.backlog().forecast(r, now, a.pace())
	return &Refusal{Reason: reason, RetryAfter: f.Wait, Wait: f.Wait, Ahead: f.Ahead}
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
	a.backlog().released()
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

// grantSlotsLocked gives free slots to queued requests in the queue's order. It refuses
// requests that wait in vain. The caller holds mu.
func (a *AdmissionQueue) grantSlotsLocked(now time.Time) {
	queued := a.backlog()
	queued.begin(now)
	for r := queued.next(now); r != nil; r = queued.next(now) {
		if reason, vain := queued.hopeless(r, now, a.pace()); vain {
			a.refuse(r, reason, now)
			continue
		}
		if queued.eligible(r, now) && a.tryAcquire(r.request) {
			queued.remove(r)
			queued.granted(r, now)
			close(r.done)
			continue
		}
		queued.blocked(r)
	}
}

// Queued returns the number of requests in the queue.
func (a *AdmissionQueue) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog().len()
}

// InFlight returns the number of slots held.
func (a *AdmissionQueue) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}
