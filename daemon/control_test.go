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

// noEffects drops the effects of a core that knows nobody.
type noEffects struct{ effector }

func (noEffects) readConfiguration(host.ReadConfiguration) {}
func (noEffects) readHostList()                            {}
func (noEffects) recorded(timeline.Event)                  {}

func TestObservationsAreTakenInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core := host.New(host.Config{Timing: host.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))})
		c := newControl(core, timeline.NewRing(1))
		c.effects = noEffects{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go c.run(ctx)
		time.Sleep(observationPause)
		c.Observe(link.Observation{})
		synctest.Wait()
		is.Equal(len(c.Observed), 0) // the first after a pause is taken at once
		for range 3 {
			c.Observe(link.Observation{})
		}
		synctest.Wait()
		is.Equal(len(c.Observed), 3)
		time.Sleep(observationPause)
		synctest.Wait()
		is.Equal(len(c.Observed), 0)
	})
}
