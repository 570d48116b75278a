package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
)

// cutOffFirstReaders cuts the first hosts in rank order off from the store and returns them.
func (c *cluster) cutOffFirstReaders(n int) map[string]bool {
	for _, address := range c.rankOrder()[:n] {
		c.storeCutOff[address] = true
	}
	return c.storeCutOff
}

// timeInForce configures a version and returns when it is in force at all hosts that reach the
// store.
func (c *cluster) timeInForce(v discovery.Version) time.Duration {
	began := c.now
	c.configure(v)
	for c.now.Sub(began) < 10*time.Second {
		c.run(10 * time.Millisecond)
		if c.allUp(func(n *node) bool { return c.storeCutOff[n.address] || n.snapshot.Configuration.Version >= v }) {
			break
		}
	}
	return c.now.Sub(began)
}

// TestConfigurationIsInForceWhileTheFirstReadersAreCutOff guards against hosts in touch with the
// store that go on by an old configuration, because the hosts that read for all of them cannot
// reach the store.
func TestConfigurationIsInForceWhileTheFirstReadersAreCutOff(t *testing.T) {
	for _, test := range []struct {
		perZone, cut int
		// readsPerSecond is what the fleet may read of the store, which takes 2,000 reads a
		// second of all hosts.
		readsPerSecond float64
	}{{6, 6, 40}, {6, 12, 40}, {16, 40, 40}, {34, 6, 60}, {34, 40, 60}, {98, 6, 60}, {98, 40, 60}} {
		for _, hangs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, %d cut off, hanging %t", 3*test.perZone, test.cut, hangs), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				changes := 200 / test.perZone // the time that a large fleet takes grows with its square
				c := newCluster(uint64(test.perZone+test.cut), test.perZone)
				c.storeHangs = hangs
				c.run(8 * time.Second)
				v, longest, calls, began := discovery.Version(2), time.Duration(0), 0, c.now
				for cut := range 2 {
					c.cutOffFirstReaders(test.cut)
					before := c.storeCalls
					for range changes {
						longest = max(longest, c.timeInForce(v))
						v++
						c.run(time.Duration(c.rand.Int64N(int64(2 * time.Second))))
					}
					calls += c.storeCalls - before
					clear(c.storeCutOff)
					c.run(time.Duration(3+cut) * time.Second)
				}
				reads := float64(calls) / c.now.Sub(began).Seconds()
				t.Logf("in force after %s at most, %.1f reads a second", longest, reads)
				is.True(longest < applyBound)
				is.True(reads < test.readsPerSecond)
			})
		}
	}
}

// TestReadsOfAStoreThatIsDown bounds what a store gets that is down, so that it can come back.
func TestReadsOfAStoreThatIsDown(t *testing.T) {
	for _, perZone := range []int{6, 34, 98} {
		t.Run(fmt.Sprint(3*perZone, " hosts"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(uint64(perZone), perZone)
			c.run(8 * time.Second)
			c.storeDown = true
			busiest := 0
			before := c.storeCalls
			for range 10 {
				second := c.storeCalls
				c.run(time.Second)
				busiest = max(busiest, c.storeCalls-second)
			}
			t.Logf("%d reads in 10 s, %d in the busiest second", c.storeCalls-before, busiest)
			// Each host but the first ones asks for two documents every 4 s, with a spread.
			is.True(c.storeCalls-before <= 20+2*3*perZone*10/4)
			is.True(busiest <= 20+2*3*perZone)
		})
	}
}
