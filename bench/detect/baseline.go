package main

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Parameters of the baselines: common defaults of proxies. The baselines get
// the observations of all hosts at once and without delay.
const (
	consecutiveFailures = 5
	rateInterval        = 10 * time.Second
	// rateMinRequests is how many requests a target must receive in an interval
	// to be rated.
	rateMinRequests = 100
	// rateMinTargets is how many rated targets an interval needs before any of
	// them is ejected.
	rateMinTargets = 5
	// rateDeviations is how many standard deviations below the mean success rate
	// a target is ejected.
	rateDeviations = 1.9
	ejectionTime   = 10 * time.Second
)

// baselineDetector holds the state and methods that all baselines share.
type baselineDetector struct {
	d              deployment
	inFlight       []int
	ejectedUntil   []time.Duration
	now            time.Duration
	ejectionCounts []int
}

func newBaselineDetector(d deployment) baselineDetector {
	return baselineDetector{
		d:              d,
		inFlight:       make([]int, d.targets),
		ejectedUntil:   make([]time.Duration, d.targets),
		ejectionCounts: make([]int, d.targets),
	}
}

func (b *baselineDetector) sendsTo(_, target int) bool { return b.now >= b.ejectedUntil[target] }

func (b *baselineDetector) acquire(r request) (int, bool) {
	b.now = r.at
	if !b.sendsTo(r.host, r.target) || b.inFlight[r.target] >= b.d.slots {
		return 0, false
	}
	slot := b.inFlight[r.target]
	b.inFlight[r.target]++
	return slot, true
}

func (b *baselineDetector) tick(at time.Duration)                 { b.now = at }
func (b *baselineDetector) observeProbe(int, bool, time.Duration) {}
func (b *baselineDetector) replace(int, time.Duration)            {}
func (b *baselineDetector) ejections() []int                      { return b.ejectionCounts }
func (b *baselineDetector) release(target int)                    { b.inFlight[target]-- }
func countsAsFailure(o link.Outcome) (failed bool)                { return o == link.Failed || o == link.TimedOut }
func countsAsAttempt(o link.Outcome) (counted bool)               { return o != link.Refused && o != link.Canceled }

// eject ejects a target unless too few slots would be left for the floor.
func (b *baselineDetector) eject(target int, at time.Duration) {
	slotsLeft := 0
	for i := range b.ejectedUntil {
		if i != target && at >= b.ejectedUntil[i] {
			slotsLeft += b.d.slots
		}
	}
	if at < b.ejectedUntil[target] || slotsLeft*100 < b.d.floor*b.d.targets*b.d.slots {
		return
	}
	b.ejectedUntil[target] = at + ejectionTime
	b.ejectionCounts[target]++
}

// consecutiveDetector ejects a target after consecutiveFailures failures in a
// row.
type consecutiveDetector struct {
	baselineDetector
	failures []int
}

func newConsecutiveDetector(d deployment) *consecutiveDetector {
	return &consecutiveDetector{baselineDetector: newBaselineDetector(d), failures: make([]int, d.targets)}
}

func (c *consecutiveDetector) done(r request, _ int, o link.Observation) {
	c.release(r.target)
	if !countsAsAttempt(o.Outcome) {
		return
	}
	c.failures[r.target]++
	if !countsAsFailure(o.Outcome) {
		c.failures[r.target] = 0
	}
	if c.failures[r.target] >= consecutiveFailures {
		c.failures[r.target] = 0
		c.eject(r.target, r.at+o.Latency)
	}
}

// tally counts the requests to one target in an interval.
type tally struct{ requests, failures int }

func (t tally) successRate() float64 {
	return 1 - float64(t.failures)/float64(t.requests)
}

// successRateDetector ejects the targets whose success rate in an interval is
// far below the mean of all rated targets.
type successRateDetector struct {
	baselineDetector
	tallies   []tally
	nextCheck time.Duration
}

func newSuccessRateDetector(d deployment) *successRateDetector {
	return &successRateDetector{baselineDetector: newBaselineDetector(d), tallies: make([]tally, d.targets), nextCheck: rateInterval}
}

func (s *successRateDetector) done(r request, _ int, o link.Observation) {
	s.release(r.target)
	if !countsAsAttempt(o.Outcome) {
		return
	}
	s.tallies[r.target].requests++
	if countsAsFailure(o.Outcome) {
		s.tallies[r.target].failures++
	}
}

func (s *successRateDetector) tick(at time.Duration) {
	s.baselineDetector.tick(at)
	if at < s.nextCheck {
		return
	}
	s.nextCheck += rateInterval
	s.ejectOutliers(at)
	clear(s.tallies)
}

// ejectOutliers compares the success rates of the targets in the interval that
// has just ended.
func (s *successRateDetector) ejectOutliers(at time.Duration) {
	n, sum, sumOfSquares := 0.0, 0.0, 0.0
	for _, t := range s.tallies {
		if t.requests >= rateMinRequests {
			n++
			sum += t.successRate()
			sumOfSquares += t.successRate() * t.successRate()
		}
	}
	if n < rateMinTargets {
		return
	}
	mean := sum / n
	deviation := math.Sqrt(max(0, sumOfSquares/n-mean*mean))
	for i, t := range s.tallies {
		if t.requests >= rateMinRequests && t.successRate() < mean-rateDeviations*deviation {
			s.eject(i, at)
		}
	}
}
