package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// TransitionKind says what a Transition reports.
type TransitionKind int

// Kinds of transitions.
const (
	// StateChanged means that the target's state changed.
	StateChanged TransitionKind = iota
	// EjectionWithheld means that the evidence suffices for an ejection, but that the
	// target is not ejected; the reason names the WithholdCause.
	EjectionWithheld
	// LinkCut means that this host stopped using its link to the target.
	LinkCut
	// LinkRestored means that this host uses the link again.
	LinkRestored
)

// WithholdCause is the reason why an ejection is withheld.
type WithholdCause int

// Causes of withheld ejections.
const (
	// NotWithheld means that no ejection is withheld.
	NotWithheld WithholdCause = iota
	// WithheldByFloor means that the healthy capacity would fall below the floor.
	WithheldByFloor
	// WithheldServiceWide means that too many targets are under the same suspicion.
	WithheldServiceWide
	// WithheldByDispute means that only one host or one zone observes the fault.
	WithheldByDispute
)

var causeNames = [...]string{
	"", "floor of healthy capacity", "other targets suspected alike", "seen by one host or zone only",
}

// String returns a description of the cause.
func (c WithholdCause) String() string { return causeNames[c] }

// Transition is a change of a target's state or of this host's link to it, or a
// withheld ejection, with its reason.
type Transition struct {
	Kind   TransitionKind
	Target target.Key
	From   target.State
	To     target.State
	Reason string
	// LLR is the evidence at the time of the transition, in nats.
	LLR float64
}

// recordTransition adds a transition that does not change the target's state.
func (s *Service) recordTransition(m *managedTarget, kind TransitionKind, reason string) {
	s.routing = nil
	t := m.target
	s.transitions = append(s.transitions, Transition{
		Kind:   kind,
		Target: t.Key,
		From:   t.State(),
		To:     t.State(),
		Reason: reason,
		LLR:    t.Evidence().Sum().Max(),
	})
}

// setState changes the state of a target and adds the transition.
func (s *Service) setState(m *managedTarget, to target.State, reason string, now time.Time) {
	s.routing = nil
	t := m.target
	tr := Transition{Target: t.Key, From: t.State(), To: to, Reason: reason, LLR: t.Evidence().Sum().Max()}
	switch to {
	case target.Ejected:
		t.Eject(now)
	case target.Active, target.Probation, target.Warming:
		t.Readmit(to, now)
	default:
		t.SetState(to, now)
	}
	m.withheld = NotWithheld
	s.transitions = append(s.transitions, tr)
}

// takeTransitions returns the transitions since the last call.
func (s *Service) takeTransitions() []Transition {
	transitions := s.transitions
	s.transitions = nil
	return transitions
}
