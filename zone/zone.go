// Package zone describes availability zones and the network distances between
// them. It does no I/O.
package zone

import (
	"sort"
	"time"
)

// ID identifies an availability zone, for example "lima-a".
type ID string

// Zone is an availability zone as listed in the host's settings.
type Zone struct {
	ID     ID
	Region string
}

// Default one-way latencies, used for pairs of zones without a configured one.
const (
	sameZoneDistance    = 250 * time.Microsecond
	sameRegionDistance  = 1500 * time.Microsecond
	otherRegionDistance = 40 * time.Millisecond
)

// pair is an unordered pair of zones.
type pair struct{ low, high ID }

func newPair(a, b ID) pair {
	if a > b {
		a, b = b, a
	}
	return pair{low: a, high: b}
}

// Map holds the zones of a deployment and the distances between them. It is immutable
// once built and safe for concurrent use.
type Map struct {
	zones     map[ID]Zone
	distances map[pair]time.Duration
}

// Distance is the configured one-way network latency between two zones. It is the same
// in both directions.
type Distance struct {
	A, B   ID
	OneWay time.Duration
}

// NewMap builds a Map from the zones of a deployment and the configured distances.
func NewMap(zones []Zone, distances []Distance) *Map {
	m := &Map{
		zones:     make(map[ID]Zone, len(zones)),
		distances: make(map[pair]time.Duration, len(distances)),
	}
	for _, z := range zones {
		m.zones[z.ID] = z
	}
	for _, d := range distances {
		m.distances[newPair(d.A, d.B)] = d.OneWay
	}
	return m
}

// Zone returns the zone with the given id, and whether there is one.
func (m *Map) Zone(id ID) (Zone, bool) {
	z, ok := m.zones[id]
	return z, ok
}

// Region returns the region of a zone, or "" for an unknown zone.
func (m *Map) Region(id ID) string { return m.zones[id].Region }

// Distance returns the one-way latency between two zones. A pair without a configured
// one gets a default that depends on whether they share a zone or a region.
func (m *Map) Distance(a, b ID) time.Duration {
	if d, ok := m.distances[newPair(a, b)]; ok {
		return d
	}
	if a == b {
		return sameZoneDistance
	}
	if m.Region(a) == m.Region(b) {
		return sameRegionDistance
	}
	return otherRegionDistance
}

// Zones returns the zones of the deployment, sorted by id.
func (m *Map) Zones() []Zone {
	zones := make([]Zone, 0, len(m.zones))
	for _, z := range m.zones {
		zones = append(zones, z)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].ID < zones[j].ID })
	return zones
}
