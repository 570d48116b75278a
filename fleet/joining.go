package fleet

import (
	"slices"
	"time"
)

// Times of joining the fleet.
const (
	// helloInterval is the time between two tries to reach the seeds, while none
	// has answered.
	helloInterval = 300 * time.Millisecond
	// firstPatience is how long a host waits for the seeds at the first
	// start of the fleet, before it reads the store.
	bootstrapTimeout = 1500 * time.Millisecond
	// joinPatience is how long a host that starts later waits for the rows of the
	// others before it reads the store on its own.
	joinTimeout = 100 * time.Millisecond
	// spread is the time over which the hosts of a fleet write their rows at its
	// first start.
	registerSpread = 2 * time.Second
	// rejoinInterval is the time between two tries to learn of unknown hosts.
	peerFetchInterval = time.Second
	// registerRetry is the pause before a failed registration is tried again.
	rowRetryDelay = 2 * time.Second
	// alonePause is the time between two reads of the hosts' rows while this host hears
	// from no other: all that it knew may have been replaced.
	isolatedReadInterval = 5 * time.Second
)

// joinState is how far this host has joined the fleet.
type joinState struct {
	started time.Time
	// patience is until when the host waits for the order of the hosts before it
	// reads the store.
	joinDeadline     time.Time
	nextHello    time.Time
	registerAt   time.Time
	registered   bool
	registering  bool
	readPeersAt  time.Time
	peersRead    bool
	readingPeers bool
	// informed is set once the host has learned of all hosts, from the rows or from a
	// peer that has joined before.
	membershipKnown bool
	// wantPeers is set after a report of an unknown host.
	wantPeers bool
	nextPeerFetch  time.Time
}

func (j *joinState) begin(c *Core, now time.Time) {
	j.nextHello = now
	j.started, j.joinDeadline = now, now.Add(joinTimeout)
	j.registerAt, j.readPeersAt = now, now
	if c.cfg.First {
		j.joinDeadline = now.Add(bootstrapTimeout)
		j.registerAt = now.Add(time.Duration(c.cfg.Rand.Int64N(int64(registerSpread))))
		j.readPeersAt = now.Add(bootstrapTimeout)
	}
}

func (j *joinState) tick(c *Core, now time.Time) {
	j.sendHellos(c, now)
	j.scheduleReread(c, now)
	if !j.registered && !j.registering && !now.Before(j.registerAt) && (j.peersRead || now.After(j.joinDeadline)) {
		j.registering = true
		c.emit(Register{Peer: c.cfg.Self})
	}
	if !j.peersRead && !j.readingPeers && !now.Before(j.readPeersAt) {
		if c.cfg.First && c.hasLivePeer() {
			j.peersRead = true
			return
		}
		j.readingPeers = true
		c.emit(ReadPeers{})
	}
}

// rereadPeers reads the rows again while this host is alone.
func (j *joinState) scheduleReread(c *Core, now time.Time) {
	if j.peersRead && !now.Before(j.readPeersAt) && !c.hasLivePeer() && len(c.peers) > 0 {
		j.peersRead = false
	}
}

// joined reports whether this host hears from another one.
func (c *Core) hasLivePeer() bool {
	for _, p := range c.peers {
		if p.reported && p.alive {
			return true
		}
	}
	return false
}

// hello introduces this host to the seeds until one answers.
func (j *joinState) sendHellos(c *Core, now time.Time) {
	if now.Before(j.nextHello) || c.hasLivePeer() {
		return
	}
	j.nextHello = now.Add(helloInterval)
	for _, seed := range c.cfg.Seeds {
		if seed != c.cfg.Self.Datagrams {
			c.sendHello(seed, true)
		}
	}
}

func (c *Core) sendHello(to string, answer bool) {
	self := c.cfg.Self
	c.emit(Send{To: []string{to}, Datagram: Datagram{From: c.hash, Hop: ToHost, Hello: &self, Answer: answer}})
}

func (c *Core) handleRegistered(now time.Time, ev Registered) {
	c.joining.registering = false
	c.joining.registered = ev.Err == nil
	c.joining.registerAt = now.Add(rowRetryDelay)
}

// peersRead learns of hosts and introduces this host to those it did not know.
func (c *Core) handlePeersRead(now time.Time, ev PeersRead) {
	c.joining.readingPeers = false
	if ev.Err != nil {
		c.joining.readPeersAt = now.Add(rowRetryDelay)
		return
	}
	c.joining.peersRead = true
	c.joining.readPeersAt = now.Add(isolatedReadInterval)
	c.markMembershipKnown()
	// An earlier incarnation may have written the row, and others may have dropped it
	// since.
	c.joining.registered = slices.ContainsFunc(ev.Peers, func(p Peer) bool {
		p.Incarnation = c.cfg.Self.Incarnation
		return p == c.cfg.Self
	})
	c.addPeers(now, ev.Peers)
}

// inform notes that this host has learned of all hosts.
func (c *Core) markMembershipKnown() {
	c.snapshotStale = c.snapshotStale || !c.joining.membershipKnown
	c.joining.membershipKnown = true
}

// meet introduces this host to hosts that it did not know.
func (c *Core) addPeers(now time.Time, list []Peer) {
	for _, p := range list {
		hash := NewHash(p.ID)
		known := c.peers[hash]
		if hash == c.hash || known != nil && known.Incarnation >= p.Incarnation {
			continue
		}
		c.addPeer(now, p)
		c.sendHello(p.Datagrams, false)
	}
}
