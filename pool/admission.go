package pool

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// Demand holds the properties of a request that admission control uses.
type Demand struct {
	// Objective is the latency up to which a response has its full value.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Late is set when the caller has already waited for longer than the
	// objective.
	Late bool
	Now  time.Time
}

// waitFactors holds, for each priority, the longest expected wait at which a request is
// admitted, as a multiple of its slack. The slack is the part of the objective that
// remains after the request's own latency. More urgent requests are admitted to longer
// queues, so that less urgent ones are refused first.
var waitFactors = [...]float64{2.5, 1.6, 1.2}

// lateWaitFactor is the wait factor of late requests. It is the lowest one: late
// requests are worth less, so they only use capacity that other requests leave free.
const lateWaitFactor = 0.8

// Admit reports whether a request is admitted. While a service gets more requests than
// its targets can serve, queueing every request would make all of them late. If
// requests that cannot meet their objective are refused, the targets serve just as many
// requests, and most of those in time.
func (r *Routing) Admit(d Demand) bool {
	wait, ok := r.ExpectedWait(d.Now)
	if !ok {
		return false
	}
	typical := r.TypicalLatency()
	if typical == 0 || d.Objective <= 0 {
		return true
	}
	factor := waitFactors[min(max(0, d.Priority), len(waitFactors)-1)]
	if d.Late {
		factor = min(factor, lateWaitFactor)
	}
	return wait <= time.Duration(factor*float64(caller.Slack(d.Objective, typical)))
}

// Overcommit is how many requests a target gets beyond its slots from the queues that the hosts share.
// They keep the slots in use until the next request arrives: a slot is seen to be free 40 ms late, and
// taken within another 40 ms. In bench/shortage, 1 leaves 5% of the slots unused at twice the
// capacity, and with 3 more urgent requests wait behind others at the targets.
const Overcommit = 2

// room returns how many more requests a target takes from the queues that the hosts share.
func (t *Target) room(overcommit int) int { return max(0, t.Slots+overcommit-t.InFlight()) }

// Outlook returns what this host knows of the slots of the service and of the requests that wait
// for them. Only trusted targets that accept requests have room.
func (r *Routing) Outlook(now time.Time, overcommit int) caller.Outlook {
	o := caller.Outlook{Typical: r.TypicalLatency(), Elsewhere: r.waiting.elsewhere()}
	closed := false
	for _, t := range r.Targets {
		if t.IsSuspect() {
			continue
		}
		if !r.accepts(t, now) {
			if in, ok := t.throttle.OpensIn(now, r.share()); ok && (!closed || in < o.OpensIn) {
				closed, o.OpensIn = true, in
			}
			continue
		}
		o.Slots += t.Slots
		o.InFlight += t.InFlight()
		o.Room += t.room(overcommit)
	}
	if o.Slots > 0 {
		o.OpensIn = 0
	}
	return o
}

// minQueuedLatency is the typical latency of a service from which requests wait for its slots at their
// hosts. Slots of a faster one have been freed and taken again by the time that other hosts learn of it.
const minQueuedLatency = 2 * caller.DrawInterval

// Queues reports whether requests may wait for slots of the service: it has a trusted target, one
// of them accepts requests now, and the service is not too fast.
func (r *Routing) Queues(now time.Time) bool {
	if typical := r.TypicalLatency(); typical > 0 && typical < minQueuedLatency {
		return false
	}
	for _, t := range r.Targets {
		if !t.IsSuspect() && r.accepts(t, now) {
			return true
		}
	}
	return false
}

// ExpectedWait estimates how long a new request waits for a slot at the trusted target
// with the shortest queue. It counts the requests in flight that this host knows of. It returns
// false if there are trusted targets and none of them accepts a request of this host now.
func (r *Routing) ExpectedWait(now time.Time) (wait time.Duration, ok bool) {
	shortest, trusted := math.Inf(1), false
	for _, t := range r.Targets {
		if t.IsSuspect() {
			continue
		}
		trusted = true
		if !r.accepts(t, now) {
			continue
		}
		slots := float64(max(1, t.Slots))
		shortest = min(shortest, max(0, float64(t.InFlight())+1-slots)/slots)
	}
	if math.IsInf(shortest, 1) {
		return 0, !trusted // without a trusted target, no queue is known
	}
	return time.Duration(shortest * float64(r.TypicalLatency())), true
}
