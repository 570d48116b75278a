package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// liveHosts returns the live hosts, this one included, in rank order.
func (c *Core) liveHosts() []*peerState {
	if c.liveCache == nil {
		c.liveCache = append(c.liveCache, c.self)
		for _, p := range c.peers {
			if p.alive {
				c.liveCache = append(c.liveCache, p)
			}
		}
		slices.SortFunc(c.liveCache, comparePeers)
	}
	return c.liveCache
}

// knownHashes returns the hashes of the other hosts in ascending order, so that a run with a
// seeded Rand is reproducible.
func (c *Core) knownHashes() []Hash { return slices.Sorted(maps.Keys(c.peers)) }

// rank returns this host's position among the live hosts, from 0.
func (c *Core) rank() int { return slices.Index(c.liveHosts(), c.self) }

// addPeer adds a host, or replaces an earlier incarnation of it. recorded says whether a host that
// counts as alive now is recorded by itself.
func (c *Core) addPeer(now time.Time, peer Peer, recorded bool) {
	hash := NewHash(peer.ID)
	if hash == c.hash {
		return
	}
	p := c.peers[hash]
	if p != nil && p.Incarnation >= peer.Incarnation {
		return
	}
	if p != nil {
		c.replaceLoads(p, nil)
		c.replaceWaiting(p, nil)
	}
	// A new host counts as alive until hostTimeout has passed without a report.
	c.peers[hash] = &peerState{Peer: peer, hash: hash, reportReceived: now}
	c.peers[hash].alive = !recorded
	c.markAlive(now, c.peers[hash])
}

// markAlive records that a host is alive, or that the reported state of a live host changed.
func (c *Core) markAlive(now time.Time, p *peerState) {
	if !p.alive {
		c.record(now, timeline.Event{Kind: timeline.HostJoined, To: string(p.ID)})
	}
	p.alive = true
	c.liveCache = nil
	c.snapshotStale = true
}

// expirePeers marks silent hosts as lost and forgets those that have been lost for long.
func (c *Core) expirePeers(now time.Time) {
	var silent []Hash
	for hash, p := range c.peers {
		if silentFor := now.Sub(p.reportReceived); p.alive && silentFor > hostTimeout || silentFor > forgetAfter {
			silent = append(silent, hash)
		}
	}
	slices.Sort(silent) // a run with a seeded Rand is reproducible
	for _, hash := range silent {
		p := c.peers[hash]
		silentFor := now.Sub(p.reportReceived)
		if p.alive && silentFor > hostTimeout {
			p.alive = false
			c.replaceLoads(p, nil)
			p.admitted.Forget()
			c.replaceWaiting(p, nil)
			c.liveCache = nil
			c.snapshotStale = true
			c.record(now, timeline.Event{Kind: timeline.HostLost, From: string(p.ID), Reason: "silent for " + silentFor.Round(time.Millisecond).String()})
		}
		if silentFor > forgetAfter {
			c.forget(p)
		}
	}
}

// forget removes a host that has been silent for forgetAfter. The first host in rank order also
// removes the row of the forgotten host, so that the rows of replaced machines do not accumulate.
// An isolated host removes no rows.
func (c *Core) forget(p *peerState) {
	delete(c.peers, p.hash)
	delete(c.forwarded.full, p.hash)
	delete(c.forwarded.heartbeats, p.hash)
	c.snapshotStale = true
	if c.rank() == 0 && c.hasLivePeer() {
		c.emit(RemovePeer{ID: p.ID})
	}
}

// Peers returns the hosts that this one knows, itself included.
func (c *Core) Peers() []Peer {
	out := []Peer{c.cfg.Self}
	for _, hash := range c.knownHashes() {
		out = append(out, c.peers[hash].Peer)
	}
	return out
}
