package pool

import (
	"math"
	"time"
)

// Demand is what decides whether a request is taken while targets queue.
type Demand struct {
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Late is set when the caller has waited for longer than the objective
	// already.
	Late bool
}

// waitShares are the shares of the time that the objective leaves for waiting which
// requests of a priority accept. More urgent requests accept longer queues, so
// that less urgent ones are refused first.
var waitShares = [...]float64{2.5, 1.6, 1.2}

// lateShare is the share that late requests accept: they earn less, so they take
// only what others leave.
const lateShare = 0.8

// tailFactor is how many times the usual latency most requests stay below.
const tailFactor = 1.4

// Admit reports whether a request is taken. While a service has more requests than
// its targets can serve, the queue would make all of them late; refusing what
// cannot be in time serves as many, and most of them in time.
func (r *Routing) Admit(d Demand) bool {
	typical := r.Typical()
	if typical == 0 || d.Objective <= 0 {
		return true
	}
	share := waitShares[min(max(0, d.Priority), len(waitShares)-1)]
	if d.Late {
		share = min(share, lateShare)
	}
	spare := max(d.Objective-time.Duration(tailFactor*float64(typical)), typical/2)
	return r.ExpectedWait() <= time.Duration(share*float64(spare))
}

// ExpectedWait returns how long a request waits for a slot of the target with the
// shortest queue, as far as this host knows.
func (r *Routing) ExpectedWait() time.Duration {
	least := math.Inf(1)
	for _, t := range r.Targets {
		if t.Suspect() {
			continue
		}
		slots := float64(max(1, t.Slots))
		least = min(least, max(0, float64(t.InFlight())+1-slots)/slots)
	}
	if math.IsInf(least, 1) {
		return 0 // nothing is known of a queue
	}
	return time.Duration(least * float64(r.Typical()))
}
