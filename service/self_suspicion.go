package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

const (
	// minDisputedTargets is the number of disputed targets from which a host suspects
	// itself. A target is disputed if the host observes it as faulty and the peers
	// contradict that, or if the host has cut its link to it.
	minDisputedTargets = 2
	// maxEvidenceAge is the maximum age of this host's strong evidence that is compared
	// with the reports of its peers.
	maxEvidenceAge = time.Second
	// minDisputedShare is the minimum share of disputed targets among those that the
	// host carries traffic to.
	minDisputedShare = 0.5
)

// selfSuspicion holds whether this host suspects itself, because it alone observes most
// targets as faulty.
type selfSuspicion struct {
	active  bool
	until   time.Time
	damping target.FlapDamping
}

// SelfSuspected reports whether this host suspects itself, because it observes most
// targets of the service as faulty while its peers observe them as healthy. Such a host
// should leave the caller directory.
func (s *Service) SelfSuspected() bool { return s.selfSuspicion.active }

// updateSelfSuspicion starts self-suspicion when peers contradict this host about
// enough targets, and ends it when its time is over.
func (s *Service) updateSelfSuspicion(now time.Time) {
	if s.selfSuspicion.active {
		if !now.Before(s.selfSuspicion.until) {
			s.endSelfSuspicion()
		}
		return
	}
	disputed := 0
	for _, m := range s.targets {
		if m.linkStatus.IsCut() || s.contradictedByPeers(m, now) {
			disputed++
		}
	}
	if disputed < minDisputedTargets || float64(disputed) < minDisputedShare*float64(s.countTargetsWithTraffic(now)) {
		return
	}
	s.selfSuspicion.active = true
	s.selfSuspicion.until = now.Add(s.selfSuspicion.damping.Penalize(now))
}

// countTargetsWithTraffic returns the number of targets that this host carries traffic
// to, or would if it had not cut its link.
func (s *Service) countTargetsWithTraffic(now time.Time) int {
	n := 0
	for _, m := range s.targets {
		if m.linkStatus.IsCut() || m.target.Evidence().CarriesTraffic(now) {
			n++
		}
	}
	return n
}

// contradictedByPeers reports whether this host has strong evidence against a target
// that its peers contradict. Unless the link is cut, the evidence must be recent: when
// a fault that all hosts observed ends, some hosts observe its end before others, which
// is no contradiction.
func (s *Service) contradictedByPeers(m *managedTarget, now time.Time) bool {
	ev := m.target.Evidence()
	for k := range target.Suspicions {
		if ev.OwnCUSUM()[k] < float64(s.thresholds[k].ForProbation()) {
			continue
		}
		fresh := m.linkStatus.IsCut() || now.Sub(ev.StrongAt(k)) < maxEvidenceAge
		if fresh && ev.PeersContradict(k, now) {
			return true
		}
	}
	return false
}

// endSelfSuspicion ends the self-suspicion and clears this host's own evidence, so that
// its observations count anew.
func (s *Service) endSelfSuspicion() {
	s.selfSuspicion.active = false
	for _, m := range s.targets {
		m.target.Evidence().ResetOwn()
	}
}
