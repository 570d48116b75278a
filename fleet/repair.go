package fleet

import (
	"slices"
	"time"
)

// Timing of the membership repair, which finds hosts that were lost or never met.
const (
	// lostHelloInterval is the interval between Hellos to a lost host. The rate does not grow
	// with the number of lost hosts.
	lostHelloInterval = 500 * time.Millisecond
	// A host fetches the list of hosts from a peer minSyncInterval after it joined or found a lost
	// host. Once it knows the membership, the interval grows by the factor syncGrowth with each
	// fetch, up to maxSyncInterval. The first fetch is early because two hosts of a zone that do
	// not know each other would each relay for only a part of the zone.
	minSyncInterval = 300 * time.Millisecond
	maxSyncInterval = time.Minute
	syncGrowth      = 4
)

// membershipRepair schedules the Hellos to lost hosts and the fetches of the list of hosts.
type membershipRepair struct {
	nextHello time.Time
	// syncInterval is the average interval until the next fetch of the list of hosts. That fetch is
	// due at nextSync.
	syncInterval time.Duration
	nextSync     time.Time
}

// restart schedules the next fetch at the shortest interval.
func (r *membershipRepair) restart(now time.Time) {
	r.syncInterval = minSyncInterval
	r.nextSync = now.Add(minSyncInterval)
}

func (r *membershipRepair) tick(c *Core, now time.Time) {
	if !now.Before(r.nextHello) {
		r.nextHello = now.Add(lostHelloInterval)
		if p := c.lostPeer(); p != nil {
			c.sendHello(p.DatagramAddress, true)
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

// lostPeer returns a random lost host, or nil if there is none.
func (c *Core) lostPeer() *peerState {
	var lost []Hash
	for hash, p := range c.peers {
		if !p.alive {
			lost = append(lost, hash)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	slices.Sort(lost) // a run with a seeded Rand is reproducible
	return c.peers[lost[c.cfg.Rand.IntN(len(lost))]]
}

// receiveHello handles a Hello, which comes from the host itself. A lost host counts as alive
// again.
func (c *Core) receiveHello(now time.Time, peer Peer) {
	c.addPeer(now, peer, true)
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
