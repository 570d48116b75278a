package pool

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
)

const (
	// trialRate is the rate at which a suspect that is due gets trial requests from all hosts
	// together, per second. The others learn of one about 40 ms late, so that the expected number
	// of further ones sent in that time is 0.16.
	trialRate = 4.0
	// contactRate is the same for a trusted target that must get a request. While the floor is due,
	// it gets one within the 0.7 s that maxFloorGap leaves of floorWindow with a probability of
	// 0.985.
	contactRate = 6.0
	// floorMargin is how many more targets are kept in use than the floor asks for.
	floorMargin = 1.1
	// failedTrialCost is the cost of a failed trial request. It is the unit of the worth of
	// capacity.
	failedTrialCost = 1.0
	// failedRetryableTrialCost is the cost of a failed trial request that may run again: its caller
	// waits longer, a retry is spent, and a tenth of the second attempts fail too.
	failedRetryableTrialCost = 0.35
	// maxTrialProbability limits the probability from which a trial request is worth its cost.
	maxTrialProbability = 0.99
	// The worth of a target's capacity grows from minWorth to maxWorth while the load of the
	// proven targets, in requests in flight for each slot, grows from ampleLoad to shortLoad. A
	// trial request of a suspect is thus sent from a probability of 0.95 that it succeeds while
	// there is ample capacity, from 0.72 when all slots are in use, and from 0.25 when as many
	// requests wait. With a shortLoad of 1, a seventh more requests were lost at twice the usual
	// demand, since requests can wait for a slot.
	minWorth  = 1.05
	maxWorth  = 4.0
	ampleLoad = 0.5
	shortLoad = 2.0
	// minTrialPause and maxTrialPause are the limits of the time between two trial requests. The
	// latter bounds the time that a target is out of use after an episode that is longer than
	// all others.
	minTrialPause = 400 * time.Millisecond
	maxTrialPause = 12 * time.Second
	// provenTime is how long a success proves that a target works, and provenLatencies the same
	// in typical latencies, for services of long requests. unprovenWorth is what a slot of a
	// trusted target counts whose last success is longer ago.
	provenTime      = 2 * time.Second
	provenLatencies = 4
	unprovenWorth   = 0.1
)

// learnEpisode counts what an end of a request tells about the episode of its target. It is given
// the suspicion before that end.
func (s *Service) learnEpisode(t *Target, before suspicion) {
	if !before.suspect {
		return
	}
	from := before.failedAt.Sub(before.since)
	switch after := &t.suspicion; {
	case !after.suspect:
		s.episodes.ended(from, before.passedAt.Sub(before.since))
	case after.failedAt.After(before.failedAt):
		s.episodes.lasted(from, after.failedAt.Sub(after.since))
	}
}

// worth returns what the capacity of one more target is worth, in failed requests.
func (s *Service) worth(now time.Time) float64 {
	busy, slots := 0, 0.0
	for _, t := range s.eligible {
		busy += t.InFlight()
		switch {
		case t.suspicion.suspect:
		case t.proven(now, s.provenFor()):
			slots += float64(t.Slots)
		default:
			slots += unprovenWorth * float64(t.Slots)
		}
	}
	load := math.Inf(1)
	if slots > 0 {
		load = float64(busy) / slots
	}
	short := min(max(0, (load-ampleLoad)/(shortLoad-ampleLoad)), 1)
	return minWorth + (maxWorth-minWorth)*short*short
}

// provenFor returns how long a success proves that a target works, for a typical latency.
func provenFor(typical time.Duration) time.Duration {
	return max(provenTime, provenLatencies*typical)
}

func (s *Service) provenFor() time.Duration {
	return provenFor(time.Duration(s.publishedTypical.Load()))
}

// proven reports whether a request has succeeded at the target within the given time.
func (t *Target) proven(now time.Time, within time.Duration) bool {
	return clock.Nanos(now)-t.lastSuccess.Load() < int64(within)
}

// trialTime returns when a trial request of a suspect is worth its cost: from when the probability
// that the target is healthy, times what its capacity is worth, exceeds the cost of a failed one.
func (s *Service) trialTime(x *suspicion, failedCost float64) time.Time {
	if x.trialsPassed > 0 {
		// Of the targets that pass a trial request, nearly all are healthy again.
		return x.passedAt
	}
	from := x.failedAt.Sub(x.since)
	pause := s.episodes.likelyEnd(from, min(failedCost/s.capacityWorth, maxTrialProbability)) - from
	return x.failedAt.Add(min(max(pause, minTrialPause), maxTrialPause))
}

