package main

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
)

// strategy chooses the target of a request.
type strategy struct {
	name string
	pick func(rng *rand.Rand, r *service.Routing, now time.Time) (*link.Link, int, bool)
}

var strategies = []strategy{
	{"service.Pick", func(rng *rand.Rand, r *service.Routing, now time.Time) (*link.Link, int, bool) {
		return r.Pick(rng, service.Attempt{Now: now})
	}},
	{"random", leastCost(func(*link.Link) float64 { return 0 })},
	{"least outstanding", leastCost(func(l *link.Link) float64 { return float64(l.InFlight()) })},
	{"least latency x load", leastCost(func(l *link.Link) float64 {
		return float64(max(l.Latency(), 1)) * float64(l.InFlight()+1)
	})},
	{"two choices, any link", twoRandomChoices},
}

// leastCost returns a strategy that takes a slot on the link of the lowest cost
// among all links with a free slot. Of several such links it takes the first
// after a random starting point.
func leastCost(cost func(*link.Link) float64) func(*rand.Rand, *service.Routing, time.Time) (*link.Link, int, bool) {
	return func(rng *rand.Rand, r *service.Routing, now time.Time) (*link.Link, int, bool) {
		var best *link.Link
		start := rng.IntN(len(r.Links))
		for k := range r.Links {
			l := r.Links[(start+k)%len(r.Links)]
			if l.InFlight() < l.Limit() && (best == nil || cost(l) < cost(best)) {
				best = l
			}
		}
		if best == nil {
			return nil, 0, false
		}
		slot, ok := best.Acquire(now)
		return best, slot, ok
	}
}

// twoRandomChoices draws two links, regardless of free slots, and takes the one
// with the lower product of latency and load. If neither has a free slot, it
// takes the first link that has one after a random starting point.
func twoRandomChoices(rng *rand.Rand, r *service.Routing, now time.Time) (*link.Link, int, bool) {
	n := len(r.Links)
	a, b := r.Links[rng.IntN(n)], r.Links[rng.IntN(n)]
	if float64(b.Latency())*float64(b.InFlight()+1) < float64(a.Latency())*float64(a.InFlight()+1) {
		a, b = b, a
	}
	for _, l := range [...]*link.Link{a, b} {
		if slot, ok := l.Acquire(now); ok {
			return l, slot, true
		}
	}
	start := rng.IntN(n)
	for k := range n {
		l := r.Links[(start+k)%n]
		if slot, ok := l.Acquire(now); ok {
			return l, slot, true
		}
	}
	return nil, 0, false
}
