// Package quota decides which requests of client accounts are within the accounts' quotas, which
// all hosts of a fleet enforce together without asking each other for every request. It knows no
// encoding; time and randomness are passed in.
package quota

import (
	"math"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// Settings is the bound that all hosts together keep to: in any Window, targets run at most
// (rate x Window + burst) x (1 + Overage) + Slack requests of an account. No quota applies while
// Window is zero.
type Settings struct {
	Window         time.Duration
	Overage, Slack float64
}

// Enabled reports whether quotas apply.
func (s Settings) Enabled() bool { return s.Window > 0 }

// allowed returns how many requests of an account the targets may run in a window.
func (s Settings) allowed(q caller.Quota) float64 {
	return (q.Rate*s.Window.Seconds()+q.Burst)*(1+s.Overage) + s.Slack
}

// What the depth of a bucket allows for.
const (
	// surge is the largest demand expected of an account, as a multiple of its rate: eight times
	// its usual rate, at a limit of 1.6 times that rate.
	surge = 5
	// reportLag is the age that the reports of other hosts may reach. In fleets of 115 hosts
	// those of other zones take about 130 ms.
	reportLag = 200 * time.Millisecond
	// divisionLag is the time in which the parts of a divided fleet notice that they are divided.
	// Until then each part serves the whole quota.
	divisionLag = 500 * time.Millisecond
	// rateOverage and rateSlack are the parts of the overage and of the slack that may raise the
	// rate. They keep the bucket of an account with few requests, which fill and drain it at
	// random, from being empty too often at 0.95 of the rate: with an overage of 0.1 and a slack
	// of 20, 3 in 1,000 requests are lost at the worst rate, 15/s, instead of 8.
	rateOverage = 0.85
	rateSlack   = 0.35
	// lagDeviations is for how many standard deviations of the number of requests within
	// reportLag the depth leaves room.
	lagDeviations = 2
	// margin is the part of the bound, without its slack, that is left for what is not calculated.
	margin = 0.03
	// minDepth is the least depth while it is no more than minDepthShare of the room that the bound
	// leaves beside the rate: an account with a high rate and a small burst could not use its
	// rate otherwise. In the simulation one of 155/s without a burst has 96% of the bound while all
	// reports are 200 ms old.
	minDepth      = 25
	minDepthShare = 0.4
)

// limits is the rate at which the bucket of an account refills and how many tokens it holds, for
// all hosts together.
type limits struct{ rate, depth float64 }

// limitsOf returns the limits with which the hosts keep to the bound for an account at a demand of
// up to surge times its rate. The depth is the burst or less where late reports and a division of
// the fleet need the room, and more than the burst where the slack leaves room.
func (s Settings) limitsOf(q caller.Quota) limits {
	rate := q.Rate + min(rateOverage*s.Overage*q.Rate, rateSlack*s.Slack/s.Window.Seconds())
	room := s.allowed(q) - margin*(s.allowed(q)-s.Slack) - rate*s.Window.Seconds()
	// All hosts admit requests for reportLag after the bucket has become empty.
	lag := reportLag.Seconds()
	late := room - (surge-1)*q.Rate*lag - lagDeviations*math.Sqrt(surge*q.Rate*lag)
	// Two parts of the fleet take tokens from what is the same bucket for divisionLag. What each
	// takes, the other one has still, until it divides its tokens.
	division := divisionLag.Seconds()
	divided := max((room-rate*division)/2, room-surge/2.*q.Rate*division)
	depth := max(1, min(minDepth, minDepthShare*room), min(late, divided, max(q.Burst, s.Slack)))
	return limits{rate: rate, depth: depth}
}
