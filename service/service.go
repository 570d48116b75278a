// Package service joins a contract with the targets it declares, and decides
// which of them take work. It does no I/O; time is passed in.
package service

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

// Place is where in the network the host is that a Service belongs to.
type Place struct {
	Zone  zone.ID
	Zones *zone.Map
}

func (p Place) distance(to zone.ID) time.Duration {
	if p.Zones == nil {
		return 0
	}
	return p.Zones.Distance(p.Zone, to)
}

// member is a declared target with this host's link to it.
type member struct {
	target *target.Target
	link   *link.Link
	path   link.Path
	open   openRequests
	// withheld is the last cause for which an ejection was withheld.
	withheld Cause
	report   reportState
	// nextProbe is when the next probe is due.
	nextProbe time.Time
	// cleanProbes counts the probes in a row without a drain sign.
	cleanProbes int
}

// Service is one service as this host sees it. The control thread owns it.
type Service struct {
	Contract *contract.Contract

	place Place
	// members are in the order of the contract.
	members    []*member
	byName     map[string]*member
	thresholds target.Thresholds
	rates      target.Rates
	latencies  *latencies
	nextRates  time.Time
	doubt      doubt
	transition []Transition
	// routing is the last view for traffic; nil after something changed in it.
	routing *Routing
	// reporters are the hosts that have reported since they were last
	// forgotten.
	reporters map[string]bool
}

// New returns a service for a contract. Its targets are active at once: it is
// this host that is new, not they.
func New(c *contract.Contract, place Place, now time.Time) *Service {
	s := &Service{
		place:     place,
		byName:    make(map[string]*member),
		rates:     target.RatesAround(0),
		latencies: newLatencies(now),
		reporters: make(map[string]bool),
	}
	s.declare(c, target.Active, now)
	return s
}

// Apply puts a new contract in force. Targets that stay declared keep their
// state; new and changed ones start warming; targets that are declared no more
// are forgotten.
func (s *Service) Apply(c *contract.Contract, now time.Time) []Transition {
	s.declare(c, target.Warming, now)
	s.holdFloor(now)
	return s.take()
}

// declare brings the members in line with a contract. New ones begin in the
// given state.
func (s *Service) declare(c *contract.Contract, state target.State, now time.Time) {
	s.Contract = c
	s.routing = nil
	s.thresholds = target.ThresholdsFor(c.Weight)
	known := s.byName
	s.members = nil
	s.byName = make(map[string]*member, len(c.Targets))
	for _, spec := range c.Targets {
		m := known[spec.Name]
		if m == nil || !sameInstance(m.target.Spec, spec) {
			m = s.newMember(spec, state, now)
		}
		m.target.Spec = spec
		s.members = append(s.members, m)
		s.byName[spec.Name] = m
	}
}

// sameInstance reports whether two declarations mean the same instance.
func sameInstance(a, b contract.Target) bool {
	return a.Address == b.Address && a.Slots == b.Slots && a.Zone == b.Zone
}

func (s *Service) newMember(spec contract.Target, state target.State, now time.Time) *member {
	t := target.New(s.Contract.Service, spec, s.place.Zone, state, now)
	return &member{
		target:    t,
		link:      link.New(t.Key, spec.Address, spec.Slots, s.place.distance(spec.Zone)),
		nextProbe: now,
	}
}

// Link returns this host's link to a target, or nil for an unknown one.
func (s *Service) Link(name string) *link.Link {
	if m := s.byName[name]; m != nil {
		return m.link
	}
	return nil
}

// State returns the state of a target; Gone for an unknown one.
func (s *Service) State(name string) target.State {
	if m := s.byName[name]; m != nil {
		return m.target.State()
	}
	return target.Gone
}

// Tick lets time pass: states advance, open requests become evidence.
func (s *Service) Tick(now time.Time) []Transition {
	s.latencies.Refresh(now)
	s.refreshRates(now)
	for _, m := range s.members {
		s.advance(m, now)
		s.watchOpen(m, now)
		if m.target.Pool().Quiet() {
			continue
		}
		s.judge(m, now)
		s.blameLink(m, now)
	}
	s.updateDoubt(now)
	s.holdFloor(now)
	return s.take()
}

// advance moves a member's state along with time.
func (s *Service) advance(m *member, now time.Time) {
	t := m.target
	if t.State() == target.Active && !m.path.IsCut() {
		return
	}
	age := now.Sub(t.Since())
	switch {
	case t.State() == target.Warming && age >= warmUpTime:
		s.move(m, target.Active, "warmed up", now)
	case t.EjectionOver(now):
		s.move(m, target.Probation, "ejection time over", now)
	case t.State() == target.Probation && age >= probationTime && !t.Pool().Hot():
		s.move(m, target.Active, "passed probation", now)
	}
	if m.path.RestoreDue(now) {
		s.restoreLink(m, now)
	}
}
