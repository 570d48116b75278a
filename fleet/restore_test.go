package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/timeline"
)

// applyBound and drainBound are the bounds of the fleet of these tests.
const applyBound = 2 * time.Second

// outage is how long the store is away when it comes back from a copy.
const outage = 2 * time.Second

// restoreAfterOutage makes the store unavailable for a while and lets it come back from a copy.
func (c *cluster) restoreAfterOutage(s storeCopy) {
	c.storeDown = true
	c.run(outage)
	c.storeDown = false
	c.restoreStore(s)
}

func inForce(v discovery.Version) func(*node) bool {
	return func(n *node) bool { return n.snapshot.Configuration != nil && n.snapshot.Configuration.Version == v }
}

// neverOlder fails the test if the version in force falls on a host within the given time.
func (c *cluster) neverOlder(is *is.I, d time.Duration) {
	newest := make(map[*node]discovery.Version)
	for range d / (10 * time.Millisecond) {
		c.run(10 * time.Millisecond)
		c.forEachUp(func(n *node) {
			if n.snapshot.Configuration == nil {
				return
			}
			is.True(n.snapshot.Configuration.Version >= newest[n])
			newest[n] = n.snapshot.Configuration.Version
		})
	}
}

// TestConfigurationAfterARestoreIsInForceInTime covers a quiet store that comes back with the
// configuration before the last. No host may fall back, and the next change counts.
func TestConfigurationAfterARestoreIsInForceInTime(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		c := newSettledCluster(t, seed)
		c.configure(4)
		c.run(time.Second)
		saved := c.copyStore()
		c.configure(9)
		c.run(applyBound)
		is.True(c.allUp(inForce(9)))
		c.restoreAfterOutage(saved)
		c.neverOlder(is, 4*time.Second)
		is.True(c.allUp(inForce(9)))
		c.configure(11)
		c.neverOlder(is, applyBound)
		is.True(c.allUp(inForce(11)))
		is.True(c.allUp(func(n *node) bool { return n.snapshot.StoreHistory == 2 }))
		is.True(c.allUp(func(n *node) bool { return len(eventsOf(n, timeline.StoreRestored)) == 1 }))
	}
}

// TestTargetsAfterARestoreAreFollowed covers the rows of a quiet store after a restore: what drains
// then must be known in time, and what had left before must not be used.
func TestTargetsAfterARestoreAreFollowed(t *testing.T) {
	const left, drains, joined = "t-10.0.0.0:7000", "t-10.1.0.0:7000", "t-joined"
	is := is.New(t)
	c := newSettledCluster(t, 3)
	saved := c.copyStore()
	drain(c, left)
	c.putTarget(discovery.Target{ID: joined, Service: "orders", Address: "10.9.0.1:80", Zone: "b", Slots: 4})
	c.run(time.Second)
	c.dropTarget(left)
	c.run(time.Second)
	is.True(c.allUp(func(n *node) bool { return !routesTo(n, left) && routesTo(n, joined) }))
	c.restoreAfterOutage(saved)
	for range 20 {
		c.run(100 * time.Millisecond)
		is.True(c.allUp(func(n *node) bool { return !routesTo(n, left) && routesTo(n, joined) }))
	}
	c.dropTarget(left) // its leaving is written again
	c.run(drainBound)
	is.True(c.allUp(func(n *node) bool { return !routesTo(n, left) && !routesTo(n, joined) })) // joined never registered again
	drain(c, drains)
	c.run(drainBound)
	is.True(c.allUp(func(n *node) bool { return !routesTo(n, drains) }))
}

// TestTwoRestoresInARow covers a store that comes back from copies twice within a second.
func TestTwoRestoresInARow(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 5)
	first := c.copyStore()
	c.configure(4)
	c.run(time.Second)
	second := c.copyStore()
	c.configure(6)
	c.run(time.Second)
	c.restoreAfterOutage(second)
	c.run(300 * time.Millisecond)
	c.restoreStore(first)
	c.configure(8)
	drain(c, "t-10.2.0.1:7000")
	c.neverOlder(is, applyBound)
	is.True(c.allUp(inForce(8)))
	is.True(c.allUp(func(n *node) bool { return n.snapshot.StoreHistory == 3 && !routesTo(n, "t-10.2.0.1:7000") }))
}

// TestRestoreDuringAPartition covers a zone that is cut off from the others and from the store
// while that comes back from a copy.
func TestRestoreDuringAPartition(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 6)
	saved := c.copyStore()
	c.configure(4)
	c.run(time.Second)
	cut := func(address string) bool { return zoneOf(address) == zoneOf(c.addresses[0]) }
	c.partition = func(a, b string) bool { return cut(a) != cut(b) }
	for _, address := range c.addresses {
		c.storeCutOff[address] = cut(address)
	}
	c.run(time.Second)
	c.restoreAfterOutage(saved)
	c.run(time.Second)
	c.configure(7)
	drain(c, "t-10.1.0.2:7000")
	c.neverOlder(is, applyBound)
	is.True(c.allUp(func(n *node) bool { return cut(n.address) || inForce(7)(n) }))
	c.partition = nil
	clear(c.storeCutOff)
	c.neverOlder(is, 5*time.Second)
	is.True(c.allUp(inForce(7)))
	is.True(c.allUp(func(n *node) bool { return !routesTo(n, "t-10.1.0.2:7000") }))
}

