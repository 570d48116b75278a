package service

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// comparedLinks is the number of links with a free slot that Pick compares.
const comparedLinks = 2

// Attempt holds what Pick needs to know about an attempt of a request.
type Attempt struct {
	Now time.Time
	// Tried holds the links of earlier attempts of the request.
	Tried map[*link.Link]bool
	// DeadlineNear is set when most of the time until the deadline is used up, so that
	// the request has no time to find out whether an unreachable link works again.
	DeadlineNear bool
}

// Pick compares two random links that have a free slot, and acquires a slot on the
// cheaper link. A target that is warming or on probation is skipped at random, so that
// its share of the requests grows with its weight. A link that recently could not be
// reached is picked only if no other link has a free slot. Pick returns false if no
// untried link has a free slot.
func (r *Routing) Pick(rng *rand.Rand, a Attempt) (*link.Link, int, bool) {
	if len(r.Links) == 0 {
		return nil, 0, false
	}
	order := newPermutation(rng, len(r.Links))
	if i := r.cheapest(rng, order, a); i >= 0 {
		if slot, ok := r.Links[i].Acquire(a.Now); ok {
			return r.Links[i], slot, true
		}
	}
	for _, avoided := range []bool{false, true} {
		for k := range r.Links {
			l := r.Links[order.at(k)]
			if a.Tried[l] || a.avoids(l) != avoided {
				continue
			}
			if slot, ok := l.Acquire(a.Now); ok {
				return l, slot, true
			}
		}
	}
	return nil, 0, false
}

// AcceptsIn returns the time until one of the targets accepts a request of this host, if only a
// free slot is missing then. It returns false if there is no target of which a time is known.
func (r *Routing) AcceptsIn(now time.Time) (earliest time.Duration, ok bool) {
	for _, l := range r.Links {
		if in, known := l.AcceptsIn(now); known && (!ok || in < earliest) {
			earliest, ok = in, true
		}
	}
	return earliest, ok
}

// cheapest compares the first links, in the given order, that may take the request, and
// returns the index of the cheapest. It returns -1 if no link may take the request.
func (r *Routing) cheapest(rng *rand.Rand, order permutation, a Attempt) int {
	best, found := -1, 0
	for k := range r.Links {
		i := order.at(k)
		l := r.Links[i]
		if a.Tried[l] || a.avoids(l) || l.InFlight() >= l.Limit() || !l.Accepts(a.Now) || !r.slowStarts[i].admits(rng, a.Now) {
			continue
		}
		if best < 0 || cost(l) < cost(r.Links[best]) {
			best = i
		}
		found++
		if found == comparedLinks {
			break
		}
	}
	return best
}

// avoids reports whether the attempt should use another link if it can: while the link
// is skipped, and, for a retry or a request near its deadline, also while the latest
// connection attempt has failed. Such requests should not be spent on finding out
// whether an unreachable link works again.
func (a Attempt) avoids(l *link.Link) bool {
	return l.Skipped(a.Now) || (len(a.Tried) > 0 || a.DeadlineNear) && l.ConnectFailing()
}

// admits reports whether a request may use the link, at random with the probability of
// the current weight.
func (s slowStart) admits(rng *rand.Rand, now time.Time) bool {
	return s.duration == 0 || rng.Float64() < s.weight(now)
}

// cost estimates how long a new request takes on a link: the link's latency, but at
// least its network round trip, times the number of requests in flight including the
// new one.
func cost(l *link.Link) float64 {
	latency := max(l.Latency(), l.RoundTrip(), 1)
	return float64(latency) * float64(l.InFlight()+1)
}

// permutation visits the numbers below n in a pseudo-random order: from a random start
// in steps that are coprime to n.
type permutation struct{ start, step, n int }

func newPermutation(rng *rand.Rand, n int) permutation {
	step := 1 + rng.IntN(n)
	for gcd(step, n) != 1 {
		step = 1 + rng.IntN(n)
	}
	return permutation{start: rng.IntN(n), step: step, n: n}
}

// at returns the number at position k of the order.
func (p permutation) at(k int) int { return (p.start + k*p.step) % p.n }

// gcd returns the greatest common divisor.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
