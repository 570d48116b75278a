package host

import (
	"slices"
	"time"
)

const (
	// relayCount is the number of peers that are asked to ping a peer that did
	// not respond.
	relayCount = 3
	// relayTimeoutFactor is the timeout of an indirect ping, in ping timeouts:
	// one for the call to the relay and one for the relay's ping.
	relayTimeoutFactor = 2
	// announceFanout is the number of random peers that are pinged at once to
	// spread an update. With four, an update reaches 98% of the hosts in a few
	// round trips; the regular pings carry it to the other hosts.
	announceFanout = 4
)

// pingRound is the check of one peer: a direct ping, then indirect pings.
type pingRound struct {
	subject  Identity
	deadline time.Time
	// relaysAsked is the number of relays asked; 0 while the direct ping is in
	// progress.
	relaysAsked int
	// nacks is the number of relays that responded that they could not reach
	// the subject either.
	nacks int
}

// pingNext checks the next peer of a shuffled list, so that every peer is
// checked once before any is checked twice (SWIM; Das, Gupta and Motivala,
// 2002).
func (c *Core) pingNext(now time.Time) {
	p := c.nextToPing()
	if p == nil {
		return
	}
	if _, running := c.pingRounds[p.Identity.ID]; running {
		return
	}
	c.pingRounds[p.Identity.ID] = &pingRound{
		subject:  p.Identity,
		deadline: now.Add(c.selfSuspicion.scale(c.cfg.Timing.PingTimeout)),
	}
	c.sendPing(now, p.Identity)
}

func (c *Core) sendPing(now time.Time, to Identity) {
	c.emit(SendPing{To: to, Message: c.Message(now, to.ID), Timeout: c.selfSuspicion.scale(c.cfg.Timing.PingTimeout)})
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

// randomPeers returns up to n alive peers in random order, except for the given
// one.
func (c *Core) randomPeers(n int, except ID) []Identity {
	var out []Identity
	for _, id := range c.shuffledPeerIDs() {
		if p := c.peers[id]; id != except && p.State == PeerAlive && len(out) < n {
			out = append(out, p.Identity)
		}
	}
	return out
}

// announce pings a few random peers at once, in addition to the regular pings.
func (c *Core) announce(now time.Time) {
	for _, to := range c.randomPeers(announceFanout, "") {
		c.sendPing(now, to)
	}
}

// handlePingResponse ends the check of a peer that responded.
func (c *Core) handlePingResponse(now time.Time, ev PingSucceeded) {
	c.lastPeerResponse = now
	c.handleMessage(now, ev.Message)
	id := ev.Message.From.ID
	if _, running := c.pingRounds[id]; running {
		delete(c.pingRounds, id)
		c.selfSuspicion.improve()
	}
	if p := c.peers[id]; p != nil && p.Unreachable {
		p.Unreachable = false
		c.staleParts |= partHosts
	}
}

// handlePingFailure asks relays as soon as a direct ping fails, without waiting
// for its timeout.
func (c *Core) handlePingFailure(now time.Time, ev PingFailed) {
	if r := c.pingRounds[ev.Subject]; r != nil && r.relaysAsked == 0 {
		c.askRelays(now, r)
	}
}

func (c *Core) askRelays(now time.Time, r *pingRound) {
	timeout := c.selfSuspicion.scale(relayTimeoutFactor * c.cfg.Timing.PingTimeout)
	r.deadline = now.Add(timeout)
	for _, via := range c.randomPeers(relayCount, r.subject.ID) {
		r.relaysAsked++
		c.emit(SendIndirectPing{Via: via, Subject: r.subject, Timeout: timeout})
	}
	if r.relaysAsked == 0 {
		c.endRound(now, r)
	}
}

// handleIndirectPingResult processes the response of a relay, or the failure of
// the call to it.
func (c *Core) handleIndirectPingResult(now time.Time, ev IndirectPingEnded) {
	if ev.Err == nil {
		c.lastPeerResponse = now
	}
	r := c.pingRounds[ev.Subject]
	if r == nil || ev.Err != nil {
		return
	}
	if !ev.Reached {
		r.nacks++
		if r.nacks == r.relaysAsked {
			c.endRound(now, r)
		}
		return
	}
	delete(c.pingRounds, ev.Subject)
	p := c.peers[ev.Subject]
	if p == nil {
		return
	}
	p.Unreachable = true
	c.staleParts |= partHosts
	if p.State == PeerSuspect && p.Identity == r.subject {
		c.setPeerState(now, p, PeerAlive)
	}
}

// expireRounds processes the checks whose deadline has passed: after a direct
// ping it asks relays, after indirect pings it ends the check.
func (c *Core) expireRounds(now time.Time) {
	for _, id := range c.sortedRoundIDs() {
		r := c.pingRounds[id]
		switch {
		case now.Before(r.deadline):
		case r.relaysAsked == 0:
			c.askRelays(now, r)
		default:
			c.endRound(now, r)
		}
	}
}

func (c *Core) sortedRoundIDs() []ID {
	ids := make([]ID, 0, len(c.pingRounds))
	for id := range c.pingRounds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endRound suspects a peer that could not be reached. If relays were asked and
// none responded, the fault may be this host's own. Its self-suspicion then
// rises, and if it is isolated, it does not suspect the peer.
func (c *Core) endRound(now time.Time, r *pingRound) {
	delete(c.pingRounds, r.subject.ID)
	if r.relaysAsked > 0 && r.nacks == 0 {
		c.selfSuspicion.worsen(1)
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
