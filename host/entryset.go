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

// candidate is a host with the hash of its id, which is computed once for all
// services.
type candidate struct {
	identity Identity
	hash     uint64
}

func newCandidates(hosts []Identity) []candidate {
	out := make([]candidate, len(hosts))
	for i, h := range hosts {
		out[i] = candidate{identity: h, hash: hashID(h.ID)}
	}
	return out
}

// ranked is a candidate with its score for one service.
type ranked struct {
	identity Identity
	score    uint64
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

// newEntrySet chooses the hosts of a service by rendezvous hashing (Thaler and
// Ravishankar, 1998), the same number in each zone of the regions where its
// targets are. A host that comes or goes moves one place in its own zone only.
// Hosts weigh the same, because the fleet's hosts are of one size.
func newEntrySet(c *contract.Contract, hosts []candidate, zones *zone.Map) EntrySet {
	eligible := eligibleZones(c, hosts, zones)
	size := entrySetSize(c, len(eligible))
	quota := (size + len(eligible) - 1) / max(len(eligible), 1)
	seed := xxhash.Sum64String(c.Service)
	byZone := make(map[zone.ID][]ranked, len(eligible))
	var rest []ranked
	for _, h := range hosts {
		r := ranked{identity: h.identity, score: mix(seed ^ h.hash)}
		if !slices.Contains(eligible, h.identity.Zone) {
			rest = append(rest, r)
			continue
		}
		best, spilled := keepBest(byZone[h.identity.Zone], r, quota)
		byZone[h.identity.Zone] = best
		rest = append(rest, spilled...)
	}
	var chosen []ranked
	for _, z := range eligible {
		chosen = append(chosen, byZone[z]...)
	}
	chosen = fill(chosen, rest, leastMembers(size, len(eligible)))
	slices.SortFunc(chosen, compareRanked)
	set := EntrySet{Service: c.Service}
	for _, r := range chosen {
		set.Members = append(set.Members, r.identity)
	}
	return set
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

func compareRanked(a, b ranked) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.identity.ID, b.identity.ID)
}

// keepBest inserts r into a list of the best at most n, and returns what does
// not fit.
func keepBest(best []ranked, r ranked, n int) (kept, spilled []ranked) {
	at, _ := slices.BinarySearchFunc(best, r, compareRanked)
	best = slices.Insert(best, at, r)
	if len(best) > n {
		return best[:n], best[n:]
	}
	return best, nil
}

// fill adds the best of the rest until the set has the least size.
func fill(chosen, rest []ranked, least int) []ranked {
	if len(chosen) >= least {
		return chosen
	}
	slices.SortFunc(rest, compareRanked)
	return append(chosen, rest[:min(least-len(chosen), len(rest))]...)
}

// eligibleZones returns the zones of the regions in which the service has
// targets, sorted; all zones of the hosts when no target's region is known.
// A declared zone counts also while none of its hosts is there.
func eligibleZones(c *contract.Contract, hosts []candidate, zones *zone.Map) []zone.ID {
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
	if len(out) > 0 {
		return out
	}
	for _, h := range hosts {
		out = append(out, h.identity.Zone)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// probes reports whether a member of the set is the one that probes a target.
// One host probes each target, so that the cost of probing does not grow with
// the set.
func (e EntrySet) probes(id ID, target string) bool {
	var best ranked
	seed := xxhash.Sum64String(target)
	for _, m := range e.Members {
		r := ranked{identity: m, score: mix(seed ^ hashID(m.ID))}
		if best.identity.ID == "" || compareRanked(r, best) < 0 {
			best = r
		}
	}
	return best.identity.ID == id
}

func hashID(id ID) uint64 { return xxhash.Sum64String(string(id)) }
