package caller

import "time"

// Parameters of a pace.
const (
	// paceDecrease is the factor by which a shed request lowers the limit.
	paceDecrease = 0.7
	// paceFloor is the lowest limit.
	paceFloor = 1
)

// pace adapts the concurrency of a service on one host by additive increase
// and multiplicative decrease. It sets no limit until a target sheds a request,
// which shows that the declared slots are more than the targets take.
type pace struct {
	// limit is the greatest number of slots in use; 0 means no limit.
	limit float64
	// lowered is when the limit was last lowered.
	lowered time.Time
}

// full reports whether no further slot may be used.
func (p *pace) full(inFlight int) bool {
	return p.limit > 0 && float64(inFlight) >= p.limit
}

// observe counts the end of a request. It lowers the limit once a hold time at
// most, since the requests sent before a decrease say nothing of it.
func (p *pace) observe(now time.Time, inFlight int, hold time.Duration, shed bool) {
	if shed {
		if now.Sub(p.lowered) >= hold {
			p.limit = max(paceFloor, paceDecrease*float64(inFlight))
			p.lowered = now
		}
		return
	}
	if p.limit > 0 && float64(inFlight) >= p.limit-1 {
		p.limit += 1 / p.limit
	}
}
