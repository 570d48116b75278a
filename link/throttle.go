package link

import (
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/target"
)

// Throttle holds back the requests that a target has asked not to get: all of them once it
// leaves, those of this host during a pause, and those beyond a rate that the target accepts
// from all hosts together. The zero value holds nothing back. A Throttle is safe for
// concurrent use and takes no locks.
type Throttle struct {
	leaving atomic.Bool
	// pausedUntil is the end of the pause, by clock.Nanos; 0 for none.
	pausedUntil atomic.Int64
	rate        rateLimiter
}

// Observe applies the notice in the response to a request that began at the given time. It
// reports whether the other hosts must be told.
func (t *Throttle) Observe(n target.Notice, began, now time.Time) (announce bool) {
	if n.Leaving {
		announce = t.MarkLeaving()
	}
	if n.RetryAfter > 0 {
		t.pause(clock.Nanos(now.Add(n.RetryAfter)))
	}
	if n.LimitUnreadable {
		return announce
	}
	return t.rate.observe(n.Limit, began, now) || announce
}

// pause holds back all requests of this host until the given time, by clock.Nanos.
func (t *Throttle) pause(until int64) {
	for {
		old := t.pausedUntil.Load()
		if until <= old || t.pausedUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// MarkLeaving holds back all requests for good. It reports whether the target was not known
// to leave before.
func (t *Throttle) MarkLeaving() bool { return t.leaving.CompareAndSwap(false, true) }

// Leaving reports whether the target has announced that it is leaving.
func (t *Throttle) Leaving() bool { return t.leaving.Load() }

// paused reports whether no request may be sent now, whatever the rate.
func (t *Throttle) paused(now time.Time) bool {
	until := t.pausedUntil.Load()
	return t.leaving.Load() || until != 0 && clock.Nanos(now) < until
}

// Open reports whether a request may be sent now by a host that counts against the given
// share of the target's rate limit.
func (t *Throttle) Open(now time.Time, share float64) bool {
	return !t.paused(now) && t.rate.open(now, share)
}

// Take is like Open and counts the request if it may be sent.
func (t *Throttle) Take(now time.Time, share float64) bool {
	return !t.paused(now) && t.rate.take(now, share)
}

// OpensIn returns the time until a request may be sent. It returns false if no time is known:
// the target is leaving, or this host has no share of its rate limit.
func (t *Throttle) OpensIn(now time.Time, share float64) (time.Duration, bool) {
	due, ok := t.rate.due(share)
	if t.leaving.Load() || !ok {
		return 0, false
	}
	if until := t.pausedUntil.Load(); until != 0 {
		due = max(due, until)
	}
	at := clock.Nanos(now)
	return time.Duration(max(due, at) - at), true
}

// SetLimit applies a rate limit that another host has announced.
func (t *Throttle) SetLimit(limit target.RateLimit, now time.Time) { t.rate.hear(limit, now) }

// Limit returns the rate limit in force, or target.Unlimited.
func (t *Throttle) Limit() target.RateLimit { return t.rate.limit() }

// Count counts requests of other hosts against the rate limit.
func (t *Throttle) Count(requests int, now time.Time, share float64) {
	t.rate.count(requests, now, share)
}
