package daemon

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/timeline"
)

// discardingExecutor discards the effects that a core without peers produces.
type discardingExecutor struct{ effectExecutor }

func (discardingExecutor) readConfiguration(host.ReadConfiguration) {}
func (discardingExecutor) readHostList()                            {}
func (discardingExecutor) eventRecorded(timeline.Event)             {}

func TestObservationsAreHandledInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core := host.New(host.Config{Timing: host.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))})
		c := newControlThread(core, timeline.NewRing(1))
		c.executor = discardingExecutor{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go c.run(ctx)
		time.Sleep(observationBatchInterval)
		c.Observe(link.Observation{})
		synctest.Wait()
		is.Equal(len(c.Observations), 0) // the first observation after an idle interval is handled at once
		for range 3 {
			c.Observe(link.Observation{})
		}
		synctest.Wait()
		is.Equal(len(c.Observations), 3)
		time.Sleep(observationBatchInterval)
		synctest.Wait()
		is.Equal(len(c.Observations), 0)
	})
}
