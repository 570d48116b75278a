package fleet

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// batch collects reports that this host relays.
type batch struct {
	reports []Report
	due     time.Time
}

// add adds a report. A later report of a host replaces its earlier one, but the endings of both
// are kept.
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
			b.reports[i] = r
			return
		}
	}
	b.reports = append(b.reports, r)
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

// relayReport queues a report for forwarding.
func (c *Core) relayReport(now time.Time, r Report, hop Hop) {
	if hop == ToRelay {
		r = c.forwarded.abbreviate(r)
	}
	zoneDue, otherZonesDue := now.Add(relayDelay), now.Add(otherZonesDelay)
	if slices.ContainsFunc(r.Endings, func(e Ending) bool { return urgent(e.Outcome) }) {
		zoneDue, otherZonesDue = now, now
	}
	c.zoneBatch.add(r, zoneDue)
	if hop == ToRelay {
		c.otherZonesBatch.add(r, otherZonesDue)
	}
	c.flushRelay(now)
}

// flushRelay forwards the queued reports that are due.
func (c *Core) flushRelay(now time.Time) {
	if reports := c.zoneBatch.takeDue(now); len(reports) > 0 {
		c.sendPackets(splitReports(reports), ToHost, c.zonePeers())
	}
	if reports := c.otherZonesBatch.takeDue(now); len(reports) > 0 {
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
	return reportBaseBytes + entryBytes*(len(r.Loads)+len(r.Endings))
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

// relayOf returns the relay of a zone: the first host in rank order that has not timed out. It
// returns nil if there is none.
func (c *Core) relayOf(z zone.ID, now time.Time) *peerState {
	var first *peerState
	for _, p := range c.liveHosts() {
		if p.Zone == z && !now.Before(p.relayExcludedUntil) {
			first = p
			break
		}
	}
	if first == nil || first == c.self {
		return first
	}
	chosen := c.relays[z]
	if chosen == nil || chosen.host != first.hash {
		c.relays[z] = &relayChoice{host: first.hash, since: now}
		return first
	}
	if now.Sub(chosen.since) > relayTimeout && now.Sub(first.datagramReceived) > relayTimeout {
		first.relayExcludedUntil = now.Add(relayExclusion)
		return c.relayOf(z, now)
	}
	return first
}
