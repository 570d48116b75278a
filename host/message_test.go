package host

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// updateAbout returns the update about one host in a message of another.
func (c *cluster) updateAbout(sender, subject string) (Update, bool) {
	for _, u := range c.nodes[sender].core.Message(c.now, "h01").Updates {
		if u.Identity.ID == ID(subject) {
			return u, true
		}
	}
	return Update{}, false
}

func TestUpdatesAboutKnownHostsAreCompact(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(fullIdentityTime + 15*time.Second)
	c.stop("h04")
	c.run(6 * time.Second)
	u, found := c.updateAbout("h00", "h04")
	is.True(found)
	is.True(u.Identity.isCompact())
	c.run(30 * time.Second)
	is.True(c.allRunning(func(name string, _ *node) bool { return c.state(name, "h04") == PeerGone }))
	c.resume("h04")
	c.run(30 * time.Second)
	self := c.nodes["h04"].core.Self()
	is.True(self.Sequence > 0)
	is.True(c.allRunning(func(name string, n *node) bool {
		return name == "h04" || c.state(name, "h04") == PeerAlive && n.core.peers["h04"].Identity == self
	}))
}

func TestUpdatesAboutNewIncarnationsAreFull(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(fullIdentityTime + 15*time.Second)
	core := c.nodes["h00"].core
	restarted := core.peers["h05"].Identity
	restarted.Incarnation += 100
	core.applyUpdate(c.now, Update{Identity: restarted, State: PeerAlive})
	u, found := c.updateAbout("h00", "h05")
	is.True(found)
	is.Equal(u.Identity, restarted)
}

func TestCompactUpdateOfAnUnknownIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.run(15 * time.Second)
	core := c.nodes["h00"].core
	known := core.peers["h01"].Identity
	core.applyUpdate(c.now, Update{Identity: Identity{ID: "h09", Incarnation: 1}.compact(), State: PeerSuspect})
	is.True(core.peers["h09"] == nil)
	later := known
	later.Incarnation++
	core.applyUpdate(c.now, Update{Identity: later.compact(), State: PeerGone})
	is.Equal(core.peers["h01"].Identity, known)
	is.Equal(core.peers["h01"].State, PeerAlive)
	later = known
	later.Sequence++
	later.Leaving = true
	core.applyUpdate(c.now, Update{Identity: later.compact(), State: PeerAlive})
	is.Equal(core.peers["h01"].Identity, later)
}
