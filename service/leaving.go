package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// cleanProbesToReturn is how many probes in a row must carry no drain sign
// before a target's own sign counts as withdrawn.
const cleanProbesToReturn = 2

// Drain marks a target as leaving because of a sign.
func (s *Service) Drain(name string, sign target.Sign, now time.Time) []Transition {
	if m, ok := s.byName[name]; ok {
		s.sign(m, sign, now)
	}
	return s.take()
}

// Withdraw takes a sign back. A target without any sign left is readmitted
// warming.
func (s *Service) Withdraw(name string, sign target.Sign, now time.Time) []Transition {
	if m, ok := s.byName[name]; ok {
		s.unsign(m, sign, now)
	}
	return s.take()
}

// sign notes a sign that a member leaves. A leaving target is not a failing
// one: the evidence against it no longer counts.
func (s *Service) sign(m *member, sign target.Sign, now time.Time) {
	m.target.AddSign(sign)
	m.cleanProbes = 0
	if m.target.State() == target.Leaving {
		return
	}
	s.move(m, target.Leaving, "drain sign: "+sign.String(), now)
	s.holdFloor(now)
}

func (s *Service) unsign(m *member, sign target.Sign, now time.Time) {
	if !m.target.HasSign(sign) {
		return
	}
	m.target.WithdrawSign(sign)
	if m.target.Signed() {
		return
	}
	s.move(m, target.Warming, "drain sign withdrawn: "+sign.String(), now)
}

// followPeers sets or withdraws the sign that peers give.
func (s *Service) followPeers(m *member, now time.Time) {
	says := m.target.Pool().PeerSaysLeaving()
	switch {
	case says && !m.target.HasSign(target.SignPeer):
		s.sign(m, target.SignPeer, now)
	case !says:
		s.unsign(m, target.SignPeer, now)
	}
}

// Leaving returns a report of each target that leaves by a sign other than the
// answer of another host.
func (s *Service) Leaving() []Report {
	var out []Report
	for _, m := range s.members {
		if m.target.SignedAside() {
			out = append(out, Report{Target: m.target.Key, News: target.News{Leaving: true}})
		}
	}
	return out
}

// SignedHere reports whether this host itself has a sign that a target leaves.
func (s *Service) SignedHere(name string) bool {
	m, ok := s.byName[name]
	return ok && m.target.SignedHere()
}
