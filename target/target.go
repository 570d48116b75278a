// Package target holds what a host knows of one target: its state, the signs
// that it leaves, and the pooled evidence against it. It does no I/O; time is
// passed in.
package target

import (
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/zone"
)

// Key names a target in the fleet.
type Key struct {
	Service string
	Name    string
}

// String returns "service/name".
func (k Key) String() string { return k.Service + "/" + k.Name }

// ParseKey reads "service/name".
func ParseKey(text string) (key Key, ok bool) {
	service, name, ok := strings.Cut(text, "/")
	return Key{Service: service, Name: name}, ok
}

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
	// Gone targets are no longer declared.
	Gone
)

// States lists all states.
var States = [...]State{Warming, Active, Ejected, Probation, Leaving, Gone}

var stateNames = [...]string{"warming", "active", "ejected", "probation", "leaving", "gone"}

// String returns the state's lower-case name.
func (s State) String() string { return stateNames[s] }

// Target is one target as this host sees it. The control thread owns it.
type Target struct {
	Key  Key
	Spec contract.Target

	state      State
	stateSince time.Time
	// ejectedUntil ends the present ejection.
	ejectedUntil time.Time
	signs        Sign
	pool         *Pool
	damping      Damping
	failures     FailureRate
	probes       float64
}

// New returns a target in the given state, as seen by a host of zone z.
func New(service string, spec contract.Target, z zone.ID, state State, now time.Time) *Target {
	return &Target{
		Key:        Key{Service: service, Name: spec.Name},
		Spec:       spec,
		state:      state,
		stateSince: now,
		pool:       NewPool(z),
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
	if !t.TakesWork() {
		t.pool.Freeze()
	}
}

// Eject takes the target out for a time that grows with each ejection.
func (t *Target) Eject(now time.Time) {
	t.SetState(Ejected, now)
	t.ejectedUntil = now.Add(t.damping.Strike(now))
}

// EjectionOver reports whether an ejected target may be tried again.
func (t *Target) EjectionOver(now time.Time) bool {
	return t.state == Ejected && !now.Before(t.ejectedUntil)
}

// Readmit puts the target into a state that takes work, and forgets the
// evidence.
func (t *Target) Readmit(s State, now time.Time) {
	t.SetState(s, now)
	t.pool.Reset()
	t.probes = 0
}

// AddSign notes a sign that the target leaves.
func (t *Target) AddSign(s Sign) { t.signs |= s }

// WithdrawSign takes a sign back.
func (t *Target) WithdrawSign(s Sign) { t.signs &^= s }

// HasSign reports whether a sign is set.
func (t *Target) HasSign(s Sign) bool { return t.signs&s != 0 }

// Signed reports whether there is any sign that the target leaves.
func (t *Target) Signed() bool { return t.signs != 0 }

// SignedHere reports whether this host itself has a sign that the target
// leaves.
func (t *Target) SignedHere() bool { return t.signs&ownSigns != 0 }

// SignedAside reports whether there is a sign that the target leaves other
// than answers of other hosts, which would confirm each other for ever.
func (t *Target) SignedAside() bool { return t.signs&^SignAnswer != 0 }

// Pool returns the pooled evidence.
func (t *Target) Pool() *Pool { return t.pool }

// Failures returns the target's recent failure rate on this host.
func (t *Target) Failures() *FailureRate { return &t.failures }

// CountsAsHealthy reports whether the target's slots count towards the
// service's healthy capacity: those of a declared target that is neither
// leaving, gone, ejected, nor cold (warming or on probation).
func (t *Target) CountsAsHealthy() bool { return t.state == Active }

// TakesWork reports whether new work may be sent to the target.
func (t *Target) TakesWork() bool {
	return t.state == Warming || t.state == Active || t.state == Probation
}

// Nats of evidence that probes carry.
const (
	failedProbe = 0.7
	passedProbe = -0.2
)

// AddProbe counts a probe. Probes are weak evidence: together they reach no
// more than half of the threshold, and a success of real work clears them.
func (t *Target) AddProbe(passed bool, h Threshold) {
	nats := failedProbe
	if passed {
		nats = passedProbe
	}
	t.probes = min(max(0, t.probes+nats), probeShare*float64(h))
}

// ClearProbes forgets the evidence of probes.
func (t *Target) ClearProbes() { t.probes = 0 }

// Judge weighs the evidence for a suspicion. Probes lower the threshold for
// Failing on a host that carries work to the target: on another host no
// success of work would clear what a misleading health endpoint says.
func (t *Target) Judge(k Suspicion, h Threshold, now time.Time) Verdict {
	if k == Failing && t.pool.Carries(now) {
		h -= Threshold(t.probes)
	}
	return t.pool.Judge(k, h, now)
}
