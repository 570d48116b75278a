package service

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// Times of the states that pass by themselves.
const (
	warmUpTime    = 10 * time.Second
	probationTime = 10 * time.Second
)

const (
	// noticeable is the evidence from which a target counts towards a
	// service-wide disturbance, in nats.
	noticeable = 2.5
	// wideShare is the share of the other targets that must be noticeable for
	// a disturbance to count as service-wide.
	wideShare = 0.4
	// strongShare is the share of the threshold from which the evidence against
	// another target is strong: at the beginning of a disturbance few targets
	// have had requests enough to be noticeable. Strong ones count already when
	// they are just wideShare of the others.
	strongShare = 0.3
	// heldShare is the share of the threshold to which evidence is cut back
	// while a disturbance is service-wide.
	heldShare = 0.8
)

// judge acts on the evidence against a member.
func (s *Service) judge(m *member, now time.Time) {
	for k := range target.Suspicions {
		if m.target.TakesWork() {
			s.judgeSuspicion(m, k, now)
		}
	}
	if m.withheld != NotWithheld && s.calm(m) {
		m.withheld = NotWithheld
	}
}

// calm reports whether the evidence against a member is far from a verdict.
func (s *Service) calm(m *member) bool {
	sum := m.target.Pool().Sum()
	for k := range target.Suspicions {
		if sum[k] >= float64(s.thresholds[k].OnProbation()) {
			return false
		}
	}
	return true
}

func (s *Service) judgeSuspicion(m *member, k target.Suspicion, now time.Time) {
	t := m.target
	h := s.thresholdOf(m, k)
	verdict := t.Judge(k, h, now)
	broken := s.linkSuspected(m, k, now)
	if verdict == target.Unproved && !broken {
		return
	}
	switch {
	case s.serviceWide(m, k):
		t.Pool().Limit(k, heldShare*float64(h))
		t.Pool().LimitOwn(k, heldShare*float64(s.linkThreshold(m, k, now)))
		s.withhold(m, HeldServiceWide)
	case verdict == target.Gray && s.floorAllows(m):
		s.move(m, target.Ejected, s.evidenceOf(m, k), now)
	case verdict == target.Gray:
		t.Pool().Limit(k, float64(h))
		s.withhold(m, HeldByFloor)
	case broken:
		s.cutLink(m, k, now)
	default:
		s.withhold(m, HeldByDispute)
	}
}

// thresholdOf returns the threshold of a suspicion for a member in its present
// state.
func (s *Service) thresholdOf(m *member, k target.Suspicion) target.Threshold {
	if m.target.State() == target.Probation {
		return s.thresholds[k].OnProbation()
	}
	return s.thresholds[k]
}

// evidenceOf describes the evidence that led to an ejection.
func (s *Service) evidenceOf(m *member, k target.Suspicion) string {
	return fmt.Sprintf("%s: evidence %.1f nats, threshold %.1f",
		k, m.target.Pool().Sum()[k], float64(s.thresholdOf(m, k)))
}

// withhold notes once for each cause that an ejection does not happen.
func (s *Service) withhold(m *member, c Cause) {
	if m.withheld == c {
		return
	}
	m.withheld = c
	s.note(m, EjectionWithheld, c.String())
}

// serviceWide reports whether so many of the other targets are under the same
// suspicion that the service as a whole is disturbed, not the member.
func (s *Service) serviceWide(m *member, k target.Suspicion) bool {
	others, suspected, strongly := 0, 0, 0
	strong := strongShare * float64(s.thresholds[k])
	for _, other := range s.members {
		if other == m || !other.target.TakesWork() {
			continue
		}
		others++
		sum := other.target.Pool().Sum()[k]
		if sum >= noticeable {
			suspected++
		}
		if sum >= strong {
			strongly++
		}
	}
	limit := wideShare * float64(others)
	return others >= 2 && (float64(suspected) > limit || float64(strongly) >= limit)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
