package pool

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
)

// Costs of choosing a target, in units of the service's typical latency.
const (
	// utilizationCost is the cost of a target whose slots are all in use:
	// targets slow down when nearly full.
	utilizationCost = 0.3
	// otherZoneCost is the cost of a target in another zone of this host's region,
	// since bytes between zones are charged for. otherRegionCost is the cost of a
	// target in another region, which adds tens of milliseconds.
	otherZoneCost   = 0.8
	otherRegionCost = 3.0
	// skippedCost is the cost of a target that this host recently failed to reach. It
	// is so high that such a target is chosen last.
	skippedCost = 50
	// A target is slow if its latency is at least slowRatio times the service's median.
	// The cost of a slow target grows in proportion to its latency, at most by
	// maxSlowFactor.
	slowRatio     = 1.4
	maxSlowFactor = 6.0
	// failureCost is the cost of a target that fails all requests. A target that fails
	// one request in five thus costs as much as one in another zone.
	failureCost = 4.0
	// costJitter limits the random cost that is added for each target, so that hosts
	// that compute the same costs choose different targets.
	costJitter = 0.15
)

var distanceCosts = [...]float64{SameZone: 0, SameRegion: otherZoneCost, OtherRegion: otherRegionCost}

// uncertaintyHalfTime sets how fast the uncertainty cost of a target grows after its
// last success: after this time it is half the cost of a target that was never used.
// Bursts of failures last seconds.
const uncertaintyHalfTime = 4 * time.Second

// minFailingShare is the lower bound of the assumed share of failing targets.
const minFailingShare = 0.02

// costParams holds the inputs to the cost that are the same for all targets.
type costParams struct {
	// explore is set when the request should go to a target without recent requests, to
	// find out whether that target works.
	explore bool
	// keepAllInUse is set when all targets must get requests, the slow ones and those of
	// other zones included.
	keepAllInUse bool
	// selective is set for a selective service, where selectiveCost looks after new targets.
	selective bool
	// retry is set for a request that was sent to a target before.
	retry bool
	// provenFor is how long a success proves that a target works.
	provenFor time.Duration
	// failingShare is the share of the targets that are suspects. It is taken as the
	// probability that a target of unknown state is failing.
	failingShare float64
}

// costParamsFor returns the cost parameters of a request. Requests that may not be
// retried prefer targets that succeeded recently; retryable ones explore the others.
// Otherwise a service with few requests for each target would lose one request at
// the start of almost every burst of failures.
func (r *Routing) costParamsFor(q Request, s suspicions) costParams {
	keepAllInUse := r.keepAllInUse.Load()
	return costParams{
		explore:      q.Retryable && len(q.Tried) == 0 || keepAllInUse,
		keepAllInUse: keepAllInUse,
		selective:    r.selectiveFor(q),
		retry:        len(q.Tried) > 0,
		provenFor:    provenFor(r.TypicalLatency()),
		failingShare: max(minFailingShare, float64(s.count())/float64(max(1, len(s)))),
	}
}

// uncertaintyCost is the cost of the risk that the target has begun to fail since its
// last success. That may be after now, if the goroutine that chooses was held up.
func (p costParams) uncertaintyCost(t *Target, now time.Time) float64 {
	age := float64(max(0, clock.Nanos(now)-t.lastSuccess.Load()))
	return failureCost * p.failingShare * age / (age + float64(uncertaintyHalfTime))
}

// cost returns the cost of a target of the service, and the reason for it.
func (r *Routing) cost(rng *rand.Rand, t *Target, now time.Time, p costParams) (float64, ChoiceReason) {
	if p.selective {
		return r.selectiveCost(rng, t, now, p)
	}
	return t.cost(now, p)
}

// cost estimates how long the target takes for one more request, and adds the costs
// defined in this file. The reason is Due for a target that costs less because it has
// been without a request for too long.
func (t *Target) cost(now time.Time, p costParams) (float64, ChoiceReason) {
	load := float64(t.InFlight())
	slots := float64(max(1, t.Slots))
	queue := max(0, load+1-slots) / slots
	slow := math.Float64frombits(t.slowness.Load()) / slowRatio
	slow = min(max(1, slow), maxSlowFactor)
	if t.warming.Load() {
		slow = max(slow, warmingSlowFactor)
	}
	cost := slow*(1+queue+utilizationCost*load/slots) + distanceCosts[t.distance]
	if clock.Nanos(now)-t.lastUsedHere.Load() > int64(connectionReuseTime) {
		cost += connectCost
	}
	cost += failureCost * math.Float64frombits(t.publishedFailureRate.Load())
	reason := LowestCost
	switch {
	case (p.explore || t.awaitsFirstRequest() && !p.selective) && t.dueForRequest(now, slow),
		p.keepAllInUse && t.dueForFloor(now):
		cost, reason = min(cost, dueCost), Due
	case !p.explore:
		cost += p.uncertaintyCost(t, now)
	}
	if t.skipped(now) {
		cost += skippedCost
	}
	return cost, reason
}

const (
	// connectionReuseTime is how long after a request a connection to the target
	// is likely to be still open.
	connectionReuseTime = 5 * time.Second
	// connectCost is the cost of opening a connection. Connections are charged for.
	connectCost = 0.12
)

const (
	// maxRequestGap is how long a healthy target may go without a request. Frequent
	// requests tell the fleet the target's state, and give a new target its share.
	maxRequestGap = 800 * time.Millisecond
	// maxFloorGap is how long any trusted target may go without a request while all
	// must be in use. It leaves the rest of floorWindow for the next request to come.
	maxFloorGap = 1300 * time.Millisecond
	// dueCost makes a target that is due for a request the first choice.
	dueCost = 0.5
)

// dueForRequest reports whether the target, which is in this host's zone and not slow, has been
// without a request for maxRequestGap.
func (t *Target) dueForRequest(now time.Time, slow float64) bool {
	return t.distance == SameZone && slow < slowRatio &&
		t.InFlight() == 0 && clock.Nanos(now)-t.lastUsed.Load() > int64(maxRequestGap)
}

// dueForFloor reports whether the target has been without a new request for maxFloorGap. A long
// request in flight does not put that off, unless the target has no free slot.
func (t *Target) dueForFloor(now time.Time) bool {
	return t.InFlight() < t.Slots && t.SinceArrival(now) > maxFloorGap
}

// awaitsFirstRequest reports whether the target joined after others and was never
// used.
func (t *Target) awaitsFirstRequest() bool { return t.joinedLater && t.lastUsed.Load() == never }

// warmingSlowFactor is how much slower a target is assumed to be just after its
// start.
const warmingSlowFactor = 1.2
