// Package contract defines the documents that operators publish: contracts of
// services, lists of client accounts, and drains of targets. A contract declares
// the targets and routes of a service, which requests are idempotent, the floor
// of healthy capacity, and how targets leave. The package checks documents but
// does no I/O and is independent of their encoding; package contractfile reads
// them from YAML.
package contract

import (
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// Protocol is the protocol spoken to a target.
type Protocol string

// The protocols that a target may speak.
const (
	HTTP1 Protocol = "http/1.1"
	H2C   Protocol = "h2c"
)

// Weight is the operator's trade-off between a short detection time and few
// false ejections.
type Weight string

// The weights that a contract may declare.
const (
	// WeightDetection ejects on less evidence.
	WeightDetection Weight = "detection"
	// WeightBalanced is a compromise between the other two.
	WeightBalanced Weight = "balanced"
	// WeightSafety ejects only on strong evidence.
	WeightSafety Weight = "safety"
)

// Target declares one instance of the service.
type Target struct {
	Name string
	// Address is "ip:port".
	Address string
	Zone    zone.ID
	// Slots is the limit of concurrent requests at the target.
	Slots int
	// Connections is the maximum number of open connections that the target
	// accepts from the whole fleet.
	Connections int
}

// Route maps requests to the service by authority, path prefix and method.
type Route struct {
	// Authority is the Host header to match; empty matches any.
	Authority string
	// Path is a prefix of whole path segments, for example "/catalogue".
	Path string
	// Methods lists the methods to match; empty matches every method.
	Methods []string
	// Idempotent declares that a request may be executed more than once.
	Idempotent bool
	// Deadline limits the time from the arrival of a request to the end of its
	// response.
	Deadline time.Duration
}

// Leaving declares how a target shuts down gracefully.
type Leaving struct {
	// Header is the response header that a leaving target sets, for example
	// "X-Draining"; empty means none.
	Header string
	// Grace is how long requests in flight may continue after the first leave
	// signal.
	Grace time.Duration
}

// RateLimit declares how a target states at which rate it accepts requests.
type RateLimit struct {
	// Header is the response header with the number of requests a second that the target
	// accepts from all hosts together, a decimal number, for example "X-Rate-Limit". A
	// limit holds until a response comes without it. Empty means none.
	Header string
}

// Health declares the health endpoint of the targets.
type Health struct {
	// Path is the URL path of the endpoint; empty means that no probes are sent.
	Path string
	// Interval is the time between two probes of one target, counting the
	// probes of all hosts of the entry set.
	Interval time.Duration
}

// Queue bounds the requests that wait for a slot on one host.
type Queue struct {
	// Length is the maximum number of waiting requests.
	Length int
	// Wait is the maximum time that a request waits.
	Wait time.Duration
}

// KeyOutagePolicy says how a request with an idempotency key from the caller is
// treated while the metadata store is unavailable.
type KeyOutagePolicy string

// The choices for KeyOutagePolicy.
const (
	// KeyOutageRefuse refuses the request; its result is "not-run".
	KeyOutageRefuse KeyOutagePolicy = "refuse"
	// KeyOutageHome runs the request if the caller also sent a request id. The
	// home host of that id then prevents a second execution.
	KeyOutageHome KeyOutagePolicy = "home"
)

// Contract is what an operator declares for one service.
type Contract struct {
	// Service is the name of the service, unique in the fleet.
	Service string
	Targets []Target
	Routes  []Route
	Floor   Floor
	Leaving Leaving
	// RateLimit declares how a target limits the requests from all hosts.
	RateLimit RateLimit
	Health    Health
	// EchoesID declares that the targets repeat the request id in all of their responses, those
	// to probes included. A response without it is then not taken for the target's: the request
	// may have run, and a probe fails.
	EchoesID bool
	Weight   Weight
	// Protocol is spoken to every target of the service.
	Protocol Protocol
	Queue    Queue
	// Load is the expected peak load of the whole fleet, in requests per
	// second. It determines the size of the entry set.
	Load float64
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// Accounts names the accounts whose callers may use the service.
	Accounts  []string
	KeyOutage KeyOutagePolicy
}

// TotalSlots returns the sum of the slots of all declared targets.
func (c *Contract) TotalSlots() int {
	total := 0
	for _, t := range c.Targets {
		total += t.Slots
	}
	return total
}

// AllowsAccount reports whether callers of the account may use the service.
func (c *Contract) AllowsAccount(account string) bool {
	for _, a := range c.Accounts {
		if a == account {
			return true
		}
	}
	return false
}

// Change is one accepted change of the configuration.
type Change struct {
	// Revision is the fleet-wide revision that the change created.
	Revision uint64
	// Subject is what the change is about: the service whose contract changed,
	// AccountsSubject of an accounts document, or DrainSubject of a target.
	Subject string
	// Version counts the changes of this subject, from 1.
	Version uint64
	// Contract is the new contract, or nil when the service was removed.
	Contract *Contract
	// Accounts is the new accounts document; nil for a service, and when the
	// document was removed.
	Accounts *Accounts
	// Drain is the new drain; nil for any other subject, and when the drain was
	// removed.
	Drain *Drain
	// Document is the text of the contract, accounts document or drain as the
	// operator published it; empty when it was removed.
	Document []byte
	// Proposal is the idempotency key of the publication.
	Proposal string
	// Operator is the name of the operator who published it.
	Operator string
	// At is when a host accepted the proposal, by that host's clock.
	At time.Time
}
