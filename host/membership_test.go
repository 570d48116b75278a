package host

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func directoryIDs(n *node) []ID {
	var out []ID
	for _, id := range n.snapshot.Directory {
		out = append(out, id.ID)
	}
	return out
}

func TestHostsFindEachOther(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 24)
	c.run(20 * time.Second)
	is.True(c.all(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 24 }))
	digest := c.nodes["h00"].core.memberDigest()
	is.True(c.all(func(_ string, n *node) bool { return n.core.memberDigest() == digest }))
}

func TestDeadHostLeavesDirectoryAndEntrySets(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12)
	c.publish(entryContract("catalogue", 30, 600))
	c.run(20 * time.Second)
	c.takeDown("h05")
	c.run(20 * time.Second)
	is.True(c.all(func(name string, _ *node) bool { return c.state(name, "h05") == PeerGone }))
	is.True(c.all(func(_ string, n *node) bool { return !slices.Contains(directoryIDs(n), "h05") }))
	is.True(c.all(func(_ string, n *node) bool { return n.snapshot.EntrySets["catalogue"].Rank("h05") < 0 }))
}

func TestOneWayPartitionIsNotADeath(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	c.cut = func(from, to string) bool { return from == "h01" && to == "h02" }
	for range 60 {
		c.run(time.Second)
		is.True(c.all(func(name string, _ *node) bool { return name == "h02" || c.state(name, "h02") == PeerAlive }))
		is.True(c.all(func(name string, _ *node) bool { return name == "h01" || c.state(name, "h01") == PeerAlive }))
	}
	is.True(c.nodes["h01"].core.peers["h02"].Unreachable) // seen as what it is
	is.True(!c.nodes["h03"].core.peers["h02"].Unreachable)
	c.cut = func(string, string) bool { return false }
	c.run(20 * time.Second)
	is.True(!c.nodes["h01"].core.peers["h02"].Unreachable)
}

func TestCutOffHostDoubtsItself(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	// h03 hears everybody, but nothing that it sends arrives.
	c.cut = func(from, _ string) bool { return from == "h03" }
	c.run(2 * time.Minute)
	h03 := c.nodes["h03"]
	is.True(!slices.Contains(directoryIDs(h03), "h03")) // it leaves its own directory
	is.True(!slices.Contains(directoryIDs(c.nodes["h00"]), "h03"))
	gone := 0
	for _, name := range c.names {
		if name != "h03" && c.state("h03", name) == PeerGone {
			gone++
		}
	}
	is.Equal(gone, 0) // it declares nobody gone
	c.cut = func(string, string) bool { return false }
	c.run(40 * time.Second)
	is.True(c.all(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 8 }))
}

func TestIsolatedHostDeclaresNobodyGone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	c.cut = func(from, to string) bool { return from == "h03" || to == "h03" }
	c.run(2 * time.Minute)
	for _, name := range c.names {
		is.True(name == "h03" || c.state("h03", name) != PeerGone)
	}
	c.cut = func(string, string) bool { return false }
	c.run(40 * time.Second)
	is.True(c.all(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 8 }))
}

func TestWokenHostAsksForWhatItMissed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	c.takeDown("h04")
	c.run(5 * time.Second)
	c.publish(entryContract("catalogue", 3, 1))
	c.run(5 * time.Second)
	// At 890 hosts the next poll would be up to 44.5 s away.
	c.nodes["h04"].core.nextPoll = c.now.Add(40 * time.Second)
	c.cut = func(from, to string) bool { return from == "h04" || to == "h04" }
	c.wake("h04")
	c.run(2 * TickInterval)
	is.Equal(c.nodes["h04"].core.Revision(), uint64(1))
}

func TestWokenHostRefutesThatItIsGone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	incarnation := c.nodes["h04"].core.Self().Incarnation
	c.takeDown("h04")
	c.run(30 * time.Second)
	is.True(c.all(func(name string, _ *node) bool { return c.state(name, "h04") == PeerGone }))
	c.wake("h04")
	c.run(30 * time.Second)
	is.True(c.all(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 8 }))
	is.Equal(c.nodes["h04"].core.Self().Incarnation, incarnation) // its request ids keep their meaning
	is.True(c.nodes["h04"].core.Self().Sequence > 0)
}

func TestReplacedHostIsKnownByItsNewIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	old := c.nodes["h05"].core.Self().Incarnation
	c.start("h05", 5)
	c.run(15 * time.Second)
	is.True(c.all(func(name string, n *node) bool {
		return name == "h05" || n.core.peers["h05"].Identity.Incarnation > old
	}))
}

// TestLostHalfComesBackWithoutAStorm cuts a fleet in two halves and joins it
// again. The messages a second stay bounded all the time.
func TestLostHalfComesBackWithoutAStorm(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 24)
	c.run(20 * time.Second)
	half := func(name string) bool { return name >= "h12" }
	c.cut = func(from, to string) bool { return half(from) != half(to) }
	most := 0
	spend := func(d time.Duration) {
		for range int(d / time.Second) {
			before := make(map[string]int)
			for _, name := range c.names {
				before[name] = c.nodes[name].sent
			}
			c.run(time.Second)
			for _, name := range c.names {
				most = max(most, c.nodes[name].sent-before[name])
			}
		}
	}
	spend(90 * time.Second)
	is.True(c.all(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 12 }))
	c.cut = func(string, string) bool { return false }
	spend(120 * time.Second)
	is.True(c.all(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 24 }))
	t.Logf("most messages that one host sent in a second: %d", most)
	is.True(most <= 24)
}

func TestLeavingHostIsLeftOut(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 24)
	c.run(20 * time.Second)
	c.handle("h07", ShutdownRequested{})
	c.run(3 * time.Second)
	is.True(c.all(func(_ string, n *node) bool { return !slices.Contains(directoryIDs(n), "h07") }))
}

func TestClusterReplaysBySeed(t *testing.T) {
	is := is.New(t)
	trace := func() string {
		c := newCluster(t, 8)
		c.run(10 * time.Second)
		c.takeDown("h03")
		c.run(20 * time.Second)
		out := ""
		for _, name := range c.names {
			out += fmt.Sprint(name, c.nodes[name].sent, directoryIDs(c.nodes[name]), c.nodes[name].core.updates)
		}
		return out
	}
	is.Equal(trace(), trace())
}

func TestHostThatLeftIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12)
	c.publish(entryContract("catalogue", 30, 5000)) // fronted by every host
	c.run(20 * time.Second)
	c.handle("h07", ShutdownRequested{})
	c.run(3 * time.Second)
	is.Equal(c.state("h00", "h07"), PeerAlive)
	fronts := func() bool { return c.nodes["h00"].snapshot.EntrySets["catalogue"].Rank("h07") >= 0 }
	is.True(fronts()) // it keeps its share while it leaves
	for _, ping := range c.nodes["h07"].core.LeaveNotices(c.now) {
		c.handle(ping.To.FleetAddress, MessageHeard{Message: ping.Message})
	}
	c.takeDown("h07")
	c.run(3 * time.Second)
	is.True(c.all(func(name string, _ *node) bool { return c.state(name, "h07") == PeerGone }))
	is.True(!fronts())
}

// TestFewSurvivorsWithoutTheStore leaves few of 24 hosts alive while the store
// is away. As long as two reach each other they are not cut off, and declare the
// others gone; a single one cannot tell the two apart, and declares none.
func TestFewSurvivorsWithoutTheStore(t *testing.T) {
	tests := []struct{ left, gone int }{{left: 1, gone: 0}, {left: 2, gone: 22}, {left: 3, gone: 21}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.left), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 24)
			c.run(20 * time.Second)
			c.storeDown = true
			c.takeDown(c.names[tt.left:]...)
			c.run(2 * time.Minute)
			is.True(c.all(func(_ string, n *node) bool { return len(n.core.peers)-n.core.countPeers().notGone == tt.gone }))
			c.wake(c.names[tt.left:]...)
			c.run(2 * time.Minute)
			is.True(c.all(func(_ string, n *node) bool { return n.core.countPeers().alive == 23 }))
		})
	}
}
