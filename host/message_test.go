package host

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// updateAbout returns what a message of a host says of another.
func (c *cluster) updateAbout(from, about string) (Update, bool) {
	for _, u := range c.nodes[from].core.Message(c.now, "h01").Updates {
		if u.Identity.ID == ID(about) {
			return u, true
		}
	}
	return Update{}, false
}

func TestHostsThatAreKnownAreToldBriefly(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(introductionTime + 15*time.Second)
	c.takeDown("h04")
	c.run(6 * time.Second)
	u, told := c.updateAbout("h00", "h04")
	is.True(told)
	is.True(u.Identity.isBrief())
	c.run(30 * time.Second)
	is.True(c.all(func(name string, _ *node) bool { return c.state(name, "h04") == PeerGone }))
	c.wake("h04")
	c.run(30 * time.Second)
	self := c.nodes["h04"].core.Self()
	is.True(self.Sequence > 0)
	is.True(c.all(func(name string, n *node) bool {
		return name == "h04" || c.state(name, "h04") == PeerAlive && n.core.peers["h04"].Identity == self
	}))
}

func TestHostsThatJoinAreToldInFull(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8)
	c.run(introductionTime + 15*time.Second)
	core := c.nodes["h00"].core
	restarted := core.peers["h05"].Identity
	restarted.Incarnation += 100
	core.learn(c.now, Update{Identity: restarted, State: PeerAlive})
	u, told := c.updateAbout("h00", "h05")
	is.True(told)
	is.Equal(u.Identity, restarted)
}

func TestBriefUpdateOfAnUnknownIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.run(15 * time.Second)
	core := c.nodes["h00"].core
	known := core.peers["h01"].Identity
	core.learn(c.now, Update{Identity: Identity{ID: "h09", Incarnation: 1}.brief(), State: PeerSuspect})
	is.True(core.peers["h09"] == nil)
	later := known
	later.Incarnation++
	core.learn(c.now, Update{Identity: later.brief(), State: PeerGone})
	is.Equal(core.peers["h01"].Identity, known)
	is.Equal(core.peers["h01"].State, PeerAlive)
	later = known
	later.Sequence++
	later.Leaving = true
	core.learn(c.now, Update{Identity: later.brief(), State: PeerAlive})
	is.Equal(core.peers["h01"].Identity, later)
}
