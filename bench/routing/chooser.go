package main

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
)

// choice is a way to choose a target.
type choice struct {
	name string
	pick func(rng *rand.Rand, r *service.Routing, now time.Time) (*link.Link, int, bool)
}

var chooser = []choice{
	{"service.Pick", func(rng *rand.Rand, r *service.Routing, now time.Time) (*link.Link, int, bool) {
		return r.Pick(rng, service.Attempt{Now: now})
	}},
	{"random", leastOf(func(*link.Link) float64 { return 0 })},
	{"least outstanding", leastOf(func(l *link.Link) float64 { return float64(l.InFlight()) })},
	{"least latency x load", leastOf(func(l *link.Link) float64 {
		return float64(max(l.Latency(), 1)) * float64(l.InFlight()+1)
	})},
	{"two choices, any link", twoOfAll},
}

// leastOf takes a slot on the link of the least cost among all with one free;
// ties go to the first from a random start.
func leastOf(cost func(*link.Link) float64) func(*rand.Rand, *service.Routing, time.Time) (*link.Link, int, bool) {
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

// twoOfAll draws two links without regard to free slots, and falls back to the
// first with one.
func twoOfAll(rng *rand.Rand, r *service.Routing, now time.Time) (*link.Link, int, bool) {
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
