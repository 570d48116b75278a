package host

import (
	"math"
	"time"
)

// Timing holds the periods and timeouts of a host.
type Timing struct {
	// PingInterval is the time between two pings, each to one peer, whatever
	// the size of the fleet. Shorter finds failures sooner and costs more
	// messages: each host sends one and receives one an interval on average.
	PingInterval time.Duration
	// PingTimeout is the time for an answer. Shorter finds failures sooner;
	// longer takes fewer slow peers for failed ones. It grows with the doubt
	// of this host about itself.
	PingTimeout time.Duration
	// SuspicionFactor times PingInterval times the logarithm to base 10 of
	// the number of hosts is the time that a suspected peer has to refute.
	// Greater gives a paused or overloaded peer more time; smaller drops a
	// dead one from the entry sets sooner.
	SuspicionFactor float64
	// SyncInterval is the least time between two comparisons of the whole
	// list of hosts with one peer. It grows with the number of hosts, as the
	// list does, so that the bytes a second stay the same.
	SyncInterval time.Duration
	// RecontactInterval is the time between two attempts to reach one peer
	// that is gone, or an address of the seeds or the host list. Shorter joins
	// a fleet that was split sooner.
	RecontactInterval time.Duration
	// ForgetAfter is how long a host that is gone is remembered and tried.
	ForgetAfter time.Duration
	// Poll is the least mean time between two reads of the table's revision.
	// It grows with the number of hosts, see pollBudget.
	Poll time.Duration
	// StaleAfter is the time without news from the store and from enough
	// peers after which the host leaves the directory. Shorter serves an old
	// configuration for less time; longer rides out longer faults.
	StaleAfter time.Duration
	// HostListPoll is the least time between two reads of the host list. It
	// grows with the number of hosts like Poll.
	HostListPoll time.Duration
}

// DefaultTiming returns the timing for fleets of one to a thousand hosts.
func DefaultTiming() Timing {
	return Timing{
		PingInterval:      time.Second,
		PingTimeout:       500 * time.Millisecond,
		SuspicionFactor:   4,
		SyncInterval:      30 * time.Second,
		RecontactInterval: 10 * time.Second,
		ForgetAfter:       2 * time.Hour,
		Poll:              2 * time.Second,
		StaleAfter:        30 * time.Second,
		HostListPoll:      5 * time.Second,
	}
}

// Budgets of the whole fleet.
const (
	// pollBudget is how many reads of the table's revision a second all hosts
	// make together. A twentieth of the users' limit of 200 reads a second,
	// as much again for the host list, leaves the rest to restarts.
	pollBudget = 20
	// syncHostTime is the time between two comparisons of the list of hosts
	// for each host on it: 890 hosts of 110 bytes in 134 s are 0.7 KB/s.
	syncHostTime = 150 * time.Millisecond
)

// pollPeriod stretches a period so that all hosts together stay within
// pollBudget.
func pollPeriod(least time.Duration, hosts int) time.Duration {
	return max(least, time.Duration(hosts)*time.Second/pollBudget)
}

func (t Timing) syncPeriod(hosts int) time.Duration {
	return max(t.SyncInterval, time.Duration(hosts)*syncHostTime)
}

// suspicionTime is how long a suspected peer has to refute.
func (t Timing) suspicionTime(hosts int) time.Duration {
	scale := max(1, math.Log10(float64(hosts)))
	return time.Duration(t.SuspicionFactor * scale * float64(t.PingInterval))
}
