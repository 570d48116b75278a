package caller

import "time"

// Parameters of a pace.
const (
	// paceDecrease is the factor by which a shed request lowers the limit.
	paceDecrease = 0.7
	// paceIncrease is what a round of requests adds to the limit.
	paceIncrease = 0.5
	// paceFloor is the lowest limit.
	paceFloor = 1
	// lateDecay is the weight of one request in the moving share of late ones.
	lateDecay = 1.0 / 16
	// lateShare is the share of late requests from which the targets as a whole
	// count as overloaded. One target of several that hangs ends far fewer
	// requests than the others.
	lateShare = 0.1
)

// SlotEnd tells how a request that held a slot ended.
type SlotEnd int

// The ways in which a request ends.
const (
	// SlotUsed means that the target took the request, whatever its answer.
	SlotUsed SlotEnd = iota
	// SlotShed means that the target turned the request away for its load.
	SlotShed
	// SlotLate means that the deadline passed while the target had the request.
	SlotLate
)

// pace adapts the concurrency of a service on one host by additive increase
// and multiplicative decrease. It sets no limit until a sign that the declared
// slots are more than the targets take: a target sheds a request, or a large
// share of the requests is late while every free slot is in use.
type pace struct {
	// limit is the greatest number of slots in use; 0 means no limit.
	limit float64
	// lowered is when the limit was last lowered.
	lowered time.Time
	// late is the moving share of late requests.
	late float64
	// pressed is when a request last found no free slot.
	pressed time.Time
}

// full reports whether no further slot may be used.
func (p *pace) full(inFlight int) bool {
	return p.limit > 0 && float64(inFlight) >= p.limit
}

// observe counts the end of a request that held its slot for some time. It
// lowers the limit once a hold time at most, and not for a request sent before
// the last decrease, which says nothing of it.
func (p *pace) observe(now time.Time, inFlight int, hold, held time.Duration, end SlotEnd) {
	if p.overloaded(now, hold, end) {
		if now.Sub(p.lowered) >= max(hold, held) {
			p.limit = max(paceFloor, paceDecrease*float64(inFlight))
			p.lowered = now
			p.late = 0
		}
		return
	}
	if p.limit > 0 && float64(inFlight) >= p.limit-1 {
		p.limit += paceIncrease / p.limit
	}
}

// overloaded reports whether the end of a request is a sign of overload.
func (p *pace) overloaded(now time.Time, hold time.Duration, end SlotEnd) bool {
	late := 0.0
	if end == SlotLate {
		late = 1
	}
	p.late += lateDecay * (late - p.late)
	pressed := now.Sub(p.pressed) <= hold
	return end == SlotShed || end == SlotLate && pressed && p.late > lateShare
}
