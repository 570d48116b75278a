package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
)

// A flood of ended requests blocks nobody, leaves the queue of events alone,
// and leaves room for unknown outcomes.
func TestFloodOfEndedRequestsIsBounded(t *testing.T) {
	is := is.New(t)
	c := newControl(host.New(host.Config{}), timeline.NewRing(1))
	for range 10 * endedBurst {
		c.ended(host.RequestEnded{Result: caller.Completed})
	}
	is.Equal(len(c.Events), 0)
	is.True(len(c.endings) <= endedBurst)
	is.True(c.unrecorded.Load() > 0)
	for range endedBurst {
		<-c.endings
	}
	before := c.unrecorded.Load()
	c.ended(host.RequestEnded{Result: caller.Unknown})
	is.Equal(len(c.endings), 1)
	is.Equal(c.unrecorded.Load(), before)
}
