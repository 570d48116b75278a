package link

import (
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// trialTime is how long a restored path is cut again on less evidence.
const trialTime = 10 * time.Second

// Path is this host's verdict on its own path to a target. The control thread
// owns it.
type Path struct {
	cut        bool
	blamed     bool
	until      time.Time
	trialUntil time.Time
	damping    target.Damping
}

// Cut takes the path out of use for a time that grows with each cut.
func (p *Path) Cut(now time.Time) {
	p.cut = true
	p.blamed = false
	p.until = now.Add(p.damping.Strike(now))
}

// IsCut reports whether the path is out of use.
func (p *Path) IsCut() bool { return p.cut }

// RestoreDue reports whether a cut path may be tried again.
func (p *Path) RestoreDue(now time.Time) bool { return p.cut && !now.Before(p.until) }

// Restore puts the path back into use, on trial.
func (p *Path) Restore(now time.Time) {
	p.cut = false
	p.blamed = false
	p.trialUntil = now.Add(trialTime)
}

// OnTrial reports whether the path was restored lately.
func (p *Path) OnTrial(now time.Time) bool { return !p.cut && now.Before(p.trialUntil) }

// Blame notes that the fault lies with the path, not with the target.
func (p *Path) Blame() { p.blamed = true }

// Blamed reports whether the fault of a cut path lies with the path.
func (p *Path) Blamed() bool { return p.blamed }
