package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

const (
	// minDoubted is how many targets a host must see at fault, against the
	// word of its peers, before it doubts itself.
	minDoubted = 2
	// staleTime is how long strong evidence of this host may be compared with
	// what its peers report.
	staleTime = time.Second
	// doubtedShare is the share of the targets that it carries traffic to.
	doubtedShare = 0.5
)

// doubt is this host's doubt of itself: it alone sees most targets at fault.
type doubt struct {
	active  bool
	until   time.Time
	damping target.Damping
}

// SelfDoubt reports whether this host sees most targets of the service at
// fault while its peers see them healthy. Such a host should leave the caller
// directory.
func (s *Service) SelfDoubt() bool { return s.doubt.active }

func (s *Service) updateDoubt(now time.Time) {
	if s.doubt.active {
		if !now.Before(s.doubt.until) {
			s.endDoubt()
		}
		return
	}
	disputed := 0
	for _, m := range s.members {
		if m.path.IsCut() || s.alone(m, now) {
			disputed++
		}
	}
	if disputed < minDoubted || float64(disputed) < doubtedShare*float64(s.carried(now)) {
		return
	}
	s.doubt.active = true
	s.doubt.until = now.Add(s.doubt.damping.Strike(now))
}

// carried returns how many targets this host carries, or would carry, traffic
// to.
func (s *Service) carried(now time.Time) int {
	n := 0
	for _, m := range s.members {
		if m.path.IsCut() || m.target.Pool().Carries(now) {
			n++
		}
	}
	return n
}

// alone reports whether this host has much evidence against a member that its
// peers deny. The evidence must be fresh, or from when the link was cut: at the
// end of a disturbance that all hosts saw, some see it end first.
func (s *Service) alone(m *member, now time.Time) bool {
	p := m.target.Pool()
	for k := range target.Suspicions {
		if p.Own()[k] < float64(s.thresholds[k].OnProbation()) {
			continue
		}
		fresh := m.path.IsCut() || now.Sub(p.BadAt(k)) < staleTime
		if fresh && p.OthersDeny(k, now) {
			return true
		}
	}
	return false
}

// endDoubt gives the host another try.
func (s *Service) endDoubt() {
	s.doubt.active = false
	for _, m := range s.members {
		m.target.Pool().ResetOwn()
	}
}
