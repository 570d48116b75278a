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

// testContract returns a service with targets of 4 slots and 400 connections
// each.
func testContract(name string, targets int, load float64) *contract.Contract {
	c := &contract.Contract{Service: name, Load: load}
	for i := range targets {
		c.Targets = append(c.Targets, contract.Target{
			Name: fmt.Sprint("t", i), Zone: testZones[i%3], Slots: 4, Connections: 400,
		})
	}
	return c
}

func testHosts(n int) []Identity {
	var out []Identity
	for i := range n {
		out = append(out, Identity{ID: ID(fmt.Sprintf("h%03d", i)), Zone: testZones[i%3]})
	}
	return out
}

// newCandidates returns candidates for hosts that are sorted by ID.
func newCandidates(hosts []Identity) *candidates {
	c := &candidates{
		identities:  hosts,
		hashes:      make([]uint64, len(hosts)),
		zoneIndexes: make([]int, len(hosts)),
	}
	indexes := make(map[zone.ID]int)
	for i, h := range hosts {
		zoneIndex, known := indexes[h.Zone]
		if !known {
			zoneIndex = len(c.zoneIDs)
			indexes[h.Zone] = zoneIndex
			c.zoneIDs = append(c.zoneIDs, h.Zone)
		}
		c.hashes[i] = hashID(h.ID)
		c.zoneIndexes[i] = zoneIndex
	}
	return c
}

// newEntrySet computes the entry set of a service from scratch.
func newEntrySet(c *contract.Contract, hosts *candidates, zones *zone.Map) EntrySet {
	return newEntrySetPlan(c, hosts, zones).choose(hosts)
}

func entrySetOf(c *contract.Contract, hosts []Identity) EntrySet {
	return newEntrySet(c, newCandidates(hosts), testZoneMap())
}

func TestEntrySetSize(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		load    float64
		want    int
	}{
		{"small load leaves hosts when a zone is lost", 30, 10, 3},
		{"load of 600 needs 6 hosts in two zones, 9 in three", 30, 600, 9},
		{"24 slots allow 6 hosts with 4 slots each", 6, 5000, 6},
		{"400 connections allow 80 hosts with 5 each", 1000, 50000, 80},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(entrySetSize(testContract("s", tt.targets, tt.load), 3), tt.want)
		})
	}
}

func TestZoneLossKeepsTheMembersOfOtherZones(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(48)
	for s := range 50 {
		c := testContract(fmt.Sprint("service", s), 30, 600)
		before := entrySetOf(c, hosts)
		zones := make(map[zone.ID]int)
		for _, m := range before.Members {
			zones[m.Zone]++
		}
		is.Equal(zones, map[zone.ID]int{"a": 3, "b": 3, "c": 3})
		var remaining, want []Identity
		for _, h := range hosts {
			if h.Zone != "a" {
				remaining = append(remaining, h)
			}
		}
		for _, m := range before.Members {
			if m.Zone != "a" {
				want = append(want, m)
			}
		}
		is.Equal(entrySetOf(c, remaining).Members, want)
	}
}

func TestHostRemovalReplacesAtMostOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(12, 60).Draw(t, "hosts")
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		c := testContract(rapid.StringMatching("[a-z]{1,8}").Draw(t, "service"), 30,
			float64(rapid.IntRange(0, 800).Draw(t, "load")))
		hosts := testHosts(n)
		before := entrySetOf(c, hosts)
		after := entrySetOf(c, append(append([]Identity(nil), hosts[:removed]...), hosts[removed+1:]...))
		var joined int
		for _, m := range after.Members {
			if before.Rank(m.ID) < 0 {
				joined++
			}
		}
		if before.Rank(hosts[removed].ID) < 0 && joined != 0 {
			t.Fatalf("%d hosts joined the set although the removed host was not a member", joined)
		}
		if joined > 1 {
			t.Fatalf("%d hosts joined the set in place of one removed member", joined)
		}
	})
}

func TestEntrySetSpreadsServicesOverHosts(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(48)
	memberships := make(map[ID]int)
	const services = 480
	for s := range services {
		for _, m := range entrySetOf(testContract(fmt.Sprint("service", s), 6, 100), hosts).Members {
			memberships[m.ID]++
		}
	}
	mean := float64(services) * minEntryHosts / 48
	for _, h := range hosts {
		is.True(float64(memberships[h.ID]) > mean*0.5) // no host is left out
		is.True(float64(memberships[h.ID]) < mean*1.7) // no host is overloaded
	}
}

func TestEntrySetFillsUpWhenZonesAreEmpty(t *testing.T) {
	is := is.New(t)
	hosts := []Identity{{ID: "x", Zone: "a"}, {ID: "y", Zone: "a"}, {ID: "z", Zone: "elsewhere"}}
	is.Equal(len(entrySetOf(testContract("s", 30, 10), hosts).Members), 2)
	is.Equal(len(entrySetOf(testContract("s", 30, 10), hosts[:1]).Members), 1)
	is.Equal(len(entrySetOf(testContract("s", 30, 10), nil).Members), 0)
}

func TestOneHostProbesEachTarget(t *testing.T) {
	is := is.New(t)
	set := entrySetOf(testContract("s", 30, 600), testHosts(48))
	for i := range 30 {
		probers := 0
		for _, m := range set.Members {
			if set.isProber(m.ID, fmt.Sprint("t", i)) {
				probers++
			}
		}
		is.Equal(probers, 1)
	}
}

// An entry set must have exactly the intended size, even if the size is not a
// multiple of the number of zones.
func TestEntrySetHasItsSizeWhenZonesShareItUnevenly(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(48)
	for s := range 50 {
		c := testContract(fmt.Sprint("service", s), 30, 250)
		set := entrySetOf(c, hosts)
		is.Equal(len(set.Members), entrySetSize(c, len(testZones)))
	}
}
