package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// Health tells how the targets of a service are, as this host sees them.
type Health struct {
	Service string
	// HealthySlots is the healthy capacity, and FloorSlots its floor.
	HealthySlots, FloorSlots int
	// Targets are in the order of the contract.
	Targets []TargetHealth
}

// TargetHealth tells how one target is.
type TargetHealth struct {
	Name  string
	State target.State
	// Since is when the state began.
	Since time.Time
	// Cut is set while this host routes around its own path to the target.
	Cut bool
}

// Health returns how the targets of the service are.
func (s *Service) Health() Health {
	h := Health{
		Service:      s.Contract.Service,
		HealthySlots: s.HealthySlots(),
		FloorSlots:   s.FloorSlots(),
		Targets:      make([]TargetHealth, 0, len(s.members)),
	}
	for _, m := range s.members {
		h.Targets = append(h.Targets, TargetHealth{
			Name:  m.target.Spec.Name,
			State: m.target.State(),
			Since: m.target.Since(),
			Cut:   m.path.IsCut(),
		})
	}
	return h
}

// Count returns how many targets are in a state.
func (h Health) Count(state target.State) int {
	n := 0
	for _, t := range h.Targets {
		if t.State == state {
			n++
		}
	}
	return n
}
