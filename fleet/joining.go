package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// Timing of joining the fleet.
const (
	// helloInterval is the interval between attempts to reach the seeds while no host is known
	// to be alive.
	helloInterval = 300 * time.Millisecond
	// bootstrapTimeout is how long a host waits for the seeds at the first start of the fleet
	// before it reads the store.
	bootstrapTimeout = 1500 * time.Millisecond
	// joinTimeout is how long a host that starts later waits for the rows of the others before
	// it reads the store itself.
	joinTimeout = 100 * time.Millisecond
	// zoneRegisterDelay is when, after the first start of a fleet, the relay of a zone writes the
	// rows of all its hosts.
	zoneRegisterDelay = 2500 * time.Millisecond
	// registerFallback is when a host writes its own row if no relay has done so at the first
	// start of the fleet. registerSpread is the time over which hosts spread these writes.
	registerFallback = 5 * time.Second
	registerSpread   = 2 * time.Second
	// maxRowsPerWrite is how many rows the store takes in one write.
	maxRowsPerWrite = 100
	// peerFetchInterval is the shortest interval between fetches of the list of hosts.
	peerFetchInterval = time.Second
	// rowRetryDelay is the delay after a failed write of this host's row or a failed read of the
	// rows.
	rowRetryDelay = 2 * time.Second
	// isolatedReadInterval is the interval between reads of the hosts' rows while this host
	// receives from no other host: all hosts that it knew may have been replaced.
	isolatedReadInterval = 5 * time.Second
)

// joinState tracks this host's progress in joining the fleet.
type joinState struct {
	started time.Time
	// joinDeadline is when the host stops waiting for the rank order of the hosts, and reads the
	// store and registers without it.
	joinDeadline time.Time
	// rankKnownAt is when the host first knew its rank, and so when to read the store.
	rankKnownAt time.Time
	nextHello   time.Time
	registerAt  time.Time
	// zoneRegisterAt is when this host writes the rows of its zone if it is the relay; zero if
	// it does not.
	zoneRegisterAt time.Time
	registered     bool
	registering    bool
	readPeersAt    time.Time
	peersRead      bool
	readingPeers   bool
	// membershipKnown is set once the host has learned of all hosts, from the rows or from a
	// peer that joined before.
	membershipKnown bool
	// wantPeers is set when the list of hosts is to be fetched, for instance after a report of
	// an unknown host.
	wantPeers bool
	// peersFrom is the host that has forwarded a report of an unknown one, and so knows it; 0
	// for any host.
	peersFrom     Hash
	nextPeerFetch time.Time
	// checkRows is set after a restore of the store, until the rows of the hosts were read again.
	checkRows bool
}

func (j *joinState) begin(c *Core, now time.Time) {
	j.nextHello = now
	j.started, j.joinDeadline = now, now.Add(joinTimeout)
	j.registerAt, j.readPeersAt = now, now
	if c.cfg.Bootstrap {
		j.joinDeadline = now.Add(bootstrapTimeout)
		j.registerAt = now.Add(registerFallback + time.Duration(c.cfg.Rand.Int64N(int64(registerSpread))))
		j.zoneRegisterAt = now.Add(zoneRegisterDelay)
		j.readPeersAt = now.Add(bootstrapTimeout)
	}
}

func (j *joinState) tick(c *Core, now time.Time) {
	j.sendHellos(c, now)
	j.scheduleReread(c, now)
	c.checkRowsOfHosts()
	j.registerZone(c, now)
	if !j.registered && !j.registering && !now.Before(j.registerAt) && (j.peersRead || now.After(j.joinDeadline)) {
		j.registering = true
		c.emit(Register{Peers: []Peer{c.cfg.Self}})
	}
	if !j.peersRead && !j.readingPeers && !now.Before(j.readPeersAt) {
		if c.cfg.Bootstrap && c.hasLivePeer() && !j.checkRows {
			j.peersRead = true
			return
		}
		j.readingPeers = true
		c.emit(ReadPeers{})
	}
}

// registerZone writes the rows of all hosts of the zone at the first start of the fleet, if this
// host is the relay of its zone. The number of writes then does not grow with the hosts.
func (j *joinState) registerZone(c *Core, now time.Time) {
	if j.zoneRegisterAt.IsZero() || now.Before(j.zoneRegisterAt) {
		return
	}
	j.zoneRegisterAt = time.Time{}
	if c.relayOf(c.cfg.Self.Zone, now) != c.self {
		return
	}
	rows := []Peer{c.cfg.Self}
	for _, p := range c.liveHosts() {
		if p != c.self && p.Zone == c.cfg.Self.Zone && p.reported {
			rows = append(rows, p.Peer)
		}
	}
	j.registering = true
	for chunk := range slices.Chunk(rows, maxRowsPerWrite) {
		c.emit(Register{Peers: chunk})
	}
}

