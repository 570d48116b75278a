package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
)

// outages are the ways in which a store can be away from a cluster.
var outages = []struct {
	name  string
	begin func(c *cluster)
}{
	{"refused", func(c *cluster) { c.storeDown = true }},
	{"silent", func(c *cluster) { c.storeDown, c.storeHangs = true, true }},
	{"one call of two", func(c *cluster) {
		c.storeFails = func(_ string, call int) bool { return call%2 == 0 }
	}},
	{"one table, silent", func(c *cluster) {
		c.storeHangs = true
		c.storeFails = func(document string, _ int) bool { return document == "config" }
	}},
}

// endOutage makes the store serve all hosts that are not cut off. Calls that it did not answer stay
// without an answer.
func (c *cluster) endOutage() { c.storeDown, c.storeHangs, c.storeFails = false, false, nil }

// newFleetOf returns a settled cluster of n hosts; n is a multiple of three or 1.
func newFleetOf(seed uint64, n int) *cluster {
	c := newCluster(seed, max(1, n/3))
	c.run(8 * time.Second)
	if n == 1 {
		c.kill(c.addresses[1])
		c.kill(c.addresses[2])
		c.run(3 * time.Second)
	}
	return c
}

// pauseHost stops a host without its state being lost, and resumeHost lets it go on with what has
// arrived meanwhile.
func (c *cluster) pauseHost(address string) { c.hosts[address].paused = true }

func (c *cluster) resumeHost(address string) {
	n := c.hosts[address]
	arrived := n.arrived
	n.paused, n.arrived, n.wake = false, nil, time.Time{}
	c.deliver(n, Tick{})
	for _, ev := range arrived {
		c.deliver(n, ev)
	}
}

// returnTime lets the store come back, configures a version soon after, and returns how long after the
// return it is in force at all hosts that f selects.
func (c *cluster) returnTime(v discovery.Version, counts func(n *node) bool) time.Duration {
	returned := c.now
	c.run(50 * time.Millisecond)
	c.configure(v)
	for c.now.Sub(returned) < 8*time.Second {
		if c.allUp(func(n *node) bool { return !counts(n) || n.snapshot.Configuration.Version >= v }) {
			break
		}
		c.run(10 * time.Millisecond)
	}
	return c.now.Sub(returned)
}

// TestStoreIsFollowedSoonAfterAnOutage guards against hosts that go on by an old configuration for
// seconds after the store has come back, because a read without an answer and a long delay add up.
func TestStoreIsFollowedSoonAfterAnOutage(t *testing.T) {
	const target = 2 * time.Second
	for _, hosts := range []int{1, 3, 18, 48, 102} {
		for _, outage := range outages {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, outage.name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newFleetOf(uint64(hosts), hosts)
				longest := time.Duration(0)
				for v := discovery.Version(2); v < discovery.Version(2+max(4, 60/hosts)); v++ {
					outage.begin(c)
					c.run(time.Second + time.Duration(c.rand.Int64N(int64(7*time.Second))))
					c.endOutage()
					longest = max(longest, c.returnTime(v, func(*node) bool { return true }))
					c.run(2 * time.Second)
				}
				t.Logf("in force after %s at most", longest)
				is.True(longest <= target)
			})
		}
	}
}

// TestStoreIsFollowedInTimeWithoutTheFirstHosts covers fleets whose first hosts in rank order cannot
// tell the others that the store is back.
func TestStoreIsFollowedInTimeWithoutTheFirstHosts(t *testing.T) {
	disturbances := []struct {
		name string
		// during runs half a second before the store returns, after as it returns.
		during, after func(c *cluster, address string)
	}{
		{"cut off", func(c *cluster, a string) { c.storeCutOff[a] = true }, func(*cluster, string) {}},
		{"killed", func(c *cluster, a string) { c.kill(a) }, func(*cluster, string) {}},
		{"paused", func(c *cluster, a string) { c.pauseHost(a) }, func(*cluster, string) {}},
		{"restarted at the end", func(c *cluster, a string) { c.kill(a) }, func(c *cluster, a string) { c.restart(a) }},
		{"resumed at the end", func(c *cluster, a string) { c.pauseHost(a) }, func(c *cluster, a string) { c.resumeHost(a) }},
	}
	for _, test := range []struct{ hosts, lost int }{{3, 2}, {6, 3}, {18, 6}, {48, 3}, {48, 47}, {102, 40}} {
		for _, d := range disturbances {
			for _, hangs := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d of %d hosts %s, hanging %t", test.lost, test.hosts, d.name, hangs), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					longest := time.Duration(0)
					for seed := range uint64(max(2, 30/test.hosts)) {
						c := newFleetOf(seed, test.hosts)
						c.storeDown, c.storeHangs = true, hangs
						c.run(2*time.Second + time.Duration(c.rand.Int64N(int64(4*time.Second))))
						disturbed := make(map[string]bool)
						for _, address := range c.rankOrder()[:test.lost] {
							disturbed[address] = true
							d.during(c, address)
						}
						c.run(500 * time.Millisecond)
						c.storeDown = false
						for _, address := range c.addresses {
							if disturbed[address] {
								d.after(c, address)
							}
						}
						longest = max(longest, c.returnTime(2, func(n *node) bool { return !disturbed[n.address] }))
					}
					t.Logf("in force after %s at most", longest)
					is.True(longest <= storeReturnBound)
				})
			}
		}
	}
}
