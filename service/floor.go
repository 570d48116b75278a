package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// HealthySlots returns the healthy capacity: the slots of the declared targets that are
// active, that is, neither warming, ejected, on probation nor leaving.
func (s *Service) HealthySlots() int {
	total := 0
	for _, m := range s.targets {
		if m.target.CountsAsHealthy() {
			total += m.target.Spec.Slots
		}
	}
	return total
}

// FloorSlots returns the floor of healthy capacity, in slots.
func (s *Service) FloorSlots() int {
	return s.Contract.Floor.MinSlots(s.Contract.TotalSlots())
}

// floorAllowsEjection reports whether the healthy capacity stays at or above the floor
// without the slots of a target.
func (s *Service) floorAllowsEjection(m *managedTarget) bool {
	slots := 0
	if m.target.CountsAsHealthy() {
		slots = m.target.Spec.Slots
	}
	return s.Contract.Floor.AllowsEjection(s.Contract.TotalSlots(), s.HealthySlots(), slots)
}

// enforceFloor readmits ejected targets, those with the least evidence first, while the
// healthy capacity is below the floor for whatever reason. Thus no ejection ever keeps
// the capacity below the floor.
func (s *Service) enforceFloor(now time.Time) {
	for s.HealthySlots() < s.FloorSlots() {
		m := s.leastSuspected()
		if m == nil {
			return
		}
		s.setState(m, target.Active, "needed for the floor", now)
	}
}

// leastSuspected returns the ejected target with the least evidence against it, or nil
// if none is ejected.
func (s *Service) leastSuspected() *managedTarget {
	var least *managedTarget
	for _, m := range s.targets {
		if m.target.State() != target.Ejected {
			continue
		}
		if least == nil || m.target.Evidence().Sum().Max() < least.target.Evidence().Sum().Max() {
			least = m
		}
	}
	return least
}
