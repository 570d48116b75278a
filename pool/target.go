// Package pool holds a service's targets as the whole fleet sees them: the
// requests in flight from all hosts, the suspicions that the outcomes of requests
// raise, and the choice of a target for a request. It does no I/O; time and
// randomness are passed in.
package pool

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

// Distance is how far a target is from this host.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Hash identifies an incarnation of a target in the messages between hosts.
type Hash uint32

// NewHash returns the hash of an incarnation of a target.
func NewHash(k discovery.Key) Hash {
	h := xxhash.Sum64String(k.ID) + uint64(k.Born)*0x9e3779b97f4a7c15
	return Hash(h ^ h>>32)
}

// Target holds what this host knows of one incarnation of a target. The atomic fields
// are safe for concurrent use; the control thread owns the rest.
type Target struct {
	Key     target.Key
	Hash    Hash
	Address string
	Slots   int

	// Registration is the key of the target's row.
	Registration discovery.Key

	zone     zone.ID
	distance Distance
	// own and others count the requests in flight from this host and from the
	// other hosts.
	own, others atomic.Int32
	// skipUntil is the time until which this host prefers all other targets, because it
	// failed to reach this one. Times in atomic fields are by clock.Nanos.
	skipUntil atomic.Int64
	// suspicionView is the copy of the suspicion that traffic reads.
	suspicionView atomic.Pointer[suspicionView]
	// warming is set while the target is slow after its start.
	warming atomic.Bool
	// working is set while the target is in the working set of a selective service.
	working atomic.Bool
	// slowness is the ratio of the target's latency to the median of the service,
	// and publishedFailureRate the copy of failureRate that traffic reads, both as
	// float64 bits. publishedRefusals is the share of requests that it refuses.
	slowness, publishedFailureRate, publishedRefusals atomic.Uint64
	// lastUsed is when any host last had a request in flight at the target, as far as
	// this host knows.
	lastUsed atomic.Int64
	// lastUsedHere is when this host last sent it a request, and lastSuccess when
	// a request of any host last succeeded.
	lastUsedHere, lastSuccess atomic.Int64
	// lastArrival is when a request of any host last began at the target, as far as this host
	// knows. A request in flight keeps lastUsed at the present, and lastArrival at its start.
	lastArrival atomic.Int64
	// joinedLater is set for a target that was registered while others were
	// already in use.
	joinedLater bool
	// throttle holds back what the target has asked not to get. It belongs to the service.
	throttle *link.Throttle

	suspicion suspicion
	// neededForFloor is set for a suspect that must get a request for the floor's sake.
	neededForFloor bool
	// latency is the average latency of the successful requests, and failureRate
	// the share of requests that fail.
	latency         movingAverage
	failureRate     movingAverage
	connectFailures connectFailures
}

// suspicionView is the part of a suspicion that traffic reads. It is immutable.
type suspicionView struct {
	// suspect is set while the target gets only trial requests, and confirmed once
	// one has failed: the target then no longer counts as healthy capacity.
	suspect, confirmed bool
	// trialAt is when a retryable request may be sent to the target as a trial, and
	// riskyTrialAt when any request may.
	trialAt, riskyTrialAt time.Time
	// neededForFloor is set while the suspect must get a request for the floor's sake.
	neededForFloor bool
}

// never stands for an event that has not happened. It is before all times by
// clock.Nanos.
const never = -1 << 62

var trusted = &suspicionView{}

// newTarget returns a trusted target without requests.
func newTarget(d discovery.Target, distance Distance, throttle *link.Throttle) *Target {
	t := &Target{
		Key:          target.Key{Service: d.Service, Name: d.ID},
		Hash:         NewHash(d.Key()),
		Address:      d.Address,
		Slots:        d.Slots,
		Registration: d.Key(),
		distance:     distance,
		throttle:     throttle,
	}
	t.suspicionView.Store(trusted)
	t.slowness.Store(math.Float64bits(1))
	t.lastUsed.Store(never)
	t.lastUsedHere.Store(never)
	t.lastSuccess.Store(never)
	t.lastArrival.Store(never)
	return t
}

// Begin counts a request that this host sends to the target.
func (t *Target) Begin(now time.Time) {
	t.own.Add(1)
	t.lastUsedHere.Store(clock.Nanos(now))
	t.MarkUsed(now)
}

