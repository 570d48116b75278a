package main

import (
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// detector decides which hosts send requests to which targets of one service.
type detector interface {
	// acquire takes a slot of the request's target for its host. It returns
	// false if the host sends no requests to the target or has no free slot.
	acquire(r request) (slot int, ok bool)
	// done releases the slot and records the observation of the request.
	done(r request, slot int, o link.Observation)
	// observeProbe records the result of an active health check.
	observeProbe(target int, passed bool, at time.Duration)
	// tick runs the periodic work, once every host.TickInterval.
	tick(at time.Duration)
	// sendsTo reports whether a host sends requests to a target.
	sendsTo(host, target int) bool
	// replace replaces a target by a new instance.
	replace(target int, at time.Duration)
	// ejections returns the number of ejections so far, by target.
	ejections() []int
}
