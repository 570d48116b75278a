package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/zone"
)

// Delays of reports. Longer ones save datagrams, shorter ones send fewer requests
// to targets that are full already.
const (
	// reportDelay gathers the changes of one host.
	reportDelay = 4 * time.Millisecond
	// relayDelay gathers the reports of several hosts for their zone, and
	// worldDelay for the other zones: bytes between zones are dear, and few
	// requests leave their zone.
	relayDelay = 6 * time.Millisecond
	worldDelay = 40 * time.Millisecond
)

// datagramReports and datagramEntries bound a datagram, so that it fits in one
// packet of 1,400 bytes: a report takes about 50 bytes and an entry of load or
// of an ending about 12.
const (
	datagramReports = 14
	datagramEntries = 50
)

// urgent reports whether an outcome is told at once.
func urgent(o link.Outcome) bool {
	switch o {
	case link.Failed, link.Broken, link.ConnectFailed, link.Overdue:
		return true
	default:
		return false
	}
}

// reporter gathers what this host reports next.
type reporter struct {
	sequence uint32
	endings  []Ending
	// due is when the next report is sent.
	due time.Time
}

func (r *reporter) schedule(at time.Time) {
	if r.due.IsZero() || at.Before(r.due) {
		r.due = at
	}
}

// sendReport sends this host's report when it is due.
func (c *Core) sendReport(now time.Time) {
	if now.Before(c.out.due) {
		return
	}
	report := c.newReport(now)
	c.out.due = now.Add(heartbeat)
	if c.contact(c.cfg.Self.Zone, now) == c.self {
		c.relayReport(now, report, ToRelay)
		return
	}
	c.emit(Send{
		To:       c.contacts(c.cfg.Self.Zone, now),
		Datagram: Datagram{From: c.hash, Hop: ToRelay, Reports: []Report{report}},
	})
}

func (c *Core) newReport(now time.Time) Report {
	c.out.sequence++
	r := Report{
		Host:          c.hash,
		Incarnation:   c.cfg.Self.Incarnation,
		Sequence:      c.out.sequence,
		Ready:         c.ready(),
		Leaving:       c.leaving,
		Endings:       c.out.endings,
		Targets:       c.targets.stamp(now),
		Configuration: c.config.stamp(now),
	}
	c.out.endings = nil
	for _, hash := range slices.Sorted(maps.Keys(c.byHash)) {
		ref := c.byHash[hash]
		if n := ref.target.Own(); n > 0 {
			r.Loads = append(r.Loads, Load{Target: hash, Requests: n})
		}
	}
	return r
}

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
		if old.Host == r.Host && old.Incarnation == r.Incarnation {
			r.Endings = slices.Concat(old.Endings, r.Endings)
			b.reports[i] = r
			return
		}
	}
	b.reports = append(b.reports, r)
}

// take returns the reports when they are due.
func (b *batch) take(now time.Time) []Report {
	if b.due.IsZero() || now.Before(b.due) {
		return nil
	}
	reports := b.reports
	*b = batch{}
	return reports
}

// relayReport takes a report in to pass it on.
func (c *Core) relayReport(now time.Time, r Report, hop Hop) {
	zoneDue, worldDue := now.Add(relayDelay), now.Add(worldDelay)
	if slices.ContainsFunc(r.Endings, func(e Ending) bool { return urgent(e.Outcome) }) {
		zoneDue, worldDue = now, now
	}
	c.toZone.add(r, zoneDue)
	if hop == ToRelay {
		c.toWorld.add(r, worldDue)
	}
	c.flushRelay(now)
}

// flushRelay passes the gathered reports on when they are due.
func (c *Core) flushRelay(now time.Time) {
	if reports := c.toZone.take(now); len(reports) > 0 {
		c.pass(packets(reports), ToHost, c.neighbors())
	}
	if reports := c.toWorld.take(now); len(reports) > 0 {
		c.pass(packets(reports), ToZone, c.farContacts(now))
	}
}

// pass sends packets of reports to addresses.
func (c *Core) pass(packets [][]Report, hop Hop, to []string) {
	if len(to) == 0 {
		return
	}
	for _, reports := range packets {
		c.emit(Send{To: to, Datagram: Datagram{From: c.hash, Hop: hop, Reports: reports}})
	}
}

// neighbors returns the addresses of the other live hosts of the zone.
func (c *Core) neighbors() []string {
	var out []string
	for _, p := range c.live() {
		if p != c.self && p.Zone == c.cfg.Self.Zone {
			out = append(out, p.Datagrams)
		}
	}
	return out
}

