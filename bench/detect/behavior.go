package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Shape of a healthy target's answers.
const (
	medianLatency = 25 * time.Millisecond
	latencySigma  = 0.5
	// healthyFailures is the share of requests that fail on healthy targets.
	healthyFailures = 0.001
	// deadline limits each request.
	deadline = 2 * time.Second
	// failLatency is how soon a fault is answered.
	failLatency = 2 * time.Millisecond
)

// answer is how a target treats one request.
type answer struct {
	outcome link.Outcome
	latency time.Duration
}

// within cuts an answer off at the deadline.
func (a answer) within(limit time.Duration) answer {
	if a.latency < limit {
		return a
	}
	return answer{outcome: link.TimedOut, latency: limit}
}

func lognormal(rng *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
}

func healthyAnswer(rng *rand.Rand) answer {
	if rng.Float64() < healthyFailures {
		return answer{outcome: link.Failed, latency: failLatency}
	}
	return answer{latency: lognormal(rng, medianLatency, latencySigma)}
}

// request is what a behavior is asked about.
type request struct {
	host, target int
	// at is the time since the start of the run.
	at time.Duration
}

// behavior says how the targets of a service answer.
type behavior interface {
	answer(rng *rand.Rand, r request) answer
	// probe reports whether a target's health endpoint answers with success.
	probe(target int, at time.Duration) bool
}

// fault is a gray target or link that begins at a time.
type fault struct {
	target int
	begin  time.Duration
	// onlyHost limits the fault to one host's link, unless negative.
	onlyHost int
	answers  func(rng *rand.Rand, since time.Duration) answer
}

func (f *fault) answer(rng *rand.Rand, r request) answer {
	hit := r.target == f.target && r.at >= f.begin && (f.onlyHost < 0 || f.onlyHost == r.host)
	if !hit {
		return healthyAnswer(rng)
	}
	return f.answers(rng, r.at-f.begin)
}

// probe passes: gray targets answer probes.
func (f *fault) probe(int, time.Duration) bool { return true }

func failsAll(*rand.Rand, time.Duration) answer {
	return answer{outcome: link.Failed, latency: failLatency}
}

func failsSome(rng *rand.Rand, since time.Duration) answer {
	const share = 0.3
	if rng.Float64() < share {
		return failsAll(rng, since)
	}
	return healthyAnswer(rng)
}

func tenTimesSlower(rng *rand.Rand, _ time.Duration) answer {
	const factor = 10
	a := healthyAnswer(rng)
	a.latency *= factor
	return a
}

func hangs(*rand.Rand, time.Duration) answer {
	return answer{outcome: link.TimedOut, latency: deadline}
}

// flaps fails and recovers in turn.
func flaps(rng *rand.Rand, since time.Duration) answer {
	const half = 2 * time.Second
	if (since/half)%2 == 0 {
		return failsAll(rng, since)
	}
	return healthyAnswer(rng)
}
