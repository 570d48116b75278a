package link

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/target"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newLink(slots int) *Link {
	return New(target.Key{Service: "checkout", Name: "checkout-1"}, "10.0.0.1:80", slots, time.Millisecond)
}

func openRequests(l *Link) int {
	n := 0
	l.OpenSince(func(time.Time) { n++ })
	return n
}

func TestRequestIsOpenUntilItsResponseBegins(t *testing.T) {
	is := is.New(t)
	l := newLink(2)
	first, _ := l.Acquire(epoch)
	second, _ := l.Acquire(epoch)
	is.Equal(openRequests(l), 2)
	l.Answered(first)
	is.Equal(openRequests(l), 1)
	is.Equal(l.InFlight(), 2) // the response still takes the slot
	l.Release(first)
	l.Release(second)
	is.Equal(openRequests(l), 0)
	is.Equal(l.InFlight(), 0)
}

func TestConcurrentAcquiresStayWithinLimit(t *testing.T) {
	is := is.New(t)
	l := newLink(4)
	l.SetLimit(3)
	var wg sync.WaitGroup
	var most atomic.Int32
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				slot, ok := l.Acquire(epoch)
				if !ok {
					continue
				}
				if n := int32(openRequests(l)); n > most.Load() {
					most.Store(n)
				}
				l.Release(slot)
			}
		})
	}
	wg.Wait()
	is.True(most.Load() <= 3)
	is.Equal(l.InFlight(), 0)
	is.Equal(openRequests(l), 0)
}

func TestFastFailureRaisesAverageLatency(t *testing.T) {
	is := is.New(t)
	good, bad := newLink(1), newLink(1)
	for range 20 {
		good.ObserveOutcome(Succeeded, 25*time.Millisecond)
		bad.ObserveOutcome(Failed, time.Millisecond)
	}
	is.True(bad.Latency() > 5*good.Latency())
	before := good.Latency()
	good.ObserveOutcome(Canceled, time.Hour) // says nothing about the target
	is.Equal(good.Latency(), before)
}

func TestCutPathIsRestoredOnProbation(t *testing.T) {
	is := is.New(t)
	var p Path
	p.Cut(epoch)
	is.True(p.IsCut())
	is.True(!p.RestoreDue(epoch.Add(9 * time.Second)))
	is.True(p.RestoreDue(epoch.Add(10 * time.Second)))
	p.Restore(epoch.Add(10 * time.Second))
	is.True(!p.IsCut())
	is.True(p.OnTrial(epoch.Add(15 * time.Second)))
	is.True(!p.OnTrial(epoch.Add(25 * time.Second)))
}
