package caller

import "time"

// Parameters of a concurrencyLimiter.
const (
	// limitDecreaseFactor is the factor of a decrease: after a sign of overload, the
	// limit is the number of slots in use times this factor.
	limitDecreaseFactor = 0.7
	// limitIncrease is the increase of the limit per round, in slots. A round is the
	// time in which as many requests end as the limit has slots.
	limitIncrease = 0.5
	// minLimit is the lowest limit in slots.
	minLimit = 1
	// lateWeight is the weight of one request in the moving average of the share
	// of late requests.
	lateWeight = 1.0 / 16
	// overloadLateShare is the share of late requests above which the targets as a
	// whole count as overloaded. A single target that hangs does not raise the share
	// above this value, since far fewer requests end at it than at the other targets.
	overloadLateShare = 0.1
)

// SlotOutcome is how a request that held a slot ended, as far as it shows the load
// of the targets.
type SlotOutcome int

// Outcomes of a request that held a slot.
const (
	// SlotAccepted means that the target accepted the request, whatever its response,
	// or that the request ended in another way that is no sign of overload.
	SlotAccepted SlotOutcome = iota
	// SlotShed means that the target rejected the request because of its load.
	SlotShed
	// SlotTimedOut means that the deadline passed before the target responded.
	SlotTimedOut
)

// concurrencyLimiter adapts the number of concurrent requests of a service on one
// host by additive increase and multiplicative decrease (AIMD). It sets no limit
// until there is a sign that the targets can handle fewer requests than they
// declare slots: a target sheds a request, or a large share of the requests is
// late while no slot is free. The lock of its AdmissionQueue guards it.
type concurrencyLimiter struct {
	// limit is the maximum number of slots in use; 0 means no limit.
	limit float64
	// lastDecrease is when the limit was last lowered.
	lastDecrease time.Time
	// lateShare is the moving average of the share of late requests.
	lateShare float64
	// lastSaturated is when a request last found no free slot.
	lastSaturated time.Time
}

// atLimit reports whether no further slot may be used.
func (c *concurrencyLimiter) atLimit(inFlight int) bool {
	return c.limit > 0 && float64(inFlight) >= c.limit
}

// observe adapts the limit to the outcome of a request that ended. inFlight includes
// the request, averageHold is the average time that a slot is held, and held is how
// long this request held its slot. The limit is lowered at most once per averageHold,
// and not by a request sent before the last decrease, since such a request doesn't show
// whether the lower limit is low enough.
func (c *concurrencyLimiter) observe(now time.Time, inFlight int, averageHold, held time.Duration, outcome SlotOutcome) {
	if c.overloaded(now, averageHold, outcome) {
		if now.Sub(c.lastDecrease) >= max(averageHold, held) {
			c.limit = max(minLimit, limitDecreaseFactor*float64(inFlight))
			c.lastDecrease = now
			c.lateShare = 0
		}
		return
	}
	if c.limit > 0 && float64(inFlight) >= c.limit-1 {
		c.limit += limitIncrease / c.limit
	}
}

// overloaded reports whether the outcome of a request is a sign of overload, and
// updates the share of late requests.
func (c *concurrencyLimiter) overloaded(now time.Time, averageHold time.Duration, outcome SlotOutcome) bool {
	late := 0.0
	if outcome == SlotTimedOut {
		late = 1
	}
	c.lateShare += lateWeight * (late - c.lateShare)
	saturated := now.Sub(c.lastSaturated) <= averageHold
	return outcome == SlotShed || outcome == SlotTimedOut && saturated && c.lateShare > overloadLateShare
}
