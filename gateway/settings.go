// Package gateway runs one host of a fleet whose targets are discovered through a
// metadata store. It provides the process around the control core: the control thread,
// the sockets, and the I/O that the core requests.
package gateway

import (
	"time"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/traffic"
	"github.com/crocushinge/crocushinge/zone"
)

// Settings configures a process. It comes from the settings file of the deployment.
type Settings struct {
	// Host is the id of this host.
	Host  string
	Zone  zone.ID
	Zones []zone.Zone
	// CallerAddress, ReadyAddress, DirectoryAddress and RPCAddress are the listen
	// addresses of the HTTP servers for callers, readiness checks, the directory and
	// calls of other hosts. DatagramAddress is the UDP address for reports between
	// hosts. All are "ip:port".
	CallerAddress, ReadyAddress, DirectoryAddress, RPCAddress, DatagramAddress string
	// MetricsAddress is the listen address for metrics, "ip:port", or "" to serve none.
	// MetricsPath is their HTTP path.
	MetricsAddress, MetricsPath string
	// Seeds are the datagram addresses of the hosts to contact first.
	Seeds []string
	// Capacity is the processor time that this host may use, in hundredths of a core.
	Capacity int
	// MemoryLimit is the memory limit of the process in bytes, 0 for none.
	MemoryLimit int64
	// Bootstrap is set when the whole fleet starts for the first time, so that the
	// hosts allow for the time that they need to find each other.
	Bootstrap bool
	// DrainWithin is the maximum time until a leaving target gets no more requests, and
	// ApplyWithin the maximum time until a new configuration is in force.
	DrainWithin, ApplyWithin time.Duration
	// StoreReturnWithin is the maximum time after an outage of the metadata store until both hold
	// again; 0 for fleet.DefaultStoreReturn.
	StoreReturnWithin time.Duration
	// GracePeriod is the time between the request to stop and the forced end of the
	// process.
	GracePeriod time.Duration
	// DirectoryLimit is the largest number of hosts in a response of the directory, and
	// DirectoryTTL is how long a caller may cache it.
	DirectoryLimit int
	DirectoryTTL   time.Duration
	// Floor is the share of a service's targets that stay in use even when more of
	// them are suspected.
	Floor       float64
	RetryBudget traffic.RetryBudgetConfig
	// Quotas is the bound of the quotas of client accounts; no quotas apply if it is zero.
	Quotas quota.Settings
	// QueueRequests makes requests wait at the hosts while no trusted target has a free slot.
	QueueRequests bool
	Headers       traffic.GatewayHeaders
}

// timing returns the timing of reads of the store.
func (s *Settings) timing() fleet.Timing {
	return fleet.TimingFor(s.DrainWithin, s.ApplyWithin, s.StoreReturnWithin)
}
