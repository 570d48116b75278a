// Package link describes the network path between this host and one target: the slots
// in use, the latency, and how attempts to send requests end. A Link is safe for
// concurrent use and takes no locks; the control thread owns a Status. The package
// does no I/O.
package link

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/target"
)

// Outcome classifies how an attempt on a link ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded means that a complete response arrived that is no server error.
	Succeeded Outcome = iota
	// Failed means a server error, or a response that was invalid or ended early. The
	// gateway reports a response that ended early as Broken instead.
	Failed
	// TimedOut means that the deadline passed before the response was complete.
	TimedOut
	// ConnectFailed means that no byte of the request was sent.
	ConnectFailed
	// Refused means that the target rejected the request without processing it.
	Refused
	// Canceled means that the caller went away. It says nothing about the target.
	Canceled
	// Broken means that the connection or the response ended early after the
	// request was sent.
	Broken
	// Overdue means that a request is still open after several times the typical
	// latency. Another outcome follows when it ends.
	Overdue

	// Outcomes is the number of outcomes.
	Outcomes
)

var outcomeNames = [...]string{"succeeded", "failed", "timed_out", "connect_failed", "refused", "canceled", "broken", "overdue"}

// String returns the outcome's name as used in metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Observation is the result of one attempt.
type Observation struct {
	Target  target.Key
	Outcome Outcome
	// Latency is the time to the first byte of the response, or to the failure.
	Latency time.Duration
	// Started is the time that was passed to Acquire. It identifies the request among
	// the open ones that ForEachOpen reported.
	Started time.Time
	At      time.Time
	// Leaving is set when the response carried the target's leave signal.
	Leaving bool
}

// noSlot is returned by Acquire when every slot is in use.
const noSlot = -1

// Link is the traffic side of the path from this host to one target: its slots, its
// average latency, and whether connections to it can be opened.
type Link struct {
	Target  target.Key
	Address string

	// distance is the one-way network latency to the target.
	distance time.Duration
	// starts holds, for each slot, the start time of its request by clock.Nanos. The
	// value is negated once the response has begun, and 0 while the slot is free.
	starts []atomic.Int64
	// limit is how many of the slots this host may use at present.
	limit    atomic.Int32
	inFlight atomic.Int32
	// latency is the moving average in nanoseconds, as float64 bits.
	latency atomic.Uint64
	// connectFailures counts the failures in a row to open a connection, and
	// skipUntil is until when the link is skipped, by clock.Nanos, or 0.
	connectFailures atomic.Int32
	skipUntil       atomic.Int64
	// throttle holds back what the target has asked not to get, and rateShare is this host's
	// share of the target's rate limit, as float64 bits.
	throttle  Throttle
	rateShare atomic.Uint64
}

// New returns a link with the given number of slots, all free, to a target at the
// given one-way network latency.
func New(key target.Key, address string, slots int, distance time.Duration) *Link {
	l := &Link{
		Target:   key,
		Address:  address,
		distance: distance,
		starts:   make([]atomic.Int64, slots),
	}
	l.limit.Store(int32(slots))
	l.SetRateShare(1)
	return l
}

// RoundTrip returns the part of a request's latency that the network takes.
func (l *Link) RoundTrip() time.Duration { return 2 * l.distance }

// Slots returns the number of slots of the target.
func (l *Link) Slots() int { return len(l.starts) }

// SetLimit sets how many slots this host may use; at most all of them.
func (l *Link) SetLimit(n int) { l.limit.Store(int32(min(n, len(l.starts)))) }

// Limit returns how many slots this host may use.
func (l *Link) Limit() int { return int(l.limit.Load()) }

// InFlight returns the number of slots in use.
func (l *Link) InFlight() int { return int(l.inFlight.Load()) }

// SetRateShare sets this host's share, 0 to 1, of the target's rate limit.
func (l *Link) SetRateShare(share float64) { l.rateShare.Store(math.Float64bits(share)) }

func (l *Link) share() float64 { return math.Float64frombits(l.rateShare.Load()) }

// ObserveNotice applies the notice in a response of the target to a request that began at the
// given time.
func (l *Link) ObserveNotice(n target.Notice, began, now time.Time) {
	l.throttle.Observe(n, began, now)
}

// Accepts reports whether the target accepts a request of this host now.
func (l *Link) Accepts(now time.Time) bool { return l.throttle.Open(now, l.share()) }

// AcceptsIn returns the time until the target accepts a request of this host. It returns false
// if that time is not known.
func (l *Link) AcceptsIn(now time.Time) (time.Duration, bool) {
	return l.throttle.OpensIn(now, l.share())
}

// SaysLeaving reports whether the target has announced in a response that it is leaving.
func (l *Link) SaysLeaving() bool { return l.throttle.Leaving() }

// Readmit lets the target take requests again that had announced that it was leaving.
func (l *Link) Readmit() { l.throttle.leaving.Store(false) }

// RateLimit returns the rate limit that the target has stated.
func (l *Link) RateLimit() target.RateLimit { return l.throttle.Limit() }

// SetRateLimit applies a rate limit that another host has heard of.
func (l *Link) SetRateLimit(limit target.RateLimit, now time.Time) { l.throttle.SetLimit(limit, now) }

// Acquire takes a free slot. It returns false when all slots that this host may use
// are taken, or when the target accepts no request now.
func (l *Link) Acquire(now time.Time) (slot int, ok bool) {
	if l.inFlight.Add(1) > l.limit.Load() {
		l.inFlight.Add(-1)
		return noSlot, false
	}
	for i := range l.starts {
		if !l.starts[i].CompareAndSwap(0, clock.Nanos(now)) {
			continue
		}
		if !l.throttle.Take(now, l.share()) {
			l.Release(i)
			return noSlot, false
		}
		return i, true
	}
	l.inFlight.Add(-1)
	return noSlot, false
}

// Release frees a slot taken by Acquire.
func (l *Link) Release(slot int) {
	l.starts[slot].Store(0)
	l.inFlight.Add(-1)
}

// ResponseBegan records that the response to the request in a slot has begun.
func (l *Link) ResponseBegan(slot int) {
	if ns := l.starts[slot].Load(); ns > 0 {
		l.starts[slot].CompareAndSwap(ns, -ns)
	}
}

// ForEachOpen calls f with the start of every open request: one that is in flight and
// whose response has not begun.
func (l *Link) ForEachOpen(f func(start time.Time)) {
	for i := range l.starts {
		if ns := l.starts[i].Load(); ns > 0 {
			f(clock.Time(ns))
		}
	}
}
