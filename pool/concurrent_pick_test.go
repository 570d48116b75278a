package pool

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/zone"
)

// lockedSource is a source of random numbers for several goroutines.
type lockedSource struct{}

func (lockedSource) Uint64() uint64 { return rand.Uint64() }

// TestChoiceWhileSuspicionsChange guards against a choice that panics, so that its caller gets no
// response, because a suspicion changes between two readings of the same choice.
func TestChoiceWhileSuspicionsChange(t *testing.T) {
	for _, targets := range []int{1, 2, 5} {
		is := is.New(t)
		zones := zone.NewMap([]zone.Zone{{ID: "a", Region: "r"}}, nil)
		service := NewService("checkout", Location{Zone: "a", Zones: zones})
		var registered []discovery.Target
		for i := range targets {
			registered = append(registered, discovery.Target{ID: string(rune('a' + i)), Service: "checkout", Address: "127.0.0.1:1", Zone: "a", Slots: 4})
		}
		service.Apply(registered)
		routing := service.Routing(0.7)
		end := time.Now().Add(500 * time.Millisecond)
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				rng := rand.New(lockedSource{})
				for time.Now().Before(end) {
					choice := routing.Pick(rng, Request{Now: time.Now()})
					if choice.Target == nil {
						t.Error("no target was chosen")
						return
					}
					choice.Target.End()
				}
			})
		}
		changes := 0
		for now := time.Now(); now.Before(end); now = time.Now() {
			for _, target := range routing.Targets {
				// One early failure makes a suspect, and two successes end the suspicion.
				for _, outcome := range []link.Outcome{link.Failed, link.Succeeded, link.Succeeded} {
					if service.Observe(target, Ending{Host: "h", Outcome: outcome}, now) {
						changes++
					}
				}
			}
		}
		group.Wait()
		is.True(changes > 1000)
	}
}

// TestUncertaintyOfALaterSuccess guards against a cost below zero while a goroutine that was held
// up chooses by a time before the target's last success.
func TestUncertaintyOfALaterSuccess(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	target := &Target{}
	target.lastSuccess.Store(clock.Nanos(now))
	p := costParams{failingShare: minFailingShare}
	for _, heldUp := range []time.Duration{0, time.Second, uncertaintyHalfTime, time.Minute} {
		is.Equal(p.uncertaintyCost(target, now.Add(-heldUp)), 0.0)
	}
}
