package service

import (
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

// openEvidence holds the evidence, in nats, that has been added so far for each open
// request. The key is the start of the request, as clock.Nanos.
type openEvidence map[int64]float64

// failureRateInterval is the time between two estimates of the failure rate.
const failureRateInterval = time.Second

// Observe processes an observation and returns the transitions that it causes. The
// outcome and latency of a request are ignored if its target takes no new requests by
// the time the request ends.
func (s *Service) Observe(o link.Observation) []Transition {
	m, ok := s.byName[o.Target.Name]
	if !ok {
		return nil
	}
	if o.Leaving {
		s.addLeaveSignal(m, target.SignalFromHeader, o.At)
	}
	if m.target.TakesRequests() {
		s.recordOutcome(m, o)
		s.recordLatency(m, o)
		s.evaluate(m, o.At)
	}
	delete(m.openEvidence, clock.Nanos(o.Started))
	return s.takeTransitions()
}

// recordOutcome adds the outcome of a request to the evidence for Failing.
func (s *Service) recordOutcome(m *managedTarget, o link.Observation) {
	switch o.Outcome {
	case link.Canceled, link.Refused:
		return
	case link.TimedOut:
		// A timeout after a time that is normal for the service is no evidence against
		// the target: the caller set a short deadline.
		if s.latencies.ready && !s.latencies.InTail(o.Latency) {
			return
		}
	}
	failed := o.Outcome != link.Succeeded
	t := m.target
	t.Evidence().CountObservation(o.At)
	t.FailureRate().Add(failed)
	if failed {
		t.Evidence().Add(target.Failing, s.rates.FailureLLR(), s.thresholds[target.Failing], o.At)
		return
	}
	t.ClearProbes()
	t.Evidence().Add(target.Failing, s.rates.SuccessLLR(), s.thresholds[target.Failing], o.At)
}

// recordLatency adds the evidence of a request's latency for Slow, minus the evidence
// that was already added while the request was open. It ignores warming targets, which
// are expected to be slow.
func (s *Service) recordLatency(m *managedTarget, o link.Observation) {
	if o.Outcome != link.Succeeded && o.Outcome != link.TimedOut {
		return
	}
	latency := max(0, o.Latency-m.link.RoundTrip())
	if m.target.State() == target.Warming {
		return
	}
	nats := s.latencies.LLR(latency) - m.openEvidence[clock.Nanos(o.Started)]
	m.target.Evidence().Add(target.Slow, nats, s.thresholds[target.Slow], o.At)
	if o.Outcome == link.Succeeded && !s.isOutlier(m) {
		s.latencies.Add(latency)
	}
}

// isOutlier reports whether a target is suspected of being slow while the service as a
// whole is not. The latencies of such a target are excluded from the service's
// distribution.
func (s *Service) isOutlier(m *managedTarget) bool {
	suspected := m.target.Evidence().Sum()[target.Slow] >= float64(s.thresholds[target.Slow].ForProbation())
	return suspected && !s.isServiceWide(m, target.Slow)
}

// observeOpenRequests adds evidence for Slow from requests that are still open although
// their response is late, so that a target that hangs is detected before the deadlines
// of its requests.
func (s *Service) observeOpenRequests(m *managedTarget, now time.Time) {
	if m.link.InFlight() == 0 || !m.target.TakesRequests() || m.target.State() == target.Warming {
		return
	}
	m.link.ForEachOpen(func(start time.Time) {
		age := now.Sub(start) - m.link.RoundTrip()
		if !s.latencies.InTail(age) {
			return
		}
		key := clock.Nanos(start)
		if m.openEvidence == nil {
			m.openEvidence = make(openEvidence)
		}
		nats := s.latencies.LLR(age)
		if added := nats - m.openEvidence[key]; added > 0 {
			m.target.Evidence().CountObservation(now)
			m.target.Evidence().Add(target.Slow, added, s.thresholds[target.Slow], now)
			m.openEvidence[key] = nats
		}
	})
	s.pruneOpenEvidence(m)
}

// pruneOpenEvidence removes the entries of requests that ended without an observation,
// once the map has more than two entries for each slot of the link.
func (s *Service) pruneOpenEvidence(m *managedTarget) {
	if len(m.openEvidence) <= 2*m.link.Slots() {
		return
	}
	open := make(openEvidence)
	m.link.ForEachOpen(func(start time.Time) {
		key := clock.Nanos(start)
		open[key] = m.openEvidence[key]
	})
	m.openEvidence = open
}

// refreshFailureRates sets the failure rate expected of healthy targets to that of the
// median target of the service.
func (s *Service) refreshFailureRates(now time.Time) {
	if now.Before(s.nextRateRefresh) {
		return
	}
	s.nextRateRefresh = now.Add(failureRateInterval)
	rates := make([]float64, 0, len(s.targets))
	for _, m := range s.targets {
		rates = append(rates, m.target.FailureRate().Rate())
	}
	s.rates = target.RatesFor(median(rates))
}
