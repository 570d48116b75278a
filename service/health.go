package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// Health is the health of the targets of a service, as this host sees them.
type Health struct {
	Service string
	// HealthySlots is the healthy capacity, and FloorSlots its floor.
	HealthySlots, FloorSlots int
	// Targets are in the order of the contract.
	Targets []TargetHealth
}

// TargetHealth is the health of one target.
type TargetHealth struct {
	Name  string
	State target.State
	// Since is when the current state began.
	Since time.Time
	// Cut is set while this host has cut its link to the target.
	Cut bool
}

// Health returns the current health of the targets of the service.
func (s *Service) Health() Health {
	h := Health{
		Service:      s.Contract.Service,
		HealthySlots: s.HealthySlots(),
		FloorSlots:   s.FloorSlots(),
		Targets:      make([]TargetHealth, 0, len(s.targets)),
	}
	for _, m := range s.targets {
		h.Targets = append(h.Targets, TargetHealth{
			Name:  m.target.Spec.Name,
			State: m.target.State(),
			Since: m.target.Since(),
			Cut:   m.linkStatus.IsCut(),
		})
	}
	return h
}

// Count returns the number of targets in a state.
func (h Health) Count(state target.State) int {
	n := 0
	for _, t := range h.Targets {
		if t.State == state {
			n++
		}
	}
	return n
}
