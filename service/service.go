// Package service joins a contract with the targets it declares, and decides
// which of them take work. It does no I/O; time is passed in.
package service

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

// Transition is a change of a target's state, with the reason for it.
type Transition struct {
	Target target.Key
	From   target.State
	To     target.State
	Reason string
	// LLR is the evidence at that moment, in nats.
	LLR float64
}

// Service is one service as this host sees it. The control thread owns it.
type Service struct {
	Contract *contract.Contract

	targets map[string]*target.Target
	links   map[string]*link.Link
	rates   target.Rates
}

// New returns a service for a contract, with every target warming.
func New(c *contract.Contract, now time.Time) *Service {
	s := &Service{
		targets: make(map[string]*target.Target),
		links:   make(map[string]*link.Link),
	}
	s.Apply(c, now)
	return s
}

// ratesFor translates a contract's weight into the rates of the test.
func ratesFor(w contract.Weight) target.Rates {
	r := target.Rates{Healthy: 0.01, Gray: 0.3, FalseEjection: 1e-6}
	switch w {
	case contract.WeightDetection:
		r.FalseEjection = 1e-4
	case contract.WeightSafety:
		r.FalseEjection = 1e-9
	}
	return r
}

// Apply puts a new contract in force. Targets that stay declared keep their
// state; targets that are declared no more are forgotten.
func (s *Service) Apply(c *contract.Contract, now time.Time) {
	s.Contract = c
	s.rates = ratesFor(c.Weight)
	declared := make(map[string]bool, len(c.Targets))
	for _, spec := range c.Targets {
		declared[spec.Name] = true
		t, known := s.targets[spec.Name]
		if known && t.Spec.Address == spec.Address && t.Spec.Slots == spec.Slots {
			t.Spec = spec
			continue
		}
		t = target.New(c.Service, spec, now)
		s.targets[spec.Name] = t
		s.links[spec.Name] = link.New(t.Key, spec.Address, spec.Slots)
	}
	for name := range s.targets {
		if !declared[name] {
			delete(s.targets, name)
			delete(s.links, name)
		}
	}
}

// HealthySlots returns the slots of the targets that count as healthy.
func (s *Service) HealthySlots() int {
	total := 0
	for _, t := range s.targets {
		if t.CountsAsHealthy() {
			total += t.Spec.Slots
		}
	}
	return total
}

// Observe counts an observation and returns the transitions it causes.
func (s *Service) Observe(o link.Observation) []Transition {
	t, ok := s.targets[o.Target.Name]
	if !ok {
		return nil
	}
	if o.Leaving && t.State() != target.Leaving {
		return []Transition{s.move(t, target.Leaving, "drain sign on an answer", o.At)}
	}
	switch o.Outcome {
	case link.Canceled, link.Refused:
		return nil
	case link.Succeeded:
		t.Evidence().Add(false, s.rates)
	default:
		t.Evidence().Add(true, s.rates)
	}
	if t.State() != target.Active || t.Evidence().LLR() < s.rates.Threshold() {
		return nil
	}
	if !s.Contract.Floor.AllowsEjection(s.Contract.Slots(), s.HealthySlots(), t.Spec.Slots) {
		return nil
	}
	return []Transition{s.move(t, target.Ejected, "evidence above the threshold", o.At)}
}

// Warm-up and re-admission times of a target.
const (
	warmUpTime   = 2 * time.Second
	ejectionTime = 10 * time.Second
)

// Tick advances the states that change with time.
func (s *Service) Tick(now time.Time) []Transition {
	var out []Transition
	for _, t := range s.targets {
		switch {
		case t.State() == target.Warming && now.Sub(t.Since()) >= warmUpTime:
			out = append(out, s.move(t, target.Active, "warmed up", now))
		case t.State() == target.Ejected && now.Sub(t.Since()) >= ejectionTime:
			t.Evidence().Reset()
			out = append(out, s.move(t, target.Active, "ejection time over", now))
		}
	}
	return out
}

func (s *Service) move(t *target.Target, to target.State, reason string, now time.Time) Transition {
	tr := Transition{Target: t.Key, From: t.State(), To: to, Reason: reason, LLR: t.Evidence().LLR()}
	t.SetState(to, now)
	return tr
}

// Routing returns the immutable view of the service that traffic reads.
func (s *Service) Routing() *Routing {
	r := &Routing{Contract: s.Contract}
	for _, spec := range s.Contract.Targets {
		if s.targets[spec.Name].TakesWork() {
			r.Links = append(r.Links, s.links[spec.Name])
		}
	}
	if len(r.Links) == 0 {
		r.Panic = true
		for _, spec := range s.Contract.Targets {
			r.Links = append(r.Links, s.links[spec.Name])
		}
	}
	return r
}

// Drain marks a target as leaving because of a sign from the given source.
func (s *Service) Drain(name, source string, now time.Time) []Transition {
	t, ok := s.targets[name]
	if !ok || t.State() == target.Leaving {
		return nil
	}
	return []Transition{s.move(t, target.Leaving, "drain sign from "+source, now)}
}
