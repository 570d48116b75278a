package target

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// News is what one host tells of a target. Its totals run since the start of
// the host, so that a lost message is made good by the next.
type News struct {
	// Sequence rises with each report of one incarnation of a host.
	Sequence uint64
	// Zone is the reporting host's.
	Zone zone.ID
	// Total is the running total of the host's evidence, in nats.
	Total LLR
	// Observations counts the requests that the host carried to the target.
	Observations uint64
	// Leaving is set while the host itself has a sign that the target leaves.
	Leaving bool
	// LinkCut is set while the host finds fault with its own path to the
	// target, or with itself, rather than with the target.
	LinkCut bool
}

// News returns what this host has to tell.
func (p *Pool) News() News {
	return News{Zone: p.own.zone, Total: p.own.total, Observations: p.own.observations}
}

// Hear takes in a peer's news. Old and repeated news change nothing; the first
// news of a peer are the base for the next. It returns false for old news.
func (p *Pool) Hear(from string, n News, h Thresholds, now time.Time) bool {
	i, known := p.peer(from)
	if !known {
		p.peers = slices.Insert(p.peers, i, &share{host: from, total: n.Total})
	}
	s := p.peers[i]
	if known && n.Sequence <= s.sequence {
		return false
	}
	if n.Observations > s.observations {
		s.carried = now
	}
	p.disown(s, n.LinkCut)
	for k := range Suspicions {
		p.contribute(s, k, n.Total[k]-s.total[k], h[k])
	}
	s.zone, s.total, s.sequence = n.Zone, n.Total, n.Sequence
	s.observations, s.leaving = n.Observations, n.Leaving
	return true
}

// disown drops a host's part while the host blames its own path.
func (p *Pool) disown(s *share, cut bool) {
	s.disowned = cut
	if !cut {
		return
	}
	for k := range Suspicions {
		p.drop(s, k)
	}
}

// Forget drops a peer and its part of the evidence.
func (p *Pool) Forget(from string) {
	if i, known := p.peer(from); known {
		p.disown(p.peers[i], true)
		p.peers = slices.Delete(p.peers, i, i+1)
	}
}

// PeerSaysLeaving reports whether a peer has a sign that the target leaves.
func (p *Pool) PeerSaysLeaving() bool {
	for _, s := range p.peers {
		if s.leaving {
			return true
		}
	}
	return false
}
