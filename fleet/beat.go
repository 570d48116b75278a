package fleet

import "time"

// A relay passes on most reports that say nothing new as a beat: a report with no more than
// the host in it, and sequence 0. In a fleet with little traffic for each host these are
// almost all, and each goes to every host.

// Bounds of beats.
const (
	// beatsInARow is how many reports of a host are passed on as beats before a whole one
	// makes good what a lost datagram may have left wrong: a second's.
	maxHeartbeatsInARow = 4
	// stampStep is how much later a copy must have been confirmed than the latest one that
	// was passed on, so that the report is passed on whole. Other hosts learn from these
	// how old their views are.
	confirmedStep = 100 * time.Millisecond
)

// isBeat reports whether a report only says that its host is there.
func (r Report) isHeartbeat() bool { return r.Sequence == 0 }

// beat returns the report without what is known.
func (r Report) heartbeat() Report { return Report{Host: r.Host} }

// passed is what a relay has passed on.
type forwardedReports struct {
	// whole is the latest report of each host that was passed on whole, and beats how many
	// were passed on as beats since.
	full map[Hash]Report
	heartbeats map[Hash]int
	// targets and configuration are when the copies were confirmed that all know of, by
	// the store's clock.
	targetsConfirmed, configConfirmed int64
}

func newForwardedReports() forwardedReports { return forwardedReports{full: make(map[Hash]Report), heartbeats: make(map[Hash]int)} }

// shorten returns what is passed on of a report.
func (p *forwardedReports) abbreviate(r Report) Report {
	if r.isHeartbeat() {
		return r
	}
	if p.isUnchanged(r) && p.heartbeats[r.Host] < maxHeartbeatsInARow {
		p.heartbeats[r.Host]++
		return r.heartbeat()
	}
	p.heartbeats[r.Host] = 0
	p.full[r.Host] = Report{
		Incarnation: r.Incarnation, Ready: r.Ready, Leaving: r.Leaving, Loads: r.Loads,
		Targets: r.Targets, Configuration: r.Configuration,
	}
	p.targetsConfirmed = max(p.targetsConfirmed, r.Targets.Confirmed)
	p.configConfirmed = max(p.configConfirmed, r.Configuration.Confirmed)
	return r
}

// saysNothingNew reports whether a report repeats the latest whole one.
func (p *forwardedReports) isUnchanged(r Report) bool {
	last, ok := p.full[r.Host]
	step := confirmedStep.Milliseconds()
	return ok && last.Incarnation == r.Incarnation && last.Ready == r.Ready && last.Leaving == r.Leaving &&
		len(r.Endings) == 0 && len(r.Loads) == 0 && len(last.Loads) == 0 &&
		last.Targets.Digest == r.Targets.Digest && last.Configuration.Revision == r.Configuration.Revision &&
		r.Targets.Confirmed < p.targetsConfirmed+step && r.Configuration.Confirmed < p.configConfirmed+step
}

// takeBeat notes that a host is there. One that was lost must say more.
func (c *Core) receiveHeartbeat(now time.Time, p *peerState) bool {
	if !p.alive || !p.reported {
		return false
	}
	p.reportReceived = now
	return true
}
