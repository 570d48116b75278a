package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/internal/clock"
)

// ServiceHash identifies a service in the messages between hosts.
type ServiceHash uint32

// NewServiceHash returns the hash of a service's name.
func NewServiceHash(name string) ServiceHash {
	h := xxhash.Sum64String(name)
	return ServiceHash(h ^ h>>32)
}

// CountUnserved counts requests of any host that ended without their callers having been
// served: failed, late, or refused by a target or by the host itself.
func (s *Service) CountUnserved(requests int) { s.counts.unserved += requests }

// Usage is how many of a service's targets are in use, and what that is judged by.
type Usage struct {
	// RequestRate is the number of requests a second of all hosts, and UnservedShare the
	// share of them, 0 to 1, whose callers were not served.
	RequestRate, UnservedShare float64
	// Trusted is the number of trusted targets, and InUse the number of those that got a
	// request lately.
	Trusted, InUse int
	// KeepAllInUse is set while all targets must get requests.
	KeepAllInUse bool
}

// Usage returns the usage as of the last Refresh.
func (s *Service) Usage(now time.Time) Usage {
	u := Usage{KeepAllInUse: s.keepAllInUse.Load()}
	u.RequestRate = s.servedRate.value + s.unservedRate.value
	if u.RequestRate > 0 {
		u.UnservedShare = s.unservedRate.value / u.RequestRate
	}
	for _, t := range s.eligible {
		if t.suspicion.suspect {
			continue
		}
		u.Trusted++
		if t.InFlight() > 0 || clock.Nanos(now)-t.lastUsed.Load() < int64(maxRequestGap) {
			u.InUse++
		}
	}
	return u
}
