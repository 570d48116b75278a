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

func TestDirectoryOrdersByNearnessWithChoiceForAZoneLoss(t *testing.T) {
	is := is.New(t)
	hosts := hostsIn(48)
	snap := directorySnapshot(setOf(entryContract("s", 60, 2000), hosts), hosts)
	rng := rand.New(rand.NewPCG(1, 1))
	first := make(map[ID]int)
	for range 1000 {
		answer := snap.HostsFor("s", "b", rng)
		is.Equal(len(answer), directoryChoice)
		zones := make(map[zone.ID]int)
		for i, h := range answer {
			is.True(snap.EntrySets["s"].Rank(h.ID) >= 0)
			is.True((i < zoneChoice) == (h.Zone == "b")) // near ones first
			zones[h.Zone]++
		}
		is.True(len(zones) > 1)
		first[answer[0].ID]++
	}
	near := 0
	for _, m := range snap.EntrySets["s"].Members {
		if m.Zone == "b" {
			near++
			is.True(first[m.ID] > 1000/20) // every near host gets its part of the callers
		}
	}
	is.True(near > zoneChoice)
}

func TestDirectoryFillsUpWithHostsThatForward(t *testing.T) {
	is := is.New(t)
	hosts := hostsIn(12)
	set := setOf(entryContract("s", 3, 1), hosts)
	is.Equal(len(set.Members), 3)
	var well []Identity // two of the set are not well
	for _, h := range hosts {
		if r := set.Rank(h.ID); r != 0 && r != 1 {
			well = append(well, h)
		}
	}
	answer := directorySnapshot(set, well).HostsFor("s", "a", rand.New(rand.NewPCG(1, 1)))
	is.Equal(len(answer), minEntryHosts)
	is.Equal(answer[0].ID, set.Members[2].ID) // the set's own host first
	is.Equal(fmt.Sprint(answer[0].ID != answer[1].ID && answer[1].ID != answer[2].ID), "true")
}
