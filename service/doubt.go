package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

const (
	// minDisputedTargets is the minimum number of targets that a host must observe as
	// faulty, contradicted by its peers, before it suspects itself.
	minDisputedTargets = 2
	// maxEvidenceAge is how long this host's strong evidence may be compared with the
	// reports of its peers.
	maxEvidenceAge = time.Second
	// minDisputedShare is the minimum share of disputed targets among those that the
	// host carries traffic to.
	minDisputedShare = 0.5
)

// selfSuspicion is a host's suspicion that the fault is its own: it alone observes most
// targets as faulty.
type selfSuspicion struct {
	active  bool
	until   time.Time
	damping target.Damping
}

// SelfDoubt reports whether this host suspects itself, because it observes most targets
// of the service as faulty while its peers observe them as healthy. Such a host should
// leave the caller directory.
func (s *Service) SelfDoubt() bool { return s.selfSuspicion.active }

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
	s.selfSuspicion.until = now.Add(s.selfSuspicion.damping.Strike(now))
}

// countTargetsWithTraffic returns the number of targets that this host carries traffic
// to, or would if it had not cut its link.
func (s *Service) countTargetsWithTraffic(now time.Time) int {
	n := 0
	for _, m := range s.targets {
		if m.linkStatus.IsCut() || m.target.Pool().Carries(now) {
			n++
		}
	}
	return n
}

// contradictedByPeers reports whether this host has strong evidence against a target
// that its peers contradict. The evidence must be recent, or from when the link was
// cut: when a fault that all hosts observed ends, some hosts observe the end before
// others.
func (s *Service) contradictedByPeers(m *managedTarget, now time.Time) bool {
	p := m.target.Pool()
	for k := range target.Suspicions {
		if p.Own()[k] < float64(s.thresholds[k].OnProbation()) {
			continue
		}
		fresh := m.linkStatus.IsCut() || now.Sub(p.BadAt(k)) < maxEvidenceAge
		if fresh && p.OthersDeny(k, now) {
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
		m.target.Pool().ResetOwn()
	}
}
