package target

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// News is what one host reports about a target. Its totals accumulate from the start of
// the host, so that the next report makes up for a lost one.
type News struct {
	// Sequence increases with each report of one incarnation of a host.
	Sequence uint64
	// Zone is the zone of the reporting host.
	Zone zone.ID
	// Total is the running total of the evidence that the host observed, in nats.
	Total LLR
	// Observations counts the requests that the host sent to the target.
	Observations uint64
	// Leaving is set while the host itself has a leave signal of the target.
	Leaving bool
	// LinkCut is set while the host attributes the fault to its link to the target, or
	// to itself, rather than to the target.
	LinkCut bool
}

// News returns this host's own report, except for Sequence, Leaving and LinkCut, which
// the caller sets.
func (p *Pool) News() News {
	return News{Zone: p.own.zone, Total: p.own.total, Observations: p.own.observations}
}

// Hear applies a report received from a peer. It returns false for an outdated or
// repeated report, which changes nothing. The totals of the first report of a peer are
// the baseline for its later ones.
func (p *Pool) Hear(from string, report News, thresholds Thresholds, now time.Time) bool {
	i, known := p.findPeer(from)
	if !known {
		p.peers = slices.Insert(p.peers, i, &hostEvidence{host: from, total: report.Total})
	}
	e := p.peers[i]
	if known && report.Sequence <= e.sequence {
		return false
	}
	if report.Observations > e.observations {
		e.lastTraffic = now
	}
	p.setExcluded(e, report.LinkCut)
	for k := range Suspicions {
		p.addContribution(e, k, report.Total[k]-e.total[k], thresholds[k])
	}
	e.zone, e.total, e.sequence = report.Zone, report.Total, report.Sequence
	e.observations, e.leaving = report.Observations, report.Leaving
	return true
}

// setExcluded records whether a host attributes its observations to its own link. If
// so, its contribution is removed and no more is added.
func (p *Pool) setExcluded(e *hostEvidence, excluded bool) {
	e.excluded = excluded
	if !excluded {
		return
	}
	for k := range Suspicions {
		p.removeContribution(e, k)
	}
}

// Forget removes a peer and its contribution to the evidence.
func (p *Pool) Forget(from string) {
	if i, known := p.findPeer(from); known {
		p.setExcluded(p.peers[i], true)
		p.peers = slices.Delete(p.peers, i, i+1)
	}
}

// PeerSaysLeaving reports whether a peer has a leave signal of the target.
func (p *Pool) PeerSaysLeaving() bool {
	for _, e := range p.peers {
		if e.leaving {
			return true
		}
	}
	return false
}
