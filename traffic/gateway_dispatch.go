package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
)

// hedgeFactor is the multiple of the service's typical latency after which a
// retryable request is also sent to a second target.
const hedgeFactor = 2.5

// maxConnectFailures is how many targets a request may fail to connect to. While a
// zone is cut off, each failure costs a connect timeout.
const maxConnectFailures = 4

// dispatcher sends one request to targets, with retries and a hedged attempt,
// until there is a response to forward. Its fields belong to the goroutine that
// serves the request.
type dispatcher struct {
	gateway *Gateway
	request *gatewayRequest
	ctx     context.Context
	// results receives each attempt once its response has begun or it has failed.
	results chan *gatewayAttempt
	// inFlight is the number of attempts whose result is still to be received, sent
	// the number of targets that may have received the request, connectFailures the
	// number of targets that certainly did not receive it, and misdirected the number
	// of attempts at whose address another target responded.
	inFlight, sent, connectFailures, misdirected int
	tried                                        []*pool.Target
	// mayHaveRun is set when a target received the request and did not respond that
	// it was not run.
	mayHaveRun bool
	// bodyFreed is set when the memory for the request's body was given up, so that no further
	// target can get it.
	bodyFreed bool
	// failure is the latest attempt with a server error of the target. Its response
	// is forwarded if no attempt succeeds.
	failure *gatewayAttempt
	last    *gatewayAttempt
	// first is the target that was chosen while the request waited for a slot, and slot the queue
	// that it waited in; nil if it did not wait for one.
	first pool.Choice
	slot  *serviceQueue
}

// proxy sends a request to targets until there is a response to forward.
func (g *Gateway) proxy(w http.ResponseWriter, snap *fleet.Snapshot, req *gatewayRequest) {
	ctx, cancel := req.attemptContext()
	defer cancel()
	defer g.countEnd(req)
	d := &dispatcher{gateway: g, request: req, ctx: ctx, results: make(chan *gatewayAttempt, req.route.Attempts+maxConnectFailures)}
	defer d.close()
	if refused := d.admit(snap); refused != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			d.respondExpired(w)
		}
		g.counters.RefusedOverload.Add(1)
		g.writeRefusal(w, req, refused)
		return
	}
	if !d.startAttempt() {
		g.writeRefusal(w, req, g.refuseUnsent(req))
		return
	}
	d.awaitResponse(w, snap)
}

// awaitResponse waits for the attempts until there is a response to forward, and sends further ones.
func (d *dispatcher) awaitResponse(w http.ResponseWriter, snap *fleet.Snapshot) {
	hedge := d.newHedgeTimer(snap)
	defer hedge.Stop()
	for d.inFlight > 0 {
		select {
		case a := <-d.results:
			if final := d.handleResult(a); final != nil {
				d.forward(final)
				return
			}
			if d.inFlight == 0 && d.shouldRetry() {
				d.startAttempt()
			}
		case <-hedge.C:
			if d.attemptsLeft() && d.hasFreeSlots() && d.withdrawRetry() {
				d.startAttempt()
			}
		case <-d.ctx.Done():
			d.respondReadyOr(w, d.respondExpired)
			return
		case <-d.gateway.shutdown.ended:
			d.respondReadyOr(w, d.respondUnfinished)
			return
		}
	}
	d.respondExhausted(w)
}

// respondReadyOr forwards a whole response that has arrived, or else calls respond.
func (d *dispatcher) respondReadyOr(w http.ResponseWriter, respond func(http.ResponseWriter)) {
	if final := d.readyResult(); final != nil {
		d.forward(final)
		return
	}
	respond(w)
}

// forward sends the response of an attempt to the caller.
func (d *dispatcher) forward(a *gatewayAttempt) {
	d.gateway.logAttempt(d.request, a, d.sent, ResponseForwarded)
	d.freeBodyOf(a)
	d.gateway.writeResponse(d.ctx, d.request, a)
	d.request.served = a.succeeded()
}

