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
	firstPatience = 1500 * time.Millisecond
	// joinPatience is how long a host that starts later waits for the rows of the
	// others before it reads the store on its own.
	joinPatience = 100 * time.Millisecond
	// spread is the time over which the hosts of a fleet write their rows at its
	// first start.
	spread = 2 * time.Second
	// rejoinInterval is the time between two tries to learn of unknown hosts.
	rejoinInterval = time.Second
	// registerRetry is the pause before a failed registration is tried again.
	registerRetry = 2 * time.Second
	// alonePause is the time between two reads of the hosts' rows while this host hears
	// from no other: all that it knew may have been replaced.
	alonePause = 5 * time.Second
)

// joinState is how far this host has joined the fleet.
type joinState struct {
	started time.Time
	// patience is until when the host waits for the order of the hosts before it
	// reads the store.
	patience     time.Time
	nextHello    time.Time
	registerAt   time.Time
	registered   bool
	registering  bool
	readPeersAt  time.Time
	peersRead    bool
	readingPeers bool
	// informed is set once the host has learned of all hosts, from the rows or from a
	// peer that has joined before.
	informed bool
	// wantPeers is set after a report of an unknown host.
	wantPeers bool
	nextWant  time.Time
}

func (j *joinState) begin(c *Core, now time.Time) {
	j.nextHello = now
	j.started, j.patience = now, now.Add(joinPatience)
	j.registerAt, j.readPeersAt = now, now
	if c.cfg.First {
		j.patience = now.Add(firstPatience)
		j.registerAt = now.Add(time.Duration(c.cfg.Rand.Int64N(int64(spread))))
		j.readPeersAt = now.Add(firstPatience)
	}
}

func (j *joinState) tick(c *Core, now time.Time) {
	j.hello(c, now)
	j.rereadPeers(c, now)
	if !j.registered && !j.registering && !now.Before(j.registerAt) && (j.peersRead || now.After(j.patience)) {
		j.registering = true
		c.emit(Register{Peer: c.cfg.Self})
	}
	if !j.peersRead && !j.readingPeers && !now.Before(j.readPeersAt) {
		if c.cfg.First && c.joined() {
			j.peersRead = true
			return
		}
		j.readingPeers = true
		c.emit(ReadPeers{})
	}
}

// rereadPeers reads the rows again while this host is alone.
func (j *joinState) rereadPeers(c *Core, now time.Time) {
	if j.peersRead && !now.Before(j.readPeersAt) && !c.joined() && len(c.peers) > 0 {
		j.peersRead = false
	}
}

// joined reports whether this host hears from another one.
func (c *Core) joined() bool {
	for _, p := range c.peers {
		if p.known && p.alive {
			return true
		}
	}
	return false
}

// hello introduces this host to the seeds until one answers.
func (j *joinState) hello(c *Core, now time.Time) {
	if now.Before(j.nextHello) || c.joined() {
		return
	}
	j.nextHello = now.Add(helloInterval)
	for _, seed := range c.cfg.Seeds {
		if seed != c.cfg.Self.Datagrams {
			c.sayHello(seed, true)
		}
	}
}

func (c *Core) sayHello(to string, answer bool) {
	self := c.cfg.Self
	c.emit(Send{To: []string{to}, Datagram: Datagram{From: c.hash, Hop: ToHost, Hello: &self, Answer: answer}})
}

func (c *Core) registered(now time.Time, ev Registered) {
	c.joining.registering = false
	c.joining.registered = ev.Err == nil
	c.joining.registerAt = now.Add(registerRetry)
}

// peersRead learns of hosts and introduces this host to those it did not know.
func (c *Core) peersRead(now time.Time, ev PeersRead) {
	c.joining.readingPeers = false
	if ev.Err != nil {
		c.joining.readPeersAt = now.Add(registerRetry)
		return
	}
	c.joining.peersRead = true
	c.joining.readPeersAt = now.Add(alonePause)
	c.inform()
	// An earlier incarnation may have written the row, and others may have dropped it
	// since.
	c.joining.registered = slices.ContainsFunc(ev.Peers, func(p Peer) bool {
		p.Incarnation = c.cfg.Self.Incarnation
		return p == c.cfg.Self
	})
	c.meet(now, ev.Peers)
}

// inform notes that this host has learned of all hosts.
func (c *Core) inform() {
	c.outdated = c.outdated || !c.joining.informed
	c.joining.informed = true
}

// meet introduces this host to hosts that it did not know.
func (c *Core) meet(now time.Time, list []Peer) {
	for _, p := range list {
		hash := NewHash(p.ID)
		known := c.peers[hash]
		if hash == c.hash || known != nil && known.Incarnation >= p.Incarnation {
			continue
		}
		c.introduced(now, p)
		c.sayHello(p.Datagrams, false)
	}
}
