package target

import (
	"math"

	"github.com/crocushinge/crocushinge/contract"
)

// Probabilities that a healthy target is falsely ejected at any one of its requests
// (Wald's test with a negligible miss rate).
const (
	falseEjectionDetection = 2e-6
	falseEjectionBalanced  = 1e-8
	falseEjectionSafety    = 1e-10
	// falseEjectionSlowDetection is the probability for Slow at weight detection. It is
	// lower than the one for Failing because healthy latencies vary far more than
	// healthy failures do, and a slow target reaches any threshold within few requests.
	falseEjectionSlowDetection = 2e-7
)

// Shares of the threshold.
const (
	// corroborationShare is the share of the threshold that must come from hosts other
	// than the one with the most evidence, and also from hosts outside the zone with
	// the most evidence.
	corroborationShare = 0.29
	// maxContradictionShare bounds the contribution of one host against a suspicion.
	maxContradictionShare = 0.5
	// probationShare scales the threshold for a target on probation.
	probationShare = 0.5
	// failingLinkShare and slowLinkShare scale the thresholds for one host's own
	// evidence at which it cuts its link. The share for Failing is the higher one,
	// because a host that cuts its link too early contributes no more evidence against
	// the target. Evidence for Slow accumulates slowly in any case, because the
	// requests hang.
	failingLinkShare = 0.75
	slowLinkShare    = 0.6
	// probeShare bounds the evidence of probes.
	probeShare = 0.5
)

// Threshold is the evidence at which a target is ejected, in nats.
type Threshold float64

// Thresholds holds the threshold of each suspicion.
type Thresholds [Suspicions]Threshold

// ThresholdsFor returns the thresholds for a contract's weight, which trades detection
// time against false ejections.
func ThresholdsFor(w contract.Weight) Thresholds {
	switch w {
	case contract.WeightDetection:
		return Thresholds{Failing: thresholdAt(falseEjectionDetection), Slow: thresholdAt(falseEjectionSlowDetection)}
	case contract.WeightSafety:
		return Thresholds{Failing: thresholdAt(falseEjectionSafety), Slow: thresholdAt(falseEjectionSafety)}
	default:
		return Thresholds{Failing: thresholdAt(falseEjectionBalanced), Slow: thresholdAt(falseEjectionBalanced)}
	}
}

// thresholdAt returns the threshold of Wald's test for a given probability of a false
// ejection.
func thresholdAt(probability float64) Threshold { return Threshold(-math.Log(probability)) }

// ForProbation returns the threshold for a target on probation.
func (h Threshold) ForProbation() Threshold { return h * probationShare }

// ForLink returns the threshold for one host's own evidence at which it cuts its link
// to the target.
func (h Threshold) ForLink(k Suspicion) Threshold {
	if k == Slow {
		return h * slowLinkShare
	}
	return h * failingLinkShare
}

// WaldBound returns Wald's lower bound on the mean number of requests that any test
// with the given threshold needs, for a target that fails the given share of its
// requests while healthy targets fail minHealthyRate.
func WaldBound(threshold Threshold, failureRate float64) float64 {
	divergence := 0.0
	if failureRate > 0 {
		divergence += failureRate * math.Log(failureRate/minHealthyRate)
	}
	if failureRate < 1 {
		divergence += (1 - failureRate) * math.Log((1-failureRate)/(1-minHealthyRate))
	}
	return float64(threshold) / divergence
}
