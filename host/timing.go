package host

import (
	"math"
	"time"
)

// Timing holds the intervals and timeouts of a host.
type Timing struct {
	// PingInterval is the time between two pings of one host. Each ping goes to
	// one peer, whatever the size of the fleet. A shorter interval detects
	// failures sooner and costs more messages: each host sends and receives one
	// ping per interval on average.
	PingInterval time.Duration
	// PingTimeout is the timeout of a ping. A shorter one detects failures
	// sooner; a longer one suspects fewer peers that are only slow. It grows
	// with this host's self-suspicion.
	PingTimeout time.Duration
	// SuspicionFactor determines the time that a suspect peer has to refute the
	// suspicion: this factor times PingInterval times the logarithm to base 10
	// of the number of hosts, or times 1 if that is greater. A greater factor
	// gives a paused or overloaded peer more time; a smaller one removes a dead
	// peer from the entry sets sooner.
	SuspicionFactor float64
	// SyncInterval is the minimum time between two syncs. A sync compares the
	// whole list of hosts with one peer. In a large fleet the time grows with
	// the number of hosts, as the list does, so that the bytes per second stay
	// the same.
	SyncInterval time.Duration
	// RecontactInterval is the time between two attempts to reach one gone
	// peer, or one address of the seeds or the host list. A shorter one rejoins
	// a partitioned fleet sooner.
	RecontactInterval time.Duration
	// ForgetAfter is how long a gone peer is kept and contacted.
	ForgetAfter time.Duration
	// PollInterval is the minimum mean time between two reads of the metadata
	// store's revision. It grows with the number of hosts, see fleetPollRate.
	PollInterval time.Duration
	// StaleAfter is the time without contact to the store and to enough peers
	// after which the host leaves the directory. A shorter one limits how long
	// an old configuration is served; a longer one tolerates longer outages.
	StaleAfter time.Duration
	// HostListPollInterval is the minimum time between two reads of the host
	// list. It grows with the number of hosts like PollInterval.
	HostListPollInterval time.Duration
}

// DefaultTiming returns the timing for fleets of one to a thousand hosts.
func DefaultTiming() Timing {
	return Timing{
		PingInterval:         time.Second,
		PingTimeout:          500 * time.Millisecond,
		SuspicionFactor:      4,
		SyncInterval:         30 * time.Second,
		RecontactInterval:    10 * time.Second,
		ForgetAfter:          2 * time.Hour,
		PollInterval:         2 * time.Second,
		StaleAfter:           30 * time.Second,
		HostListPollInterval: 5 * time.Second,
	}
}

// Limits for the whole fleet.
const (
	// fleetPollRate is the number of reads of the store's revision per second
	// by all hosts together. It is a tenth of the users' limit of 200 reads per
	// second. Reads of the host list take another tenth, and the remaining
	// reads are reserved for hosts that restart.
	fleetPollRate = 20
	// syncIntervalPerHost times the number of hosts is the minimum time between
	// two syncs. At 890 hosts, a list with 110 bytes per host every 134 s is
	// 0.7 KB/s.
	syncIntervalPerHost = 150 * time.Millisecond
)

// pollPeriod returns the poll interval: not shorter than minPeriod, and long
// enough for all hosts together to stay within fleetPollRate.
func pollPeriod(minPeriod time.Duration, hosts int) time.Duration {
	return max(minPeriod, time.Duration(hosts)*time.Second/fleetPollRate)
}

func (t Timing) syncPeriod(hosts int) time.Duration {
	return max(t.SyncInterval, time.Duration(hosts)*syncIntervalPerHost)
}

// suspicionTime returns the time that a suspect peer has to refute the
// suspicion.
func (t Timing) suspicionTime(hosts int) time.Duration {
	scale := max(1, math.Log10(float64(hosts)))
	return time.Duration(t.SuspicionFactor * scale * float64(t.PingInterval))
}
