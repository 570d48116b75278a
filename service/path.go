package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// linkThreshold returns the threshold for this host's own evidence at which it cuts its
// link to a target, in nats.
func (s *Service) linkThreshold(m *managedTarget, k target.Suspicion, now time.Time) target.Threshold {
	if m.linkStatus.OnTrial(now) {
		return s.thresholds[k].OnLink(k) * restoredLinkShare
	}
	return s.thresholds[k].OnLink(k)
}

// linkSuspected reports whether this host's own evidence suffices to cut its link. A
// host that alone carries traffic to the target waits for the verdict on the target
// instead.
func (s *Service) linkSuspected(m *managedTarget, k target.Suspicion, now time.Time) bool {
	p := m.target.Pool()
	return p.Own()[k] >= float64(s.linkThreshold(m, k, now)) && p.OthersCarry(now)
}

// restoredLinkShare scales the threshold for a link that was restored recently.
const restoredLinkShare = 0.6

// cutLink takes this host's link to a target out of use. The target keeps its state and
// the evidence stays, because the target may be at fault after all, which the evidence
// of the peers would then show. The links that remain must provide the floor of healthy
// capacity; a host that would have to cut more must suspect itself.
func (s *Service) cutLink(m *managedTarget, k target.Suspicion, now time.Time) {
	if m.linkStatus.IsCut() {
		return
	}
	if s.reachableSlots()-m.target.Spec.Slots < s.FloorSlots() {
		s.recordWithheld(m, HeldByFloor)
		return
	}
	m.linkStatus.Cut(now)
	s.recordTransition(m, LinkCut, k.String()+" on this host's link only")
}

// markLinkFaulty attributes the fault to a cut link once the peers contradict this
// host's evidence against the target, and clears that evidence.
func (s *Service) markLinkFaulty(m *managedTarget, now time.Time) {
	if m.linkStatus.IsCut() && !m.linkStatus.Blamed() && s.contradictedByPeers(m, now) {
		m.linkStatus.Blame()
		m.target.Pool().ResetOwn()
	}
}

// restoreLink puts a cut link back into use and clears this host's evidence against the
// target.
func (s *Service) restoreLink(m *managedTarget, now time.Time) {
	m.linkStatus.Restore(now)
	m.target.Pool().ResetOwn()
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

// Sends reports whether this host sends new requests to a target, apart from panic
// routing.
func (s *Service) Sends(name string) bool {
	m := s.byName[name]
	return m != nil && m.target.TakesWork() && !m.linkStatus.IsCut()
}
