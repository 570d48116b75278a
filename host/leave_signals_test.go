package host

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/target"
)

func (c *cluster) knowsLeaveSignals(name string) bool {
	return c.nodes[name].snapshot.KnowsLeaveSignals("catalogue", c.now)
}

// hostOutside returns a host that is not in a set.
func (c *cluster) hostOutside(set []string) string {
	return c.names[slices.IndexFunc(c.names, func(name string) bool { return !slices.Contains(set, name) })]
}

// A host outside the entry set uses a response for less than half of
// leaveGracePeriod, 3 s.
func TestLeaveResponseExpiresOutsideTheEntrySet(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	outside := c.hostOutside(set)
	is.True(!c.knowsLeaveSignals(outside))
	c.handle(outside, LeaveSignalsRequested{Service: "catalogue"})
	c.run(50 * time.Millisecond)
	is.True(c.knowsLeaveSignals(outside))
	c.run(leaveGracePeriod / 2)
	is.True(!c.knowsLeaveSignals(outside))
}

// leaveGracePeriod is how long after a leave signal a target may still get new
// requests.
const leaveGracePeriod = 3 * time.Second

func TestHostOutsideTheEntrySetFollowsLeaveResponses(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	c.run(2 * outsideReportTime) // no host counts as an outside reporter any more
	outside := c.hostOutside(set)
	key := target.Key{Service: "catalogue", Name: "t1"}
	c.handle(set[0], ProbeEnded{Target: key, OK: true, Leaving: true})
	c.run(time.Second)
	is.Equal(c.targetState(outside, key), target.Active) // it has not queried since
	c.handle(outside, LeaveSignalsRequested{Service: "catalogue"})
	c.run(50 * time.Millisecond)
	is.Equal(c.targetState(outside, key), target.Leaving)
	is.Equal(len(c.nodes[outside].core.LeavingTargets([]string{"catalogue"})), 0) // signals from responses are not passed on
	for range probesWithoutSignal {
		c.handle(set[0], ProbeEnded{Target: key, OK: true})
	}
	c.run(2 * time.Second)
	c.handle(outside, LeaveSignalsRequested{Service: "catalogue"})
	c.run(time.Second)
	is.True(c.targetState(outside, key) != target.Leaving)
}

// probesWithoutSignal exceeds the number of consecutive probes without a drain
// header after which the leave signal of a target is withdrawn.
const probesWithoutSignal = 3

// A response from an entry host that has not received the leave signal must not
// override one from a host that has.
func TestOneResponseWithALeaveSignalIsEnough(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	outside := c.hostOutside(set)
	c.handle(outside, LeaveSignalsRequested{Service: "catalogue"})
	st := c.nodes[outside].core.leaveSignals["catalogue"]
	queried := make([]ID, 0, leaveQueryFanout)
	for id := range st.query.pending {
		queried = append(queried, id)
	}
	is.Equal(len(queried), leaveQueryFanout)
	key := target.Key{Service: "catalogue", Name: "t1"}
	c.handle(set[0], ProbeEnded{Target: key, OK: true, Leaving: true})
	leaving := c.nodes[set[0]].core.LeavingTargets([]string{"catalogue"})
	is.Equal(len(leaving), 1)
	for i, id := range queried {
		ev := SendReportsEnded{From: id, LeaveSignalsOf: []string{"catalogue"}}
		if i == 0 {
			ev.Leaving = leaving
		}
		c.handle(outside, ev)
	}
	is.Equal(c.targetState(outside, key), target.Leaving)
}

// A host that joins the entry set may have missed a leave signal. It therefore
// queries other entry hosts before it assumes that it knows all leave signals.
// Without a response, it assumes so after a second.
func TestNewEntryHostQueriesLeaveSignals(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	core := c.nodes[set[0]].core
	full := core.entrySets["catalogue"]
	join := func() {
		core.updateEntrySetMembership(c.now, full, EntrySet{Service: "catalogue"})
		core.updateEntrySetMembership(c.now, EntrySet{Service: "catalogue"}, full)
		core.staleParts |= partOther
		c.handle(set[0], Tick{})
	}
	is.True(c.knowsLeaveSignals(set[0]))
	c.run(2 * leaveResponseRetention)
	join()
	is.True(!c.knowsLeaveSignals(set[0]))
	is.Equal(len(core.leaveSignals["catalogue"].query.pending), leaveQueryFanout)
	c.handle(set[0], SendReportsEnded{From: anyID(core.leaveSignals["catalogue"].query.pending), LeaveSignalsOf: []string{"catalogue"}})
	c.run(leaveQueryTimeout + TickInterval)
	is.True(c.knowsLeaveSignals(set[0]))
	c.dropsMessage = func(from, to string) bool { return from == set[0] || to == set[0] }
	c.run(2 * leaveResponseRetention)
	join()
	is.True(!c.knowsLeaveSignals(set[0]))
	c.run(joinQueryTimeout + TickInterval)
	is.True(c.knowsLeaveSignals(set[0]))
}

func anyID(ids map[ID]bool) ID {
	for id := range ids {
		return id
	}
	return ""
}
