package fleettest

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// A host that shuts down gracefully waits for a request in flight until the
// deadline of its route, here 120 s.
func TestGracefulShutdownWaitsForLongRequests(t *testing.T) {
	runFleetTest(t, 3, 3, func(f *testFleet) {
		document := strings.Replace(Contract("prices", f.targets...), "deadline: 5s", "deadline: 120s", 1)
		result, err := f.Publish(f.ctx, "h00", "long", "prices", document, f.contractVersion)
		f.must(err)
		f.check(result.Version == f.contractVersion+1, "proposal not accepted: %+v", result)
		time.Sleep(5 * time.Second)
		for _, target := range f.targets {
			target.SetBehavior(Behavior{Delay: 100 * time.Second})
		}
		c := f.newCaller("shop")
		c.http.Timeout = 0
		responses := make(chan Response)
		go func() {
			responses <- c.Send(context.Background(), f.addressOf("h01"), http.MethodPost, "/prices/orders", "")
		}()
		time.Sleep(time.Second)
		f.Stop("h01")
		response := <-responses
		f.check(response.Result == caller.Completed && response.Err == nil, "response: %+v", response)
	})
}
