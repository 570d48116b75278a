package pool

import "time"

// selective reports whether the service sends trial requests only where they are worth the
// requests that they lose. A service with enough retryable requests loses none.
func (s *Service) selective() bool {
	return (!s.HasRetryable || !s.explores) && !s.tooFewRequests && len(s.eligible) >= minSelectiveTargets
}

// requestKinds counts the attempts of a service and those of them whose requests may run again, with
// earlier ones weighing less. seconds is the time that they are counted over.
type requestKinds struct{ attempts, retryable, seconds float64 }

const (
	// minSelectiveTargets is the number of targets from which a service may choose its trial
	// requests selectively. With fewer targets, each of them is a
	// large part of the floor, and a single failing one brings the service above the share of
	// unserved requests that the floor is owed from.
	minSelectiveTargets = 20
	// kindsKept is the part of the counts that a Refresh keeps. It averages over about ten seconds,
	// since few requests may be retryable.
	kindsKept = 0.975
	// minKindsObserved is how many attempts must have been counted before the kinds decide
	// anything.
	minKindsObserved = 100
	// exploresHysteresis is how much fewer retryable requests end the exploring by them than
	// begin it.
	exploresHysteresis = 0.7
	// minExploringShare is the share of retryable requests from which they suffice in any case:
	// the others then rarely meet a target that none of them has tried.
	minExploringShare = 0.2
	// maxTrialShare is the share of a service's requests up to which each suspect gets a trial
	// request every maxTrialDelay. Beyond it, the trial requests that fail take the retries and
	// the second attempts that other requests need.
	maxTrialShare = 0.1
	// mostlyRetryable is the share of retryable requests from which maxTrialShare applies. Below it, their
	// trial requests spare the others, which may run only once.
	mostlyRetryable = 0.5
	// minSelectiveRate is the rate of requests for each target, per second, from which a service with
	// few retryable requests is selective, and selectiveRateHysteresis how much fewer end that.
	// With fewer requests, a target of the floor may not get one in time when many suddenly fail.
	minSelectiveRate        = 1.8
	selectiveRateHysteresis = 0.85
	// suspectsWeight averages the number of suspects over about five seconds.
	suspectsWeight = 0.05
)

// updateExplores decides whether retryable requests suffice to find out which targets work: one for
// each target in floorWindow, with few enough trial requests among them. Some services whose requests
// may run only once also have a few that may be repeated, such as those of tests. It is called with
// the counts since the last Refresh.
func (s *Service) updateExplores(counts demandCounts, interval time.Duration) {
	k := &s.kinds
	if k.attempts == 0 && counts.attempts == 0 {
		return
	}
	k.attempts = kindsKept*k.attempts + float64(counts.attempts)
	k.retryable = kindsKept*k.retryable + float64(counts.retryable)
	k.seconds = kindsKept*k.seconds + interval.Seconds()
	suspects := 0
	for _, t := range s.eligible {
		if t.suspicion.suspect {
			suspects++
		}
	}
	s.suspects.add(float64(suspects), suspectsWeight)
	if k.attempts < minKindsObserved {
		return
	}
	share, targets := k.retryable/k.attempts, float64(len(s.eligible))
	rate := k.attempts / k.seconds
	needed := min(targets/floorWindow.Seconds()/rate, minExploringShare)
	trials := s.suspects.value / maxTrialDelay.Seconds() / rate
	if s.explores {
		needed *= exploresHysteresis
		trials *= exploresHysteresis
	}
	minRate := minSelectiveRate * targets
	if !s.tooFewRequests {
		minRate *= selectiveRateHysteresis
	}
	few := share < needed
	s.mostlyRetryable = share >= mostlyRetryable
	s.explores = !few && (trials <= maxTrialShare || !s.mostlyRetryable)
	s.tooFewRequests = few && rate < minRate
	s.publishedSelective.Store(s.selective())
}
