package host

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The least time between two refreshes of the entry sets. All hosts that came
// or went meanwhile are taken in together. A shorter one follows the hosts
// faster; a longer one publishes less often when many hosts come or go at once.
// It grows with the hosts: at 890 it is 1.8 s, against 12 s for a suspicion.
const (
	entrySetInterval = 500 * time.Millisecond
	entrySetHostTime = 2 * time.Millisecond
)

// frontingState is what the entry sets are computed from.
type frontingState struct {
	hosts *candidates
	plans map[string]*setPlan
	// moved are the hosts that came, went or changed since the last refresh.
	moved map[ID]bool
	// own are the positions in Core.names of the services that this host
	// fronts.
	own  []int
	next time.Time
}

// refreshEntrySets brings the entry sets up to date when hosts came or went.
func (c *Core) refreshEntrySets(now time.Time) {
	if len(c.fronting.moved) == 0 || now.Before(c.fronting.next) {
		return
	}
	c.fronting.next = now.Add(max(entrySetInterval, time.Duration(len(c.peers))*entrySetHostTime))
	c.rebuildEntrySets(now)
}

// rebuildEntrySets computes, from this host's own view of the fleet, the entry
// sets that moved hosts or changed contracts touch. The views of two hosts may
// differ: no safety rests on their agreement, because a host serves also what
// it does not front.
func (c *Core) rebuildEntrySets(now time.Time) {
	moved := c.moveCandidates()
	c.fronting.own = nil
	before := c.entrySets
	var replaced []string
	sets := make(map[string]EntrySet, len(c.services))
	for i, name := range c.names {
		set, same := c.keptEntrySet(name, moved)
		if !same {
			set = c.replaceEntrySet(name)
			replaced = append(replaced, name)
		}
		sets[name] = set
		if set.Rank(c.self.ID) >= 0 {
			c.fronting.own = append(c.fronting.own, i)
		}
	}
	c.entrySets = sets
	for _, name := range replaced {
		c.noteMembership(now, before[name], sets[name])
	}
}

// keptEntrySet returns the present entry set of a service, and whether it is
// still the right one.
func (c *Core) keptEntrySet(name string, moved []ID) (EntrySet, bool) {
	plan := c.fronting.plans[name]
	if plan == nil || plan.contract != c.services[name].Contract || plan.hostZones {
		c.fronting.plans[name] = newSetPlan(c.services[name].Contract, c.fronting.hosts, c.cfg.Zones)
		return EntrySet{}, false
	}
	set := c.entrySets[name]
	touched := slices.ContainsFunc(moved, func(id ID) bool { return plan.touched(set, id, c.fronting.hosts) })
	return set, !touched
}

// replaceEntrySet computes the entry set of a service.
func (c *Core) replaceEntrySet(name string) EntrySet {
	s := c.services[name]
	c.outdated |= viewOther
	set := c.fronting.plans[name].choose(c.fronting.hosts)
	if joined(c.entrySets[name], set) {
		s.RepeatReports()
	}
	s.SetShare(len(set.Members), set.Rank(c.self.ID))
	return set
}

// moveCandidates brings the hosts that may front services up to date, and
// returns those that changed.
func (c *Core) moveCandidates() []ID {
	var changed []ID
	hosts := c.fronting.hosts
	for _, id := range slices.Sorted(maps.Keys(c.fronting.moved)) {
		is, fronts := c.frontingHost(id)
		i, was := hosts.find(id)
		switch {
		case fronts && was && hosts.identities[i] == is, !fronts && !was:
			continue
		case fronts:
			hosts.put(is)
		default:
			hosts.remove(id)
		}
		changed = append(changed, id)
	}
	clear(c.fronting.moved)
	return changed
}

// frontingHost returns a host that may front services: one that is not gone. A
// suspected host stays, so that a suspicion that is refuted moves nothing. A
// leaving host stays until it says that it is gone, because it keeps its share
// of the slots for the callers that still come to it.
func (c *Core) frontingHost(id ID) (Identity, bool) {
	if id == c.self.ID {
		return c.self, true
	}
	if p := c.peers[id]; p != nil && p.State != PeerGone {
		return p.Identity, true
	}
	return Identity{}, false
}

func byID(a, b Identity) int { return cmp.Compare(a.ID, b.ID) }

// fronts reports whether this host is in the entry set of a service.
func (c *Core) fronts(name string) bool { return c.entrySets[name].Rank(c.self.ID) >= 0 }

// joined reports whether a set has a member that the earlier one lacked.
func joined(before, after EntrySet) bool {
	for _, m := range after.Members {
		if before.Rank(m.ID) < 0 {
			return true
		}
	}
	return false
}
