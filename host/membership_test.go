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

func TestHostsDiscoverEachOther(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 24)
	c.run(20 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 24 }))
	digest := c.nodes["h00"].core.memberDigest()
	is.True(c.allRunning(func(_ string, n *node) bool { return n.core.memberDigest() == digest }))
}

func TestGoneHostIsRemovedFromDirectoryAndEntrySets(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12)
	c.publishContract(testContract("catalogue", 30, 600))
	c.run(20 * time.Second)
	c.stop("h05")
	c.run(20 * time.Second)
	is.True(c.allRunning(func(name string, _ *node) bool { return c.state(name, "h05") == PeerGone }))
	is.True(c.allRunning(func(_ string, n *node) bool { return !slices.Contains(directoryIDs(n), "h05") }))
	is.True(c.allRunning(func(_ string, n *node) bool { return n.snapshot.EntrySets["catalogue"].Rank("h05") < 0 }))
}

func TestOneWayPartitionKeepsPeersAlive(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	c.dropsMessage = func(from, to string) bool { return from == "h01" && to == "h02" }
	for range 60 {
		c.run(time.Second)
		is.True(c.allRunning(func(name string, _ *node) bool { return name == "h02" || c.state(name, "h02") == PeerAlive }))
		is.True(c.allRunning(func(name string, _ *node) bool { return name == "h01" || c.state(name, "h01") == PeerAlive }))
	}
	is.True(c.nodes["h01"].core.peers["h02"].Unreachable) // the path is taken to be broken, not the peer
	is.True(!c.nodes["h03"].core.peers["h02"].Unreachable)
	c.dropsMessage = func(string, string) bool { return false }
	c.run(20 * time.Second)
	is.True(!c.nodes["h01"].core.peers["h02"].Unreachable)
}

func TestHostWhoseMessagesAreLostSuspectsItself(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	// h03 receives all messages, but none that it sends arrives.
	c.dropsMessage = func(from, _ string) bool { return from == "h03" }
	c.run(2 * time.Minute)
	h03 := c.nodes["h03"]
	is.True(!slices.Contains(directoryIDs(h03), "h03")) // it removes itself from its own directory
	is.True(!slices.Contains(directoryIDs(c.nodes["h00"]), "h03"))
	gone := 0
	for _, name := range c.names {
		if name != "h03" && c.state("h03", name) == PeerGone {
			gone++
		}
	}
	is.Equal(gone, 0) // it declares no peer gone
	c.dropsMessage = func(string, string) bool { return false }
	c.run(40 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 8 }))
}

func TestIsolatedHostDeclaresNoPeerGone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	c.dropsMessage = func(from, to string) bool { return from == "h03" || to == "h03" }
	c.run(2 * time.Minute)
	for _, name := range c.names {
		is.True(name == "h03" || c.state("h03", name) != PeerGone)
	}
	c.dropsMessage = func(string, string) bool { return false }
	c.run(40 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 8 }))
}

func TestResumedHostReadsMissedChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	c.stop("h04")
	c.run(5 * time.Second)
	c.publishContract(testContract("catalogue", 3, 1))
	c.run(5 * time.Second)
	// At 890 hosts the next poll would be up to 44.5 s away.
	c.nodes["h04"].core.nextPoll = c.now.Add(40 * time.Second)
	c.dropsMessage = func(from, to string) bool { return from == "h04" || to == "h04" }
	c.resume("h04")
	c.run(2 * TickInterval)
	is.Equal(c.nodes["h04"].core.Revision(), uint64(1))
}

func TestResumedHostRefutesThatItIsGone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	incarnation := c.nodes["h04"].core.Self().Incarnation
	c.stop("h04")
	c.run(30 * time.Second)
	is.True(c.allRunning(func(name string, _ *node) bool { return c.state(name, "h04") == PeerGone }))
	c.resume("h04")
	c.run(30 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 8 }))
	is.Equal(c.nodes["h04"].core.Self().Incarnation, incarnation) // its request IDs stay valid
	is.True(c.nodes["h04"].core.Self().Sequence > 0)
}

func TestRestartedHostIsKnownByItsNewIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(15 * time.Second)
	old := c.nodes["h05"].core.Self().Incarnation
	c.start("h05", 5)
	c.run(15 * time.Second)
	is.True(c.allRunning(func(name string, n *node) bool {
		return name == "h05" || n.core.peers["h05"].Identity.Incarnation > old
	}))
}

// TestHealedPartitionKeepsMessageRateBounded partitions a fleet into two halves
// and reconnects them. The number of messages per second must stay bounded
// throughout.
func TestHealedPartitionKeepsMessageRateBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 24)
	c.run(20 * time.Second)
	secondHalf := func(name string) bool { return name >= "h12" }
	c.dropsMessage = func(from, to string) bool { return secondHalf(from) != secondHalf(to) }
	maxSent := 0
	runAndCount := func(d time.Duration) {
		for range int(d / time.Second) {
			before := make(map[string]int)
			for _, name := range c.names {
				before[name] = c.nodes[name].sent
			}
			c.run(time.Second)
			for _, name := range c.names {
				maxSent = max(maxSent, c.nodes[name].sent-before[name])
			}
		}
	}
	runAndCount(90 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 12 }))
	c.dropsMessage = func(string, string) bool { return false }
	runAndCount(120 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 24 }))
	t.Logf("most messages that one host sent in a second: %d", maxSent)
	is.True(maxSent <= 24)
}

func TestLeavingHostIsRemovedFromDirectory(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 24)
	c.run(20 * time.Second)
	c.handle("h07", ShutdownRequested{})
	c.run(3 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return !slices.Contains(directoryIDs(n), "h07") }))
}

func TestClusterIsDeterministic(t *testing.T) {
	is := is.New(t)
	trace := func() string {
		c := newCluster(t, 8)
		c.run(10 * time.Second)
		c.stop("h03")
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
	c.publishContract(testContract("catalogue", 30, 5000)) // every host is an entry host
	c.run(20 * time.Second)
	c.handle("h07", ShutdownRequested{})
	c.run(3 * time.Second)
	is.Equal(c.state("h00", "h07"), PeerAlive)
	isEntryHost := func() bool { return c.nodes["h00"].snapshot.EntrySets["catalogue"].Rank("h07") >= 0 }
	is.True(isEntryHost()) // it keeps its share while it leaves
	for _, ping := range c.nodes["h07"].core.LeaveNotices(c.now) {
		c.handle(ping.To.FleetAddress, MessageReceived{Message: ping.Message})
	}
	c.stop("h07")
	c.run(3 * time.Second)
	is.True(c.allRunning(func(name string, _ *node) bool { return c.state(name, "h07") == PeerGone }))
	is.True(!isEntryHost())
}

// TestFewSurvivorsWithoutTheStore stops most of 24 hosts while the store is
// unavailable. As long as two survivors reach each other they are not isolated,
// and declare the others gone. A single survivor can't tell whether the others
// or its own connections have failed, and declares none gone.
func TestFewSurvivorsWithoutTheStore(t *testing.T) {
	tests := []struct{ survivors, gone int }{{survivors: 1, gone: 0}, {survivors: 2, gone: 22}, {survivors: 3, gone: 21}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.survivors), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 24)
			c.run(20 * time.Second)
			c.storeUnavailable = true
			c.stop(c.names[tt.survivors:]...)
			c.run(2 * time.Minute)
			is.True(c.allRunning(func(_ string, n *node) bool { return len(n.core.peers)-n.core.summarizePeers().notGone == tt.gone }))
			c.resume(c.names[tt.survivors:]...)
			c.run(2 * time.Minute)
			is.True(c.allRunning(func(_ string, n *node) bool { return n.core.summarizePeers().notLeavingAlive == 23 }))
		})
	}
}
