package fleet

import (
	"slices"
	"time"
)

// fetchState is the fetch under way.
type fetchState struct {
	busy    bool
	from    Hash
	retryAt time.Time
}

// Times of fetching documents from peers.
const (
	// fetchNearby is how long a host waits for a peer of its own zone to have
	// what it wants, so that one copy crosses between zones.
	fetchNearby = 60 * time.Millisecond
	// fetchRetry is the pause after a failed fetch.
	fetchRetry = 100 * time.Millisecond
)

// fetchNews asks a peer for what is newer there.
func (c *Core) fetchNews(now time.Time) {
	wantPeers := c.joining.wantPeers && !now.Before(c.joining.nextWant)
	if c.fetching.busy || now.Before(c.fetching.retryAt) {
		return
	}
	targets, config := !c.targets.wantedSince.IsZero(), !c.config.wantedSince.IsZero()
	if !targets && !config && !wantPeers {
		return
	}
	source := c.source(now, targets, config)
	if source == nil {
		return
	}
	if wantPeers {
		c.joining.wantPeers = false
		c.joining.nextWant = now.Add(rejoinInterval)
	}
	c.fetching.busy = true
	c.fetching.from = source.hash
	c.emit(Fetch{From: source.Documents, Peers: wantPeers, Targets: targets, Configuration: config})
}

// hasNews reports whether a peer has what is wanted, and did not just fail to give it.
func (c *Core) hasNews(p *peerState, targets, config bool) bool {
	failed := p.hash == c.fetching.from && len(c.order) > 2 && !c.fetching.retryAt.IsZero()
	return p != c.self && !failed &&
		(!targets || p.last.Targets.Confirmed > c.targets.storeTime) &&
		(!config || p.last.Configuration.Revision > c.config.revision)
}

// anyPeer returns one of the other live hosts, nil if there is none.
func (c *Core) anyPeer() *peerState {
	others := slices.DeleteFunc(slices.Clone(c.live()), func(p *peerState) bool { return p == c.self })
	if len(others) == 0 {
		return nil
	}
	return others[c.cfg.Rand.IntN(len(others))]
}

// source chooses the peer to fetch from, near ones first. The hosts alone are asked
// of any peer: hosts of a zone may all miss the same ones.
func (c *Core) source(now time.Time, targets, config bool) *peerState {
	if !targets && !config {
		return c.anyPeer()
	}
	var near, far []*peerState
	for _, p := range c.live() {
		if !c.hasNews(p, targets, config) {
			continue
		}
		if p.Zone == c.cfg.Self.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) > 0 {
		return near[c.cfg.Rand.IntN(len(near))]
	}
	if len(far) == 0 {
		return nil
	}
	waited := now.Sub(earlier(c.targets.wantedSince, c.config.wantedSince)) >= fetchNearby
	if !waited && c.contact(c.cfg.Self.Zone, now) != c.self {
		return nil
	}
	return far[c.cfg.Rand.IntN(len(far))]
}

// earlier returns the earlier of two times that are set.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// informedAfter is how long after its start a host learns of all others from a peer. At the
// first start of the fleet the peer knows few before.
func (c *Core) informedAfter() time.Duration {
	if c.cfg.First {
		return firstPatience
	}
	return 0
}

func (c *Core) fetched(now time.Time, ev Fetched) {
	c.fetching.busy = false
	if ev.Err != nil {
		c.fetching.retryAt = now.Add(fetchRetry)
		return
	}
	c.fetching.retryAt = time.Time{}
	c.meet(now, ev.Peers)
	if len(ev.Peers) > 0 && now.Sub(c.joining.started) > c.informedAfter() {
		c.inform()
	}
	if ev.Targets != nil {
		c.mergeTargets(now, ev.Targets, now.Add(-ev.TargetsStamp.Age), "fetched from a peer")
	}
	if ev.Document != nil {
		c.putInForce(now, ev.Document)
		if uint64(ev.Document.Configuration.Version) == c.config.revision {
			c.config.confirm(now.Add(-ev.DocumentStamp.Age), ev.DocumentStamp.Confirmed)
		}
	}
	// What the peer no longer had newer is asked for again when a report tells
	// of it.
	c.targets.wantedSince, c.config.wantedSince = time.Time{}, time.Time{}
}

// Documents returns what this host has for another one, with the ages.
func (c *Core) Documents(now time.Time) Fetched {
	return Fetched{
		Peers:         c.Peers(),
		Targets:       c.registry.Known(),
		TargetsStamp:  c.targets.stamp(now),
		Document:      c.document,
		DocumentStamp: c.config.stamp(now),
	}
}
