package host

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

// clusterWithEntrySet returns a fleet with a service "catalogue", and the names
// of its entry hosts.
func clusterWithEntrySet(t *testing.T) (*cluster, []string) {
	c := newCluster(t, 12)
	service := testContract("catalogue", 30, 600)
	service.Health.Path, service.Health.Interval = "/health", 10*time.Second
	c.publishContract(service)
	c.run(20 * time.Second)
	var set []string
	for _, m := range c.nodes["h00"].snapshot.EntrySets["catalogue"].Members {
		set = append(set, string(m.ID))
	}
	return c, set
}

// observe makes each host observe one request to a target per second, with the
// given outcome.
func (c *cluster) observe(hosts []string, key target.Key, outcome link.Outcome, seconds int) {
	for range seconds {
		for _, name := range hosts {
			c.handle(name, Observed{Observations: []link.Observation{{
				Target: key, Outcome: outcome, Latency: time.Millisecond, Started: c.now, At: c.now,
			}}})
		}
		c.run(time.Second)
	}
}

func (c *cluster) zoneOf(name string) zone.ID { return c.nodes[name].core.Self().Zone }

func (c *cluster) targetState(name string, key target.Key) target.State {
	return c.nodes[name].core.services[key.Service].State(key.Name)
}

func TestEvidenceOfEntryHostsEjectsAFailingTarget(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	failing, healthy := target.Key{Service: "catalogue", Name: "t1"}, target.Key{Service: "catalogue", Name: "t2"}
	c.observe(set, healthy, link.Succeeded, 5)
	c.observe(set, failing, link.Failed, 5)
	for _, name := range set {
		is.Equal(c.targetState(name, failing), target.Ejected)
		is.Equal(c.targetState(name, healthy), target.Active)
	}
}

func TestEvidenceOfOneHostEjectsNoTarget(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	key := target.Key{Service: "catalogue", Name: "t1"}
	c.observe(set, key, link.Succeeded, 5)
	for range 30 {
		c.observe(set[:1], key, link.Failed, 1)
		c.observe(set[1:], key, link.Succeeded, 1)
		for _, name := range set[1:] {
			is.Equal(c.targetState(name, key), target.Active)
		}
	}
}

func TestLeaveSignalReachesEntryHostsAtOnce(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	key := target.Key{Service: "catalogue", Name: "t3"}
	outside := ""
	for _, name := range c.names {
		if !c.nodes[name].snapshot.IsEntryHost("catalogue") {
			outside = name
		}
	}
	c.handle(outside, OperatorDrain{Target: key})
	c.run(2*TickInterval + 2*messageLatency) // sooner than reportInterval
	for _, name := range set {
		is.Equal(c.targetState(name, key), target.Leaving)
	}
	// A host that joins the set later learns of the leave signal at once, not
	// only when reports are repeated.
	stopped := slices.IndexFunc(set, func(name string) bool { return c.zoneOf(name) != c.zoneOf(outside) })
	c.stop(set[stopped])
	seconds := make(map[ID]int)
	for range 40 {
		c.run(time.Second)
		for _, m := range c.nodes[outside].snapshot.EntrySets["catalogue"].Members {
			seconds[m.ID]++
			if seconds[m.ID] > 2 && string(m.ID) != set[stopped] {
				is.Equal(c.targetState(string(m.ID), key), target.Leaving)
			}
		}
	}
	is.True(len(seconds) > len(set)) // another host has joined the set
}

func TestEvidenceOfAnUnknownIncarnationDoesNotCount(t *testing.T) {
	is := is.New(t)
	c, set := clusterWithEntrySet(t)
	key := target.Key{Service: "catalogue", Name: "t3"}
	reports := []service.TargetReport{{Target: key, Report: target.Report{Sequence: 1, Leaving: true}}}
	from := c.nodes[set[1]].core.Self()
	older := from
	older.Incarnation--
	c.handle(set[0], ReportsReceived{From: older, Reports: reports})
	c.handle(set[0], ReportsReceived{From: Identity{ID: "unknown"}, Reports: reports})
	is.Equal(c.targetState(set[0], key), target.Active)
	reports[0].Report.Sequence = 1 << 20
	c.handle(set[0], ReportsReceived{From: from, Reports: reports})
	is.Equal(c.targetState(set[0], key), target.Leaving)
}

func TestEntrySetProbesEachTargetOncePerInterval(t *testing.T) {
	is := is.New(t)
	c, _ := clusterWithEntrySet(t)
	clear(c.probers)
	c.run(40 * time.Second)
	is.Equal(len(c.probers), 30)
	for _, hosts := range c.probers {
		is.True(len(hosts) >= 3 && len(hosts) <= 5)
	}
}
