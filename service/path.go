package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// linkThreshold returns the evidence of this host alone at which it blames its
// link, in nats.
func (s *Service) linkThreshold(m *member, k target.Suspicion, now time.Time) target.Threshold {
	if m.path.OnTrial(now) {
		return s.thresholds[k].OnLink(k) * trialShare
	}
	return s.thresholds[k].OnLink(k)
}

// linkSuspected reports whether this host's own evidence is enough to cut its
// link. A host that alone carries traffic waits for the verdict on the target.
func (s *Service) linkSuspected(m *member, k target.Suspicion, now time.Time) bool {
	p := m.target.Pool()
	return p.Own()[k] >= float64(s.linkThreshold(m, k, now)) && p.OthersCarry(now)
}

// trialShare lowers the threshold of a link that was restored lately.
const trialShare = 0.6

// cutLink takes this host's link to a member out of use. The target keeps its
// state, and the evidence stays: it may be the target after all, which the
// peers' evidence then shows. The links that stay must still carry the floor;
// a host that would cut more has to doubt itself.
func (s *Service) cutLink(m *member, k target.Suspicion, now time.Time) {
	if m.path.IsCut() {
		return
	}
	if s.reachableSlots()-m.target.Spec.Slots < s.FloorSlots() {
		s.withhold(m, HeldByFloor)
		return
	}
	m.path.Cut(now)
	s.note(m, LinkCut, k.String()+" on this host's link only")
}

// blameLink takes back this host's evidence against a member behind a cut link
// once the peers contradict it.
func (s *Service) blameLink(m *member, now time.Time) {
	if m.path.IsCut() && !m.path.Blamed() && s.alone(m, now) {
		m.path.Blame()
		m.target.Pool().ResetOwn()
	}
}

func (s *Service) restoreLink(m *member, now time.Time) {
	m.path.Restore(now)
	m.target.Pool().ResetOwn()
	s.note(m, LinkRestored, "time over")
}

// reachableSlots returns the healthy slots behind links that are not cut.
func (s *Service) reachableSlots() int {
	total := 0
	for _, m := range s.members {
		if m.target.CountsAsHealthy() && !m.path.IsCut() {
			total += m.target.Spec.Slots
		}
	}
	return total
}

// Sends reports whether this host sends new work to a target, panic routing
// aside.
func (s *Service) Sends(name string) bool {
	m := s.byName[name]
	return m != nil && m.target.TakesWork() && !m.path.IsCut()
}
