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

// Location is where in the network this host is.
type Location struct {
	Zone  zone.ID
	Zones *zone.Map
	// Rand is the source of the jitter of trial requests; nil for no jitter.
	Rand *rand.Rand
}

// jitter returns a random duration below the given one.
func (l Location) jitter(limit time.Duration) time.Duration {
	if l.Rand == nil {
		return 0
	}
	return time.Duration(l.Rand.Int64N(int64(limit)))
}

func (l Location) distance(to zone.ID) Distance {
	switch {
	case to == l.Zone:
		return SameZone
	case l.Zones.Region(to) == l.Zones.Region(l.Zone):
		return SameRegion
	default:
		return OtherRegion
	}
}

// Service holds the targets of one service. The control thread owns it; traffic reads
// the immutable Routing.
type Service struct {
	Name string
	// HasRetryable is set while the service gets requests that may be retried. Such a
	// request can be a trial request: if it fails, that costs only a retry.
	HasRetryable bool

	location Location
	targets  map[discovery.Key]*Target
	// eligible are the targets that may take requests: all but the leaving ones.
	eligible []*Target
	// typicalLatency is the average latency of the service's successes, and
	// publishedTypical the copy that traffic reads, in nanoseconds.
	typicalLatency   movingAverage
	successes        int
	publishedTypical atomic.Int64
	// latencyDeviation is the mean deviation of the latency from the typical one, and
	// publishedDeviation the copy that traffic reads.
	latencyDeviation   movingAverage
	publishedDeviation atomic.Int64
	// demand is what the fleet sends to the service and how that ends.
	demand demand
	// episodes is what was learned of the targets' episodes of failures, and capacityWorth what
	// one more target's capacity is worth, in failed requests, as of the last Refresh.
	episodes      episodes
	capacityWorth float64
	// explores is set while enough retryable requests come to find out which targets work.
	explores bool
	// kinds counts the requests by whether they may run again.
	kinds requestKinds
	// mostlyRetryable is set while most requests may run again, and tooFewRequests while there are
	// too few of them for each target to be selective.
	mostlyRetryable, tooFewRequests bool
	// suspects is the average number of suspects.
	suspects movingAverage
	// publishedSelective is the copy of selective that traffic reads.
	publishedSelective atomic.Bool
	// contacts is the share of the requests to unproven targets that succeed, and loads the load
	// of the targets of each zone.
	contacts movingAverage
	loads    map[zone.ID]zoneLoad
	// planned is set if the last Refresh has planned trial requests.
	planned bool
	// requestRate is the rate of the requests of all hosts, as float64 bits.
	requestRate atomic.Uint64
	// floor is the share of the targets that must be in use while requests fail.
	floor float64
	// throttles holds back what each target has asked not to get. They outlast the rows of
	// their targets, which lapse and come back after an outage of the store.
	throttles map[discovery.Key]*link.Throttle
	// rateShare is the share of the targets' rate limits that the requests this host knows
	// of count against, as float64 bits.
	rateShare atomic.Uint64
	// callersUnserved is set while many callers are not served.
	callersUnserved atomic.Bool
	// keepAllInUse tells traffic to send requests to all targets.
	keepAllInUse atomic.Bool
	// waiting counts the requests that wait for slots.
	waiting waitingCounts
	// routing is the last view for traffic; nil after a change of the targets.
	routing *Routing
}

// NewService returns a service without targets.
func NewService(name string, location Location) *Service {
	s := &Service{
		explores: true,
		Name:     name, location: location, capacityWorth: minWorth, loads: make(map[zone.ID]zoneLoad),
		targets: make(map[discovery.Key]*Target), throttles: make(map[discovery.Key]*link.Throttle),
	}
	s.SetRateShare(1)
	return s
}

