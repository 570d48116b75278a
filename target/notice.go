package target

import (
	"math"
	"time"
)

// Notice is what a target says about itself in a response, beside the response proper.
type Notice struct {
	// Leaving is set when the target announces that it is leaving.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this host; 0 if it does
	// not say. Other hosts are not concerned.
	RetryAfter time.Duration
	// Limit is the rate of requests that the target accepts. LimitUnreadable is set if it
	// states one that cannot be read; an earlier one then stays in force.
	Limit           RateLimit
	LimitUnreadable bool
}

// RateLimit is how many requests a second a target accepts from all hosts together.
type RateLimit float64

// NewRateLimit returns the limit that another host has passed on. What is no rate of requests
// counts as none.
func NewRateLimit(perSecond float64) RateLimit {
	if perSecond > 0 && !math.IsInf(perSecond, 1) {
		return max(RateLimit(perSecond), MinRateLimit)
	}
	return Unlimited
}

const (
	// Unlimited means that the target states no limit.
	Unlimited RateLimit = 0
	// MinRateLimit is the lowest limit that is kept to. A target that asks for less gets
	// one request in this time from the whole fleet, or nobody would learn that the limit
	// has been lifted.
	MinRateLimit RateLimit = 0.1
)
