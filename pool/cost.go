package pool

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
)

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

// weigh returns how a request weighs targets. Requests that may not be repeated prefer targets
// that succeeded recently; repeatable ones probe the others. Otherwise a service with few
// requests for each target would lose one at the start of almost every spell of failures.
func (r *Routing) weigh(q Request) weighing {
	return weighing{
		explores: q.Repeatable && len(q.Tried) == 0 || r.spread.Load(),
		failing:  max(leastDoubt, float64(r.Suspects())/float64(max(1, len(r.Targets)))),
	}
}

// doubt is the cost of the chance that the target has begun to fail.
func (w weighing) doubt(t *Target, now time.Time) float64 {
	age := float64(clock.Nanos(now) - t.lastSuccess.Load())
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
