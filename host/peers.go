package host

import "slices"

// putPeer adds a peer, or replaces the one with its id.
func (c *Core) putPeer(p *Peer) {
	c.peers[p.Identity.ID] = p
	c.peerIDs = nil
	c.hostMoved(p.Identity.ID)
}

// dropPeer forgets a peer.
func (c *Core) dropPeer(id ID) {
	delete(c.peers, id)
	c.peerIDs = nil
	c.hostMoved(id)
}

// hostMoved notes that a host of the fleet, or what is believed of it, has
// changed.
func (c *Core) hostMoved(id ID) {
	c.outdated |= viewHosts
	c.census = nil
	c.fronting.moved[id] = true
}

// sortedPeerIDs returns the ids of all peers. The slice is shared: the caller
// must not change it.
func (c *Core) sortedPeerIDs() []ID {
	if c.peerIDs != nil || len(c.peers) == 0 {
		return c.peerIDs
	}
	c.peerIDs = make([]ID, 0, len(c.peers))
	for id := range c.peers {
		c.peerIDs = append(c.peerIDs, id)
	}
	slices.Sort(c.peerIDs)
	return c.peerIDs
}

// census sums up what this host believes of its peers.
type census struct {
	notGone int
	// staying are the peers that do not leave, gone ones included, and alive
	// those of them that are alive.
	staying, alive int
	// suspects are the suspected peers, sorted.
	suspects []ID
	// digest combines what is known of the peers that are not gone.
	digest uint64
}

// countPeers returns the census, which is kept until a host moves.
func (c *Core) countPeers() *census {
	if c.census != nil {
		return c.census
	}
	out := &census{}
	for _, id := range c.sortedPeerIDs() {
		p := c.peers[id]
		if p.State != PeerGone {
			out.notGone++
			out.digest ^= identityDigest(p.hash, p.Identity)
		}
		if p.State == PeerSuspect {
			out.suspects = append(out.suspects, id)
		}
		if p.Identity.Leaving {
			continue
		}
		out.staying++
		if p.State == PeerAlive {
			out.alive++
		}
	}
	c.census = out
	return out
}
