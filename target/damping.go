package target

import (
	"math"
	"time"
)

// Durations of ejections.
const (
	// baseEjection is the duration of the first ejection. Each further one lasts twice
	// as long as the one before.
	baseEjection = 10 * time.Second
	// maxEjection bounds the duration of one ejection.
	maxEjection = 5 * time.Minute
	// penaltyHalfLife is the time in which the penalty decays by half.
	penaltyHalfLife = 5 * time.Minute
)

// Damping implements flap damping: it lengthens the ejections of a target, or the cuts
// of a link, that fails repeatedly.
type Damping struct {
	// penalty is the number of ejections or cuts so far, decayed until updatedAt.
	penalty   float64
	updatedAt time.Time
}

// Strike counts an ejection or a cut and returns its duration.
func (d *Damping) Strike(now time.Time) time.Duration {
	elapsed := now.Sub(d.updatedAt)
	d.penalty *= math.Exp2(-float64(elapsed) / float64(penaltyHalfLife))
	duration := time.Duration(float64(baseEjection) * math.Exp2(d.penalty))
	d.penalty++
	d.updatedAt = now
	return min(duration, maxEjection)
}
