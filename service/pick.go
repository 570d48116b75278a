package service

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Pick takes a slot on the better of two random links. When both are full it
// takes any free slot. It returns false when no untried link has one.
func (r *Routing) Pick(rng *rand.Rand, now time.Time, tried map[*link.Link]bool) (*link.Link, int, bool) {
	n := len(r.Links)
	if n == 0 {
		return nil, 0, false
	}
	first, second := rng.IntN(n), rng.IntN(n)
	if r.cost(second, now) < r.cost(first, now) {
		first, second = second, first
	}
	for _, i := range [...]int{first, second} {
		if slot, ok := acquireUntried(r.Links[i], now, tried); ok {
			return r.Links[i], slot, true
		}
	}
	start := rng.IntN(n)
	for i := range n {
		l := r.Links[(start+i)%n]
		if slot, ok := acquireUntried(l, now, tried); ok {
			return l, slot, true
		}
	}
	return nil, 0, false
}

func acquireUntried(l *link.Link, now time.Time, tried map[*link.Link]bool) (int, bool) {
	if tried[l] {
		return 0, false
	}
	return l.Acquire(now)
}

// cost is the expected wait on a link: its latency times the requests ahead,
// over the weight of its target.
func (r *Routing) cost(i int, now time.Time) float64 {
	l := r.Links[i]
	return float64(l.Latency()+1) * float64(l.InFlight()+1) / r.ramps[i].weight(now)
}
