package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// cleanProbesToWithdraw is the number of consecutive probes without a drain header
// after which the target's own leave signal is withdrawn.
const cleanProbesToWithdraw = 2

// AddLeaveSignal sets a leave signal of a target, which marks the target as leaving.
func (s *Service) AddLeaveSignal(name string, signal target.LeaveSignal, now time.Time) []Transition {
	if m, ok := s.byName[name]; ok {
		s.addLeaveSignal(m, signal, now)
	}
	return s.takeTransitions()
}

// WithdrawLeaveSignal withdraws a leave signal of a target. A target without any leave
// signal left is readmitted as warming.
func (s *Service) WithdrawLeaveSignal(name string, signal target.LeaveSignal, now time.Time) []Transition {
	if m, ok := s.byName[name]; ok {
		s.withdrawLeaveSignal(m, signal, now)
	}
	return s.takeTransitions()
}

// addLeaveSignal sets a leave signal. Requests that fail because a target is leaving do
// not mean that it is failing, so a leaving target collects no more evidence.
func (s *Service) addLeaveSignal(m *managedTarget, signal target.LeaveSignal, now time.Time) {
	m.target.AddLeaveSignal(signal)
	m.cleanProbes = 0
	if m.target.State() == target.Leaving {
		return
	}
	s.setState(m, target.Leaving, "drain sign: "+signal.String(), now)
	s.enforceFloor(now)
}

// withdrawLeaveSignal withdraws a leave signal and readmits the target if it was the
// last one.
func (s *Service) withdrawLeaveSignal(m *managedTarget, signal target.LeaveSignal, now time.Time) {
	if !m.target.HasLeaveSignal(signal) {
		return
	}
	m.target.WithdrawLeaveSignal(signal)
	if signal == target.SignalFromHeader {
		m.link.Readmit()
	}
	if m.target.HasAnyLeaveSignal() {
		return
	}
	s.setState(m, target.Warming, "drain sign withdrawn: "+signal.String(), now)
}

// updatePeerLeaveSignal sets SignalFromPeer if a peer reports that the target is
// leaving, and withdraws it otherwise.
func (s *Service) updatePeerLeaveSignal(m *managedTarget, now time.Time) {
	leaving := m.target.Evidence().PeerReportsLeaving()
	switch {
	case leaving && !m.target.HasLeaveSignal(target.SignalFromPeer):
		s.addLeaveSignal(m, target.SignalFromPeer, now)
	case !leaving:
		s.withdrawLeaveSignal(m, target.SignalFromPeer, now)
	}
}

// LeavingReports returns a report for each target that has a leave signal other than
// SignalFromEntrySet.
func (s *Service) LeavingReports() []TargetReport {
	var reports []TargetReport
	for _, m := range s.targets {
		if m.target.HasLeaveSignalBesidesResponse() {
			reports = append(reports, TargetReport{Target: m.target.Key, Report: target.Report{Leaving: true}})
		}
	}
	return reports
}

// HasOwnLeaveSignal reports whether this host itself has a leave signal of a target, as
// opposed to one received from another host.
func (s *Service) HasOwnLeaveSignal(name string) bool {
	m, ok := s.byName[name]
	return ok && m.target.HasOwnLeaveSignal()
}
