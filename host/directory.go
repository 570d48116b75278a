package host

import (
	"math/rand/v2"
	"slices"

	"github.com/crocushinge/crocushinge/zone"
)

const (
	// maxDirectoryPerZone is the maximum number of hosts of one zone in a
	// response of the directory. It leaves room for hosts of other zones, so
	// that the caller still knows a host when a zone is lost.
	maxDirectoryPerZone = 3
	// maxDirectoryHosts is the maximum number of hosts in a response.
	maxDirectoryHosts = 8
)

// HostsFor returns the hosts that a caller in the zone from should use for a
// service, in order of preference. The entry hosts in the directory come first,
// sorted by distance. Entry hosts at the same distance are in random order,
// which spreads the callers. If there are fewer than minEntryHosts of them,
// other hosts of the directory follow, which forward requests. If the zone is
// unknown, this host's zone is used instead.
func (s *Snapshot) HostsFor(service string, from zone.ID, rng *rand.Rand) []Identity {
	var members, others []Identity
	set := s.EntrySets[service]
	for _, id := range s.Directory {
		if set.Rank(id.ID) >= 0 {
			members = append(members, id)
		} else {
			others = append(others, id)
		}
	}
	if _, known := s.Zones.Zone(from); !known {
		from = s.Self.Zone
	}
	s.shuffleByDistance(members, from, rng)
	chosen := limitPerZone(members)
	if missing := minEntryHosts - len(chosen); missing > 0 {
		s.shuffleByDistance(others, from, rng)
		others = limitPerZone(others)
		chosen = append(chosen, others[:min(missing, len(others))]...)
	}
	return chosen
}

func (s *Snapshot) shuffleByDistance(hosts []Identity, from zone.ID, rng *rand.Rand) {
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	s.sortByDistance(hosts, from)
}

// limitPerZone returns the hosts in the same order, but at most
// maxDirectoryPerZone of each zone and maxDirectoryHosts in total.
func limitPerZone(hosts []Identity) []Identity {
	inZone := make(map[zone.ID]int)
	hosts = slices.DeleteFunc(hosts, func(h Identity) bool {
		inZone[h.Zone]++
		return inZone[h.Zone] > maxDirectoryPerZone
	})
	return hosts[:min(maxDirectoryHosts, len(hosts))]
}

// directory lists the hosts that callers may use, sorted by ID. When fewer than
// minEntryHosts are usable, it includes sick and suspect hosts: for a caller, a
// host that may not work is better than none. The list is empty while this host
// does not know the configuration.
func (c *Core) directory() []Identity {
	if !c.ready {
		return nil
	}
	out := c.listHosts(func(p *Peer) bool { return p.Usable() }, !c.self.Sick)
	if len(out) < minEntryHosts {
		out = c.listHosts(func(p *Peer) bool { return p.State != PeerGone && !p.Identity.Leaving }, !c.freshness.stale)
	}
	return out
}

func (c *Core) listHosts(include func(*Peer) bool, self bool) []Identity {
	out := make([]Identity, 0, len(c.peers)+1)
	for _, id := range c.sortedPeerIDs() {
		if p := c.peers[id]; include(p) {
			out = append(out, p.Identity)
		}
	}
	if self && !c.self.Leaving && !c.replaced {
		at, _ := slices.BinarySearchFunc(out, c.self, byID)
		out = slices.Insert(out, at, c.self)
	}
	return out
}
