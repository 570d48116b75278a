package service

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/target"
)

const (
	// reportStep is the change of evidence that is reported at once, in nats.
	reportStep = noticeable
	// reportRefresh is the time after which a report is repeated, for peers
	// that are new or missed it.
	reportRefresh = 10 * time.Second
)

// Report is what one host tells the others of its entry set about one target.
type Report struct {
	Target target.Key
	News   target.News
}

// reportState is what was last reported of a member.
type reportState struct {
	sent target.News
	at   time.Time
}

// Reports returns what the peers should hear now: changes of evidence that
// matter, everything about targets under suspicion, new and withdrawn signs,
// and from time to time the rest. The caller sends each report to every peer
// of the entry set; a lost one needs no repeat.
func (s *Service) Reports(now time.Time) []Report {
	var out []Report
	for _, m := range s.members {
		n := m.target.Pool().News()
		n.Leaving = m.target.SignedHere()
		n.LinkCut = s.doubt.active || m.path.Blamed()
		if !m.report.due(n, m.target.Pool().Hot(), now) {
			continue
		}
		n.Sequence = m.report.sent.Sequence + 1
		m.report = reportState{sent: n, at: now}
		out = append(out, Report{Target: m.target.Key, News: n})
	}
	return out
}

// Urgent reports whether peers should hear at once: a request failed, or what
// is known of a suspected target has changed. The rest can wait for the next
// regular exchange.
func (s *Service) Urgent() bool {
	for _, m := range s.members {
		p := m.target.Pool()
		if p.Quiet() {
			continue
		}
		total, sent := p.Total(), m.report.sent.Total
		failed := total[target.Failing]-sent[target.Failing] >= reportStep
		if failed || p.Hot() && total != sent {
			return true
		}
	}
	return false
}

// RepeatReports makes everything due again, for a peer that has just joined
// the entry set.
func (s *Service) RepeatReports() {
	for _, m := range s.members {
		m.report.at = time.Time{}
	}
}

// due reports whether news are worth a message.
func (r *reportState) due(n target.News, hot bool, now time.Time) bool {
	old := &r.sent
	if n.Leaving != old.Leaving || n.LinkCut != old.LinkCut {
		return true
	}
	if now.Sub(r.at) >= reportRefresh {
		return true
	}
	step := 0.0
	for k := range target.Suspicions {
		step = max(step, math.Abs(n.Total[k]-old.Total[k]))
	}
	return step >= reportStep || hot && step > 0
}

// ObserveReport takes in a peer's report. From names one incarnation of a
// host. Reports may be lost, doubled and reordered.
func (s *Service) ObserveReport(from string, r Report, now time.Time) []Transition {
	m, ok := s.byName[r.Target.Name]
	if !ok || !m.target.Pool().Hear(from, r.News, s.thresholds, now) {
		return nil
	}
	s.reporters[from] = true
	s.followPeers(m, now)
	s.judge(m, now)
	return s.take()
}

// ForgetPeer drops everything that an incarnation of a host has reported.
func (s *Service) ForgetPeer(from string, now time.Time) []Transition {
	if !s.reporters[from] {
		return nil
	}
	delete(s.reporters, from)
	for _, m := range s.members {
		m.target.Pool().Forget(from)
		s.followPeers(m, now)
	}
	return s.take()
}
