package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Routing is the immutable view of a service that traffic reads. Only the atomic values
// that it points to change.
type Routing struct {
	Service string
	// Targets are the targets that may take requests.
	Targets []*Target
	// Slots is the total number of slots of the targets.
	Slots int

	// floor is the share of the healthy targets that must stay in use, however many
	// targets are suspects.
	floor float64
	// retryable is set while the service gets requests that may be retried.
	retryable bool
	// selective is set while trial requests are sent only where they are worth their cost, and
	// requestRate holds the rate of the requests of all hosts, as float64 bits.
	selective   *atomic.Bool
	requestRate *atomic.Uint64
	// rateShare holds the share of the targets' rate limits that applies to this host, as
	// float64 bits. The control thread updates it.
	rateShare *atomic.Uint64
	// typicalLatency holds the result of TypicalLatency, in nanoseconds. The control
	// thread updates it.
	typicalLatency *atomic.Int64
	// deviation holds the result of LatencyDeviation, in nanoseconds. The control thread
	// updates it.
	deviation *atomic.Int64
	// keepAllInUse is set while all targets must get requests; the control
	// thread updates it.
	keepAllInUse *atomic.Bool
	// callersUnserved is set while many callers are not served; the control thread updates it.
	callersUnserved *atomic.Bool
	// waiting counts the requests that wait for slots.
	waiting *waitingCounts
}

// TypicalLatency returns the moving average of the latency of the service's
// successful requests; 0 until there are enough of them.
func (r *Routing) TypicalLatency() time.Duration { return time.Duration(r.typicalLatency.Load()) }

// LatencyDeviation returns the moving average of the deviation from TypicalLatency.
func (r *Routing) LatencyDeviation() time.Duration { return time.Duration(r.deviation.Load()) }

// Request holds the properties of a request that the choice of its target depends on.
type Request struct {
	// Tried are the targets that the request was already sent to.
	Tried []*Target
	// Retryable is set when the request may be sent to another target after a failure
	// and the retry budget allows that.
	Retryable bool
	// Idempotent is set when the request may run more than once. Idempotent requests
	// are preferred as trial requests, since their callers lose least if they fail.
	Idempotent bool
	// NeedsRoom is set for a request that may wait for a slot. It gets only a target with fewer
	// requests in flight than its slots and Overcommit.
	NeedsRoom  bool
	Overcommit int
	Now        time.Time
}

// Choice is the target chosen for a request, and why.
type Choice struct {
	// Target is nil if there is no untried target.
	Target *Target
	Reason ChoiceReason
	// ProvenAge is the time since the target's last known success; negative if it has
	// had none.
	ProvenAge time.Duration
}

// ChoiceReason is why a target was chosen.
type ChoiceReason string

// The reasons for a choice.
const (
	// LowestCost means that the target was the trusted one of lowest cost.
	LowestCost ChoiceReason = "lowest cost"
	// Due means that the target had been without a request for too long.
	Due ChoiceReason = "due for a request"
	// Trial means that the request is a trial request of a suspect.
	Trial ChoiceReason = "trial request"
	// OnlySuspects means that no trusted target was left.
	OnlySuspects ChoiceReason = "only suspects left"
)

// Pick chooses the target for a request and counts the request as in flight. No target gets
// what it has asked not to get, whatever the reason for the choice.
func (r *Routing) Pick(rng *rand.Rand, q Request) Choice {
	for {
		s := r.readSuspicions()
		choice := Choice{Target: r.pickTrial(rng, q, s), Reason: Trial}
		if choice.Target == nil {
			choice = r.cheapest(rng, q, s)
		}
		t := choice.Target
		if t == nil {
			return choice
		}
		if t.throttle.Take(q.Now, r.share()) {
			choice.ProvenAge = t.provenAge(q.Now)
			t.Begin(q.Now)
			return choice
		}
		// Another request has taken the last one that the target accepts now.
	}
}

// suspicions is one reading of the suspicions of all targets of a Routing, in their order. The
// control thread changes them at any time. A choice uses one reading throughout: the decisions that
// it consists of must agree about who is a suspect.
type suspicions []*suspicionView

func (r *Routing) readSuspicions() suspicions {
	s := make(suspicions, len(r.Targets))
	for i, t := range r.Targets {
		s[i] = t.suspicionView.Load()
	}
	return s
}

// count returns how many targets are suspected.
func (s suspicions) count() int {
	n := 0
	for _, v := range s {
		if v.suspect {
			n++
		}
	}
	return n
}

// share returns the share of the targets' rate limits that applies to this host.
func (r *Routing) share() float64 { return math.Float64frombits(r.rateShare.Load()) }

// accepts reports whether the target accepts a request of this host now.
func (r *Routing) accepts(t *Target, now time.Time) bool { return t.throttle.Open(now, r.share()) }

// AcceptsIn returns the time until one of the targets accepts a request of this host. It
// returns false if there is no target of which a time is known.
func (r *Routing) AcceptsIn(now time.Time) (earliest time.Duration, ok bool) {
	for _, t := range r.Targets {
		if in, known := t.throttle.OpensIn(now, r.share()); known && (!ok || in < earliest) {
			earliest, ok = in, true
		}
	}
	return earliest, ok
}

// selectiveFor reports whether the choice for a request is selective. While many callers are not served,
// requests that may run again keep all targets in use, as in other services: they lose little. Their
// second attempts do not, since there may be no third one.
func (r *Routing) selectiveFor(q Request) bool {
	exploring := q.Retryable && len(q.Tried) == 0 && r.callersUnserved.Load()
	return r.selective.Load() && !exploring
}