// TestVersionWithOtherContentsAfterARestoreCounts covers a version of the configuration that is
// given out again: equal numbers are not equal contents.
func TestVersionWithOtherContentsAfterARestoreCounts(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 8)
	saved := c.copyStore()
	c.contents = "before"
	c.configure(4)
	c.run(applyBound)
	c.restoreAfterOutage(saved)
	c.run(time.Second)
	c.contents = "after"
	c.configure(4)
	c.run(applyBound)
	is.True(c.allUp(func(n *node) bool { return string(n.core.document.Bytes) == "after" }))
}

// TestHostThatStartsAfterARestoreAsksItsPeers covers a host that starts while the restored store
// still has the older configuration.
func TestHostThatStartsAfterARestoreAsksItsPeers(t *testing.T) {
	for i := range hostCount {
		is := is.New(t)
		c := newSettledCluster(t, 9)
		saved := c.copyStore()
		c.configure(4)
		c.run(applyBound)
		c.restoreAfterOutage(saved)
		c.run(500 * time.Millisecond)
		address := c.addresses[i]
		c.kill(address)
		c.run(100 * time.Millisecond)
		n := c.restart(address)
		for range 300 {
			c.run(10 * time.Millisecond)
			is.True(!n.snapshot.Ready || inForce(4)(n))
		}
		is.True(n.snapshot.Ready)
	}
}

// TestRowsOfHostsLostInARestoreAreWrittenAgain covers a host whose row was written after the copy.
func TestRowsOfHostsLostInARestoreAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 10)
	c.run(10 * time.Second)
	saved := c.copyStore()
	lost := c.hosts[c.addresses[4]].config.Self.ID
	saved.removed[lost] = true // as if its row had been written after the copy
	c.registrations = 0
	c.restoreAfterOutage(saved)
	c.run(5 * time.Second)
	is.True(!c.removed[lost])
	is.Equal(c.registrations, 1) // by one host, not by each
}

// TestRowsOfHostsAreWrittenAgainAfterAFailure covers a write of rows that fails.
func TestRowsOfHostsAreWrittenAgainAfterAFailure(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 13)
	c.run(10 * time.Second)
	first := c.hosts[c.rankOrder()[0]]
	lost := c.hosts[c.rankOrder()[5]].config.Self
	c.removed[lost.ID] = true
	c.deliver(first, Registered{Peers: []Peer{lost}, Err: errUnavailable})
	c.run(5 * time.Second)
	is.True(!c.removed[lost.ID])
}

// TestAllHostsRestartAfterARestore covers a fleet of which nothing is left that remembers what the
// store has lost: the store's copy counts then.
func TestAllHostsRestartAfterARestore(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 11)
	saved := c.copyStore()
	c.configure(4)
	c.run(applyBound)
	c.restoreAfterOutage(saved)
	c.run(500 * time.Millisecond)
	for _, address := range c.addresses {
		c.kill(address)
	}
	for _, address := range c.addresses {
		c.restart(address)
	}
	c.run(5 * time.Second)
	is.True(c.allUp(func(n *node) bool { return n.snapshot.Ready && inForce(1)(n) }))
	c.configure(6)
	c.run(applyBound)
	is.True(c.allUp(inForce(6)))
}

// TestPausedReaderLearnsOfARestore covers a reader of the store that is frozen over the restore.
func TestPausedReaderLearnsOfARestore(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 12)
	reader := c.hosts[c.rankOrder()[0]]
	saved := c.copyStore()
	c.configure(4)
	c.run(applyBound)
	reader.down = true
	c.restoreAfterOutage(saved)
	c.run(time.Second)
	c.configure(7)
	c.run(500 * time.Millisecond)
	reader.down = false
	c.deliver(reader, Tick{Suspended: 3 * time.Second})
	c.run(applyBound)
	is.True(c.allUp(inForce(7)))
	is.True(c.allUp(func(n *node) bool { return n.snapshot.StoreHistory == 2 }))
}

// TestRestoreBesideHostsOfAnOlderVersion covers a fleet that is being upgraded: hosts that know no
// history must not hold up the others, whoever reads the store.
func TestRestoreBesideHostsOfAnOlderVersion(t *testing.T) {
	for _, olderReads := range []bool{false, true} {
		is := is.New(t)
		c := newSettledCluster(t, 14)
		reader := c.rankOrder()[0]
		c.older = func(address string) bool {
			if address == reader {
				return olderReads
			}
			return address[len(address)-len("0:7000")]%2 == 0
		}
		c.forEachUp(func(n *node) {
			if c.older(n.address) {
				c.restart(n.address)
			}
		})
		c.run(5 * time.Second)
		saved := c.copyStore()
		c.configure(4)
		drain(c, "t-10.2.0.3:7000")
		c.run(applyBound)
		c.restoreAfterOutage(saved)
		c.run(time.Second)
		drain(c, "t-10.2.0.3:7000") // written again
		c.configure(7)
		drain(c, "t-10.1.0.3:7000")
		c.neverOlder(is, 2*applyBound)
		is.True(c.allUp(func(n *node) bool { return c.older(n.address) || inForce(7)(n) && !routesTo(n, "t-10.1.0.3:7000") }))
	}
}
