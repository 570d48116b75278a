package client_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/client"
)

// outage is longer than the time in which an id may be dispatched.
const outage = caller.IDLifetime + time.Minute

// orderWithKey repeats an order with an idempotency key until it completes, for
// an hour at most.
func (h *orderHarness) orderWithKey(path string) {
	for end := time.Now().Add(time.Hour); time.Now().Before(end); time.Sleep(10 * time.Second) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		resp, _ := h.client.Do(ctx, client.Request{Method: http.MethodPost, Path: path, IdempotencyKey: path})
		cancel()
		h.mu.Lock()
		h.results[path] = resp.Result
		h.mu.Unlock()
		if resp.Result == caller.Completed {
			return
		}
	}
}

// Orders repeated with an idempotency key run exactly once while the table is
// unreachable, slow, or loses writes or responses, and while a host is paused.
// When a host is killed, the results of the orders it was processing may stay
// unknown, but no order runs twice.
func TestKeyedOrdersRunExactlyOnce(t *testing.T) {
	for name, test := range map[string]struct {
		injectFault func(*orderHarness)
		// maxUnknown is how many orders may stay unknown.
		maxUnknown int
	}{
		"no fault":          {func(*orderHarness) {}, 0},
		"table unreachable": {func(h *orderHarness) { h.Store.Faults.SetDown(true); time.Sleep(outage); h.Store.Faults.Reset() }, 0},
		"responses lost":    {func(h *orderHarness) { h.Store.Faults.LoseResponses(20) }, 0},
		"writes lost":       {func(h *orderHarness) { h.Store.Faults.LoseWrites(20) }, 0},
		"table slow": {func(h *orderHarness) {
			h.Store.Faults.SetDelay(1500 * time.Millisecond)
			time.Sleep(time.Minute)
			h.Store.Faults.Reset()
		}, 0},
		"host paused": {func(h *orderHarness) { h.Network.Pause("h1"); time.Sleep(time.Minute); h.Network.Resume("h1") }, 0},
		"host killed": {func(h *orderHarness) { h.Kill("h1") }, 4},
		"host killed, table unreachable": {func(h *orderHarness) {
			h.Store.Faults.SetDown(true)
			h.Kill("h2")
			time.Sleep(time.Minute)
			h.Store.Faults.Reset()
		}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withOrderHarness(t, func(is *is.I, h *orderHarness) {
				var orders sync.WaitGroup
				for worker := range 4 {
					orders.Go(func() {
						for n := range 20 {
							h.orderWithKey(fmt.Sprintf("/prices/orders/%d-%d", worker, n))
							time.Sleep(200 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Second)
				test.injectFault(h)
				orders.Wait()
				runs, unknown := h.runs(), 0
				for path, result := range h.results {
					is.True(runs[path] <= 1)
					if result != caller.Completed {
						unknown++
						continue
					}
					is.Equal(runs[path], 1)
				}
				is.Equal(len(h.results), 80)
				is.True(unknown <= test.maxUnknown)
				t.Logf("%d of 80 stay unknown", unknown)
			})
		})
	}
}
