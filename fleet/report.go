package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Batching delays of reports. Longer delays save datagrams. With shorter delays, fewer requests go
// to targets that are already full.
const (
	// reportDelay batches the changes of one host.
	reportDelay = 4 * time.Millisecond
	// relayDelay batches the reports of several hosts for their zone, and otherZonesDelay for
	// the other zones. Bytes between zones are expensive, and few requests leave their zone.
	// Both hold for fleets of up to delayScaleHosts hosts and grow with larger ones.
	relayDelay      = 6 * time.Millisecond
	otherZonesDelay = 40 * time.Millisecond
	// urgentDelay is how much the delay of urgent reports grows with each delayScaleHosts
	// hosts; in a fleet of up to that size they are sent at once. The more hosts there are, the
	// more requests fail in a second, and the fewer of them concern the same target.
	urgentDelay = 3 * time.Millisecond
	// heartbeatDelay batches reports that say only that their hosts are alive. It is well below
	// relaySuspectAfter.
	heartbeatDelay = 50 * time.Millisecond
	// delayScaleHosts is the number of hosts from which the delays grow. Every batch of a relay
	// goes to every host of its zone, so that with fixed delays each host would receive the more
	// datagrams, the more hosts there are.
	delayScaleHosts = 50
)

// Sizes in a datagram, in bytes. A datagram must fit in one packet of 1,400 bytes.
const (
	maxDatagramBytes = 1300
	reportBaseBytes  = 55
	heartbeatBytes   = 8
	// noticeBytes is the size of a TargetNotice.
	noticeBytes = 20
	// entryBytes is the size of a Load, an Ending or an Unserved, countBytes that of a quota.Count
	// and waitingBytes that of a Waiting.
	entryBytes   = 8
	countBytes   = 10
	waitingBytes = 12
)

// urgent reports whether an outcome is reported without delay.
func urgent(o link.Outcome) bool {
	switch o {
	case link.Failed, link.Broken, link.ConnectFailed, link.Overdue:
		return true
	default:
		return false
	}
}

// urgent reports whether a report is forwarded without delay.
func (r Report) urgent() bool {
	return len(r.Notices) > 0 || slices.ContainsFunc(r.Endings, func(e Ending) bool { return urgent(e.Outcome) })
}

// pendingReport collects what this host's next report carries.
type pendingReport struct {
	sequence uint32
	endings  []Ending
	notices  []TargetNotice
	unserved []Unserved
	// due is when the next report is sent.
	due time.Time
}

func (r *pendingReport) schedule(at time.Time) {
	if r.due.IsZero() || at.Before(r.due) {
		r.due = at
	}
}

// sendReport sends this host's report if it is due.
func (c *Core) sendReport(now time.Time) {
	if now.Before(c.pending.due) {
		return
	}
	report := c.newReport(now)
	c.pending.due = now.Add(maxReportInterval)
	if c.relayOf(c.cfg.Self.Zone, now) == c.self {
		c.relayReport(now, report, ToRelay)
		return
	}
	c.emit(Send{
		To:       c.relayAddresses(c.cfg.Self.Zone, now),
		Datagram: Datagram{From: c.hash, Hop: ToRelay, Reports: []Report{report}},
	})
}

