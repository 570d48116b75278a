package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// The behaviors in this file are of healthy targets.

// heavyTail answers with a wide distribution, and each target pauses now and
// then, which delays all of its requests at once.
type heavyTail struct{ offsets *offsets }

const (
	heavySigma = 1.0
	pauseEvery = 60 * time.Second
	pauseTime  = 300 * time.Millisecond
)

func (h heavyTail) answer(rng *rand.Rand, r request) answer {
	a := healthyAnswer(rng)
	if a.outcome == link.Succeeded {
		a.latency = lognormal(rng, medianLatency, heavySigma)
	}
	phase := (r.at + h.offsets[r.target]) % pauseEvery
	if phase < pauseTime {
		a.latency += pauseTime - phase
	}
	return a
}

func (heavyTail) probe(int, time.Duration) bool { return true }

// offsets spread the targets' periods.
type offsets [maxTargets]time.Duration

func newOffsets(seed uint64, period time.Duration) *offsets {
	var o offsets
	for target := range o {
		rng := rand.New(rand.NewPCG(seed, uint64(target)))
		o[target] = time.Duration(rng.Int64N(int64(period)))
	}
	return &o
}

// slowdown makes all targets slower for a while, each minute.
type slowdown struct{}

const (
	slowdownEvery  = time.Minute
	slowdownTime   = 10 * time.Second
	slowdownFactor = 4
)

func (slowdown) answer(rng *rand.Rand, r request) answer {
	a := healthyAnswer(rng)
	if r.at%slowdownEvery >= slowdownEvery-slowdownTime {
		a.latency *= slowdownFactor
	}
	return a
}

func (slowdown) probe(int, time.Duration) bool { return true }

// shedding lets each target refuse half of its requests for a while.
type shedding struct{ offsets *offsets }

const (
	shedEvery = 2 * time.Minute
	shedTime  = 10 * time.Second
	shedShare = 0.5
)

func (s shedding) answer(rng *rand.Rand, r request) answer {
	phase := (r.at + s.offsets[r.target]) % shedEvery
	if phase < shedTime && rng.Float64() < shedShare {
		return answer{outcome: link.Refused, latency: failLatency}
	}
	return healthyAnswer(rng)
}

func (shedding) probe(int, time.Duration) bool { return true }

// coldStart replaces each target every few minutes; the new instance is slow
// until it is warm.
type coldStart struct{ offsets *offsets }

const (
	replaceEvery = 5 * time.Minute
	coldTime     = 8 * time.Second
	coldFactor   = 10
)

// replaced returns how long ago a target was replaced.
func (c coldStart) replaced(target int, at time.Duration) time.Duration {
	return (at + c.offsets[target]) % replaceEvery
}

func (c coldStart) answer(rng *rand.Rand, r request) answer {
	a := healthyAnswer(rng)
	age := c.replaced(r.target, r.at)
	if age < coldTime {
		left := 1 - float64(age)/float64(coldTime)
		a.latency = time.Duration(float64(a.latency) * math.Pow(coldFactor, left))
	}
	return a
}

func (coldStart) probe(int, time.Duration) bool { return true }

// misleading lets each target's health endpoint fail for a while, though the
// target works.
type misleading struct{ offsets *offsets }

const (
	misleadEvery = 2 * time.Minute
	misleadTime  = time.Minute
)

func (misleading) answer(rng *rand.Rand, _ request) answer { return healthyAnswer(rng) }

func (m misleading) probe(target int, at time.Duration) bool {
	return (at+m.offsets[target])%misleadEvery >= misleadTime
}
