package host

import (
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// handleMessage processes a message from a peer, whether a request or a
// response.
func (c *Core) handleMessage(now time.Time, m Message) {
	c.clock.Observe(now, m.Stamp)
	if m.From.ID == c.self.ID {
		c.handleUpdateAboutSelf(now, Update{Identity: m.From, State: PeerAlive})
		return
	}
	c.applySenderIdentity(now, m.From)
	for _, u := range m.Updates {
		c.applyUpdate(now, u)
	}
	c.recordRevision(now, m)
}

// applySenderIdentity applies the identity of a message's sender. A direct
// message ends a suspicion at once. A peer that was declared gone must refute
// this itself, so that the other hosts learn of the refutation too.
func (c *Core) applySenderIdentity(now time.Time, id Identity) {
	c.applyUpdate(now, Update{Identity: id, State: PeerAlive})
	p := c.peers[id.ID]
	if p != nil && p.State == PeerSuspect && p.Identity == id {
		c.setPeerState(now, p, PeerAlive)
	}
}

// applyUpdate applies an update, and queues it for other hosts if it changed
// anything. A compact update about an unknown incarnation is ignored; a sync,
// or a ping from that host, brings the full identity.
func (c *Core) applyUpdate(now time.Time, u Update) {
	if u.Identity.ID == c.self.ID {
		c.handleUpdateAboutSelf(now, u)
		return
	}
	p := c.peers[u.Identity.ID]
	if u.Identity.isCompact() {
		if p == nil || p.Identity.Incarnation != u.Identity.Incarnation {
			return
		}
		u.Identity = u.Identity.completedBy(p.Identity)
	}
	switch {
	case p == nil:
		c.addPeer(now, u)
	case u.Identity.newerThan(p.Identity):
		c.replacePeer(now, p, u)
	case p.Identity.newerThan(u.Identity) || u.State <= p.State:
		return
	default:
		c.setPeerState(now, p, u.State)
	}
	c.updates.add(u)
}

func (c *Core) addPeer(now time.Time, u Update) {
	p := &Peer{Identity: u.Identity, State: u.State, joinedAt: now, stateSince: now, idHash: hashID(u.Identity.ID)}
	c.putPeer(p)
	if u.State == PeerGone {
		return
	}
	p.suspicionDeadline = now.Add(c.cfg.Timing.suspicionTime(len(c.peers) + 1))
	c.pingOrder = append(c.pingOrder, u.Identity.ID)
	c.recordPeer(now, timeline.HostJoined, p, "")
}

// replacePeer applies a newer identity of a known peer.
func (c *Core) replacePeer(now time.Time, p *Peer, u Update) {
	if u.Identity.Incarnation != p.Identity.Incarnation {
		c.forgetEvidence(now, p.Identity)
		c.dropPeer(p.Identity.ID)
		c.addPeer(now, u)
		return
	}
	p.Identity = u.Identity
	c.hostChanged(p.Identity.ID)
	if p.State != u.State {
		c.setPeerState(now, p, u.State)
	}
}

// setPeerState changes a peer's state. A suspicion gets a deadline.
func (c *Core) setPeerState(now time.Time, p *Peer, state PeerState) {
	previous := p.State
	p.State, p.stateSince = state, now
	c.hostChanged(p.Identity.ID)
	switch {
	case state == PeerSuspect:
		p.suspicionDeadline = now.Add(c.selfSuspicion.scale(c.cfg.Timing.suspicionTime(len(c.peers) + 1)))
	case state == PeerGone:
		c.forgetEvidence(now, p.Identity)
		c.recordPeer(now, timeline.HostLost, p, lossReason(p))
	case previous == PeerGone:
		c.recordPeer(now, timeline.HostJoined, p, "refuted that it was gone")
	}
}

func lossReason(p *Peer) string {
	if p.Identity.Leaving {
		return "left"
	}
	return "did not refute the suspicion"
}

// LeaveNotices returns the last messages of a host that has finished its work.
// They tell a few peers, and through them the other hosts, that it is gone.
func (c *Core) LeaveNotices(now time.Time) []SendPing {
	c.updates = updateQueue{{update: Update{Identity: c.self, State: PeerGone}}}
	var out []SendPing
	for _, to := range c.randomPeers(announceFanout, "") {
		out = append(out, SendPing{To: to, Message: c.Message(now, to.ID), Timeout: c.cfg.Timing.PingTimeout})
	}
	return out
}

func (c *Core) recordPeer(now time.Time, kind timeline.Kind, p *Peer, reason string) {
	c.record(now, timeline.Event{Kind: kind, Target: string(p.Identity.ID), Reason: reason})
}

// handleUpdateAboutSelf refutes that this host is suspect or gone, and detects
// that another process uses its ID.
func (c *Core) handleUpdateAboutSelf(now time.Time, u Update) {
	switch {
	case u.Identity.Incarnation > c.self.Incarnation:
		c.handleReplacement(now, u.Identity)
	case u.State == PeerAlive || c.self.newerThan(u.Identity):
		return
	default:
		c.selfSuspicion.worsen(1)
		c.self.Sequence = u.Identity.Sequence
		c.announceSelf(now)
	}
}

// handleReplacement makes this host leave the directory because a later process
// uses its ID.
func (c *Core) handleReplacement(now time.Time, id Identity) {
	if c.replaced {
		return
	}
	c.replaced = true
	c.staleParts |= partHosts
	c.record(now, timeline.Event{Kind: timeline.HostLost, Target: string(id.ID), Reason: "a later process has the id of this one"})
}

// announceSelf increments the sequence of this host's identity and sends the
// identity to other hosts.
func (c *Core) announceSelf(now time.Time) {
	c.self.Sequence++
	c.hostChanged(c.self.ID)
	c.updates.add(Update{Identity: c.self, State: PeerAlive})
	c.announce(now)
}

// updateSick recomputes whether this host is sick, and announces a change.
func (c *Core) updateSick(now time.Time) {
	sick := !c.ready || c.selfSuspicion.suspected || c.stale(now) || c.suspectsOwnPaths()
	if sick == c.self.Sick {
		return
	}
	c.self.Sick = sick
	c.announceSelf(now)
}

// expireSuspicions declares suspect peers gone if they did not refute the
// suspicion in time. An isolated host extends the deadlines instead, because
// the fault may be its own.
func (c *Core) expireSuspicions(now time.Time) {
	isolated := c.isolated(now)
	earliest := now.Add(c.cfg.Timing.suspicionTime(len(c.peers) + 1))
	for _, id := range c.summarizePeers().suspects {
		p := c.peers[id]
		switch {
		case isolated && p.suspicionDeadline.Before(earliest):
			p.suspicionDeadline = earliest
		case !now.Before(p.suspicionDeadline):
			c.setPeerState(now, p, PeerGone)
			c.updates.add(Update{Identity: p.Identity, State: PeerGone})
		}
	}
}

// dropExpiredPeers removes the peers that have been gone for ForgetAfter.
func (c *Core) dropExpiredPeers(now time.Time) {
	for _, id := range c.sortedPeerIDs() {
		if p := c.peers[id]; p.State == PeerGone && now.Sub(p.stateSince) >= c.cfg.Timing.ForgetAfter {
			c.dropPeer(id)
		}
	}
}

// isolatedPingIntervals is the number of ping intervals without a response from
// any peer after which a host considers itself isolated.
const isolatedPingIntervals = 3

// isolated reports whether no peer has responded recently. If fewer than
// relayCount peers are not gone, there may be no relay, and a response from the
// store counts too. Otherwise the last surviving host would consider itself
// isolated and wait for its peers forever.
func (c *Core) isolated(now time.Time) bool {
	last := c.lastPeerResponse
	if c.summarizePeers().notGone < relayCount && c.freshness.lastStoreRead.After(last) {
		last = c.freshness.lastStoreRead
	}
	return now.Sub(last) > isolatedPingIntervals*c.cfg.Timing.PingInterval
}
