package target

import (
	"math"
	"time"
)

// Times of an ejection.
const (
	// baseEjection is how long the first ejection lasts. Each further one
	// lasts twice as long as the one before.
	baseEjection = 10 * time.Second
	// maxEjection bounds the time of one ejection.
	maxEjection = 5 * time.Minute
	// strikeHalfLife is the time in which half of the strikes are forgiven.
	strikeHalfLife = 5 * time.Minute
)

// Damping lengthens the ejections of a target, or of a link, that fails again
// and again.
type Damping struct {
	strikes float64
	at      time.Time
}

// Strike counts an ejection and returns how long it lasts.
func (d *Damping) Strike(now time.Time) time.Duration {
	age := now.Sub(d.at)
	d.strikes *= math.Exp2(-float64(age) / float64(strikeHalfLife))
	length := time.Duration(float64(baseEjection) * math.Exp2(d.strikes))
	d.strikes++
	d.at = now
	return min(length, maxEjection)
}
