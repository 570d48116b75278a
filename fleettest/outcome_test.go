package fleettest

import (
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// The outcome of a request is available from other hosts when its home host was
// killed before it archived its events.
func TestOutcomeSurvivesItsHomeHost(t *testing.T) {
	runFleetTest(t, 3, 2, func(f *testFleet) {
		c := f.newCaller("shop")
		response := f.post(c, "h01", "")
		f.check(response.Result == caller.Completed, "response: %+v", response)
		time.Sleep(25 * time.Second)
		f.Kill("h01")
		id, err := caller.ParseRequestID(response.ID)
		f.must(err)
		out, err := f.Host("h02").Outcomes(f.ctx, id)
		f.must(err)
		f.check(len(out.Outcomes) == 1, "outcomes: %+v", out)
		o := out.Outcomes[0]
		f.check(o.Account == Account && o.Result == caller.Completed.String() && o.Status == 200, "outcome: %+v", o)
	})
}
