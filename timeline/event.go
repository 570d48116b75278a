// Package timeline records the changes of state of every process, ordered by
// hybrid logical clocks so that the events of many hosts merge into one line.
package timeline

import "time"

// Kind names what happened.
type Kind string

// The kinds of events.
const (
	HostStarted          Kind = "host-started"
	HostJoined           Kind = "host-joined"
	HostLost             Kind = "host-lost"
	HostLeaving          Kind = "host-leaving"
	ConfigurationInForce Kind = "configuration-in-force"
	// TargetsInForce events tell of a new view of the registered targets.
	TargetsInForce Kind = "targets-in-force"
	// ConfigurationUnreadable events name a contract that this host cannot
	// read.
	ConfigurationUnreadable Kind = "configuration-unreadable"
	TargetStateChanged      Kind = "target-state-changed"
	EjectionWithheld        Kind = "ejection-withheld"
	LinkCut                 Kind = "link-cut"
	LinkRestored            Kind = "link-restored"
	OutcomeUnknown          Kind = "outcome-unknown"
	RequestEnded            Kind = "request-ended"
	// OperatorDrained events say who asked that a target gets no more work.
	OperatorDrained   Kind = "operator-drained"
	OperatorUndrained Kind = "operator-undrained"
	StoreLost         Kind = "store-lost"
	StoreBack         Kind = "store-back"
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
	// LLR is the evidence behind a verdict, in nats.
	LLR float64 `json:"llr,omitempty"`
}

// Stamp is a hybrid logical clock reading.
type Stamp struct {
	// Wall is the physical part in Unix milliseconds.
	Wall int64 `json:"wall"`
	// Logical orders events of the same physical part.
	Logical uint32 `json:"logical"`
}

// Before reports whether s orders before t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Time returns the physical part.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall) }

// Clock is a hybrid logical clock. The control thread owns it.
type Clock struct{ last Stamp }

// Now returns a stamp later than every earlier one.
func (c *Clock) Now(now time.Time) Stamp {
	wall := now.UnixMilli()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe moves the clock past a stamp received from another host.
func (c *Clock) Observe(now time.Time, remote Stamp) Stamp {
	if c.last.Before(remote) {
		c.last = remote
	}
	return c.Now(now)
}
