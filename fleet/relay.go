package fleet

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// batch gathers reports that this host passes on.
type batch struct {
	reports []Report
	due     time.Time
}

// add takes a report in. A host's later report replaces its earlier one, but for
// the endings.
func (b *batch) add(r Report, due time.Time) {
	if b.due.IsZero() || due.Before(b.due) {
		b.due = due
	}
	for i, old := range b.reports {
		if old.Host != r.Host {
			continue
		}
		if r.isHeartbeat() {
			return // what is gathered says more, or the same
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

// take returns the reports when they are due.
func (b *batch) takeDue(now time.Time) []Report {
	if b.due.IsZero() || now.Before(b.due) {
		return nil
	}
	reports := b.reports
	*b = batch{}
	return reports
}

// relayReport takes a report in to pass it on.
func (c *Core) relayReport(now time.Time, r Report, hop Hop) {
	if hop == ToRelay {
		r = c.forwarded.abbreviate(r)
	}
	zoneDue, worldDue := now.Add(relayDelay), now.Add(otherZonesDelay)
	if slices.ContainsFunc(r.Endings, func(e Ending) bool { return urgent(e.Outcome) }) {
		zoneDue, worldDue = now, now
	}
	c.zoneBatch.add(r, zoneDue)
	if hop == ToRelay {
		c.otherZonesBatch.add(r, worldDue)
	}
	c.flushRelay(now)
}

// flushRelay passes the gathered reports on when they are due.
func (c *Core) flushRelay(now time.Time) {
	if reports := c.zoneBatch.takeDue(now); len(reports) > 0 {
		c.sendPackets(splitReports(reports), ToHost, c.zonePeers())
	}
	if reports := c.otherZonesBatch.takeDue(now); len(reports) > 0 {
		c.sendPackets(splitReports(reports), ToZone, c.otherZoneRelays(now))
	}
}

// pass sends packets of reports to addresses.
func (c *Core) sendPackets(packets [][]Report, hop Hop, to []string) {
	if len(to) == 0 {
		return
	}
	for _, reports := range packets {
		c.emit(Send{To: to, Datagram: Datagram{From: c.hash, Hop: hop, Reports: reports}})
	}
}

// neighbors returns the addresses of the other live hosts of the zone.
func (c *Core) zonePeers() []string {
	var out []string
	for _, p := range c.liveHosts() {
		if p != c.self && p.Zone == c.cfg.Self.Zone {
			out = append(out, p.Datagrams)
		}
	}
	return out
}

// farContacts returns the addresses of the hosts that pass reports on in the
// other zones.
func (c *Core) otherZoneRelays(now time.Time) []string {
	var out []string
	for _, z := range c.cfg.Zones.Zones() {
		if z.ID != c.cfg.Self.Zone {
			out = append(out, c.relayAddresses(z.ID, now)...)
		}
	}
	return out
}

// packets divides reports over datagrams.
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

// size returns about how many bytes a report takes in a datagram.
func (r Report) size() int {
	if r.isHeartbeat() {
		return heartbeatBytes
	}
	return reportBaseBytes + entryBytes*(len(r.Loads)+len(r.Endings))
}

// contact is the host of a zone that this host reports to.
type relayChoice struct {
	host  Hash
	since time.Time
}

// doubtedContacts is how many further hosts get the reports while a relay is
// silent for longer than usual. Several relays may be lost at once.
const backupRelays = 2

// contacts returns the addresses of the hosts of a zone that pass reports on: one,
// or some more while that one may be lost.
func (c *Core) relayAddresses(z zone.ID, now time.Time) []string {
	first := c.relayOf(z, now)
	if first == nil {
		return nil
	}
	out := []string{first.Datagrams}
	if first == c.self || now.Sub(first.datagramReceived) <= relaySuspectAfter {
		return out
	}
	for _, p := range c.liveHosts() {
		if p.Zone == z && p != first && p != c.self && !now.Before(p.relayExcludedUntil) && len(out) <= backupRelays {
			out = append(out, p.Datagrams)
		}
	}
	return out
}

// contact returns the host of a zone that passes reports on: the first in order
// that has not been silent. It returns nil when none is known.
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
	known := c.relays[z]
	if known == nil || known.host != first.hash {
		c.relays[z] = &relayChoice{host: first.hash, since: now}
		return first
	}
	if now.Sub(known.since) > relayTimeout && now.Sub(first.datagramReceived) > relayTimeout {
		first.relayExcludedUntil = now.Add(relayExclusion)
		return c.relayOf(z, now)
	}
	return first
}
