package host

import "time"

// Bounds of the doubt that a host has of itself.
const (
	maxDoubt = 8
	// sickDoubt is the doubt at which the host leaves the directory.
	sickDoubt = 4
)

// awareness is a host's doubt of itself. A host that is overloaded or cut off
// finds its peers failing; the more its own messages fail, the longer it waits
// before it blames them (Lifeguard; Dadgar, Phillips and Currey, 2018).
type awareness struct {
	doubt int
	sick  bool
}

// worsen counts a sign that the fault is this host's own.
func (a *awareness) worsen(n int) { a.adjust(n) }

// improve counts a sign that this host works.
func (a *awareness) improve() { a.adjust(-1) }

func (a *awareness) adjust(n int) {
	a.doubt = min(max(a.doubt+n, 0), maxDoubt)
	switch {
	case a.doubt >= sickDoubt:
		a.sick = true
	case a.doubt == 0:
		a.sick = false
	}
}

// scale stretches a timeout by the doubt.
func (a *awareness) scale(d time.Duration) time.Duration { return d * time.Duration(1+a.doubt) }