// pickTrial returns a suspect that is due for a trial request, if this request can be
// the trial. A retry is never a trial: after a failure, a request goes where it is
// most likely to succeed. Of several suspects that are due, it returns a random one, so
// that hosts with requests at the same moment send them to different suspects.
func (r *Routing) pickTrial(rng *rand.Rand, q Request, s suspicions) *Target {
	if len(q.Tried) > 0 {
		return nil
	}
	if r.selectiveFor(q) {
		return r.pickWorthwhileTrial(rng, q, s)
	}
	var chosen *Target
	candidates := 0
	for i, t := range r.Targets {
		v := s[i]
		if !v.suspect || t.InFlight() > 0 || t.skipped(q.Now) || !r.accepts(t, q.Now) {
			continue
		}
		// If no retryable request came in time, any request becomes the trial, because
		// no target may go without a request for longer than the floor's window.
		due := v.riskyTrialAt
		switch {
		case r.retryable && q.Retryable:
			due = v.trialAt
		case q.Idempotent:
			due = due.Add(-idempotentLead)
		}
		if q.Now.Before(due) {
			continue
		}
		candidates++
		if rng.IntN(candidates) == 0 {
			chosen = t
		}
	}
	return chosen
}

// idempotentLead is how long before riskyTrialAt an idempotent request that cannot be
// retried may become a trial request. Other requests that cannot be retried may do so
// from riskyTrialAt on.
const idempotentLead = 300 * time.Millisecond

// suspectsInUse returns how many suspects must take ordinary requests so that the
// floor's share of the healthy targets stays in use. A result of 0 or less means none.
// A target that failed a trial request does not count as healthy.
func (r *Routing) suspectsInUse(s suspicions) int {
	if r.selective.Load() {
		return 0 // planTrials keeps them in use while the floor is due
	}
	healthy, suspects := len(s), 0
	for _, v := range s {
		switch {
		case v.confirmed:
			healthy--
		case v.suspect:
			suspects++
		}
	}
	return suspects - int(math.Round((1-r.floor)*float64(healthy)))
}

// cheapest returns the untried target of lowest cost. Of the unconfirmed suspects, the
// suspectsInUse ones with the earliest trials count as trusted. When no trusted target
// is left, it returns the suspect of lowest cost.
func (r *Routing) cheapest(rng *rand.Rand, q Request, s suspicions) Choice {
	cutoff := s.trialCutoff(r.suspectsInUse(s))
	p := r.costParamsFor(q, s)
	var best, bestSuspect Choice
	lowest, lowestSuspect := math.Inf(1), math.Inf(1)
	for i, t := range r.Targets {
		if !r.available(t, q) {
			continue
		}
		c, reason := r.jitteredCost(rng, t, q.Now, p)
		switch {
		case s[i].outOfUse(cutoff):
			if c < lowestSuspect {
				bestSuspect, lowestSuspect = Choice{Target: t, Reason: OnlySuspects}, c
			}
		case c < lowest:
			best, lowest = Choice{Target: t, Reason: reason}, c
		}
	}
	if best.Target == nil && !q.NeedsRoom {
		return bestSuspect
	}
	return best
}

// available reports whether the request may be sent to the target, whatever the target costs.
func (r *Routing) available(t *Target, q Request) bool {
	return !slices.Contains(q.Tried, t) && r.accepts(t, q.Now) && (!q.NeedsRoom || t.room(q.Overcommit) > 0)
}

// jitteredCost returns the cost by which targets are compared, and the reason for it.
func (r *Routing) jitteredCost(rng *rand.Rand, t *Target, now time.Time, p costParams) (float64, ChoiceReason) {
	c, reason := r.cost(rng, t, now, p)
	return c + costJitter*rng.Float64(), reason
}

// outOfUse reports whether the target gets only trial requests, given the trialCutoff.
func (v *suspicionView) outOfUse(cutoff time.Time) bool {
	return v.suspect && (v.confirmed || v.riskyTrialAt.After(cutoff))
}

// trialCutoff returns the latest riskyTrialAt at which an unconfirmed suspect counts as
// trusted. It is chosen so that the given number of suspects count as trusted.
func (s suspicions) trialCutoff(suspectsInUse int) time.Time {
	if suspectsInUse <= 0 {
		return time.Time{}
	}
	var due []time.Time
	for _, v := range s {
		if v.suspect && !v.confirmed {
			due = append(due, v.riskyTrialAt)
		}
	}
	slices.SortFunc(due, time.Time.Compare)
	return due[min(suspectsInUse, len(due))-1]
}

// Suspects returns how many targets are suspected.
func (r *Routing) Suspects() int { return r.readSuspicions().count() }

// Working returns how many targets are in the working set of a selective service; 0 for others.
func (r *Routing) Working() int {
	n := 0
	for _, t := range r.Targets {
		if r.selective.Load() && t.working.Load() {
			n++
		}
	}
	return n
}

// FreeSlots returns how many slots of trusted targets that accept requests are free, given the
// requests in flight that this host knows of.
func (r *Routing) FreeSlots(now time.Time) int {
	free := 0
	for _, t := range r.Targets {
		if !t.IsSuspect() && r.accepts(t, now) {
			free += max(0, t.Slots-t.InFlight())
		}
	}
	return free
}
