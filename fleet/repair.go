package fleet

import "time"

// Times of repairing the membership: finding hosts that were lost or never met.
const (
	// probeLostInterval is the time between two tries to reach one of the lost hosts. The
	// rate does not grow with their number.
	lostHelloInterval = 500 * time.Millisecond
	// firstSync is the pause before a host that has just joined, or found a lost one,
	// fetches the list of hosts from a peer. It grows by syncGrowth each time, up to
	// longestSync. Two hosts of a zone that do not know each other would each relay for a
	// part of it.
	minSyncInterval   = 300 * time.Millisecond
	maxSyncInterval = time.Minute
	syncGrowth  = 4
)

// repair is the state of repairing the membership.
type membershipRepair struct {
	nextHello time.Time
	// syncPause is the pause before the list of hosts is fetched next, at nextSync.
	syncInterval time.Duration
	nextSync  time.Time
}

// begin schedules the next fetch soon.
func (r *membershipRepair) restart(now time.Time) {
	r.syncInterval = minSyncInterval
	r.nextSync = now.Add(minSyncInterval)
}

func (r *membershipRepair) tick(c *Core, now time.Time) {
	if !now.Before(r.nextHello) {
		r.nextHello = now.Add(lostHelloInterval)
		if p := c.lostPeer(); p != nil {
			c.sendHello(p.Datagrams, true)
		}
	}
	if now.Before(r.nextSync) || !c.hasLivePeer() {
		return
	}
	c.joining.wantPeers = true
	if c.joining.membershipKnown {
		r.syncInterval = min(syncGrowth*r.syncInterval, maxSyncInterval)
	}
	r.nextSync = now.Add(r.syncInterval/2 + time.Duration(c.cfg.Rand.Int64N(int64(r.syncInterval))))
}

// lostPeer returns one of the hosts that are silent, nil if there is none.
func (c *Core) lostPeer() *peerState {
	var lost []*peerState
	for _, hash := range c.knownHashes() {
		if p := c.peers[hash]; !p.alive {
			lost = append(lost, p)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return lost[c.cfg.Rand.IntN(len(lost))]
}

// greeted notes a datagram from the host itself that introduces it. A lost host is
// found again by it.
func (c *Core) receiveHello(now time.Time, peer Peer) {
	c.addPeer(now, peer)
	p := c.peers[NewHash(peer.ID)]
	if p == nil || p.Incarnation != peer.Incarnation {
		return
	}
	if !p.alive {
		p.reportReceived = now
		c.markAlive(now, p)
		c.repair.restart(now)
	}
}
