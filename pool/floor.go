package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/link"
)

// ServiceHash identifies a service in the messages between hosts.
type ServiceHash uint32

// NewServiceHash returns the hash of a service's name.
func NewServiceHash(name string) ServiceHash {
	h := xxhash.Sum64String(name)
	return ServiceHash(h ^ h>>32)
}

const (
	// floorWindow is the time within which each target of the floor must get a request.
	floorWindow = 2 * time.Second
	// keepAllInUseShare is the share of unserved requests or failed attempts above which all
	// targets get requests. The floor is owed from a share of 0.1 in floorWindow; the lower
	// value leaves a margin for the delay of the averages.
	keepAllInUseShare = 0.06
	// demandWeight averages the counts of a Refresh over about two seconds, and
	// unservedWeight over half a second: the floor is owed in a window in which requests
	// have only begun to be unserved.
	demandWeight   = 0.12
	unservedWeight = 0.4
	// selectiveUnservedWeight averages the unserved requests of a selective service over 0.8 s:
	// over half a second, few failures more than usual would keep all targets in use.
	selectiveUnservedWeight = 0.3
)

// demandCounts counts ends of attempts and of requests since the last average.
type demandCounts struct{ attempts, retryable, failed, failedTrials, failedRetryableTrials, served, unserved int }

// demand is what all hosts together send to a service, and how that ends. It counts both attempts
// at targets and the requests of callers: an attempt that failed may have been repeated with
// success, and a request that was refused by its host had no attempt.
type demand struct {
	counts demandCounts
	// attempts is the rate of attempts that end, failures that of attempts that fail at
	// trusted targets or are overdue, and trialFailures and retryableTrialFailures those of
	// failed trial requests, by whether they may run again, in attempts a second.
	attempts, failures, trialFailures, retryableTrialFailures movingAverage
	// served and unserved are the rates of requests whose callers were and were not served, in
	// requests a second.
	served, unserved movingAverage
	// keepUntil is until when all targets are kept in use after the last reason for it.
	keepUntil time.Time
	// unservedUntil is the same for the unserved requests of callers alone.
	unservedUntil time.Time
}

// countAttempt counts the end of an attempt of any host.
func (d *demand) countAttempt(e Ending, trial bool) {
	switch o := e.Outcome; {
	case o == link.Overdue:
		// The attempt goes on, but its caller is likely to be served late or not at all, which
		// is known only seconds later.
		d.counts.failed++
		return
	case o == link.Succeeded:
		d.counts.served++
	case o != link.Failed && o != link.Broken && o != link.TimedOut:
	case trial && e.Retryable:
		d.counts.failedRetryableTrials++
	case trial:
		d.counts.failedTrials++
	default:
		d.counts.failed++
	}
	d.counts.attempts++
	if e.Retryable {
		d.counts.retryable++
	}
}

// average turns the counts of the given time into rates.
func (d *demand) average(interval time.Duration, unservedWeight float64) {
	for _, r := range []struct {
		rate   *movingAverage
		count  int
		weight float64
	}{
		{&d.attempts, d.counts.attempts, demandWeight},
		{&d.failures, d.counts.failed, demandWeight},
		{&d.trialFailures, d.counts.failedTrials, demandWeight},
		{&d.retryableTrialFailures, d.counts.failedRetryableTrials, demandWeight},
		{&d.served, d.counts.served, unservedWeight},
		{&d.unserved, d.counts.unserved, unservedWeight},
	} {
		r.rate.add(float64(r.count)/interval.Seconds(), r.weight)
	}
	d.counts = demandCounts{}
}

// requests returns the rate of the callers' requests.
func (d *demand) requests() float64 { return d.served.value + d.unserved.value }

// manyUnserved reports whether so many callers are not served that the floor may be owed.
func (d *demand) manyUnserved() bool { return d.unserved.value > keepAllInUseShare*d.requests() }

// manyFail reports whether many attempts fail or are overdue. That is known before the end of their
// requests, and from hosts of versions that report no unserved requests. Failed trial requests
// count only while few targets are in use.
func (d *demand) manyFail(fewInUse bool) bool {
	failures := d.failures.value
	if fewInUse {
		failures += d.trialFailures.value + d.retryableTrialFailures.value
	}
	return failures > keepAllInUseShare*d.attempts.value
}

// manyCallersFail is the same for a selective service whose requests may mostly run only once. All its
// targets come into use at the cost of callers: only attempts count whose failure is that of their
// request.
func (d *demand) manyCallersFail() bool {
	return d.failures.value+d.trialFailures.value > keepAllInUseShare*d.attempts.value
}

// CountUnserved counts requests of any host that ended without their callers having been
// served: failed, late, or refused by a target or by the host itself.
func (s *Service) CountUnserved(requests int) { s.demand.counts.unserved += requests }

// updateKeepAllInUse decides whether all targets must get requests. They must while many callers
// are not served, because the floor must be in use then, and while the service gets no retryable
// requests, because only those explore unused targets. In both cases there must be enough
// requests for the targets of the floor. A selective service keeps them in use only in the first
// case: requests to unproven targets are often lost, and bring about that very case.
func (s *Service) updateKeepAllInUse(interval time.Duration, now time.Time) {
	weight, selective := unservedWeight, s.selective()
	if selective {
		weight = selectiveUnservedWeight
	}
	s.demand.average(interval, weight)
	u := s.Usage(now)
	fewInUse := float64(u.InUse) < (1+s.floor)/2*float64(u.Trusted)
	fail := s.demand.manyFail(fewInUse || selective)
	if selective && !s.mostlyRetryable {
		fail = s.demand.manyCallersFail()
	}
	if s.demand.manyUnserved() {
		s.demand.unservedUntil = now.Add(floorWindow)
	}
	if fail || s.demand.manyUnserved() {
		s.demand.keepUntil = now.Add(floorWindow)
	}
	s.callersUnserved.Store(now.Before(s.demand.unservedUntil))
	enough := s.demand.attempts.value*floorWindow.Seconds() >= s.floor*float64(len(s.eligible))
	s.keepAllInUse.Store(enough && s.demand.attempts.value > 0 && (now.Before(s.demand.keepUntil) || !s.HasRetryable && !selective))
}

// Usage is how many of a service's targets are in use, and what that is judged by.
type Usage struct {
	// RequestRate is the number of requests a second of all hosts, and UnservedShare the
	// share of them, 0 to 1, whose callers were not served.
	RequestRate, UnservedShare float64
	// Trusted is the number of trusted targets, and InUse the number of those that got a
	// request within maxFloorGap.
	Trusted, InUse int
	// KeepAllInUse is set while all targets must get requests.
	KeepAllInUse bool
}

// Usage returns the usage as of the last Refresh.
func (s *Service) Usage(now time.Time) Usage {
	u := Usage{KeepAllInUse: s.keepAllInUse.Load(), RequestRate: s.demand.requests()}
	if u.RequestRate > 0 {
		u.UnservedShare = s.demand.unserved.value / u.RequestRate
	}
	for _, t := range s.eligible {
		if t.suspicion.suspect {
			continue
		}
		u.Trusted++
		if t.SinceArrival(now) < maxFloorGap {
			u.InUse++
		}
	}
	return u
}
