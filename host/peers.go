package host

import "slices"

// putPeer adds a peer, or replaces the one with its id.
func (c *Core) putPeer(p *Peer) {
	c.peers[p.Identity.ID] = p
	c.peerIDs = nil
}

// dropPeer forgets a peer.
func (c *Core) dropPeer(id ID) {
	delete(c.peers, id)
	c.peerIDs = nil
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
