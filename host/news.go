package host

import "time"

const (
	// fetchTimeout is how long one fetch of changes from a peer may take
	// before another peer is asked.
	fetchTimeout = 2 * time.Second
	// joinPeers is how many peers a starting host hears, if there are so many,
	// before it takes the greatest revision among them for the fleet's.
	joinPeers = 3
	// newsShare is the share of the known hosts, one in so many, that a host
	// must reach to count as part of the fleet while the store is away. Two
	// regions that lose each other both keep on serving; a few hosts that are
	// cut off together do not.
	newsShare = 4
)

// fetchState bounds the fetches of changes to one at a time.
type fetchState struct {
	// until is when the fetch under way is given up; zero while none is.
	until time.Time
	// newest is the greatest revision heard of, and peer a host that has it.
	newest uint64
	peer   Identity
}

// newsState tells how fresh this host's configuration is.
type newsState struct {
	// store is when the table last answered.
	store time.Time
	// fleet is when this host last reached enough of the fleet.
	fleet time.Time
	// joined holds the revisions of the peers heard since the start, until
	// the host is ready.
	joined map[ID]uint64
	// readyHeard is set when one of them was ready.
	readyHeard bool
	stale      bool
}

// revisionHeard notes which revision a peer has, and fetches a newer one.
func (c *Core) revisionHeard(now time.Time, m Message) {
	if !c.ready {
		if c.news.joined == nil {
			c.news.joined = make(map[ID]uint64)
		}
		c.news.joined[m.From.ID] = m.Revision
		c.news.readyHeard = c.news.readyHeard || m.Ready
	}
	if m.Revision >= c.fetch.newest {
		c.fetch.newest, c.fetch.peer = m.Revision, m.From
	}
	c.fetchNewest(now)
}

// fetchNewest asks for the changes up to the newest revision heard of.
func (c *Core) fetchNewest(now time.Time) {
	if c.fetch.newest <= c.revision || now.Before(c.fetch.until) {
		return
	}
	c.fetch.until = now.Add(fetchTimeout)
	c.emit(FetchChanges{Peer: c.fetch.peer, After: c.revision})
}

// fetchEnded makes room for the next fetch. A peer that did not have what it
// told is asked again only after its next message.
func (c *Core) fetchEnded(ev ConfigurationRead) {
	c.fetch.until = time.Time{}
	if ev.Err != nil || ev.Revision < c.fetch.newest {
		c.fetch.newest = 0
	}
}

// refreshNews decides whether a starting host is ready, and whether the
// configuration has become stale.
func (c *Core) refreshNews(now time.Time) {
	if !c.ready && c.joinedFleet() {
		c.becomeReady()
	}
	if c.news.fleet.IsZero() || c.reachesFleet(now) {
		c.news.fleet = now
	}
	stale := c.stale(now)
	if stale != c.news.stale {
		c.news.stale = stale
		c.outdated |= viewHosts
	}
}

// joinedFleet reports whether peers have told a starting host the
// configuration: enough of them were heard, at least one of them knew it, and
// this host has the newest of those that live. A set of hosts that all start
// while the store is away stays unready until it hears one that knows.
func (c *Core) joinedFleet() bool {
	alive, heard := 0, 0
	for id, p := range c.peers {
		if p.State != PeerAlive {
			continue
		}
		alive++
		revision, ok := c.news.joined[id]
		if revision > c.revision {
			return false
		}
		if ok {
			heard++
		}
	}
	return c.news.readyHeard && heard >= min(joinPeers, alive)
}

func (c *Core) becomeReady() {
	if c.ready {
		return
	}
	c.ready = true
	c.outdated |= viewHosts
	c.news.joined = nil
}

// reachesFleet reports whether this host reaches enough of the hosts that it
// knows.
func (c *Core) reachesFleet(now time.Time) bool {
	n := c.countPeers()
	return n.alive > 0 && n.alive*newsShare >= n.staying && !c.isolated(now)
}

// stale reports whether this host may have missed changes of configuration:
// it has heard neither the store nor enough of the fleet for StaleAfter.
func (c *Core) stale(now time.Time) bool {
	return now.Sub(c.news.store) > c.cfg.Timing.StaleAfter &&
		now.Sub(c.news.fleet) > c.cfg.Timing.StaleAfter
}
