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
	// loadPerHost is the load of one service that one entry host should carry,
	// in requests per second.
	loadPerHost = 100
	// minSlotsPerHost is the minimum average number of a service's slots per
	// entry host. In a smaller entry set, the evidence of all members is
	// combined faster and each member has a sufficient share of the slots. A
	// larger entry set carries more load.
	minSlotsPerHost = 4
	// minEntryHosts is the minimum number of entry hosts, so that one remains
	// when a host and a zone are lost.
	minEntryHosts = 3
	// probeConnections is the number of connections to a target that an entry
	// host opens in addition to those for its slots.
	probeConnections = 1
)

// EntrySet holds the entry hosts of one service, in an order that is the same
// on every host with the same view of the fleet.
type EntrySet struct {
	Service string
	// Members are the entry hosts, best rank first.
	Members []Identity
}

// Rank returns the position of a host in the set, or -1 if it is not a member.
func (e EntrySet) Rank(id ID) int {
	return slices.IndexFunc(e.Members, func(m Identity) bool { return m.ID == id })
}

// entrySetSize returns the number of entry hosts of a service over the given
// number of zones. The entry hosts that remain after the loss of one zone can
// carry the service's load, unless minSlotsPerHost limits the number. The
// number is at least minEntryHosts, but never exceeds connectionLimit.
func entrySetSize(c *contract.Contract, zones int) int {
	size := int(math.Ceil(c.Load / loadPerHost))
	if zones > 1 {
		size = (size*zones + zones - 2) / (zones - 1)
	}
	size = min(size, c.TotalSlots()/minSlotsPerHost)
	size = max(size, minEntryHosts)
	return min(size, connectionLimit(c))
}

// connectionLimit returns the maximum number of entry hosts whose connections
// every target accepts; at least 1.
func connectionLimit(c *contract.Contract) int {
	limit := math.MaxInt
	for _, t := range c.Targets {
		if t.Connections > 0 {
			limit = min(limit, t.Connections/(t.Slots+probeConnections))
		}
	}
	return max(limit, 1)
}

// candidates are the hosts that may be entry hosts. All services share them.
// They are updated when hosts join, leave or change.
type candidates struct {
	// identities are sorted by ID.
	identities []Identity
	hashes     []uint64
	// zoneIndexes holds, for each host, the index of its zone in zoneIDs.
	zoneIndexes []int
	zoneIDs     []zone.ID
}

// put adds a host, or replaces the one with the same ID.
func (c *candidates) put(h Identity) {
	zoneIndex := slices.Index(c.zoneIDs, h.Zone)
	if zoneIndex < 0 {
		zoneIndex = len(c.zoneIDs)
		c.zoneIDs = append(c.zoneIDs, h.Zone)
	}
	i, known := c.find(h.ID)
	if !known {
		c.identities = slices.Insert(c.identities, i, h)
		c.hashes = slices.Insert(c.hashes, i, hashID(h.ID))
		c.zoneIndexes = slices.Insert(c.zoneIndexes, i, zoneIndex)
	}
	c.identities[i], c.zoneIndexes[i] = h, zoneIndex
}

// remove removes a host.
func (c *candidates) remove(id ID) {
	if i, known := c.find(id); known {
		c.identities = slices.Delete(c.identities, i, i+1)
		c.hashes = slices.Delete(c.hashes, i, i+1)
		c.zoneIndexes = slices.Delete(c.zoneIndexes, i, i+1)
	}
}

// find returns the index of a host, or the one at which to insert it.
func (c *candidates) find(id ID) (i int, known bool) {
	return slices.BinarySearchFunc(c.identities, id, func(h Identity, id ID) int { return cmp.Compare(h.ID, id) })
}

// scoredHost is a candidate, by its index, with its score for one service.
type scoredHost struct {
	score uint64
	index int
}

// mix is the finalizer of SplitMix64: a change of one input bit changes each
// output bit with a probability of about one half.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// zoneQuotas divides the size of a set over the zones. Which zones get one host
// more than others depends only on the service, not on the hosts, so that the
// loss of a zone replaces no members in other zones.
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

// quotasByIndex returns the quotas of the zones in the order of zoneIDs.
func (c *candidates) quotasByIndex(byZone map[zone.ID]int) []int {
	out := make([]int, len(c.zoneIDs))
	for i, id := range c.zoneIDs {
		out[i] = byZone[id]
	}
	return out
}

// bestPerZone returns, for each zone, the hosts with the highest scores, at
// most as many as the zone's quota.
func (c *candidates) bestPerZone(seed uint64, quotas []int) []scoredHost {
	byZone := make([][]scoredHost, len(quotas))
	for i, hash := range c.hashes {
		z := c.zoneIndexes[i]
		if quotas[z] > 0 {
			byZone[z] = insertBest(byZone[z], scoredHost{score: mix(seed ^ hash), index: i}, quotas[z])
		}
	}
	return slices.Concat(byZone...)
}

// bestOthers returns the n hosts with the highest scores among those that are
// not chosen yet.
func (c *candidates) bestOthers(seed uint64, chosen []scoredHost, n int) []scoredHost {
	taken := make([]bool, len(c.hashes))
	for _, h := range chosen {
		taken[h.index] = true
	}
	var out []scoredHost
	for i, hash := range c.hashes {
		if !taken[i] {
			out = insertBest(out, scoredHost{score: mix(seed ^ hash), index: i}, n)
		}
	}
	return out
}

// minMembers returns the minimum number of members of a set of the given size:
// the number that remains when one zone is lost, but not less than
// minEntryHosts-1 unless the size is smaller. Only a set with fewer members is
// filled up with hosts of any zone. The loss of one zone thus replaces no
// members in other zones.
func minMembers(size, zones int) int {
	if zones <= 1 {
		return size
	}
	return max(size-(size+zones-1)/zones, min(size, minEntryHosts-1))
}

// compareScored orders by descending score, then by index and thus by ID.
func compareScored(a, b scoredHost) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// insertBest inserts h into a list that is sorted by compareScored, and returns
// the first n elements of the result.
func insertBest(best []scoredHost, h scoredHost, n int) []scoredHost {
	if len(best) == n && compareScored(best[n-1], h) <= 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, h, compareScored)
	best = slices.Insert(best, at, h)
	return best[:min(n, len(best))]
}

// declaredZones returns the zones of the regions in which the service has
// targets, sorted. It returns nil when no target's region is known. The zones
// include those that have no hosts at present.
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

// populatedZones returns the zones that have hosts, sorted.
func (c *candidates) populatedZones() []zone.ID {
	populated := make([]bool, len(c.zoneIDs))
	for _, i := range c.zoneIndexes {
		populated[i] = true
	}
	var out []zone.ID
	for i, id := range c.zoneIDs {
		if populated[i] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// isProber reports whether the host with the given ID is the member that probes
// a target. Only one member probes each target, so that the cost of probing
// does not grow with the set.
func (e EntrySet) isProber(id ID, target string) bool {
	best := scoredHost{index: len(e.Members)}
	seed := xxhash.Sum64String(target)
	for i, m := range e.Members {
		h := scoredHost{score: mix(seed ^ hashID(m.ID)), index: i}
		if best.index == len(e.Members) || compareScored(h, best) < 0 {
			best = h
		}
	}
	return best.index < len(e.Members) && e.Members[best.index].ID == id
}

func hashID(id ID) uint64 { return xxhash.Sum64String(string(id)) }
