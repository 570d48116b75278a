package host

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/zone"
)

// entrySetPlan holds the inputs that determine an entry set, except for the
// hosts.
type entrySetPlan struct {
	contract *contract.Contract
	seed     uint64
	size     int
	// eligible are the zones from which members are chosen first.
	eligible []zone.ID
	quotas   map[zone.ID]int
	// zonesFromHosts is set when eligible holds the zones that have hosts,
	// because no target's region is known.
	zonesFromHosts bool
	// underfilled is set while the quotas yield too few members. Hosts of any
	// zone are then added.
	underfilled bool
}

// newEntrySetPlan prepares the entry set of a service. If no target's region is
// known, the eligible zones are those that have hosts.
func newEntrySetPlan(c *contract.Contract, hosts *candidates, zones *zone.Map) *entrySetPlan {
	p := &entrySetPlan{contract: c, seed: xxhash.Sum64String(c.Service)}
	if p.eligible = declaredZones(c, zones); len(p.eligible) == 0 {
		p.eligible, p.zonesFromHosts = hosts.populatedZones(), true
	}
	p.size = entrySetSize(c, len(p.eligible))
	p.quotas = zoneQuotas(p.seed, p.size, p.eligible)
	return p
}

// choose returns the entry set that results from the plan and the candidates.
// It uses rendezvous hashing (Thaler and Ravishankar, 1998) with a quota for
// each zone of the regions where the service's targets are. When a host joins
// or leaves the fleet, at most one member changes, in the zone of that host.
// All hosts have the same weight, because the fleet's hosts are equal in size.
func (p *entrySetPlan) choose(hosts *candidates) EntrySet {
	chosen := hosts.bestPerZone(p.seed, hosts.quotasByIndex(p.quotas))
	missing := minMembers(p.size, len(p.eligible)) - len(chosen)
	p.underfilled = missing > 0
	if p.underfilled {
		chosen = append(chosen, hosts.bestOthers(p.seed, chosen, missing)...)
	}
	slices.SortFunc(chosen, compareScored)
	set := EntrySet{Service: p.contract.Service}
	for _, h := range chosen {
		set.Members = append(set.Members, hosts.identities[h.index])
	}
	return set
}

// affectedBy reports whether the set may change after a host joined, left or
// changed. It may if the host is a member. It also may if the host is a
// candidate and the set is underfilled, or has fewer members in the host's zone
// than the zone's quota, or has a member in that zone that ranks after the
// host.
func (p *entrySetPlan) affectedBy(set EntrySet, changed ID, hosts *candidates) bool {
	if set.Rank(changed) >= 0 {
		return true
	}
	i, present := hosts.find(changed)
	if !present {
		return false
	}
	if p.underfilled {
		return true
	}
	host, score := hosts.identities[i], mix(p.seed^hosts.hashes[i])
	quota, inZone := p.quotas[host.Zone], 0
	for _, m := range set.Members {
		if m.Zone != host.Zone {
			continue
		}
		inZone++
		if s := mix(p.seed ^ hashID(m.ID)); s < score || s == score && changed < m.ID {
			return true
		}
	}
	return inZone < quota
}