func (c *Core) newReport(now time.Time) Report {
	c.pending.sequence++
	r := Report{
		Host:          c.hash,
		Incarnation:   c.cfg.Self.Incarnation,
		Sequence:      c.pending.sequence,
		Ready:         c.ready(),
		Leaving:       c.leaving,
		Endings:       c.pending.endings,
		Notices:       c.pending.notices,
		Unserved:      c.pending.unserved,
		Admitted:      c.cfg.Quotas.Counts(),
		Targets:       c.reportedTargetsStamp(now),
		Configuration: c.configCopy.stamp(now),
	}
	c.pending.endings, c.pending.notices, c.pending.unserved = nil, nil, nil
	for hash, ref := range c.byHash {
		if n := ref.target.OwnInFlight(); n > 0 {
			r.Loads = append(r.Loads, Load{Target: hash, Requests: n})
		}
	}
	slices.SortFunc(r.Loads, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	r.Waiting = c.ownWaiting()
	return r
}

// handleDatagram processes a datagram from another host.
func (c *Core) handleDatagram(now time.Time, d Datagram) {
	if d.From == c.hash {
		return
	}
	if d.Hello != nil {
		c.receiveHello(now, *d.Hello)
		if d.WantsHello {
			self := c.cfg.Self
			c.emit(Send{To: []string{d.Hello.DatagramAddress}, Datagram: Datagram{
				From: c.hash, Hop: ToHost, Hello: &self, Reports: []Report{c.newReport(now)},
			}})
		}
	}
	if d.Changes != nil {
		c.receiveChanges(now, d)
	}
	if d.Registered {
		c.joining.registered = true
	}
	c.markDatagramReceived(now, d)
	for _, r := range d.Reports {
		if c.peers[r.Host] == nil && r.Host != c.hash {
			c.joining.wantPeers, c.joining.peersFrom = true, d.From
		}
		if d.From == r.Host && r.isHeartbeat() {
			c.requestReport(now, r.Host)
		}
		if c.receiveReport(now, r) && d.Hop != ToHost {
			c.relayReport(now, r, d.Hop)
		}
	}
}

// markDatagramReceived records that a host was heard from.
func (c *Core) markDatagramReceived(now time.Time, d Datagram) {
	p := c.peers[d.From]
	if p == nil {
		return
	}
	if d.Hop == ToZone && now.Sub(p.datagramReceived) > hostTimeout {
		c.forwarded = newForwardedReports() // the zone of a relay that was silent lacks the full reports
	}
	p.datagramReceived = now
}

// receiveReport processes the report of a host and returns whether it is to be forwarded. A report
// is not forwarded if its host is this one or unknown, or if it is no newer than the latest report
// of its host.
func (c *Core) receiveReport(now time.Time, r Report) bool {
	if r.Host == c.hash {
		return false
	}
	p := c.peers[r.Host]
	if p == nil {
		return false
	}
	if r.isHeartbeat() {
		return c.receiveHeartbeat(now, p)
	}
	if p.reported && p.alive && (r.Incarnation < p.lastReport.Incarnation || r.Incarnation == p.lastReport.Incarnation && r.Sequence <= p.lastReport.Sequence) {
		return false
	}
	changed := !p.alive || !p.reported || r.Ready != p.lastReport.Ready || r.Leaving != p.lastReport.Leaving
	p.reported = true
	p.reportReceived = now
	p.lastReport = r
	if changed {
		c.markAlive(now, p)
	}
	c.applyNotices(now, r.Notices)
	c.countRequests(now, p.loads, r)
	c.markArrivals(now, p.loads, r)
	c.replaceLoads(p, r.Loads)
	c.replaceWaiting(p, r.Waiting)
	c.markTargetsBusy(now, p)
	for _, e := range r.Endings {
		e.Host = string(p.ID)
		c.countEnding(now, e)
	}
	for _, u := range r.Unserved {
		c.countUnserved(u)
	}
	c.countAdmitted(now, p, r)
	c.mergeStamps(now, r)
	return true
}

// markArrivals records the requests that a host has begun since its last report: where it has more
// in flight than before, now, and those that have ended, at their start. Loads are sorted by target.
func (c *Core) markArrivals(now time.Time, before []Load, r Report) {
	for _, l := range r.Loads {
		for len(before) > 0 && before[0].Target < l.Target {
			before = before[1:]
		}
		if len(before) > 0 && before[0].Target == l.Target && before[0].Requests >= l.Requests {
			continue
		}
		if ref, ok := c.byHash[l.Target]; ok {
			ref.target.MarkArrival(now)
		}
	}
	for _, e := range r.Endings {
		if ref, ok := c.byHash[e.Target]; ok && e.Outcome != link.ConnectFailed {
			ref.target.MarkArrival(now.Add(-e.Latency))
		}
	}
}

// markTargetsBusy records that a host has requests in flight at targets.
func (c *Core) markTargetsBusy(now time.Time, p *peerState) {
	for _, l := range p.loads {
		c.byHash[l.Target].target.MarkBusy(now)
	}
}

// replaceLoads replaces a host's contribution to the load of the targets.
func (c *Core) replaceLoads(p *peerState, loads []Load) {
	for _, l := range p.loads {
		if ref, ok := c.byHash[l.Target]; ok {
			ref.target.AddOthersInFlight(-l.Requests)
		}
	}
	p.loads = p.loads[:0]
	for _, l := range loads {
		if ref, ok := c.byHash[l.Target]; ok {
			ref.target.AddOthersInFlight(l.Requests)
			p.loads = append(p.loads, l)
		}
	}
}
