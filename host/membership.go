package host

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
)

// heartbeatHeard learns from a peer's message.
func (c *Core) heartbeatHeard(now time.Time, ev HeartbeatHeard) {
	c.clock.Observe(now, ev.Stamp)
	if ev.From.ID == c.self.ID {
		return
	}
	p := c.hear(now, ev.From)
	if p == nil {
		return
	}
	p.Heard = now
	p.Revision = ev.Revision
	for _, id := range ev.Peers {
		if id.ID != c.self.ID && c.peers[id.ID] == nil {
			c.hear(now, id)
		}
	}
	if ev.Revision > c.revision {
		c.emit(FetchChanges{Peer: ev.From, After: c.revision})
	}
}

// hear takes in a peer's identity. It returns nil for an incarnation that was
// already replaced.
func (c *Core) hear(now time.Time, id Identity) *Peer {
	p, known := c.peers[id.ID]
	if known && id.Incarnation < p.Identity.Incarnation {
		return nil
	}
	if !known || id.Incarnation > p.Identity.Incarnation {
		p = &Peer{Identity: id, Heard: now}
		c.peers[id.ID] = p
		c.hostsMoved()
		c.record(now, timeline.Event{Kind: timeline.HostJoined, Target: string(id.ID)})
	}
	if p.State != PeerAlive || p.Identity.Leaving != id.Leaving {
		c.hostsMoved()
	}
	p.State = PeerAlive
	p.Identity = id
	return p
}

// agePeers suspects and gives up peers that have been silent.
func (c *Core) agePeers(now time.Time) {
	for _, p := range c.peers {
		state := PeerAlive
		switch silent := now.Sub(p.Heard); {
		case silent >= c.cfg.Timing.GoneAfter:
			state = PeerGone
		case silent >= c.cfg.Timing.SuspectAfter:
			state = PeerSuspect
		}
		if state == p.State {
			continue
		}
		p.State = state
		c.hostsMoved()
		if state == PeerGone {
			c.record(now, timeline.Event{Kind: timeline.HostLost, Target: string(p.Identity.ID)})
		}
	}
}

// sendHeartbeats addresses every live peer, and the seeds while none is known.
func (c *Core) sendHeartbeats(now time.Time) {
	stamp := c.clock.Now(now)
	sent := make(map[string]bool)
	send := func(address string) {
		if address == "" || address == c.self.FleetAddress || sent[address] {
			return
		}
		sent[address] = true
		c.emit(SendHeartbeat{FleetAddress: address, From: c.self, Revision: c.revision, Stamp: stamp})
	}
	for _, p := range c.peers {
		if p.State != PeerGone {
			send(p.Identity.FleetAddress)
		}
	}
	for _, address := range c.cfg.Seeds {
		send(address)
	}
}

// Peers returns the identities of the live peers.
func (c *Core) Peers() []Identity {
	var out []Identity
	for _, p := range c.peers {
		if p.State == PeerAlive {
			out = append(out, p.Identity)
		}
	}
	return out
}

// hostListRead marks targets as leaving that the platform lists as leaving.
func (c *Core) hostListRead(now time.Time, ev HostListRead) {
	if ev.Err != nil {
		return
	}
	leaving := make(map[string]bool)
	for _, h := range ev.Hosts {
		if h.Leaving {
			leaving[h.Address] = true
		}
	}
	for _, s := range c.services {
		for _, spec := range s.Contract.Targets {
			if leaving[spec.Address] {
				c.applyTransitions(now, s.Drain(spec.Name, target.SignHostList, now))
			} else {
				c.applyTransitions(now, s.Withdraw(spec.Name, target.SignHostList, now))
			}
		}
	}
}

// hostsMoved notes that the hosts of the fleet, or what is believed of them,
// have changed.
func (c *Core) hostsMoved() {
	c.dirty = true
	c.hostsChanged = true
}
