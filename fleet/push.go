package fleet

import (
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/history"
)

const (
	// pushTimeout is how long a host that knows of newer targets waits for the changes to be
	// pushed before it fetches them.
	pushTimeout = 150 * time.Millisecond
	// pushInterval is the shortest interval between two pushes. While a service is replaced, its
	// targets change many times a second.
	pushInterval = 50 * time.Millisecond
	// maxPushedTargets is how many changed targets fit in a datagram. If more have changed, the
	// other hosts fetch them.
	maxPushedTargets = 10
)

// targetsPush is the state of a reader of the store that tells the other hosts what has changed in
// the targets. In a large fleet, a fetch by each host for each change would cost far more.
type targetsPush struct {
	// since is the reading from which changes are still to be pushed; its revision is 0 if
	// there are none.
	since history.Reading
	next  time.Time
	// forwarded and forwardedDigest identify the changes that this host has last received and
	// forwarded.
	forwarded       history.Reading
	forwardedDigest uint32
}

// begin notes that the targets have changed since a reading.
func (p *targetsPush) begin(since history.Reading) {
	if p.since.Revision == 0 {
		p.since = since
	}
}

// hasForwarded reports whether changes, or later ones, have been forwarded.
func (p *targetsPush) hasForwarded(changes *discovery.Changes) bool {
	return changes.ConfirmedBefore(p.forwarded) || changes.Reading == p.forwarded && changes.Digest == p.forwardedDigest
}

// pushChanges sends the changes that are due.
func (c *Core) pushChanges(now time.Time) {
	if c.push.since.Revision == 0 || now.Before(c.push.next) {
		return
	}
	changes, ok := c.registry.ChangesSince(c.push.since.History, c.push.since.Revision)
	c.push.since, c.push.next = history.Reading{}, now.Add(pushInterval)
	if !ok || len(changes.Updated)+len(changes.Removed) > maxPushedTargets || changesBytes(changes) > maxDatagramBytes {
		return
	}
	stamp := c.targetsStamp(now)
	changes.Reading = stamp.reading()
	d := Datagram{From: c.hash, Hop: ToRelay, Changes: changes, ChangesStamp: stamp}
	if c.relayOf(c.cfg.Self.Zone, now) == c.self {
		c.forwardChanges(now, d)
		return
	}
	c.emit(Send{To: c.relayAddresses(c.cfg.Self.Zone, now), Datagram: d})
}

// targetBytes is the size of a target in a datagram without its names.
const targetBytes = 40

// changesBytes returns the approximate size of changes in a datagram, in bytes.
func changesBytes(c *discovery.Changes) int {
	n := reportBaseBytes
	for _, t := range c.Updated {
		n += targetBytes + len(t.ID) + len(t.Service) + len(t.Address) + len(t.Zone)
	}
	for _, id := range c.Removed {
		n += len(id)
	}
	return n
}

// receiveChanges applies pushed changes and forwards them. If this host lacks the version that
// they apply to, or they do not lead to the announced one, it fetches the targets later.
func (c *Core) receiveChanges(now time.Time, d Datagram) {
	known := c.registry.Known()
	if known == nil || d.Changes.OlderThan(known) || c.push.hasForwarded(d.Changes) {
		return
	}
	c.push.forwarded, c.push.forwardedDigest = d.Changes.Reading, d.Changes.Digest
	if d.Changes.Digest != known.Digest && d.Changes.AppliesTo(known.Reading) {
		if targets, err := known.Apply(d.Changes); err == nil {
			c.mergeTargets(now, targets, d.ChangesStamp, "pushed by a peer")
		}
	}
	c.forwardChanges(now, Datagram{From: c.hash, Hop: d.Hop, Changes: d.Changes, ChangesStamp: d.ChangesStamp})
}

// forwardChanges sends changes on, as a relay does with reports: those that came with ToRelay to
// the relays of the other zones and to the hosts of this zone, those with ToZone to these hosts only.
// Any host that receives changes forwards them, so that the choice of a relay needs no agreement.
func (c *Core) forwardChanges(now time.Time, d Datagram) {
	if d.Hop == ToHost {
		return
	}
	if d.Hop == ToRelay {
		d.Hop = ToZone
		if to := c.otherZoneRelays(now); len(to) > 0 {
			c.emit(Send{To: to, Datagram: d})
		}
	}
	d.Hop = ToHost
	if to := c.zonePeers(); len(to) > 0 {
		c.emit(Send{To: to, Datagram: d})
	}
}
