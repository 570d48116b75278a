package service

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
)

// Routing is the immutable view of one service in a routing snapshot. Traffic
// goroutines share it; only the gauges inside the links change.
type Routing struct {
	Contract *contract.Contract
	Links    []*link.Link
	// Panic is set when too little capacity is left to be choosy.
	Panic bool
}

// Pick takes a slot on the better of two random links. It returns false when
// neither they nor any other link has a free slot.
func (r *Routing) Pick(rng *rand.Rand, now time.Time, tried map[*link.Link]bool) (*link.Link, int, bool) {
	n := len(r.Links)
	if n == 0 {
		return nil, 0, false
	}
	first, second := r.Links[rng.IntN(n)], r.Links[rng.IntN(n)]
	if cost(second) < cost(first) {
		first, second = second, first
	}
	for _, l := range [...]*link.Link{first, second} {
		if slot, ok := acquireUntried(l, now, tried); ok {
			return l, slot, true
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

// cost is the expected wait on a link: its latency times the requests ahead.
func cost(l *link.Link) float64 {
	return float64(l.Latency()+1) * float64(l.InFlight()+1)
}
