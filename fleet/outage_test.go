package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
)

// disturbance separates hosts from the store for some seconds.
type disturbance struct {
	name string
	// begin and end disturb the cluster and, in those that concern one host, that host.
	begin, end func(c *cluster, host string)
	// storeAway is set if the store serves nobody, so that rows of targets that are alive lapse.
	storeAway bool
	// loses is set if the host loses what it knows.
	loses bool
}

var disturbances = []disturbance{
	{name: "outage", storeAway: true, begin: func(c *cluster, _ string) { c.storeDown = true }, end: func(c *cluster, _ string) { c.storeDown = false }},
	{
		name: "silent outage", storeAway: true, begin: func(c *cluster, _ string) { c.storeDown, c.storeHangs = true, true },
		end: func(c *cluster, _ string) { c.storeDown, c.storeHangs = false, false },
	},
	{name: "cut of the host from the store", begin: func(c *cluster, host string) { c.storeCutOff[host] = true }, end: func(c *cluster, _ string) { clear(c.storeCutOff) }},
	{
		name: "cut of the host from all", begin: func(c *cluster, host string) {
			c.storeHangs, c.storeCutOff[host] = true, true
			c.partition = func(a, b string) bool { return a == host || b == host }
		},
		end: func(c *cluster, _ string) {
			c.partition, c.storeHangs = nil, false
			clear(c.storeCutOff)
		},
	},
	{
		name: "cut of all hosts", begin: func(c *cluster, _ string) {
			for _, a := range c.addresses {
				c.storeCutOff[a] = true
			}
		},
		end: func(c *cluster, _ string) { clear(c.storeCutOff) },
	},
	{name: "pause of the host", begin: func(c *cluster, host string) { c.pauseHost(host) }, end: func(c *cluster, host string) { c.resumeHost(host) }},
	{
		name: "restart in an outage", storeAway: true, loses: true,
		begin: func(c *cluster, host string) {
			c.storeDown = true
			c.kill(host)
			c.schedule(time.Second, func() { c.restart(host) })
		},
		end: func(c *cluster, _ string) { c.storeDown = false },
	},
}

// reRegister writes the row of a target that is alive within two seconds of the store's return.
func (c *cluster) reRegister(t discovery.Target) {
	c.schedule(time.Duration(100+c.rand.IntN(1900))*time.Millisecond, func() { c.putTarget(t) })
}

// TestTargetsWithoutRowsAfterADisturbance covers both errors: a target that is gone and stays in use since
// its row is taken to have lapsed in an outage, and one that is alive and out of use although its row
// only lapsed. Each is played where the store was away and where it served others meanwhile.
func TestTargetsWithoutRowsAfterADisturbance(t *testing.T) {
	for _, d := range disturbances {
		for _, hosts := range []int{1, 3, 18, 48} {
			t.Run(fmt.Sprintf("%s, %d hosts", d.name, hosts), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(max(4, 60/hosts)) {
					playTargetsWithoutRows(t, d, hosts, seed)
				}
			})
		}
	}
}

func playTargetsWithoutRows(t *testing.T, d disturbance, hosts int, seed uint64) {
	t.Helper()
	is := is.New(t)
	c := newFleetOf(seed, hosts)
	host := c.addresses[0]
	targets := make(map[string]discovery.Target)
	for n, name := range []string{"alive", "drained", "removed", "crashed", "born again"} {
		target := discovery.Target{ID: name, Born: 1, Service: "orders", Address: fmt.Sprintf("10.9.0.%d:7000", n), Zone: "a", Slots: 4}
		targets[name] = target
		c.putTarget(target)
	}
	c.run(time.Second)
	is.True(c.allUp(func(n *node) bool { return routesTo(n, "alive") && routesTo(n, "removed") }))

	d.begin(c, host)
	length := 3*time.Second + time.Duration(c.rand.Int64N(int64(4*time.Second)))
	if d.storeAway {
		c.run(length) // nobody writes; what has lapsed is gone when the store returns
	} else {
		c.run(length / 2)
	}
	leaving := targets["drained"]
	leaving.Leaving = true
	c.putTarget(leaving)
	reborn := targets["born again"]
	reborn.Born = 2
	c.putTarget(reborn)
	c.dropTarget("removed")
	c.dropTarget("crashed")
	if d.storeAway {
		c.dropTarget("alive")
		c.dropTarget("born again")
		c.reRegister(targets["alive"])
		c.reRegister(reborn)
	} else {
		c.run(length / 2)
	}
	c.dropTarget("drained")
	d.end(c, host)
	ended := c.now
	for c.now.Sub(ended) < 5*time.Second {
		c.run(20 * time.Millisecond)
		since := c.now.Sub(ended)
		c.forEachUp(func(n *node) {
			if d.loses && n.address == host && since < storeReturnBound {
				return // it starts with what its peers or the store have
			}
			if !routesTo(n, "alive") {
				t.Fatalf("seed %d: %s after the end, %s does not use a target that is alive", seed, since, n.address)
			}
			if since < storeReturnBound {
				return
			}
			for _, gone := range []string{"drained", "removed", "crashed"} {
				if routesTo(n, gone) {
					t.Fatalf("seed %d: %s after the end, %s uses the target %q", seed, since, n.address, gone)
				}
			}
			if got := findTarget(n, "born again"); got == nil || got.Registration.Born != 2 {
				t.Fatalf("seed %d: %s after the end, %s uses the earlier incarnation of a target", seed, since, n.address)
			}
		})
	}
}

// TestChangesArePushedAfterReadingsWithoutAny guards against pushes that no host can apply, because the
// reader's revision has risen without a change of the contents.
func TestChangesArePushedAfterReadingsWithoutAny(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 41)
	for id := range 5 {
		c.revision += 3 // others write to the store
		c.run(2 * time.Second)
		before := c.targetFetches
		c.putTarget(discovery.Target{ID: fmt.Sprint("new-", id), Service: "orders", Address: "10.9.0.1:7000", Zone: "a", Slots: 4})
		c.run(100 * time.Millisecond)
		is.True(c.allUp(func(n *node) bool { return routesTo(n, fmt.Sprint("new-", id)) }))
		is.Equal(c.targetFetches, before)
	}
}
