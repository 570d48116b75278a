package host

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/zone"
)

// setPlan is what decides an entry set besides the hosts.
type setPlan struct {
	contract *contract.Contract
	seed     uint64
	size     int
	// eligible are the zones from which the members come first.
	eligible []zone.ID
	quotas   map[zone.ID]int
	// hostZones is set when the hosts decide which zones are eligible.
	hostZones bool
	// short is set while the quotas leave too few members, so that hosts of
	// any zone may fill the set up.
	short bool
}

// newSetPlan prepares the entry set of a service. Without a declared region
// the eligible zones are those of the hosts.
func newSetPlan(c *contract.Contract, hosts *candidates, zones *zone.Map) *setPlan {
	p := &setPlan{contract: c, seed: xxhash.Sum64String(c.Service)}
	if p.eligible = declaredZones(c, zones); len(p.eligible) == 0 {
		p.eligible, p.hostZones = hosts.presentZones(), true
	}
	p.size = entrySetSize(c, len(p.eligible))
	p.quotas = zoneQuotas(p.seed, p.size, p.eligible)
	return p
}

// choose returns the entry set that the plan gives with these hosts, by
// rendezvous hashing (Thaler and Ravishankar, 1998), spread over the zones of
// the regions where the service's targets are. A host that comes or goes moves
// one place in its own zone only. Hosts weigh the same, because the fleet's
// hosts are of one size.
func (p *setPlan) choose(hosts *candidates) EntrySet {
	chosen := hosts.best(p.seed, hosts.quotas(p.quotas))
	missing := leastMembers(p.size, len(p.eligible)) - len(chosen)
	p.short = missing > 0
	if p.short {
		chosen = append(chosen, hosts.bestOthers(p.seed, chosen, missing)...)
	}
	slices.SortFunc(chosen, compareRanked)
	set := EntrySet{Service: p.contract.Service}
	for _, r := range chosen {
		set.Members = append(set.Members, hosts.identities[r.host])
	}
	return set
}

// touched reports whether the set may be another one after a host came, went
// or changed: the host is a member, or it is there and ranks before a member
// of its zone, or the set has too few of its zone or in all.
func (p *setPlan) touched(set EntrySet, moved ID, hosts *candidates) bool {
	if set.Rank(moved) >= 0 {
		return true
	}
	i, present := hosts.find(moved)
	if !present {
		return false
	}
	if p.short {
		return true
	}
	host, score := hosts.identities[i], mix(p.seed^hosts.hashes[i])
	quota, inZone := p.quotas[host.Zone], 0
	for _, m := range set.Members {
		if m.Zone != host.Zone {
			continue
		}
		inZone++
		if s := mix(p.seed ^ hashID(m.ID)); s < score || s == score && moved < m.ID {
			return true
		}
	}
	return inZone < quota
}
