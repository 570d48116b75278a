package host

import (
	"slices"
	"time"
)

// The least time between two computations of all entry sets. A shorter one
// follows the hosts faster; a longer one costs less when many hosts come or go
// at once. One computation costs services x hosts, so the time grows with the
// hosts; at 890 hosts it is 1.8 s, against 12 s for a suspicion.
const (
	entrySetInterval = 500 * time.Millisecond
	entrySetHostTime = 2 * time.Millisecond
)

// refreshEntrySets computes the entry sets again when hosts came or went.
func (c *Core) refreshEntrySets(now time.Time) {
	if !c.hostsChanged || now.Before(c.nextEntrySets) {
		return
	}
	c.nextEntrySets = now.Add(max(entrySetInterval, time.Duration(len(c.peers))*entrySetHostTime))
	c.rebuildEntrySets(now)
}

// rebuildEntrySets computes the entry set of every service from this host's
// own view of the fleet. The views of two hosts may differ: no safety rests on
// their agreement, because a host serves also what it does not front.
func (c *Core) rebuildEntrySets(now time.Time) {
	c.hostsChanged = false
	c.dirty = true
	hosts := newCandidates(c.frontingHosts())
	before := c.entrySets
	sets := make(map[string]EntrySet, len(c.services))
	for _, name := range c.names {
		s := c.services[name]
		set := newEntrySet(s.Contract, hosts, c.cfg.Zones)
		if joined(c.entrySets[name], set) {
			s.RepeatReports()
		}
		sets[name] = set
		s.SetShare(len(set.Members), set.Rank(c.self.ID))
	}
	c.entrySets = sets
	for _, name := range c.names {
		c.noteMembership(now, before[name], sets[name])
	}
}

// frontingHosts returns the hosts that may front services, sorted by id: all
// that are not gone. Suspected hosts stay, so that a suspicion that is refuted
// moves nothing. Leaving hosts stay until they say that they are gone, because
// they keep their share of the slots for the callers that still come to them.
func (c *Core) frontingHosts() []Identity {
	out := []Identity{c.self}
	for _, p := range c.peers {
		if p.State != PeerGone {
			out = append(out, p.Identity)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b Identity) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

// joined reports whether a set has a member that the earlier one lacked.
func joined(before, after EntrySet) bool {
	for _, m := range after.Members {
		if before.Rank(m.ID) < 0 {
			return true
		}
	}
	return false
}
