package target

import "math"

// Suspicion is a kind of fault that a target may be suspected of. Each has its own
// sequential test, so that fast responses do not mask failures and failures do not mask
// slow responses.
type Suspicion int

// Kinds of suspicion.
const (
	// Failing targets end requests with errors.
	Failing Suspicion = iota
	// Slow targets respond far later than the other targets of their service.
	Slow
	// Suspicions is the number of suspicions.
	Suspicions
)

var suspicionNames = [...]string{"failing", "slow"}

// String returns the suspicion's lower-case name.
func (s Suspicion) String() string { return suspicionNames[s] }

// LLR holds, for each suspicion, a log-likelihood ratio of the hypothesis "gray"
// (impaired) against "healthy", in nats.
type LLR [Suspicions]float64

// Max returns the larger of the ratios.
func (l LLR) Max() float64 { return math.Max(l[Failing], l[Slow]) }

// Rates holds the failure probabilities of the two hypotheses that the sequential test
// distinguishes.
type Rates struct {
	// Healthy and Gray are the probabilities that a single request fails.
	Healthy, Gray float64
}

// Bounds of the failure probabilities.
const (
	// minHealthyRate is the lowest failure rate that is assumed of healthy targets.
	minHealthyRate = 0.005
	// maxHealthyRate keeps the two hypotheses distinguishable while a whole service
	// fails.
	maxHealthyRate = 0.5
	// grayExcess is the minimum share of requests that a gray target is assumed to
	// fail, among those that a healthy target would complete.
	grayExcess = 0.3
)

// RatesFor returns the failure probabilities for a service whose targets currently fail
// the given share of their requests.
func RatesFor(failureRate float64) Rates {
	healthy := min(max(failureRate, minHealthyRate), maxHealthyRate)
	return Rates{Healthy: healthy, Gray: healthy + grayExcess*(1-healthy)}
}

// FailureLLR returns the log-likelihood ratio of one failed request, in nats.
func (r Rates) FailureLLR() float64 { return math.Log(r.Gray / r.Healthy) }

// SuccessLLR returns the log-likelihood ratio of one successful request, in nats.
func (r Rates) SuccessLLR() float64 { return math.Log((1 - r.Gray) / (1 - r.Healthy)) }
