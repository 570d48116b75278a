package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
)

// TestLongRequestIsOneArrival covers a request that is in flight for seconds: its target gets no
// request in that time.
func TestLongRequestIsOneArrival(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1)
	const id = "t-10.0.0.1:7000"
	order := c.rankOrder()
	sender, other := c.hosts[order[3]], c.hosts[order[9]]
	beginRequests(sender, id, 1)
	c.deliver(sender, RequestsStarted{})
	c.run(3 * time.Second)
	is.Equal(findTarget(other, id).InFlight(), 1)
	since := findTarget(other, id).SinceArrival(c.now)
	is.True(since > 2900*time.Millisecond && since < 3100*time.Millisecond)

	// A request that begins and ends between two reports is an arrival as well.
	target := findTarget(sender, id)
	target.End()
	c.deliver(sender, Observed{Observations: []Observation{{Target: target, Outcome: link.Succeeded, Latency: 3 * time.Second}}})
	c.run(time.Second)
	is.True(findTarget(other, id).SinceArrival(c.now) > 3*time.Second)
	c.deliver(sender, Observed{Observations: []Observation{{Target: target, Outcome: link.Succeeded, Latency: time.Millisecond}}})
	c.run(time.Second)
	since = findTarget(other, id).SinceArrival(c.now)
	is.True(since > 900*time.Millisecond && since < 1100*time.Millisecond)
}
