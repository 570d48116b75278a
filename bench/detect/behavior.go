package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Latency and failures of a healthy target.
const (
	medianLatency = 25 * time.Millisecond
	latencySigma  = 0.5
	// healthyFailures is the share of requests that fail on healthy targets.
	healthyFailures = 0.001
	// deadline is the deadline of each request.
	deadline = 2 * time.Second
	// failureLatency is the latency of a failed or refused request.
	failureLatency = 2 * time.Millisecond
)

// response is the outcome of one request, and the time until it is known.
type response struct {
	outcome link.Outcome
	latency time.Duration
}

// withDeadline returns a timeout instead of a response that takes longer than
// limit.
func (r response) withDeadline(limit time.Duration) response {
	if r.latency < limit {
		return r
	}
	return response{outcome: link.TimedOut, latency: limit}
}

func lognormal(rng *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
}

func healthyResponse(rng *rand.Rand) response {
	if rng.Float64() < healthyFailures {
		return response{outcome: link.Failed, latency: failureLatency}
	}
	return response{latency: lognormal(rng, medianLatency, latencySigma)}
}

// request is a request that a host sends to a target.
type request struct {
	host, target int
	// at is the time since the start of the run.
	at time.Duration
}

// behavior models how the targets of a service respond.
type behavior interface {
	respond(rng *rand.Rand, r request) response
	// probe reports whether a target passes an active health check.
	probe(target int, at time.Duration) bool
}

// fault is a gray failure of one target, or of one link to it, from begin on.
type fault struct {
	target int
	begin  time.Duration
	// onlyHost limits the fault to the link from this host. A negative value
	// means all hosts.
	onlyHost       int
	faultyResponse func(rng *rand.Rand, since time.Duration) response
}

func (f *fault) respond(rng *rand.Rand, r request) response {
	affected := r.target == f.target && r.at >= f.begin && (f.onlyHost < 0 || f.onlyHost == r.host)
	if !affected {
		return healthyResponse(rng)
	}
	return f.faultyResponse(rng, r.at-f.begin)
}

// probe always passes: active health checks do not detect a gray failure.
func (f *fault) probe(int, time.Duration) bool { return true }

func failsAll(*rand.Rand, time.Duration) response {
	return response{outcome: link.Failed, latency: failureLatency}
}

func failsSome(rng *rand.Rand, since time.Duration) response {
	const share = 0.3
	if rng.Float64() < share {
		return failsAll(rng, since)
	}
	return healthyResponse(rng)
}

func tenTimesSlower(rng *rand.Rand, _ time.Duration) response {
	const factor = 10
	r := healthyResponse(rng)
	r.latency *= factor
	return r
}

func hangs(*rand.Rand, time.Duration) response {
	return response{outcome: link.TimedOut, latency: deadline}
}

// flaps alternates between failing and healthy.
func flaps(rng *rand.Rand, since time.Duration) response {
	const halfPeriod = 2 * time.Second
	if (since/halfPeriod)%2 == 0 {
		return failsAll(rng, since)
	}
	return healthyResponse(rng)
}
