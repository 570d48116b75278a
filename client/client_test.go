package client_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/client"
	"github.com/crocushinge/crocushinge/fleettest"
	"github.com/crocushinge/crocushinge/publish"
)

// orderHarness is a fleet with three targets and a client that places orders.
// results holds the result that the client received for each order.
type orderHarness struct {
	*fleettest.Fleet
	targets []*fleettest.Target
	client  *client.Client

	mu      sync.Mutex
	results map[string]caller.Result
}

func withOrderHarness(t *testing.T, test func(*is.I, *orderHarness)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := fleettest.NewMemory(1)
		network.Delay(2 * time.Millisecond)
		h := &orderHarness{Fleet: fleettest.New(fleettest.Config{Network: network, Log: zerolog.Nop()}), results: make(map[string]caller.Result)}
		for i := range 3 {
			target, err := fleettest.StartTarget(network, fmt.Sprint("t", i))
			is.NoErr(err)
			h.targets = append(h.targets, target)
		}
		for i := range 4 {
			is.NoErr(h.Start(fmt.Sprint("h", i)))
		}
		time.Sleep(5 * time.Second)
		result, err := h.Publish(t.Context(), "h0", "p", "prices", fleettest.Contract("prices", h.targets...), 0)
		is.NoErr(err)
		is.Equal(result.Status, publish.Accepted)
		time.Sleep(5 * time.Second)
		transport := &http.Transport{DialContext: network.At("shop").DialContext, MaxIdleConnsPerHost: 16}
		h.client, err = client.New(client.Config{
			Seeds: []string{h.Host("h0").Self().APIAddress, h.Host("h3").Self().APIAddress}, Service: "prices",
			Zone: "lima-a", AccountKey: fleettest.Key, Transport: transport,
		})
		is.NoErr(err)
		test(is, h)
		network.HealAll()
		is.NoErr(h.Close())
		for _, target := range h.targets {
			is.NoErr(target.Close())
		}
		transport.CloseIdleConnections()
		time.Sleep(2 * time.Minute)
	})
}

// placeOrder places one order and records its result.
func (h *orderHarness) placeOrder(path string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, _ := h.client.Do(ctx, client.Request{Method: http.MethodPost, Path: path, Body: []byte("ten sheets")})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results[path] = resp.Result
}

// runs counts how often the targets ran each order.
func (h *orderHarness) runs() map[string]int {
	runs := make(map[string]int)
	for _, target := range h.targets {
		for _, r := range target.Runs() {
			if strings.HasPrefix(r.Path, "/prices/orders/") {
				runs[r.Path]++
			}
		}
	}
	return runs
}

// Orders are placed while hosts are killed, replaced, paused, stopped and cut off.
// No order may run twice, "completed" orders must have run, and "not run" orders
// must not have run.
func TestOrdersRunOnceUnderFaults(t *testing.T) {
	for name, injectFault := range map[string]func(*orderHarness){
		"no fault":                 func(*orderHarness) {},
		"host killed":              func(h *orderHarness) { h.Kill("h1") },
		"host replaced":            func(h *orderHarness) { h.Kill("h0"); _ = h.Start("h0") },
		"two hosts killed":         func(h *orderHarness) { h.Kill("h1"); time.Sleep(time.Second); h.Kill("h2") },
		"responses to caller lost": func(h *orderHarness) { h.Network.Cut("h0", "shop"); h.Network.Cut("h1", "shop") },
		"caller cut off":           func(h *orderHarness) { h.Network.Cut("shop", "h2"); h.Network.Cut("shop", "h3") },
		"host paused":              func(h *orderHarness) { h.Network.Pause("h2"); time.Sleep(8 * time.Second); h.Network.Resume("h2") },
		"target paused":            func(h *orderHarness) { h.Network.Pause("t1"); time.Sleep(8 * time.Second); h.Network.Resume("t1") },
		"host leaves":              func(h *orderHarness) { h.Stop("h1") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withOrderHarness(t, func(is *is.I, h *orderHarness) {
				var orders sync.WaitGroup
				for worker := range 4 {
					orders.Go(func() {
						for n := range 40 {
							h.placeOrder(fmt.Sprintf("/prices/orders/%d-%d", worker, n))
							time.Sleep(100 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Second)
				injectFault(h)
				time.Sleep(10 * time.Second)
				h.Network.HealAll()
				orders.Wait()
				time.Sleep(10 * time.Second)
				runs := h.runs()
				completed := 0
				for path, result := range h.results {
					is.True(runs[path] <= 1)
					is.True(result != caller.Completed || runs[path] == 1)
					is.True(result != caller.NotRun || runs[path] == 0)
					if result == caller.Completed {
						completed++
					}
				}
				is.Equal(len(h.results), 160)
				is.True(completed >= 100)
				if name == "no fault" || name == "host leaves" {
					is.Equal(completed, 160)
				}
				t.Logf("%d of %d completed", completed, len(h.results))
			})
		})
	}
}

func TestIdempotentRequestsFailOver(t *testing.T) {
	withOrderHarness(t, func(is *is.I, h *orderHarness) {
		price := func() client.Response {
			resp, err := h.client.Do(context.Background(), client.Request{Method: http.MethodGet, Path: "/prices/1", Idempotent: true})
			is.NoErr(err)
			return resp
		}
		is.Equal(price().Result, caller.Completed)
		h.Kill("h0")
		h.Kill("h1")
		for range 10 {
			is.Equal(price().Result, caller.Completed)
			time.Sleep(3 * time.Second)
		}
	})
}

// A request that no route matches is refused for good, so it is sent only once.
func TestRefusedRequestsAreNotRetried(t *testing.T) {
	withOrderHarness(t, func(is *is.I, h *orderHarness) {
		resp, err := h.client.Do(context.Background(), client.Request{Method: http.MethodPost, Path: "/nowhere"})
		is.NoErr(err)
		is.Equal(resp.Status, http.StatusNotFound)
		is.Equal(resp.Result, caller.NotRun)
	})
}
