package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// ProbeResult is the result of a probe of a target, an active health check.
type ProbeResult struct {
	Target string
	// Passed is set when the health endpoint responded with success.
	Passed bool
	// Leaving is set when the response carried the target's drain header.
	Leaving bool
}

// DueProbes returns the targets that this host should probe now. The function mine
// reports whether this host is responsible for probing a target. A host that received a
// target's drain header probes the target in any case, to learn when the header is
// withdrawn.
func (s *Service) DueProbes(now time.Time, mine func(targetName string) bool) []target.Key {
	health := s.Contract.Health
	if health.Path == "" || health.Interval <= 0 {
		return nil
	}
	var due []target.Key
	for _, m := range s.targets {
		if now.Before(m.nextProbe) {
			continue
		}
		m.nextProbe = now.Add(health.Interval)
		if mine(m.target.Key.Name) || m.target.HasLeaveSignal(target.SignalFromHeader) {
			due = append(due, m.target.Key)
		}
	}
	return due
}

// ObserveProbe processes the result of a probe and returns the transitions that it
// causes.
func (s *Service) ObserveProbe(p ProbeResult, now time.Time) []Transition {
	m, ok := s.byName[p.Target]
	if !ok {
		return nil
	}
	switch {
	case p.Leaving:
		s.addLeaveSignal(m, target.SignalFromHeader, now)
	case p.Passed:
		s.countCleanProbe(m, now)
	}
	if m.target.TakesRequests() {
		m.target.AddProbe(p.Passed, s.thresholds[target.Failing])
		s.evaluate(m, now)
	}
	return s.takeTransitions()
}

// countCleanProbe counts a probe without a drain header. After cleanProbesToWithdraw
// such probes in a row it withdraws SignalFromHeader.
func (s *Service) countCleanProbe(m *managedTarget, now time.Time) {
	m.cleanProbes++
	if m.cleanProbes >= cleanProbesToWithdraw {
		s.withdrawLeaveSignal(m, target.SignalFromHeader, now)
	}
}
