package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
)

// A flood of ended requests must not block any request, fill the event queue or use
// up the separate rate limit for requests with an unknown outcome.
func TestFloodOfEndedRequestsIsBounded(t *testing.T) {
	is := is.New(t)
	c := newControlThread(host.New(host.Config{}), timeline.NewRing(1))
	for range 10 * requestEndBurst {
		c.recordRequestEnd(host.RequestEnded{Result: caller.Completed})
	}
	is.Equal(len(c.Events), 0)
	is.True(len(c.requestEnds) <= requestEndBurst)
	is.True(c.unrecordedRequests.Load() > 0)
	for range requestEndBurst {
		<-c.requestEnds
	}
	before := c.unrecordedRequests.Load()
	c.recordRequestEnd(host.RequestEnded{Result: caller.Unknown})
	is.Equal(len(c.requestEnds), 1)
	is.Equal(c.unrecordedRequests.Load(), before)
}
