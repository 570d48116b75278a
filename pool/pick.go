package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Routing is the immutable view of a service for traffic. Only the gauges of
// the targets change.
type Routing struct {
	Service string
	// Targets take requests.
	Targets []*Target
	// Slots are those of all targets.
	Slots int

	// floor is the share of the targets that suspicion must not take out.
	floor      float64
	repeatable bool
	// typical is the usual latency in nanoseconds, kept up to date.
	typical *atomic.Int64
	// spread is set while all targets must be kept in use.
	spread *atomic.Bool
}

// Typical returns the usual latency of the service's successes; 0 before the
// first one.
func (r *Routing) Typical() time.Duration { return time.Duration(r.typical.Load()) }

// Request is what a choice depends on.
type Request struct {
	// Tried are the targets that the request was sent to before.
	Tried []*Target
	// Repeatable is set when the request may be sent to another target after a
	// failure and the budget has a retry for it.
	Repeatable bool
	// Idempotent is set when the request may run more than once. Its caller loses
	// least by a failed test.
	Idempotent bool
	Now        time.Time
}

// Pick chooses the target for a request and counts the request as in flight.
// It returns nil when there is no untried target.
func (r *Routing) Pick(rng *rand.Rand, q Request) *Target {
	if t := r.pickTest(q); t != nil {
		t.Begin(q.Now)
		return t
	}
	best := r.cheapest(rng, q, r.spared())
	if best != nil {
		best.Begin(q.Now)
	}
	return best
}

// pickTest returns a suspect whose test is due and that this request may test. A
// request that has failed once tests nothing: its retry goes where it is served.
func (r *Routing) pickTest(q Request) *Target {
	if len(q.Tried) > 0 {
		return nil
	}
	for _, t := range r.Targets {
		v := t.verdict.Load()
		if !v.suspect || t.InFlight() > 0 || t.passedOver(q.Now) {
			continue
		}
		// A suspect that no repeatable request has tested in time is tested by any:
		// no target may stay without a request for longer than the floor's window.
		due := v.riskAt
		switch {
		case r.repeatable && q.Repeatable:
			due = v.testAt
		case q.Idempotent:
			due = due.Add(-idempotentLead)
		}
		if !q.Now.Before(due) {
			return t
		}
	}
	return nil
}

// idempotentLead is how much sooner an idempotent request without a retry tests a
// suspect than one that may run once.
const idempotentLead = 300 * time.Millisecond

// spared returns how many suspects must take ordinary requests, so that
// suspicion leaves the floor's share of the healthy targets in use. A target that
// failed a test is not healthy.
func (r *Routing) spared() int {
	healthy, suspects := len(r.Targets), 0
	for _, t := range r.Targets {
		switch v := t.verdict.Load(); {
		case v.confirmed:
			healthy--
		case v.suspect:
			suspects++
		}
	}
	return suspects - int(math.Round((1-r.floor)*float64(healthy)))
}

// cheapest returns the untried target of least cost. While more suspects than
// the floor allows are out, the ones with the earliest test count as trusted.
// When no other is left, it returns the suspect of least cost.
func (r *Routing) cheapest(rng *rand.Rand, q Request, spared int) *Target {
	limit := r.sparedUntil(spared)
	w := r.weigh(q)
	var best, suspect *Target
	least, leastSuspect := math.Inf(1), math.Inf(1)
	for _, t := range r.Targets {
		if slices.Contains(q.Tried, t) {
			continue
		}
		c := t.cost(q.Now, w) + noise*rng.Float64()
		v := t.verdict.Load()
		switch {
		case v.suspect && (v.confirmed || v.riskAt.After(limit)):
			if c < leastSuspect {
				suspect, leastSuspect = t, c
			}
		case c < least:
			best, least = t, c
		}
	}
	if best == nil {
		return suspect
	}
	return best
}

// sparedUntil returns the time by which the spared suspects' tests are due.
func (r *Routing) sparedUntil(spared int) time.Time {
	if spared <= 0 {
		return time.Time{}
	}
	var due []time.Time
	for _, t := range r.Targets {
		if v := t.verdict.Load(); v.suspect && !v.confirmed {
			due = append(due, v.riskAt)
		}
	}
	slices.SortFunc(due, time.Time.Compare)
	return due[min(spared, len(due))-1]
}

// Suspects returns how many targets take only tests.
func (r *Routing) Suspects() int {
	n := 0
	for _, t := range r.Targets {
		if t.Suspect() {
			n++
		}
	}
	return n
}

// Free returns how many slots of trusted targets are free, as far as this host
// knows.
func (r *Routing) Free() int {
	free := 0
	for _, t := range r.Targets {
		if !t.Suspect() {
			free += max(0, t.Slots-t.InFlight())
		}
	}
	return free
}
