package host

import "time"

// Steps of a shutdown, as shares of the grace period.
const (
	// acceptAllShare is the longest time for which a stopping host accepts every request.
	acceptAllShare = 0.5
	// closeAfterShare is when the listeners are closed. The last refusals leave the host between
	// then and endAfterShare, when requests that targets still work at end. cutAfterShare is when
	// the connections that remain are closed; the rest is for the process to exit.
	closeAfterShare = 0.8
	endAfterShare   = 0.9
	cutAfterShare   = 0.94
)

// cachedAddressFactor is the multiple of the directory's TTL after which callers no longer use
// the address of a host that the directory has left out. Some keep a response longer than told.
const cachedAddressFactor = 3

// longWorkDeviations is the number of mean deviations that are added to the typical time of a
// service's work for a time that few requests exceed: 4 in 100 if the times are exponential.
const longWorkDeviations = 3

// Work is how long the requests of a service take at its targets.
type Work struct {
	// Typical is the average, or 0 if it is not known. Deviation is the mean deviation from it.
	Typical, Deviation time.Duration
}

// ShutdownPlan holds the times of a shutdown. Every request that the host has read ends before
// CutAt: with its response, with a refusal if it was not sent to a target in time, or else without
// knowing whether it ran.
type ShutdownPlan struct {
	// Began is when the host was told to stop.
	Began time.Time
	// AcceptAllUntil is when callers have other addresses. A request that comes later is
	// accepted only if its deadline passes before EndAt.
	AcceptAllUntil time.Time
	// CloseAt is when the listeners are closed. No request is sent to a target from then on.
	CloseAt time.Time
	// EndAt is when the callers of requests that are still at targets are told that the host does
	// not know whether they ran. CutAt is when the connections that remain are closed.
	EndAt, CutAt time.Time
}

// NewShutdownPlan returns the plan of a host that is killed when the grace period is over.
func NewShutdownPlan(began time.Time, grace, directoryTTL time.Duration) *ShutdownPlan {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	return &ShutdownPlan{
		Began:          began,
		AcceptAllUntil: began.Add(min(cachedAddressFactor*directoryTTL, share(acceptAllShare))),
		CloseAt:        began.Add(share(closeAfterShare)),
		EndAt:          began.Add(share(endAfterShare)),
		CutAt:          began.Add(share(cutAfterShare)),
	}
}

// SendBy returns when a request with the given deadline must have been sent to a target, so that
// its response is likely to arrive before EndAt. While the service's work is not known, that is
// AcceptAllUntil.
func (p *ShutdownPlan) SendBy(deadline time.Time, w Work) time.Time {
	by := p.EndAt.Add(-w.Typical - longWorkDeviations*w.Deviation)
	switch {
	case deadline.Before(p.EndAt):
		return p.CloseAt // it ends by itself
	case w.Typical == 0:
		return p.AcceptAllUntil
	case by.Before(p.CloseAt):
		return by
	default:
		return p.CloseAt
	}
}

// Accepts reports whether a request that arrives now is accepted, if it may take until the
// deadline.
func (p *ShutdownPlan) Accepts(now, deadline time.Time, w Work) bool {
	return now.Before(p.SendBy(deadline, w)) && (now.Before(p.AcceptAllUntil) || deadline.Before(p.EndAt))
}
