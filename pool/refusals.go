package pool

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

const (
	// refusalCost is the cost of a target that refuses all requests. A refused request adds no load
	// to its target, so that without this cost the target stays the cheapest one.
	refusalCost = 4.0
	// refusingShare is the share from which a target gets no request to find out whether it works.
	refusingShare = 0.1
	// refusalWeight averages over about three requests: a refusal comes within milliseconds, and
	// a target that refuses all requests gets several before the average has followed.
	refusalWeight = 0.3
	// refusalDecayTime is the time constant with which the refusals of a target are forgotten that
	// gets no requests, so that it is used again within three seconds.
	refusalDecayTime = time.Second
)

// countRefusal updates the share of requests that the target refuses, as seen by all hosts.
func (t *Target) countRefusal(o link.Outcome) {
	switch o {
	case link.Refused:
		t.setRefusals(t.refusals() + refusalWeight*(1-t.refusals()))
	case link.Succeeded, link.Failed, link.TimedOut:
		t.setRefusals(t.refusals() * (1 - refusalWeight))
	}
}

// forgetRefusals reduces the share of refused requests after the given time.
func (t *Target) forgetRefusals(interval time.Duration) {
	if t.refusals() > 0 {
		t.setRefusals(t.refusals() * math.Exp(-float64(interval)/float64(refusalDecayTime)))
	}
}

func (t *Target) refusals() float64 { return math.Float64frombits(t.publishedRefusals.Load()) }

func (t *Target) setRefusals(share float64) { t.publishedRefusals.Store(math.Float64bits(share)) }