// Apply replaces the targets by the registered ones. Targets that stay registered
// keep their state; leaving ones get no more requests.
func (s *Service) Apply(registered []discovery.Target) {
	known, inUse := s.targets, s.successes > 0
	s.targets = make(map[discovery.Key]*Target, len(registered))
	s.eligible = s.eligible[:0:0]
	for _, d := range registered {
		t := known[d.Key()]
		if t == nil || t.Address != d.Address || t.Slots != d.Slots {
			t = newTarget(d, s.location.distance(d.Zone), s.throttle(d.Key()))
			t.zone = d.Zone
			t.joinedLater = inUse
		}
		t.warming.Store(d.Warming)
		s.targets[d.Key()] = t
		if !d.Leaving && !t.SaysLeaving() {
			s.eligible = append(s.eligible, t)
		}
	}
	s.routing = nil
	s.forgetThrottles()
}

// throttle returns the throttle of an incarnation of a target.
func (s *Service) throttle(k discovery.Key) *link.Throttle {
	if s.throttles[k] == nil {
		s.throttles[k] = &link.Throttle{}
	}
	return s.throttles[k]
}

// maxLapsedThrottles is from how many throttles of targets without a row they are forgotten. It is
// above the number of targets whose rows lapse in one outage.
const maxLapsedThrottles = 8192

// forgetThrottles forgets the throttles of targets without a row when there are too many.
func (s *Service) forgetThrottles() {
	if len(s.throttles) <= len(s.targets)+maxLapsedThrottles {
		return
	}
	for k := range s.throttles {
		if s.targets[k] == nil {
			delete(s.throttles, k)
		}
	}
}

// Leave takes a target out of use that has announced in a response that it is leaving, before
// its registration says so.
func (s *Service) Leave(t *Target) {
	t.throttle.MarkLeaving()
	s.eligible = slices.DeleteFunc(slices.Clone(s.eligible), func(e *Target) bool { return e == t })
	s.routing = nil
}

// SetRateShare sets the share of the targets' rate limits that the hosts which tell each other
// of their requests may use together: the share of them in all hosts. Hosts of the other parts
// of a divided fleet use the rest.
func (s *Service) SetRateShare(share float64) { s.rateShare.Store(math.Float64bits(share)) }

// CountOthers counts requests of another host against the target's rate limit.
func (s *Service) CountOthers(t *Target, requests int, now time.Time) {
	t.throttle.Count(requests, now, math.Float64frombits(s.rateShare.Load()))
}

// Targets returns the targets that may take requests.
func (s *Service) Targets() []*Target { return s.eligible }

// minSuccesses is the number of successes from which the typical latency is used. An
// average of fewer would be too low, since the shortest requests end first after a
// start.
const minSuccesses = 25

// earlyFailureShare is the share of the typical latency below which a failed request
// cannot have done its work.
const earlyFailureShare = 0.4

// defaultEarlyLimit is the latency below which a failure is early while the typical
// latency is not known.
const defaultEarlyLimit = 60 * time.Millisecond

// Observe counts the end of a request at a target. It reports whether the target
// became a suspect or stopped being one.
func (s *Service) Observe(t *Target, e Ending, now time.Time) (changed bool) {
	s.countOutcome(t, e)
	before := t.suspicion
	s.countContact(t, e.Outcome, now)
	switch e.Outcome {
	case link.Succeeded:
		t.lastSuccess.Store(clock.Nanos(now))
		t.latency.add(float64(e.Latency), latencyWeight)
		s.typicalLatency.add(float64(e.Latency), latencyWeight)
		s.latencyDeviation.add(math.Abs(float64(e.Latency)-s.typicalLatency.value), deviationWeight)
		if s.successes++; s.successes >= minSuccesses {
			s.publishedTypical.Store(int64(s.typicalLatency.value))
			s.publishedDeviation.Store(int64(s.latencyDeviation.value))
		}
		changed = t.suspicion.recordSuccess(now.Add(-e.Latency), now)
		t.connectFailures = nil
	case link.Failed, link.Broken:
		changed = t.suspicion.recordFailure(s.failureEvidence(e), now)
	case link.ConnectFailed:
		// If only one host fails to connect, its own link may be broken.
		if t.connectFailures.add(e.Host, now) > 1 {
			changed = t.suspicion.recordFailure(strongEvidence, now)
		}
	case link.Overdue:
		// At a full target, requests are overdue because they queue.
		if !t.IsFull() {
			changed = t.suspicion.recordFailure(weakEvidence, now)
		}
	}
	if s.selective() {
		t.countRefusal(e.Outcome)
		s.learnEpisode(t, before)
		if s.publishTrial(t); changed {
			s.planWorkingSet(now)
		}
		return changed
	}
	t.publishSuspicion(s.location)
	return changed
}

