package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// HealthySlots returns the healthy capacity: the slots of the targets that are
// declared and neither leaving, ejected, nor cold (warming or on probation).
func (s *Service) HealthySlots() int {
	total := 0
	for _, m := range s.members {
		if m.target.CountsAsHealthy() {
			total += m.target.Spec.Slots
		}
	}
	return total
}

// FloorSlots returns the floor of healthy capacity, in slots.
func (s *Service) FloorSlots() int {
	return s.Contract.Floor.MinSlots(s.Contract.Slots())
}

// floorAllows reports whether the floor holds without the slots of a member.
func (s *Service) floorAllows(m *member) bool {
	slots := 0
	if m.target.CountsAsHealthy() {
		slots = m.target.Spec.Slots
	}
	return s.Contract.Floor.AllowsEjection(s.Contract.Slots(), s.HealthySlots(), slots)
}

// holdFloor readmits ejected targets, those with the least evidence against
// them first, while the healthy capacity is below the floor for whatever
// reason. So an ejection never is what keeps it there.
func (s *Service) holdFloor(now time.Time) {
	for s.HealthySlots() < s.FloorSlots() {
		m := s.leastSuspected()
		if m == nil {
			return
		}
		s.move(m, target.Active, "needed for the floor", now)
	}
}

// leastSuspected returns the ejected member with the least evidence against
// it, or nil when none is ejected.
func (s *Service) leastSuspected() *member {
	var best *member
	for _, m := range s.members {
		if m.target.State() != target.Ejected {
			continue
		}
		if best == nil || m.target.Pool().Sum().Max() < best.target.Pool().Sum().Max() {
			best = m
		}
	}
	return best
}
