package target

import "math"

// Rates are the failure probabilities that the sequential test tells apart,
// and its error rates.
type Rates struct {
	// Healthy and Gray are the probabilities that one request fails.
	Healthy, Gray float64
	// FalseEjection is the accepted probability of ejecting a healthy target.
	FalseEjection float64
}

// Threshold returns the log-likelihood ratio at which the target is ejected
// (Wald's test with a negligible miss rate).
func (r Rates) Threshold() float64 { return math.Log(1 / r.FalseEjection) }

// Evidence accumulates the log-likelihood ratio of "gray" against "healthy".
// It never falls below zero, so that a long healthy past does not delay the
// detection of a change (Page's CUSUM).
type Evidence struct {
	llr float64
}

// Add counts one outcome.
func (e *Evidence) Add(failed bool, r Rates) {
	if failed {
		e.llr += math.Log(r.Gray / r.Healthy)
	} else {
		e.llr += math.Log((1 - r.Gray) / (1 - r.Healthy))
	}
	e.llr = math.Max(0, e.llr)
}

// LLR returns the accumulated log-likelihood ratio, in nats.
func (e *Evidence) LLR() float64 { return e.llr }

// Reset forgets all evidence.
func (e *Evidence) Reset() { e.llr = 0 }
