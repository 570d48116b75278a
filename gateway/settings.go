// Package gateway runs one host of a fleet with discovered targets as a process:
// the control thread, the sockets, and the I/O that the control core asks for.
package gateway

import (
	"time"

	"github.com/crocushinge/crocushinge/traffic"
	"github.com/crocushinge/crocushinge/zone"
)

// Settings is what a process needs to know at its start. Source: the settings
// file of the deployment.
type Settings struct {
	// Host is the id of this host.
	Host  string
	Zone  zone.ID
	Zones []zone.Zone
	// Callers, Ready, Directory and Documents are the addresses of the HTTP
	// servers, and Datagrams that for reports by UDP; all are "ip:port".
	Callers, Ready, Directory, Documents, Datagrams string
	// Metrics is the address of the metrics, "" for none, and MetricsPath their
	// path.
	Metrics, MetricsPath string
	// Seeds are addresses for datagrams of hosts to contact first.
	Seeds []string
	// Capacity is this host's share of a core in hundredths.
	Capacity int
	// Memory is what the process may use, in bytes; 0 for no bound.
	Memory int64
	// First is set when the whole fleet starts for the first time.
	First bool
	// DrainWithin and ApplyWithin are the times in which a leaving target gets
	// no more requests and a configuration is in force.
	DrainWithin, ApplyWithin time.Duration
	// Grace is the time from the request to stop to the end by force.
	Grace time.Duration
	// DirectoryLimit is how many hosts a caller is told of, and DirectoryTTL how
	// long it may keep the answer.
	DirectoryLimit int
	DirectoryTTL   time.Duration
	// Floor is the share of a service's targets that suspicion never takes out.
	Floor   float64
	Budget  traffic.RetryBudget
	Headers traffic.GatewayHeaders
}
