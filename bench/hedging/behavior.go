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
	// A target pauses for a while, which delays all of its requests.
	pauseEvery = 60 * time.Second
	pauseTime  = 300 * time.Millisecond
	// gray is the target that is slower than the others by grayFactor.
	gray       = 7
	grayFactor = 10
)

// behavior says how long the targets take.
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

// latency draws how long a target takes for a request at a time.
func (b behavior) latency(rng *rand.Rand, target int, at time.Duration) time.Duration {
	d := time.Duration(float64(medianLatency) * math.Exp(b.sigma*rng.NormFloat64()))
	if b.hasGray && target == gray {
		d *= grayFactor
	}
	phase := (at + time.Duration(target)*pauseEvery/targets) % pauseEvery
	if b.pauses && phase < pauseTime {
		d += pauseTime - phase
	}
	return d
}

// mean returns the mean latency of a usual target.
func (b behavior) mean() time.Duration {
	return time.Duration(float64(medianLatency) * math.Exp(b.sigma*b.sigma/2))
}
