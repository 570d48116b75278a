package host

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/target"
)

func (c *cluster) knowsSigns(name string) bool {
	return c.nodes[name].snapshot.KnowsSigns("catalogue", c.now)
}

// outsideOf returns a host that is not in a set.
func (c *cluster) outsideOf(set []string) string {
	return c.names[slices.IndexFunc(c.names, func(name string) bool { return !slices.Contains(set, name) })]
}

// What a host outside the set was told, it relies on for less than half of the
// 3 s after which a leaving target gets no new work.
func TestHostOutsideTheSetReliesOnAnAnswerForAShortTime(t *testing.T) {
	is := is.New(t)
	c, set := frontedCluster(t)
	outside := c.outsideOf(set)
	is.True(!c.knowsSigns(outside))
	c.handle(outside, SignsWanted{Service: "catalogue"})
	c.run(50 * time.Millisecond)
	is.True(c.knowsSigns(outside))
	c.run(signTime / 2)
	is.True(!c.knowsSigns(outside))
}

// signTime is how old a sign may be when a target still gets new work.
const signTime = 3 * time.Second

func TestHostOutsideTheSetFollowsAnswers(t *testing.T) {
	is := is.New(t)
	c, set := frontedCluster(t)
	c.run(2 * carrierTime) // nobody takes it for a carrier from its start
	outside := c.outsideOf(set)
	key := target.Key{Service: "catalogue", Name: "t1"}
	c.handle(set[0], ProbeAnswered{Target: key, OK: true, Leaving: true})
	c.run(time.Second)
	is.Equal(c.targetState(outside, key), target.Active) // not told so far
	c.handle(outside, SignsWanted{Service: "catalogue"})
	c.run(50 * time.Millisecond)
	is.Equal(c.targetState(outside, key), target.Leaving)
	is.Equal(len(c.nodes[outside].core.Leaving([]string{"catalogue"})), 0) // hearsay is not passed on
	for range cleanProbes {
		c.handle(set[0], ProbeAnswered{Target: key, OK: true})
	}
	c.run(2 * time.Second)
	c.handle(outside, SignsWanted{Service: "catalogue"})
	c.run(time.Second)
	is.True(c.targetState(outside, key) != target.Leaving)
}

// cleanProbes is more than a target needs to withdraw its sign.
const cleanProbes = 3

// One host of the set that was not told does not outvote one that was.
func TestOneAnswerWithASignIsEnough(t *testing.T) {
	is := is.New(t)
	c, set := frontedCluster(t)
	outside := c.outsideOf(set)
	c.handle(outside, SignsWanted{Service: "catalogue"})
	st := c.nodes[outside].core.signs["catalogue"]
	asked := make([]ID, 0, signsAsked)
	for id := range st.round.pending {
		asked = append(asked, id)
	}
	is.Equal(len(asked), signsAsked)
	key := target.Key{Service: "catalogue", Name: "t1"}
	c.handle(set[0], ProbeAnswered{Target: key, OK: true, Leaving: true})
	leaving := c.nodes[set[0]].core.Leaving([]string{"catalogue"})
	is.Equal(len(leaving), 1)
	for i, id := range asked {
		ev := ReportsAnswered{From: id, SignsOf: []string{"catalogue"}}
		if i == 0 {
			ev.Leaving = leaving
		}
		c.handle(outside, ev)
	}
	is.Equal(c.targetState(outside, key), target.Leaving)
}

// A host that joins the set may have missed a sign, so it asks before it takes
// itself to know; without an answer it serves after a second all the same.
func TestNewMemberAsksForSigns(t *testing.T) {
	is := is.New(t)
	c, set := frontedCluster(t)
	core := c.nodes[set[0]].core
	full := core.entrySets["catalogue"]
	join := func() {
		core.noteMembership(c.now, full, EntrySet{Service: "catalogue"})
		core.noteMembership(c.now, EntrySet{Service: "catalogue"}, full)
		core.outdated |= viewOther
		c.handle(set[0], Tick{})
	}
	is.True(c.knowsSigns(set[0]))
	c.run(2 * signsKept)
	join()
	is.True(!c.knowsSigns(set[0]))
	is.Equal(len(core.signs["catalogue"].round.pending), signsAsked)
	c.handle(set[0], ReportsAnswered{From: anyOf(core.signs["catalogue"].round.pending), SignsOf: []string{"catalogue"}})
	c.run(signsPatience + TickInterval)
	is.True(c.knowsSigns(set[0]))
	c.cut = func(from, to string) bool { return from == set[0] || to == set[0] }
	c.run(2 * signsKept)
	join()
	is.True(!c.knowsSigns(set[0]))
	c.run(signsGiveUp + TickInterval)
	is.True(c.knowsSigns(set[0]))
}

func anyOf(ids map[ID]bool) ID {
	for id := range ids {
		return id
	}
	return ""
}
