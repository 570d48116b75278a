package link

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// probationTime is how long a path is on probation after it was restored. On probation,
// less evidence is enough to cut it again.
const probationTime = 10 * time.Second

// Status is the state of this host's network path to a target: in use or cut. The
// control thread owns it.
type Status struct {
	cut bool
	// faulty is set once the fault is known to lie with the path.
	faulty         bool
	cutUntil       time.Time
	probationUntil time.Time
	// damping lengthens the cuts of a path that is cut again and again.
	damping target.FlapDamping
}

// Cut takes the path out of use for a time that grows with each cut.
func (s *Status) Cut(now time.Time) {
	s.cut = true
	s.faulty = false
	s.cutUntil = now.Add(s.damping.Penalize(now))
}

// IsCut reports whether the path is out of use.
func (s *Status) IsCut() bool { return s.cut }

// RestoreDue reports whether the path is cut and should be restored now.
func (s *Status) RestoreDue(now time.Time) bool { return s.cut && !now.Before(s.cutUntil) }

// Restore puts the path back into use, on probation.
func (s *Status) Restore(now time.Time) {
	s.cut = false
	s.faulty = false
	s.probationUntil = now.Add(probationTime)
}

// OnProbation reports whether the path is in use on probation, because it was
// restored less than probationTime ago.
func (s *Status) OnProbation(now time.Time) bool { return !s.cut && now.Before(s.probationUntil) }

// MarkFaulty records that the fault lies with the path and not with the target.
func (s *Status) MarkFaulty() { s.faulty = true }

// Faulty reports whether the fault that a path was cut for lies with the path.
func (s *Status) Faulty() bool { return s.faulty }
