package pool

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/zone"
)

// The working set of a selective service is the smallest set of targets that carries its load. A
// target that gets no requests loses none at the beginning of an episode. All hosts compute nearly
// the same set, since they see the same requests in flight and the same ends of requests, and rank
// the targets by the same hashes. Differences between them are of a few targets and for a moment.
const (
	// workingLoad is the load of the slots of the working set up to which it is not enlarged. The
	// rest is headroom for bursts.
	workingLoad = 0.6
	// minWorkingTargets is the least number of working targets in a zone. With fewer, a zone
	// whose targets were all out of use would not get them back into use.
	minWorkingTargets = 2
	// loadWeight averages the requests in flight over 2.5 seconds, so that hosts come to nearly the
	// same size of the set, and loadDecayTime is the
	// time constant with which the set shrinks after the load has.
	loadWeight    = 0.1
	loadDecayTime = 10 * time.Second
	// outsideCost is the cost of a target outside of the working set, and of one without a free
	// slot. Waiting for a third of the typical latency thus costs less than a target that may be
	// failing, and a free slot in another zone costs less than both.
	outsideCost = 2.5
	// selectiveJitter is added to costJitter. Without it, hosts that learn of each
	// other's requests late choose the target of the least load together, and lose more requests
	// when its episode begins.
	selectiveJitter = 1.5
	// contactWeight averages the outcome of requests to unproven targets over about thirty, and
	// assumedContact is the share that succeeds until it is known.
	contactWeight  = 0.03
	assumedContact = 0.7
)

// farCosts are added to the costs of targets of other zones, so that the jitter seldom outweighs the
// zone.
var farCosts = [...]float64{SameZone: 0, SameRegion: 1, OtherRegion: 1}

// zoneLoad is the load of the targets of a zone, in requests in flight.
type zoneLoad struct {
	average movingAverage
	// peak follows the average up at once and down slowly.
	peak float64
}

// averageLoads updates the loads of the zones.
func (s *Service) averageLoads(interval time.Duration) {
	busy := make(map[zone.ID]int)
	for _, t := range s.eligible {
		busy[t.zone] += t.InFlight()
	}
	for z := range s.loads {
		if _, ok := busy[z]; !ok {
			delete(s.loads, z)
		}
	}
	for z, n := range busy {
		l := s.loads[z]
		l.average.add(float64(n), loadWeight)
		l.peak = max(l.average.value, l.peak*math.Exp(-float64(interval)/float64(loadDecayTime)))
		s.loads[z] = l
	}
}

// planWorkingSet chooses the working targets of each zone: of the trusted ones the proven ones
// first, and of these the first by hash. Unproven ones are added only if what they are worth exceeds the
// requests that are lost at those of them that fail.
func (s *Service) planWorkingSet(now time.Time) {
	byZone, within := make(map[zone.ID][]*Target), s.provenFor()
	for _, t := range s.eligible {
		if t.suspicion.suspect {
			t.working.Store(false)
			continue
		}
		byZone[t.zone] = append(byZone[t.zone], t)
	}
	addUnproven := s.contact()*s.capacityWorth > failedTrialCost
	for z, list := range byZone {
		slices.SortFunc(list, func(a, b *Target) int {
			if pa, pb := a.proven(now, within), b.proven(now, within); pa != pb {
				if pa {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.Hash, b.Hash)
		})
		slots := 0.0
		for i, t := range list {
			enough := slots >= s.loads[z].peak/workingLoad
			t.working.Store(i < minWorkingTargets || !enough && (addUnproven || t.proven(now, within)))
			slots += float64(t.Slots)
		}
	}
}

// contact returns the share of the requests to unproven targets that succeed.
func (s *Service) contact() float64 {
	if !s.contacts.started {
		s.contacts.add(assumedContact, 1)
	}
	return s.contacts.value
}

// countContact counts the end of a request to an unproven target.
func (s *Service) countContact(t *Target, o link.Outcome, now time.Time) {
	if t.suspicion.suspect || t.proven(now, s.provenFor()) {
		return
	}
	switch o {
	case link.Succeeded:
		s.contacts.add(1, contactWeight)
	case link.Failed, link.Broken, link.Refused:
		s.contacts.add(0, contactWeight)
	}
}

// contacts reports whether a request may go to a target to find out whether it works. A request that
// was sent to a target before goes where it is most likely to succeed.
func (p costParams) contacts(rng *rand.Rand, r *Routing) bool {
	return !p.retry && r.chance(rng, contactRate)
}

// takesContact reports whether the target may get a request only to find out whether it works.
func (t *Target) takesContact(now time.Time) bool {
	return t.InFlight() == 0 && t.refusals() < refusingShare && !t.skipped(now)
}

// selectiveCost is the cost of a target of a selective service. Targets that must get a request to
// be known get it only from some of the requests, so that not all hosts send them one.
func (r *Routing) selectiveCost(rng *rand.Rand, t *Target, now time.Time, p costParams) (float64, ChoiceReason) {
	first := t.awaitsFirstRequest()
	unproven := !t.proven(now, p.provenFor) && t.working.Load()
	contact := (first || unproven || p.keepAllInUse) && p.contacts(rng, r)
	p.keepAllInUse = p.keepAllInUse && contact
	p.explore = p.keepAllInUse
	cost, reason := t.cost(now, p)
	cost += refusalCost*t.refusals() + farCosts[t.distance] + selectiveJitter*rng.Float64()
	switch {
	case reason == Due:
	case (first || unproven) && contact && t.takesContact(now):
		cost, reason = min(cost, dueCost), Due
	case unproven || !t.working.Load() || t.InFlight() >= t.Slots:
		cost += outsideCost
	}
	return cost, reason
}