// healthy returns the probability that a suspect is healthy.
func (s *Service) healthy(x *suspicion, now time.Time) float64 {
	if x.trialsPassed == 0 {
		return s.episodes.endedBy(x.failedAt.Sub(x.since), now.Sub(x.since))
	}
	p := s.episodes.endedBy(x.failedAt.Sub(x.since), x.passedAt.Sub(x.since))
	return p / (p + passWhileFailing*(1-p))
}

// planSelective updates what a selective service has learned and decided. The control thread calls
// it at the given interval.
func (s *Service) planSelective(interval time.Duration, now time.Time) {
	if !s.selective() {
		if s.planned { // a configuration has changed that
			for _, t := range s.eligible {
				t.publishSuspicion(s.location)
			}
		}
		s.planned = false
		return
	}
	s.planned = true
	s.episodes.decay(interval)
	s.averageLoads(interval)
	for _, t := range s.eligible {
		t.forgetRefusals(interval)
	}
	s.requestRate.Store(math.Float64bits(s.demand.requests()))
	s.capacityWorth = s.worth(now)
	s.planWorkingSet(now)
	s.planTrials(now)
}

// planTrials decides when each suspect is due for a trial request. While the floor is due, the
// suspects that are missing to it are due at once, those most likely to be healthy first.
func (s *Service) planTrials(now time.Time) {
	missing := int(math.Ceil(floorMargin * s.floor * float64(len(s.eligible))))
	var unused []*Target
	for _, t := range s.eligible {
		switch {
		case !t.suspicion.suspect:
			missing--
			continue
		case t.SinceArrival(now) < maxFloorGap:
			missing--
			t.neededForFloor = false
		default:
			unused = append(unused, t)
			continue
		}
		s.publishTrial(t)
	}
	slices.SortFunc(unused, func(a, b *Target) int {
		return cmp.Compare(s.healthy(&b.suspicion, now), s.healthy(&a.suspicion, now))
	})
	due := s.keepAllInUse.Load()
	for i, t := range unused {
		t.neededForFloor = due && i < missing
		s.publishTrial(t)
	}
}

// publishTrial publishes when the target is due for a trial request.
func (s *Service) publishTrial(t *Target) {
	if !t.suspicion.suspect || s.mostlyRetryable && s.callersUnserved.Load() {
		t.publishSuspicion(s.location)
		return
	}
	t.suspicionView.Store(&suspicionView{
		suspect:        true,
		confirmed:      t.suspicion.trialFailed,
		neededForFloor: t.neededForFloor,
		trialAt:        s.trialTime(&t.suspicion, failedRetryableTrialCost),
		riskyTrialAt:   s.trialTime(&t.suspicion, failedTrialCost),
	})
}

// chance reports whether a request is one of those that all hosts together do something with at a
// rate, in times a second.
func (r *Routing) chance(rng *rand.Rand, rate float64) bool {
	return rng.Float64()*math.Float64frombits(r.requestRate.Load()) < rate
}

// pickWorthwhileTrial returns a suspect that is due for a trial request. Hosts learn of each
// other's trial requests late. Each request is therefore one only with the probability that makes
// all of them come at trialRate.
func (r *Routing) pickWorthwhileTrial(rng *rand.Rand, q Request, s suspicions) *Target {
	var chosen *Target
	candidates := 0
	for i, t := range r.Targets {
		v := s[i]
		if !v.suspect || t.InFlight() > 0 || t.skipped(q.Now) || !r.accepts(t, q.Now) {
			continue
		}
		needed := v.neededForFloor && t.SinceArrival(q.Now) > maxFloorGap
		at := v.riskyTrialAt
		if q.Retryable {
			at = v.trialAt
		}
		worth := !q.Now.Before(at) && t.refusals() < refusingShare
		if !worth && !needed || !r.chance(rng, trialRate) {
			continue
		}
		candidates++
		if rng.IntN(candidates) == 0 {
			chosen = t
		}
	}
	return chosen
}
