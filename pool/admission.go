package pool

import (
	"math"
	"time"
)

// Demand is what admission control needs to know about a request.
type Demand struct {
	// Objective is the latency within which a response is worth most.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Late is set when the caller has already waited for longer than the
	// objective.
	Late bool
}

// waitFactors limit the expected wait of admitted requests, by priority, as a
// multiple of the slack that the objective leaves. More urgent requests accept
// longer queues, so that less urgent ones are refused first.
var waitFactors = [...]float64{2.5, 1.6, 1.2}

// lateWaitFactor replaces the factor of late requests: they are worth less, so
// they only use capacity that others leave.
const lateWaitFactor = 0.8

// tailFactor is the multiple of the typical latency that most requests stay
// below.
const tailFactor = 1.4

// Admit reports whether a request is admitted. While a service gets more requests
// than its targets can serve, queueing all of them would make all of them late.
// Refusing those that cannot be in time serves as many, and most of them in time.
func (r *Routing) Admit(d Demand) bool {
	typical := r.TypicalLatency()
	if typical == 0 || d.Objective <= 0 {
		return true
	}
	factor := waitFactors[min(max(0, d.Priority), len(waitFactors)-1)]
	if d.Late {
		factor = min(factor, lateWaitFactor)
	}
	slack := max(d.Objective-time.Duration(tailFactor*float64(typical)), typical/2)
	return r.ExpectedWait() <= time.Duration(factor*float64(slack))
}

// ExpectedWait estimates how long a request waits for a slot of the trusted target
// with the shortest queue, from the requests in flight that this host knows of.
func (r *Routing) ExpectedWait() time.Duration {
	shortest := math.Inf(1)
	for _, t := range r.Targets {
		if t.IsSuspect() {
			continue
		}
		slots := float64(max(1, t.Slots))
		shortest = min(shortest, max(0, float64(t.InFlight())+1-slots)/slots)
	}
	if math.IsInf(shortest, 1) {
		return 0 // without a trusted target, no queue is known
	}
	return time.Duration(shortest * float64(r.TypicalLatency()))
}
