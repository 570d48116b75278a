package host

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/zone"
)

var testZones = []zone.ID{"a", "b", "c"}

func testZoneMap() *zone.Map {
	var zones []zone.Zone
	for _, id := range testZones {
		zones = append(zones, zone.Zone{ID: id, Region: "lima"})
	}
	return zone.NewMap(zones, nil)
}

// entryContract returns a service with targets of 4 slots and 400 connections.
func entryContract(name string, targets int, load float64) *contract.Contract {
	c := &contract.Contract{Service: name, Load: load}
	for i := range targets {
		c.Targets = append(c.Targets, contract.Target{
			Name: fmt.Sprint("t", i), Zone: testZones[i%3], Slots: 4, Connections: 400,
		})
	}
	return c
}

func hostsIn(n int) []Identity {
	var out []Identity
	for i := range n {
		out = append(out, Identity{ID: ID(fmt.Sprintf("h%03d", i)), Zone: testZones[i%3]})
	}
	return out
}

// newCandidates prepares hosts that are sorted by id.
func newCandidates(hosts []Identity) *candidates {
	c := &candidates{
		identities: hosts,
		hashes:     make([]uint64, len(hosts)),
		zones:      make([]int, len(hosts)),
	}
	positions := make(map[zone.ID]int)
	for i, h := range hosts {
		position, known := positions[h.Zone]
		if !known {
			position = len(c.zoneIDs)
			positions[h.Zone] = position
			c.zoneIDs = append(c.zoneIDs, h.Zone)
		}
		c.hashes[i] = hashID(h.ID)
		c.zones[i] = position
	}
	return c
}

// newEntrySet chooses the hosts of a service anew.
func newEntrySet(c *contract.Contract, hosts *candidates, zones *zone.Map) EntrySet {
	return newSetPlan(c, hosts, zones).choose(hosts)
}

func setOf(c *contract.Contract, hosts []Identity) EntrySet {
	return newEntrySet(c, newCandidates(hosts), testZoneMap())
}

func TestEntrySetSize(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		load    float64
		want    int
	}{
		{"small load keeps a choice for a zone loss", 30, 10, 3},
		{"load of 600 needs 6 hosts in two zones, 9 in three", 30, 600, 9},
		{"24 slots make shares of 4", 6, 5000, 6},
		{"400 connections allow 80 hosts of 5", 1000, 50000, 80},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(entrySetSize(entryContract("s", tt.targets, tt.load), 3), tt.want)
		})
	}
}

func TestEntrySetSurvivesTheLossOfAZoneUnmoved(t *testing.T) {
	is := is.New(t)
	hosts := hostsIn(48)
	for s := range 50 {
		c := entryContract(fmt.Sprint("service", s), 30, 600)
		before := setOf(c, hosts)
		zones := make(map[zone.ID]int)
		for _, m := range before.Members {
			zones[m.Zone]++
		}
		is.Equal(zones, map[zone.ID]int{"a": 3, "b": 3, "c": 3})
		var left, want []Identity
		for _, h := range hosts {
			if h.Zone != "a" {
				left = append(left, h)
			}
		}
		for _, m := range before.Members {
			if m.Zone != "a" {
				want = append(want, m)
			}
		}
		is.Equal(setOf(c, left).Members, want)
	}
}

func TestEntrySetMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(12, 60).Draw(t, "hosts")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		c := entryContract(rapid.StringMatching("[a-z]{1,8}").Draw(t, "service"), 30,
			float64(rapid.IntRange(0, 800).Draw(t, "load")))
		hosts := hostsIn(n)
		before := setOf(c, hosts)
		after := setOf(c, append(append([]Identity(nil), hosts[:gone]...), hosts[gone+1:]...))
		var joined int
		for _, m := range after.Members {
			if before.Rank(m.ID) < 0 {
				joined++
			}
		}
		if before.Rank(hosts[gone].ID) < 0 && joined != 0 {
			t.Fatalf("%d hosts joined although a host outside the set went", joined)
		}
		if joined > 1 {
			t.Fatalf("%d hosts joined for one that went", joined)
		}
	})
}

func TestEntrySetSpreadsServicesOverHosts(t *testing.T) {
	is := is.New(t)
	hosts := hostsIn(48)
	fronted := make(map[ID]int)
	const services = 480
	for s := range services {
		for _, m := range setOf(entryContract(fmt.Sprint("service", s), 6, 100), hosts).Members {
			fronted[m.ID]++
		}
	}
	mean := float64(services) * minEntryHosts / 48
	for _, h := range hosts {
		is.True(float64(fronted[h.ID]) > mean*0.5) // no host stands idle
		is.True(float64(fronted[h.ID]) < mean*1.7) // no host is crowded
	}
}

func TestEntrySetFillsUpWhenZonesAreEmpty(t *testing.T) {
	is := is.New(t)
	hosts := []Identity{{ID: "x", Zone: "a"}, {ID: "y", Zone: "a"}, {ID: "z", Zone: "elsewhere"}}
	is.Equal(len(setOf(entryContract("s", 30, 10), hosts).Members), 2)
	is.Equal(len(setOf(entryContract("s", 30, 10), hosts[:1]).Members), 1)
	is.Equal(len(setOf(entryContract("s", 30, 10), nil).Members), 0)
}

func TestOneHostProbesEachTarget(t *testing.T) {
	is := is.New(t)
	set := setOf(entryContract("s", 30, 600), hostsIn(48))
	for i := range 30 {
		probing := 0
		for _, m := range set.Members {
			if set.probes(m.ID, fmt.Sprint("t", i)) {
				probing++
			}
		}
		is.Equal(probing, 1)
	}
}

// With more zones than hosts in the set, the set has its size, and the loss of
// a zone moves nothing in the others.
func TestEntrySetIsNoLargerThanItsSize(t *testing.T) {
	is := is.New(t)
	hosts := hostsIn(48)
	for s := range 50 {
		c := entryContract(fmt.Sprint("service", s), 30, 250)
		set := setOf(c, hosts)
		is.Equal(len(set.Members), entrySetSize(c, len(testZones)))
	}
}
