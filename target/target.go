// Package target holds the state that a host keeps about one target: its state, its
// leave signals, and the pooled evidence against it. It does no I/O; the current time
// is passed in.
package target

import (
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/zone"
)

// Key identifies a target in the fleet.
type Key struct {
	Service string
	Name    string
}

// String returns "service/name".
func (k Key) String() string { return k.Service + "/" + k.Name }

// ParseKey parses "service/name".
func ParseKey(text string) (key Key, ok bool) {
	service, name, ok := strings.Cut(text, "/")
	return Key{Service: service, Name: name}, ok
}

// State is the state of a target as one host sees it. It decides which share of the
// host's requests the target gets.
type State int

// The states of a target.
const (
	// Warming targets have just joined and get a growing share of the requests.
	Warming State = iota
	// Active targets get their full share of the requests.
	Active
	// Ejected targets get no new requests because of evidence against them.
	Ejected
	// Probation follows an ejection: the target gets a growing share of the requests
	// and is ejected again on less evidence.
	Probation
	// Leaving targets finish their requests and get no new ones.
	Leaving
	// Gone targets are no longer declared in the contract.
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
	// ejectedUntil is when the current ejection ends.
	ejectedUntil time.Time
	leaveSignals LeaveSignal
	evidence     *Evidence
	damping      FlapDamping
	failureRate  FailureRate
	// probeEvidence is the evidence of failed probes, in nats.
	probeEvidence float64
}

// New returns a target in the given state, as seen by a host in zone z.
func New(service string, spec contract.Target, z zone.ID, state State, now time.Time) *Target {
	return &Target{
		Key:        Key{Service: service, Name: spec.Name},
		Spec:       spec,
		state:      state,
		stateSince: now,
		evidence:   NewEvidence(z),
	}
}

// State returns the current state.
func (t *Target) State() State { return t.state }

// StateSince returns when the current state began.
func (t *Target) StateSince() time.Time { return t.stateSince }

// SetState enters a state at the given time.
func (t *Target) SetState(s State, now time.Time) {
	if t.state == s {
		return
	}
	t.state = s
	t.stateSince = now
	if !t.TakesRequests() {
		t.evidence.Freeze()
	}
}

// Eject ejects the target for a time that grows with each ejection.
func (t *Target) Eject(now time.Time) {
	t.SetState(Ejected, now)
	t.ejectedUntil = now.Add(t.damping.Penalize(now))
}

// EjectionOver reports whether the ejection time of an ejected target is over.
func (t *Target) EjectionOver(now time.Time) bool {
	return t.state == Ejected && !now.Before(t.ejectedUntil)
}

// Readmit enters a state that takes new requests and clears the evidence.
func (t *Target) Readmit(s State, now time.Time) {
	t.SetState(s, now)
	t.evidence.Reset()
	t.probeEvidence = 0
}

// AddLeaveSignal sets a leave signal.
func (t *Target) AddLeaveSignal(s LeaveSignal) { t.leaveSignals |= s }

// WithdrawLeaveSignal clears a leave signal.
func (t *Target) WithdrawLeaveSignal(s LeaveSignal) { t.leaveSignals &^= s }

// HasLeaveSignal reports whether a leave signal is set.
func (t *Target) HasLeaveSignal(s LeaveSignal) bool { return t.leaveSignals&s != 0 }

// HasAnyLeaveSignal reports whether any leave signal is set.
func (t *Target) HasAnyLeaveSignal() bool { return t.leaveSignals != 0 }

// HasOwnLeaveSignal reports whether this host itself has a leave signal of the target,
// as opposed to one received from another host.
func (t *Target) HasOwnLeaveSignal() bool { return t.leaveSignals&ownLeaveSignals != 0 }

// HasLeaveSignalBesidesResponse reports whether a leave signal is set other than the
// response of the entry set. Hosts that passed such responses on would confirm each
// other forever.
func (t *Target) HasLeaveSignalBesidesResponse() bool { return t.leaveSignals&^SignalFromEntrySet != 0 }

// Evidence returns the pooled evidence.
func (t *Target) Evidence() *Evidence { return t.evidence }

// FailureRate returns the target's recent failure rate as observed by this host.
func (t *Target) FailureRate() *FailureRate { return &t.failureRate }

// CountsAsHealthy reports whether the target's slots count towards the service's
// healthy capacity. Only the slots of an active target do, that is, of one that is
// neither warming, ejected, on probation, leaving nor gone.
func (t *Target) CountsAsHealthy() bool { return t.state == Active }

// TakesRequests reports whether new requests may be sent to the target.
func (t *Target) TakesRequests() bool {
	return t.state == Warming || t.state == Active || t.state == Probation
}

// Evidence of one probe, in nats.
const (
	failedProbeNats = 0.7
	passedProbeNats = -0.2
)

// AddProbe counts a probe. Probes are weak evidence: together they reach at most half
// of the threshold, and a successful request clears them.
func (t *Target) AddProbe(passed bool, threshold Threshold) {
	nats := failedProbeNats
	if passed {
		nats = passedProbeNats
	}
	t.probeEvidence = min(max(0, t.probeEvidence+nats), probeShare*float64(threshold))
}

// ClearProbes clears the evidence of probes.
func (t *Target) ClearProbes() { t.probeEvidence = 0 }

// Evaluate returns the verdict on a suspicion. Failed probes lower the threshold for
// Failing, but only on a host that sends requests to the target: on any other host, no
// successful request could clear the evidence if the health endpoint fails although the
// target is healthy.
func (t *Target) Evaluate(k Suspicion, threshold Threshold, now time.Time) Verdict {
	if k == Failing && t.evidence.CarriesTraffic(now) {
		threshold -= Threshold(t.probeEvidence)
	}
	return t.evidence.Evaluate(k, threshold, now)
}