// newHedgeTimer returns the timer of the hedged attempt. It never fires for a
// request that is not retryable.
func (d *dispatcher) newHedgeTimer(snap *fleet.Snapshot) *time.Timer {
	routing := snap.Services[d.request.service]
	if !d.request.retryable() || routing == nil || routing.TypicalLatency() == 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(hedgeFactor * float64(routing.TypicalLatency())))
}

// startAttempt sends the request to the best target that it was not sent to yet. It
// returns false if there is none, if this host's view has become outdated since the
// request was admitted, or if this host ends too soon.
func (d *dispatcher) startAttempt() bool {
	g, req := d.gateway, d.request
	if g.tooLateToSend(req) {
		d.freeSlot()
		return false
	}
	snap := g.cfg.Snapshot()
	routing := snap.Services[req.service]
	if d.slot == nil && (routing == nil || g.outdated(snap)) {
		return false
	}
	slot := d.slot
	choice := d.first
	if slot == nil {
		choice = routing.Pick(random, g.pickRequest(req, d.tried))
	}
	d.slot = nil
	if choice.Target == nil {
		return false
	}
	d.tried = append(d.tried, choice.Target)
	req.triedNames = append(req.triedNames, choice.Target.Key.Name)
	d.sent++
	d.inFlight++
	go func() { d.results <- g.sendAttempt(d.ctx, req, choice, slot) }()
	return true
}

// handleResult records the result of an attempt. It returns the attempt if its
// response is to be forwarded, and nil otherwise.
func (d *dispatcher) handleResult(a *gatewayAttempt) *gatewayAttempt {
	d.inFlight--
	d.last = a
	if a.upload.wasSlow() {
		d.bodyFreed = true
	}
	if a.err == nil && a.succeeded() {
		return a
	}
	if a.err == nil && !d.request.retryable() {
		return a
	}
	switch {
	case a.misdirected():
		d.sent--
		d.misdirected++
	case a.outcome == link.ConnectFailed:
		d.sent--
		d.connectFailures++
	}
	if !a.notRun() {
		d.mayHaveRun = true
	}
	if a.err == nil {
		if d.failure != nil {
			d.gateway.discardResponse(d.failure)
		}
		d.failure = a
	}
	if a.outcome != link.Succeeded {
		d.gateway.logAttempt(d.request, a, d.sent, AttemptFailed)
	}
	return nil
}

// attemptsLeft reports whether the limits on attempts and connect failures, and the time until a
// shutdown of this host, allow another attempt.
func (d *dispatcher) attemptsLeft() bool {
	return !d.bodyFreed && !d.gateway.tooLateToSend(d.request) && d.sent < d.request.route.Attempts && d.connectFailures+d.misdirected < maxConnectFailures
}

// shouldRetry reports whether to send the request again when no attempt is in flight.
// The retry is taken from the budget, unless no target has received the request yet. A
// misdirected attempt takes a retry, too, but is none of the route's attempts.
func (d *dispatcher) shouldRetry() bool {
	if d.ctx.Err() != nil || !d.attemptsLeft() || d.mayHaveRun && !d.request.retryable() {
		return false
	}
	return d.sent+d.misdirected == 0 || d.withdrawRetry()
}

// hedgeFreeShare is the share of a service's slots that must be free for a hedged
// attempt. Under load, hedging slows down all requests.
const hedgeFreeShare = 0.2

// hasFreeSlots reports whether the service has enough free slots for a hedged
// attempt.
func (d *dispatcher) hasFreeSlots() bool {
	routing := d.gateway.cfg.Snapshot().Services[d.request.service]
	return routing != nil && float64(routing.FreeSlots(time.Now())) >= hedgeFreeShare*float64(routing.Slots)
}

