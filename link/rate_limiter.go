package link

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/target"
)

// rateLimiter keeps to the rate limit that a target has stated (the generic cell rate
// algorithm). The hosts that tell each other of their requests count all of them, each
// against the same share of the limit; a host that counts its own requests only has a
// smaller share. The zero value has no limit.
type rateLimiter struct {
	// limitBits is the limit as float64 bits, and statedAt when a response or another host
	// last stated one, by clock.Nanos.
	limitBits atomic.Uint64
	statedAt  atomic.Int64
	// next is when the next request is due at the limited rate, by clock.Nanos. Requests that
	// were sent earlier than due put it off.
	next atomic.Int64
	// announcedAt is when the limit was last announced to the other hosts, by clock.Nanos.
	announcedAt atomic.Int64
}

// announceInterval is the time after which an unchanged limit is announced to the other hosts
// again, for those that have missed it.
const announceInterval = time.Second

// observe applies what the response to a request that began at the given time says about the
// limit. It reports whether the other hosts must be told.
func (r *rateLimiter) observe(limit target.RateLimit, began, now time.Time) (announce bool) {
	if limit == target.Unlimited {
		// A response to a request that began earlier may have been written before the
		// target stated its limit.
		return r.limit() != target.Unlimited && clock.Nanos(began) > r.statedAt.Load() && r.set(limit, now)
	}
	if r.set(limit, now) {
		r.announcedAt.Store(clock.Nanos(now))
		return true
	}
	return r.dueForAnnouncement(now)
}

// dueForAnnouncement reports, once in announceInterval, that the limit is to be announced
// again.
func (r *rateLimiter) dueForAnnouncement(now time.Time) bool {
	last := r.announcedAt.Load()
	return clock.Nanos(now)-last > int64(announceInterval) && r.announcedAt.CompareAndSwap(last, clock.Nanos(now))
}

// hear applies a limit that another host has announced.
func (r *rateLimiter) hear(limit target.RateLimit, now time.Time) {
	r.set(limit, now)
	r.announcedAt.Store(clock.Nanos(now))
}

func (r *rateLimiter) set(limit target.RateLimit, now time.Time) (changed bool) {
	if limit != target.Unlimited {
		limit = max(limit, target.MinRateLimit)
		r.statedAt.Store(clock.Nanos(now))
	}
	old := math.Float64frombits(r.limitBits.Swap(math.Float64bits(float64(limit))))
	return old != float64(limit)
}

func (r *rateLimiter) limit() target.RateLimit {
	return target.RateLimit(math.Float64frombits(r.limitBits.Load()))
}

// interval returns the time between two requests at a share of the limited rate, in
// nanoseconds; 0 without a limit.
func (r *rateLimiter) interval(share float64) float64 {
	limit := r.limit()
	if limit == target.Unlimited {
		return 0
	}
	return float64(time.Second) / (float64(limit) * share)
}

// due returns when a request may be sent, by clock.Nanos. That is earlier than next by the
// interval between two requests of all hosts, so that a request which comes a little early is
// not refused. It returns false if there is no such time.
func (r *rateLimiter) due(share float64) (at int64, ok bool) {
	if r.limit() == target.Unlimited {
		return math.MinInt64, true
	}
	return r.next.Load() - int64(r.interval(1)), share > 0
}

func (r *rateLimiter) open(now time.Time, share float64) bool {
	due, ok := r.due(share)
	return ok && clock.Nanos(now) >= due
}

func (r *rateLimiter) take(now time.Time, share float64) bool {
	for {
		next := r.next.Load()
		if !r.open(now, share) {
			return false
		}
		if r.limit() == target.Unlimited || r.next.CompareAndSwap(next, r.after(next, 1, now, share)) {
			return true
		}
	}
}

// count counts requests of other hosts.
func (r *rateLimiter) count(requests int, now time.Time, share float64) {
	for r.limit() != target.Unlimited && share > 0 {
		next := r.next.Load()
		if r.next.CompareAndSwap(next, r.after(next, requests, now, share)) {
			return
		}
	}
}

// after returns when the next request is due after a number of requests now.
func (r *rateLimiter) after(next int64, requests int, now time.Time, share float64) int64 {
	return max(next, clock.Nanos(now)) + int64(float64(requests)*r.interval(share))
}
