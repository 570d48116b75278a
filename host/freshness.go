package host

import (
	"time"

	"github.com/crocushinge/crocushinge/history"
)

const (
	// fetchTimeout is the timeout of one fetch of changes from a peer, after
	// which another peer is asked.
	fetchTimeout = 2 * time.Second
	// minJoinPeers is the number of peers from which a starting host must
	// receive a message before it assumes that the greatest of their revisions
	// is the fleet's. If fewer peers are alive, it must receive a message from
	// each of them.
	minJoinPeers = 3
	// While the store is unavailable, a host counts as part of the fleet only
	// if it reaches at least 1/reachableDivisor of the known hosts. If two
	// regions lose contact with each other, both continue to serve. A small
	// group of hosts that is cut off from all others does not.
	reachableDivisor = 4
)

// fetchState limits the fetches of changes to one at a time.
type fetchState struct {
	// deadline is when the current fetch times out; zero while there is none.
	deadline time.Time
	// newest is the latest position that a peer has announced, and kept the number of
	// documents that it has and the table has lost. peer is a host that announced it.
	newest history.Position
	kept   int
	peer   Identity
}

// freshnessState tracks how up to date this host's configuration is.
type freshnessState struct {
	// lastStoreRead is when the metadata store last responded.
	lastStoreRead time.Time
	// lastFleetContact is when this host last reached enough of the fleet.
	lastFleetContact time.Time
	// joinRevisions holds the revisions of the peers that have sent a message
	// since this host started; nil once this host is ready.
	joinRevisions map[ID]history.Position
	// anyPeerReady is set once one of these peers was ready.
	anyPeerReady bool
	stale        bool
}

// recordRevision records the sender's revision. If it is newer than this
// host's, it fetches the changes.
func (c *Core) recordRevision(now time.Time, m Message) {
	announced := history.Position{History: m.History, Revision: m.Revision}
	if m.History == 0 && c.history > firstHistory {
		return // of an earlier version: its revision may be from before the restore
	}
	if !c.ready {
		if c.freshness.joinRevisions == nil {
			c.freshness.joinRevisions = make(map[ID]history.Position)
		}
		c.freshness.joinRevisions[m.From.ID] = announced
		c.freshness.anyPeerReady = c.freshness.anyPeerReady || m.Ready
	}
	if !announced.Before(c.fetch.newest) {
		c.fetch.newest, c.fetch.kept, c.fetch.peer = announced, m.Kept, m.From
	}
	c.fetchNewest(now)
}

// fetchNewest requests the changes up to the newest revision received.
func (c *Core) fetchNewest(now time.Time) {
	newer := c.position().Before(c.fetch.newest) || c.fetch.newest == c.position() && c.fetch.kept > len(c.kept)
	if !newer || now.Before(c.fetch.deadline) {
		return
	}
	c.fetch.deadline = now.Add(fetchTimeout)
	c.emit(FetchChanges{Peer: c.fetch.peer, After: c.position()})
}

// endFetch allows the next fetch. If the fetch failed or did not return the
// revision that the peer had announced, the next fetch waits for another
// message that announces a newer revision.
func (c *Core) endFetch(ev ConfigurationRead) {
	c.fetch.deadline = time.Time{}
	got := history.Position{History: ev.History, Revision: ev.Revision}
	if ev.Err != nil || got.Before(c.fetch.newest) || c.fetch.kept > 0 {
		c.fetch.newest, c.fetch.kept = history.Position{}, 0
	}
}

// updateFreshness checks whether a starting host is ready, and whether the
// configuration has become stale.
func (c *Core) updateFreshness(now time.Time) {
	if !c.ready && c.hasFleetConfiguration() {
		c.becomeReady()
	}
	if c.freshness.lastFleetContact.IsZero() || c.reachesFleet(now) {
		c.freshness.lastFleetContact = now
	}
	stale := c.stale(now)
	if stale != c.freshness.stale {
		c.freshness.stale = stale
		c.staleParts |= partHosts
	}
}

// hasFleetConfiguration reports whether a starting host got the configuration
// from its peers: enough peers have sent a message, at least one of them was
// ready, and no live peer has a newer revision than this host. If all hosts
// start while the store is unavailable, they stay unready until a ready peer
// contacts them.
func (c *Core) hasFleetConfiguration() bool {
	alive, received := 0, 0
	for id, p := range c.peers {
		if p.State != PeerAlive {
			continue
		}
		alive++
		revision, ok := c.freshness.joinRevisions[id]
		if c.position().Before(revision) {
			return false
		}
		if ok {
			received++
		}
	}
	return c.freshness.anyPeerReady && received >= min(minJoinPeers, alive)
}

func (c *Core) becomeReady() {
	if c.ready {
		return
	}
	c.ready = true
	c.staleParts |= partHosts
	c.freshness.joinRevisions = nil
}

// reachesFleet reports whether this host reaches enough of the known hosts.
func (c *Core) reachesFleet(now time.Time) bool {
	n := c.summarizePeers()
	return n.notLeavingAlive > 0 && n.notLeavingAlive*reachableDivisor >= n.notLeaving && !c.isolated(now)
}

// stale reports whether this host may have missed changes of the configuration:
// for StaleAfter it reached neither the store nor enough of the fleet.
func (c *Core) stale(now time.Time) bool {
	return now.Sub(c.freshness.lastStoreRead) > c.cfg.Timing.StaleAfter &&
		now.Sub(c.freshness.lastFleetContact) > c.cfg.Timing.StaleAfter
}
