package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/link"
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

// Sizes in a datagram, in bytes. A datagram must fit in one packet of 1,400 bytes.
const (
	datagramBytes = 1300
	reportBytes   = 55
	beatBytes     = 8
	// entryBytes is the size of an entry of load or of an ending.
	entryBytes = 12
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
	for hash, ref := range c.byHash {
		if n := ref.target.Own(); n > 0 {
			r.Loads = append(r.Loads, Load{Target: hash, Requests: n})
		}
	}
	slices.SortFunc(r.Loads, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	return r
}

// heard takes a datagram of another host.
func (c *Core) heard(now time.Time, d Datagram) {
	if d.From == c.hash {
		return
	}
	if d.Hello != nil {
		c.greeted(now, *d.Hello)
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
	if r.isBeat() {
		return c.takeBeat(now, p)
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
