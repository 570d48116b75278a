package service

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// Change tells what kind of change a Transition is.
type Change int

// The kinds of change.
const (
	// StateChanged means that the target's state changed.
	StateChanged Change = iota
	// EjectionWithheld means that the evidence would have ejected the target,
	// but something spoke against it.
	EjectionWithheld
	// LinkCut means that this host sends no work over its link to the target.
	LinkCut
	// LinkRestored means that this host tries the link again.
	LinkRestored
)

// Cause is why an ejection is withheld.
type Cause int

// The causes.
const (
	// NotWithheld means that nothing is withheld.
	NotWithheld Cause = iota
	// HeldByFloor means that the healthy capacity would fall below the floor.
	HeldByFloor
	// HeldServiceWide means that too many targets are suspected alike.
	HeldServiceWide
	// HeldByDispute means that one host or one zone alone sees the fault.
	HeldByDispute
)

var causeNames = [...]string{
	"", "floor of healthy capacity", "other targets suspected alike", "seen by one host or zone only",
}

// String returns the cause in words.
func (c Cause) String() string { return causeNames[c] }

// Transition is a change of a target's state, or of this host's link to it,
// with the reason for it.
type Transition struct {
	Change Change
	Target target.Key
	From   target.State
	To     target.State
	Reason string
	// LLR is the evidence at that moment, in nats.
	LLR float64
}

// note adds a transition that leaves the target's state as it is.
func (s *Service) note(m *member, c Change, reason string) {
	s.routing = nil
	t := m.target
	s.transition = append(s.transition, Transition{
		Change: c,
		Target: t.Key,
		From:   t.State(),
		To:     t.State(),
		Reason: reason,
		LLR:    t.Pool().Sum().Max(),
	})
}

// move changes a target's state.
func (s *Service) move(m *member, to target.State, reason string, now time.Time) {
	s.routing = nil
	t := m.target
	tr := Transition{Target: t.Key, From: t.State(), To: to, Reason: reason, LLR: t.Pool().Sum().Max()}
	switch to {
	case target.Ejected:
		t.Eject(now)
	case target.Active, target.Probation, target.Warming:
		t.Readmit(to, now)
	default:
		t.SetState(to, now)
	}
	m.withheld = NotWithheld
	s.transition = append(s.transition, tr)
}

// take returns the transitions since the last call.
func (s *Service) take() []Transition {
	out := s.transition
	s.transition = nil
	return out
}