// farContacts returns the addresses of the hosts that pass reports on in the
// other zones.
func (c *Core) farContacts(now time.Time) []string {
	var out []string
	for _, z := range c.cfg.Zones.Zones() {
		if z.ID != c.cfg.Self.Zone {
			out = append(out, c.contacts(z.ID, now)...)
		}
	}
	return out
}

// packets divides reports over datagrams.
func packets(list []Report) [][]Report {
	var out [][]Report
	entries := 0
	for _, r := range list {
		n := len(r.Loads) + len(r.Endings)
		last := len(out) - 1
		if last < 0 || len(out[last]) == datagramReports || entries+n > datagramEntries {
			out = append(out, nil)
			last++
			entries = 0
		}
		out[last] = append(out[last], r)
		entries += n
	}
	return out
}

// contact is the host of a zone that this host reports to.
type contact struct {
	host  Hash
	since time.Time
}

// doubtedContacts is how many further hosts get the reports while a relay is
// silent for longer than usual. Several relays may be lost at once.
const doubtedContacts = 2

// contacts returns the addresses of the hosts of a zone that pass reports on: one,
// or some more while that one may be lost.
func (c *Core) contacts(z zone.ID, now time.Time) []string {
	first := c.contact(z, now)
	if first == nil {
		return nil
	}
	out := []string{first.Datagrams}
	if first == c.self || now.Sub(first.direct) <= relayDoubt {
		return out
	}
	for _, p := range c.live() {
		if p.Zone == z && p != first && p != c.self && !now.Before(p.avoided) && len(out) <= doubtedContacts {
			out = append(out, p.Datagrams)
		}
	}
	return out
}

// contact returns the host of a zone that passes reports on: the first in order
// that has not been silent. It returns nil when none is known.
func (c *Core) contact(z zone.ID, now time.Time) *peerState {
	var first *peerState
	for _, p := range c.live() {
		if p.Zone == z && !now.Before(p.avoided) {
			first = p
			break
		}
	}
	if first == nil || first == c.self {
		return first
	}
	known := c.relays[z]
	if known == nil || known.host != first.hash {
		c.relays[z] = &contact{host: first.hash, since: now}
		return first
	}
	if now.Sub(known.since) > relaySilence && now.Sub(first.direct) > relaySilence {
		first.avoided = now.Add(relayPause)
		return c.contact(z, now)
	}
	return first
}

// heard takes a datagram of another host.
func (c *Core) heard(now time.Time, d Datagram) {
	if d.From == c.hash {
		return
	}
	if d.Hello != nil {
		c.introduced(now, *d.Hello)
		if d.Answer {
			self := c.cfg.Self
			c.emit(Send{To: []string{d.Hello.Datagrams}, Datagram: Datagram{
				From: c.hash, Hop: ToHost, Hello: &self, Reports: []Report{c.newReport(now)},
			}})
		}
	}
	if p := c.peers[d.From]; p != nil {
		p.direct = now
	}
	for _, r := range d.Reports {
		if c.takeReport(now, r) && d.Hop != ToHost {
			c.relayReport(now, r, d.Hop)
		}
	}
}

// takeReport takes the report of a host. It reports whether it was news.
func (c *Core) takeReport(now time.Time, r Report) bool {
	if r.Host == c.hash {
		return false
	}
	p := c.peers[r.Host]
	if p == nil {
		c.joining.wantPeers = true
		return false
	}
	if p.known && p.alive && (r.Incarnation < p.last.Incarnation || r.Incarnation == p.last.Incarnation && r.Sequence <= p.last.Sequence) {
		return false
	}
	changed := !p.alive || !p.known || r.Ready != p.last.Ready || r.Leaving != p.last.Leaving
	p.known = true
	p.heard = now
	p.last = r
	if changed {
		c.peerAlive(now, p)
	}
	c.takeLoads(p, r.Loads)
	c.noteUse(now, p)
	for _, e := range r.Endings {
		e.Host = string(p.ID)
		c.apply(now, e)
	}
	c.takeStamps(now, r)
	return true
}

// noteUse notes at which targets a host has requests.
func (c *Core) noteUse(now time.Time, p *peerState) {
	for _, l := range p.loads {
		c.byHash[l.Target].target.Use(now)
	}
}

// takeLoads replaces a host's part of the targets' load.
func (c *Core) takeLoads(p *peerState, loads []Load) {
	for _, l := range p.loads {
		if ref, ok := c.byHash[l.Target]; ok {
			ref.target.AddOthers(-l.Requests)
		}
	}
	p.loads = p.loads[:0]
	for _, l := range loads {
		if ref, ok := c.byHash[l.Target]; ok {
			ref.target.AddOthers(l.Requests)
			p.loads = append(p.loads, l)
		}
	}
}
