package target

import (
	"math"
	"time"
)

// Durations of ejections.
const (
	// baseEjection is the duration of the first ejection. Unless the penalty decays,
	// each further ejection lasts twice as long as the one before.
	baseEjection = 10 * time.Second
	// maxEjection is the maximum duration of one ejection.
	maxEjection = 5 * time.Minute
	// penaltyHalfLife is the time in which the penalty decays by half.
	penaltyHalfLife = 5 * time.Minute
)

// FlapDamping implements flap damping: it lengthens the ejections of a target, or the
// cuts of a link, that fails repeatedly.
type FlapDamping struct {
	// penalty is the number of ejections or cuts, decayed over time. updatedAt is when
	// the decay was last applied.
	penalty   float64
	updatedAt time.Time
}

// Penalize counts an ejection or a cut and returns its duration.
func (d *FlapDamping) Penalize(now time.Time) time.Duration {
	elapsed := now.Sub(d.updatedAt)
	d.penalty *= math.Exp2(-float64(elapsed) / float64(penaltyHalfLife))
	duration := time.Duration(float64(baseEjection) * math.Exp2(d.penalty))
	d.penalty++
	d.updatedAt = now
	return min(duration, maxEjection)
}
