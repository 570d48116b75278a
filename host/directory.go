package host

import (
	"math/rand/v2"
	"slices"

	"github.com/crocushinge/crocushinge/zone"
)

const (
	// zoneChoice is how many hosts of one zone an answer of the directory
	// names at most, so that the loss of a zone leaves a choice.
	zoneChoice = 3
	// directoryChoice is how many hosts an answer names at most.
	directoryChoice = 8
)

// HostsFor returns the hosts that a caller in a zone should use for a service,
// in order of preference: the well hosts of its entry set, those of near zones
// first and, among those as near, in random order, which spreads the callers.
// When the set has fewer than minEntryHosts well hosts, other hosts follow;
// they forward. An unknown zone counts as this host's.
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
	s.orderFor(members, from, rng)
	chosen := chooseByZone(members)
	if missing := minEntryHosts - len(chosen); missing > 0 {
		s.orderFor(others, from, rng)
		others = chooseByZone(others)
		chosen = append(chosen, others[:min(missing, len(others))]...)
	}
	return chosen
}

func (s *Snapshot) orderFor(hosts []Identity, from zone.ID, rng *rand.Rand) {
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	s.sortByDistance(hosts, from)
}

// chooseByZone keeps the order, with at most zoneChoice hosts of each zone and
// directoryChoice in all.
func chooseByZone(hosts []Identity) []Identity {
	inZone := make(map[zone.ID]int)
	hosts = slices.DeleteFunc(hosts, func(h Identity) bool {
		inZone[h.Zone]++
		return inZone[h.Zone] > zoneChoice
	})
	return hosts[:min(directoryChoice, len(hosts))]
}

// directory lists the hosts that callers may use, sorted by id. When fewer
// than minEntryHosts are well, it lists the sick and suspected ones too: a
// caller is better off with a doubtful choice than with none. A host that does
// not know the configuration yet lists none.
func (c *Core) directory() []Identity {
	if !c.ready {
		return nil
	}
	out := c.hostsFor(func(p *Peer) bool { return p.Usable() }, !c.self.Sick)
	if len(out) < minEntryHosts {
		out = c.hostsFor(func(p *Peer) bool { return p.State != PeerGone && !p.Identity.Leaving }, !c.news.stale)
	}
	return out
}

func (c *Core) hostsFor(include func(*Peer) bool, self bool) []Identity {
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
