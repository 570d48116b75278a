package service

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

// Routing is the immutable view of one service in a routing snapshot. Traffic
// goroutines share it; only the gauges inside the links change.
type Routing struct {
	Contract *contract.Contract
	// Links lead to the targets that take work.
	Links []*link.Link
	// Panic is set while the healthy capacity is below the floor: then every
	// target that does not leave takes work.
	Panic bool

	// ramps belong to the links of the same index.
	ramps []ramp
}

// ramp is the growing weight of a target that is warming or on probation. Its
// zero value is the full weight.
type ramp struct {
	since  time.Time
	length time.Duration
}

// firstWeight is the weight with which a ramp begins.
const firstWeight = 0.1

// weight returns the share of a full target's work, from firstWeight to 1.
func (r ramp) weight(now time.Time) float64 {
	if r.length == 0 {
		return 1
	}
	passed := float64(now.Sub(r.since)) / float64(r.length)
	return min(max(firstWeight, passed), 1)
}

// rampOf returns the ramp of a target in its present state.
func rampOf(t *target.Target) ramp {
	switch t.State() {
	case target.Warming:
		return ramp{since: t.Since(), length: warmUpTime}
	case target.Probation:
		return ramp{since: t.Since(), length: probationTime}
	default:
		return ramp{}
	}
}

// Routing returns the immutable view of the service that traffic reads. It is
// the same until something in it changes. Leaving targets never take work.
func (s *Service) Routing() *Routing {
	if s.routing == nil {
		s.routing = s.newRouting()
	}
	return s.routing
}

func (s *Service) newRouting() *Routing {
	r := &Routing{Contract: s.Contract, Panic: s.HealthySlots() < s.FloorSlots()}
	if r.Panic {
		r.addAll(s.members)
		return r
	}
	for _, m := range s.members {
		if m.target.TakesWork() && !m.path.IsCut() {
			r.add(m, rampOf(m.target))
		}
	}
	if len(r.Links) == 0 {
		r.addAll(s.members)
	}
	return r
}

func (r *Routing) add(m *member, weight ramp) {
	r.Links = append(r.Links, m.link)
	r.ramps = append(r.ramps, weight)
}

// addAll adds every target that does not leave, with its full weight.
func (r *Routing) addAll(members []*member) {
	for _, m := range members {
		if m.target.State() != target.Leaving {
			r.add(m, ramp{})
		}
	}
}
