package host

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/zone"
)

// Limits on the size of an entry set.
const (
	// hostLoad is the load of one service that one host is meant to carry, in
	// requests a second.
	hostLoad = 100
	// minHostSlots is the least number of a service's slots for one host, on
	// average. Fewer hosts pool evidence faster and leave each a share that it
	// can work with; more hosts carry more load.
	minHostSlots = 4
	// minEntryHosts leaves a choice when one host and one zone are away.
	minEntryHosts = 3
	// probeConnections is the connections to a target that a host of the
	// entry set opens besides those of its slots.
	probeConnections = 1
)

// EntrySet is the hosts that front one service, in an order that every host
// with the same view of the fleet agrees on.
type EntrySet struct {
	Service string
	// Members are the hosts of the set, best rank first.
	Members []Identity
}

// Rank returns the position of a host in the set, or -1.
func (e EntrySet) Rank(id ID) int {
	return slices.IndexFunc(e.Members, func(m Identity) bool { return m.ID == id })
}

// entrySetSize returns how many hosts front a service over the given number of
// zones: enough for its load with one zone lost, no more than its slots and
// its targets' connections allow, and never fewer than minEntryHosts.
func entrySetSize(c *contract.Contract, zones int) int {
	size := int(math.Ceil(c.Load / hostLoad))
	if zones > 1 {
		size = (size*zones + zones - 2) / (zones - 1)
	}
	size = min(size, c.Slots()/minHostSlots)
	size = max(size, minEntryHosts)
	return min(size, connectionLimit(c))
}

// connectionLimit returns how many hosts may open connections to the target
// with the fewest; at least 1.
func connectionLimit(c *contract.Contract) int {
	limit := math.MaxInt
	for _, t := range c.Targets {
		if t.Connections > 0 {
			limit = min(limit, t.Connections/(t.Slots+probeConnections))
		}
	}
	return max(limit, 1)
}

// candidates are the hosts that may front services, prepared once for all
// services and kept while hosts come and go.
type candidates struct {
	// identities are sorted by id.
	identities []Identity
	hashes     []uint64
	// zones holds, for each host, the position of its zone in zoneIDs.
	zones   []int
	zoneIDs []zone.ID
}

// put adds a host, or replaces the one with its id.
func (c *candidates) put(h Identity) {
	position := slices.Index(c.zoneIDs, h.Zone)
	if position < 0 {
		position = len(c.zoneIDs)
		c.zoneIDs = append(c.zoneIDs, h.Zone)
	}
	i, known := c.find(h.ID)
	if !known {
		c.identities = slices.Insert(c.identities, i, h)
		c.hashes = slices.Insert(c.hashes, i, hashID(h.ID))
		c.zones = slices.Insert(c.zones, i, position)
	}
	c.identities[i], c.zones[i] = h, position
}

// remove takes a host out.
func (c *candidates) remove(id ID) {
	if i, known := c.find(id); known {
		c.identities = slices.Delete(c.identities, i, i+1)
		c.hashes = slices.Delete(c.hashes, i, i+1)
		c.zones = slices.Delete(c.zones, i, i+1)
	}
}

// find returns the position of a host, or where it belongs.
func (c *candidates) find(id ID) (i int, known bool) {
	return slices.BinarySearchFunc(c.identities, id, func(h Identity, id ID) int { return cmp.Compare(h.ID, id) })
}

// ranked is a candidate, by its position, with its score for one service.
type ranked struct {
	score uint64
	host  int
}

// mix is the finalizer of SplitMix64: every bit of its input changes half of
// the bits of its output.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// zoneQuotas divides the size of a set over the zones. Which zones get one
// host more than others depends on the service alone, not on the hosts, so
// that the loss of a zone moves nothing in the others.
func zoneQuotas(seed uint64, size int, zones []zone.ID) map[zone.ID]int {
	if len(zones) == 0 {
		return nil
	}
	order := slices.Clone(zones)
	slices.SortFunc(order, func(a, b zone.ID) int {
		return cmp.Compare(mix(seed^xxhash.Sum64String(string(b))), mix(seed^xxhash.Sum64String(string(a))))
	})
	quotas := make(map[zone.ID]int, len(order))
	for i, z := range order {
		quotas[z] = size / len(order)
		if i < size%len(order) {
			quotas[z]++
		}
	}
	return quotas
}