// ObserveNotice applies the notice in a response of the target to a request that began at the
// given time. It reports whether the other hosts must be told. Traffic calls it before the
// response is forwarded, since a caller may send the next request at once.
func (t *Target) ObserveNotice(n target.Notice, began, now time.Time) (announce bool) {
	return t.throttle.Observe(n, began, now)
}

// SetRateLimit applies a limit that another host has heard of.
func (t *Target) SetRateLimit(limit target.RateLimit, now time.Time) { t.throttle.SetLimit(limit, now) }

// RateLimit returns the limit that the target has stated for the requests of all hosts.
func (t *Target) RateLimit() target.RateLimit { return t.throttle.Limit() }

// SaysLeaving reports whether the target has announced in a response that it is leaving.
func (t *Target) SaysLeaving() bool { return t.throttle.Leaving() }

// End counts the end of a request of this host.
func (t *Target) End() { t.own.Add(-1) }

// OwnInFlight returns how many requests this host has in flight at the target.
func (t *Target) OwnInFlight() int { return int(t.own.Load()) }

// AddOthersInFlight adds n to the number of requests that other hosts have in
// flight.
func (t *Target) AddOthersInFlight(n int) { t.others.Add(int32(n)) }

// MarkUsed records that a host has just sent a request to the target.
func (t *Target) MarkUsed(now time.Time) {
	t.MarkBusy(now)
	t.MarkArrival(now)
}

// MarkBusy records that a host has a request in flight at the target.
func (t *Target) MarkBusy(now time.Time) { t.lastUsed.Store(clock.Nanos(now)) }

// MarkArrival records that a request of any host began at the target at the given time.
func (t *Target) MarkArrival(at time.Time) {
	for {
		old := t.lastArrival.Load()
		if clock.Nanos(at) <= old || t.lastArrival.CompareAndSwap(old, clock.Nanos(at)) {
			return
		}
	}
}

// SinceArrival returns the time since a request last began at the target, as far as this host
// knows; it is very long if there was none.
func (t *Target) SinceArrival(now time.Time) time.Duration {
	last := t.lastArrival.Load()
	if last == never {
		return math.MaxInt64
	}
	return time.Duration(clock.Nanos(now) - last)
}

// InFlight returns how many requests the fleet has in flight at the target, as far
// as this host knows.
func (t *Target) InFlight() int { return int(t.own.Load() + max(0, t.others.Load())) }

// provenAge returns the time since the last known success of a request of any host; it is
// negative if there was none.
func (t *Target) provenAge(now time.Time) time.Duration {
	last := t.lastSuccess.Load()
	if last == never {
		return -time.Millisecond
	}
	return time.Duration(clock.Nanos(now) - last)
}

// IsFull reports whether the target has more requests in flight than slots.
func (t *Target) IsFull() bool { return t.InFlight() > t.Slots }

// IsSuspect reports whether the target is suspected and gets only trial requests.
func (t *Target) IsSuspect() bool { return t.suspicionView.Load().suspect }

// skipTime is how long a host prefers other targets after it failed to connect. A cut
// link stays cut for seconds. An attempt on a link that is still cut costs one connect
// timeout but no request, since nothing was sent.
const skipTime = 3 * time.Second

// ObserveReachability records whether an attempt of this host reached the target.
// Traffic calls it.
func (t *Target) ObserveReachability(o link.Outcome, now time.Time) {
	switch o {
	case link.Overdue:
		if !t.IsFull() {
			t.skipUntil.Store(clock.Nanos(now.Add(skipTime)))
		}
	case link.ConnectFailed:
		t.skipUntil.Store(clock.Nanos(now.Add(skipTime)))
	case link.Succeeded, link.Failed, link.Refused:
		t.skipUntil.Store(0)
	}
}

// skipped reports whether this host prefers all other targets at present.
func (t *Target) skipped(now time.Time) bool { return clock.Nanos(now) < t.skipUntil.Load() }

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value   float64
	started bool
}

// Weights of a new value in a moving average.
const (
	// latencyWeight averages over about seven requests.
	latencyWeight = 0.15
	// deviationWeight averages over about thirty requests.
	deviationWeight = 0.03
	// targetFailureWeight averages over about twenty requests.
	targetFailureWeight = 0.05
)

func (a *movingAverage) add(value, weight float64) {
	if !a.started {
		a.started = true
		a.value = value
		return
	}
	a.value += weight * (value - a.value)
}
