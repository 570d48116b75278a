package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// live returns the live hosts and this host in order.
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

// known returns the names of the other hosts in a fixed order.
func (c *Core) knownHashes() []Hash { return slices.Sorted(maps.Keys(c.peers)) }

// rank returns this host's place among the live hosts.
func (c *Core) rank() int { return slices.Index(c.liveHosts(), c.self) }

// introduced learns of a host.
func (c *Core) addPeer(now time.Time, peer Peer) {
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
	}
	// A host that was just learned of counts as alive until it was silent.
	c.peers[hash] = &peerState{Peer: peer, hash: hash, reportReceived: now}
	c.markAlive(now, c.peers[hash])
}

// peerAlive notes that a host is there, or that its state changed.
func (c *Core) markAlive(now time.Time, p *peerState) {
	if !p.alive {
		c.record(now, timeline.Event{Kind: timeline.HostJoined, To: string(p.ID)})
	}
	p.alive = true
	c.liveCache = nil
	c.snapshotStale = true
}

// expirePeers drops hosts that are silent.
func (c *Core) expirePeers(now time.Time) {
	for _, hash := range c.knownHashes() {
		p := c.peers[hash]
		quiet := now.Sub(p.reportReceived)
		if p.alive && quiet > hostTimeout {
			p.alive = false
			c.replaceLoads(p, nil)
			c.liveCache = nil
			c.snapshotStale = true
			c.record(now, timeline.Event{Kind: timeline.HostLost, From: string(p.ID), Reason: "silent for " + quiet.Round(time.Millisecond).String()})
		}
		if quiet > forgetAfter {
			c.forget(p)
		}
	}
}

// forget drops a host that has been silent for long. The first host in order drops its row,
// so that rows of replaced machines do not pile up.
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
