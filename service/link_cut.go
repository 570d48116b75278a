package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// linkThreshold returns how much evidence this host must have observed itself, in nats,
// to cut its link to a target.
func (s *Service) linkThreshold(m *managedTarget, k target.Suspicion, now time.Time) target.Threshold {
	if m.linkStatus.OnProbation(now) {
		return s.thresholds[k].ForLink(k) * restoredLinkShare
	}
	return s.thresholds[k].ForLink(k)
}

// linkSuspected reports whether this host's own evidence suffices to cut its link. If
// no peer carries traffic to the target, the host does not cut its link but waits for
// the verdict on the target.
func (s *Service) linkSuspected(m *managedTarget, k target.Suspicion, now time.Time) bool {
	ev := m.target.Evidence()
	return ev.OwnCUSUM()[k] >= float64(s.linkThreshold(m, k, now)) && ev.PeersCarryTraffic(now)
}

// restoredLinkShare scales the threshold for a link that was restored recently.
const restoredLinkShare = 0.6

// cutLink takes this host's link to a target out of use. The target keeps its state and
// the evidence stays, because the evidence of the peers may still show that the target
// is at fault. The links that remain must provide the floor of healthy capacity, or
// else the cut is withheld: a host that would have to cut more must suspect itself.
func (s *Service) cutLink(m *managedTarget, k target.Suspicion, now time.Time) {
	if m.linkStatus.IsCut() {
		return
	}
	if s.reachableSlots()-m.target.Spec.Slots < s.FloorSlots() {
		s.recordWithheld(m, WithheldByFloor)
		return
	}
	m.linkStatus.Cut(now)
	s.recordTransition(m, LinkCut, k.String()+" on this host's link only")
}

// markLinkFaulty attributes the fault to a cut link once the peers contradict this
// host's evidence against the target, and clears that evidence.
func (s *Service) markLinkFaulty(m *managedTarget, now time.Time) {
	if m.linkStatus.IsCut() && !m.linkStatus.Faulty() && s.contradictedByPeers(m, now) {
		m.linkStatus.MarkFaulty()
		m.target.Evidence().ResetOwn()
	}
}

// restoreLink puts a cut link back into use and clears this host's evidence against the
// target.
func (s *Service) restoreLink(m *managedTarget, now time.Time) {
	m.linkStatus.Restore(now)
	m.target.Evidence().ResetOwn()
	s.recordTransition(m, LinkRestored, "time over")
}

// reachableSlots returns the healthy capacity over links that are not cut, in slots.
func (s *Service) reachableSlots() int {
	total := 0
	for _, m := range s.targets {
		if m.target.CountsAsHealthy() && !m.linkStatus.IsCut() {
			total += m.target.Spec.Slots
		}
	}
	return total
}

// SendsTo reports whether this host sends new requests to a target, apart from panic
// routing.
func (s *Service) SendsTo(name string) bool {
	m := s.byName[name]
	return m != nil && m.target.TakesRequests() && !m.linkStatus.IsCut()
}
