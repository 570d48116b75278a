package service

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

// Routing is the immutable view of one service in a routing snapshot. The goroutines
// that handle traffic share it; only the counters inside the links change.
type Routing struct {
	Contract *contract.Contract
	// Links are the links to the targets that take new requests.
	Links []*link.Link
	// Panic is set while the healthy capacity is below the floor. Then every target
	// that is not leaving takes new requests.
	Panic bool

	// slowStarts[i] is the slow start of the target that Links[i] leads to.
	slowStarts []slowStart
}

// slowStart is the increasing weight of a target that is warming or on probation. It
// grows linearly over the duration. The zero value stands for the full weight.
type slowStart struct {
	since    time.Time
	duration time.Duration
}

// initialWeight is the weight at the beginning of a slow start.
const initialWeight = 0.1

// weight returns the target's share of the requests relative to a target with full
// weight, from initialWeight to 1.
func (s slowStart) weight(now time.Time) float64 {
	if s.duration == 0 {
		return 1
	}
	elapsedShare := float64(now.Sub(s.since)) / float64(s.duration)
	return min(max(initialWeight, elapsedShare), 1)
}

// slowStartFor returns the slow start of a target in its current state.
func slowStartFor(t *target.Target) slowStart {
	switch t.State() {
	case target.Warming:
		return slowStart{since: t.StateSince(), duration: warmUpTime}
	case target.Probation:
		return slowStart{since: t.StateSince(), duration: probationTime}
	default:
		return slowStart{}
	}
}

// Routing returns the immutable view of the service that the traffic side reads. It
// returns the same view until something in it changes. The view contains no leaving
// target.
func (s *Service) Routing() *Routing {
	if s.routing == nil {
		s.routing = s.newRouting()
	}
	return s.routing
}

// newRouting builds the view from the current states of the targets and links. In panic
// routing, or if no target that takes requests has an uncut link, the view contains
// every target that is not leaving.
func (s *Service) newRouting() *Routing {
	r := &Routing{Contract: s.Contract, Panic: s.HealthySlots() < s.FloorSlots()}
	if r.Panic {
		r.addAll(s.targets)
		return r
	}
	for _, m := range s.targets {
		if m.target.TakesRequests() && !m.linkStatus.IsCut() {
			r.add(m, slowStartFor(m.target))
		}
	}
	if len(r.Links) == 0 {
		r.addAll(s.targets)
	}
	return r
}

func (r *Routing) add(m *managedTarget, start slowStart) {
	r.Links = append(r.Links, m.link)
	r.slowStarts = append(r.slowStarts, start)
}

// addAll adds every target that is not leaving, with full weight.
func (r *Routing) addAll(targets []*managedTarget) {
	for _, m := range targets {
		if m.target.State() != target.Leaving {
			r.add(m, slowStart{})
		}
	}
}