// failureEvidence returns the evidence of a failed request: an early failure is
// strong evidence, a later one weak.
func (s *Service) failureEvidence(e Ending) float64 {
	early := time.Duration(earlyFailureShare * float64(s.publishedTypical.Load()))
	if early == 0 {
		early = defaultEarlyLimit
	}
	if e.Latency < early {
		return strongEvidence
	}
	return weakEvidence
}

// countOutcome updates the counts of requests and the share of requests that fail at
// the target. That average starts at 0 instead of at its first value.
func (s *Service) countOutcome(t *Target, e Ending) {
	s.demand.countAttempt(e, t.suspicion.suspect)
	failed := 0.0
	switch e.Outcome {
	case link.Succeeded:
	case link.Failed, link.Broken, link.TimedOut:
		failed = 1
	default:
		return
	}
	t.failureRate.started = true
	t.failureRate.add(failed, targetFailureWeight)
	t.publishedFailureRate.Store(math.Float64bits(t.failureRate.value))
}

// publishSuspicion publishes the suspicion for traffic. Each host adds jitter of its
// own to the time of the next trial request: hosts learn of another one's trial some
// milliseconds late, and without jitter all of them would send one.
func (t *Target) publishSuspicion(l Location) {
	if !t.suspicion.suspect {
		t.suspicionView.Store(trusted)
		return
	}
	t.suspicionView.Store(&suspicionView{
		suspect:      true,
		confirmed:    t.suspicion.trialFailed,
		trialAt:      t.suspicion.trialAt.Add(l.jitter(trialJitter)),
		riskyTrialAt: t.suspicion.riskyTrialAt.Add(l.jitter(riskyTrialJitter)),
	})
}

// slownessDecayTime is the time constant with which the average latency of a target
// without requests returns to the median, so that the target gets requests again.
const slownessDecayTime = 4 * time.Second

// Refresh compares the targets' latencies and updates the rate of requests. The
// control thread calls it at the given interval.
func (s *Service) Refresh(interval time.Duration, now time.Time) {
	s.updateExplores(s.demand.counts, interval)
	s.updateKeepAllInUse(interval, now)
	s.planSelective(interval, now)
	latencies := make([]float64, 0, len(s.eligible))
	for _, t := range s.eligible {
		if t.latency.value > 0 {
			latencies = append(latencies, t.latency.value)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	median := latencies[len(latencies)/2]
	for _, t := range s.eligible {
		if t.latency.value == 0 {
			continue
		}
		ratio := t.latency.value / median
		t.slowness.Store(math.Float64bits(ratio))
		if t.InFlight() == 0 {
			t.latency.value += (median - t.latency.value) * min(1, float64(interval)/float64(slownessDecayTime))
		}
	}
}

// Routing returns the immutable view that traffic reads.
func (s *Service) Routing(floor float64) *Routing {
	s.publishedSelective.Store(s.selective())
	if s.routing == nil || s.routing.floor != floor || s.routing.retryable != s.HasRetryable {
		s.floor = floor
		s.routing = &Routing{
			Service:        s.Name,
			Targets:        slices.Clone(s.eligible),
			floor:          floor,
			retryable:      s.HasRetryable,
			selective:      &s.publishedSelective,
			requestRate:    &s.requestRate,
			rateShare:      &s.rateShare,
			typicalLatency: &s.publishedTypical,
			deviation:      &s.publishedDeviation,
			keepAllInUse:   &s.keepAllInUse,

			callersUnserved: &s.callersUnserved,
			waiting:         &s.waiting,
		}
		for _, t := range s.eligible {
			s.routing.Slots += t.Slots
		}
	}
	return s.routing
}

// All returns all targets, including the leaving ones.
func (s *Service) All() map[discovery.Key]*Target { return s.targets }