// quotas lists the quotas of the zones in the order of zoneIDs.
func (c *candidates) quotas(of map[zone.ID]int) []int {
	out := make([]int, len(c.zoneIDs))
	for i, id := range c.zoneIDs {
		out[i] = of[id]
	}
	return out
}

// best returns the hosts with the highest scores, as many in each zone as its
// quota.
func (c *candidates) best(seed uint64, quotas []int) []ranked {
	byZone := make([][]ranked, len(quotas))
	for i, hash := range c.hashes {
		z := c.zones[i]
		if quotas[z] > 0 {
			byZone[z] = keepBest(byZone[z], ranked{score: mix(seed ^ hash), host: i}, quotas[z])
		}
	}
	return slices.Concat(byZone...)
}

// bestOthers returns the n hosts with the highest scores that are not chosen.
func (c *candidates) bestOthers(seed uint64, chosen []ranked, n int) []ranked {
	taken := make([]bool, len(c.hashes))
	for _, r := range chosen {
		taken[r.host] = true
	}
	var out []ranked
	for i, hash := range c.hashes {
		if !taken[i] {
			out = keepBest(out, ranked{score: mix(seed ^ hash), host: i}, n)
		}
	}
	return out
}

// leastMembers is how many of the wanted hosts must be there: those that are
// left when one zone is away. A set is filled up from other zones only below
// that, so that the loss of a zone moves nothing in the others.
func leastMembers(size, zones int) int {
	if zones <= 1 {
		return size
	}
	return max(size-(size+zones-1)/zones, min(size, minEntryHosts-1))
}

// compareRanked orders by falling score; hosts are sorted by id.
func compareRanked(a, b ranked) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.host, b.host)
}

// keepBest inserts r into a sorted list of the best at most n.
func keepBest(best []ranked, r ranked, n int) []ranked {
	if len(best) == n && compareRanked(best[n-1], r) <= 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, r, compareRanked)
	best = slices.Insert(best, at, r)
	return best[:min(n, len(best))]
}

// declaredZones returns the zones of the regions in which the service has
// targets, sorted; none when no target's region is known. A declared zone
// counts also while none of its hosts is there.
func declaredZones(c *contract.Contract, zones *zone.Map) []zone.ID {
	regions := make(map[string]bool)
	for _, t := range c.Targets {
		if z, ok := zones.Zone(t.Zone); ok {
			regions[z.Region] = true
		}
	}
	var out []zone.ID
	for _, z := range zones.Zones() {
		if regions[z.Region] {
			out = append(out, z.ID)
		}
	}
	return out
}

// presentZones returns the zones that have hosts, sorted.
func (c *candidates) presentZones() []zone.ID {
	present := make([]bool, len(c.zoneIDs))
	for _, position := range c.zones {
		present[position] = true
	}
	var out []zone.ID
	for position, id := range c.zoneIDs {
		if present[position] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// probes reports whether a member of the set is the one that probes a target.
// One host probes each target, so that the cost of probing does not grow with
// the set.
func (e EntrySet) probes(id ID, target string) bool {
	best := ranked{host: len(e.Members)}
	seed := xxhash.Sum64String(target)
	for i, m := range e.Members {
		r := ranked{score: mix(seed ^ hashID(m.ID)), host: i}
		if best.host == len(e.Members) || compareRanked(r, best) < 0 {
			best = r
		}
	}
	return best.host < len(e.Members) && e.Members[best.host].ID == id
}

func hashID(id ID) uint64 { return xxhash.Sum64String(string(id)) }