// scheduleReread lets the rows be read again while this host is isolated.
func (j *joinState) scheduleReread(c *Core, now time.Time) {
	if j.peersRead && !now.Before(j.readPeersAt) && !c.hasLivePeer() && len(c.peers) > 0 {
		j.peersRead = false
	}
}

// hasLivePeer reports whether another host is alive and has reported.
func (c *Core) hasLivePeer() bool {
	for _, p := range c.peers {
		if p.reported && p.alive {
			return true
		}
	}
	return false
}

// sendHellos introduces this host to the seeds until a host responds.
func (j *joinState) sendHellos(c *Core, now time.Time) {
	if now.Before(j.nextHello) || c.hasLivePeer() {
		return
	}
	j.nextHello = now.Add(helloInterval)
	for _, seed := range c.cfg.Seeds {
		if seed != c.cfg.Self.DatagramAddress {
			c.sendHello(seed, true)
		}
	}
}

func (c *Core) sendHello(to string, wantsHello bool) {
	self := c.cfg.Self
	c.emit(Send{To: []string{to}, Datagram: Datagram{From: c.hash, Hop: ToHost, Hello: &self, WantsHello: wantsHello}})
}

func (c *Core) handleRegistered(now time.Time, ev Registered) {
	c.joining.registering = false
	c.joining.registerAt = now.Add(rowRetryDelay)
	if ev.Err != nil {
		// Others wait for their rows: they are read again, to see which are missing.
		c.joining.checkRows = c.joining.checkRows || len(ev.Peers) > 1 || ev.Peers[0] != c.cfg.Self
		return
	}
	var others []string
	for _, p := range ev.Peers {
		if p == c.cfg.Self {
			c.joining.registered = true
		} else {
			others = append(others, p.DatagramAddress)
		}
	}
	if len(others) > 0 {
		c.emit(Send{To: others, Datagram: Datagram{From: c.hash, Hop: ToHost, Registered: true}})
	}
}

// handlePeersRead adds the hosts whose rows were read.
func (c *Core) handlePeersRead(now time.Time, ev PeersRead) {
	c.joining.readingPeers = false
	if ev.Err != nil {
		c.joining.readPeersAt = now.Add(rowRetryDelay)
		return
	}
	c.joining.peersRead = true
	c.joining.readPeersAt = now.Add(isolatedReadInterval)
	c.markMembershipKnown()
	// This host registers again if its row is missing: other hosts may have removed it. The
	// incarnation is ignored, since an earlier one may have written the row.
	c.joining.registered = slices.ContainsFunc(ev.Peers, func(p Peer) bool {
		p.Incarnation = c.cfg.Self.Incarnation
		return p == c.cfg.Self
	})
	c.addPeers(now, ev.Peers)
	if c.joining.checkRows {
		c.restoreRows(ev.Peers)
	}
}

// markMembershipKnown records that this host has learned of all hosts.
func (c *Core) markMembershipKnown() {
	c.snapshotStale = c.snapshotStale || !c.joining.membershipKnown
	c.joining.membershipKnown = true
}

// maxHellos is to how many of the hosts of a list this host introduces itself. The others learn of
// it from the lists that they fetch: if every host of a starting fleet wrote to every other one,
// the datagrams would grow with the square of the hosts.
const maxHellos = 16

// introductions returns the hosts of a list to which this host introduces itself: those that relay
// for the zones, since a relay sends reports only to hosts that it knows, and random ones.
func (c *Core) introductions(list []Peer) []Peer {
	c.cfg.Rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	out := list[:0:0]
	for _, p := range list {
		if c.mayRelay(p) && len(out) < maxHellos {
			out = append(out, p)
		}
	}
	for _, p := range list {
		if !c.mayRelay(p) && len(out) < maxHellos {
			out = append(out, p)
		}
	}
	return out
}

// mayRelay reports whether a host is the relay of its zone or, in this host's zone, one of those
// that take over from it.
func (c *Core) mayRelay(p Peer) bool {
	before, limit := 0, 1
	if p.Zone == c.cfg.Self.Zone {
		limit += backupRelays
	}
	for _, other := range c.liveHosts() {
		if other.ID == p.ID {
			return true
		}
		if other.Zone == p.Zone && other != c.self {
			if before++; before >= limit {
				return false
			}
		}
	}
	return false
}

// addPeers adds hosts that are new or have restarted, and introduces this host to some of them.
func (c *Core) addPeers(now time.Time, peers []Peer) {
	var added []Peer
	for _, p := range peers {
		hash := NewHash(p.ID)
		old := c.peers[hash]
		if hash == c.hash || old != nil && old.Incarnation >= p.Incarnation {
			continue
		}
		added = append(added, p)
	}
	for _, p := range added {
		c.addPeer(now, p, len(added) <= maxHellos)
	}
	if len(added) > maxHellos {
		c.record(now, timeline.Event{Kind: timeline.HostJoined, To: fmt.Sprintf("%d hosts", len(added)), Reason: "from a list of hosts"})
		added = c.introductions(added)
	}
	for _, p := range added {
		c.sendHello(p.DatagramAddress, false)
	}
}
