package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/service"
)

const (
	// reportInterval is the time between two regular reports to one peer. A
	// failed request, changed evidence about a suspected target, and a leave
	// signal are reported without waiting for this time.
	reportInterval = 500 * time.Millisecond
	// maxReports is the maximum number of reports in one message. More reports
	// are split into several messages.
	maxReports = 64
	// outsideReportTime is how long a host outside an entry set exchanges
	// reports with the set after the host last sent traffic to the service.
	outsideReportTime = time.Minute
)

// EvidenceKey identifies one incarnation of a host as a source of evidence.
func (id Identity) EvidenceKey() string { return fmt.Sprintf("%s/%d", id.ID, id.Incarnation) }

// hasUrgentEvidence reports whether a service for which this host is an entry
// host has evidence that must not wait for the next regular report.
func (c *Core) hasUrgentEvidence() bool {
	return slices.ContainsFunc(c.entrySetState.ownServices, func(i int) bool { return c.sortedServices[i].HasUrgentReport() })
}

// sendReports sends this host's evidence about targets to the other hosts of
// each entry set, batched by recipient.
func (c *Core) sendReports(now time.Time) {
	outbox := c.takeUndelivered()
	for _, name := range c.serviceNames {
		set := c.entrySets[name]
		if !c.isEntryHost(name) && !c.reportedLeaving[name] && now.Sub(c.lastTraffic[name]) > outsideReportTime {
			continue
		}
		reports := c.services[name].Reports(now)
		for _, id := range c.reportRecipients(now, set) {
			if p := c.peers[id]; p != nil && p.State != PeerGone && len(reports) > 0 {
				outbox[id] = append(outbox[id], reports...)
			}
		}
	}
	for _, id := range c.sortedPeerIDs() {
		for batch := range slices.Chunk(outbox[id], maxReports) {
			c.emit(SendReports{To: c.peers[id].Identity, From: c.self, Reports: batch})
		}
	}
}

// reportRecipients returns the hosts that exchange reports about a service: its
// entry hosts, and the hosts outside the entry set that recently reported on
// it.
func (c *Core) reportRecipients(now time.Time, set EntrySet) []ID {
	var out []ID
	for _, m := range set.Members {
		out = append(out, m.ID)
	}
	for id, at := range c.outsideReporters[set.Service] {
		if now.Sub(at) <= outsideReportTime && set.Rank(id) < 0 {
			out = append(out, id)
		}
	}
	return out
}

// recordOutsideReporter records that a host outside the entry set reports on a
// service. If the host has not reported for outsideReportTime, all reports on
// the service are sent again, so that the host receives them.
func (c *Core) recordOutsideReporter(now time.Time, id ID, s *service.Service) {
	name := s.Contract.Service
	if c.entrySets[name].Rank(id) >= 0 || !c.isEntryHost(name) {
		return
	}
	if c.outsideReporters[name] == nil {
		c.outsideReporters[name] = make(map[ID]time.Time)
	}
	if now.Sub(c.outsideReporters[name][id]) > outsideReportTime {
		s.ResendReports()
	}
	c.outsideReporters[name][id] = now
}

// handleReports applies a peer's reports. The reports are ignored if the peer's
// incarnation is unknown or gone.
func (c *Core) handleReports(now time.Time, ev ReportsReceived) {
	p := c.peers[ev.From.ID]
	if p == nil || p.State == PeerGone || p.Identity.Incarnation != ev.From.Incarnation {
		return
	}
	key := ev.From.EvidenceKey()
	for _, r := range ev.Reports {
		if s, ok := c.services[r.Target.Service]; ok {
			c.recordOutsideReporter(now, p.Identity.ID, s)
			c.applyTransitions(now, s.ObserveReport(key, r, now))
		}
	}
}

// forgetEvidence removes the evidence reported by a host that is gone.
func (c *Core) forgetEvidence(now time.Time, id Identity) {
	key := id.EvidenceKey()
	for _, s := range c.sortedServices {
		c.applyTransitions(now, s.ForgetPeer(key, now))
	}
}

// suspectsOwnPaths reports whether, for some service, this host alone finds
// most targets failing or slow.
func (c *Core) suspectsOwnPaths() bool {
	return slices.ContainsFunc(c.sortedServices, (*service.Service).SelfSuspected)
}
