package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// cleanProbesToWithdraw is the number of consecutive probes without a drain header
// after which the target's own leave signal is withdrawn.
const cleanProbesToWithdraw = 2

// Drain sets a leave signal of a target, which marks the target as leaving.
func (s *Service) Drain(name string, signal target.Sign, now time.Time) []Transition {
	if m, ok := s.byName[name]; ok {
		s.addLeaveSignal(m, signal, now)
	}
	return s.takeTransitions()
}

// Withdraw withdraws a leave signal of a target. A target without any leave signal left
// is readmitted as warming.
func (s *Service) Withdraw(name string, signal target.Sign, now time.Time) []Transition {
	if m, ok := s.byName[name]; ok {
		s.withdrawLeaveSignal(m, signal, now)
	}
	return s.takeTransitions()
}

// addLeaveSignal sets a leave signal. Requests that fail because a target is leaving do
// not mean that it is failing, so a leaving target collects no more evidence.
func (s *Service) addLeaveSignal(m *managedTarget, signal target.Sign, now time.Time) {
	m.target.AddSign(signal)
	m.cleanProbes = 0
	if m.target.State() == target.Leaving {
		return
	}
	s.setState(m, target.Leaving, "drain sign: "+signal.String(), now)
	s.enforceFloor(now)
}

// withdrawLeaveSignal withdraws a leave signal and readmits the target if it was the
// last one.
func (s *Service) withdrawLeaveSignal(m *managedTarget, signal target.Sign, now time.Time) {
	if !m.target.HasSign(signal) {
		return
	}
	m.target.WithdrawSign(signal)
	if m.target.Signed() {
		return
	}
	s.setState(m, target.Warming, "drain sign withdrawn: "+signal.String(), now)
}

// updatePeerLeaveSignal sets or withdraws the leave signal that stands for the reports
// of peers.
func (s *Service) updatePeerLeaveSignal(m *managedTarget, now time.Time) {
	leaving := m.target.Pool().PeerSaysLeaving()
	switch {
	case leaving && !m.target.HasSign(target.SignPeer):
		s.addLeaveSignal(m, target.SignPeer, now)
	case !leaving:
		s.withdrawLeaveSignal(m, target.SignPeer, now)
	}
}

// Leaving returns a report for each target that has a leave signal other than the
// response of the entry set.
func (s *Service) Leaving() []Report {
	var reports []Report
	for _, m := range s.targets {
		if m.target.SignedAside() {
			reports = append(reports, Report{Target: m.target.Key, News: target.News{Leaving: true}})
		}
	}
	return reports
}

// SignedHere reports whether this host itself has a leave signal of a target, as
// opposed to one received from another host.
func (s *Service) SignedHere(name string) bool {
	m, ok := s.byName[name]
	return ok && m.target.SignedHere()
}
