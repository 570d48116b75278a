package host

import (
	"slices"
	"time"
)

// pauseAfter is the time between two ticks after which this host takes itself
// to have been paused: long enough for its view of the fleet to be old.
const pauseAfter = 2 * time.Second

// syncPeers compares the list of hosts with one random peer.
func (c *Core) syncPeers(now time.Time) {
	for _, to := range c.randomPeers(1, "") {
		c.emit(SendSync{To: to.FleetAddress, Message: c.Message(now, to.ID)})
	}
}

// recontact tries one address at which a host may be that is not known to be
// alive: a peer that is gone, a seed, or an entry of the host list. It finds
// the other part of a fleet that was split. One address at a time bounds the
// work, however many hosts are away.
func (c *Core) recontact(now time.Time) {
	c.forgetLost(now)
	addresses := c.missingAddresses()
	if len(addresses) == 0 {
		return
	}
	to := addresses[c.cfg.Rand.IntN(len(addresses))]
	c.emit(SendSync{To: to.address, Message: c.Message(now, to.id)})
}

// contact is where a host may be; the id is empty when it is not known.
type contact struct {
	address string
	id      ID
}

func (c *Core) missingAddresses() []contact {
	known := map[string]bool{c.self.FleetAddress: true}
	var out []contact
	for _, id := range c.sortedPeerIDs() {
		p := c.peers[id]
		known[p.Identity.FleetAddress] = true
		if p.State == PeerGone && !p.Identity.Leaving {
			out = append(out, contact{address: p.Identity.FleetAddress, id: id})
		}
	}
	for _, address := range slices.Concat(c.cfg.Seeds, c.listed) {
		if address != "" && !known[address] {
			known[address] = true
			out = append(out, contact{address: address})
		}
	}
	return out
}

// Members returns all hosts that are not gone, this one included, sorted by
// id: the answer to a SendSync whose digest differs.
func (c *Core) Members() []Update {
	out := []Update{{Identity: c.self, State: PeerAlive}}
	for _, id := range c.sortedPeerIDs() {
		if p := c.peers[id]; p.State != PeerGone {
			out = append(out, Update{Identity: p.Identity, State: p.State})
		}
	}
	return out
}

// syncAnswered takes in a peer's list of hosts. Only what is later than what
// this host knows is believed; a suspicion is left to this host's own checks,
// so that two parts of a fleet that meet again do not declare each other's
// hosts gone.
func (c *Core) syncAnswered(now time.Time, ev SyncAnswered) {
	joining := len(c.peers) == 0
	c.pingAnswered(now, PingAnswered{Message: ev.Message})
	for _, u := range ev.Members {
		p := c.peers[u.Identity.ID]
		if p == nil || u.Identity.newerThan(p.Identity) {
			u.State = PeerAlive
			c.learn(now, u)
		}
	}
	if joining {
		c.updates = nil
		c.tellOfSelf(now)
	}
}

// noticePause makes a host that was paused compare its view before it judges
// its peers by silence that was its own.
func (c *Core) noticePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if !c.lastTick.IsZero() && gap > pauseAfter {
		clear(c.rounds)
		for _, p := range c.peers {
			p.goneAt = p.goneAt.Add(gap)
		}
		c.nextSync, c.nextPoll, c.nextHostList = now, now, now
		c.doubts.worsen(1)
	}
	c.lastTick = now
}
