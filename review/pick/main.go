//go:build review

// Pick lets the goroutines of traffic choose targets while the control thread changes their
// suspicion, and counts the choices that panic. It shows a fault that is no case of its own: see
// review/REPORT.md.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/zone"
)

const (
	length     = 10 * time.Second
	goroutines = 4
	floor      = 0.7
)

// source is safe for concurrent use, as the one of traffic.
type source struct{}

func (source) Uint64() uint64 { return rand.Uint64() }

func main() {
	zones := zone.NewMap([]zone.Zone{{ID: "a", Region: "r"}}, nil)
	service := pool.NewService("checkout", pool.Location{Zone: "a", Zones: zones})
	service.Apply([]discovery.Target{{ID: "i-1", Service: "checkout", Address: "127.0.0.1:1", Zone: "a", Slots: 4}})
	routing := service.Routing(floor)
	target := routing.Targets[0]
	var choices, panics atomic.Int64
	var text atomic.Value
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			rng := rand.New(source{})
			for time.Now().Before(end) {
				choices.Add(1)
				func() {
					defer func() {
						if r := recover(); r != nil {
							panics.Add(1)
							text.Store(fmt.Sprint(r))
						}
					}()
					if t := routing.Pick(rng, pool.Request{Now: time.Now()}).Target; t != nil {
						t.End()
					}
				}()
			}
		})
	}
	// The control thread: a request fails at once, and two succeed.
	for time.Now().Before(end) {
		service.Observe(target, pool.Ending{Outcome: link.Failed}, time.Now())
		for range 2 {
			service.Observe(target, pool.Ending{Outcome: link.Succeeded}, time.Now())
		}
	}
	wg.Wait()
	fmt.Printf("%d choices, %d panics: %v\n", choices.Load(), panics.Load(), text.Load())
	if panics.Load() > 0 {
		os.Exit(1)
	}
}
