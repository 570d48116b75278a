package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
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

// Costs of a target, in units of the service's usual latency.
const (
	// busyCost is the cost of full slots: targets slow down when nearly full.
	busyCost = 0.3
	// regionCost and farCost are the costs of a target in another zone of the
	// region and in another region. Bytes between zones are priced; a region
	// adds tens of milliseconds.
	regionCost = 0.8
	farCost    = 3.0
	// unreachedCost puts targets that this host could not connect to last.
	unreachedCost = 50
	// noticeable is the ratio of latencies from which a target counts as
	// slow, and slowest bounds what it counts as.
	noticeable = 1.4
	slowest    = 6.0
	// failureCost is the cost of a target that fails all requests: one that
	// fails one in five costs as much as another zone.
	failureCost = 4.0
	// noise spreads hosts that see the same costs over several targets.
	noise = 0.15
)

var distanceCosts = [...]float64{SameZone: 0, SameRegion: regionCost, OtherRegion: farCost}

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

// doubtTime is the time after its last success at which a target is half as doubtful as
// one that was never used. Spells of failures last seconds.
const doubtTime = 4 * time.Second

// leastDoubt is the share of failing targets that is assumed at least.
const leastDoubt = 0.02

// weighing is what a choice among targets takes into account besides their load.
type weighing struct {
	// explores is set for a request that finds out about targets not used lately.
	explores bool
	// failing is the share of targets that fail: the chance that one fails of which
	// nothing is known.
	failing float64
}

// weigh returns how a request weighs targets. Few requests to many targets would meet every
// spell of failures anew, so those that may not be repeated keep to targets that have
// answered lately, and those that may be look after the others.
func (r *Routing) weigh(q Request) weighing {
	return weighing{
		explores: q.Repeatable && len(q.Tried) == 0 || r.spread.Load(),
		failing:  max(leastDoubt, float64(r.Suspects())/float64(max(1, len(r.Targets)))),
	}
}

// doubt is the cost of the chance that the target has begun to fail.
func (w weighing) doubt(t *Target, now time.Time) float64 {
	age := float64(clock.Nanos(now) - t.proved.Load())
	return failureCost * w.failing * age / (age + float64(doubtTime))
}

// cost estimates how long the target takes for one more request.
func (t *Target) cost(now time.Time, w weighing) float64 {
	load := float64(t.InFlight())
	slots := float64(max(1, t.Slots))
	queue := max(0, load+1-slots) / slots
	slow := math.Float64frombits(t.slowness.Load()) / noticeable
	slow = min(max(1, slow), slowest)
	if t.warming.Load() {
		slow = max(slow, warmingCost)
	}
	cost := slow*(1+queue+busyCost*load/slots) + distanceCosts[t.distance]
	if clock.Nanos(now)-t.usedHere.Load() > int64(warmFor) {
		cost += coldCost
	}
	cost += failureCost * math.Float64frombits(t.unreliability.Load())
	switch {
	case (w.explores || t.fresh()) && t.unused(now, slow):
		cost = min(cost, unusedCost)
	case !w.explores:
		cost += w.doubt(t, now)
	}
	if t.passedOver(now) {
		cost += unreachedCost
	}
	return cost
}

const (
	// warmFor is how long after a request a connection to the target is likely
	// to be open still.
	warmFor = 5 * time.Second
	// coldCost is the cost of opening a connection, which is priced.
	coldCost = 0.12
)

const (
	// unusedAfter is how long a sound target may go without a request, so that
	// the fleet learns of its state and a new one gets its share.
	unusedAfter = 800 * time.Millisecond
	// unusedCost puts a target that is due for a request first.
	unusedCost = 0.5
)

// unused reports whether the target is due for a request of its own zone.
func (t *Target) unused(now time.Time, slow float64) bool {
	return t.distance == SameZone && slow < noticeable && t.InFlight() == 0 &&
		clock.Nanos(now)-t.used.Load() > int64(unusedAfter)
}

// fresh reports whether the target has joined and was never used.
func (t *Target) fresh() bool { return t.joined && t.used.Load() == never }

// warmingCost is how much slower a target is taken to be just after its start.
const warmingCost = 1.2

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
