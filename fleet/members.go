package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// live returns the live hosts and this host in order.
func (c *Core) live() []*peerState {
	if c.order == nil {
		c.order = append(c.order, c.self)
		for _, p := range c.peers {
			if p.alive {
				c.order = append(c.order, p)
			}
		}
		slices.SortFunc(c.order, comparePeers)
	}
	return c.order
}

// known returns the names of the other hosts in a fixed order.
func (c *Core) known() []Hash { return slices.Sorted(maps.Keys(c.peers)) }

// rank returns this host's place among the live hosts.
func (c *Core) rank() int { return slices.Index(c.live(), c.self) }

// introduced learns of a host.
func (c *Core) introduced(now time.Time, peer Peer) {
	hash := NewHash(peer.ID)
	if hash == c.hash {
		return
	}
	p := c.peers[hash]
	if p != nil && p.Incarnation >= peer.Incarnation {
		return
	}
	if p != nil {
		c.takeLoads(p, nil)
	}
	// A host that was just learned of counts as alive until it was silent.
	c.peers[hash] = &peerState{Peer: peer, hash: hash, heard: now}
	c.peerAlive(now, c.peers[hash])
}

// peerAlive notes that a host is there, or that its state changed.
func (c *Core) peerAlive(now time.Time, p *peerState) {
	if !p.alive {
		c.record(now, timeline.Event{Kind: timeline.HostJoined, To: string(p.ID)})
	}
	p.alive = true
	c.order = nil
	c.outdated = true
}

// expirePeers drops hosts that are silent.
func (c *Core) expirePeers(now time.Time) {
	for _, hash := range c.known() {
		p := c.peers[hash]
		quiet := now.Sub(p.heard)
		if p.alive && quiet > silence {
			p.alive = false
			c.takeLoads(p, nil)
			c.order = nil
			c.outdated = true
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
	delete(c.passed.whole, p.hash)
	delete(c.passed.beats, p.hash)
	c.outdated = true
	if c.rank() == 0 && c.joined() {
		c.emit(RemovePeer{ID: p.ID})
	}
}

// Peers returns the hosts that this one knows, itself included.
func (c *Core) Peers() []Peer {
	out := []Peer{c.cfg.Self}
	for _, hash := range c.known() {
		out = append(out, c.peers[hash].Peer)
	}
	return out
}
