package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// Probe is the answer of a target's health endpoint.
type Probe struct {
	Target string
	// Passed is set when the endpoint answered with success.
	Passed bool
	// Leaving is set when the answer carried the target's drain sign.
	Leaving bool
}

// DueProbes returns the targets that this host should probe now. Mine reports
// whether a target's probes fall to this host. A host that got a target's own
// drain sign probes it in any case, to learn when the sign is withdrawn.
func (s *Service) DueProbes(now time.Time, mine func(targetName string) bool) []target.Key {
	health := s.Contract.Health
	if health.Path == "" || health.Interval <= 0 {
		return nil
	}
	var due []target.Key
	for _, m := range s.members {
		if now.Before(m.nextProbe) {
			continue
		}
		m.nextProbe = now.Add(health.Interval)
		if mine(m.target.Key.Name) || m.target.HasSign(target.SignHeader) {
			due = append(due, m.target.Key)
		}
	}
	return due
}

// ObserveProbe counts a probe's answer and returns the transitions it causes.
func (s *Service) ObserveProbe(p Probe, now time.Time) []Transition {
	m, ok := s.byName[p.Target]
	if !ok {
		return nil
	}
	switch {
	case p.Leaving:
		s.sign(m, target.SignHeader, now)
	case p.Passed:
		s.countCleanProbe(m, now)
	}
	if m.target.TakesWork() {
		m.target.AddProbe(p.Passed, s.thresholds[target.Failing])
		s.judge(m, now)
	}
	return s.take()
}

// countCleanProbe withdraws a target's own drain sign once it stays away.
func (s *Service) countCleanProbe(m *member, now time.Time) {
	m.cleanProbes++
	if m.cleanProbes >= cleanProbesToReturn {
		s.unsign(m, target.SignHeader, now)
	}
}
