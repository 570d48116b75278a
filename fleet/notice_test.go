package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

// speakingTargets lets the targets of a cluster say something in their responses, and records
// what arrives at them.
type speakingTargets struct {
	cluster *cluster
	// says holds the notice of each target by its id.
	says map[string]target.Notice
	// arrivals holds when requests arrived at each target, and from which host.
	arrivals map[string][]arrival
	// sent and refused count the requests of the hosts.
	sent, refused int
}

type arrival struct {
	at   time.Time
	from string
}

func newSpeakingTargets(c *cluster) *speakingTargets {
	return &speakingTargets{cluster: c, says: make(map[string]target.Notice), arrivals: make(map[string][]arrival)}
}

// workTime is how long a target takes for a request.
const workTime = 100 * time.Millisecond

// request sends a request of a host to the target that it chooses.
func (s *speakingTargets) request(n *node) {
	c := s.cluster
	choice := n.snapshot.Services["orders"].Pick(c.rand, pool.Request{Now: c.now})
	if choice.Target == nil {
		s.refused++
		return
	}
	s.sent++
	began, t := c.now, choice.Target
	c.deliver(n, RequestsStarted{})
	c.schedule(networkDelay, func() {
		s.arrivals[t.Key.Name] = append(s.arrivals[t.Key.Name], arrival{at: c.now, from: n.address})
	})
	c.schedule(workTime, func() {
		if t.ObserveNotice(s.says[t.Key.Name], began, c.now) {
			c.deliver(n, NoticeReceived{Target: t})
		}
		t.End()
		c.deliver(n, Observed{Observations: []Observation{{Target: t, Outcome: link.Succeeded, Latency: workTime}}})
	})
}

// run lets hosts that are up send requests at a rate of the whole fleet, for the given time.
func (s *speakingTargets) run(perSecond float64, length time.Duration) {
	c := s.cluster
	const step = 2 * time.Millisecond
	due := 0.0
	for end := c.now.Add(length); c.now.Before(end); c.run(step) {
		var up []*node
		c.forEachUp(func(n *node) {
			if n.snapshot.Ready {
				up = append(up, n)
			}
		})
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			s.request(up[c.rand.IntN(len(up))])
		}
	}
}

// TestTargetThatSaysItLeavesGetsNothingFromAnyHost also lets its row lapse and come back, as
// after an outage of the store, and starts a host anew.
func TestTargetThatSaysItLeavesGetsNothingFromAnyHost(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 27)
	s := newSpeakingTargets(c)
	leaving := "t-" + c.addresses[3]
	s.says[leaving] = target.Notice{Leaving: true}
	s.run(200, time.Second)
	is.True(len(s.arrivals[leaving]) > 0)
	is.True(c.allUp(func(n *node) bool { return !routesTo(n, leaving) }))
	row := c.targets[leaving]
	c.dropTarget(leaving)
	c.run(time.Second)
	c.putTarget(row)
	c.kill(c.addresses[7])
	c.run(time.Second)
	c.start(c.addresses[7], zone.ID("b"), false)
	c.run(2 * time.Second)
	clear(s.arrivals)
	s.run(200, time.Second)
	is.Equal(len(s.arrivals[leaving]), 0)
	is.True(c.allUp(func(n *node) bool { return n.snapshot.Ready && !routesTo(n, leaving) }))
}
