package main

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	medianLatency = 25 * time.Millisecond
	sigma         = 0.5
	heavySigma    = 1.0
	// With pauses, each target pauses for pauseTime every pauseEvery, which
	// delays all of its requests.
	pauseEvery = 60 * time.Second
	pauseTime  = 300 * time.Millisecond
	// grayTarget is grayFactor times slower than the other targets.
	grayTarget = 7
	grayFactor = 10
)

// behavior models the latencies of the targets.
type behavior struct {
	name    string
	sigma   float64
	pauses  bool
	hasGray bool
}

var behaviors = []behavior{
	{name: "alike", sigma: sigma},
	{name: "one 10x slower", sigma: sigma, hasGray: true},
	{name: "heavy tail, pauses", sigma: heavySigma, pauses: true},
}

// latency draws the latency of a request that reaches the target at time at.
func (b behavior) latency(rng *rand.Rand, target int, at time.Duration) time.Duration {
	d := time.Duration(float64(medianLatency) * math.Exp(b.sigma*rng.NormFloat64()))
	if b.hasGray && target == grayTarget {
		d *= grayFactor
	}
	phase := (at + time.Duration(target)*pauseEvery/targets) % pauseEvery
	if b.pauses && phase < pauseTime {
		d += pauseTime - phase
	}
	return d
}

// mean returns the mean latency of a target without pauses and gray failure.
func (b behavior) mean() time.Duration {
	return time.Duration(float64(medianLatency) * math.Exp(b.sigma*b.sigma/2))
}
