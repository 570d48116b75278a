package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/timeline"
)

// TestGoneTargetsAfterTwoDisturbances plays two disturbances at a time, of two hosts where they concern
// one host, that end at different times: no target that is gone is in use once both have ended for long
// enough, and new targets are in use.
func TestGoneTargetsAfterTwoDisturbances(t *testing.T) {
	for i, first := range disturbances {
		for _, second := range disturbances[i+1:] {
			for _, hosts := range []int{6, 18} {
				t.Run(fmt.Sprintf("%s and %s, %d hosts", first.name, second.name, hosts), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(6) {
						playTwoDisturbances(t, first, second, hosts, seed)
					}
				})
			}
		}
	}
}

func playTwoDisturbances(t *testing.T, first, second disturbance, hosts int, seed uint64) {
	t.Helper()
	is := is.New(t)
	c := newFleetOf(seed, hosts)
	one, other := c.addresses[0], c.addresses[hosts/3]
	gone := []string{"early", "between", "late"}
	for n, name := range append(gone, "new") {
		if name != "new" {
			c.putTarget(discovery.Target{ID: name, Born: 1, Service: "orders", Address: fmt.Sprintf("10.9.0.%d:7000", n), Zone: "a", Slots: 4})
		}
	}
	c.run(time.Second)
	is.True(c.allUp(func(n *node) bool { return routesTo(n, "early") && routesTo(n, "late") }))

	pause := func(limit time.Duration) { c.run(time.Duration(c.rand.Int64N(int64(limit)))) }
	first.begin(c, one)
	pause(2 * time.Second)
	second.begin(c, other)
	pause(time.Second)
	c.dropTarget("early")
	pause(4 * time.Second)
	c.dropTarget("between")
	first.end(c, one)
	pause(time.Second)
	c.dropTarget("late")
	c.putTarget(discovery.Target{ID: "new", Born: 1, Service: "orders", Address: "10.9.0.9:7000", Zone: "a", Slots: 4})
	second.end(c, other)
	c.endOutage()
	clear(c.storeCutOff)
	c.partition = nil
	c.run(storeReturnBound)
	for range 100 {
		c.forEachUp(func(n *node) {
			for _, name := range gone {
				if routesTo(n, name) {
					t.Fatalf("seed %d: %s uses the target %q", seed, n.address, name)
				}
			}
			if !routesTo(n, "new") {
				t.Fatalf("seed %d: %s does not use a new target", seed, n.address)
			}
		})
		c.run(20 * time.Millisecond)
	}
}

// TestHostsStayKnownAfterAPause guards against zones whose relays exclude each other for good: each sends to
// another host of the other's zone, since it has heard nothing from the first.
func TestHostsStayKnownAfterAPause(t *testing.T) {
	for _, hosts := range []int{3, 6, 18} {
		for _, pause := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
			for seed := range uint64(4) {
				c := newFleetOf(seed, hosts)
				c.pauseHost(c.addresses[0])
				c.run(pause)
				c.resumeHost(c.addresses[0])
				c.run(3 * time.Second)
				healed := c.now.UnixMilli()
				c.run(8 * time.Second)
				for _, address := range c.addresses {
					for _, e := range eventsOf(c.hosts[address], timeline.HostLost) {
						if e.Stamp.Wall > healed {
							t.Fatalf("%d hosts, paused for %s, seed %d: %s loses %s: %s", hosts, pause, seed, address, e.From, e.Reason)
						}
					}
				}
			}
		}
	}
}
