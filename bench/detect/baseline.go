package main

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Parameters of the baselines, as proxies commonly ship them. The baselines
// see the observations of all hosts at once and without delay.
const (
	consecutiveFailures = 5
	rateInterval        = 10 * time.Second
	// rateVolume is the requests that a target needs in an interval.
	rateVolume = 100
	// rateTargets is how many targets with that volume are needed.
	rateTargets = 5
	// rateDeviations is the factor k of the standard deviation.
	rateDeviations = 1.9
	ejectionTime   = 10 * time.Second
)

// pooled is what the baselines have in common.
type pooled struct {
	d            deployment
	inFlight     []int
	ejectedUntil []time.Duration
	now          time.Duration
	ejected      []int
}

func newPooled(d deployment) pooled {
	return pooled{
		d:            d,
		inFlight:     make([]int, d.targets),
		ejectedUntil: make([]time.Duration, d.targets),
		ejected:      make([]int, d.targets),
	}
}

func (p *pooled) sends(_, target int) bool { return p.now >= p.ejectedUntil[target] }

func (p *pooled) acquire(r request) (int, bool) {
	p.now = r.at
	if !p.sends(r.host, r.target) || p.inFlight[r.target] >= p.d.slots {
		return 0, false
	}
	slot := p.inFlight[r.target]
	p.inFlight[r.target]++
	return slot, true
}

func (p *pooled) tick(at time.Duration)             { p.now = at }
func (p *pooled) probed(int, bool, time.Duration)   {}
func (p *pooled) replace(int, time.Duration)        {}
func (p *pooled) ejections() []int                  { return p.ejected }
func (p *pooled) release(target int)                { p.inFlight[target]-- }
func countsAsFailure(o link.Outcome) (failed bool)  { return o == link.Failed || o == link.TimedOut }
func countsAsAttempt(o link.Outcome) (counted bool) { return o != link.Refused && o != link.Canceled }

// eject takes a target out, if the floor allows it.
func (p *pooled) eject(target int, at time.Duration) {
	left := 0
	for i := range p.ejectedUntil {
		if i != target && at >= p.ejectedUntil[i] {
			left += p.d.slots
		}
	}
	if at < p.ejectedUntil[target] || left*100 < p.d.floor*p.d.targets*p.d.slots {
		return
	}
	p.ejectedUntil[target] = at + ejectionTime
	p.ejected[target]++
}

// consecutive ejects a target after a number of failures in a row.
type consecutive struct {
	pooled
	failures []int
}

func newConsecutive(d deployment) *consecutive {
	return &consecutive{pooled: newPooled(d), failures: make([]int, d.targets)}
}

func (c *consecutive) done(r request, _ int, o link.Observation) {
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

// tally counts one target's requests in an interval.
type tally struct{ requests, failures int }

func (t tally) successRate() float64 {
	return 1 - float64(t.failures)/float64(t.requests)
}

// successRate ejects the targets whose success rate in an interval is far
// below the mean.
type successRate struct {
	pooled
	tallies []tally
	next    time.Duration
}

func newSuccessRate(d deployment) *successRate {
	return &successRate{pooled: newPooled(d), tallies: make([]tally, d.targets), next: rateInterval}
}

func (s *successRate) done(r request, _ int, o link.Observation) {
	s.release(r.target)
	if !countsAsAttempt(o.Outcome) {
		return
	}
	s.tallies[r.target].requests++
	if countsAsFailure(o.Outcome) {
		s.tallies[r.target].failures++
	}
}

func (s *successRate) tick(at time.Duration) {
	s.pooled.tick(at)
	if at < s.next {
		return
	}
	s.next += rateInterval
	s.judge(at)
	clear(s.tallies)
}

func (s *successRate) judge(at time.Duration) {
	n, sum, squares := 0.0, 0.0, 0.0
	for _, t := range s.tallies {
		if t.requests >= rateVolume {
			n++
			sum += t.successRate()
			squares += t.successRate() * t.successRate()
		}
	}
	if n < rateTargets {
		return
	}
	mean := sum / n
	deviation := math.Sqrt(max(0, squares/n-mean*mean))
	for i, t := range s.tallies {
		if t.requests >= rateVolume && t.successRate() < mean-rateDeviations*deviation {
			s.eject(i, at)
		}
	}
}
