package host

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestChangesAfterARestoreOfTheTableAreInForce covers a table that has lost its latest changes: none
// of them is taken back, what is published next is in force on every host, and a host that starts
// has both.
func TestChangesAfterARestoreOfTheTableAreInForce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.publishContract(testContract("a", 2, 1))
	c.run(10 * time.Second)
	c.publishContract(testContract("a", 3, 1))
	c.publishContract(testContract("b", 4, 1))
	c.run(10 * time.Second)
	inForce := func(a, b int) bool {
		return c.allRunning(func(_ string, n *node) bool {
			sa, sb := n.core.services["a"], n.core.services["b"]
			return sa != nil && sb != nil && len(sa.Contract.Targets) == a && len(sb.Contract.Targets) == b
		})
	}
	is.True(inForce(3, 4))
	c.restoreStore(1)
	for range 100 {
		c.run(100 * time.Millisecond)
		is.True(inForce(3, 4))
	}
	is.True(c.allHaveRevision(1))
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.core.Kept()) == 2 }))
	c.publishContract(testContract("a", 5, 1)) // its revision was given out before
	c.run(10 * time.Second)
	is.True(inForce(5, 4))
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.core.Kept()) == 1 }))
	c.start("h03", 3) // a new incarnation
	c.run(10 * time.Second)
	is.True(inForce(5, 4))
	is.True(c.allRunning(func(_ string, n *node) bool { return len(n.core.Kept()) == 1 }))
}
