// Package timeline records the state changes of every host. Events are stamped
// by hybrid logical clocks, so that those of many hosts merge into one timeline.
package timeline

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	HostStarted Kind = "host-started"
	HostJoined  Kind = "host-joined"
	HostLost    Kind = "host-lost"
	HostLeaving Kind = "host-leaving"
	// HostResumed records that this host's process was suspended for a while.
	HostResumed          Kind = "host-resumed"
	ConfigurationInForce Kind = "configuration-in-force"
	// FetchFailed records that a peer did not deliver documents that this host asked it for.
	FetchFailed Kind = "fetch-failed"
	// TargetsInForce records that a host began to use a new list of registered
	// targets.
	TargetsInForce Kind = "targets-in-force"
	// ConfigurationUnreadable records that this host cannot decode a contract.
	ConfigurationUnreadable Kind = "configuration-unreadable"
	TargetStateChanged      Kind = "target-state-changed"
	// TargetLimited records that a target has stated another limit for the rate of requests
	// from all hosts, or none any more.
	TargetLimited    Kind = "target-limited"
	EjectionWithheld Kind = "ejection-withheld"
	// TargetsInUse records that a service begins or ceases to keep all its targets in use.
	TargetsInUse   Kind = "targets-in-use"
	LinkCut        Kind = "link-cut"
	LinkRestored   Kind = "link-restored"
	OutcomeUnknown Kind = "outcome-unknown"
	RequestEnded   Kind = "request-ended"
	// OperatorDrained records which operator drained a target, so that it gets
	// no more requests.
	OperatorDrained   Kind = "operator-drained"
	OperatorUndrained Kind = "operator-undrained"
	// ConfigurationIgnored records that a restored store has an older configuration than the one
	// in force.
	ConfigurationIgnored Kind = "configuration-ignored"
	// StoreRestored records that this host learned of a later history of the store.
	StoreRestored Kind = "store-restored"
	StoreLost     Kind = "store-lost"
	StoreBack     Kind = "store-back"
)

// Event is one change of state on one host.
type Event struct {
	Stamp       Stamp  `json:"stamp"`
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Kind        Kind   `json:"kind"`
	Service     string `json:"service,omitempty"`
	Target      string `json:"target,omitempty"`
	Request     string `json:"request,omitempty"`
	Revision    uint64 `json:"revision,omitempty"`
	From        string `json:"from,omitempty"`
	To          string `json:"to,omitempty"`
	Reason      string `json:"reason,omitempty"`
	// LLR is the log-likelihood ratio that led to the state change, in nats.
	LLR float64 `json:"llr,omitempty"`
}

// Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	// Wall is the physical time in Unix milliseconds.
	Wall int64 `json:"wall"`
	// Logical orders events that have the same physical time.
	Logical uint32 `json:"logical"`
}

// Before reports whether s is ordered before t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Time returns the physical time.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall) }

// Clock is a hybrid logical clock. The control thread owns it.
type Clock struct{ last Stamp }

// Now returns a stamp that is later than all stamps returned or observed before.
func (c *Clock) Now(now time.Time) Stamp {
	wall := now.UnixMilli()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock past a stamp received from another host and
// returns the new stamp.
func (c *Clock) Observe(now time.Time, remote Stamp) Stamp {
	if c.last.Before(remote) {
		c.last = remote
	}
	return c.Now(now)
}
