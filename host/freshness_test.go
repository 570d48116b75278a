package host

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
)

func (c *cluster) allHaveRevision(revision uint64) bool {
	return c.allRunning(func(_ string, n *node) bool { return n.snapshot.Revision == revision })
}

func TestChangeIsInForceEverywhereWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 48)
	c.run(20 * time.Second)
	for i := range 20 {
		c.publishContract(testContract("catalogue", 3, float64(i)))
		c.handle("h17", c.readStore(c.nodes["h17"].core.Position()))
		c.run(2 * time.Second)
		is.True(c.allHaveRevision(uint64(i + 1)))
	}
}

func TestChangeIsFoundByPollsWhenTheAcceptingHostDies(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12)
	c.run(20 * time.Second)
	c.publishContract(testContract("catalogue", 3, 1))
	c.run(5 * time.Second)
	is.True(c.allHaveRevision(1))
}

// TestReplacedHostsFetchFromPeersDuringAStoreOutage replaces all hosts but one
// while the store is unavailable. No host may become ready before it knows the
// configuration, or serve an earlier one.
func TestReplacedHostsFetchFromPeersDuringAStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12)
	c.publishContract(testContract("catalogue", 3, 1))
	c.publishContract(testContract("checkout", 3, 1))
	c.run(20 * time.Second)
	is.True(c.allHaveRevision(2))
	c.storeUnavailable = true
	for i, name := range c.names[:11] {
		c.start(name, i)
	}
	for range 30 {
		c.run(time.Second)
		is.True(c.allRunning(func(_ string, n *node) bool { return !n.snapshot.Ready || n.snapshot.Revision == 2 }))
	}
	is.True(c.allHaveRevision(2))
	is.True(c.allRunning(func(_ string, n *node) bool { return n.snapshot.Ready }))
}

func TestNewFleetDuringAStoreOutageIsNotReady(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6)
	c.storeUnavailable = true
	for range 60 {
		c.run(time.Second)
		is.True(c.allRunning(func(_ string, n *node) bool { return !n.snapshot.Ready && len(n.snapshot.Directory) == 0 }))
	}
	c.storeUnavailable = false
	c.run(10 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return n.snapshot.Ready }))
}

func TestRemovedServiceStaysRemoved(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6)
	c.publishContract(testContract("catalogue", 3, 1))
	c.run(20 * time.Second)
	c.store = append(c.store, contract.Change{Revision: 2, Subject: "catalogue"})
	c.run(10 * time.Second)
	c.storeUnavailable = true
	c.start("h04", 4)
	c.run(10 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool {
		return n.snapshot.Revision == 2 && n.snapshot.Services["catalogue"] == nil
	}))
}

// TestPartitionedHostsLeaveTheDirectory separates two hosts from the store and
// from all other hosts. The two reach each other, but must not serve an old
// configuration indefinitely.
func TestPartitionedHostsLeaveTheDirectory(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 12)
	c.run(20 * time.Second)
	pair := func(name string) bool { return name == "h03" || name == "h04" }
	c.dropsMessage = func(from, to string) bool { return pair(from) != pair(to) }
	c.storeUnavailable = true
	c.run(90 * time.Second)
	is.True(!slices.Contains(directoryIDs(c.nodes["h03"]), "h03"))
	is.True(!slices.Contains(directoryIDs(c.nodes["h04"]), "h04"))
	is.Equal(len(c.nodes["h00"].snapshot.Directory), 10) // the other hosts continue to serve during the outage
	c.storeUnavailable = false
	c.dropsMessage = func(string, string) bool { return false }
	c.run(90 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.snapshot.Directory) == 12 }))
}

func TestUnreadableDocumentDoesNotBlockOtherChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.publishContract(testContract("catalogue", 3, 1))
	c.run(10 * time.Second)
	c.store = append(c.store, contract.Change{Revision: 2, Subject: "catalogue", Document: []byte("x: [")})
	c.publishContract(testContract("checkout", 3, 1))
	c.run(10 * time.Second)
	is.True(c.allRunning(func(_ string, n *node) bool {
		return n.snapshot.Revision == 3 && n.snapshot.Services["catalogue"] != nil && n.snapshot.Services["checkout"] != nil
	}))
}

func TestPollsStayWithinTheFleetPollRate(t *testing.T) {
	is := is.New(t)
	is.Equal(pollPeriod(2*time.Second, 3), 2*time.Second)
	for _, hosts := range []int{48, 890} {
		reads := float64(hosts) / pollPeriod(2*time.Second, hosts).Seconds()
		is.True(reads <= fleetPollRate)
	}
}

func TestOlderResponseIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.publishContract(testContract("catalogue", 3, 1))
	older := c.readStore(history.Position{})
	c.publishContract(testContract("checkout", 3, 1))
	c.run(10 * time.Second)
	is.True(c.allHaveRevision(2))
	c.handle("h01", older)
	is.Equal(c.nodes["h01"].core.Revision(), uint64(2))
}
