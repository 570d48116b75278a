package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/service"
)

// The minimum time between two refreshes of the entry sets: the greater of
// entrySetInterval and entrySetIntervalPerHost times the number of peers. A
// refresh applies all changes of hosts since the previous one, so that few
// snapshots are published when many hosts join or leave at once. At 890 hosts
// the time is 1.8 s, which is short compared with the 12 s of a suspicion.
const (
	entrySetInterval        = 500 * time.Millisecond
	entrySetIntervalPerHost = 2 * time.Millisecond
)

// entrySetState holds the inputs of the entry sets, and the services for which
// this host is an entry host.
type entrySetState struct {
	candidates *candidates
	plans      map[string]*entrySetPlan
	// changed are the hosts that came, went or changed since the last refresh.
	changed map[ID]bool
	// ownServices are the positions in Core.serviceNames of the services for
	// which this host is an entry host.
	ownServices []int
	nextRefresh time.Time
}

// refreshEntrySets updates the entry sets after hosts came or went.
func (c *Core) refreshEntrySets(now time.Time) {
	if len(c.entrySetState.changed) == 0 || now.Before(c.entrySetState.nextRefresh) {
		return
	}
	c.entrySetState.nextRefresh = now.Add(max(entrySetInterval, time.Duration(len(c.peers))*entrySetIntervalPerHost))
	c.rebuildEntrySets(now)
}

// rebuildEntrySets recomputes the entry sets that are affected by changed hosts
// or contracts, from this host's own view of the fleet. The views of two hosts
// may differ. Safety does not require them to agree, because a host also serves
// requests of services for which it is no entry host.
func (c *Core) rebuildEntrySets(now time.Time) {
	changed := c.updateCandidates()
	c.entrySetState.ownServices = nil
	before := c.entrySets
	var replaced []string
	sets := make(map[string]EntrySet, len(c.services))
	for i, name := range c.serviceNames {
		set, valid := c.currentEntrySet(name, changed)
		if !valid {
			set = c.replaceEntrySet(name)
			replaced = append(replaced, name)
		}
		sets[name] = set
		if set.Rank(c.self.ID) >= 0 {
			c.entrySetState.ownServices = append(c.entrySetState.ownServices, i)
		}
	}
	c.entrySets = sets
	for _, name := range replaced {
		c.updateEntrySetMembership(now, before[name], sets[name])
	}
}

// currentEntrySet returns the present entry set of a service, and whether it is
// still valid.
func (c *Core) currentEntrySet(name string, changed []ID) (EntrySet, bool) {
	plan := c.entrySetState.plans[name]
	if plan == nil || plan.contract != c.services[name].Contract || plan.zonesFromHosts {
		c.entrySetState.plans[name] = newEntrySetPlan(c.services[name].Contract, c.entrySetState.candidates, c.cfg.Zones)
		return EntrySet{}, false
	}
	set := c.entrySets[name]
	affected := slices.ContainsFunc(changed, func(id ID) bool { return plan.affectedBy(set, id, c.entrySetState.candidates) })
	return set, !affected
}

// replaceEntrySet computes the entry set of a service anew, and with it this
// host's share of the slots.
func (c *Core) replaceEntrySet(name string) EntrySet {
	s := c.services[name]
	c.staleParts |= partOther
	set := c.entrySetState.plans[name].choose(c.entrySetState.candidates)
	if hasNewMember(c.entrySets[name], set) {
		s.ResendReports()
	}
	rank := set.Rank(c.self.ID)
	s.SetSlotShare(len(set.Members), rank)
	s.SetRateShare(service.RateShare(len(set.Members), rank, 1+len(c.peers)))
	return set
}

// updateCandidates applies the changed hosts to the candidates, and returns the
// IDs of the candidates that were added, replaced or removed.
func (c *Core) updateCandidates() []ID {
	var changed []ID
	hosts := c.entrySetState.candidates
	for _, id := range slices.Sorted(maps.Keys(c.entrySetState.changed)) {
		host, eligible := c.candidate(id)
		i, known := hosts.find(id)
		switch {
		case eligible && known && hosts.identities[i] == host, !eligible && !known:
			continue
		case eligible:
			hosts.put(host)
		default:
			hosts.remove(id)
		}
		changed = append(changed, id)
	}
	clear(c.entrySetState.changed)
	return changed
}

// candidate returns a host and reports whether it may be an entry host. Every
// host may, unless it is gone or unknown. A suspect host stays a candidate, so
// that a refuted suspicion changes no entry set. A leaving host stays a
// candidate until it announces that it is gone, because it needs its share of
// the slots for the callers that still use it.
func (c *Core) candidate(id ID) (Identity, bool) {
	if id == c.self.ID {
		return c.self, true
	}
	if p := c.peers[id]; p != nil && p.State != PeerGone {
		return p.Identity, true
	}
	return Identity{}, false
}

func byID(a, b Identity) int { return cmp.Compare(a.ID, b.ID) }

// isEntryHost reports whether this host is in the entry set of a service.
func (c *Core) isEntryHost(name string) bool { return c.entrySets[name].Rank(c.self.ID) >= 0 }

// hasNewMember reports whether a set has a member that the earlier one did not
// have.
func hasNewMember(before, after EntrySet) bool {
	for _, m := range after.Members {
		if before.Rank(m.ID) < 0 {
			return true
		}
	}
	return false
}
