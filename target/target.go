// Package target holds what a host knows of one target: its state and the
// pooled evidence for and against it. It does no I/O; time is passed in.
package target

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
)

// Key names a target in the fleet.
type Key struct {
	Service string
	Name    string
}

// String returns "service/name".
func (k Key) String() string { return k.Service + "/" + k.Name }

// State is the state of a target in the routing set of one host.
type State int

// The states of a target.
const (
	// Warming targets have just joined and get a growing share of the work.
	Warming State = iota
	// Active targets take their full share.
	Active
	// Ejected targets take no work because of evidence against them.
	Ejected
	// Probation targets are readmitted step by step after an ejection.
	Probation
	// Leaving targets finish their work and get no more.
	Leaving
	// Gone targets are no longer declared or listed.
	Gone
)

var stateNames = [...]string{"warming", "active", "ejected", "probation", "leaving", "gone"}

// String returns the state's lower-case name.
func (s State) String() string { return stateNames[s] }

// Target is one target as this host sees it. The control thread owns it.
type Target struct {
	Key  Key
	Spec contract.Target

	state      State
	stateSince time.Time
	evidence   Evidence
}

// New returns a target in state Warming.
func New(service string, spec contract.Target, now time.Time) *Target {
	return &Target{
		Key:        Key{Service: service, Name: spec.Name},
		Spec:       spec,
		state:      Warming,
		stateSince: now,
	}
}

// State returns the present state.
func (t *Target) State() State { return t.state }

// Since returns when the present state began.
func (t *Target) Since() time.Time { return t.stateSince }

// SetState enters a state at the given time.
func (t *Target) SetState(s State, now time.Time) {
	if t.state == s {
		return
	}
	t.state = s
	t.stateSince = now
}

// Evidence returns the pooled evidence, for reading and adding.
func (t *Target) Evidence() *Evidence { return &t.evidence }

// CountsAsHealthy reports whether the target's slots count towards the
// service's healthy capacity: neither leaving, gone, ejected, nor still cold.
func (t *Target) CountsAsHealthy() bool {
	return t.state == Active || t.state == Probation
}

// TakesWork reports whether new work may be sent to the target.
func (t *Target) TakesWork() bool {
	return t.state == Warming || t.state == Active || t.state == Probation
}
