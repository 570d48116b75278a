package link

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// probationTime is how long after its restoration less evidence is enough to cut a
// path again.
const probationTime = 10 * time.Second

// Path is the state of this host's network path to a target: in use or cut. The
// control thread owns it.
type Path struct {
	cut bool
	// faulty is set once the fault is known to lie with the path.
	faulty         bool
	cutUntil       time.Time
	probationUntil time.Time
	// damping lengthens the cuts of a path that is cut again and again.
	damping target.Damping
}

// Cut takes the path out of use for a time that grows with each cut.
func (p *Path) Cut(now time.Time) {
	p.cut = true
	p.faulty = false
	p.cutUntil = now.Add(p.damping.Strike(now))
}

// IsCut reports whether the path is out of use.
func (p *Path) IsCut() bool { return p.cut }

// RestoreDue reports whether the time of a cut is over.
func (p *Path) RestoreDue(now time.Time) bool { return p.cut && !now.Before(p.cutUntil) }

// Restore puts the path back into use, on probation.
func (p *Path) Restore(now time.Time) {
	p.cut = false
	p.faulty = false
	p.probationUntil = now.Add(probationTime)
}

// OnTrial reports whether the path is in use on probation, because it was restored
// less than probationTime ago.
func (p *Path) OnTrial(now time.Time) bool { return !p.cut && now.Before(p.probationUntil) }

// Blame records that the fault lies with the path and not with the target.
func (p *Path) Blame() { p.faulty = true }

// Blamed reports whether the fault that a path was cut for lies with the path.
func (p *Path) Blamed() bool { return p.faulty }
