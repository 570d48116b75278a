// Package contract holds what an operator declares for one service: its
// targets and routes, which requests are idempotent, the floor of healthy
// capacity, and how a target leaves. It does no I/O and knows no encoding; the
// package contractfile reads contracts from YAML.
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

// Weight is the operator's choice between a short detection time and few
// false ejections.
type Weight string

// The weights that a contract may declare.
const (
	// WeightDetection ejects on less evidence.
	WeightDetection Weight = "detection"
	// WeightBalanced stands between the other two.
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
	// Slots is how many requests the target works on at once.
	Slots int
	// Connections is how many connections the target accepts from the whole
	// fleet.
	Connections int
}

// Route maps requests to the service by authority, path prefix and method.
type Route struct {
	// Authority is the Host header to match; empty matches any.
	Authority string
	// Path is a prefix of whole path segments, for example "/catalogue".
	Path string
	// Methods limits the route; empty matches every method.
	Methods []string
	// Idempotent declares that a request may be run more than once.
	Idempotent bool
	// Deadline limits a request from its arrival to the end of its answer.
	Deadline time.Duration
}

// Leaving declares how a target leaves.
type Leaving struct {
	// Header is the response header by which a target announces that it
	// drains, for example "X-Draining"; empty means none.
	Header string
	// Grace is how long work in flight may go on after the first sign.
	Grace time.Duration
}

// Health declares the target's health endpoint.
type Health struct {
	// Path is the path of the endpoint; empty means that no probes are sent.
	Path string
	// Interval is the time between two probes of one target by the whole
	// entry set.
	Interval time.Duration
}

// Queue bounds the requests that wait for a slot on one host.
type Queue struct {
	// Length is the greatest number of waiting requests.
	Length int
	// Wait is the longest time that a request waits.
	Wait time.Duration
}

// KeyOutage says what happens to a request with a key brought by the caller
// while the table is away.
type KeyOutage string

// The choices for KeyOutage.
const (
	// KeyOutageRefuse refuses the request with "not run".
	KeyOutageRefuse KeyOutage = "refuse"
	// KeyOutageHome runs it once under the id of the home host alone.
	KeyOutageHome KeyOutage = "home"
)

// Contract is what an operator declares for one service.
type Contract struct {
	// Service names the service; it is unique in the fleet.
	Service string
	Targets []Target
	Routes  []Route
	Floor   Floor
	Leaving Leaving
	Health  Health
	Weight  Weight
	// Protocol is spoken to every target of the service.
	Protocol Protocol
	Queue    Queue
	// Load is the expected peak in requests a second over the whole fleet; it
	// sizes the entry set.
	Load float64
	// MaxBody limits a request's body, in bytes.
	MaxBody int64
	// Accounts names the accounts whose callers may use the service.
	Accounts []string
	// KeyOutage governs caller keys while the table is away.
	KeyOutage KeyOutage
}

// Slots returns the slots of all declared targets.
func (c *Contract) Slots() int {
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

// Change is one accepted change of configuration.
type Change struct {
	// Revision is the fleet-wide revision that the change created.
	Revision uint64
	// Service is the subject of the change: the service whose contract
	// changed, AccountsSubject of an accounts document, or DrainSubject of a
	// target.
	Service string
	// Version counts the changes of this subject.
	Version uint64
	// Contract is the new contract, or nil when the service was removed.
	Contract *Contract
	// Accounts is the new accounts document; nil for a service, and when the
	// document was removed.
	Accounts *Accounts
	// Drain is the target that gets no more work; nil for any other subject,
	// and when the drain was undone.
	Drain *Drain
	// Document is the contract, accounts document or drain as the operator published
	// it; empty when it was removed.
	Document []byte
	// Proposal is the idempotency key of the publication.
	Proposal string
	// Operator names who published it.
	Operator string
	// At is when a host accepted the proposal, by that host's clock.
	At time.Time
}
