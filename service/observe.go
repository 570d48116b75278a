package service

import (
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

// openRequests holds the evidence that open requests have brought so far, by
// their start in Unix nanoseconds.
type openRequests map[int64]float64

// refreshTime is the time between two estimates of the failure rate.
const refreshTime = time.Second

// Observe counts an observation and returns the transitions it causes. What
// ends on a target that takes no new work any more is no evidence.
func (s *Service) Observe(o link.Observation) []Transition {
	m, ok := s.byName[o.Target.Name]
	if !ok {
		return nil
	}
	if o.Leaving {
		s.sign(m, target.SignHeader, o.At)
	}
	if m.target.TakesWork() {
		s.countOutcome(m, o)
		s.countLatency(m, o)
		s.judge(m, o.At)
	}
	delete(m.open, clock.Nanos(o.Started))
	return s.take()
}

// countOutcome counts whether the request failed.
func (s *Service) countOutcome(m *member, o link.Observation) {
	switch o.Outcome {
	case link.Canceled, link.Refused:
		return
	case link.TimedOut:
		// A caller's own short deadline says nothing of the target.
		if s.latencies.ready && !s.latencies.Unusual(o.Latency) {
			return
		}
	}
	failed := o.Outcome != link.Succeeded
	t := m.target
	t.Pool().CountObservation(o.At)
	t.Failures().Add(failed)
	if failed {
		t.Pool().Add(target.Failing, s.rates.Failure(), s.thresholds[target.Failing], o.At)
		return
	}
	t.ClearProbes()
	t.Pool().Add(target.Failing, s.rates.Success(), s.thresholds[target.Failing], o.At)
}

// countLatency counts how long the request took, less what was counted while
// it was open. A cold target is expected to be slow.
func (s *Service) countLatency(m *member, o link.Observation) {
	if o.Outcome != link.Succeeded && o.Outcome != link.TimedOut {
		return
	}
	latency := max(0, o.Latency-m.link.RoundTrip())
	if m.target.State() == target.Warming {
		return
	}
	nats := s.latencies.Nats(latency) - m.open[clock.Nanos(o.Started)]
	m.target.Pool().Add(target.Slow, nats, s.thresholds[target.Slow], o.At)
	if o.Outcome == link.Succeeded && !s.standsOut(m) {
		s.latencies.Add(latency)
	}
}

// standsOut reports whether a member alone is suspected of being slow. Its
// latencies are kept out of the service's distribution.
func (s *Service) standsOut(m *member) bool {
	suspected := m.target.Pool().Sum()[target.Slow] >= float64(s.thresholds[target.Slow].OnProbation())
	return suspected && !s.serviceWide(m, target.Slow)
}

// watchOpen counts the requests in flight whose answer is late already, before
// their deadline ends them.
func (s *Service) watchOpen(m *member, now time.Time) {
	if m.link.InFlight() == 0 || !m.target.TakesWork() || m.target.State() == target.Warming {
		return
	}
	m.link.OpenSince(func(start time.Time) {
		age := now.Sub(start) - m.link.RoundTrip()
		if !s.latencies.Unusual(age) {
			return
		}
		key := clock.Nanos(start)
		if m.open == nil {
			m.open = make(openRequests)
		}
		nats := s.latencies.Nats(age)
		if more := nats - m.open[key]; more > 0 {
			m.target.Pool().CountObservation(now)
			m.target.Pool().Add(target.Slow, more, s.thresholds[target.Slow], now)
			m.open[key] = nats
		}
	})
	s.dropEnded(m)
}

// dropEnded forgets requests that ended without an observation.
func (s *Service) dropEnded(m *member) {
	if len(m.open) <= 2*m.link.Slots() {
		return
	}
	open := make(openRequests)
	m.link.OpenSince(func(start time.Time) {
		key := clock.Nanos(start)
		open[key] = m.open[key]
	})
	m.open = open
}

// refreshRates adapts the failure rate of healthy targets to the median target
// of the service.
func (s *Service) refreshRates(now time.Time) {
	if now.Before(s.nextRates) {
		return
	}
	s.nextRates = now.Add(refreshTime)
	rates := make([]float64, 0, len(s.members))
	for _, m := range s.members {
		rates = append(rates, m.target.Failures().Rate())
	}
	s.rates = target.RatesAround(median(rates))
}
