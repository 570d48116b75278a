package host

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/zone"
)

func directorySnapshot(set EntrySet, directory []Identity) *Snapshot {
	return &Snapshot{
		Self: directory[0], Zones: testZoneMap(), Directory: directory,
		EntrySets: map[string]EntrySet{"s": set},
	}
}

func TestDirectoryOrdersByDistanceAndSpansZones(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(48)
	snap := directorySnapshot(entrySetOf(testContract("s", 60, 2000), hosts), hosts)
	rng := rand.New(rand.NewPCG(1, 1))
	first := make(map[ID]int)
	for range 1000 {
		response := snap.HostsFor("s", "b", rng)
		is.Equal(len(response), maxDirectoryHosts)
		zones := make(map[zone.ID]int)
		for i, h := range response {
			is.True(snap.EntrySets["s"].Rank(h.ID) >= 0)
			is.True((i < maxDirectoryPerZone) == (h.Zone == "b")) // hosts of the caller's zone first
			zones[h.Zone]++
		}
		is.True(len(zones) > 1)
		first[response[0].ID]++
	}
	near := 0
	for _, m := range snap.EntrySets["s"].Members {
		if m.Zone == "b" {
			near++
			is.True(first[m.ID] > 1000/20) // callers are spread over the near hosts
		}
	}
	is.True(near > maxDirectoryPerZone)
}

func TestDirectoryAddsForwardingHosts(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(12)
	set := entrySetOf(testContract("s", 3, 1), hosts)
	is.Equal(len(set.Members), 3)
	var usable []Identity // without two of the three entry hosts
	for _, h := range hosts {
		if r := set.Rank(h.ID); r != 0 && r != 1 {
			usable = append(usable, h)
		}
	}
	response := directorySnapshot(set, usable).HostsFor("s", "a", rand.New(rand.NewPCG(1, 1)))
	is.Equal(len(response), minEntryHosts)
	is.Equal(response[0].ID, set.Members[2].ID) // the remaining entry host first
	is.Equal(fmt.Sprint(response[0].ID != response[1].ID && response[1].ID != response[2].ID), "true")
}
