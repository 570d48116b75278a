// Package service combines a contract with the targets that it declares, and decides
// which of these targets take new requests. It does no I/O; the current time is passed
// in.
package service

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

// Location describes where a host is in the network.
type Location struct {
	Zone  zone.ID
	Zones *zone.Map
}

// distance returns the one-way network latency to a zone, or 0 without a map of the
// zones.
func (l Location) distance(to zone.ID) time.Duration {
	if l.Zones == nil {
		return 0
	}
	return l.Zones.Distance(l.Zone, to)
}

// managedTarget is a declared target with this host's link to it.
type managedTarget struct {
	target       *target.Target
	link         *link.Link
	linkStatus   link.Status
	openEvidence openEvidence
	// withheld is the cause last recorded for withholding an ejection of the target, or
	// NotWithheld.
	withheld   WithholdCause
	lastReport lastReport
	// nextProbe is when the next probe is due.
	nextProbe time.Time
	// cleanProbes is the number of consecutive probes without a drain header.
	cleanProbes int
}

// Service is this host's view of one service and its targets. The control thread owns
// it.
type Service struct {
	Contract *contract.Contract

	location Location
	// targets are in the order of the contract.
	targets         []*managedTarget
	byName          map[string]*managedTarget
	thresholds      target.Thresholds
	rates           target.Rates
	latencies       *latencies
	nextRateRefresh time.Time
	selfSuspicion   selfSuspicion
	transitions     []Transition
	// routing is the cached view for the traffic side; nil after something in it has
	// changed.
	routing *Routing
	// reporters holds the peers that have sent a report and have not been forgotten
	// since.
	reporters map[string]bool
}

// New returns a service for a contract. Its targets are active at once, because only
// this host is new, not the targets.
func New(c *contract.Contract, location Location, now time.Time) *Service {
	s := &Service{
		location:  location,
		byName:    make(map[string]*managedTarget),
		rates:     target.RatesFor(0),
		latencies: newLatencies(now),
		reporters: make(map[string]bool),
	}
	s.applyContract(c, target.Active, now)
	return s
}

// Apply puts a new contract into force. Targets that stay declared keep their state;
// new and changed ones start warming; targets that are no longer declared are removed.
func (s *Service) Apply(c *contract.Contract, now time.Time) []Transition {
	s.applyContract(c, target.Warming, now)
	s.enforceFloor(now)
	return s.takeTransitions()
}

// applyContract replaces the contract and updates the targets accordingly. New ones
// start in the given state.
func (s *Service) applyContract(c *contract.Contract, state target.State, now time.Time) {
	s.Contract = c
	s.routing = nil
	s.thresholds = target.ThresholdsFor(c.Weight)
	previous := s.byName
	s.targets = nil
	s.byName = make(map[string]*managedTarget, len(c.Targets))
	for _, spec := range c.Targets {
		m := previous[spec.Name]
		if m == nil || !sameInstance(m.target.Spec, spec) {
			m = s.newManagedTarget(spec, state, now)
		}
		m.target.Spec = spec
		s.targets = append(s.targets, m)
		s.byName[spec.Name] = m
	}
}

// sameInstance reports whether two declarations describe the same instance of a target.
func sameInstance(a, b contract.Target) bool {
	return a.Address == b.Address && a.Slots == b.Slots && a.Zone == b.Zone
}

func (s *Service) newManagedTarget(spec contract.Target, state target.State, now time.Time) *managedTarget {
	t := target.New(s.Contract.Service, spec, s.location.Zone, state, now)
	return &managedTarget{
		target:    t,
		link:      link.New(t.Key, spec.Address, spec.Slots, s.location.distance(spec.Zone)),
		nextProbe: now,
	}
}

// Link returns this host's link to a target, or nil if the target is unknown.
func (s *Service) Link(name string) *link.Link {
	if m := s.byName[name]; m != nil {
		return m.link
	}
	return nil
}

// State returns the state of a target, or Gone if the target is unknown.
func (s *Service) State(name string) target.State {
	if m := s.byName[name]; m != nil {
		return m.target.State()
	}
	return target.Gone
}

// Tick does the work that is due at the given time: it ends states and link cuts whose
// time is over, counts requests that are open for too long as evidence, updates the
// self-suspicion and enforces the floor.
func (s *Service) Tick(now time.Time) []Transition {
	s.latencies.Refresh(now)
	s.refreshFailureRates(now)
	for _, m := range s.targets {
		s.advanceState(m, now)
		s.observeOpenRequests(m, now)
		if m.link.SaysLeaving() && !m.target.HasLeaveSignal(target.SignalFromHeader) {
			s.addLeaveSignal(m, target.SignalFromHeader, now) // the response is still being read
		}
		if m.target.Evidence().IsEmpty() {
			continue
		}
		s.evaluate(m, now)
		s.markLinkFaulty(m, now)
	}
	s.updateSelfSuspicion(now)
	s.enforceFloor(now)
	return s.takeTransitions()
}

// advanceState ends the state of a target, and the cut of the link to it, once the time
// of the state or of the cut is over.
func (s *Service) advanceState(m *managedTarget, now time.Time) {
	t := m.target
	if t.State() == target.Active && !m.linkStatus.IsCut() {
		return
	}
	age := now.Sub(t.StateSince())
	switch {
	case t.State() == target.Warming && age >= warmUpTime:
		s.setState(m, target.Active, "warmed up", now)
	case t.EjectionOver(now):
		s.setState(m, target.Probation, "ejection time over", now)
	case t.State() == target.Probation && age >= probationTime && !t.Evidence().IsElevated():
		s.setState(m, target.Active, "passed probation", now)
	}
	if m.linkStatus.RestoreDue(now) {
		s.restoreLink(m, now)
	}
}