// withdrawRetry takes a retry from the budget. It returns false if there is none
// left.
func (d *dispatcher) withdrawRetry() bool {
	g := d.gateway
	if g.retryBudget(d.request.service).TryWithdraw(time.Now(), g.minRetries()) {
		g.counters.Retries.Add(1)
		return true
	}
	g.counters.RetriesWithheld.Add(1)
	return false
}

// respondExpired ends a request whose context has ended: it responds if the deadline
// has passed, and aborts the response if the caller has disconnected.
func (d *dispatcher) respondExpired(w http.ResponseWriter) {
	g, req := d.gateway, d.request
	if !errors.Is(d.ctx.Err(), context.DeadlineExceeded) {
		if d.inFlight == 0 && !d.mayHaveRun {
			g.returnCharge(req)
		}
		g.counters.Disconnected.Add(1)
		panic(http.ErrAbortHandler)
	}
	if d.failure != nil {
		d.respondFailure()
		return
	}
	g.writeRefusal(w, req, newRefusal(http.StatusGatewayTimeout, caller.Unknown, "no answer in time"))
}

// respondUnfinished ends a request that a target may still work at when this host ends.
func (d *dispatcher) respondUnfinished(w http.ResponseWriter) {
	if d.inFlight == 0 || d.failure != nil {
		d.respondExhausted(w)
		return
	}
	d.gateway.writeRefusal(w, d.request, newRefusal(http.StatusGatewayTimeout, caller.Unknown, "this host shuts down before the target has answered"))
}

// respondFailure forwards the server error of a target.
func (d *dispatcher) respondFailure() {
	a := d.failure
	d.failure = nil
	d.gateway.logAttempt(d.request, a, d.sent, FailureForwarded)
	d.gateway.writeResponse(d.ctx, d.request, a)
}

// respondExhausted responds to a request after its last attempt failed.
func (d *dispatcher) respondExhausted(w http.ResponseWriter) {
	g, req := d.gateway, d.request
	switch {
	case d.failure != nil:
		d.respondFailure()
	case !d.mayHaveRun && g.tooLateToSend(req):
		g.writeRefusal(w, req, refuseShutdown())
	case !d.mayHaveRun:
		g.writeRefusal(w, req, refuseFor(req.retryAfter(), "no target took the request: "+d.last.err.Error()))
	case d.ctx.Err() != nil:
		d.respondExpired(w)
	default:
		g.writeRefusal(w, req, newRefusal(http.StatusBadGateway, caller.Unknown, d.last.err.Error()))
	}
}

// demand returns the properties of the request that admission depends on.
func (req *gatewayRequest) demand() pool.Demand {
	return pool.Demand{Objective: req.route.Objective, Priority: req.priority(), Late: req.late, Now: time.Now()}
}

// refuseOverload refuses a request that the targets cannot serve in time. If each of them has
// asked for no request at present, the caller is told when the first of them accepts one.
func (req *gatewayRequest) refuseOverload(routing *pool.Routing) *refusal {
	now := time.Now()
	if in, ok := routing.AcceptsIn(now); !ok || in > 0 {
		return refuseFor(max(in, req.retryAfter()), "every target has asked for fewer requests")
	}
	return refuseFor(req.retryAfter(), "every target's queue is too long for the objective")
}

// retryAfter returns the Retry-After for a request that is refused for lack of a
// free slot: the route's objective with jitter of up to half of it either way, so
// that callers do not come back at the same time.
func (req *gatewayRequest) retryAfter() time.Duration {
	return caller.SpreadRetryAfter(max(req.route.Objective, defaultRetryAfter), random)
}

// close discards the responses that were not forwarded, including those of attempts
// that are still in flight.
func (d *dispatcher) close() {
	if d.failure != nil {
		d.gateway.discardResponse(d.failure)
	}
	if d.inFlight == 0 {
		return
	}
	inFlight := d.inFlight
	go func() {
		for range inFlight {
			if a := <-d.results; a.err == nil {
				d.gateway.discardResponse(a)
			}
		}
	}()
}
