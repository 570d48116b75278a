package target

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// Report is what one host reports about a target. Its totals accumulate from the start
// of the host, so that the next report makes up for a lost one.
type Report struct {
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
	// Limit is the rate limit of the target that the host keeps to.
	Limit RateLimit
	// LinkCut is set while the host attributes the fault to its link to the target, or
	// to itself, rather than to the target.
	LinkCut bool
}

// OwnReport returns this host's own report, except for Sequence, Leaving, Limit and LinkCut,
// which the caller sets.
func (ev *Evidence) OwnReport() Report {
	return Report{Zone: ev.own.zone, Total: ev.own.total, Observations: ev.own.observations}
}

// ObserveReport applies a report received from a peer. It returns false for an outdated
// or repeated report, which changes nothing. The totals of the first report of a peer
// are the baseline for its later ones.
func (ev *Evidence) ObserveReport(from string, report Report, thresholds Thresholds, now time.Time) bool {
	i, known := ev.findPeer(from)
	if !known {
		ev.peers = slices.Insert(ev.peers, i, &hostEvidence{host: from, total: report.Total})
	}
	e := ev.peers[i]
	if known && report.Sequence <= e.sequence {
		return false
	}
	if report.Observations > e.observations {
		e.lastTraffic = now
	}
	ev.setExcluded(e, report.LinkCut)
	for k := range Suspicions {
		ev.addContribution(e, k, report.Total[k]-e.total[k], thresholds[k])
	}
	e.zone, e.total, e.sequence = report.Zone, report.Total, report.Sequence
	e.observations, e.leaving = report.Observations, report.Leaving
	e.limitChanged, e.limit = report.Limit != e.limit, report.Limit
	return true
}

// setExcluded records whether a host attributes its observations to its own link. An
// excluded host's contribution is removed, and nothing is added to it.
func (ev *Evidence) setExcluded(e *hostEvidence, excluded bool) {
	e.excluded = excluded
	if !excluded {
		return
	}
	for k := range Suspicions {
		ev.removeContribution(e, k)
	}
}

// ForgetPeer removes a peer and its contribution to the evidence.
func (ev *Evidence) ForgetPeer(from string) {
	if i, known := ev.findPeer(from); known {
		ev.setExcluded(ev.peers[i], true)
		ev.peers = slices.Delete(ev.peers, i, i+1)
	}
}

// ReportedLimit returns the rate limit in the latest report of a host, and whether it differs
// from that of the report before. A repeated limit may have been lifted since.
func (ev *Evidence) ReportedLimit(from string) (limit RateLimit, changed bool) {
	i, known := ev.findPeer(from)
	if !known {
		return Unlimited, false
	}
	return ev.peers[i].limit, ev.peers[i].limitChanged
}

// PeerReportsLeaving reports whether a peer has a leave signal of the target.
func (ev *Evidence) PeerReportsLeaving() bool {
	for _, e := range ev.peers {
		if e.leaving {
			return true
		}
	}
	return false
}
