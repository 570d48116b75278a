package main

import (
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// detector decides over the targets of one service.
type detector interface {
	// acquire takes a slot of a target for a request of a host. It returns
	// false when the host sends the target no work, or has no slot free.
	acquire(r request) (slot int, ok bool)
	// done frees the slot and hands the observation over.
	done(r request, slot int, o link.Observation)
	probed(target int, passed bool, at time.Duration)
	tick(at time.Duration)
	// sends reports whether a host sends work to a target.
	sends(host, target int) bool
	// replace says that another instance takes a target's place.
	replace(target int, at time.Duration)
	// ejections returns the number of ejections of each target so far.
	ejections() []int
}
