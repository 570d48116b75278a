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

// outage is longer than an id may be dispatched.
const outage = caller.IDLifetime + time.Minute

// reorder repeats an order with a key until it has landed, or nobody knows.
func (s *shop) reorder(path string) {
	for end := time.Now().Add(time.Hour); time.Now().Before(end); time.Sleep(10 * time.Second) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		resp, _ := s.client.Do(ctx, client.Request{Method: http.MethodPost, Path: path, Key: path})
		cancel()
		s.mu.Lock()
		s.told[path] = resp.Result
		s.mu.Unlock()
		if resp.Result == caller.Completed {
			return
		}
	}
}

// Standing reorders with keys land exactly once while the table fails in each
// way and hosts pause; when a host dies some stay unknown, and none runs twice.
func TestReordersLandExactlyOnce(t *testing.T) {
	for name, test := range map[string]struct {
		strike func(*shop)
		// lost is how many orders may stay unknown.
		lost int
	}{
		"nothing":      {func(*shop) {}, 0},
		"table away":   {func(s *shop) { s.Store.Faults.Down(true); time.Sleep(outage); s.Store.Faults.Reset() }, 0},
		"answers lost": {func(s *shop) { s.Store.Faults.LoseAnswers(20) }, 0},
		"writes lost":  {func(s *shop) { s.Store.Faults.LoseWrites(20) }, 0},
		"table slow": {func(s *shop) {
			s.Store.Faults.Slow(1500 * time.Millisecond)
			time.Sleep(time.Minute)
			s.Store.Faults.Reset()
		}, 0},
		"host paused": {func(s *shop) { s.Network.Pause("h1"); time.Sleep(time.Minute); s.Network.Resume("h1") }, 0},
		"host killed": {func(s *shop) { s.Kill("h1") }, 4},
		"killed, table away": {func(s *shop) {
			s.Store.Faults.Down(true)
			s.Kill("h2")
			time.Sleep(time.Minute)
			s.Store.Faults.Reset()
		}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inShop(t, func(is *is.I, s *shop) {
				var orders sync.WaitGroup
				for worker := range 4 {
					orders.Go(func() {
						for n := range 20 {
							s.reorder(fmt.Sprintf("/prices/orders/%d-%d", worker, n))
							time.Sleep(200 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Second)
				test.strike(s)
				orders.Wait()
				runs, lost := s.runs(), 0
				for path, result := range s.told {
					is.True(runs[path] <= 1)
					if result != caller.Completed {
						lost++
						continue
					}
					is.Equal(runs[path], 1)
				}
				is.Equal(len(s.told), 80)
				is.True(lost <= test.lost)
				t.Logf("%d of 80 stay unknown", lost)
			})
		})
	}
}
