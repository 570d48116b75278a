package service

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// choices is how many links with a free slot Pick compares.
const choices = 2

// Attempt is what a choice of a link depends on.
type Attempt struct {
	Now time.Time
	// Tried are the links that the request was sent on before.
	Tried map[*link.Link]bool
	// Pressed is set when much of the request's time is spent: it has none left to try
	// whether a link can be reached again.
	Pressed bool
}

// Pick takes a slot on the better of two random links that have one free. A
// target that is warming or on probation is passed over at random, so that its
// share of the work grows with its weight. A link that could not be reached
// lately is taken only when no other has a free slot. It returns false when no
// untried link has one.
func (r *Routing) Pick(rng *rand.Rand, a Attempt) (*link.Link, int, bool) {
	if len(r.Links) == 0 {
		return nil, 0, false
	}
	w := newWalk(rng, len(r.Links))
	if i := r.better(rng, w, a); i >= 0 {
		if slot, ok := r.Links[i].Acquire(a.Now); ok {
			return r.Links[i], slot, true
		}
	}
	for _, unreached := range []bool{false, true} {
		for k := range r.Links {
			l := r.Links[w.at(k)]
			if a.Tried[l] || a.avoids(l) != unreached {
				continue
			}
			if slot, ok := l.Acquire(a.Now); ok {
				return l, slot, true
			}
		}
	}
	return nil, 0, false
}

// better returns the index of the cheapest of the first links on the walk that
// may take the request, or -1.
func (r *Routing) better(rng *rand.Rand, w walk, a Attempt) int {
	best, found := -1, 0
	for k := range r.Links {
		i := w.at(k)
		l := r.Links[i]
		if a.Tried[l] || a.avoids(l) || l.InFlight() >= l.Limit() || !r.ramps[i].admits(rng, a.Now) {
			continue
		}
		if best < 0 || cost(l) < cost(r.Links[best]) {
			best = i
		}
		found++
		if found == choices {
			break
		}
	}
	return best
}

// avoids reports whether a request should take another link if there is one. A retry, and
// a request that has little time, do not wait for the trial of a link that was not reached.
func (a Attempt) avoids(l *link.Link) bool {
	return l.PassedOver(a.Now) || (len(a.Tried) > 0 || a.Pressed) && l.Unreached()
}

// admits reports whether a ramp lets a request through, at random by its
// weight.
func (r ramp) admits(rng *rand.Rand, now time.Time) bool {
	return r.length == 0 || rng.Float64() < r.weight(now)
}

// cost is the expected wait on a link: its latency, but no less than the
// network's part, times the requests ahead.
func cost(l *link.Link) float64 {
	latency := max(l.Latency(), l.RoundTrip(), 1)
	return float64(latency) * float64(l.InFlight()+1)
}

// walk visits the numbers below n in a random order: from a random start in
// steps that have no divisor in common with n.
type walk struct{ start, step, n int }

func newWalk(rng *rand.Rand, n int) walk {
	step := 1 + rng.IntN(n)
	for gcd(step, n) != 1 {
		step = 1 + rng.IntN(n)
	}
	return walk{start: rng.IntN(n), step: step, n: n}
}

func (w walk) at(k int) int { return (w.start + k*w.step) % w.n }

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
