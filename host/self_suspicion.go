package host

import "time"

// Limits of self-suspicion.
const (
	maxSelfSuspicion = 8
	// suspicionThreshold is the level at which the host leaves the directory.
	suspicionThreshold = 4
)

// selfSuspicion is a host's doubt about its own connectivity. An overloaded or
// isolated host may wrongly detect failures of its peers. Therefore, the more
// of its own messages fail, the longer it waits before it suspects peers
// (Lifeguard; Dadgar, Phillips and Currey, 2018).
type selfSuspicion struct {
	level     int
	suspected bool
}

// worsen counts n indications that the fault is this host's own.
func (s *selfSuspicion) worsen(n int) { s.adjust(n) }

// improve counts an indication that this host's own connectivity works.
func (s *selfSuspicion) improve() { s.adjust(-1) }

func (s *selfSuspicion) adjust(n int) {
	s.level = min(max(s.level+n, 0), maxSelfSuspicion)
	switch {
	case s.level >= suspicionThreshold:
		s.suspected = true
	case s.level == 0:
		s.suspected = false
	}
}

// scale lengthens a timeout in proportion to the level.
func (s *selfSuspicion) scale(d time.Duration) time.Duration { return d * time.Duration(1+s.level) }
