package link

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// failurePenalty is the minimum latency that is recorded for a failed or refused
	// attempt, so that a target does not attract requests by failing fast.
	failurePenalty = 250 * time.Millisecond
	// failurePenaltyFactor times the current average is another minimum for such an
	// attempt.
	failurePenaltyFactor = 4
)

// ObserveLatency adds the latency of a successful attempt to the moving
// average.
func (l *Link) ObserveLatency(d time.Duration) { l.updateLatency(float64(d)) }

// ObserveFailure counts an attempt that failed or was refused as a very slow one.
func (l *Link) ObserveFailure() {
	l.updateLatency(max(float64(failurePenalty), failurePenaltyFactor*float64(l.Latency())))
}

// ObserveOutcome adds an attempt of any outcome to the moving average. A canceled one
// says nothing about the target and is ignored.
func (l *Link) ObserveOutcome(o Outcome, d time.Duration) {
	switch o {
	case Succeeded:
		l.ObserveLatency(d)
	case Canceled:
	default:
		l.ObserveFailure()
	}
}

func (l *Link) updateLatency(d float64) {
	for {
		old := l.latency.Load()
		average := math.Float64frombits(old)
		if old == 0 {
			average = d
		}
		next := average + latencyWeight*(d-average)
		if l.latency.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Latency returns the moving average of the latency; 0 before the first
// observation.
func (l *Link) Latency() time.Duration {
	return time.Duration(math.Float64frombits(l.latency.Load()))
}
