package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// This file holds behaviors of healthy targets that a detector must not eject.

// heavyTail has a wide latency distribution. Each target also pauses
// periodically, which delays all of its requests at once.
type heavyTail struct{ offsets *offsets }

const (
	heavySigma = 1.0
	pauseEvery = 60 * time.Second
	pauseTime  = 300 * time.Millisecond
)

func (h heavyTail) respond(rng *rand.Rand, r request) response {
	resp := healthyResponse(rng)
	if resp.outcome == link.Succeeded {
		resp.latency = lognormal(rng, medianLatency, heavySigma)
	}
	phase := (r.at + h.offsets[r.target]) % pauseEvery
	if phase < pauseTime {
		resp.latency += pauseTime - phase
	}
	return resp
}

func (heavyTail) probe(int, time.Duration) bool { return true }

// offsets holds, by target, the phase of its periodic behavior, so that the
// targets do not change at the same time.
type offsets [maxTargets]time.Duration

func newOffsets(seed uint64, period time.Duration) *offsets {
	var o offsets
	for target := range o {
		rng := rand.New(rand.NewPCG(seed, uint64(target)))
		o[target] = time.Duration(rng.Int64N(int64(period)))
	}
	return &o
}

// slowdown makes all targets slower at the same time, for the last
// slowdownTime of each slowdownEvery.
type slowdown struct{}

const (
	slowdownEvery  = time.Minute
	slowdownTime   = 10 * time.Second
	slowdownFactor = 4
)

func (slowdown) respond(rng *rand.Rand, r request) response {
	resp := healthyResponse(rng)
	if r.at%slowdownEvery >= slowdownEvery-slowdownTime {
		resp.latency *= slowdownFactor
	}
	return resp
}

func (slowdown) probe(int, time.Duration) bool { return true }

// shedding makes each target refuse half of its requests (load shedding) for
// shedTime of each shedEvery.
type shedding struct{ offsets *offsets }

const (
	shedEvery = 2 * time.Minute
	shedTime  = 10 * time.Second
	shedShare = 0.5
)

func (s shedding) respond(rng *rand.Rand, r request) response {
	phase := (r.at + s.offsets[r.target]) % shedEvery
	if phase < shedTime && rng.Float64() < shedShare {
		return response{outcome: link.Refused, latency: failureLatency}
	}
	return healthyResponse(rng)
}

func (shedding) probe(int, time.Duration) bool { return true }

// coldStart replaces each target every replaceEvery. The new instance starts
// coldFactor times slower and reaches the usual latency after coldTime.
type coldStart struct{ offsets *offsets }

const (
	replaceEvery = 5 * time.Minute
	coldTime     = 8 * time.Second
	coldFactor   = 10
)

// sinceReplacement returns how long ago a target was last replaced.
func (c coldStart) sinceReplacement(target int, at time.Duration) time.Duration {
	return (at + c.offsets[target]) % replaceEvery
}

func (c coldStart) respond(rng *rand.Rand, r request) response {
	resp := healthyResponse(rng)
	age := c.sinceReplacement(r.target, r.at)
	if age < coldTime {
		remaining := 1 - float64(age)/float64(coldTime)
		resp.latency = time.Duration(float64(resp.latency) * math.Pow(coldFactor, remaining))
	}
	return resp
}

func (coldStart) probe(int, time.Duration) bool { return true }

// misleadingHealth makes each target's health endpoint fail for misleadTime of
// each misleadEvery although the target works.
type misleadingHealth struct{ offsets *offsets }

const (
	misleadEvery = 2 * time.Minute
	misleadTime  = time.Minute
)

func (misleadingHealth) respond(rng *rand.Rand, _ request) response { return healthyResponse(rng) }

func (m misleadingHealth) probe(target int, at time.Duration) bool {
	return (at+m.offsets[target])%misleadEvery >= misleadTime
}
