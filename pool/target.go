// Package pool holds a service's targets as the whole fleet sees them: the
// requests in flight from every host, the suspicion that their outcomes raise,
// and the choice of a target for a request. It does no I/O; time and randomness
// are passed in.
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
)

// Distance is how far a target is from this host.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Hash names a target in the messages between hosts.
type Hash uint32

// NewHash returns the name of an incarnation of a target.
func NewHash(k discovery.Key) Hash {
	h := xxhash.Sum64String(k.ID) + uint64(k.Born)*0x9e3779b97f4a7c15
	return Hash(h ^ h>>32)
}

// Target is one incarnation of a target. The gauges are safe for concurrent
// use; the control thread owns the rest.
type Target struct {
	Key     target.Key
	Hash    Hash
	Address string
	Slots   int

	distance Distance
	// own and others count the requests in flight from this host and from the
	// other hosts.
	own, others atomic.Int32
	// unreached is until when this host takes other targets first because it
	// could not connect. This and the next two are by clock.Nanos.
	unreached atomic.Int64
	// verdict is what traffic reads of the suspicion.
	verdict atomic.Pointer[verdict]
	// warming is set while the target is slow after its start.
	warming atomic.Bool
	// slowness is the latency relative to the service's, and unreliability the
	// share of requests that fail, both as float64 bits.
	slowness, unreliability atomic.Uint64
	// used is when the target last had a request of any host.
	used atomic.Int64
	// usedHere is when this host last sent it a request, and lastSuccess when it last answered
	// one of any host well.
	usedHere, lastSuccess atomic.Int64
	// joined is set for a target that was registered while others were known.
	joined bool

	suspicion suspicion
	latency   average
	failed    average
	failures  unreachedBy
}

// verdict is the state of a target as traffic reads it.
type verdict struct {
	// suspect is set while the target takes only tests, and confirmed once a
	// test has failed: such a target is no healthy capacity.
	suspect, confirmed bool
	// testAt is when a request that may be repeated may test the target, and
	// riskAt when any request may.
	testAt, riskAt time.Time
}

// never is before any time, by clock.Nanos.
const never = -1 << 62

var trusted = &verdict{}

// newTarget returns a target that is trusted.
func newTarget(d discovery.Target, distance Distance) *Target {
	t := &Target{
		Key:      target.Key{Service: d.Service, Name: d.ID},
		Hash:     NewHash(d.Key()),
		Address:  d.Address,
		Slots:    d.Slots,
		distance: distance,
	}
	t.verdict.Store(trusted)
	t.slowness.Store(math.Float64bits(1))
	t.used.Store(never)
	t.usedHere.Store(never)
	t.lastSuccess.Store(never)
	return t
}

// Begin counts a request that this host sends to the target.
func (t *Target) Begin(now time.Time) {
	t.own.Add(1)
	t.usedHere.Store(clock.Nanos(now))
	t.Use(now)
}

// End counts the end of a request of this host.
func (t *Target) End() { t.own.Add(-1) }

// Own returns how many requests this host has in flight.
func (t *Target) Own() int { return int(t.own.Load()) }

// AddOthers changes the count of other hosts' requests in flight.
func (t *Target) AddOthers(n int) { t.others.Add(int32(n)) }

// Use notes that a host had a request at the target.
func (t *Target) Use(now time.Time) { t.used.Store(clock.Nanos(now)) }

// InFlight returns the fleet's requests in flight as far as this host knows.
func (t *Target) InFlight() int { return int(t.own.Load() + max(0, t.others.Load())) }

// Full reports whether the target has requests in flight beyond its slots.
func (t *Target) Full() bool { return t.InFlight() > t.Slots }

// Suspect reports whether the target takes only tests.
func (t *Target) Suspect() bool { return t.verdict.Load().suspect }

// unreachedPause is how long a host that could not connect takes other targets
// first. A cut link stays cut for seconds; a trial costs one connect timeout and
// no request, since nothing was sent.
const unreachedPause = 3 * time.Second

// ObserveReach notes whether an attempt of this host reached the target. It is
// called by traffic.
func (t *Target) ObserveReach(o link.Outcome, now time.Time) {
	switch o {
	case link.Overdue:
		if !t.Full() {
			t.unreached.Store(clock.Nanos(now.Add(unreachedPause)))
		}
	case link.ConnectFailed:
		t.unreached.Store(clock.Nanos(now.Add(unreachedPause)))
	case link.Succeeded, link.Failed, link.Refused:
		t.unreached.Store(0)
	}
}

// passedOver reports whether this host takes other targets first.
func (t *Target) passedOver(now time.Time) bool { return clock.Nanos(now) < t.unreached.Load() }

// average is a moving average.
type average struct {
	value float64
	begun bool
}

// Weights of a new value in a moving average.
const (
	// latencyWeight remembers about seven requests.
	latencyWeight = 0.15
	// failureWeight remembers about twenty requests.
	failureWeight = 0.05
	// unservedWeight remembers about a hundred requests.
	unservedWeight = 0.01
	// rateWeight remembers about two seconds.
	rateWeight = 0.12
)

func (a *average) add(value, weight float64) {
	if !a.begun {
		a.begun = true
		a.value = value
		return
	}
	a.value += weight * (value - a.value)
}
