package fleet

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/zone"
)

// batch collects reports that are sent together.
type batch struct {
	reports []Report
	due     time.Time
}

// add adds a report. A later report of a host replaces its earlier one, but the endings,
// notices and counts of both are kept.
func (b *batch) add(r Report, due time.Time) {
	if b.due.IsZero() || due.Before(b.due) {
		b.due = due
	}
	for i, old := range b.reports {
		if old.Host != r.Host {
			continue
		}
		if r.isHeartbeat() {
			return // the report in the batch says as much or more
		}
		if old.isHeartbeat() {
			b.reports[i] = r
			return
		}
		if old.Incarnation == r.Incarnation {
			r.Endings = slices.Concat(old.Endings, r.Endings)
			r.Notices = slices.Concat(old.Notices, r.Notices)
			r.Unserved = slices.Concat(old.Unserved, r.Unserved)
			r.Admitted = quota.Merge(old.Admitted, r.Admitted)
			b.reports[i] = r
			return
		}
	}
	b.reports = append(b.reports, r)
}

func (b *batch) has(host Hash) bool {
	return slices.ContainsFunc(b.reports, func(r Report) bool { return r.Host == host })
}

// remove removes and returns the reports of a host.
func (b *batch) remove(host Hash) []Report {
	var removed []Report
	b.reports = slices.DeleteFunc(b.reports, func(r Report) bool {
		if r.Host == host {
			removed = append(removed, r)
		}
		return r.Host == host
	})
	if len(b.reports) == 0 {
		b.due = time.Time{}
	}
	return removed
}

// takeDue empties the batch and returns its reports if they are due.
func (b *batch) takeDue(now time.Time) []Report {
	if b.due.IsZero() || now.Before(b.due) {
		return nil
	}
	reports := b.reports
	*b = batch{}
	return reports
}

// relayQueue holds the reports that a relay forwards to the same hosts. Urgent reports are sent
// sooner than the others. All pending reports of a host are in the same batch, since receivers
// ignore a report that arrives after a later one of its host.
type relayQueue struct{ urgent, others batch }

// add adds a report that is due at the given time.
func (q *relayQueue) add(r Report, due time.Time) {
	if q.urgent.has(r.Host) {
		q.urgent.add(r, q.urgent.due)
		return
	}
	q.others.add(r, due)
}

// addUrgent adds an urgent report.
func (q *relayQueue) addUrgent(r Report, due time.Time) {
	for _, earlier := range q.others.remove(r.Host) {
		q.urgent.add(earlier, due)
	}
	q.urgent.add(r, due)
}

// takeDue returns and removes the reports that are due.
func (q *relayQueue) takeDue(now time.Time) []Report {
	return slices.Concat(q.urgent.takeDue(now), q.others.takeDue(now))
}

// relayReport queues a report for forwarding.
func (c *Core) relayReport(now time.Time, r Report, hop Hop) {
	if hop == ToRelay {
		r = c.forwarded.abbreviate(r)
	}
	if r.urgent() {
		due := now.Add(c.scaleDelay(urgentDelay) - urgentDelay)
		c.zoneQueue.addUrgent(r, due)
		if hop == ToRelay {
			c.otherZonesQueue.addUrgent(r, due)
		}
		c.flushRelay(now)
		return
	}
	zoneDelay, otherZonesDelay := c.scaleDelay(relayDelay), c.scaleDelay(otherZonesDelay)
	if r.isHeartbeat() {
		zoneDelay, otherZonesDelay = max(zoneDelay, heartbeatDelay), max(otherZonesDelay, heartbeatDelay)
	}
	c.zoneQueue.add(r, now.Add(zoneDelay))
	if hop == ToRelay {
		c.otherZonesQueue.add(r, now.Add(otherZonesDelay))
	}
	c.flushRelay(now)
}

// scaleDelay returns the delay of a batch in a fleet of the present size.
func (c *Core) scaleDelay(delay time.Duration) time.Duration {
	return delay * time.Duration(max(delayScaleHosts, len(c.liveHosts()))) / delayScaleHosts
}

// flushRelay forwards the queued reports that are due.
func (c *Core) flushRelay(now time.Time) {
	if reports := c.zoneQueue.takeDue(now); len(reports) > 0 {
		c.sendPackets(splitReports(reports), ToHost, c.zonePeers())
	}
	if reports := c.otherZonesQueue.takeDue(now); len(reports) > 0 {
		c.sendPackets(splitReports(reports), ToZone, c.otherZoneRelays(now))
	}
}

