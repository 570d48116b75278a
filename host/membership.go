package host

import (
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// messageHeard learns from a message that a peer sent, or that answers one of
// this host.
func (c *Core) messageHeard(now time.Time, m Message) {
	c.clock.Observe(now, m.Stamp)
	if m.From.ID == c.self.ID {
		c.aboutSelf(now, Update{Identity: m.From, State: PeerAlive})
		return
	}
	c.heardFrom(now, m.From)
	for _, u := range m.Updates {
		c.learn(now, u)
	}
	c.revisionHeard(now, m)
}

// heardFrom takes in what a peer tells of itself. Hearing a peer directly
// clears a suspicion at once; one that was taken to be gone must refute, so
// that the others hear of it too.
func (c *Core) heardFrom(now time.Time, id Identity) {
	c.learn(now, Update{Identity: id, State: PeerAlive})
	p := c.peers[id.ID]
	if p != nil && p.State == PeerSuspect && p.Identity == id {
		c.setPeerState(now, p, PeerAlive)
	}
}

// learn takes in an update, and passes it on when it is news. A brief one about
// an incarnation that is not known is ignored; a comparison of lists, or a ping
// of that host, introduces it.
func (c *Core) learn(now time.Time, u Update) {
	if u.Identity.ID == c.self.ID {
		c.aboutSelf(now, u)
		return
	}
	p := c.peers[u.Identity.ID]
	if u.Identity.isBrief() {
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
	p := &Peer{Identity: u.Identity, State: u.State, joined: now, since: now, hash: hashID(u.Identity.ID)}
	c.putPeer(p)
	if u.State == PeerGone {
		return
	}
	p.goneAt = now.Add(c.cfg.Timing.suspicionTime(len(c.peers) + 1))
	c.pingOrder = append(c.pingOrder, u.Identity.ID)
	c.recordPeer(now, timeline.HostJoined, p, "")
}

// replacePeer takes in a later identity of a known peer.
func (c *Core) replacePeer(now time.Time, p *Peer, u Update) {
	if u.Identity.Incarnation != p.Identity.Incarnation {
		c.forgetEvidence(now, p.Identity)
		c.dropPeer(p.Identity.ID)
		c.addPeer(now, u)
		return
	}
	p.Identity = u.Identity
	c.hostMoved(p.Identity.ID)
	if p.State != u.State {
		c.setPeerState(now, p, u.State)
	}
}

// setPeerState enters a state. A suspicion has a deadline.
func (c *Core) setPeerState(now time.Time, p *Peer, state PeerState) {
	previous := p.State
	p.State, p.since = state, now
	c.hostMoved(p.Identity.ID)
	switch {
	case state == PeerSuspect:
		p.goneAt = now.Add(c.doubts.scale(c.cfg.Timing.suspicionTime(len(c.peers) + 1)))
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

// LeaveNotices returns the last messages of a host that has finished its work:
// they tell a few peers, and through them the others, that it is gone.
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

// aboutSelf refutes that this host is suspect or gone, and learns when another
// process has taken its id.
func (c *Core) aboutSelf(now time.Time, u Update) {
	switch {
	case u.Identity.Incarnation > c.self.Incarnation:
		c.replacedBy(now, u.Identity)
	case u.State == PeerAlive || c.self.newerThan(u.Identity):
		return
	default:
		c.doubts.worsen(1)
		c.self.Sequence = u.Identity.Sequence
		c.tellOfSelf(now)
	}
}

// replacedBy makes a process whose id was given to a later one leave.
func (c *Core) replacedBy(now time.Time, id Identity) {
	if c.replaced {
		return
	}
	c.replaced = true
	c.outdated |= viewHosts
	c.record(now, timeline.Event{Kind: timeline.HostLost, Target: string(id.ID), Reason: "a later process has the id of this one"})
}

// tellOfSelf gives this host's identity a new sequence and spreads it.
func (c *Core) tellOfSelf(now time.Time) {
	c.self.Sequence++
	c.hostMoved(c.self.ID)
	c.updates.add(Update{Identity: c.self, State: PeerAlive})
	c.announce(now)
}

// refreshSelf spreads it when this host begins or ceases to doubt itself.
func (c *Core) refreshSelf(now time.Time) {
	sick := !c.ready || c.doubts.sick || c.stale(now) || c.doubtsPaths()
	if sick == c.self.Sick {
		return
	}
	c.self.Sick = sick
	c.tellOfSelf(now)
}

// expireSuspicions takes suspected peers to be gone that did not refute. A host
// that reaches nobody declares nobody gone: the fault may be its own.
func (c *Core) expireSuspicions(now time.Time) {
	isolated := c.isolated(now)
	grace := now.Add(c.cfg.Timing.suspicionTime(len(c.peers) + 1))
	for _, id := range c.countPeers().suspects {
		p := c.peers[id]
		switch {
		case isolated && p.goneAt.Before(grace):
			p.goneAt = grace
		case !now.Before(p.goneAt):
			c.setPeerState(now, p, PeerGone)
			c.updates.add(Update{Identity: p.Identity, State: PeerGone})
		}
	}
}

// forgetLost forgets the peers that have been gone for long.
func (c *Core) forgetLost(now time.Time) {
	for _, id := range c.sortedPeerIDs() {
		if p := c.peers[id]; p.State == PeerGone && now.Sub(p.since) >= c.cfg.Timing.ForgetAfter {
			c.dropPeer(id)
		}
	}
}

// isolatedAfter is how many ping intervals without any answer make a host
// believe that it is cut off.
const isolatedAfter = 3

// isolated reports whether no peer has answered lately. Among so few hosts
// that there may be no relay to ask, an answer of the store counts too;
// otherwise the last survivor would wait for its peers for ever.
func (c *Core) isolated(now time.Time) bool {
	last := c.lastAnswer
	if c.countPeers().notGone < relays && c.news.store.After(last) {
		last = c.news.store
	}
	return now.Sub(last) > isolatedAfter*c.cfg.Timing.PingInterval
}
