package fleet

import (
	"time"

	"github.com/crocushinge/crocushinge/history"
)

// A relay forwards most unchanged reports as heartbeats, which carry only the host and sequence 0.
// This saves bytes, since every report goes to every host, and almost all reports are unchanged in
// a fleet with little traffic per host.

// Limits on heartbeats.
const (
	// maxHeartbeatsInARow is how many reports of a host are forwarded as heartbeats before a
	// full one, about a second's worth. The full report corrects what a lost datagram may have
	// left wrong.
	maxHeartbeatsInARow = 4
	// confirmedStep is the least progress of a document's confirmation that other hosts must learn
	// of. A report is forwarded in full if its confirmation is later by confirmedStep or more than
	// the latest one that was forwarded. Other hosts learn the age of their copies from these
	// reports.
	confirmedStep = 100 * time.Millisecond
)

// isHeartbeat reports whether a report says only that its host is alive.
func (r Report) isHeartbeat() bool { return r.Sequence == 0 }

// heartbeat returns the report reduced to a heartbeat.
func (r Report) heartbeat() Report { return Report{Host: r.Host} }

// forwardedReports records what a relay has forwarded.
type forwardedReports struct {
	// full is the latest report of each host that was forwarded in full, and heartbeats is how
	// many were forwarded as heartbeats since.
	full       map[Hash]Report
	heartbeats map[Hash]int
	// targetsConfirmed and configConfirmed are the latest confirmations of the two documents
	// that were forwarded.
	targetsConfirmed, configConfirmed history.Reading
}

func newForwardedReports() forwardedReports {
	return forwardedReports{full: make(map[Hash]Report), heartbeats: make(map[Hash]int)}
}

// abbreviate returns the report to forward for r: a heartbeat if r is unchanged, else r itself.
func (f *forwardedReports) abbreviate(r Report) Report {
	if r.isHeartbeat() {
		return r
	}
	if f.isUnchanged(r) && f.heartbeats[r.Host] < maxHeartbeatsInARow {
		f.heartbeats[r.Host]++
		return r.heartbeat()
	}
	f.heartbeats[r.Host] = 0
	f.full[r.Host] = Report{
		Incarnation: r.Incarnation, Ready: r.Ready, Leaving: r.Leaving, Loads: r.Loads, Waiting: r.Waiting,
		Targets: r.Targets, Configuration: r.Configuration,
	}
	f.targetsConfirmed = later(f.targetsConfirmed, r.Targets.reading())
	f.configConfirmed = later(f.configConfirmed, r.Configuration.reading())
	return r
}

// isUnchanged reports whether a report repeats the latest full one of its host.
func (f *forwardedReports) isUnchanged(r Report) bool {
	last, ok := f.full[r.Host]
	return ok && last.Incarnation == r.Incarnation && last.Ready == r.Ready && last.Leaving == r.Leaving &&
		len(r.Endings) == 0 && len(r.Notices) == 0 && len(r.Unserved) == 0 && len(r.Admitted) == 0 && r.idle() && last.idle() &&
		last.Targets.Digest == r.Targets.Digest && last.Configuration.Revision == r.Configuration.Revision &&
		last.Configuration.Digest == r.Configuration.Digest &&
		!confirmsLater(r.Targets, f.targetsConfirmed) && !confirmsLater(r.Configuration, f.configConfirmed)
}

// idle reports whether the host has no requests in flight or waiting.
func (r Report) idle() bool { return len(r.Loads) == 0 && len(r.Waiting) == 0 }

// confirmsLater reports whether a stamp was confirmed by confirmedStep or more after a reading, or
// in a later history.
func confirmsLater(s Stamp, than history.Reading) bool {
	than.At += confirmedStep.Milliseconds() - 1
	return than.ConfirmedBefore(s.reading())
}

// receiveHeartbeat records that a host is alive and returns whether the heartbeat is to be
// forwarded. A lost host comes back only with a full report or a Hello.
func (c *Core) receiveHeartbeat(now time.Time, p *peerState) bool {
	if !p.alive || !p.reported {
		return false
	}
	p.reportReceived = now
	return true
}

// requestReport asks a relay of which this host has no report, or that it took for lost, for a full
// one. Its next one may come only after it counts as lost.
func (c *Core) requestReport(now time.Time, from Hash) {
	p := c.peers[from]
	if p == nil || p.alive && p.reported || now.Before(p.reportRequested.Add(helloInterval)) {
		return
	}
	p.reportRequested = now
	c.sendHello(p.DatagramAddress, true)
}
