package service

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// Durations of the states that end after a fixed time.
const (
	warmUpTime    = 10 * time.Second
	probationTime = 10 * time.Second
)

const (
	// noticeableNats is the evidence, in nats, from which a target counts as suspected
	// in the check for a service-wide disturbance.
	noticeableNats = 2.5
	// serviceWideShare is the share of the other targets above which a disturbance
	// counts as service-wide: if more of them are under the same suspicion, the
	// ejection is withheld.
	serviceWideShare = 0.4
	// strongEvidenceShare is the share of the threshold from which another target
	// counts as strongly suspected. At the beginning of a disturbance few targets have
	// received enough requests to be suspected. A disturbance is therefore service-wide
	// as soon as the strongly suspected targets reach serviceWideShare of the others,
	// whereas all suspected targets together must exceed it.
	strongEvidenceShare = 0.3
	// withheldEvidenceShare is the share of the threshold to which evidence is limited
	// during a service-wide disturbance.
	withheldEvidenceShare = 0.8
)

// evaluate acts on the evidence against a target.
func (s *Service) evaluate(m *managedTarget, now time.Time) {
	for k := range target.Suspicions {
		if m.target.TakesRequests() {
			s.evaluateSuspicion(m, k, now)
		}
	}
	if m.withheld != NotWithheld && s.belowProbationThresholds(m) {
		m.withheld = NotWithheld
	}
}

// belowProbationThresholds reports whether the evidence against a target is below the
// probation threshold of every suspicion.
func (s *Service) belowProbationThresholds(m *managedTarget) bool {
	sum := m.target.Evidence().Sum()
	for k := range target.Suspicions {
		if sum[k] >= float64(s.thresholds[k].ForProbation()) {
			return false
		}
	}
	return true
}

// evaluateSuspicion acts on the evidence for one suspicion, if it suffices: it ejects
// the target, cuts the link to it, or records why the ejection is withheld.
func (s *Service) evaluateSuspicion(m *managedTarget, k target.Suspicion, now time.Time) {
	t := m.target
	threshold := s.threshold(m, k)
	verdict := t.Evaluate(k, threshold, now)
	linkSuspected := s.linkSuspected(m, k, now)
	if verdict == target.Inconclusive && !linkSuspected {
		return
	}
	switch {
	case s.isServiceWide(m, k):
		t.Evidence().ScaleDown(k, withheldEvidenceShare*float64(threshold))
		t.Evidence().LimitOwnCUSUM(k, withheldEvidenceShare*float64(s.linkThreshold(m, k, now)))
		s.recordWithheld(m, WithheldServiceWide)
	case verdict == target.Gray && s.floorAllowsEjection(m):
		s.setState(m, target.Ejected, s.ejectionReason(m, k), now)
	case verdict == target.Gray:
		t.Evidence().ScaleDown(k, float64(threshold))
		s.recordWithheld(m, WithheldByFloor)
	case linkSuspected:
		s.cutLink(m, k, now)
	default:
		s.recordWithheld(m, WithheldByDispute)
	}
}

// threshold returns the threshold of a suspicion for a target in its current state.
func (s *Service) threshold(m *managedTarget, k target.Suspicion) target.Threshold {
	if m.target.State() == target.Probation {
		return s.thresholds[k].ForProbation()
	}
	return s.thresholds[k]
}

// ejectionReason describes the evidence that led to an ejection.
func (s *Service) ejectionReason(m *managedTarget, k target.Suspicion) string {
	return fmt.Sprintf("%s: evidence %.1f nats, threshold %.1f",
		k, m.target.Evidence().Sum()[k], float64(s.threshold(m, k)))
}

// recordWithheld records, once per cause, that an ejection is withheld.
func (s *Service) recordWithheld(m *managedTarget, cause WithholdCause) {
	if m.withheld == cause {
		return
	}
	m.withheld = cause
	s.recordTransition(m, EjectionWithheld, cause.String())
}

// isServiceWide reports whether so many of the other targets are under the same
// suspicion that the fault affects the service as a whole rather than this target.
func (s *Service) isServiceWide(m *managedTarget, k target.Suspicion) bool {
	others, suspected, stronglySuspected := 0, 0, 0
	strongNats := strongEvidenceShare * float64(s.thresholds[k])
	for _, other := range s.targets {
		if other == m || !other.target.TakesRequests() {
			continue
		}
		others++
		sum := other.target.Evidence().Sum()[k]
		if sum >= noticeableNats {
			suspected++
		}
		if sum >= strongNats {
			stronglySuspected++
		}
	}
	limit := serviceWideShare * float64(others)
	return others >= 2 && (float64(suspected) > limit || float64(stronglySuspected) >= limit)
}

// median returns the median of the values, which it sorts, or 0 for none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
