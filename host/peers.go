package host

import "slices"

// putPeer adds a peer, or replaces the one with the same ID.
func (c *Core) putPeer(p *Peer) {
	c.peers[p.Identity.ID] = p
	c.peerIDs = nil
	c.hostChanged(p.Identity.ID)
}

// dropPeer removes a peer.
func (c *Core) dropPeer(id ID) {
	delete(c.peers, id)
	c.peerIDs = nil
	c.hostChanged(id)
}

// hostChanged invalidates cached data that depends on a host, after the host's
// identity or state has changed.
func (c *Core) hostChanged(id ID) {
	c.staleParts |= partHosts
	c.summary = nil
	c.entrySetState.changed[id] = true
}

// sortedPeerIDs returns the IDs of all peers. The slice is shared: the caller
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

// peerSummary holds counts and digests over this host's view of its peers.
type peerSummary struct {
	notGone int
	// notLeaving is the number of peers that are not leaving, including those
	// that are gone. notLeavingAlive is the number of alive peers among them.
	notLeaving, notLeavingAlive int
	// suspects are the suspect peers, sorted.
	suspects []ID
	// digest combines the identities of the peers that are not gone.
	digest uint64
}

// summarizePeers returns the summary of the peers. It is cached until a host
// changes.
func (c *Core) summarizePeers() *peerSummary {
	if c.summary != nil {
		return c.summary
	}
	out := &peerSummary{}
	for _, id := range c.sortedPeerIDs() {
		p := c.peers[id]
		if p.State != PeerGone {
			out.notGone++
			out.digest ^= identityDigest(p.idHash, p.Identity)
		}
		if p.State == PeerSuspect {
			out.suspects = append(out.suspects, id)
		}
		if p.Identity.Leaving {
			continue
		}
		out.notLeaving++
		if p.State == PeerAlive {
			out.notLeavingAlive++
		}
	}
	c.summary = out
	return out
}
