package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/zone"
)

// lostSince returns how many losses of hosts the hosts have recorded since a time.
func lostSince(c *cluster, since time.Time) int {
	lost := 0
	c.forEachUp(func(n *node) {
		for _, e := range eventsOf(n, timeline.HostLost) {
			if e.Stamp.Time().After(since) {
				lost++
			}
		}
	})
	return lost
}

// TestHostsThatJoinALargeFleetHearFromIt starts hosts that no other one knows. The relay of a zone
// sends reports only to the hosts that it knows.
func TestHostsThatJoinALargeFleetHearFromIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(41, 60)
	c.run(9 * time.Second)
	joined := c.now
	var added []*node
	for i, z := range []zone.ID{"a", "b", "c"} {
		for k := range 8 {
			address := fmt.Sprintf("10.%d.1.%d:7000", i, k)
			c.addresses = append(c.addresses, address)
			added = append(added, c.start(address, z, false))
		}
	}
	c.run(1500 * time.Millisecond)
	hosts := len(c.addresses)
	for _, n := range added {
		is.Equal(n.snapshot.LiveHosts, hosts)
	}
	is.Equal(lostSince(c, joined), 0)
	c.run(2500 * time.Millisecond)
	is.True(c.allUp(func(n *node) bool { return n.snapshot.LiveHosts == hosts }))
	is.Equal(lostSince(c, joined), 0)
}

// TestRestartOfAllHostsOfALargeFleetLosesNobody kills all processes at the same moment.
func TestRestartOfAllHostsOfALargeFleetLosesNobody(t *testing.T) {
	is := is.New(t)
	c := newCluster(42, 60)
	c.run(9 * time.Second)
	for _, address := range c.addresses {
		c.kill(address)
	}
	c.run(time.Second)
	restarted := c.now
	for _, address := range c.addresses {
		c.restart(address)
	}
	c.run(3 * time.Second)
	is.True(c.allUp(func(n *node) bool { return n.snapshot.Ready && n.snapshot.LiveHosts == len(c.addresses) }))
	is.Equal(lostSince(c, restarted), 0)
}

// TestSlowlyStartingRelayIsNotReplacedBySmallHosts starts all hosts anew. Nothing is heard of the
// largest host of each zone for a little longer than of the others.
func TestSlowlyStartingRelayIsNotReplacedBySmallHosts(t *testing.T) {
	is := is.New(t)
	c := newCluster(43, 20)
	large := map[string]bool{"10.0.0.5:7000": true, "10.1.0.5:7000": true, "10.2.0.5:7000": true}
	c.capacity = func(address string) int {
		if large[address] {
			return 80
		}
		return 16
	}
	c.run(6 * time.Second)
	for _, address := range c.addresses {
		c.kill(address)
	}
	c.run(time.Second)
	c.partition = func(a, b string) bool { return large[a] || large[b] }
	for _, address := range c.addresses {
		c.restart(address)
	}
	c.run(700 * time.Millisecond)
	c.partition = nil
	c.run(800 * time.Millisecond)
	c.forEachUp(func(n *node) { is.True(large[n.core.relayOf(n.config.Self.Zone, c.now).Address]) })
}

// TestRelayOfWhichOnlyHeartbeatsArriveIsNotLost starts all hosts anew and lets the largest host of
// each zone be heard from at different moments: its full reports may have been sent before.
func TestRelayOfWhichOnlyHeartbeatsArriveIsNotLost(t *testing.T) {
	for heal := 150 * time.Millisecond; heal < 900*time.Millisecond; heal += 50 * time.Millisecond {
		is := is.New(t)
		c := newCluster(43, 20)
		large := map[string]bool{"10.0.0.5:7000": true, "10.1.0.5:7000": true, "10.2.0.5:7000": true}
		c.capacity = func(address string) int {
			if large[address] {
				return 80
			}
			return 16
		}
		c.run(6 * time.Second)
		for _, address := range c.addresses {
			c.kill(address)
		}
		c.run(time.Second)
		c.partition = func(a, b string) bool { return large[a] || large[b] }
		restarted := c.now
		for _, address := range c.addresses {
			c.restart(address)
		}
		c.run(heal)
		c.partition = nil
		c.run(1500*time.Millisecond - heal)
		is.Equal(lostSince(c, restarted), 0)
		c.forEachUp(func(n *node) { is.True(large[n.core.relayOf(n.config.Self.Zone, c.now).Address]) })
	}
}
