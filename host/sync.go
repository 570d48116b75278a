package host

import (
	"slices"
	"time"
)

// pauseThreshold is the maximum time between two ticks of a host that was not
// paused. After a longer time its view of the fleet may be outdated.
const pauseThreshold = 2 * time.Second

// syncPeers compares the list of hosts with that of one random peer.
func (c *Core) syncPeers(now time.Time) {
	for _, to := range c.randomPeers(1, "") {
		c.emit(SendSync{To: to.FleetAddress, Message: c.Message(now, to.ID)})
	}
}

// recontact sends a sync to one address of a host that is not known to be
// alive: a gone peer, a seed, or an entry of the host list. By this, the parts
// of a partitioned fleet find each other again. Only one address is contacted
// at a time, so that the work does not grow with the number of gone hosts.
func (c *Core) recontact(now time.Time) {
	c.dropExpiredPeers(now)
	addresses := c.recontactAddresses()
	if len(addresses) == 0 {
		return
	}
	to := addresses[c.cfg.Rand.IntN(len(addresses))]
	c.emit(SendSync{To: to.address, Message: c.Message(now, to.id)})
}

// contact is the address of a possible host, with its ID if known.
type contact struct {
	address string
	id      ID
}

func (c *Core) recontactAddresses() []contact {
	known := map[string]bool{c.self.FleetAddress: true}
	var out []contact
	for _, id := range c.sortedPeerIDs() {
		p := c.peers[id]
		known[p.Identity.FleetAddress] = true
		if p.State == PeerGone && !p.Identity.Leaving {
			out = append(out, contact{address: p.Identity.FleetAddress, id: id})
		}
	}
	for _, address := range slices.Concat(c.cfg.Seeds, c.listedAddresses) {
		if address != "" && !known[address] {
			known[address] = true
			out = append(out, contact{address: address})
		}
	}
	return out
}

// Members returns all hosts that are not gone, including this one, sorted by
// ID. It is the response to a sync with a different digest.
func (c *Core) Members() []Update {
	out := []Update{{Identity: c.self, State: PeerAlive}}
	for _, id := range c.sortedPeerIDs() {
		if p := c.peers[id]; p.State != PeerGone {
			out = append(out, Update{Identity: p.Identity, State: p.State})
		}
	}
	return out
}

// handleSyncResponse applies a peer's list of hosts. It applies only identities
// that are newer than the known ones, and ignores the states: this host
// suspects peers only by its own checks. Otherwise two parts of a fleet that
// were partitioned would declare each other's hosts gone when they reconnect.
func (c *Core) handleSyncResponse(now time.Time, ev SyncSucceeded) {
	joining := len(c.peers) == 0
	c.handlePingResponse(now, PingSucceeded{Message: ev.Message})
	for _, u := range ev.Members {
		p := c.peers[u.Identity.ID]
		if p == nil || u.Identity.newerThan(p.Identity) {
			u.State = PeerAlive
			c.applyUpdate(now, u)
		}
	}
	if joining {
		c.updates = nil
		c.announceSelf(now)
	}
}

// detectPause detects that this host was paused. It then cancels the checks in
// progress, because this host was silent and not its peers, and moves the
// peers' suspicion deadlines by the length of the pause. It also makes this
// host refresh its view of the fleet at once.
func (c *Core) detectPause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if !c.lastTick.IsZero() && gap > pauseThreshold {
		clear(c.pingRounds)
		for _, p := range c.peers {
			p.suspicionDeadline = p.suspicionDeadline.Add(gap)
		}
		c.nextSync, c.nextPoll, c.nextHostList = now, now, now
		c.selfSuspicion.worsen(1)
	}
	c.lastTick = now
}
