package link

import (
	"math"
	"time"
)

const (
	// latencyDecay is the weight of a new latency in the moving average.
	latencyDecay = 0.2
	// failurePenalty is the latency that a failed or refused attempt counts
	// as at least, so that a target that fails fast draws no more work.
	failurePenalty = 250 * time.Millisecond
	// penaltyFactor is how many times the present average a failed attempt
	// counts as at least.
	penaltyFactor = 4
)

// ObserveLatency adds the latency of a successful attempt to the moving
// average.
func (l *Link) ObserveLatency(d time.Duration) { l.average(float64(d)) }

// ObserveFailure counts an attempt that failed or was refused as a very slow
// one.
func (l *Link) ObserveFailure() {
	l.average(max(float64(failurePenalty), penaltyFactor*float64(l.Latency())))
}

// ObserveOutcome adds an attempt of any outcome to the moving average.
func (l *Link) ObserveOutcome(o Outcome, d time.Duration) {
	switch o {
	case Succeeded:
		l.ObserveLatency(d)
	case Canceled:
	default:
		l.ObserveFailure()
	}
}

func (l *Link) average(d float64) {
	for {
		old := l.latency.Load()
		average := math.Float64frombits(old)
		if old == 0 {
			average = d
		}
		next := average + latencyDecay*(d-average)
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
