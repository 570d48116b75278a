package host

import (
	"slices"
	"time"
)

const (
	// relays is how many peers are asked to ping a peer that did not answer.
	relays = 3
	// relayTimeouts is the time for their answers, in ping timeouts: one for
	// the relay and one for the peer behind it.
	relayTimeouts = 2
	// announceFanout is how many random peers are pinged at once when there is
	// news. Four reach 98% of the hosts in a few round trips; the regular
	// pings reach the rest.
	announceFanout = 4
)

// pingRound is the check of one peer: a direct ping, then indirect ones.
type pingRound struct {
	subject  Identity
	deadline time.Time
	// asked is the number of relays asked; 0 while the direct ping is out.
	asked int
	// answered is how many relays could not reach the subject either.
	answered int
}

// pingNext checks the next peer of a shuffled list, so that every peer is
// checked once before any is checked twice (SWIM; Das, Gupta and Motivala,
// 2002).
func (c *Core) pingNext(now time.Time) {
	p := c.nextToPing()
	if p == nil {
		return
	}
	if _, running := c.rounds[p.Identity.ID]; running {
		return
	}
	c.rounds[p.Identity.ID] = &pingRound{
		subject:  p.Identity,
		deadline: now.Add(c.doubts.scale(c.cfg.Timing.PingTimeout)),
	}
	c.sendPing(now, p.Identity)
}

func (c *Core) sendPing(now time.Time, to Identity) {
	c.emit(SendPing{To: to, Message: c.Message(now, to.ID), Timeout: c.doubts.scale(c.cfg.Timing.PingTimeout)})
}

// nextToPing returns the next peer that is not gone.
func (c *Core) nextToPing() *Peer {
	for range len(c.pingOrder) + 1 {
		if len(c.pingOrder) == 0 {
			c.pingOrder = c.shuffledPeerIDs()
		}
		if len(c.pingOrder) == 0 {
			return nil
		}
		id := c.pingOrder[0]
		c.pingOrder = c.pingOrder[1:]
		if p := c.peers[id]; p != nil && p.State != PeerGone {
			return p
		}
	}
	return nil
}

func (c *Core) shuffledPeerIDs() []ID {
	ids := slices.DeleteFunc(slices.Clone(c.sortedPeerIDs()), func(id ID) bool { return c.peers[id].State == PeerGone })
	c.cfg.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// randomPeers returns up to n usable peers other than one.
func (c *Core) randomPeers(n int, except ID) []Identity {
	var out []Identity
	for _, id := range c.shuffledPeerIDs() {
		if p := c.peers[id]; id != except && p.State == PeerAlive && len(out) < n {
			out = append(out, p.Identity)
		}
	}
	return out
}

// announce pings a few random peers at once, beside the regular pings.
func (c *Core) announce(now time.Time) {
	for _, to := range c.randomPeers(announceFanout, "") {
		c.sendPing(now, to)
	}
}

// pingAnswered ends the check of a peer that answered.
func (c *Core) pingAnswered(now time.Time, ev PingAnswered) {
	c.lastAnswer = now
	c.messageHeard(now, ev.Message)
	id := ev.Message.From.ID
	if _, running := c.rounds[id]; running {
		delete(c.rounds, id)
		c.doubts.improve()
	}
	if p := c.peers[id]; p != nil && p.Unreachable {
		p.Unreachable = false
		c.outdated |= viewHosts
	}
}

// pingFailed asks relays at once when a ping failed before its timeout.
func (c *Core) pingFailed(now time.Time, ev PingFailed) {
	if r := c.rounds[ev.Subject]; r != nil && r.asked == 0 {
		c.askRelays(now, r)
	}
}

func (c *Core) askRelays(now time.Time, r *pingRound) {
	timeout := c.doubts.scale(relayTimeouts * c.cfg.Timing.PingTimeout)
	r.deadline = now.Add(timeout)
	for _, via := range c.randomPeers(relays, r.subject.ID) {
		r.asked++
		c.emit(SendIndirectPing{Via: via, Subject: r.subject, Timeout: timeout})
	}
	if r.asked == 0 {
		c.endRound(now, r)
	}
}

// indirectAnswered takes in what a relay found.
func (c *Core) indirectAnswered(now time.Time, ev IndirectAnswered) {
	if ev.Err == nil {
		c.lastAnswer = now
	}
	r := c.rounds[ev.Subject]
	if r == nil || ev.Err != nil {
		return
	}
	if !ev.Reached {
		r.answered++
		if r.answered == r.asked {
			c.endRound(now, r)
		}
		return
	}
	delete(c.rounds, ev.Subject)
	p := c.peers[ev.Subject]
	if p == nil {
		return
	}
	p.Unreachable = true
	c.outdated |= viewHosts
	if p.State == PeerSuspect && p.Identity == r.subject {
		c.setPeerState(now, p, PeerAlive)
	}
}

// expireRounds moves checks on that were not answered in time.
func (c *Core) expireRounds(now time.Time) {
	for _, id := range c.sortedRoundIDs() {
		r := c.rounds[id]
		switch {
		case now.Before(r.deadline):
		case r.asked == 0:
			c.askRelays(now, r)
		default:
			c.endRound(now, r)
		}
	}
}

func (c *Core) sortedRoundIDs() []ID {
	ids := make([]ID, 0, len(c.rounds))
	for id := range c.rounds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endRound suspects a peer that nobody reached. When no relay answered either,
// the fault may be this host's own, and it doubts itself instead.
func (c *Core) endRound(now time.Time, r *pingRound) {
	delete(c.rounds, r.subject.ID)
	if r.asked > 0 && r.answered == 0 {
		c.doubts.worsen(1)
		if c.isolated(now) {
			return
		}
	}
	p := c.peers[r.subject.ID]
	if p == nil || p.State != PeerAlive || p.Identity.newerThan(r.subject) {
		return
	}
	c.setPeerState(now, p, PeerSuspect)
	c.updates.add(Update{Identity: p.Identity, State: PeerSuspect})
}
