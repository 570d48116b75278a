package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/zone"
)

// Place is where this host is.
type Place struct {
	Zone  zone.ID
	Zones *zone.Map
	// Rand spreads the tests of the fleet's hosts; nil for no spread.
	Rand *rand.Rand
}

// spread returns a random time up to the given one.
func (p Place) spread(most time.Duration) time.Duration {
	if p.Rand == nil {
		return 0
	}
	return time.Duration(p.Rand.Int64N(int64(most)))
}

func (p Place) distance(to zone.ID) Distance {
	switch {
	case to == p.Zone:
		return SameZone
	case p.Zones.Region(to) == p.Zones.Region(p.Zone):
		return SameRegion
	default:
		return OtherRegion
	}
}

// Service is the targets of one service. The control thread owns it; traffic
// reads the immutable Routing.
type Service struct {
	Name string
	// Repeatable is set while the service gets requests that may be repeated,
	// by which suspects are tested at no risk.
	Repeatable bool

	place   Place
	targets map[discovery.Key]*Target
	order   []*Target
	// typical is the usual latency of the service's successes, and published
	// what traffic reads of it, in nanoseconds.
	typical   average
	successes int
	published atomic.Int64
	// unserved is the share of requests that fail at trusted targets, rate how many
	// requests end in a second, and ended those since the last Refresh.
	unserved, rate average
	ended          int
	// spread tells traffic to keep all targets in use.
	spread  atomic.Bool
	routing *Routing
}

// NewService returns a service without targets.
func NewService(name string, place Place) *Service {
	return &Service{Name: name, place: place, targets: make(map[discovery.Key]*Target)}
}

// Apply takes the registered targets over. Those that stay keep their state;
// draining ones take no more requests.
func (s *Service) Apply(list []discovery.Target) {
	known, first := s.targets, len(s.targets) == 0
	s.targets = make(map[discovery.Key]*Target, len(list))
	s.order = s.order[:0:0]
	for _, d := range list {
		t := known[d.Key()]
		if t == nil || t.Address != d.Address || t.Slots != d.Slots {
			t = newTarget(d, s.place.distance(d.Zone))
			t.joined = !first
		}
		t.warming.Store(d.Warming)
		s.targets[d.Key()] = t
		if !d.Draining {
			s.order = append(s.order, t)
		}
	}
	s.routing = nil
}

// Targets returns the targets that may take requests.
func (s *Service) Targets() []*Target { return s.order }

// enoughSuccesses is how many successes make the usual latency known. The first ones
// after a start are the shortest requests.
const enoughSuccesses = 25

// fastShare is the share of the usual latency below which a failure was not
// the end of work.
const fastShare = 0.4

// fastest is the latency below which a failure is early for a service whose
// usual latency is not known yet.
const fastest = 60 * time.Millisecond

// Observe counts the end of a request at a target. It reports whether the
// target became a suspect or ended to be one.
func (s *Service) Observe(t *Target, e Ending, now time.Time) (changed bool) {
	s.countFailure(t, e.Outcome)
	switch e.Outcome {
	case link.Succeeded:
		t.lastSuccess.Store(clock.Nanos(now))
		t.latency.add(float64(e.Latency), latencyWeight)
		s.typical.add(float64(e.Latency), latencyWeight)
		if s.successes++; s.successes >= enoughSuccesses {
			s.published.Store(int64(s.typical.value))
		}
		changed = t.suspicion.acquit(now.Add(-e.Latency), now)
		t.failures = nil
	case link.Failed, link.Broken:
		changed = t.suspicion.blame(s.weigh(e), now)
	case link.ConnectFailed:
		// The first host may have a broken link of its own.
		if t.failures.add(e.Host, now) > 1 {
			changed = t.suspicion.blame(strong, now)
		}
	case link.Overdue:
		// Where requests queue, all are late.
		if !t.Full() {
			changed = t.suspicion.blame(weak, now)
		}
	}
	t.publish(s.place)
	return changed
}

// weigh returns the evidence of a failure by how early it came.
func (s *Service) weigh(e Ending) float64 {
	early := time.Duration(fastShare * float64(s.published.Load()))
	if early == 0 {
		early = fastest
	}
	if e.Latency < early {
		return strong
	}
	return weak
}

// countFailure keeps the shares of requests that fail at a target and at all trusted
// ones.
func (s *Service) countFailure(t *Target, o link.Outcome) {
	s.ended++
	failed := 0.0
	switch o {
	case link.Succeeded:
	case link.Failed, link.Broken, link.TimedOut:
		failed = 1
	default:
		return
	}
	t.failed.begun = true
	t.failed.add(failed, failureWeight)
	t.unreliability.Store(math.Float64bits(t.failed.value))
	if !t.suspicion.suspect { // tests are expected to fail
		s.unserved.begun = true
		s.unserved.add(failed, unservedWeight)
	}
}

// publish shows traffic the suspicion. Each host has its own time for the next test:
// the others hear of a test some milliseconds late, and would all send one.
func (t *Target) publish(p Place) {
	if !t.suspicion.suspect {
		t.verdict.Store(trusted)
		return
	}
	t.verdict.Store(&verdict{
		suspect:   true,
		confirmed: t.suspicion.failed,
		testAt:    t.suspicion.testAt.Add(p.spread(testSpread)),
		riskAt:    t.suspicion.riskAt.Add(p.spread(riskSpread)),
	})
}

// slownessMemory is the time in which a target that gets no requests is taken
// to be as fast as the others again.
const slownessMemory = 4 * time.Second

// A service whose requests fail keeps all targets in use, for its floor, and so does one
// without repeatable requests that could probe unused targets, if it has the requests for
// that.
const (
	// spreadFrom is the share of failed requests from which it does. The users' floor
	// must be in use from a tenth.
	spreadFrom = 0.06
	// floorWindow is the time in which each target of the floor must get a request.
	floorWindow = 2 * time.Second
)

// Refresh compares the targets' latencies and measures the rate of requests. The control
// thread calls it at the given interval.
func (s *Service) Refresh(interval time.Duration) {
	s.rate.add(float64(s.ended)/interval.Seconds(), rateWeight)
	s.ended = 0
	enough := s.rate.value*floorWindow.Seconds() >= float64(len(s.order))
	s.spread.Store(enough && (s.unserved.value > spreadFrom || !s.Repeatable))
	latencies := make([]float64, 0, len(s.order))
	for _, t := range s.order {
		if t.latency.value > 0 {
			latencies = append(latencies, t.latency.value)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	median := latencies[len(latencies)/2]
	for _, t := range s.order {
		if t.latency.value == 0 {
			continue
		}
		ratio := t.latency.value / median
		t.slowness.Store(math.Float64bits(ratio))
		if t.InFlight() == 0 {
			t.latency.value += (median - t.latency.value) * min(1, float64(interval)/float64(slownessMemory))
		}
	}
}

// Routing returns the immutable view that traffic reads.
func (s *Service) Routing(floor float64) *Routing {
	if s.routing == nil || s.routing.floor != floor || s.routing.repeatable != s.Repeatable {
		s.routing = &Routing{
			Service:    s.Name,
			Targets:    slices.Clone(s.order),
			floor:      floor,
			repeatable: s.Repeatable,
			typical:    &s.published,
			spread:     &s.spread,
		}
		for _, t := range s.order {
			s.routing.Slots += t.Slots
		}
	}
	return s.routing
}

// All returns all targets, draining ones included.
func (s *Service) All() map[discovery.Key]*Target { return s.targets }
