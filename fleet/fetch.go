package fleet

import (
	"slices"
	"time"
)

// fetchState is the fetch under way.
type fetchState struct {
	inFlight    bool
	source    Hash
	retryAt time.Time
}

// Times of fetching documents from peers.
const (
	// fetchNearby is how long a host waits for a peer of its own zone to have
	// what it wants, so that one copy crosses between zones.
	sameZoneTimeout = 60 * time.Millisecond
	// fetchRetry is the pause after a failed fetch.
	fetchRetryDelay = 100 * time.Millisecond
)

// fetchNews asks a peer for what is newer there.
func (c *Core) fetchWanted(now time.Time) {
	wantPeers := c.joining.wantPeers && !now.Before(c.joining.nextPeerFetch)
	if c.fetching.inFlight || now.Before(c.fetching.retryAt) {
		return
	}
	targets, config := !c.targetsCopy.wantedSince.IsZero(), !c.configCopy.wantedSince.IsZero()
	if !targets && !config && !wantPeers {
		return
	}
	source := c.fetchSource(now, targets, config)
	if source == nil {
		return
	}
	if wantPeers {
		c.joining.wantPeers = false
		c.joining.nextPeerFetch = now.Add(peerFetchInterval)
	}
	c.fetching.inFlight = true
	c.fetching.source = source.hash
	c.emit(Fetch{From: source.Documents, Peers: wantPeers, Targets: targets, Configuration: config})
}

// hasNews reports whether a peer has what is wanted, and did not just fail to give it.
func (c *Core) canProvide(p *peerState, targets, config bool) bool {
	failed := p.hash == c.fetching.source && len(c.liveCache) > 2 && !c.fetching.retryAt.IsZero()
	return p != c.self && !failed &&
		(!targets || p.lastReport.Targets.Confirmed > c.targetsCopy.storeTimeMs) &&
		(!config || p.lastReport.Configuration.Revision > c.configCopy.revision)
}

// anyPeer returns one of the other live hosts, nil if there is none.
func (c *Core) randomPeer() *peerState {
	others := slices.DeleteFunc(slices.Clone(c.liveHosts()), func(p *peerState) bool { return p == c.self })
	if len(others) == 0 {
		return nil
	}
	return others[c.cfg.Rand.IntN(len(others))]
}

// source chooses the peer to fetch from, near ones first. The hosts alone are asked
// of any peer: hosts of a zone may all miss the same ones.
func (c *Core) fetchSource(now time.Time, targets, config bool) *peerState {
	if !targets && !config {
		return c.randomPeer()
	}
	var near, far []*peerState
	for _, p := range c.liveHosts() {
		if !c.canProvide(p, targets, config) {
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
	waited := now.Sub(earlier(c.targetsCopy.wantedSince, c.configCopy.wantedSince)) >= sameZoneTimeout
	if !waited && c.relayOf(c.cfg.Self.Zone, now) != c.self {
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
func (c *Core) membershipKnownAfter() time.Duration {
	if c.cfg.First {
		return bootstrapTimeout
	}
	return 0
}

func (c *Core) handleFetched(now time.Time, ev Fetched) {
	c.fetching.inFlight = false
	if ev.Err != nil {
		c.fetching.retryAt = now.Add(fetchRetryDelay)
		return
	}
	c.fetching.retryAt = time.Time{}
	c.addPeers(now, ev.Peers)
	if len(ev.Peers) > 0 && now.Sub(c.joining.started) > c.membershipKnownAfter() {
		c.markMembershipKnown()
	}
	if ev.Targets != nil {
		c.mergeTargets(now, ev.Targets, now.Add(-ev.TargetsStamp.Age), "fetched from a peer")
	}
	if ev.Document != nil {
		c.putInForce(now, ev.Document)
		if uint64(ev.Document.Configuration.Version) == c.configCopy.revision {
			c.configCopy.confirm(now.Add(-ev.DocumentStamp.Age), ev.DocumentStamp.Confirmed)
		}
	}
	// What the peer no longer had newer is asked for again when a report tells
	// of it.
	c.targetsCopy.wantedSince, c.configCopy.wantedSince = time.Time{}, time.Time{}
}

// Documents returns what this host has for another one, with the ages.
func (c *Core) Documents(now time.Time) Fetched {
	return Fetched{
		Peers:         c.Peers(),
		Targets:       c.registry.Known(),
		TargetsStamp:  c.targetsCopy.stamp(now),
		Document:      c.document,
		DocumentStamp: c.configCopy.stamp(now),
	}
}
