package caller

import "maps"

// Prospect is what Offer would decide about a request.
type Prospect struct {
	// Refusal is nil if the request would get a slot or wait. Waits is set if it would wait.
	Refusal *Refusal
	Waits   bool
	Forecast
}

// Preview returns what Offer would decide about a request, with the random number for a draw. The
// request is not queued or counted. TryAcquire of the request must only report whether a slot is
// free. Only queues with a Policy have previews; the zero Prospect is returned for others.
func (a *AdmissionQueue) Preview(request AdmissionRequest, random func() float64) Prospect {
	a.mu.Lock()
	defer a.mu.Unlock()
	queued, ok := a.queued.(*ranked)
	if !ok {
		return Prospect{}
	}
	k, now := queued.clone(random), request.Now
	r := &queuedRequest{request: request, enqueued: now}
	k.begin(now)
	k.arrived(r, now)
	if !r.tooLate(now) && k.len() == 0 && k.eligible(r, now) && !a.limiter.atLimit(a.inFlight) && request.TryAcquire() {
		return Prospect{}
	}
	reason, refused := k.refuses(r, now, a.pace())
	if r.tooLate(now) {
		reason, refused = HostStops, true
	}
	if !refused && k.len() >= request.Limits.Length && k.displaced(r) == nil {
		reason, refused = QueueFull, true
	}
	p := Prospect{Forecast: k.forecast(r, now, a.pace()), Waits: !refused}
	if refused {
		p.Refusal = &Refusal{Reason: reason, RetryAfter: p.Wait, Wait: p.Wait, Ahead: p.Ahead}
	}
	return p
}

// clone returns a copy that shares no state with the backlog.
func (k *ranked) clone(random func() float64) *ranked {
	c := *k
	c.policy.Random = random
	c.vain = nil
	c.requests = make([]*queuedRequest, len(k.requests))
	for i, r := range k.requests {
		c.requests[i] = new(*r)
	}
	c.usage.byAccount = maps.Clone(k.usage.byAccount)
	c.usage.totals = maps.Clone(k.usage.totals)
	c.usage.accounts = maps.Clone(k.usage.accounts)
	return &c
}