// sendPackets sends each packet of reports to each of the addresses.
func (c *Core) sendPackets(packets [][]Report, hop Hop, to []string) {
	if len(to) == 0 {
		return
	}
	for _, reports := range packets {
		c.emit(Send{To: to, Datagram: Datagram{From: c.hash, Hop: hop, Reports: reports}})
	}
}

// zonePeers returns the UDP addresses of the other live hosts of this host's zone.
func (c *Core) zonePeers() []string {
	var out []string
	for _, p := range c.liveHosts() {
		if p != c.self && p.Zone == c.cfg.Self.Zone {
			out = append(out, p.DatagramAddress)
		}
	}
	return out
}

// otherZoneRelays returns the UDP addresses of the relays of the other zones.
func (c *Core) otherZoneRelays(now time.Time) []string {
	var out []string
	for _, z := range c.cfg.Zones.Zones() {
		if z.ID != c.cfg.Self.Zone {
			out = append(out, c.relayAddresses(z.ID, now)...)
		}
	}
	return out
}

// splitReports divides reports into packets that fit in a datagram.
func splitReports(list []Report) [][]Report {
	var out [][]Report
	size := 0
	for _, r := range list {
		n := r.size()
		last := len(out) - 1
		if last < 0 || size+n > maxDatagramBytes {
			out = append(out, nil)
			last++
			size = 0
		}
		out[last] = append(out[last], r)
		size += n
	}
	return out
}

// size returns the approximate size of a report in a datagram, in bytes.
func (r Report) size() int {
	if r.isHeartbeat() {
		return heartbeatBytes
	}
	return reportBaseBytes + entryBytes*(len(r.Loads)+len(r.Endings)+len(r.Unserved)) +
		noticeBytes*len(r.Notices) + countBytes*len(r.Admitted) + waitingBytes*len(r.Waiting)
}

// relayChoice is the relay that this host uses for a zone, and since when.
type relayChoice struct {
	host  Hash
	since time.Time
}

// backupRelays is how many further hosts get the reports while a relay is suspect. It is more than
// one, since several relays may be lost at once.
const backupRelays = 2

// relayAddresses returns the UDP addresses of the relay of a zone and, while it is suspect, of
// some backups.
func (c *Core) relayAddresses(z zone.ID, now time.Time) []string {
	first := c.relayOf(z, now)
	if first == nil {
		return nil
	}
	out := []string{first.DatagramAddress}
	if first == c.self || now.Sub(first.datagramReceived) <= relaySuspectAfter {
		return out
	}
	for _, p := range c.liveHosts() {
		if p.Zone == z && p != first && p != c.self && !now.Before(p.relayExcludedUntil) && len(out) <= backupRelays {
			out = append(out, p.DatagramAddress)
		}
	}
	return out
}

// relayTimeout returns how long a relay may be silent. One that this host has not heard from yet may
// still be starting, together with the whole fleet: hosts of which each chose another relay then
// would leave the duty to the smallest ones.
func (p *peerState) relayTimeout() time.Duration {
	if p.datagramReceived.IsZero() {
		return hostTimeout
	}
	return relayTimeout
}

// firstOf returns the first live host of a zone in rank order, or nil if there is none.
func (c *Core) firstOf(z zone.ID) *peerState {
	for _, p := range c.liveHosts() {
		if p.Zone == z {
			return p
		}
	}
	return nil
}

// relayOf returns the relay of a zone: the first host in rank order that has not timed out. If all of
// them have, it returns the first one: two relays that each send to another host of the other's zone
// would hear nothing from each other, and exclude each other for good. It returns nil if no host of the
// zone is alive.
func (c *Core) relayOf(z zone.ID, now time.Time) *peerState {
	var first *peerState
	for _, p := range c.liveHosts() {
		if p.Zone == z && !now.Before(p.relayExcludedUntil) {
			first = p
			break
		}
	}
	if first == nil {
		return c.firstOf(z)
	}
	if first == c.self {
		return first
	}
	chosen := c.relays[z]
	if chosen == nil || chosen.host != first.hash {
		c.relays[z] = &relayChoice{host: first.hash, since: now}
		return first
	}
	if timeout := first.relayTimeout(); now.Sub(chosen.since) > timeout && now.Sub(first.datagramReceived) > timeout {
		first.relayExcludedUntil = now.Add(relayExclusion)
		return c.relayOf(z, now)
	}
	return first
}
