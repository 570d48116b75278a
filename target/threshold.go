package target

import (
	"math"

	"github.com/crocushinge/crocushinge/contract"
)

// Probabilities with which one request of a healthy target may complete a
// false ejection (Wald's test with a negligible miss rate).
const (
	falseEjectionDetection = 2e-6
	falseEjectionBalanced  = 1e-8
	falseEjectionSafety    = 1e-10
	// falseEjectionSlowDetection is the one for Slow at weight detection.
	// Healthy latencies vary far more than healthy failures do, and a slow
	// target completes the test with few requests at any threshold.
	falseEjectionSlowDetection = 2e-7
)

// Shares of the threshold.
const (
	// othersShare is what the hosts besides the one with the most evidence
	// must bring, and the hosts outside the zone with the most evidence.
	othersShare = 0.29
	// denialShare bounds what one host may bring against a suspicion.
	denialShare = 0.5
	// probationShare is the threshold of a target on probation.
	probationShare = 0.5
	// failingLinkShare and slowLinkShare are the thresholds for the evidence of
	// one host alone at which it cuts its link. A host that cuts too soon
	// brings no more evidence against a failing target; requests that hang
	// on a slow one bring it slowly in any case.
	failingLinkShare = 0.75
	slowLinkShare    = 0.6
	// probeShare bounds the evidence of probes.
	probeShare = 0.5
)

// Threshold is the evidence at which a target is ejected, in nats.
type Threshold float64

// Thresholds holds the threshold of each suspicion.
type Thresholds [Suspicions]Threshold

// ThresholdsFor translates a contract's weight between detection time and
// false ejections.
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

// thresholdAt returns the threshold of Wald's test at a probability of a false
// ejection.
func thresholdAt(probability float64) Threshold { return Threshold(-math.Log(probability)) }

// OnProbation returns the threshold for a target on probation.
func (h Threshold) OnProbation() Threshold { return h * probationShare }

// OnLink returns the threshold for the evidence of one host alone at which it
// cuts its link.
func (h Threshold) OnLink(k Suspicion) Threshold {
	if k == Slow {
		return h * slowLinkShare
	}
	return h * failingLinkShare
}

// WaldBound returns the mean number of requests that no test with the given
// threshold can do without, for a target that fails the given share of its
// requests where healthy ones fail minHealthyRate.
func WaldBound(h Threshold, failures float64) float64 {
	divergence := 0.0
	if failures > 0 {
		divergence += failures * math.Log(failures/minHealthyRate)
	}
	if failures < 1 {
		divergence += (1 - failures) * math.Log((1-failures)/(1-minHealthyRate))
	}
	return float64(h) / divergence
}
