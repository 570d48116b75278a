package service

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/target"
)

const (
	// reportStepNats is the smallest change of the evidence, in nats, that is always
	// reported immediately.
	reportStepNats = noticeableNats
	// reportRepeatInterval is the time after which an unchanged report is sent again,
	// for peers that are new or missed it.
	reportRepeatInterval = 10 * time.Second
)

// TargetReport is a host's report about one target. It is sent to the peers that
// exchange reports about the target's service.
type TargetReport struct {
	Target target.Key
	Report target.Report
}

// lastReport is the report that was last sent about a target.
type lastReport struct {
	content target.Report
	sentAt  time.Time
}

// Reports returns the reports that are due. A report about a target is due after a
// significant change of the evidence, after every change while the evidence is
// elevated, after a change of Leaving, Limit or LinkCut, and periodically. The caller sends
// each report to every peer that exchanges reports about the service. A lost report
// need not be repeated, because the next one replaces it.
func (s *Service) Reports(now time.Time) []TargetReport {
	var reports []TargetReport
	for _, m := range s.targets {
		report := m.target.Evidence().OwnReport()
		report.Leaving = m.target.HasOwnLeaveSignal()
		report.Limit = m.link.RateLimit()
		report.LinkCut = s.selfSuspicion.active || m.linkStatus.Faulty()
		if !m.lastReport.needsUpdate(report, m.target.Evidence().IsElevated(), now) {
			continue
		}
		report.Sequence = m.lastReport.content.Sequence + 1
		m.lastReport = lastReport{content: report, sentAt: now}
		reports = append(reports, TargetReport{Target: m.target.Key, Report: report})
	}
	return reports
}

// HasUrgentReport reports whether a report must be sent immediately, because a request
// failed, because elevated evidence changed, or because the target stated another rate limit. Other reports can wait for the next
// regular exchange.
func (s *Service) HasUrgentReport() bool {
	for _, m := range s.targets {
		ev := m.target.Evidence()
		if m.link.RateLimit() != m.lastReport.content.Limit {
			return true
		}
		if ev.IsEmpty() {
			continue
		}
		total, sent := ev.OwnTotal(), m.lastReport.content.Total
		failed := total[target.Failing]-sent[target.Failing] >= reportStepNats
		if failed || ev.IsElevated() && total != sent {
			return true
		}
	}
	return false
}

// ResendReports makes the reports of all targets due again, for a peer that has just
// joined the exchange.
func (s *Service) ResendReports() {
	for _, m := range s.targets {
		m.lastReport.sentAt = time.Time{}
	}
}

// needsUpdate reports whether the given report must be sent, because it differs enough
// from the last one or the last one is too old. elevated says whether the evidence
// against the target is elevated.
func (r *lastReport) needsUpdate(report target.Report, elevated bool, now time.Time) bool {
	last := &r.content
	if report.Leaving != last.Leaving || report.Limit != last.Limit || report.LinkCut != last.LinkCut {
		return true
	}
	if now.Sub(r.sentAt) >= reportRepeatInterval {
		return true
	}
	step := 0.0
	for k := range target.Suspicions {
		step = max(step, math.Abs(report.Total[k]-last.Total[k]))
	}
	return step >= reportStepNats || elevated && step > 0
}

// ObserveReport processes a report received from a peer. The parameter from identifies
// one incarnation of a host. Reports may be lost, duplicated and reordered.
func (s *Service) ObserveReport(from string, r TargetReport, now time.Time) []Transition {
	m, ok := s.byName[r.Target.Name]
	if !ok || !m.target.Evidence().ObserveReport(from, r.Report, s.thresholds, now) {
		return nil
	}
	s.reporters[from] = true
	s.updatePeerLeaveSignal(m, now)
	if limit, changed := m.target.Evidence().ReportedLimit(from); changed {
		m.link.SetRateLimit(limit, now)
	}
	s.evaluate(m, now)
	return s.takeTransitions()
}

// ForgetPeer removes everything that an incarnation of a host has reported.
func (s *Service) ForgetPeer(from string, now time.Time) []Transition {
	if !s.reporters[from] {
		return nil
	}
	delete(s.reporters, from)
	for _, m := range s.targets {
		m.target.Evidence().ForgetPeer(from)
		s.updatePeerLeaveSignal(m, now)
	}
	return s.takeTransitions()
}
