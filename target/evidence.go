package target

import "math"

// Suspicion is what a target may be suspected of. Each has a sequential test
// of its own, so that quick answers do not hide failures, nor failures slow
// answers.
type Suspicion int

// The suspicions.
const (
	// Failing targets end requests with errors.
	Failing Suspicion = iota
	// Slow targets answer far later than the others of their service.
	Slow
	// Suspicions is the number of suspicions.
	Suspicions
)

var suspicionNames = [...]string{"failing", "slow"}

// String returns the suspicion's lower-case name.
func (s Suspicion) String() string { return suspicionNames[s] }

// LLR holds a log-likelihood ratio of "gray" against "healthy" for each
// suspicion, in nats.
type LLR [Suspicions]float64

// Max returns the greatest of the ratios.
func (l LLR) Max() float64 { return math.Max(l[Failing], l[Slow]) }

// Rates are the failure probabilities that the sequential test tells apart.
type Rates struct {
	// Healthy and Gray are the probabilities that one request fails.
	Healthy, Gray float64
}

// Bounds of the failure rates.
const (
	// minHealthyRate is the failure rate that every healthy target may have.
	minHealthyRate = 0.005
	// maxHealthyRate keeps the two hypotheses apart when a whole service fails.
	maxHealthyRate = 0.5
	// grayExcess is the share of the remaining requests that a gray target
	// fails at least.
	grayExcess = 0.3
)

// RatesAround returns the rates of the test for a service whose targets fail
// the given share of their requests at present.
func RatesAround(background float64) Rates {
	healthy := min(max(background, minHealthyRate), maxHealthyRate)
	return Rates{Healthy: healthy, Gray: healthy + grayExcess*(1-healthy)}
}

// Failure returns the log-likelihood ratio of one failed request, in nats.
func (r Rates) Failure() float64 { return math.Log(r.Gray / r.Healthy) }

// Success returns the log-likelihood ratio of one request that did not fail.
func (r Rates) Success() float64 { return math.Log((1 - r.Gray) / (1 - r.Healthy)) }
